"""Model of a stand-in server: load, backlog, slow start, overload. No I/O, no clock.

A fluid queue: tunnels ask for work continuously; work in excess of capacity adds to the backlog, which delays
answers. Capacity starts at the cold share and rises linearly; a large backlog costs it the thrash share.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

THRASH_BACKLOG_SECONDS = 1.0  # backlog, in seconds of work, above which a server thrashes
MAX_QUEUEING_LOAD = 0.95  # upper bound of the load in an answer's queueing delay, which diverges at 1
SETUP_BUDGET_SLACK = 4  # setups added to a cold server's budget, as arrivals vary by chance


class Health(Enum):
    """What a server does with setups and lines."""

    HEALTHY = "well"
    ERRORS = "errors"  # answers a share of setups with an error at once
    HANGING = "hanging"  # accepts and never answers
    FULL = "full"  # declines all setups
    DRAINING = "draining"  # declines setups and asks open tunnels to move
    OVERLOADED = "fallen"  # overloaded while cold; final


TRANSITIONS = {health: tuple(Health) for health in Health if health is not Health.OVERLOADED} | {
    Health.OVERLOADED: ()
}


@dataclass(slots=True, eq=False)
class ServedTunnel:
    """One tunnel at a server."""

    name: str
    group: str
    load: float  # work a second
    swing: float  # range of load changes, as a share of the load


@dataclass(frozen=True, slots=True)
class Make:
    """Constant parameters of a server. Capacity and group cost in work a second, times in seconds."""

    capacity: float
    holds: int  # tunnels that it accepts
    group_cost: float  # for each group with a tunnel here
    setup_work: float
    message_work: float
    cold_from: float  # slow start: share of capacity at first
    cold_seconds: float  # slow start: until full capacity
    tip_multiple: float  # overload factor of a cold server
    tip_seconds: float  # overload window of a cold server
    thrash: float  # share of capacity lost while thrashing
    drops_after: float  # backlog, in seconds of work, above which the heaviest tunnel is dropped
    tunnel_work: float  # mean work of a tunnel in its lifetime, which balancers learn only by observation


@dataclass(slots=True)
class ServerModel:
    """State of one server. Times in seconds of the caller's clock."""

    make: Make
    started_at: float  # 0: long ago, so the server is warm
    now: float
    health: Health = Health.HEALTHY
    error_share: float = 0.0  # share of setups that fail at once in state ERRORS
    capacity_share: float = 1.0  # share of capacity left by a disturbance
    tunnels: dict[str, ServedTunnel] = field(default_factory=dict)
    group_sizes: dict[str, int] = field(default_factory=dict)
    backlog: float = 0.0  # work
    tunnel_work_rate: float = 0.0  # work a second that its tunnels ask for
    recent_setups: deque[float] = field(default_factory=deque)  # times, within `tip_seconds`, while cold

    def change_health(self, health: Health) -> None:
        """Moves to another health; raises ValueError if the server is overloaded, which is final."""
        if health not in TRANSITIONS[self.health]:
            raise ValueError(f"{self.health.value} cannot become {health.value}")
        self.health = health

    def warm_share(self) -> float:
        """Slow start: share of the full capacity, from the cold share to 1."""
        if not self.started_at:
            return 1.0
        warm_up = max(0.0, self.now - self.started_at) / self.make.cold_seconds
        return min(1.0, self.make.cold_from + (1 - self.make.cold_from) * warm_up)

    def capacity(self) -> float:
        """Present capacity in work a second."""
        capacity = self.make.capacity * self.warm_share() * self.capacity_share
        return (
            capacity * (1 - self.make.thrash)
            if self.backlog > THRASH_BACKLOG_SECONDS * capacity
            else capacity
        )

    def load(self) -> float:
        """Work asked for a second, relative to capacity."""
        return (self.tunnel_work_rate + self.make.group_cost * len(self.group_sizes)) / self.capacity()

    def advance(self, now: float) -> None:
        """Advances the clock to `now`: the backlog grows or is worked off."""
        elapsed, self.now = now - self.now, now
        capacity = self.capacity()
        self.backlog = max(0.0, self.backlog + (self.load() - 1.0) * capacity * elapsed)

    def answer_delay(self) -> float:
        """Seconds until a line that arrives now is answered."""
        capacity = self.capacity()
        utilisation = min(self.load(), MAX_QUEUEING_LOAD)
        return self.backlog / capacity + self.make.message_work / capacity / (1 - utilisation)

    def add_setup(self, now: float) -> float:
        """Adds a setup's work; returns the seconds until it completes. Too many overload a cold server."""
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
        """Setups in `tip_seconds` without overload: `tip_multiple` times the rate that capacity sustains."""
        make, self.now = self.make, now
        sustainable_rate = make.capacity * self.warm_share() / make.tunnel_work
        return make.tip_multiple * sustainable_rate * make.tip_seconds + SETUP_BUDGET_SLACK

    def is_full(self) -> bool:
        """Whether it holds as many tunnels as it accepts."""
        return len(self.tunnels) >= self.make.holds

    def add_tunnel(self, tunnel: ServedTunnel) -> None:
        """Adds an open tunnel's load."""
        self.tunnels[tunnel.name] = tunnel
        self.tunnel_work_rate += tunnel.load
        if tunnel.group:
            self.group_sizes[tunnel.group] = self.group_sizes.get(tunnel.group, 0) + 1

    def remove_tunnel(self, name: str) -> None:
        """Removes a tunnel's load; an unknown name is ignored."""
        tunnel = self.tunnels.pop(name, None)
        if tunnel is None:
            return
        self.tunnel_work_rate = self.tunnel_work_rate - tunnel.load if self.tunnels else 0.0
        if tunnel.group:
            self.group_sizes[tunnel.group] -= 1
            if not self.group_sizes[tunnel.group]:
                del self.group_sizes[tunnel.group]

    def vary_load(self, name: str, rng: Random) -> float:
        """Changes a tunnel's load by a random amount; returns the new load."""
        tunnel = self.tunnels[name]
        drawn = tunnel.load * (1 + tunnel.swing * rng.uniform(-1.0, 1.0))
        new_load = 0.5 * (tunnel.load + drawn)  # half of the drawn change, so that the load drifts slowly
        self.tunnel_work_rate += new_load - tunnel.load
        tunnel.load = new_load
        return new_load

    def tunnel_to_drop(self) -> str | None:
        """Name of the tunnel with the highest load if the backlog requires dropping one, else None."""
        if self.backlog <= self.make.drops_after * self.capacity() or not self.tunnels:
            return None
        return max(self.tunnels.values(), key=lambda tunnel: (tunnel.load, tunnel.name)).name
