"""Agreement by majority vote on which zones are closed. No I/O, no clock: `now` is passed in.

A vote names a term, its proposer and the zones to be closed. A balancer promises one vote per term, the first
it receives, and none of a lower term than it has promised. Promises are collected in a bit set; each balancer
adds its own bit and passes the set on, so that sets merge in any order. A vote is agreed once more than half
of the known balancers have promised it, from at least two zones where balancers of two zones are known. Two
votes of a term can't both be agreed, as their majorities would share a balancer. A minority's proposals never
succeed, and it keeps to what was agreed before.

A process that has just started abstains, as it does not know what it promised before. The agreed vote is
advisory: a balancer acts on it only while its own observations say that the zones that stay open can bear the
load (`plan.demand_and_capacity`).
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log2
from random import Random

import msgspec

from pointgw.cluster.members import Members
from pointgw.cluster.wire import Vote

ABSTAIN_PERIODS = 12  # periods after the start without promises or proposals
RETRY_FACTOR = 4.0  # periods per log2(members + 1) after which an open vote is superseded by a new term


@dataclass(slots=True)
class Agreement:
    """One balancer's view of the votes."""

    members: Members
    rng: Random
    started_at: float
    latest_vote: Vote | None = None  # the one of the highest term received or proposed
    vote_since: float = 0.0  # when the latest vote's term was first seen
    agreed_vote: Vote | None = None  # the one of the highest agreed term
    propose_at: float = 0.0  # when to propose; 0: not scheduled
    zones_with_room: int = 0  # bit set of zones observed with spare capacity: closing them is not promised

    @property
    def closed_zones(self) -> int:
        """Bit set of the zones that are closed by agreement."""
        return self.agreed_vote.closed_zones if self.agreed_vote is not None else 0

    def _seconds(self, periods: float) -> float:
        return periods * self.members.period

    def propose(self, closed: int, now: float) -> None:
        """Proposes a set of closed zones, if it differs from the agreed one. The live member of the lowest
        index proposes at once; the others wait longer the higher their rank, so that concurrent proposals are
        rare."""
        if closed == self.closed_zones or now < self.started_at + self._seconds(ABSTAIN_PERIODS):
            self.propose_at = 0.0
            return
        vote = self.latest_vote
        # Guards against new terms superseding each other before any has reached all members.
        timeout = self._seconds(RETRY_FACTOR * log2(self.members.member_count + 1))
        if vote is not None and not self._is_settled(vote) and now < self.vote_since + timeout:
            return
        if not self.propose_at:
            # Guards against waiting for members that died with the zone: suspects don't count in the rank.
            rank = min(sorted(self.members.unsuspected_members()).index(self.members.own_index), 8)
            self.propose_at = now + self._seconds(rank * 0.5 + 2.0 * self.rng.random() * bool(rank))
        if now >= self.propose_at:
            self.propose_at = 0.0
            term = max(vote.term if vote else 0, self.agreed_vote.term if self.agreed_vote else 0) + 1
            self._adopt(Vote(term, self.members.own_index, closed, _member_bit(self.members.own_index)), now)

    def _is_settled(self, vote: Vote) -> bool:
        return self.agreed_vote is not None and vote.term <= self.agreed_vote.term

    def receive_vote(self, vote: Vote, now: float) -> None:
        """Merges another member's vote."""
        if vote.is_agreed:
            self._set_agreed(vote, now)
            return
        if self._is_settled(vote):
            return
        own = self.latest_vote
        if own is None or vote.term > own.term:
            promises = _union(vote.promises, self._own_promise(vote, now))
            self._adopt(msgspec.structs.replace(vote, promises=promises), now)
        elif (vote.term, vote.closed_zones) == (own.term, own.closed_zones):
            # Guards against concurrent proposals of the same zones splitting the promises: a promise is for
            # the zones of a term, whoever proposed them.
            promises = _union(_union(own.promises, vote.promises), self._own_promise(own, now))
            self._adopt(msgspec.structs.replace(own, promises=promises), now)

    def reconsider(self, now: float) -> None:
        """Adds the own promise to an open vote if the own observations no longer speak against it."""
        vote = self.latest_vote
        if vote is not None and not self._is_settled(vote):
            promises = _union(vote.promises, self._own_promise(vote, now))
            if promises != vote.promises:
                self._adopt(msgspec.structs.replace(vote, promises=promises), now)

    def _own_promise(self, vote: Vote, now: float) -> bytes:
        """The own bit, or nothing shortly after the start, or if own observations show spare capacity in a
        zone that would be newly closed. Guards against the vote of a partition that saw nothing of the other
        zones and is reachable again."""
        objections = vote.closed_zones & ~self.closed_zones & self.zones_with_room
        return (
            b""
            if objections or now < self.started_at + self._seconds(ABSTAIN_PERIODS)
            else _member_bit(self.members.own_index)
        )

    def _adopt(self, vote: Vote, now: float) -> None:
        """The only place that takes up an open vote; it becomes agreed once a majority has promised it."""
        if self.latest_vote is None or vote.term != self.latest_vote.term:
            # Guards against all members proposing at the same moment each time that a vote is superseded.
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
        """The vote for the next datagram: an open one, else the agreed one."""
        if self.latest_vote is not None and not self._is_settled(self.latest_vote):
            return self.latest_vote
        return self.agreed_vote


def is_majority(promised: set[int], members: Members) -> bool:
    """Whether these are more than half of the known members, from two zones if two are known."""
    known = members.known_members()
    zones = {n: members.zone_of(n) for n in known}
    voters = promised & set(known)
    spans_zones = len({zones[n] for n in voters}) >= min(2, len(set(zones.values())))
    return 2 * len(voters) > len(known) and spans_zones


def _member_bit(member: int) -> bytes:
    return bytes(member // 8) + bytes((1 << member % 8,))


def _union(one: bytes, other: bytes) -> bytes:
    size = max(len(one), len(other))
    union = int.from_bytes(one, "little") | int.from_bytes(other, "little")
    return union.to_bytes(size, "little")


def _member_indexes(promised: bytes) -> set[int]:
    return {8 * i + bit for i, byte in enumerate(promised) for bit in range(8) if byte >> bit & 1}
