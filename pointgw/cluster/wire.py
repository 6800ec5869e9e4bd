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

MAX_DATAGRAM_BYTES = 256  # bytes of a datagram, as the platform has it
MAGIC = b"pg"
VERSION = 1
HEADER_BYTES = len(MAGIC) + 2  # and the signature after it
SIGNATURE_BYTES = 16
MAX_MEMBERS = 1024
MAX_INT63 = 2**63 - 1  # what the decoder can bound

MemberIndex = Annotated[
    int, msgspec.Meta(ge=0, lt=MAX_MEMBERS)
]  # of a balancer, by its place among the peers
UInt32 = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
RunId = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT63)]
UInt16 = Annotated[int, msgspec.Meta(ge=0, lt=2**16)]
ZoneIndex = Annotated[int, msgspec.Meta(ge=0, lt=63)]
Code = Literal[0, 1, 2, 3]
PING: Code = 0
ACK: Code = 1
PING_REQ: Code = 2  # ping another for me
HELLO: Code = 3  # who are you; it tells nothing else
# States of a member, as `members.State` has them.
ALIVE: Code = 0
SUSPECT: Code = 1
DEAD: Code = 2
LEFT: Code = 3


class ArrayStruct(msgspec.Struct, frozen=True, array_like=True):
    """Written as an array: short. Later versions may add fields at the end, which are skipped here."""


class MemberUpdate(ArrayStruct, frozen=True, array_like=True):
    """What is said of one member."""

    member: MemberIndex
    state: Code
    incarnation: UInt32
    reporter: MemberIndex  # who says so first


class ObservationEntry(ArrayStruct, frozen=True, array_like=True):
    """What one balancer sees of one zone. Amounts are thousandths of what a mean, warm server can do."""

    origin: MemberIndex
    origin_run: UInt32  # the low half of the origin's run: an earlier process's facts end with it
    version: UInt32  # of the origin's facts; a newer one replaces the former
    zone: ZoneIndex
    age: UInt16  # hundredths of a second
    capacity: UInt32  # what the zone's ready servers can do now; cold ones count with what they can yet
    warm_capacity: UInt32  # what all of them can do once they are warm
    load: UInt32  # what is asked of them, as their reports tell
    open_tunnels: UInt32 = 0  # tunnels that the origin's own clients have, if this is its zone
    demand: tuple[UInt32, ...] = ()  # the same by profile, with those that wait or were turned away just now


class Vote(ArrayStruct, frozen=True, array_like=True):
    """Which zones are to be closed, as one balancer holds it, and who has promised it (`agreement`)."""

    term: UInt32
    proposer: MemberIndex
    closed_zones: Annotated[int, msgspec.Meta(ge=0, le=MAX_INT63)]  # zones as bits
    promises: Annotated[bytes, msgspec.Meta(max_length=MAX_MEMBERS // 8)] = b""  # members as bits
    is_agreed: bool = False  # a majority had promised; who hears it need not count


class Packet(ArrayStruct, frozen=True, array_like=True):
    """All that one datagram says."""

    kind: Code
    sender: MemberIndex
    receiver: MemberIndex
    sender_run_id: RunId  # the sender's
    receiver_run_id: RunId  # the receiver's, as the sender has it; 0: not known
    sequence: UInt32
    region_map_digest: UInt32  # digest of the region map: who differs is told of, and not acted on
    zone: ZoneIndex = 0  # the sender's
    target: MemberIndex = 0  # ASK: whom to ping; ACK: who answered
    nonce: UInt32 = 0
    incarnation: UInt32 = 0
    updates: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=32)] = ()
    observations: Annotated[tuple[ObservationEntry, ...], msgspec.Meta(max_length=16)] = ()
    vote: Vote | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)


class RefusedDatagramError(Exception):
    """A datagram that is no sound packet; its text is one of a few words, for counting."""


@dataclass(frozen=True, slots=True)
class Keys:
    """The keys in force: the first signs, each verifies. None: unsigned, on loopback alone."""

    keys: tuple[bytes, ...] = ()

    def encode(self, packet: Packet) -> bytes:
        """Raises `ValueError` where it would be too long."""
        return self.sign_body(_encoder.encode(packet))

    def sign_body(self, body: bytes, magic: bytes = MAGIC) -> bytes:
        which = _key_id(self.keys[0]) if self.keys else 0
        head = magic + bytes((VERSION, which))
        data = head + _signature(self.keys[0] if self.keys else b"", head, body) + body
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {len(data)} bytes, at most {MAX_DATAGRAM_BYTES} may be sent")
        return data

    def decode(self, data: bytes) -> Packet:
        """Raises `RefusedDatagramError`. Nothing of the body is read before the signature holds."""
        try:
            return _decoder.decode(self.verify_body(data))
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise RefusedDatagramError("malformed") from None

    def verify_body(self, data: bytes, magic: bytes = MAGIC) -> bytes:
        """The body, its signature verified. Raises `RefusedDatagramError`."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise RefusedDatagramError("too long")
        if len(data) < HEADER_BYTES + SIGNATURE_BYTES or data[:2] != magic:
            raise RefusedDatagramError("not ours")
        if data[2] != VERSION:
            raise RefusedDatagramError("another version")
        head, signature, body = (
            data[:HEADER_BYTES],
            data[HEADER_BYTES : HEADER_BYTES + SIGNATURE_BYTES],
            data[HEADER_BYTES + SIGNATURE_BYTES :],
        )
        for key in self.keys or (b"",):
            if data[3] == (_key_id(key) if key else 0):
                if compare_digest(_signature(key, head, body), signature):
                    return body
                raise RefusedDatagramError("forged")
        raise RefusedDatagramError("another key")


def _key_id(key: bytes) -> int:
    """A byte that tells keys apart; never 0."""
    return 1 + blake2b(key, digest_size=2, person=b"which key").digest()[0] % 255


def _signature(key: bytes, head: bytes, body: bytes) -> bytes:
    return blake2b(head + body, key=key[:64], digest_size=SIGNATURE_BYTES, person=b"pointgw tier").digest()


def encoded_size(packet: Packet) -> int:
    """Bytes of the datagram that says this."""
    return HEADER_BYTES + SIGNATURE_BYTES + len(_encoder.encode(packet))


def text_digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


def encode_part(part: ArrayStruct) -> bytes:
    """A part of a packet, as it is in the datagram: for its length."""
    return _encoder.encode(part)
