"""Rule 4 after a start whose first list is empty, all cold, all draining or partial, on a virtual clock.

Guards against an estimate of a tunnel's load that the first list sets for good: an empty one made it 0, cold
servers fell over, and with only cold servers listed every request was declined.
"""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from itertools import product
from math import sqrt
from random import Random

import pytest

from helpers import REPEATABLE, RecordingHost, make_site
from pointgw.interface import ServerEntry
from pointgw.policy import Balancer, Server, Tunnel
from virtual_clock import VirtualClock

SERVERS, CAPACITY = 5, 30  # servers, and the tunnels that a warm one can serve
START, CHANGE, END = 100.0, 101.5, 111.5  # times of the first and second list, and the end
ARRIVALS_PER_SECOND = 15.0
ANSWER_SECONDS = 0.02
WARM_UP, COLD_SHARE, OVERLOAD, WINDOW = 18.0, 0.15, 2.0, 2.0


class World(VirtualClock, RecordingHost):
    """One balancer, and servers that open each tunnel and report their load."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self.start_clock()
        site = make_site(
            balancer_count=1, list_is_polled=True, tunnel_quota=float(CAPACITY * SERVERS),
            warm_up_window=WARM_UP, slow_start_share=COLD_SHARE, overload_factor=OVERLOAD,
            overload_window=WINDOW, profiles=(REPEATABLE,),
        )  # fmt: skip
        self.balancer = Balancer(site, self, Random(1), START)
        self.setups: defaultdict[str, list[float]] = defaultdict(list)
        self.started_at: dict[str, float] = {}  # of servers that are listed as cold

    def setup(self, tunnel: Tunnel, server: Server, timeout: float) -> None:
        self.setups[server.name].append(self.now)
        self.later(ANSWER_SECONDS, partial(self.balancer.setup_opened, tunnel, len(tunnel.setups) - 1))

    def probe(self, server: Server) -> None:
        def answer(now: float) -> None:
            self.balancer.probe_ended(server, "ok", {"load": len(server.tunnels) / CAPACITY}, now)

        self.later(ANSWER_SECONDS, answer)

    def set_timer(self, delay: float) -> None:
        self.later(delay, lambda now: self.balancer.timer_due(now))

    def receive(self, kind: str, is_cached: bool) -> None:
        """Applies a complete list of the given kind."""
        entries = []
        for i in range({"empty": 0, "one": 1}.get(kind, SERVERS)):
            name = f"s{i}"
            if kind == "cold":
                self.started_at.setdefault(name, self.now)
            state = "leaving" if kind == "draining" else "active"
            entries.append(ServerEntry(name, state, 0, i, 0, self.started_at.get(name, 0.0), 1.0))  # type: ignore[arg-type]
        self.balancer.update_servers(entries, True, is_cached, self.now)

    def arrive(self, now: float) -> None:
        tunnel = self.balancer.new_tunnel("t", 0, 0, "k", "", now + 3.0, False)
        self.balancer.tunnel_arrived(tunnel, False, now)
        self.later(1.0 / ARRIVALS_PER_SECOND, self.arrive)

    def excess(self, name: str, begin: float) -> float:
        """Setups at a cold server in the overload window from `begin`, over what it bears."""
        age = begin + WINDOW / 2 - self.started_at[name]
        share = min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * age / WARM_UP)
        mean = OVERLOAD * share * CAPACITY / WARM_UP * WINDOW
        limit = mean + 3 * sqrt(mean) + 3
        return sum(begin <= at <= begin + WINDOW for at in self.setups[name]) - limit


KINDS = ("empty", "cold", "draining", "one", "warm")


@pytest.mark.parametrize(("first", "second"), [pair for pair in product(KINDS, KINDS) if pair[0] != pair[1]])
def test_no_cold_server_is_overloaded_or_idle_whatever_the_first_list(first: str, second: str) -> None:
    world = World()
    world.receive(first, True)
    world.arrive(START)
    world.run_until(CHANGE)
    world.receive(second, False)
    world.run_until(END)
    for name, started_at in world.started_at.items():
        assert all(world.excess(name, at) <= 0.0 for at in world.setups[name] if at >= started_at)
    served = sum(at >= CHANGE for setups in world.setups.values() for at in setups)
    assert (served > 0) is (second in ("cold", "one", "warm"))
