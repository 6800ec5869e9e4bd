"""What a memory on disk costs: start-up with 10,000 entries, bytes, memory, and the loop while fsync is held.

python benchmarks/state_cost.py [--entries 10000] [--seconds 8]
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import resource
import tempfile
import time

from pointgw.interface import ServerEntry
from pointgw.state import snapshot_format
from pointgw.state.records import Snapshot
from pointgw.state.restore import MembershipView, restore
from pointgw.state.snapshot_store import SnapshotStore
from pointgw.state.snapshot_writer import SnapshotWriter


def roster(entries: int, now: float) -> MembershipView:
    made = MembershipView()
    lines = [
        ServerEntry(f"server-{i:06d}", "active", 0, i // 8, i % 4, now - 1000.0, 1.0) for i in range(entries)
    ]
    made.apply_list(lines, [(line.server, "127.0.0.1", 9000) for line in lines], True, now)
    return made


async def held(entries: int, seconds: float, stall: float, folder: str) -> tuple[list[float], SnapshotWriter]:
    """How late the loop was, each 2 ms, while 200 changes a second come and each fsync takes `stall`."""
    loop, now = asyncio.get_running_loop(), time.time()
    kept = roster(entries, now)

    def step(name: str) -> None:
        if name == "fsync" and stall:
            time.sleep(stall)

    store = SnapshotStore(folder, step)
    store.claim("n0")

    def take(clean: bool) -> Snapshot:
        return Snapshot("mark", time.time(), 1, "here", clean, kept.snapshot_records(time.time()))

    keeper = SnapshotWriter(store, take, lambda: kept.change_count, loop)
    lags: list[float] = []
    until, names = loop.time() + seconds, itertools.cycle(range(entries))
    while loop.time() < until:
        for _ in range(2):
            name = f"server-{next(names):06d}"
            kept.apply_list([ServerEntry(name, "leaving", 0, 0, 0, 0.0, 1.0)], [], False, time.time())
        for _ in range(5):
            due = time.monotonic() + 0.002
            await asyncio.sleep(0.002)
            lags.append(time.monotonic() - due)
    await keeper.stop(True)
    return lags, keeper


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=10_000)
    parser.add_argument("--seconds", type=float, default=8.0)
    told = parser.parse_args()
    now = time.time()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    made = roster(told.entries, now)
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    memory = Snapshot("mark", now, 1, "here", False, made.snapshot_records(now))
    data = snapshot_format.encode(memory)
    with tempfile.TemporaryDirectory() as folder:
        store = SnapshotStore(folder)
        store.claim("n0")
        store.save(data)
        began = time.perf_counter()
        found = store.load().snapshot
        read = time.perf_counter() - began
        assert found is not None
        began = time.perf_counter()
        assert restore(found, [], "mark", now) is not None
        recalled = time.perf_counter() - began
        store.release()
    print(f"entries {told.entries}: {len(data) / 1e3:.0f} kB a generation, {grown / 1e3:.1f} MB held")
    print(f"start-up: {1e3 * read:.0f} ms to read, {1e3 * recalled:.0f} ms to weigh and merge")
    for stall in (0.0, 5.0):
        with tempfile.TemporaryDirectory() as folder:
            lags, keeper = asyncio.run(held(told.entries, told.seconds, stall, folder))
        lags.sort()
        rate = keeper.stats.bytes_written / told.seconds / 1e3
        print(
            f"fsync of {stall:g} s, 200 changes a second: loop late p50 {1e3 * lags[len(lags) // 2]:.1f} ms,"
            f" p99 {1e3 * lags[int(0.99 * len(lags))]:.1f} ms, worst {1e3 * lags[-1]:.1f} ms;"
            f" {keeper.stats.write_count} generations, {rate:.0f} kB a second"
        )


if __name__ == "__main__":
    main()
