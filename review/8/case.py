"""Discovery was down and is slow: does a drain count 6 s after discovery had it and could be reached?"""

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
from sites import porto, start_file

BALANCERS, SERVERS, DRAINING, HOLDS = 8, 8, 2, 100.0  # the page: a quarter of the servers drains
RATE = 10.0  # requests a second at each balancer; their connections are short, so that few are open
OUTAGE, LONGEST_OUTAGE = 6.0, 14.0  # the page: 5 to 25 s
ANSWER_SECONDS = 2.9  # that a call waits then; the page: up to 3 s, later it fails
TOLD, GRACE, SLACK = 6.0, 0.5, 0.1  # the rule, the settings, and time for sockets
ROUNDS, LAST_ROUND_BEGINS = 5, 82.0


async def case(record: Record, folder: Path, trouble: bool) -> int:
    """Plays the case."""
    rng = Random(8)
    discovery = Discovery(record)
    discovery.resets_calls = True
    servers = [Server(record, f"s-{n}", HOLDS, "poa-centro", "std-node", 0.005) for n in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.put(server.name, **server.entry())
    await discovery.start()
    nodes = []
    for number in range(BALANCERS):
        port = free_port()
        settings = porto(BALANCERS, number, 0.85 * SERVERS * HOLDS)
        file = start_file(f"n{number}", port, discovery.port, known_list(discovery), settings)
        nodes.append(balancer(record, folder, file))
    await asyncio.gather(*(node.start() for node in nodes))
    sent_to: dict[str, str] = {}  # the balancer of each request
    served = 0
    playing = True

    async def traffic(port: int, name: str) -> None:
        nonlocal served
        runs: list[asyncio.Task[Client]] = []
        while playing:
            client = Client(record, f"{rng.getrandbits(64):016x}", "tile-view", 1.2)
            sent_to[client.name] = name
            runs.append(asyncio.create_task(client.run(port, 0.5)))
            await asyncio.sleep(rng.expovariate(RATE))
        clients = await asyncio.gather(*runs)
        served += sum(client.is_up for client in clients)

    sources = [asyncio.create_task(traffic(node.port, node.name)) for node in nodes]
    late: list[tuple[float, str, str]] = []
    rounds = 0
    while rounds < ROUNDS and record.now() < LAST_ROUND_BEGINS and not late:
        rounds += 1
        await asyncio.sleep(2.5)
        if trouble:
            discovery.go_down()
            await outage(record, discovery)
            discovery.answer_seconds = ANSWER_SECONDS
            discovery.come_back()
        victims = rng.sample(servers, DRAINING)
        for server in victims:
            discovery.put(server.name, status="draining")
        told_at = record.now() + TOLD  # discovery has it, and can be reached
        await asyncio.sleep(TOLD + 2.5)
        for server in victims:
            late += [
                (at - told_at, sent_to[request], server.name)
                for at, request in server.setups
                if at > told_at + GRACE + SLACK
            ]
        discovery.answer_seconds = 0.0
        for server in victims:
            discovery.put(server.name, status="up")
    playing = False
    await asyncio.gather(*sources)
    if served < 100:
        record.verdict(f"could not run: only {served} requests were served")
        return NOT_RUN
    record.verdict(
        f"{rounds} rounds, {served} requests served; {len(late)} reached a draining server more than"
        f" {GRACE} s after the drain counted as told, the last {max(late)[0] if late else 0.0:.2f} s after"
        f" it, from {len({name for _, name, _ in late})} of {BALANCERS} balancers"
    )
    return BROKEN if late else HELD


async def outage(record: Record, discovery: Discovery) -> None:
    """Lasts until three of the balancers have just had a failed call, as happens every few seconds."""
    began = record.now()
    while record.now() < began + LONGEST_OUTAGE:
        recent = [at for at in discovery.failed_calls if at > record.now() - 0.5]
        if record.now() > began + OUTAGE and len(recent) >= 3:
            return
        await asyncio.sleep(0.02)


main(case, Path(__file__).parent)
