"""A balancer's phase after an outage. No I/O, no clock: `now` is passed in.

`finding`: the state of the servers is not known yet; `filling`: a good share of the usable servers is cold,
and tunnels wait for them; `steady`: otherwise. The bounds for entering and leaving `filling` differ, and it
lasts for some time after its condition last held. While a balancer is filling, waiting tunnels are served by
credit, and returning clients before new ones (`queue_priority`)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from pointgw.interface import Profile

KNOWN_SHARE = 0.5  # of the servers that have to have answered before `finding` ends
ENTER_COLD_SHARE = 0.25  # of the servers in use: cold ones from which on the phase is `filling`
LEAVE_COLD_SHARE = 0.1  # of the servers in use: cold ones down to which `filling` can end
MIN_FILLING_TIME = 0.25  # of the warm-up window: how long `filling` lasts after its condition last held
RETURNING_BONUS = 1e-6  # of the credit, so that it decides only between equal credits
MAX_FINDING_TIME = 1.0  # of the warm-up window: then the balancer goes by the servers that have answered


def queue_priority(profile: Profile, is_returning: bool) -> float:
    """Sort key, the lowest is served first: by credit, highest first; of equal credit returning clients
    first."""
    return -(profile.credit + profile.credit * RETURNING_BONUS * is_returning)


class Phase(Enum):
    """Phases; their values are written to the log."""

    FINDING = "finding"
    FILLING = "filling"
    STEADY = "steady"


# Allowed changes of phase.
TRANSITIONS = {
    Phase.FINDING: (Phase.FILLING, Phase.STEADY),
    Phase.FILLING: (Phase.STEADY,),
    Phase.STEADY: (Phase.FILLING,),
}


@dataclass(frozen=True, slots=True)
class ServerCounts:
    """Servers as a balancer sees them."""

    in_use: int
    answered: int  # of those in use: have answered
    cold: int  # of those in use: cold or without a process
    tunnels_waiting: bool  # tunnels wait, or were declined recently


@dataclass(slots=True)
class RecoveryPhaseTracker:
    """Determines the phase from regular counts of the servers."""

    warm_up_window: float  # seconds
    since: float  # when the phase began
    phase: Phase = Phase.FINDING
    last_filling_at: float = -inf  # when the condition of `filling` last held

    def update(self, counts: ServerCounts, now: float) -> Phase:
        """Takes new counts and returns the phase."""
        in_use = counts.in_use or 1
        cold_share = counts.cold / in_use
        if self.phase is not Phase.FILLING:
            if counts.in_use and cold_share >= ENTER_COLD_SHARE and counts.tunnels_waiting:
                self._set_phase(Phase.FILLING, now)
            elif self.phase is Phase.FINDING and (
                counts.answered >= KNOWN_SHARE * in_use
                or now >= self.since + MAX_FINDING_TIME * self.warm_up_window
            ):
                self._set_phase(Phase.STEADY, now)
        elif cold_share > LEAVE_COLD_SHARE and counts.tunnels_waiting:
            self.last_filling_at = now
        elif now >= max(self.last_filling_at, self.since) + MIN_FILLING_TIME * self.warm_up_window:
            self._set_phase(Phase.STEADY, now)
        return self.phase

    def _set_phase(self, phase: Phase, now: float) -> None:
        """The only place that changes the phase."""
        if phase not in TRANSITIONS[self.phase]:
            raise ValueError(f"{self.phase.value} cannot become {phase.value}")
        self.phase, self.since = phase, now
