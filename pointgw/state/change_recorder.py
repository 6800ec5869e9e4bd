"""Records changes of servers in the change log, one append at a time, on the snapshot writer's thread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pointgw.state.records import ServerRecord
from pointgw.state.snapshot_store import SnapshotStore
from pointgw.state.snapshot_writer import WriterThread

# Longest wait for the disk before discovery is asked for the next changes: a disk that hangs must not keep
# them from the balancer.
MAX_WAIT_SECONDS = 0.05


class ChangeRecorder:
    """Appends what `pop_changes` returns. The changes of a failed append are in the next snapshot.

    `on_failure`: called with the error of a failed append.
    """

    def __init__(
        self,
        store: SnapshotStore,
        fingerprint: str,
        pop_changes: Callable[[], tuple[ServerRecord, ...]],
        thread: WriterThread,
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.store, self.fingerprint, self.pop_changes = store, fingerprint, pop_changes
        self.thread, self.on_failure = thread, on_failure
        self.pending: asyncio.Future[int] | None = None

    def when_durable(self, proceed: Callable[[], None]) -> None:
        """Calls `proceed` once the changes so far are durable, or after `MAX_WAIT_SECONDS`."""
        self._append()
        if self.pending is None:
            proceed()
            return
        waiting = True

        def proceed_once(*_: object) -> None:
            nonlocal waiting
            if waiting:
                waiting = False
                timer.cancel()
                proceed()

        timer = self.thread.loop.call_later(MAX_WAIT_SECONDS, proceed_once)
        self.pending.add_done_callback(proceed_once)

    def _append(self) -> None:
        """Starts an append unless one is pending; what changes meanwhile is kept for the next."""
        if self.pending is not None:
            return
        servers = self.pop_changes()
        if servers:
            self.pending = self.thread.submit(lambda: self.store.append_changes(self.fingerprint, servers))
            self.pending.add_done_callback(self._append_done)

    def _append_done(self, append: asyncio.Future[int]) -> None:
        self.pending = None
        error = None if append.cancelled() else append.exception()
        if error is not None:
            self.on_failure(error)
        self._append()
