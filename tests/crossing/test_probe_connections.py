"""Connections that are kept for probes, where there are more servers than descriptors."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from crossing.daemon import answer_requests
from crossing.world import HeldLoop, World, opening, play, until
from pointgw.net.core.effects import Probe
from pointgw.net.run.balancer_process import BalancerProcess

SERVERS = 600
DESCRIPTORS = 256
REQUESTS = 300


class Wide(World):
    """Many servers at a few addresses, few descriptors; probes and requests are answered by themselves."""

    def line(self, i: int, **changes: Any) -> dict[str, Any]:
        return super().line(i % len(self.servers), **changes) | {"name": f"s-{i:04}", "group": i % 40}

    def told(self) -> bytes:
        told = json.loads(super().told())
        told["known"]["endpoints"] = [self.line(i) for i in range(SERVERS)]
        told["limits"] = {"sockets": DESCRIPTORS}
        return json.dumps(told).encode()


def kept(node: BalancerProcess) -> int:
    return sum(side.link is not None for side in node.probes.connections.values())


def test_connections_kept_for_probes_leave_the_descriptors_to_clients() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        most = 0
        try:
            for number in range(REQUESTS):
                client = await world.client()
                client.say(opening(f"r{number}"))
                assert await client.line() == b"UP r-1\r\n", f"request {number} of {REQUESTS}"
                client.close()
                most = max(most, kept(node))
            assert most <= node.descriptor_budget // 4
        finally:
            answering.cancel()

    play(scene, Wide(probes=True, rules={"cold": 1.0}), seconds=60.0)


def test_a_server_that_is_to_get_nothing_more_keeps_no_connection_for_probes() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        try:
            for number in range(20):
                client = await world.client()
                client.say(opening(f"r{number}"))
                assert await client.line() == b"UP r-1\r\n"
                client.close()
            assert kept(node)
            world.watch.answer(2, *[world.line(i, status="draining") for i in range(SERVERS)])
            await until(lambda: not node.reducer.balancer.active_servers)
            await until(lambda: not kept(node) and not len(node.probes))
        finally:
            answering.cancel()

    play(scene, Wide(probes=True, rules={"cold": 1.0}), seconds=30.0)


def test_a_server_that_moved_is_not_probed_where_it_was() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        answering = asyncio.create_task(answer_requests(world))
        try:
            address = ("127.0.0.1", world.servers[0].port)
            node.probes.send(Probe("s-0", address, 0.5, 0.5))
            await until(
                lambda: "s-0" in node.probes.connections and node.probes.connections["s-0"].probe is None
            )
            moved = ("127.0.0.1", world.servers[1].port)
            taken = len(world.servers[1].conns)
            node.probes.send(Probe("s-0", moved, 0.5, 0.5))
            await until(lambda: len(world.servers[1].conns) > taken)
        finally:
            answering.cancel()

    play(scene, World())
