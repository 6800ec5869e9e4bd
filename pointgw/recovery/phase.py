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

KNOWN_SHARE = 0.5  # of the servers: heard, so that it is known what stands
ENTER_COLD_SHARE = 0.25  # cold servers as a share of those in use: from here on the phase is filling
LEAVE_COLD_SHARE = 0.1  # the same: at or under it filling ends; lower, so that the phase does not flap
MIN_FILLING_TIME = 0.25  # of the warm-up: how long it is filling at least
RETURNING_BONUS = 1e-6  # of the credit: who comes back goes first among equals
MAX_FINDING_TIME = 1.0  # of the warm-up: how long a balancer looks for servers before it counts what it has


def queue_priority(profile: Profile, back: bool) -> float:
    """The lower, the sooner it is served: higher credit first, of one credit those that come back."""
    return -(profile.credit + profile.credit * RETURNING_BONUS * back)


class Phase(Enum):
    FINDING = "finding"
    FILLING = "filling"
    STEADY = "steady"


TRANSITIONS = {
    Phase.FINDING: (Phase.FILLING, Phase.STEADY),
    Phase.FILLING: (Phase.STEADY,),
    Phase.STEADY: (Phase.FILLING,),
}


@dataclass(frozen=True, slots=True)
class ServerCounts:
    """What a balancer sees of its servers."""

    in_use: int  # in use
    answered: int  # of them, those that have answered
    cold: int  # of them, those that are cold, or without a process
    tunnels_waiting: bool  # tunnels wait, or were turned away lately


@dataclass(slots=True)
class RecoveryPhaseTracker:
    warm_up_window: float  # seconds
    since: float
    phase: Phase = Phase.FINDING
    last_filling_at: float = -inf  # when filling last held

    def update(self, seen: ServerCounts, now: float) -> Phase:
        most = seen.in_use or 1
        cold = seen.cold / most
        if self.phase is not Phase.FILLING:
            if seen.in_use and cold >= ENTER_COLD_SHARE and seen.tunnels_waiting:
                self._set_phase(Phase.FILLING, now)
            elif self.phase is Phase.FINDING and (
                seen.answered >= KNOWN_SHARE * most
                or now >= self.since + MAX_FINDING_TIME * self.warm_up_window
            ):
                self._set_phase(Phase.STEADY, now)
        elif cold > LEAVE_COLD_SHARE and seen.tunnels_waiting:
            self.last_filling_at = now
        elif now >= max(self.last_filling_at, self.since) + MIN_FILLING_TIME * self.warm_up_window:
            self._set_phase(Phase.STEADY, now)
        return self.phase

    def _set_phase(self, phase: Phase, now: float) -> None:
        """The one place where the phase changes."""
        if phase not in TRANSITIONS[self.phase]:
            raise ValueError(f"{self.phase.value} cannot become {phase.value}")
        self.phase, self.since = phase, now
