"""Simulates a fleet of balancers that fill cold servers, with the real decisions on a virtual clock.

All servers are cold at the start. Tunnels arrive at some balancers, and at one moment at all of them.
Messages about leases of the slow-start budget are lost and delayed at random. A server opens each tunnel
20 ms after the setup, and a probe reports its load after the same time.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from math import inf
from random import Random

from helpers import RecordingHost, make_site
from pointgw.interface import ServerEntry
from pointgw.policy import SLOW_START_SAFETY_FACTOR, Balancer, Server, State, Tunnel
from pointgw.recovery.leases import Leases
from virtual_clock import VirtualClock

WARM_CAPACITY = 60  # tunnels that a warm server can serve
STEP_SECONDS = 0.05  # between two timers
ANSWER_SECONDS = 0.02  # duration of a probe or a setup
START = 100.0


class Host(RecordingHost):
    """Carries out the requests of one balancer."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world

    def setup(self, tunnel: Tunnel, server: Server, timeout: float) -> None:
        world = self.world
        world.placements[server.name].append(world.now)
        number = len(tunnel.setups) - 1
        world.later(ANSWER_SECONDS, partial(world.balancers[self].setup_opened, tunnel, number))

    def decline(self, tunnel: Tunnel, retry_after: float) -> None:
        self.world.declined += 1

    def probe(self, server: Server) -> None:
        self.world.later(ANSWER_SECONDS, partial(self.world.answer_probe, self.world.balancers[self], server))


