"""Encodes a snapshot: a header line with a digest, then MessagePack. No I/O.

    pointgw-state VERSION DIGEST LENGTH LF payload

The digest covers the version, the length and the payload, so that a flipped bit anywhere is detected.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from pointgw.state.records import Snapshot

MAGIC = b"pointgw-state"
VERSION = 1
MAX_HEADER_BYTES = 100  # of the first line
MAX_FILE_BYTES = 64 * 1024 * 1024  # of a generation

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


class DamagedSnapshotError(Exception):
    """Bytes that are not a valid snapshot; the text says why."""


class NewerVersionError(Exception):
    """A snapshot in a later format than this program reads. It is left untouched."""


def encode(snapshot: Snapshot) -> bytes:
    """The bytes of a generation."""
    payload = _encoder.encode(snapshot)
    return header(MAGIC, VERSION, payload) + payload


def header(magic: bytes, version: int, payload: bytes) -> bytes:
    """The line before a payload: what it is, its format version, a digest and its length in bytes."""
    covered = b"%d %d\n" % (version, len(payload))
    digest = blake2b(covered + payload, digest_size=16).hexdigest().encode()
    return b"%s %d %s %d\n" % (magic, version, digest, len(payload))


def decode(data: bytes) -> Snapshot:
    """The snapshot in the bytes of a generation. Raises `DamagedSnapshotError` or `NewerVersionError`."""
    if not data:
        raise DamagedSnapshotError("empty")
    first_line, newline, payload = data[:MAX_HEADER_BYTES].partition(b"\n")
    words = first_line.split(b" ")
    if not newline or len(words) != 4 or words[0] != MAGIC or not words[1].isdigit():
        raise DamagedSnapshotError("not a pointgw snapshot")
    version = int(words[1])
    payload = data[len(first_line) + 1 :]
    if header(MAGIC, version, payload) != data[: len(first_line) + 1]:
        raise DamagedSnapshotError("truncated or altered")
    if version > VERSION:
        raise NewerVersionError(f"format version {version}, this program reads up to {VERSION}")
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise DamagedSnapshotError(f"digest is correct, but the payload is not a snapshot: {error}") from None
