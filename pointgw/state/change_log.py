"""Encodes the change log: changes of servers since a snapshot was taken. No I/O.

The log is a sequence of entries, each a header line like that of a snapshot, then MessagePack:

    pointgw-changes VERSION DIGEST LENGTH LF payload LF

Each entry is written twice, so that damage at one place loses none. An incomplete entry at the end, as a
kill leaves it, is skipped, as is anything else that is not a valid entry.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from pointgw.state.records import ServerRecord, StoredStruct
from pointgw.state.snapshot_format import MAX_HEADER_BYTES, VERSION, header

MAGIC = b"pointgw-changes"
COPIES = 2  # of each entry

_encoder = msgspec.msgpack.Encoder()


class ChangeEntry(StoredStruct, frozen=True, array_like=True):
    """Changes of servers that were recorded together."""

    number: int  # rises by one with each entry, also over restarts: a gap tells that an entry is lost
    fingerprint: str  # of the installation, as in a snapshot
    servers: tuple[ServerRecord, ...]


_decoder = msgspec.msgpack.Decoder(ChangeEntry)


@dataclass(frozen=True, slots=True)
class ChangeHistory:
    """The entries that were read, in order."""

    entries: tuple[ChangeEntry, ...] = ()

    @property
    def last_number(self) -> int:
        """Number of the last entry; 0 if there is none."""
        return self.entries[-1].number if self.entries else 0

    @property
    def is_complete(self) -> bool:
        """Whether no entry between two others is lost."""
        return not self.entries or self.last_number - self.entries[0].number == len(self.entries) - 1

    def servers(self, fingerprint: str) -> dict[str, ServerRecord]:
        """The last record of each server, by name, from entries of this installation."""
        return {
            record.name: record
            for entry in self.entries
            if entry.fingerprint == fingerprint
            for record in entry.servers
        }


def encode(entry: ChangeEntry) -> bytes:
    """The bytes to append for an entry, with its copies."""
    payload = _encoder.encode(entry)
    return (header(MAGIC, VERSION, payload) + payload + b"\n") * COPIES


def decode(data: bytes) -> ChangeHistory:
    """The entries in the bytes of one or more log files, each once, by number."""
    entries: dict[int, ChangeEntry] = {}
    position = data.find(MAGIC)
    while position >= 0:
        decoded = _decode_at(data, position)
        if decoded is None:
            position = data.find(MAGIC, position + 1)
            continue
        entry, end = decoded
        entries[entry.number] = entry
        position = data.find(MAGIC, end)
    return ChangeHistory(tuple(entries[number] for number in sorted(entries)))


def _decode_at(data: bytes, position: int) -> tuple[ChangeEntry, int] | None:
    """The entry at a position, and where it ends; None if there is no valid one."""
    first_line, newline, _ = data[position : position + MAX_HEADER_BYTES].partition(b"\n")
    words = first_line.split(b" ")
    if not newline or not words[-1].isdigit():
        return None
    begin = position + len(first_line) + 1
    end = begin + int(words[-1])
    payload = data[begin:end]
    if header(MAGIC, VERSION, payload) != first_line + b"\n":
        return None
    try:
        return _decoder.decode(payload), end
    except msgspec.DecodeError:
        return None
