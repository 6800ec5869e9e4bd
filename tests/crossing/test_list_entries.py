"""Invalid entries of the server list next to valid ones.

Guards rule 3: one entry that can't be used must not hide another server's drain in the same list.
"""

from __future__ import annotations

import json
from typing import Any

from crossing.world import ControlledLoop, World, run_loop_iterations, run_scenario, wait_until
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.wire.start_up import parse_start_up_file

INVALID_FIELDS: tuple[dict[str, Any], ...] = (
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


def test_an_invalid_entry_does_not_hide_another_servers_drain() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        for version, fields in enumerate(INVALID_FIELDS, start=2):
            draining = version % 2
            statuses = {draining: "draining", 1 - draining: "up"}
            entries = [
                world.list_entry(2, **fields),
                world.list_entry(0, status=statuses[0]),
                world.list_entry(1, status=statuses[1]),
            ]
            world.watch.send_list(version, *entries)
            await wait_until(lambda version=version: process.reducer.list_requests.version == version)  # type: ignore[misc]
            world.watch = await world.discovery.next_request(world.watch.connection)
            assert not process.reducer.balancer.servers[f"s-{draining}"].active, fields
            assert process.reducer.balancer.servers[f"s-{1 - draining}"].active, fields
            await run_loop_iterations(2)
        assert process.discovery.failing is False

    run_scenario(scenario, World(servers=3))


def test_a_server_without_an_address_gets_no_tunnel_and_the_others_serve() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        without_address = world.list_entry(0, name="s-9") | {"address": ""}
        world.watch.send_list(2, without_address, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 2)
        assert not process.reducer.balancer.servers["s-9"].active
        await world.open_tunnel()

    run_scenario(scenario, World(servers=2))


def test_a_start_up_file_with_invalid_entries_is_read() -> None:
    world = World(servers=0)
    world.discovery.port = 1
    start_up = json.loads(world.start_up_file())
    valid = {"name": "s-0", "address": "127.0.0.1:7000", "zone": "a", "type": "m", "status": "up"}
    start_up["known"]["endpoints"] = [valid] + [
        valid | {"name": f"s-{i}"} | fields for i, fields in enumerate(INVALID_FIELDS, 1)
    ]
    settings = parse_start_up_file(json.dumps(start_up).encode())
    assert settings.known_list.servers[0].state == "active"
