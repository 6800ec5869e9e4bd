"""Measures what recording a change of one server costs the event loop and the disk, by size of the list.

python benchmarks/change_log_cost.py [--servers 90 3200] [--changes 300]
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time

from pointgw.interface import ServerEntry
from pointgw.state.change_recorder import ChangeRecorder
from pointgw.state.restore import MembershipView
from pointgw.state.snapshot_store import SnapshotStore
from pointgw.state.snapshot_writer import WriterThread


def make_entry(number: int, started_at: float) -> ServerEntry:
    return ServerEntry(f"server-{number:06d}", "active", 0, 0, 0, started_at, 1.0)


class Recording:
    """A membership view whose changes are recorded in a folder."""

    def __init__(self, folder: str, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.view, self.store = loop, MembershipView(), SnapshotStore(folder)
        self.store.claim("n0")
        self.failures: list[BaseException] = []
        self.recorder = ChangeRecorder(
            self.store, "mark", self.view.pop_changes, WriterThread(loop), self.failures.append
        )

    async def record(self, entries: list[ServerEntry]) -> tuple[float, float]:
        """Seconds of the event loop, and until the entries' changes are durable."""
        addresses = [(entry.server, "127.0.0.1", 9000) for entry in entries]
        self.view.apply_list(entries, addresses, False, time.time())
        durable: asyncio.Future[None] = self.loop.create_future()
        began = time.perf_counter()
        self.recorder.when_durable(lambda: durable.set_result(None))
        on_loop = time.perf_counter() - began
        await durable
        return on_loop, time.perf_counter() - began


async def measure(servers: int, changes: int, folder: str) -> None:
    """Prints the cost of a first list of all servers, and of changes of one server each."""
    recording = Recording(folder, asyncio.get_running_loop())
    first = await recording.record([make_entry(number, 1.0) for number in range(servers)])
    costs = [
        await recording.record([make_entry(number % servers, 2.0 + number)]) for number in range(changes)
    ]
    on_loop, until_durable = (sorted(column) for column in zip(*costs, strict=True))
    middle, last = changes // 2, int(0.99 * changes)
    print(
        f"{servers} servers, one change: {1e6 * on_loop[middle]:.0f} us of the loop"
        f" (p99 {1e6 * on_loop[last]:.0f}), durable after {1e3 * until_durable[middle]:.2f} ms"
        f" (p99 {1e3 * until_durable[last]:.2f}); first list: {1e3 * first[0]:.2f} ms of the loop,"
        f" durable or given up after {1e3 * first[1]:.1f} ms; {len(recording.failures)} failures"
    )
    recording.store.release()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, nargs="+", default=[90, 3200])
    parser.add_argument("--changes", type=int, default=300)
    options = parser.parse_args()
    for servers in options.servers:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(measure(servers, options.changes, folder))


if __name__ == "__main__":
    main()
