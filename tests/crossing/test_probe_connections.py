"""Connections that are kept for probes, where there are more servers than descriptors."""

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


class Wide(World):
    """Many servers at a few addresses, few descriptors; probes and requests are answered by themselves."""

    def list_entry(self, i: int, **changes: Any) -> dict[str, Any]:
        return super().list_entry(i % len(self.servers), **changes) | {"name": f"s-{i:04}", "group": i % 40}

    def start_up_file(self) -> bytes:
        told = json.loads(super().start_up_file())
        told["known"]["endpoints"] = [self.list_entry(i) for i in range(SERVERS)]
        told["limits"] = {"sockets": DESCRIPTORS}
        return json.dumps(told).encode()


def kept(process: BalancerProcess) -> int:
    return sum(protocol.link is not None for protocol in process.probes.connections.values())


def test_connections_kept_for_probes_leave_the_descriptors_to_clients() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        most = 0
        try:
            for number in range(REQUESTS):
                client = await world.connect_client()
                client.send(open_line(f"r{number}"))
                assert await client.read_line() == b"UP r-1\r\n", f"request {number} of {REQUESTS}"
                client.close()
                most = max(most, kept(process))
            assert most <= process.descriptor_budget // 4
        finally:
            answering.cancel()

    run_scenario(scenario, Wide(probes=True, rules={"cold": 1.0}), timeout=60.0)


def test_a_server_that_is_to_get_nothing_more_keeps_no_connection_for_probes() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        try:
            for number in range(20):
                client = await world.connect_client()
                client.send(open_line(f"r{number}"))
                assert await client.read_line() == b"UP r-1\r\n"
                client.close()
            assert kept(process)
            world.watch.send_list(2, *[world.list_entry(i, status="draining") for i in range(SERVERS)])
            await wait_until(lambda: not process.reducer.balancer.active_servers)
            await wait_until(lambda: not kept(process) and not len(process.probes))
        finally:
            answering.cancel()

    run_scenario(scenario, Wide(probes=True, rules={"cold": 1.0}), timeout=30.0)


def test_a_server_that_moved_is_not_probed_where_it_was() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        try:
            address = ("127.0.0.1", world.servers[0].port)
            process.probes.send(Probe("s-0", address, 0.5, 0.5))
            await wait_until(
                lambda: (
                    "s-0" in process.probes.connections and process.probes.connections["s-0"].probe is None
                )
            )
            moved = ("127.0.0.1", world.servers[1].port)
            taken = len(world.servers[1].connections)
            process.probes.send(Probe("s-0", moved, 0.5, 0.5))
            await wait_until(lambda: len(world.servers[1].connections) > taken)
        finally:
            answering.cancel()

    run_scenario(scenario, World())
