"""The front: deals clients out among the balancers of their zone that it takes to be alive. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

NOTICES = 2.0  # seconds until a dead balancer is taken out


class Seen(Enum):
    """What the front holds of a balancer."""

    OUT = "out"  # not answered PING yet, or taken out
    IN = "in"
    DOUBTED = "doubted"  # a PING failed; clients still go there


NEXT = {
    Seen.OUT: (Seen.IN,),
    Seen.IN: (Seen.DOUBTED, Seen.OUT),
    Seen.DOUBTED: (Seen.IN, Seen.OUT),
}


@dataclass(slots=True)
class Door:
    """One balancer as the front sees it."""

    number: int
    zone: int
    seen: Seen = Seen.OUT
    doubted_at: float = 0.0

    def to(self, seen: Seen) -> None:
        if seen not in NEXT[self.seen]:
            raise ValueError(f"{self.seen.value} cannot become {seen.value}")
        self.seen = seen

    def pinged(self, well: bool, now: float) -> None:
        """The answer to a PING, or none in time."""
        if well:
            if self.seen is not Seen.IN:
                self.to(Seen.IN)
        elif self.seen is Seen.IN:
            self.to(Seen.DOUBTED)
            self.doubted_at = now
        elif self.seen is Seen.DOUBTED and now - self.doubted_at >= NOTICES:
            self.to(Seen.OUT)


def deal(doors: list[Door], zone: int, rng: Random) -> int | None:
    """The balancer for a client: one of its zone, else any; None while none is known."""
    known = [door for door in doors if door.seen is not Seen.OUT]
    near = [door for door in known if door.zone == zone] or known
    return rng.choice(near).number if near else None
