"""One datagram about a loan: the tier's envelope (`pointgw.cluster.wire`) under a name of its own.

    "pl" VERSION KEY | 16 bytes of keyed BLAKE2b over all the rest | MessagePack of a `LeaseMessage`

It names no run and no clock: a question is answered by its number, of 63 bits by chance, and taken once."""

from __future__ import annotations

from typing import Literal

import msgspec

from pointgw.cluster.wire import ArrayStruct, Keys, MemberIndex, RefusedDatagramError, RunId, UInt32

MAGIC = b"pl"


MessageKind = Literal[0, 1]
REQUEST: MessageKind = 0
GRANT: MessageKind = 1


class LeaseMessage(ArrayStruct, frozen=True, array_like=True):
    kind: MessageKind  # a question, or the answer that lends
    sender: MemberIndex
    receiver: MemberIndex
    request_id: RunId
    balancer_count: UInt32  # as the sender has them: another number is another tier, and nothing is lent


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaseMessage)


def encode(word: LeaseMessage, keys: Keys) -> bytes:
    return keys.sign_body(_encoder.encode(word), MAGIC)


def decode(data: bytes, keys: Keys) -> LeaseMessage:
    """Raises `RefusedDatagramError`."""
    body = keys.verify_body(data, MAGIC)
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise RefusedDatagramError("malformed") from None
