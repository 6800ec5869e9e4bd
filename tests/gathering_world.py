"""A fleet under a rolling release, with the real decisions on a virtual clock: groups of tunnels, each of
which costs a server once, however many of it that holds.

A server that is replaced sends its clients away at once; they come again at a balancer by chance within
seconds, and after a decline a little later. A server takes a setup at once; probes tell its load 20 ms later:
what its tunnels and groups cost over what it can do by its age.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from random import Random

from helpers import Notes, site
from pointgw.interface import ServerEntry
from pointgw.policy import Balancer, Server, Tunnel
from virtual_clock import VirtualClock

STEP = 0.1  # seconds between two ticks
ANSWER = 0.02  # seconds that a probe, or a setup, takes
AGAIN = 0.4  # seconds after which a client that was sent away comes again, about
WARM = 40.0  # what a warm server can do, in tunnels
GROUP = 3.0  # what a group costs there
COLD_FROM, COLD_TIME, SPAN, MULTIPLE = 0.4, 6.0, 1.0, 4.0
START = 100.0


class Host(Notes):
    """Carries out what one balancer asks."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world

    def setup(self, tun: Tunnel, ep: Server, patience: float) -> None:
        self.world.later(ANSWER, partial(self.world.open, self, tun, ep, len(tun.setups) - 1))

    def decline(self, tun: Tunnel, come_back: float) -> None:
        self.world.declined += 1
        self.world.comes(tun.group)

    def migrate(self, tun: Tunnel) -> None:
        self.world.ends(tun)
        self.world.comes(tun.group)

    def probe(self, ep: Server) -> None:
        self.world.later(ANSWER, partial(self.world.tell, self, ep))


@dataclass
class World(VirtualClock):
    balancers: int
    servers: int
    groups: int
    tunnels: int
    seed: int = 1
    tells: str = "load"  # what probes tell: that, or the connections
    now: float = START
    declined: int = 0
    at: dict[Tunnel, str] = field(default_factory=dict)  # where each open tunnel is
    whose: dict[Tunnel, Host] = field(default_factory=dict)
    holds: dict[str, Counter[str]] = field(default_factory=dict)  # by server: its groups
    started: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.start_clock()
        lines = [self.line(f"s{i}", 0.0) for i in range(self.servers)]
        told = {
            "list_is_polled": True, "slow_start_share": COLD_FROM, "warm_up_window": COLD_TIME,
            "overload_factor": MULTIPLE, "overload_window": SPAN,
            "balancer_count": self.balancers, "report_fields": (self.tells,),
            "tunnel_quota": WARM * self.servers if self.tells == "load" else 0.0,
        }  # fmt: skip
        self.of: dict[Host, Balancer] = {}
        for n in range(self.balancers):
            host = Host(self)
            self.of[host] = bal = Balancer(
                site(**told, balancer_index=n), host, Random(f"{self.seed}/{n}"), START
            )
            bal.update_servers(lines, True, False, START)
            bal.purse = 1e9  # what probes cost is not the matter here

    def line(self, name: str, started: float) -> ServerEntry:
        self.holds[name], self.started[name] = Counter(), started
        return ServerEntry(name, "active", 0, 0, 0, started, 1.0)

    def comes(self, group: str, wait: float = AGAIN) -> None:
        self.later(wait * self.rng.uniform(0.5, 1.5), partial(self.arrives, group))

    def arrives(self, group: str, now: float) -> None:
        host = self.rng.choice(list(self.of))
        bal = self.of[host]
        bal.tunnel_arrived(bal.new_tunnel("t", 0, 0, "k", group, now + 3.0, False), False, now)

    def open(self, host: Host, tun: Tunnel, ep: Server, number: int, now: float) -> None:
        if ep.name not in self.holds:
            self.of[host].setup_ended(tun, number, "no-connection", False, {}, now)
            return
        self.at[tun], self.whose[tun] = ep.name, host
        self.holds[ep.name][tun.group] += 1
        self.of[host].setup_opened(tun, number, now)

    def ends(self, tun: Tunnel) -> None:
        name = self.at.pop(tun)
        self.holds[name][tun.group] -= 1
        self.holds[name] += Counter()

    def load(self, name: str) -> float:
        groups = self.holds[name]
        age = (self.now - self.started[name]) / COLD_TIME
        share = min(1.0, COLD_FROM + (1.0 - COLD_FROM) * age)
        return (sum(groups.values()) + GROUP * len(groups)) / (WARM * share)

    def tell(self, host: Host, ep: Server, now: float) -> None:
        if ep.name in self.holds:
            figures = {"load": self.load(ep.name), "connections": float(self.holds[ep.name].total())}
            self.of[host].probe_ended(ep, "ok", {self.tells: figures[self.tells]}, now)
        else:
            self.of[host].probe_ended(ep, "no-connection", {}, now)

    def replace(self, count: int, time: int) -> None:
        """So many servers of the first ones drain: their tunnels come again. As many new ones start."""
        for i in range(time * count, (time + 1) * count):
            old, new = f"s{i}", f"n{i}"
            lines = [ServerEntry(old, "leaving", 0, 0, 0, 0.0, 1.0), self.line(new, self.now)]
            for bal in self.of.values():
                bal.update_servers(lines, False, False, self.now)
            for tun in [tun for tun, name in self.at.items() if name == old]:
                self.ends(tun)
                self.of[self.whose[tun]].setup_ended(
                    tun, len(tun.setups) - 1, "cancelled", True, {}, self.now
                )
                self.comes(tun.group, 2 * AGAIN)
            del self.holds[old]

    def fill(self, seconds: float) -> None:
        """The tunnels come over these, group by group as they are large: the n-th has 1/n of the first."""
        groups = [f"g{n}" for n in range(self.groups)]
        weights = [1.0 / (n + 1) for n in range(self.groups)]
        for group in self.rng.choices(groups, weights, k=self.tunnels):
            self.comes(group, seconds)

    def play(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            until = self.now + STEP
            self.run_until(until)
            for bal in self.of.values():
                bal.timer_due(until)

    def pairs(self) -> int:
        """Groups that servers pay for."""
        return sum(map(len, self.holds.values()))

    def fullest(self) -> float:
        return max(map(self.load, self.holds))
