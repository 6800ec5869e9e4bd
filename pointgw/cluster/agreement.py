"""What must be one decision: which zones are closed. No I/O, no clock: `now` is passed in.

A vote names a term, who proposed it and the zones that are to be closed. A balancer promises one vote a term,
the first it hears, and none of a lower term than it has promised. Promises are gathered as bits that each
adds its own to and passes on, so that they join in any order. Agreed is a vote that more than half of the
known balancers have promised, from two zones at least where balancers of two are known. Two votes of a term
can't both be agreed, as a majority of each would share a balancer. A minority proposes in vain, and goes on
with what was agreed.

A process that has started lately abstains: it does not know what it promised before. What is agreed is advice
all the same: a balancer acts on it only while its own facts say that what stays open can bear the load
(`plan.bears`)."""

from __future__ import annotations

from dataclasses import dataclass
from math import log2
from random import Random

import msgspec

from pointgw.cluster.members import Members
from pointgw.cluster.wire import Vote

ABSTAIN_PERIODS = 12  # periods after the start in which nothing is promised
RETRY_FACTOR = 4.0  # periods, times log2 of the members, after which a vote that was not agreed is given up


@dataclass(slots=True)
class Agreement:
    members: Members
    rng: Random
    started_at: float
    latest_vote: Vote | None = None  # the highest that was heard or proposed
    vote_since: float = 0.0
    agreed_vote: Vote | None = None  # of the highest agreed term
    propose_at: float = 0.0
    zones_with_room: int = 0  # zones, as bits, that this one sees with room: it promises no closing of them

    @property
    def closed_zones(self) -> int:
        return self.agreed_vote.closed_zones if self.agreed_vote is not None else 0

    def _seconds(self, periods: float) -> float:
        return periods * self.members.period

    def propose(self, closed: int, now: float) -> None:
        """Asks for other zones to be closed than are. The lowest that is there proposes at once, others the
        later the higher their place, so that two seldom propose at a time."""
        if closed == self.closed_zones or now < self.started_at + self._seconds(ABSTAIN_PERIODS):
            self.propose_at = 0.0
            return
        vote = self.latest_vote
        # Guards against terms that overtake one another before any has come round.
        patience = self._seconds(RETRY_FACTOR * log2(self.members.member_count + 1))
        if vote is not None and not self._is_settled(vote) and now < self.vote_since + patience:
            return
        if not self.propose_at:
            # Guards against waiting for those that have died with the zone: a suspect is passed over.
            place = min(sorted(self.members.unsuspected_members()).index(self.members.own_index), 8)
            self.propose_at = now + self._seconds(place * 0.5 + 2.0 * self.rng.random() * bool(place))
        if now >= self.propose_at:
            self.propose_at = 0.0
            term = max(vote.term if vote else 0, self.agreed_vote.term if self.agreed_vote else 0) + 1
            self._adopt(Vote(term, self.members.own_index, closed, _member_bit(self.members.own_index)), now)

    def _is_settled(self, vote: Vote) -> bool:
        return self.agreed_vote is not None and vote.term <= self.agreed_vote.term

    def receive_vote(self, vote: Vote, now: float) -> None:
        """What another holds."""
        if vote.is_agreed:
            self._set_agreed(vote, now)
            return
        if self._is_settled(vote):
            return
        mine = self.latest_vote
        if mine is None or vote.term > mine.term:
            promised = _union(vote.promises, self._own_promise(vote, now))
            self._adopt(msgspec.structs.replace(vote, promises=promised), now)
        elif (vote.term, vote.closed_zones) == (mine.term, mine.closed_zones):
            # Guards against two that ask for the same at one moment and share the promises: what is promised
            # is a term's zones, whoever asked first.
            promised = _union(_union(mine.promises, vote.promises), self._own_promise(mine, now))
            self._adopt(msgspec.structs.replace(mine, promises=promised), now)

    def reconsider(self, now: float) -> None:
        """Own eyes may have changed: an open vote that they spoke against may be promised now."""
        vote = self.latest_vote
        if vote is not None and not self._is_settled(vote):
            promised = _union(vote.promises, self._own_promise(vote, now))
            if promised != vote.promises:
                self._adopt(msgspec.structs.replace(vote, promises=promised), now)

    def _own_promise(self, vote: Vote, now: float) -> bytes:
        """Own promise. None lately started, nor where own facts show room in a zone that is to be closed:
        guards against a side that was cut off, saw nothing of the others, and is heard by them again."""
        against = vote.closed_zones & ~self.closed_zones & self.zones_with_room
        return (
            b""
            if against or now < self.started_at + self._seconds(ABSTAIN_PERIODS)
            else _member_bit(self.members.own_index)
        )

    def _adopt(self, vote: Vote, now: float) -> None:
        """The one place where the vote changes; it is agreed as soon as enough have promised."""
        if self.latest_vote is None or vote.term != self.latest_vote.term:
            # Guards against all that propose at one moment once this one is given up, again and again.
            self.vote_since, self.propose_at = now, 0.0
        self.latest_vote = vote
        if is_majority(_member_indexes(vote.promises), self.members):
            self._set_agreed(msgspec.structs.replace(vote, is_agreed=True, promises=b""), now)

    def _set_agreed(self, vote: Vote, now: float) -> None:
        if self.agreed_vote is None or vote.term > self.agreed_vote.term:
            self.agreed_vote = vote
            if self.latest_vote is None or vote.term >= self.latest_vote.term:
                self.latest_vote, self.vote_since = vote, now
            self.propose_at = 0.0

    def vote_to_send(self) -> Vote | None:
        """What the next datagram says: a vote that is open, else what was agreed."""
        if self.latest_vote is not None and not self._is_settled(self.latest_vote):
            return self.latest_vote
        return self.agreed_vote


def is_majority(promised: set[int], members: Members) -> bool:
    """More than half of the known ones, from two zones where two are known."""
    known = members.known_members()
    zones = {n: members.zone_of(n) for n in known}
    counted = promised & set(known)
    apart = len({zones[n] for n in counted}) >= min(2, len(set(zones.values())))
    return 2 * len(counted) > len(known) and apart


def _member_bit(member: int) -> bytes:
    return bytes(member // 8) + bytes((1 << member % 8,))


def _union(one: bytes, other: bytes) -> bytes:
    size = max(len(one), len(other))
    joined = int.from_bytes(one, "little") | int.from_bytes(other, "little")
    return joined.to_bytes(size, "little")


def _member_indexes(promised: bytes) -> set[int]:
    return {8 * i + bit for i, byte in enumerate(promised) for bit in range(8) if byte >> bit & 1}
