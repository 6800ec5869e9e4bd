"""Where a balancer stands after an outage. No I/O, no clock: `now` is passed in.

`finding`: what stands is not known yet; `filling`: a good part of what can serve is cold, and tunnels wait
for it; `steady`: else. Entered and left at marks that lie apart, `filling` is kept for a time after it last
held. What follows from it: while it is filling, tunnels that wait are served by credit, and who comes back
goes before who is new (`queue_priority`)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from pointgw.interface import Profile

KNOWN = 0.5  # of the servers: heard, so that it is known what stands
ENTER, LEAVE = 0.25, 0.1  # of the servers in use: cold ones
KEPT = 0.25  # of the warm-up: how long it is filling at least
BACK = 1e-6  # of the credit: who comes back goes first among equals
LONGEST = 1.0  # of the warm-up: how long a balancer looks for servers before it counts what it has


def rank(profile: Profile, back: bool) -> float:
    """The lower, the sooner it is served: higher credit first, of one credit those that come back."""
    return -(profile.credit + profile.credit * BACK * back)


class Phase(Enum):
    FINDING = "finding"
    FILLING = "filling"
    STEADY = "steady"


NEXT = {
    Phase.FINDING: (Phase.FILLING, Phase.STEADY),
    Phase.FILLING: (Phase.STEADY,),
    Phase.STEADY: (Phase.FILLING,),
}


@dataclass(frozen=True, slots=True)
class ServerCounts:
    """What a balancer sees of its servers."""

    servers: int  # in use
    heard: int  # of them, those that have answered
    cold: int  # of them, those that are cold, or without a process
    waits: bool  # tunnels wait, or were turned away lately


@dataclass(slots=True)
class RecoveryPhaseTracker:
    warm_up: float  # seconds
    since: float
    phase: Phase = Phase.FINDING
    held: float = -inf  # when filling last held

    def look(self, seen: ServerCounts, now: float) -> Phase:
        most = seen.servers or 1
        cold = seen.cold / most
        if self.phase is not Phase.FILLING:
            if seen.servers and cold >= ENTER and seen.waits:
                self._to(Phase.FILLING, now)
            elif self.phase is Phase.FINDING and (
                seen.heard >= KNOWN * most or now >= self.since + LONGEST * self.warm_up
            ):
                self._to(Phase.STEADY, now)
        elif cold > LEAVE and seen.waits:
            self.held = now
        elif now >= max(self.held, self.since) + KEPT * self.warm_up:
            self._to(Phase.STEADY, now)
        return self.phase

    def _to(self, phase: Phase, now: float) -> None:
        """The one place where the phase changes."""
        if phase not in NEXT[self.phase]:
            raise ValueError(f"{self.phase.value} cannot become {phase.value}")
        self.phase, self.since = phase, now
