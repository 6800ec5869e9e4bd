"""How a stand-in server fares: load, work piled up, coldness, falling over. No I/O, no clock.

A fluid queue: tunnels ask for work all the time; what is asked over capacity piles up, and answers wait
for it. Capacity starts at the cold share and rises evenly; while much is piled up it loses the thrash share.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

PILED = 1.0  # seconds of work from which a server thrashes
CROWDED = 0.95  # load over which an answer's time no longer rises by load alone
SLACK = 4  # setups that chance may add to a cold server's budget


class Health(Enum):
    """What a server does with setups and lines."""

    WELL = "well"
    ERRORS = "errors"  # answers setups with an error, at once
    HANGING = "hanging"  # accepts and never answers
    FULL = "full"  # turns all away
    DRAINING = "draining"  # turns new ones away and sends away what it has
    FALLEN = "fallen"  # pushed over while cold


NEXT = {health: tuple(Health) for health in Health if health is not Health.FALLEN} | {Health.FALLEN: ()}


@dataclass(slots=True, eq=False)
class Held:
    """One tunnel at a server."""

    name: str
    group: str
    load: float  # work a second
    swing: float


@dataclass(frozen=True, slots=True)
class Make:
    """What a server is like. Work and capacity in work a second, times in seconds."""

    capacity: float
    holds: int
    group_cost: float
    setup_work: float
    message_work: float
    cold_from: float
    cold_seconds: float
    tip_multiple: float
    tip_seconds: float
    thrash: float
    drops_after: float
    tunnel_work: float  # work that a tunnel asks in its life, as told to balancers by what they see


@dataclass(slots=True)
class Machine:
    make: Make
    started: float  # 0: long ago
    now: float
    health: Health = Health.WELL
    errors: float = 0.0  # share of setups that fail at once
    slowed: float = 1.0  # share of capacity that is left
    held: dict[str, Held] = field(default_factory=dict)
    groups: dict[str, int] = field(default_factory=dict)
    piled: float = 0.0  # work waiting
    asked: float = 0.0  # work a second by its tunnels
    came: deque[float] = field(default_factory=deque)  # setups within the tip time, while cold

    def to(self, health: Health) -> None:
        """The one place where health changes."""
        if health not in NEXT[self.health]:
            raise ValueError(f"{self.health.value} cannot become {health.value}")
        self.health = health

    def warmth(self) -> float:
        """The share of its full capacity, from the cold share to 1."""
        if not self.started:
            return 1.0
        age = max(0.0, self.now - self.started) / self.make.cold_seconds
        return min(1.0, self.make.cold_from + (1 - self.make.cold_from) * age)

    def capacity(self) -> float:
        cap = self.make.capacity * self.warmth() * self.slowed
        return cap * (1 - self.make.thrash) if self.piled > PILED * cap else cap

    def load(self) -> float:
        """Work asked over what it can do."""
        return (self.asked + self.make.group_cost * len(self.groups)) / self.capacity()

    def turn(self, now: float) -> None:
        """Time passes: work piles up, or is done."""
        span, self.now = now - self.now, now
        cap = self.capacity()
        self.piled = max(0.0, self.piled + (self.load() - 1.0) * cap * span)

    def wait(self) -> float:
        """Seconds until a line that comes now is answered."""
        cap = self.capacity()
        busy = min(self.load(), CROWDED)
        return self.piled / cap + self.make.message_work / cap / (1 - busy)

    def setup(self, now: float) -> float:
        """A setup's work is added; gives the seconds until it stands."""
        self.turn(now)
        self.piled += self.make.setup_work
        if self.started and self.warmth() < 1.0:
            self.came.append(now)
            while self.came[0] < now - self.make.tip_seconds:
                self.came.popleft()
            if len(self.came) > self.budget(now) and self.health is not Health.FALLEN:
                self.to(Health.FALLEN)
        return self.wait()

    def budget(self, now: float) -> float:
        """Setups within the tip time that do not push it over: as many as fill it in one life, times."""
        make, self.now = self.make, now
        fills = make.capacity * self.warmth() / make.tunnel_work
        return make.tip_multiple * fills * make.tip_seconds + SLACK

    def full(self) -> bool:
        return len(self.held) >= self.make.holds

    def take(self, held: Held) -> None:
        self.held[held.name] = held
        self.asked += held.load
        if held.group:
            self.groups[held.group] = self.groups.get(held.group, 0) + 1

    def drop(self, name: str) -> None:
        held = self.held.pop(name, None)
        if held is None:
            return
        self.asked = self.asked - held.load if self.held else 0.0
        if held.group:
            self.groups[held.group] -= 1
            if not self.groups[held.group]:
                del self.groups[held.group]

    def swing(self, name: str, rng: Random) -> float:
        """A tunnel's load moves about its usual one; gives the new load."""
        held = self.held[name]
        now = held.load * (1 + held.swing * rng.uniform(-1.0, 1.0))
        usual = 0.5 * (held.load + now)  # half of a swing stays, so that it wanders and comes back
        self.asked += usual - held.load
        held.load = usual
        return usual

    def heaviest(self) -> str | None:
        """The tunnel that is dropped when too much is piled up."""
        if self.piled <= self.make.drops_after * self.capacity() or not self.held:
            return None
        return max(self.held.values(), key=lambda held: (held.load, held.name)).name
