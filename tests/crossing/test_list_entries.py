"""Entries of the server list whose figures can't be used, beside entries that tell of a drain."""

from __future__ import annotations

import json
from typing import Any

from crossing.world import ControlledLoop, World, run_loop_iterations, run_scenario, wait_until
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.wire.start_up import parse_start_up_file

ODD: tuple[dict[str, Any], ...] = (
    {"weight": None},
    {"weight": -2.0},
    {"weight": "heavy"},
    {"weight": float("inf")},
    {"since_ms": -1},
    {"since_ms": "yesterday"},
    {"since_ms": 10**400},
    {"group": "x"},
    {"type": 7},
    {"zone": None},
    {"address": "nowhere"},
    {"address": "127.0.0.1:99999"},
    {"status": None},
)


def test_an_entry_that_cannot_be_used_does_not_hide_another_servers_drain() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        for version, odd in enumerate(ODD, start=2):
            drains = version % 2
            states = {drains: "draining", 1 - drains: "up"}
            lines = [
                world.list_entry(2, **odd),
                world.list_entry(0, status=states[0]),
                world.list_entry(1, status=states[1]),
            ]
            world.watch.send_list(version, *lines)
            await wait_until(lambda version=version: process.reducer.list_version == version)  # type: ignore[misc]
            world.watch = await world.discovery.next_request(world.watch.connection)
            assert not process.reducer.balancer.servers[f"s-{drains}"].active, odd
            assert process.reducer.balancer.servers[f"s-{1 - drains}"].active, odd
            await run_loop_iterations(2)
        assert process.discovery.failing is False

    run_scenario(scenario, World(servers=3))


def test_a_server_without_an_address_gets_nothing_and_the_others_serve() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        nameless = world.list_entry(0, name="s-9") | {"address": ""}
        world.watch.send_list(2, nameless, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_version == 2)
        assert not process.reducer.balancer.servers["s-9"].active
        await world.open_tunnel()

    run_scenario(scenario, World(servers=2))


def test_a_start_up_file_with_such_an_entry_starts() -> None:
    world = World(servers=0)
    world.discovery.port = 1
    told = json.loads(world.start_up_file())
    base = {"name": "s-0", "address": "127.0.0.1:7000", "zone": "a", "type": "m", "status": "up"}
    told["known"]["endpoints"] = [base] + [base | {"name": f"s-{i}"} | odd for i, odd in enumerate(ODD, 1)]
    begun = parse_start_up_file(json.dumps(told).encode())
    assert begun.known_list.servers[0].state == "active"
