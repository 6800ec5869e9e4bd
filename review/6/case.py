"""A pushed list: a server drains while a balancer is down, which then starts while discovery is down."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import (
    BROKEN,
    HELD,
    NOT_RUN,
    Client,
    Discovery,
    Record,
    Server,
    balancer,
    free_port,
    known_list,
    main,
)
from sites import kathmandu, start_file

SERVERS, HOLDS, RATE = 6, 60.0, 10.0
BALANCER_DOWN = 2.5  # the page: 1.7 to 6.9 s
DISCOVERY_DOWN = 8.0  # the page: 8 s
GRACE, SLACK = 0.1, 0.05


async def case(record: Record, folder: Path, trouble: bool) -> int:
    """Plays the case."""
    rng = Random(6)
    discovery = Discovery(record)
    servers = [Server(record, f"s-{n}", HOLDS, "baneshwor", "plain-box", 0.02) for n in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.put(server.name, **server.entry())
    await discovery.start()
    port = free_port()
    known = known_list(discovery)
    settings = kathmandu(1, 0, 0.85 * SERVERS * HOLDS)
    node = balancer(record, folder, start_file("n0", port, discovery.port, known, settings))
    await node.start()
    clients: list[Client] = []
    runs: list[asyncio.Task[Client]] = []

    async def traffic(seconds: float) -> None:
        ends = record.now() + seconds
        while record.now() < ends:
            client = Client(record, f"{rng.getrandbits(64):016x}", "zone-check", 2.0)
            clients.append(client)
            runs.append(asyncio.create_task(client.run(port, 5.0)))
            await asyncio.sleep(rng.expovariate(RATE))

    await traffic(3.0)
    await node.kill()
    victim = servers[0]
    await asyncio.sleep(BALANCER_DOWN / 2)
    discovery.put(victim.name, status="draining")
    await asyncio.sleep(BALANCER_DOWN / 2)
    if trouble:
        discovery.go_down()
        asyncio.get_running_loop().call_later(DISCOVERY_DOWN, discovery.come_back)
    started_at = record.now()
    await node.start()
    ready_after = record.now() - started_at
    await traffic(8.0)
    await asyncio.gather(*runs)
    if not any(client.is_up for client in clients if client.sent_at > started_at):
        record.verdict("could not run: no client was served after the restart")
        return NOT_RUN
    late = [(at, request) for at, request in victim.setups if at > started_at + GRACE + SLACK]
    last = max((at - started_at for at, _ in late), default=0.0)
    record.verdict(
        f"ready {ready_after:.2f} s after the start; {len(late)} requests reached {victim.name}, which"
        f" the agent had as draining from before the start; the last {last:.2f} s after it"
    )
    return BROKEN if late else HELD


main(case, Path(__file__).parent)
