"""Standing connections are answered with an error because the last known list is old.

Clients hand in connections that were open before the run (`at=ID`). Two of their servers are not in the list
that the balancer last had; discovery lists them, and answers the first call within its time.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import stand_ins

SERVERS, NEW = 6, 2  # servers, and those of them that the old list lacks
EACH = 4  # standing connections at each server
CALL = 1.5  # seconds that discovery's first answer takes
LIMIT = 40.0  # seconds within which a standing connection has to be up


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
    clients = stand_ins.Clients(record)
    tasks = [
        asyncio.create_task(
            clients.one(balancer.address, "tally-sync", LIMIT, 3.0, extra=f",at={server.name}")
        )
        for server in servers
        for _ in range(EACH)
    ]
    requests = await asyncio.gather(*tasks)
    lost = [request for request in requests if not request.answer.startswith("UP")]
    record.say(f"{len(requests)} standing connections, {len(requests) - len(lost)} up again")
    record.say(f"answers of the others: {sorted({request.answer or '-' for request in lost})}")
    if len(lost) == len(requests):
        raise RuntimeError("none is up")
    return int(bool(lost))


stand_ins.play(str(Path(__file__).resolve().parent), case)
