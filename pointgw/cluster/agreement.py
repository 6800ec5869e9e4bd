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

ABSTAIN = 12  # periods after the start in which nothing is promised
AGAIN = 4.0  # periods, times log2 of the members, after which a vote that was not agreed is given up


@dataclass(slots=True)
class Agreement:
    members: Members
    rng: Random
    started: float
    vote: Vote | None = None  # the highest that was heard or proposed
    since: float = 0.0
    agreed: Vote | None = None  # of the highest agreed term
    wait_until: float = 0.0
    stands: int = 0  # zones, as bits, that this one sees with room: it promises no closing of them

    @property
    def closed(self) -> int:
        return self.agreed.closed if self.agreed is not None else 0

    def _span(self, periods: float) -> float:
        return periods * self.members.period

    def propose(self, closed: int, now: float) -> None:
        """Asks for other zones to be closed than are. The lowest that is there proposes at once, others the
        later the higher their place, so that two seldom propose at a time."""
        if closed == self.closed or now < self.started + self._span(ABSTAIN):
            self.wait_until = 0.0
            return
        vote = self.vote
        # Guards against terms that overtake one another before any has come round.
        patience = self._span(AGAIN * log2(self.members.count + 1))
        if vote is not None and not self._done(vote) and now < self.since + patience:
            return
        if not self.wait_until:
            # Guards against waiting for those that have died with the zone: a suspect is passed over.
            place = min(sorted(self.members.certain()).index(self.members.me), 8)
            self.wait_until = now + self._span(place * 0.5 + 2.0 * self.rng.random() * bool(place))
        if now >= self.wait_until:
            self.wait_until = 0.0
            term = max(vote.term if vote else 0, self.agreed.term if self.agreed else 0) + 1
            self._take(Vote(term, self.members.me, closed, _bit(self.members.me)), now)

    def _done(self, vote: Vote) -> bool:
        return self.agreed is not None and vote.term <= self.agreed.term

    def receive_vote(self, vote: Vote, now: float) -> None:
        """What another holds."""
        if vote.agreed:
            self._agree(vote, now)
            return
        if self._done(vote):
            return
        mine = self.vote
        if mine is None or vote.term > mine.term:
            promised = _join(vote.promised, self._own(vote, now))
            self._take(msgspec.structs.replace(vote, promised=promised), now)
        elif (vote.term, vote.closed) == (mine.term, mine.closed):
            # Guards against two that ask for the same at one moment and share the promises: what is promised
            # is a term's zones, whoever asked first.
            promised = _join(_join(mine.promised, vote.promised), self._own(mine, now))
            self._take(msgspec.structs.replace(mine, promised=promised), now)

    def look(self, now: float) -> None:
        """Own eyes may have changed: an open vote that they spoke against may be promised now."""
        vote = self.vote
        if vote is not None and not self._done(vote):
            promised = _join(vote.promised, self._own(vote, now))
            if promised != vote.promised:
                self._take(msgspec.structs.replace(vote, promised=promised), now)

    def _own(self, vote: Vote, now: float) -> bytes:
        """Own promise. None lately started, nor where own facts show room in a zone that is to be closed:
        guards against a side that was cut off, saw nothing of the others, and is heard by them again."""
        against = vote.closed & ~self.closed & self.stands
        return b"" if against or now < self.started + self._span(ABSTAIN) else _bit(self.members.me)

    def _take(self, vote: Vote, now: float) -> None:
        """The one place where the vote changes; it is agreed as soon as enough have promised."""
        if self.vote is None or vote.term != self.vote.term:
            # Guards against all that propose at one moment once this one is given up, again and again.
            self.since, self.wait_until = now, 0.0
        self.vote = vote
        if enough(_members(vote.promised), self.members):
            self._agree(msgspec.structs.replace(vote, agreed=True, promised=b""), now)

    def _agree(self, vote: Vote, now: float) -> None:
        if self.agreed is None or vote.term > self.agreed.term:
            self.agreed = vote
            if self.vote is None or vote.term >= self.vote.term:
                self.vote, self.since = vote, now
            self.wait_until = 0.0

    def tells(self) -> Vote | None:
        """What the next datagram says: a vote that is open, else what was agreed."""
        if self.vote is not None and not self._done(self.vote):
            return self.vote
        return self.agreed


def enough(promised: set[int], members: Members) -> bool:
    """More than half of the known ones, from two zones where two are known."""
    known = members.known()
    zones = {n: members.zone_of(n) for n in known}
    counted = promised & set(known)
    apart = len({zones[n] for n in counted}) >= min(2, len(set(zones.values())))
    return 2 * len(counted) > len(known) and apart


def _bit(member: int) -> bytes:
    return bytes(member // 8) + bytes((1 << member % 8,))


def _join(one: bytes, other: bytes) -> bytes:
    size = max(len(one), len(other))
    joined = int.from_bytes(one, "little") | int.from_bytes(other, "little")
    return joined.to_bytes(size, "little")


def _members(promised: bytes) -> set[int]:
    return {8 * i + bit for i, byte in enumerate(promised) for bit in range(8) if byte >> bit & 1}