@dataclass
class World(VirtualClock):
    """The fleet: its balancers, their leases, and the times at which each server was sent tunnels."""

    balancer_count: int
    server_count: int
    busy_balancers: int  # balancers at which tunnels arrive from the start
    arrival_rate: float  # tunnels a second at each of those
    seed: int = 1
    leases_enabled: bool = True
    loss_rate: float = 0.0
    max_delay: float = 0.03  # seconds, at most
    balancers_indexed: bool = False  # whether balancers know their index
    balancers: dict[Host, Balancer] = field(default_factory=dict)
    placements: dict[str, list[float]] = field(default_factory=dict)
    declined: int = 0
    now: float = START

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.start_clock()
        names = [f"s{i}" for i in range(self.server_count)]
        self.placements = {name: [] for name in names}
        self.entries = [ServerEntry(name, "active", 0, 0, 0, START, 1.0) for name in names]
        self.site = settings = make_site(
            balancer_count=self.balancer_count,
            tunnel_quota=float(WARM_CAPACITY * self.server_count),
            list_is_polled=True,
        )
        for index in range(self.balancer_count):
            self._start_balancer(Host(self), index, 0)
        self.leases = [
            Leases(
                index,
                self.balancer_count,
                settings.overload_window,
                Random(f"{self.seed}/loans/{index}"),
                START - settings.overload_window,
            )
            for index in range(self.balancer_count)
        ]

    def _start_balancer(self, host: Host, index: int, restart: int) -> None:
        settings = replace(self.site, balancer_index=index if self.balancers_indexed else -1)
        rng = Random(f"{self.seed}/{index}" + restart * "/again")
        self.balancers[host] = balancer = Balancer(settings, host, rng, self.now)
        balancer.update_servers(self.entries, True, False, self.now)
        balancer.probe_credit = 1e9  # probes are not limited here

    def restart_balancers(self, count: int, restart: int) -> None:
        """Restarts the next `count` balancers, which forget what they sent; `restart`: calls before this."""
        hosts = list(self.balancers)
        for index in range(restart * count, min((restart + 1) * count, self.balancer_count)):
            self._start_balancer(hosts[index], index, restart + 1)

    def answer_probe(self, balancer: Balancer, server: Server, now: float) -> None:
        age = (now - START) / balancer.warm_up_window
        share = min(1.0, balancer.slow_start_share + (1 - balancer.slow_start_share) * age)
        balancer.probe_ended(
            server, "ok", {"load": len(self.placements[server.name]) / (WARM_CAPACITY * share)}, now
        )

    def run(self, seconds: float, all_at: float) -> None:
        """Runs the fleet; `all_at`: seconds from the start at which five tunnels arrive at each balancer."""
        has_arrived = False
        for _ in range(round(seconds / STEP_SECONDS)):
            until = self.now + STEP_SECONDS
            self.run_until(until)
            arrive_now = not has_arrived and until >= START + all_at
            has_arrived |= arrive_now
            for index, balancer in enumerate(self.balancers.values()):
                is_busy = index % (self.balancer_count // self.busy_balancers) == 0  # spread over the indexes
                arrivals = 5 * arrive_now + (is_busy and self.rng.random() < self.arrival_rate * STEP_SECONDS)
                for _ in range(arrivals):
                    balancer.tunnel_arrived(
                        balancer.new_tunnel("t", 0, 0, "k", "", until + 3.0, False), False, until
                    )
                balancer.timer_due(until)
                if self.leases_enabled:
                    self._exchange_leases(index, balancer, until)

    def _exchange_leases(self, index: int, balancer: Balancer, now: float) -> None:
        needs_budget = (
            any(tunnel.state is State.QUEUED for tunnel in balancer.queue) or now < balancer.no_room_until
        )
        for lessor, request_id in self.leases[index].requests_due(needs_budget, not needs_budget, now):
            self._deliver(partial(self._receive_request, index, lessor, request_id))
        self._apply_budget_share(index, balancer, now)

    def _deliver(self, message: Callable[[float], object]) -> None:
        if self.rng.random() >= self.loss_rate:
            self.later(self.rng.uniform(0.0, self.max_delay), message)

    def _receive_request(self, lessee: int, lessor: int, request_id: int, now: float) -> None:
        if self.leases[lessor].receive_request(lessee, now):
            self._apply_budget_share(lessor, list(self.balancers.values())[lessor], now)
            self._deliver(partial(self.leases[lessee].receive_grant, lessor, request_id))

    def _apply_budget_share(self, index: int, balancer: Balancer, now: float) -> None:
        share = self.leases[index].budget_share(now)
        if share != balancer.budget_share:
            balancer.set_budget_share(share, now)

    def max_overload_ratio(self) -> float:
        """The most tunnels sent to a server within an overload window, over its limit with chance.

        The limit is that in the middle of the window; chance adds two standard deviations.
        """
        settings = make_site()
        worst = 0.0
        for times in self.placements.values():
            for i, sent_at in enumerate(times):
                begin = sent_at - settings.overload_window
                age = max(0.0, sent_at - settings.overload_window / 2 - START) / settings.warm_up_window
                share = settings.slow_start_share + (1 - settings.slow_start_share) * age
                limit = (
                    settings.overload_factor
                    * WARM_CAPACITY
                    / settings.warm_up_window
                    * share
                    * settings.overload_window
                )
                worst = max(worst, (i + 1 - bisect_left(times, begin)) / (limit + 2.0 * limit**0.5))
        return worst

    def max_overload_excess(self) -> float:
        """The most by which the tunnels sent to a server within an overload window exceed N + 2 sqrt(N) + 2.

        N: its limit at the start of the window.
        """
        settings, worst = self.site, -inf
        for times in self.placements.values():
            for i, sent_at in enumerate(times):
                age = max(0.0, sent_at - settings.overload_window - START)
                share = (
                    settings.slow_start_share
                    + (1 - settings.slow_start_share) * age / settings.warm_up_window
                )
                limit = (
                    settings.overload_factor
                    * WARM_CAPACITY
                    / settings.warm_up_window
                    * share
                    * settings.overload_window
                )
                worst = max(
                    worst,
                    i
                    + 1
                    - bisect_left(times, sent_at - settings.overload_window)
                    - limit
                    - 2 * limit**0.5
                    - 2,
                )
        return worst

    def total_budget(self) -> float:
        """The tunnels that all balancers may have sent until now, by the budget with its safety factor."""
        settings, age = self.site, self.now - START
        share = (
            settings.slow_start_share + (1 - settings.slow_start_share) * age / 2 / settings.warm_up_window
        )
        return (
            SLOW_START_SAFETY_FACTOR
            * settings.overload_factor
            * WARM_CAPACITY
            / settings.warm_up_window
            * share
            * age
            * self.server_count
        )

    def count_placements(self) -> int:
        """The setups that were sent to all servers."""
        return sum(map(len, self.placements.values()))
