"""One datagram about a lease: the cluster's signed envelope (`pointgw.cluster.wire`) with a magic of its own.

    "pl" VERSION KEY | 16 bytes of keyed BLAKE2b over all the rest | MessagePack of a `LeaseMessage`

It contains no run ID and no clock time: a grant repeats the request's ID, 62 random bits, and is accepted
once."""

from __future__ import annotations

from typing import Literal

import msgspec

from pointgw.cluster.wire import ArrayStruct, Keys, MemberIndex, RefusedDatagramError, RunId, UInt32

MAGIC = b"pl"


MessageKind = Literal[0, 1]
REQUEST: MessageKind = 0
GRANT: MessageKind = 1


class LeaseMessage(ArrayStruct, frozen=True, array_like=True):
    """A request for a lease, or the grant of one."""

    kind: MessageKind
    sender: MemberIndex
    receiver: MemberIndex
    request_id: RunId
    balancer_count: UInt32  # as configured at the sender; messages with another number are refused


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaseMessage)


def encode(message: LeaseMessage, keys: Keys) -> bytes:
    """Encodes and signs."""
    return keys.sign_body(_encoder.encode(message), MAGIC)


def decode(data: bytes, keys: Keys) -> LeaseMessage:
    """Verifies, then decodes. Raises `RefusedDatagramError`."""
    body = keys.verify_body(data, MAGIC)
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise RefusedDatagramError("malformed") from None
