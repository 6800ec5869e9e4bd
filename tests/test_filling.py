"""Rule 4 over a whole fleet: what all balancers together send cold servers, counted over each tip span."""

from __future__ import annotations

from random import Random

import pytest

from filling_world import START, STEP_SECONDS, World
from helpers import RecordingHost, make_site
from pointgw.interface import ServerEntry
from pointgw.policy import Balancer, Server

COUNTS = [20, 30, 200, 230]
LARGE = 1000  # balancers: one seed, as it takes seconds
RESTARTED = 10  # parts of the fleet that are restarted one after another


def fleet(count: int, seed: int, waiting: int, rate: float) -> World:
    return World(count, 4, waiting, rate, seed, leases_enabled=False, balancers_indexed=True)


@pytest.mark.parametrize(
    ("count", "seed"), [(count, seed) for count in COUNTS for seed in range(4)] + [(LARGE, 0)]
)
def test_all_that_come_at_one_moment_after_a_pause_push_no_cold_server(count: int, seed: int) -> None:
    # Nothing was sent before, so each holds what it may have kept. Then all balancers have tunnels that wait.
    world = fleet(count, seed, 1, 0.0)
    world.run(4.0, 0.5 + 0.75 * seed)
    assert world.count_placements() >= 8 and world.max_overload_excess() <= 0.0


@pytest.mark.parametrize(
    ("count", "seed"), [(count, seed) for count in COUNTS for seed in (0, 1, 8, 17, 22)] + [(LARGE, 8)]
)
def test_tunnels_that_wait_while_a_fleet_is_restarted_fill_cold_servers_and_push_none(
    count: int, seed: int
) -> None:
    # A tenth after another forgets what it sent; at a tenth far more tunnels come than at the others. With
    # first tunnels by chance 2 of 96 such fleets went over, others sent 0.6 of what they may.
    world = fleet(count, seed, count // 10, 400.0 / count)
    rng = Random(seed)
    for time in range(RESTARTED):
        for balancer in world.balancers.values():
            for _ in range(rng.random() < 0.5):
                balancer.tunnel_arrived(
                    balancer.new_tunnel("t", 0, 0, "k", "", world.now + 3.0, False), False, world.now
                )
        world.run(0.4, 1e9)
        world.restart_balancers(count // RESTARTED, time)
    assert world.max_overload_excess() <= 0.0
    assert world.count_placements() >= 0.6 * world.total_budget()


@pytest.mark.parametrize("count", [*COUNTS, LARGE])
def test_what_falls_due_at_a_cold_server_lies_evenly_over_the_balancers(count: int) -> None:
    # The same whenever each of them started, so no chance is in how many hold a tunnel's worth at one moment.
    lines = [ServerEntry("s0", "active", 0, 0, 0, START, 1.0), ServerEntry("s1", "active", 0, 0, 0, 0.0, 1.0)]
    due: list[float] = []
    for n in range(count):
        began = START + (n * 7 % 10) * STEP_SECONDS  # when it was started, or heard of the server
        balancer = Balancer(
            make_site(balancer_count=count, tunnel_quota=120.0, balancer_index=n),
            RecordingHost(),
            Random(n),
            began,
        )
        balancer.update_servers(lines, True, False, began)
        balancer._update_fleet_estimates(0.1)
        server: Server = balancer.servers["s0"]
        balancer._has_slow_start_budget(server, START + 0.5)
        at, rate = START + 0.5, balancer.slow_start_rate * balancer._available_capacity(server, START + 1.5)
        due.append(at + (1.0 - server.slow_start_budget) / rate)  # about: its share grows a little meanwhile
    due.sort()
    span = 2.0
    even = 0.8 * 3.0 * 60 / 20 * balancer._available_capacity(server, START + 1.5) * span
    for begin in (START + 0.5, START + 1.0, START + 1.5):
        assert abs(sum(begin <= at < begin + span for at in due) - even) <= 2.5
