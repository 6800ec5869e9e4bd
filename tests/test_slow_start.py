"""Rule 4 over a whole fleet: what all balancers send to cold servers within an overload window."""

from __future__ import annotations

from random import Random

import pytest

from helpers import RecordingHost, make_site
from pointgw.interface import ServerEntry
from pointgw.policy import Balancer, Server
from slow_start_world import START, STEP_SECONDS, World

COUNTS = [20, 30, 200, 230]
LARGE = 1000  # balancers: one seed, as it takes seconds
RESTARTS = 10  # parts of the fleet that are restarted one after another


def fleet(count: int, seed: int, busy_balancers: int, arrival_rate: float) -> World:
    return World(count, 4, busy_balancers, arrival_rate, seed, leases_enabled=False, balancers_indexed=True)


@pytest.mark.parametrize(
    ("count", "seed"), [(count, seed) for count in COUNTS for seed in range(4)] + [(LARGE, 0)]
)
def test_mass_arrival_after_a_pause_overloads_no_cold_server(count: int, seed: int) -> None:
    # Guards rule 4 against saved budget: no balancer has sent anything, so each has kept the most that it may
    # when tunnels arrive at all of them at one moment.
    world = fleet(count, seed, 1, 0.0)
    world.run(4.0, 0.5 + 0.75 * seed)
    assert world.count_placements() >= 8 and world.max_overload_excess() <= 0.0


@pytest.mark.parametrize(
    ("count", "seed"), [(count, seed) for count in COUNTS for seed in (0, 1, 8, 17, 22)] + [(LARGE, 8)]
)
def test_restarting_balancers_fill_cold_servers_without_overload(count: int, seed: int) -> None:
    # Guards rule 4 while balancers restart, one tenth after another, and forget what they sent; at a tenth of
    # them far more tunnels arrive than at the others. With random first tunnels 2 of 96 such fleets exceeded
    # the limit, others sent 0.6 of their budget.
    world = fleet(count, seed, count // 10, 400.0 / count)
    rng = Random(seed)
    for restart in range(RESTARTS):
        for balancer in world.balancers.values():
            for _ in range(rng.random() < 0.5):
                balancer.tunnel_arrived(
                    balancer.new_tunnel("t", 0, 0, "k", "", world.now + 3.0, False), False, world.now
                )
        world.run(0.4, 1e9)
        world.restart_balancers(count // RESTARTS, restart)
    assert world.max_overload_excess() <= 0.0
    assert world.count_placements() >= 0.6 * world.total_budget()


@pytest.mark.parametrize("count", [*COUNTS, LARGE])
def test_first_tunnels_for_a_cold_server_are_due_evenly_over_time(count: int) -> None:
    # Guards rule 4 against many balancers that hold the budget of a whole tunnel at one moment by chance: the
    # first tunnels are due evenly over time, whenever each balancer started.
    entries = [
        ServerEntry("s0", "active", 0, 0, 0, START, 1.0),
        ServerEntry("s1", "active", 0, 0, 0, 0.0, 1.0),
    ]
    due_times: list[float] = []
    for n in range(count):
        started_at = START + (n * 7 % 10) * STEP_SECONDS  # of the balancer, or when it learned of the server
        balancer = Balancer(
            make_site(balancer_count=count, tunnel_quota=120.0, balancer_index=n),
            RecordingHost(),
            Random(n),
            started_at,
        )
        balancer.update_servers(entries, True, False, started_at)
        balancer._update_fleet_estimates(0.1)
        server: Server = balancer.servers["s0"]
        balancer._has_slow_start_budget(server, START + 0.5)
        at, arrival_rate = (
            START + 0.5,
            balancer.slow_start_rate * balancer._available_capacity(server, START + 1.5),
        )
        due_times.append(
            at + (1.0 - server.slow_start_budget) / arrival_rate
        )  # about: its capacity grows a little meanwhile
    due_times.sort()
    window = 2.0
    expected = 0.8 * 3.0 * 60 / 20 * balancer._available_capacity(server, START + 1.5) * window
    for begin in (START + 0.5, START + 1.0, START + 1.5):
        assert abs(sum(begin <= at < begin + window for at in due_times) - expected) <= 2.5
