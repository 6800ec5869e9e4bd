"""Standing connections are answered with an error because the last known list is old.

Clients hand in connections that were open before the run (`at=ID`). Two of their servers are not in the list
that the balancer last had; discovery lists them, and answers the first call within its time. A client whose
connection is not up comes again once.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import stand_ins

SERVERS, NEW = 6, 2  # servers, and those of them that the old list lacks
EACH = 4  # standing connections at each server
CALL = 1.5  # seconds that discovery's first answer takes
LIMIT = 40.0  # seconds within which a standing connection has to be up
GAP = (0.067, 0.61)  # seconds after which clients come again
TRIES = 2  # clients retry by themselves at most once


async def hand_in(
    clients: stand_ins.Clients, balancer: stand_ins.Balancer, server: str, rng: random.Random
) -> bool:
    """Whether a standing connection at the server is up again, after all tries of its client."""
    for number in range(TRIES):
        if number:
            await asyncio.sleep(rng.uniform(*GAP))
        request = await clients.one(balancer.address, "tally-sync", LIMIT, 3.0, extra=f",at={server}")
        if request.answer.startswith("UP"):
            return True
    return False


async def case(record: stand_ins.Record, folder: Path, balancers: list[stand_ins.Balancer]) -> int:
    servers = [stand_ins.Server(f"s-{number}", record, 40.0) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = stand_ins.Discovery(record, servers)
    discovery.delay = CALL if stand_ins.trouble() else 0.0
    await discovery.start()
    settings = stand_ins.settings(domain__tenantQuotaConnections=[40.0 * SERVERS])
    old = discovery.known() | {"index": 0, "endpoints": [server.entry() for server in servers[NEW:]]}
    balancer = stand_ins.Balancer(record, folder, stand_ins.config("n0", discovery, old, settings))
    balancers.append(balancer)
    await balancer.start()
    if not await balancer.ready():
        raise RuntimeError("the balancer did not become ready")
    await asyncio.sleep(0.3)
    clients, rng = stand_ins.Clients(record), random.Random(54)
    standing = [server.name for server in servers for _ in range(EACH)]
    up = await asyncio.gather(*(hand_in(clients, balancer, name, rng) for name in standing))
    lost = sorted({name for name, is_up in zip(standing, up, strict=True) if not is_up})
    answers = sorted({request.answer or "-" for request in clients.requests if request.answer[:2] != "UP"})
    record.say(f"{len(standing)} standing connections, {sum(up)} up again, lost at {lost or 'none'}")
    record.say(f"other answers than UP: {answers or 'none'}")
    if not any(up):
        raise RuntimeError("none is up")
    return int(not all(up))
