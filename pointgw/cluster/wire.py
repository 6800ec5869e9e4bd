"""One datagram between balancers, at most 256 bytes.

    "pg" VERSION KEY | 16 bytes of keyed BLAKE2b over all the rest | MessagePack of a `Packet`

KEY is a byte that tells which of two keys signed it (0: none, on loopback alone). What does not verify is not
read further. A packet names the runs of both ends: a run is 63 bits of chance, new with each start. What a
packet tells is believed only where it names the receiver's own run, so that yesterday's datagrams, and those
meant for a process that is gone, tell nothing; within a run a sequence number does the same. No clock is
told.
Sources: RFC 7693 (BLAKE2), the SWIM paper (Das, Gupta, Motivala, 2002) for what is piggy-backed.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from typing import Annotated, Literal

import msgspec

LARGEST = 256  # bytes of a datagram, as the platform has it
MAGIC, VERSION = b"pg", 1
HEAD = len(MAGIC) + 2  # and the signature after it
SIGNED = 16
MOST_MEMBERS = 1024
WORD = 2**63 - 1  # what the decoder can bound

Number = Annotated[int, msgspec.Meta(ge=0, lt=MOST_MEMBERS)]  # of a balancer, by its place among the peers
Count = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Run = Annotated[int, msgspec.Meta(ge=0, le=WORD)]
Small = Annotated[int, msgspec.Meta(ge=0, lt=2**16)]
Zone = Annotated[int, msgspec.Meta(ge=0, lt=63)]
Word = Literal[0, 1, 2, 3]
PING: Word = 0
ACK: Word = 1
ASK: Word = 2  # ping another for me
HELLO: Word = 3  # who are you; it tells nothing else
# States of a member, as `members.State` has them.
ALIVE: Word = 0
SUSPECT: Word = 1
DEAD: Word = 2
LEFT: Word = 3


class Struct(msgspec.Struct, frozen=True, array_like=True):
    """Written as an array: short. Later versions may add fields at the end, which are skipped here."""


class News(Struct, frozen=True, array_like=True):
    """What is said of one member."""

    member: Number
    state: Word
    incarnation: Count
    by: Number  # who says so first


class Fact(Struct, frozen=True, array_like=True):
    """What one balancer sees of one zone. Amounts are thousandths of what a mean, warm server can do."""

    origin: Number
    run: Count  # the low half of the origin's run: an earlier process's facts end with it
    number: Count  # of the origin's facts; a newer one replaces the former
    zone: Zone
    age: Small  # hundredths of a second
    room: Count  # what the zone's ready servers can do now; cold ones count with what they can yet
    warm: Count  # what all of them can do once they are warm
    used: Count  # what is asked of them, as their reports tell
    open: Count = 0  # tunnels that the origin's own clients have, if this is its zone
    need: tuple[Count, ...] = ()  # the same by profile, with those that wait or were turned away just now


class Vote(Struct, frozen=True, array_like=True):
    """Which zones are to be closed, as one balancer holds it, and who has promised it (`agreement`)."""

    term: Count
    leader: Number
    closed: Annotated[int, msgspec.Meta(ge=0, le=WORD)]  # zones as bits
    promised: Annotated[bytes, msgspec.Meta(max_length=MOST_MEMBERS // 8)] = b""  # members as bits
    agreed: bool = False  # a majority had promised; who hears it need not count


class Packet(Struct, frozen=True, array_like=True):
    """All that one datagram says."""

    kind: Word
    sender: Number
    to: Number
    run: Run  # the sender's
    known: Run  # the receiver's, as the sender has it; 0: not known
    sequence: Count
    regions: Count  # digest of the region map: who differs is told of, and not acted on
    zone: Zone = 0  # the sender's
    about: Number = 0  # ASK: whom to ping; ACK: who answered
    nonce: Count = 0
    incarnation: Count = 0
    news: Annotated[tuple[News, ...], msgspec.Meta(max_length=32)] = ()
    facts: Annotated[tuple[Fact, ...], msgspec.Meta(max_length=16)] = ()
    vote: Vote | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)


class RefusedDatagramError(Exception):
    """A datagram that is no sound packet; its text is one of a few words, for counting."""


@dataclass(frozen=True, slots=True)
class Keys:
    """The keys in force: the first signs, each verifies. None: unsigned, on loopback alone."""

    keys: tuple[bytes, ...] = ()

    def sign(self, packet: Packet) -> bytes:
        """Raises `ValueError` where it would be too long."""
        return self.seal(_encoder.encode(packet))

    def seal(self, body: bytes, magic: bytes = MAGIC) -> bytes:
        which = _which(self.keys[0]) if self.keys else 0
        head = magic + bytes((VERSION, which))
        data = head + _signature(self.keys[0] if self.keys else b"", head, body) + body
        if len(data) > LARGEST:
            raise ValueError(f"a datagram of {len(data)} bytes, at most {LARGEST} may be sent")
        return data

    def open(self, data: bytes) -> Packet:
        """Raises `RefusedDatagramError`. Nothing of the body is read before the signature holds."""
        try:
            return _decoder.decode(self.unseal(data))
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise RefusedDatagramError("malformed") from None

    def unseal(self, data: bytes, magic: bytes = MAGIC) -> bytes:
        """The body, its signature verified. Raises `RefusedDatagramError`."""
        if len(data) > LARGEST:
            raise RefusedDatagramError("too long")
        if len(data) < HEAD + SIGNED or data[:2] != magic:
            raise RefusedDatagramError("not ours")
        if data[2] != VERSION:
            raise RefusedDatagramError("another version")
        head, signature, body = data[:HEAD], data[HEAD : HEAD + SIGNED], data[HEAD + SIGNED :]
        for key in self.keys or (b"",):
            if data[3] == (_which(key) if key else 0):
                if compare_digest(_signature(key, head, body), signature):
                    return body
                raise RefusedDatagramError("forged")
        raise RefusedDatagramError("another key")


def _which(key: bytes) -> int:
    """A byte that tells keys apart; never 0."""
    return 1 + blake2b(key, digest_size=2, person=b"which key").digest()[0] % 255


def _signature(key: bytes, head: bytes, body: bytes) -> bytes:
    return blake2b(head + body, key=key[:64], digest_size=SIGNED, person=b"pointgw tier").digest()


def size(packet: Packet) -> int:
    """Bytes of the datagram that says this."""
    return HEAD + SIGNED + len(_encoder.encode(packet))


def digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


def encoded(part: Struct) -> bytes:
    """A part of a packet, as it is in the datagram: for its length."""
    return _encoder.encode(part)
