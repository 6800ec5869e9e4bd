"""As many servers and balancers as operators may run: from the start-up file to a tunnel, a list anew."""

from __future__ import annotations

import json
import resource
import time
from typing import Any

from crossing.world import HeldLoop, World, play, until
from pointgw.net.run.balancer_process import BalancerProcess

MANY = 1024
LIST_WITHIN = 2.0  # seconds from discovery's answer until it is applied; a quarter of it on an idle core
MEMORY = 64 * 1024  # KiB that the process may grow by


class Large(World):
    """1,024 servers at two addresses, 1,024 balancers, their own addresses among the peers."""

    def line(self, i: int, **changes: Any) -> dict[str, Any]:
        return super().line(i % len(self.servers), **changes) | {"name": f"s-{i:04}", "group": i % 40}

    def told(self) -> bytes:
        told = json.loads(super().told())
        told["settings"] |= {"instances": MANY, "me": MANY - 1}
        told["known"]["endpoints"] = self.lines()
        told["peers"] = [f"127.0.{n // 250}.{n % 250 + 1}:7946" for n in range(MANY)]
        return json.dumps(told).encode()

    def lines(self, **changes: Any) -> list[dict[str, Any]]:
        return [self.line(i, **changes) for i in range(MANY)]


def test_a_thousand_servers_and_balancers_all_the_way_to_a_tunnel() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        assert isinstance(world, Large)
        assert len(node.reducer.balancer.active_servers) == MANY == len(node.start_up.peers)
        await world.opened()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        began = time.monotonic()
        told = {"index": 2, "snapshot": True, "endpoints": world.lines(weight=0.5)}
        world.watch.say(json.dumps(told, indent=4).encode())
        await until(lambda: node.reducer.list_version == 2)
        assert time.monotonic() - began < LIST_WITHIN
        assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < MEMORY
        world.watch = await world.discovery.call(world.watch.conn)
        world.watch.answer(3, *world.lines(status="draining")[: MANY - 2])
        await until(lambda: len(node.reducer.balancer.active_servers) == 2)
        await world.opened("later")

    play(scene, Large())
