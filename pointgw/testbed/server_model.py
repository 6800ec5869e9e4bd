"""How a stand-in server fares: load, work piled up, coldness, falling over. No I/O, no clock.

A fluid queue: tunnels ask for work all the time; what is asked over capacity piles up, and answers wait
for it. Capacity starts at the cold share and rises evenly; while much is piled up it loses the thrash share.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

THRASH_BACKLOG_SECONDS = 1.0  # seconds of work from which a server thrashes
MAX_QUEUEING_LOAD = 0.95  # load over which an answer's time no longer rises by load alone
SETUP_BUDGET_SLACK = 4  # setups that chance may add to a cold server's budget


class Health(Enum):
    """What a server does with setups and lines."""

    HEALTHY = "well"
    ERRORS = "errors"  # answers setups with an error, at once
    HANGING = "hanging"  # accepts and never answers
    FULL = "full"  # turns all away
    DRAINING = "draining"  # turns new ones away and sends away what it has
    OVERLOADED = "fallen"  # pushed over while cold


TRANSITIONS = {health: tuple(Health) for health in Health if health is not Health.OVERLOADED} | {
    Health.OVERLOADED: ()
}


@dataclass(slots=True, eq=False)
class ServedTunnel:
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
class ServerModel:
    make: Make
    started_at: float  # 0: long ago
    now: float
    health: Health = Health.HEALTHY
    error_share: float = 0.0  # share of setups that fail at once
    capacity_share: float = 1.0  # share of capacity that is left
    tunnels: dict[str, ServedTunnel] = field(default_factory=dict)
    group_sizes: dict[str, int] = field(default_factory=dict)
    backlog: float = 0.0  # work waiting
    tunnel_work_rate: float = 0.0  # work a second by its tunnels
    recent_setups: deque[float] = field(default_factory=deque)  # setups within the tip time, while cold

    def change_health(self, health: Health) -> None:
        """The one place where health changes."""
        if health not in TRANSITIONS[self.health]:
            raise ValueError(f"{self.health.value} cannot become {health.value}")
        self.health = health

    def warm_share(self) -> float:
        """The share of its full capacity, from the cold share to 1."""
        if not self.started_at:
            return 1.0
        age = max(0.0, self.now - self.started_at) / self.make.cold_seconds
        return min(1.0, self.make.cold_from + (1 - self.make.cold_from) * age)

    def capacity(self) -> float:
        cap = self.make.capacity * self.warm_share() * self.capacity_share
        return cap * (1 - self.make.thrash) if self.backlog > THRASH_BACKLOG_SECONDS * cap else cap

    def load(self) -> float:
        """Work asked over what it can do."""
        return (self.tunnel_work_rate + self.make.group_cost * len(self.group_sizes)) / self.capacity()

    def advance(self, now: float) -> None:
        """Time passes: work piles up, or is done."""
        span, self.now = now - self.now, now
        cap = self.capacity()
        self.backlog = max(0.0, self.backlog + (self.load() - 1.0) * cap * span)

    def answer_delay(self) -> float:
        """Seconds until a line that comes now is answered."""
        cap = self.capacity()
        busy = min(self.load(), MAX_QUEUEING_LOAD)
        return self.backlog / cap + self.make.message_work / cap / (1 - busy)

    def add_setup(self, now: float) -> float:
        """A setup's work is added; gives the seconds until it stands."""
        self.advance(now)
        self.backlog += self.make.setup_work
        if self.started_at and self.warm_share() < 1.0:
            self.recent_setups.append(now)
            while self.recent_setups[0] < now - self.make.tip_seconds:
                self.recent_setups.popleft()
            if len(self.recent_setups) > self.setup_budget(now) and self.health is not Health.OVERLOADED:
                self.change_health(Health.OVERLOADED)
        return self.answer_delay()

    def setup_budget(self, now: float) -> float:
        """Setups within the tip time that do not push it over: as many as fill it in one life, times."""
        make, self.now = self.make, now
        fills = make.capacity * self.warm_share() / make.tunnel_work
        return make.tip_multiple * fills * make.tip_seconds + SETUP_BUDGET_SLACK

    def is_full(self) -> bool:
        return len(self.tunnels) >= self.make.holds

    def add_tunnel(self, held: ServedTunnel) -> None:
        self.tunnels[held.name] = held
        self.tunnel_work_rate += held.load
        if held.group:
            self.group_sizes[held.group] = self.group_sizes.get(held.group, 0) + 1

    def remove_tunnel(self, name: str) -> None:
        held = self.tunnels.pop(name, None)
        if held is None:
            return
        self.tunnel_work_rate = self.tunnel_work_rate - held.load if self.tunnels else 0.0
        if held.group:
            self.group_sizes[held.group] -= 1
            if not self.group_sizes[held.group]:
                del self.group_sizes[held.group]

    def vary_load(self, name: str, rng: Random) -> float:
        """A tunnel's load moves about its usual one; gives the new load."""
        held = self.tunnels[name]
        now = held.load * (1 + held.swing * rng.uniform(-1.0, 1.0))
        usual = 0.5 * (held.load + now)  # half of a swing stays, so that it wanders and comes back
        self.tunnel_work_rate += usual - held.load
        held.load = usual
        return usual

    def tunnel_to_drop(self) -> str | None:
        """The tunnel that is dropped when too much is piled up."""
        if self.backlog <= self.make.drops_after * self.capacity() or not self.tunnels:
            return None
        return max(self.tunnels.values(), key=lambda held: (held.load, held.name)).name
