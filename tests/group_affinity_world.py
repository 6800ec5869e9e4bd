"""Simulates a fleet under a rolling release, with the real decisions on a virtual clock.

Tunnels belong to groups, and a server pays for each of its groups once. A server that is replaced sends its
clients away at once; they return at a random balancer within about a second, as declined clients do sooner.
A server opens a tunnel 20 ms after the setup; probes report, after the same time, the cost of its tunnels and
groups over its capacity at its age.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from random import Random

from helpers import RecordingHost, make_site
from pointgw.interface import ServerEntry
from pointgw.policy import Balancer, Server, Tunnel
from virtual_clock import VirtualClock

STEP_SECONDS = 0.1  # between two timers
ANSWER_SECONDS = 0.02  # duration of a probe or a setup
RETRY_SECONDS = 0.4  # mean time after which a declined or migrated client returns; doubled after a drain
WARM_CAPACITY = 40.0  # of a warm server, in tunnels
GROUP_COST = 3.0  # of one group at a server, in tunnels
SLOW_START_SHARE = 0.4
WARM_UP_WINDOW = 6.0  # seconds
OVERLOAD_WINDOW = 1.0  # seconds
OVERLOAD_FACTOR = 4.0
START = 100.0


class Host(RecordingHost):
    """Carries out the requests of one balancer."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world

    def setup(self, tunnel: Tunnel, server: Server, timeout: float) -> None:
        self.world.later(
            ANSWER_SECONDS, partial(self.world.open_tunnel, self, tunnel, server, len(tunnel.setups) - 1)
        )

    def decline(self, tunnel: Tunnel, retry_after: float) -> None:
        self.world.declined += 1
        self.world.schedule_arrival(tunnel.group)

    def migrate(self, tunnel: Tunnel) -> None:
        self.world.end_tunnel(tunnel)
        self.world.schedule_arrival(tunnel.group)

    def probe(self, server: Server) -> None:
        self.world.later(ANSWER_SECONDS, partial(self.world.answer_probe, self, server))


@dataclass
class World(VirtualClock):
    """The fleet: its balancers, its servers with their groups, and where each open tunnel is."""

    balancer_count: int
    server_count: int
    group_count: int
    tunnel_count: int
    seed: int = 1
    report_field: str = "load"  # the field that probes report: "load" or "connections"
    now: float = START
    declined: int = 0
    server_of: dict[Tunnel, str] = field(default_factory=dict)  # the server of each open tunnel
    host_of: dict[Tunnel, Host] = field(default_factory=dict)
    groups_by_server: dict[str, Counter[str]] = field(
        default_factory=dict
    )  # tunnels of each group at a server
    started_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.start_clock()
        entries = [self.add_server(f"s{i}", 0.0) for i in range(self.server_count)]
        settings = {
            "list_is_polled": True, "slow_start_share": SLOW_START_SHARE, "warm_up_window": WARM_UP_WINDOW,
            "overload_factor": OVERLOAD_FACTOR, "overload_window": OVERLOAD_WINDOW,
            "balancer_count": self.balancer_count, "report_fields": (self.report_field,),
            "tunnel_quota": WARM_CAPACITY * self.server_count if self.report_field == "load" else 0.0,
        }  # fmt: skip
        self.balancers: dict[Host, Balancer] = {}
        for n in range(self.balancer_count):
            host = Host(self)
            self.balancers[host] = balancer = Balancer(
                make_site(**settings, balancer_index=n), host, Random(f"{self.seed}/{n}"), START
            )
            balancer.update_servers(entries, True, False, START)
            balancer.probe_credit = 1e9  # probes are not limited here

    def add_server(self, name: str, started_at: float) -> ServerEntry:
        self.groups_by_server[name], self.started_at[name] = Counter(), started_at
        return ServerEntry(name, "active", 0, 0, 0, started_at, 1.0)

    def schedule_arrival(self, group: str, delay: float = RETRY_SECONDS) -> None:
        self.later(delay * self.rng.uniform(0.5, 1.5), partial(self.arrive, group))

    def arrive(self, group: str, now: float) -> None:
        host = self.rng.choice(list(self.balancers))
        balancer = self.balancers[host]
        balancer.tunnel_arrived(balancer.new_tunnel("t", 0, 0, "k", group, now + 3.0, False), False, now)

    def open_tunnel(self, host: Host, tunnel: Tunnel, server: Server, number: int, now: float) -> None:
        if server.name not in self.groups_by_server:
            self.balancers[host].setup_ended(tunnel, number, "no-connection", False, {}, now)
            return
        self.server_of[tunnel], self.host_of[tunnel] = server.name, host
        self.groups_by_server[server.name][tunnel.group] += 1
        self.balancers[host].setup_opened(tunnel, number, now)

    def end_tunnel(self, tunnel: Tunnel) -> None:
        name = self.server_of.pop(tunnel)
        self.groups_by_server[name][tunnel.group] -= 1
        self.groups_by_server[name] += Counter()

    def load(self, name: str) -> float:
        """The cost of a server's tunnels and groups over its capacity at its age."""
        groups = self.groups_by_server[name]
        age = (self.now - self.started_at[name]) / WARM_UP_WINDOW
        share = min(1.0, SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * age)
        return (sum(groups.values()) + GROUP_COST * len(groups)) / (WARM_CAPACITY * share)

    def answer_probe(self, host: Host, server: Server, now: float) -> None:
        if server.name in self.groups_by_server:
            figures = {
                "load": self.load(server.name),
                "connections": float(self.groups_by_server[server.name].total()),
            }
            self.balancers[host].probe_ended(
                server, "ok", {self.report_field: figures[self.report_field]}, now
            )
        else:
            self.balancers[host].probe_ended(server, "no-connection", {}, now)

    def replace_servers(self, count: int, step: int) -> None:
        """Drains the next `count` of the first servers, whose clients return, and starts as many new ones."""
        for i in range(step * count, (step + 1) * count):
            drained, started_server = f"s{i}", f"n{i}"
            entries = [
                ServerEntry(drained, "leaving", 0, 0, 0, 0.0, 1.0),
                self.add_server(started_server, self.now),
            ]
            for balancer in self.balancers.values():
                balancer.update_servers(entries, False, False, self.now)
            for tunnel in [tunnel for tunnel, name in self.server_of.items() if name == drained]:
                self.end_tunnel(tunnel)
                self.balancers[self.host_of[tunnel]].setup_ended(
                    tunnel, len(tunnel.setups) - 1, "cancelled", True, {}, self.now
                )
                self.schedule_arrival(tunnel.group, 2 * RETRY_SECONDS)
            del self.groups_by_server[drained]

    def schedule_arrivals(self, seconds: float) -> None:
        """Schedules all tunnels over this time; the n-th group has 1/n of the first one's."""
        groups = [f"g{n}" for n in range(self.group_count)]
        weights = [1.0 / (n + 1) for n in range(self.group_count)]
        for group in self.rng.choices(groups, weights, k=self.tunnel_count):
            self.schedule_arrival(group, seconds)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            until = self.now + STEP_SECONDS
            self.run_until(until)
            for balancer in self.balancers.values():
                balancer.timer_due(until)

    def count_group_placements(self) -> int:
        """The number of groups at each server, summed over the servers."""
        return sum(map(len, self.groups_by_server.values()))

    def max_load(self) -> float:
        return max(map(self.load, self.groups_by_server))
