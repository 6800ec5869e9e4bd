"""A memory as bytes: a line that tells what it is, a digest, and MessagePack. Pure.

    pointgw-state VERSION DIGEST LENGTH LF payload

The digest covers the version, the length and the payload, so that a flipped bit anywhere is damage and not a
fact.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from pointgw.state.records import Snapshot

MAGIC = b"pointgw-state"
VERSION = 1
LONGEST_HEAD = 100  # bytes of the first line
LARGEST = 64 * 1024 * 1024  # bytes of a generation

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


class DamagedSnapshotError(Exception):
    """Bytes that are no sound memory; its text says in what."""


class NewerVersionError(Exception):
    """Written by a later version of this program. It is left untouched."""


def encode(memory: Snapshot) -> bytes:
    payload = _encoder.encode(memory)
    return _head(VERSION, payload) + payload


def _head(version: int, payload: bytes) -> bytes:
    covered = b"%d %d\n" % (version, len(payload))
    digest = blake2b(covered + payload, digest_size=16).hexdigest().encode()
    return b"%s %d %s %d\n" % (MAGIC, version, digest, len(payload))


def decode(data: bytes) -> Snapshot:
    """Raises `DamagedSnapshotError` or `NewerVersionError`."""
    if not data:
        raise DamagedSnapshotError("empty")
    head, found, payload = data[:LONGEST_HEAD].partition(b"\n")
    words = head.split(b" ")
    if not found or len(words) != 4 or words[0] != MAGIC or not words[1].isdigit():
        raise DamagedSnapshotError("not a file of pointgw's")
    version = int(words[1])
    payload = data[len(head) + 1 :]
    if _head(version, payload) != data[: len(head) + 1]:
        raise DamagedSnapshotError("cut off or changed")
    if version > VERSION:
        raise NewerVersionError(f"version {version}, this program reads up to {VERSION}")
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as fault:
        raise DamagedSnapshotError(f"sound, but not of this form: {fault}") from None
