"""Idle probe connections with more servers than descriptors.

Guards against probe connections that use up the clients' descriptors, that stay open after their server
drains, or that still lead to a server's old address.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from crossing.daemon import answer_requests
from crossing.world import ControlledLoop, World, open_line, run_scenario, wait_until
from pointgw.net.core.effects import Probe
from pointgw.net.run.balancer_process import BalancerProcess

SERVERS = 600
DESCRIPTORS = 256
REQUESTS = 300


class ManyServersWorld(World):
    """Many list entries that share the addresses of a few servers, and few descriptors."""

    def list_entry(self, i: int, **changes: Any) -> dict[str, Any]:
        return super().list_entry(i % len(self.servers), **changes) | {"name": f"s-{i:04}", "group": i % 40}

    def start_up_file(self) -> bytes:
        start_up = json.loads(super().start_up_file())
        start_up["known"]["endpoints"] = [self.list_entry(i) for i in range(SERVERS)]
        start_up["limits"] = {"sockets": DESCRIPTORS}
        return json.dumps(start_up).encode()


def open_probe_connections(process: BalancerProcess) -> int:
    return sum(connection.link is not None for connection in process.probes.connections.values())


def test_probe_connections_leave_descriptors_for_clients() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        largest = 0
        try:
            for number in range(REQUESTS):
                client = await world.connect_client()
                client.send(open_line(f"r{number}"))
                assert await client.read_line() == b"UP r-1\r\n", f"request {number} of {REQUESTS}"
                client.close()
                largest = max(largest, open_probe_connections(process))
            assert largest <= process.descriptor_budget // 4
        finally:
            answering.cancel()

    run_scenario(scenario, ManyServersWorld(probes=True, rules={"cold": 1.0}), timeout=60.0)


def test_a_draining_server_keeps_no_probe_connection() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        try:
            for number in range(20):
                client = await world.connect_client()
                client.send(open_line(f"r{number}"))
                assert await client.read_line() == b"UP r-1\r\n"
                client.close()
            assert open_probe_connections(process)
            world.watch.send_list(2, *[world.list_entry(i, status="draining") for i in range(SERVERS)])
            await wait_until(lambda: not process.reducer.balancer.active_servers)
            await wait_until(lambda: not open_probe_connections(process) and not len(process.probes))
        finally:
            answering.cancel()

    run_scenario(scenario, ManyServersWorld(probes=True, rules={"cold": 1.0}), timeout=30.0)


def test_a_server_with_a_new_address_is_not_probed_at_the_old_one() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        try:
            old_address = ("127.0.0.1", world.servers[0].port)
            process.probes.send(Probe("s-0", old_address, 0.5, 0.5))
            await wait_until(
                lambda: (
                    "s-0" in process.probes.connections and process.probes.connections["s-0"].probe is None
                )
            )
            new_address = ("127.0.0.1", world.servers[1].port)
            accepted_before = len(world.servers[1].connections)
            process.probes.send(Probe("s-0", new_address, 0.5, 0.5))
            await wait_until(lambda: len(world.servers[1].connections) > accepted_before)
        finally:
            answering.cancel()

    run_scenario(scenario, World())
