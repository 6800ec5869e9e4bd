"""One datagram about a loan: the tier's envelope (`pointgw.cluster.wire`) under a name of its own.

    "pl" VERSION KEY | 16 bytes of keyed BLAKE2b over all the rest | MessagePack of a `LeaseMessage`

It names no run and no clock: a question is answered by its number, of 63 bits by chance, and taken once."""

from __future__ import annotations

from typing import Literal

import msgspec

from pointgw.cluster.wire import Count, Keys, Number, RefusedDatagramError, Run, Struct

MAGIC = b"pl"


What = Literal[0, 1]
ASK: What = 0
LEND: What = 1


class LeaseMessage(Struct, frozen=True, array_like=True):
    what: What  # a question, or the answer that lends
    sender: Number
    to: Number
    number: Run
    balancers: Count  # as the sender has them: another number is another tier, and nothing is lent


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaseMessage)


def seal(word: LeaseMessage, keys: Keys) -> bytes:
    return keys.seal(_encoder.encode(word), MAGIC)


def unseal(data: bytes, keys: Keys) -> LeaseMessage:
    """Raises `RefusedDatagramError`."""
    body = keys.unseal(data, MAGIC)
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise RefusedDatagramError("malformed") from None
