"""The largest deployment: 1,024 servers and 1,024 balancers.

Guards against steps that take too long or too much memory at that size, in reading the start-up file,
applying a new full list and opening a tunnel.
"""

from __future__ import annotations

import json
import resource
import time
from typing import Any

from crossing.world import ControlledLoop, World, run_scenario, wait_until
from pointgw.net.run.balancer_process import BalancerProcess

SIZE = 1024  # servers, and balancers
MAX_LIST_SECONDS = 2.0  # from discovery's answer until it is applied; a quarter of it on an idle core
MAX_GROWTH_KIB = 64 * 1024  # of the process's memory


class LargeWorld(World):
    """1,024 list entries with the addresses of two servers; 1,024 balancers as peers, itself included."""

    def list_entry(self, i: int, **changes: Any) -> dict[str, Any]:
        return super().list_entry(i % len(self.servers), **changes) | {"name": f"s-{i:04}", "group": i % 40}

    def start_up_file(self) -> bytes:
        start_up = json.loads(super().start_up_file())
        start_up["settings"] |= {"instances": SIZE, "me": SIZE - 1}
        start_up["known"]["endpoints"] = self.list_entries()
        start_up["peers"] = [f"127.0.{n // 250}.{n % 250 + 1}:7946" for n in range(SIZE)]
        return json.dumps(start_up).encode()

    def list_entries(self, **changes: Any) -> list[dict[str, Any]]:
        return [self.list_entry(i, **changes) for i in range(SIZE)]


def test_tunnels_and_new_lists_with_1024_servers_and_balancers() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        assert isinstance(world, LargeWorld)
        assert len(process.reducer.balancer.active_servers) == SIZE == len(process.start_up.peers)
        await world.open_tunnel()
        memory_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started_at = time.monotonic()
        answer = {"index": 2, "snapshot": True, "endpoints": world.list_entries(weight=0.5)}
        world.watch.respond(json.dumps(answer, indent=4).encode())
        await wait_until(lambda: process.reducer.list_requests.version == 2)
        assert time.monotonic() - started_at < MAX_LIST_SECONDS
        assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - memory_before < MAX_GROWTH_KIB
        world.watch = await world.discovery.next_request(world.watch.connection)
        world.watch.send_list(3, *world.list_entries(status="draining")[: SIZE - 2])
        await wait_until(lambda: len(process.reducer.balancer.active_servers) == 2)
        await world.open_tunnel("later")

    run_scenario(scenario, LargeWorld())
