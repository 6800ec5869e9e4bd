"""Encoding of one datagram between balancers, at most 256 bytes.

    "pg" VERSION KEY | 16 bytes of keyed BLAKE2b over all the rest | MessagePack of a `Packet`

KEY is a byte that identifies which of two keys signed the datagram (0: unsigned, accepted on loopback only).
The body is decoded only after the signature is verified. A packet names the runs of both ends; a run ID is
63 random bits, new with each start of a process. The contents of a packet are accepted only if it names the
receiver's present run, so that datagrams recorded earlier, or sent to a process that has ended, have no
effect; within a run a sequence number gives the same protection. No clock time is transmitted.
Sources: RFC 7693 (BLAKE2); Das, Gupta, Motivala, "SWIM" (2002) for the piggybacked updates.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from typing import Annotated, Literal

import msgspec

MAX_DATAGRAM_BYTES = 256  # the platform's limit
MAGIC = b"pg"
VERSION = 1
HEADER_BYTES = len(MAGIC) + 2  # magic, version and key ID; the signature follows
SIGNATURE_BYTES = 16
MAX_MEMBERS = 1024
MAX_INT63 = 2**63 - 1  # the largest bound that the decoder can check

MemberIndex = Annotated[int, msgspec.Meta(ge=0, lt=MAX_MEMBERS)]  # position in the list of peers
UInt32 = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
RunId = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT63)]
UInt16 = Annotated[int, msgspec.Meta(ge=0, lt=2**16)]
ZoneIndex = Annotated[int, msgspec.Meta(ge=0, lt=63)]
Code = Literal[0, 1, 2, 3]
# Kinds of packets.
PING: Code = 0
ACK: Code = 1
PING_REQ: Code = 2  # asks the receiver to ping `target` on the sender's behalf
HELLO: Code = 3  # asks for the receiver's run ID; carries no updates, observations or vote
# States of a member, as in `members.MemberState`.
ALIVE: Code = 0
SUSPECT: Code = 1
DEAD: Code = 2
LEFT: Code = 3


class ArrayStruct(msgspec.Struct, frozen=True, array_like=True):
    """Base of the types on the wire: encoded as an array, to be short. Later versions may append fields,
    which this version skips."""


class MemberUpdate(ArrayStruct, frozen=True, array_like=True):
    """A membership update about one member."""

    member: MemberIndex
    state: Code
    incarnation: UInt32
    reporter: MemberIndex  # the member that reported this state first


class ObservationEntry(ArrayStruct, frozen=True, array_like=True):
    """What one balancer observes of one zone. Capacities and loads are in thousandths of an average warm
    server's capacity."""

    origin: MemberIndex
    origin_run: UInt32  # low 32 bits of the origin's run ID; entries of an earlier process are dropped by it
    version: UInt32  # counts the origin's observations; a higher one replaces a lower one
    zone: ZoneIndex
    age: UInt16  # hundredths of a second
    capacity: UInt32  # what the zone's ready servers can take now; cold ones count with their present share
    warm_capacity: UInt32  # the same once all of them are warm
    load: UInt32  # load of these servers by their reports
    open_tunnels: UInt32 = 0  # open tunnels of the origin's clients, if this is the origin's zone
    demand: tuple[UInt32, ...] = ()  # tunnels by profile: open, waiting or declined within the last moments


class Vote(ArrayStruct, frozen=True, array_like=True):
    """A proposal of which zones to close, with the promises known to its holder (see `agreement`)."""

    term: UInt32
    proposer: MemberIndex
    closed_zones: Annotated[int, msgspec.Meta(ge=0, le=MAX_INT63)]  # bit set of zones
    promises: Annotated[bytes, msgspec.Meta(max_length=MAX_MEMBERS // 8)] = b""  # bit set of members
    is_agreed: bool = False  # a majority had promised; the receiver need not count the promises


class Packet(ArrayStruct, frozen=True, array_like=True):
    """The body of a datagram."""

    kind: Code
    sender: MemberIndex
    receiver: MemberIndex
    sender_run_id: RunId
    receiver_run_id: RunId  # as the sender knows it; 0: unknown
    sequence: UInt32
    region_map_digest: UInt32  # differing maps are reported, and votes of such senders are ignored
    zone: ZoneIndex = 0  # the sender's zone
    target: MemberIndex = 0  # PING_REQ: the member to ping; ACK: the member that answered
    nonce: UInt32 = 0
    incarnation: UInt32 = 0  # the sender's
    updates: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=32)] = ()
    observations: Annotated[tuple[ObservationEntry, ...], msgspec.Meta(max_length=16)] = ()
    vote: Vote | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)


class RefusedDatagramError(Exception):
    """A datagram was refused; the text is one of a few fixed reasons, and serves as the name of a counter."""


@dataclass(frozen=True, slots=True)
class Keys:
    """The shared keys: the first one signs, any of them verifies. With none, datagrams are unsigned, and
    accepted on loopback only."""

    keys: tuple[bytes, ...] = ()

    def encode(self, packet: Packet) -> bytes:
        """Encodes and signs. Raises `ValueError` if the datagram would be too long."""
        return self.sign_body(_encoder.encode(packet))

    def sign_body(self, body: bytes, magic: bytes = MAGIC) -> bytes:
        """Puts header and signature before a body. Raises `ValueError` if the result is too long."""
        key_id = _key_id(self.keys[0]) if self.keys else 0
        head = magic + bytes((VERSION, key_id))
        data = head + _signature(self.keys[0] if self.keys else b"", head, body) + body
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram has {len(data)} bytes, maximum is {MAX_DATAGRAM_BYTES}")
        return data

    def decode(self, data: bytes) -> Packet:
        """Verifies, then decodes. Raises `RefusedDatagramError`."""
        try:
            return _decoder.decode(self.verify_body(data))
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise RefusedDatagramError("malformed") from None

    def verify_body(self, data: bytes, magic: bytes = MAGIC) -> bytes:
        """Returns the body once its signature is verified. Raises `RefusedDatagramError`."""
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
    """A byte that tells keys apart; never 0, which stands for unsigned."""
    return 1 + blake2b(key, digest_size=2, person=b"which key").digest()[0] % 255


def _signature(key: bytes, head: bytes, body: bytes) -> bytes:
    return blake2b(head + body, key=key[:64], digest_size=SIGNATURE_BYTES, person=b"pointgw tier").digest()


def encoded_size(packet: Packet) -> int:
    """Length in bytes of the datagram that carries this packet."""
    return HEADER_BYTES + SIGNATURE_BYTES + len(_encoder.encode(packet))


def text_digest(text: str) -> int:
    """A 32-bit digest."""
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


def encode_part(part: ArrayStruct) -> bytes:
    """Encodes a part of a packet as in the datagram; its length is what matters."""
    return _encoder.encode(part)
