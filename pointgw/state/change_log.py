"""Encodes the change log: changes of servers since a snapshot was taken. No I/O.

The log is a sequence of entries, each a header line with a digest, then MessagePack:

    pointgw-changes DIGEST LENGTH LF payload LF

Each entry is written twice, so that damage at one place loses none. An incomplete entry at the end, as a
kill leaves it, is skipped, as is anything else that is not a valid entry.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from pointgw.state.records import ServerRecord, StoredStruct

MAGIC = b"pointgw-changes "
COPIES = 2  # of each entry
MAX_HEADER_BYTES = 80  # of an entry's first line

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
    return (_header(payload) + payload + b"\n") * COPIES


def _header(payload: bytes) -> bytes:
    digest = blake2b(b"%d\n" % len(payload) + payload, digest_size=16).hexdigest().encode()
    return b"%s%s %d\n" % (MAGIC, digest, len(payload))


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
    header, newline, _ = data[position : position + MAX_HEADER_BYTES].partition(b"\n")
    words = header.split(b" ")
    if not newline or len(words) != 3 or not words[2].isdigit():
        return None
    begin = position + len(header) + 1
    end = begin + int(words[2])
    payload = data[begin:end]
    if _header(payload) != header + b"\n":
        return None
    try:
        return _decoder.decode(payload), end
    except msgspec.DecodeError:
        return None
