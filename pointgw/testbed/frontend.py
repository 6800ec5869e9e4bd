"""The front end: spreads clients over the balancers of their zone that pass health checks. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

REMOVAL_DELAY_SECONDS = 2.0  # seconds of failed PINGs until a balancer is removed


class HealthState(Enum):
    """Health of a balancer as the front end sees it."""

    OUT = "out"  # has not answered PING yet, or removed
    IN = "in"
    SUSPECT = "suspect"  # a PING failed; still gets clients


TRANSITIONS = {
    HealthState.OUT: (HealthState.IN,),
    HealthState.IN: (HealthState.SUSPECT, HealthState.OUT),
    HealthState.SUSPECT: (HealthState.IN, HealthState.OUT),
}


@dataclass(slots=True)
class BalancerHealth:
    """Health-check state of one balancer. Times in seconds of the caller's clock."""

    number: int
    zone: int
    state: HealthState = HealthState.OUT
    suspect_since: float = 0.0

    def change_state(self, state: HealthState) -> None:
        """Moves to a state; raises ValueError for a transition that is not allowed."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"{self.state.value} cannot become {state.value}")
        self.state = state

    def record_ping(self, answered: bool, now: float) -> None:
        """Records whether a PING was answered in time."""
        if answered:
            if self.state is not HealthState.IN:
                self.change_state(HealthState.IN)
        elif self.state is HealthState.IN:
            self.change_state(HealthState.SUSPECT)
            self.suspect_since = now
        elif self.state is HealthState.SUSPECT and now - self.suspect_since >= REMOVAL_DELAY_SECONDS:
            self.change_state(HealthState.OUT)


def pick_balancer(balancers: list[BalancerHealth], zone: int, rng: Random) -> int | None:
    """A random balancer for a client: of its zone if there is one, else any; None if all are out."""
    usable = [balancer for balancer in balancers if balancer.state is not HealthState.OUT]
    candidates = [balancer for balancer in usable if balancer.zone == zone] or usable
    return rng.choice(candidates).number if candidates else None
