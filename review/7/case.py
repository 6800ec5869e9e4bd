"""A new server whose machine's wall clock is an hour behind: does it get more than a cold server bears?"""

from __future__ import annotations

import asyncio
import sys
import time
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
from sites import mizan, start_file

SERVERS, HOLDS, STANDING = 5, 60.0, 160  # servers, tunnels that fill one, clients
DROPPED, WITHIN = 0.55, 1.5  # share of the clients that drop, and the seconds within which they come again
CLOCK_STEP = 3600.0  # seconds that the new machine's wall clock was stepped back
COLD_FROM, COLD, MULTIPLE, FALL = 0.12, 17.0, 2.0, 1.5  # rule 4 in the settings


def limit(age: float) -> float:
    """Requests that a server of this age may get within FALL seconds, by the rule of the standing test."""
    capacity = min(1.0, COLD_FROM + (1.0 - COLD_FROM) * max(0.0, age) / COLD)  # share of the warm rate
    allowed = MULTIPLE * capacity * (HOLDS / COLD) * FALL
    return allowed + 3 * allowed**0.5 + 3 if allowed < 30 else allowed + 2 * allowed**0.5 + 2


async def case(record: Record, folder: Path, trouble: bool) -> int:
    """Plays the case."""
    rng = Random(7)
    discovery = Discovery(record)
    servers = [Server(record, f"s-{n}", HOLDS, "casa-1", "small-2c", 0.02) for n in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.put(server.name, **server.entry())
    await discovery.start()
    port = free_port()
    settings = mizan(1, 0, 0.85 * (SERVERS + 1) * HOLDS)
    node = balancer(record, folder, start_file("n0", port, discovery.port, known_list(discovery), settings))
    await node.start()
    clients: list[Client] = []
    runs: list[asyncio.Task[Client]] = []

    def arrive(again: bool = False) -> None:
        client = Client(record, f"{rng.getrandbits(64):016x}", "bid-status", 3.0)
        clients.append(client)
        runs.append(asyncio.create_task(client.run(port, 60.0, again=again)))

    for _ in range(STANDING):
        arrive()
        await asyncio.sleep(0.06)
    await asyncio.sleep(2.0)
    up = [client for client in clients if client.is_up and not client.end]
    if len(up) < 0.9 * STANDING:
        record.verdict("could not run: the clients were not served before the disruption")
        return NOT_RUN
    new = Server(record, "s-new", HOLDS, "casa-1", "small-2c", 0.02)
    await new.start()
    started_at = record.now()
    new.since_ms = round((time.time() - (CLOCK_STEP if trouble else 0.0)) * 1e3)
    record.write("server-starts", server=new.name)
    await asyncio.sleep(1.2)  # the list comes late: 1.1 to 4.7 s
    discovery.put(new.name, **new.entry())
    await asyncio.sleep(1.0)
    dropped = rng.sample(up, round(DROPPED * len(up)))
    for client in dropped:
        client.leave.set()
    for _ in dropped:
        arrive(again=True)
        await asyncio.sleep(WITHIN / len(dropped))
    await asyncio.sleep(6.0)
    for client in clients:
        client.leave.set()
    await asyncio.gather(*runs)
    times = [at for at, _ in new.setups]
    counts = [
        (sum(at - FALL < t <= at for t in times), limit(at - started_at), at - started_at) for at in times
    ]
    count, bound, age = max(counts, key=lambda entry: entry[0] - entry[1], default=(0, limit(0.0), 0.0))
    record.verdict(
        f"{len(times)} requests reached the cold server; at worst {count} within {FALL} s at an age of"
        f" {age:.1f} s, where {bound:.1f} are allowed"
    )
    return BROKEN if count > bound else HELD


main(case, Path(__file__).parent)
