"""The front: deals clients out among the balancers of their zone that it takes to be alive. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

REMOVAL_DELAY_SECONDS = 2.0  # seconds until a dead balancer is taken out


class HealthState(Enum):
    """What the front holds of a balancer."""

    OUT = "out"  # not answered PING yet, or taken out
    IN = "in"
    SUSPECT = "doubted"  # a PING failed; clients still go there


TRANSITIONS = {
    HealthState.OUT: (HealthState.IN,),
    HealthState.IN: (HealthState.SUSPECT, HealthState.OUT),
    HealthState.SUSPECT: (HealthState.IN, HealthState.OUT),
}


@dataclass(slots=True)
class BalancerHealth:
    """One balancer as the front sees it."""

    number: int
    zone: int
    state: HealthState = HealthState.OUT
    suspect_since: float = 0.0

    def change_state(self, seen: HealthState) -> None:
        if seen not in TRANSITIONS[self.state]:
            raise ValueError(f"{self.state.value} cannot become {seen.value}")
        self.state = seen

    def record_ping(self, well: bool, now: float) -> None:
        """The answer to a PING, or none in time."""
        if well:
            if self.state is not HealthState.IN:
                self.change_state(HealthState.IN)
        elif self.state is HealthState.IN:
            self.change_state(HealthState.SUSPECT)
            self.suspect_since = now
        elif self.state is HealthState.SUSPECT and now - self.suspect_since >= REMOVAL_DELAY_SECONDS:
            self.change_state(HealthState.OUT)


def pick_balancer(doors: list[BalancerHealth], zone: int, rng: Random) -> int | None:
    """The balancer for a client: one of its zone, else any; None while none is known."""
    known = [door for door in doors if door.state is not HealthState.OUT]
    near = [door for door in known if door.zone == zone] or known
    return rng.choice(near).number if near else None
