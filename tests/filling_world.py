"""Balancers with the real decisions before cold servers, on a virtual clock: what each server is sent.

All servers are cold at the start. At some balancers tunnels come, at others none; at one moment some come at
all of them. Words of loans are lost and late by chance. A server takes what it is sent at once; probes tell
its load 20 ms later.
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

WARM_CAPACITY = 60  # tunnels that a warm server bears
STEP_SECONDS = 0.05  # seconds
ANSWER_SECONDS = 0.02  # seconds that a probe, or a setup, takes
START = 100.0


class Host(RecordingHost):
    """Carries out what one balancer asks."""

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
    balancer_count: int
    server_count: int
    busy_balancers: int  # balancers at which tunnels come from the start
    arrival_rate: float  # tunnels a second at each of those
    seed: int = 1
    leases_enabled: bool = True
    loss_rate: float = 0.0
    max_delay: float = 0.03  # seconds, at most
    balancers_indexed: bool = False  # balancers are told their numbers
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
        for n in range(self.balancer_count):
            self._start_balancer(Host(self), n, 0)
        self.leases = [
            Leases(
                n,
                self.balancer_count,
                settings.overload_window,
                Random(f"{self.seed}/loans/{n}"),
                START - settings.overload_window,
            )
            for n in range(self.balancer_count)
        ]

    def _start_balancer(self, host: Host, n: int, time: int) -> None:
        settings = replace(self.site, balancer_index=n if self.balancers_indexed else -1)
        rng = Random(f"{self.seed}/{n}" + time * "/again")
        self.balancers[host] = balancer = Balancer(settings, host, rng, self.now)
        balancer.update_servers(self.entries, True, False, self.now)
        balancer.probe_credit = 1e9  # what probes cost is not the matter here

    def restart_balancers(self, every: int, time: int) -> None:
        """So many balancers, one after another in their order, forget all that they sent."""
        hosts = list(self.balancers)
        for n in range(time * every, min((time + 1) * every, self.balancer_count)):
            self._start_balancer(hosts[n], n, time + 1)

    def answer_probe(self, balancer: Balancer, server: Server, now: float) -> None:
        age = (now - START) / balancer.warm_up_window
        share = min(1.0, balancer.slow_start_share + (1 - balancer.slow_start_share) * age)
        balancer.probe_ended(
            server, "ok", {"load": len(self.placements[server.name]) / (WARM_CAPACITY * share)}, now
        )

    def run(self, seconds: float, all_at: float) -> None:
        """`all_at`: seconds from the start at which five tunnels come at each balancer at once."""
        came = False
        for _ in range(round(seconds / STEP_SECONDS)):
            until = self.now + STEP_SECONDS
            self.run_until(until)
            come = not came and until >= START + all_at
            came |= come
            for n, balancer in enumerate(self.balancers.values()):
                busy = n % (self.balancer_count // self.busy_balancers) == 0  # apart, as they would be
                many = 5 * come + (busy and self.rng.random() < self.arrival_rate * STEP_SECONDS)
                for _ in range(many):
                    balancer.tunnel_arrived(
                        balancer.new_tunnel("t", 0, 0, "k", "", until + 3.0, False), False, until
                    )
                balancer.timer_due(until)
                if self.leases_enabled:
                    self._exchange_leases(n, balancer, until)

    def _exchange_leases(self, n: int, balancer: Balancer, now: float) -> None:
        waits = any(tunnel.state is State.QUEUED for tunnel in balancer.queue) or now < balancer.no_room_until
        for lender, number in self.leases[n].requests_due(waits, not waits, now):
            self._deliver(partial(self._receive_request, n, lender, number))
        self._apply_budget_share(n, balancer, now)

    def _deliver(self, word: Callable[[float], object]) -> None:
        if self.rng.random() >= self.loss_rate:
            self.later(self.rng.uniform(0.0, self.max_delay), word)

    def _receive_request(self, borrower: int, lender: int, number: int, now: float) -> None:
        if self.leases[lender].receive_request(borrower, now):
            self._apply_budget_share(lender, list(self.balancers.values())[lender], now)
            self._deliver(partial(self.leases[borrower].receive_grant, lender, number))

    def _apply_budget_share(self, n: int, balancer: Balancer, now: float) -> None:
        part = self.leases[n].budget_share(now)
        if part != balancer.budget_share:
            balancer.set_budget_share(part, now)

    def max_overload_ratio(self) -> float:
        """The most that a server was sent within a tip span, of what it could take then with two standard
        deviations of chance."""
        settings = make_site()
        worst = 0.0
        for times in self.placements.values():
            for i, at in enumerate(times):
                begin = at - settings.overload_window
                age = max(0.0, at - settings.overload_window / 2 - START) / settings.warm_up_window
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
        """The most by which what a server was sent within a tip span is over N + 2 root N + 2."""
        settings, worst = self.site, -inf
        for times in self.placements.values():
            for i, at in enumerate(times):
                age = max(0.0, at - settings.overload_window - START)
                share = (
                    settings.slow_start_share
                    + (1 - settings.slow_start_share) * age / settings.warm_up_window
                )
                may = (
                    settings.overload_factor
                    * WARM_CAPACITY
                    / settings.warm_up_window
                    * share
                    * settings.overload_window
                )
                worst = max(
                    worst, i + 1 - bisect_left(times, at - settings.overload_window) - may - 2 * may**0.5 - 2
                )
        return worst

    def total_budget(self) -> float:
        """What all balancers may send until now, with what is kept back for chance."""
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
        return sum(map(len, self.placements.values()))
