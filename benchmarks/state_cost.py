"""Measures the cost of snapshots: start-up with 10,000 entries, size, memory, and loop lag while fsync hangs.

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


def make_view(entries: int, now: float) -> MembershipView:
    """A membership view with that many servers."""
    view = MembershipView()
    lines = [
        ServerEntry(f"server-{i:06d}", "active", 0, i // 8, i % 4, now - 1000.0, 1.0) for i in range(entries)
    ]
    view.apply_list(lines, [(line.server, "127.0.0.1", 9000) for line in lines], True, now)
    return view


async def measure_loop_lag(
    entries: int, seconds: float, stall: float, folder: str
) -> tuple[list[float], SnapshotWriter]:
    """Loop lag in seconds, every 2 ms, with 200 changes a second and an fsync that takes `stall` seconds."""
    loop, now = asyncio.get_running_loop(), time.time()
    view = make_view(entries, now)

    def step(name: str) -> None:
        if name == "fsync" and stall:
            time.sleep(stall)

    store = SnapshotStore(folder, step)
    store.claim("n0")

    def take_snapshot(clean: bool) -> Snapshot:
        return Snapshot("mark", time.time(), 1, "here", clean, view.snapshot_records(time.time()))

    writer = SnapshotWriter(store, take_snapshot, lambda: view.change_count, loop)
    lags: list[float] = []
    until, names = loop.time() + seconds, itertools.cycle(range(entries))
    while loop.time() < until:
        for _ in range(2):
            name = f"server-{next(names):06d}"
            view.apply_list([ServerEntry(name, "leaving", 0, 0, 0, 0.0, 1.0)], [], False, time.time())
        for _ in range(5):
            due = time.monotonic() + 0.002
            await asyncio.sleep(0.002)
            lags.append(time.monotonic() - due)
    await writer.stop(True)
    return lags, writer


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=10_000)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    now = time.time()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    view = make_view(options.entries, now)
    memory_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    snapshot = Snapshot("mark", now, 1, "here", False, view.snapshot_records(now))
    data = snapshot_format.encode(snapshot)
    with tempfile.TemporaryDirectory() as folder:
        store = SnapshotStore(folder)
        store.claim("n0")
        store.save(data)
        began = time.perf_counter()
        found = store.load().snapshot
        read_seconds = time.perf_counter() - began
        assert found is not None
        began = time.perf_counter()
        assert restore(found, [], "mark", now) is not None
        restore_seconds = time.perf_counter() - began
        store.release()
    print(
        f"entries {options.entries}: {len(data) / 1e3:.0f} kB a generation, {memory_kb / 1e3:.1f} MB memory"
    )
    print(
        f"start-up: {1e3 * read_seconds:.0f} ms to read, {1e3 * restore_seconds:.0f} ms to assess and merge"
    )
    for stall in (0.0, 5.0):
        with tempfile.TemporaryDirectory() as folder:
            lags, writer = asyncio.run(measure_loop_lag(options.entries, options.seconds, stall, folder))
        lags.sort()
        rate = writer.stats.bytes_written / options.seconds / 1e3
        print(
            f"fsync of {stall:g} s, 200 changes a second: loop lag p50 {1e3 * lags[len(lags) // 2]:.1f} ms,"
            f" p99 {1e3 * lags[int(0.99 * len(lags))]:.1f} ms, worst {1e3 * lags[-1]:.1f} ms;"
            f" {writer.stats.write_count} generations, {rate:.0f} kB a second"
        )


if __name__ == "__main__":
    main()
