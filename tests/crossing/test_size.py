"""As many servers and balancers as operators may run: from the start-up file to a tunnel, a list anew."""

from __future__ import annotations

import json
import resource
import time
from typing import Any

from crossing.world import ControlledLoop, World, run_scenario, wait_until
from pointgw.net.run.balancer_process import BalancerProcess

MANY = 1024
LIST_WITHIN = 2.0  # seconds from discovery's answer until it is applied; a quarter of it on an idle core
MEMORY = 64 * 1024  # KiB that the process may grow by


class Large(World):
    """1,024 servers at two addresses, 1,024 balancers, their own addresses among the peers."""

    def list_entry(self, i: int, **changes: Any) -> dict[str, Any]:
        return super().list_entry(i % len(self.servers), **changes) | {"name": f"s-{i:04}", "group": i % 40}

    def start_up_file(self) -> bytes:
        told = json.loads(super().start_up_file())
        told["settings"] |= {"instances": MANY, "me": MANY - 1}
        told["known"]["endpoints"] = self.lines()
        told["peers"] = [f"127.0.{n // 250}.{n % 250 + 1}:7946" for n in range(MANY)]
        return json.dumps(told).encode()

    def lines(self, **changes: Any) -> list[dict[str, Any]]:
        return [self.list_entry(i, **changes) for i in range(MANY)]


def test_a_thousand_servers_and_balancers_all_the_way_to_a_tunnel() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        assert isinstance(world, Large)
        assert len(process.reducer.balancer.active_servers) == MANY == len(process.start_up.peers)
        await world.open_tunnel()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started_at = time.monotonic()
        told = {"index": 2, "snapshot": True, "endpoints": world.lines(weight=0.5)}
        world.watch.respond(json.dumps(told, indent=4).encode())
        await wait_until(lambda: process.reducer.list_version == 2)
        assert time.monotonic() - started_at < LIST_WITHIN
        assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < MEMORY
        world.watch = await world.discovery.next_request(world.watch.connection)
        world.watch.send_list(3, *world.lines(status="draining")[: MANY - 2])
        await wait_until(lambda: len(process.reducer.balancer.active_servers) == 2)
        await world.open_tunnel("later")

    run_scenario(scenario, Large())
