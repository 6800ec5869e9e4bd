"""Schedules snapshots: a change of servers within 1 s, other state within 10 s, bounded bytes a second.

The event loop only takes the snapshot and passes it to one thread; a write that hangs delays the next one,
never the loop.
"""

from __future__ import annotations

import asyncio
import logging
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from queue import SimpleQueue

from pointgw.state.records import Snapshot
from pointgw.state.snapshot_format import NewerVersionError, encode
from pointgw.state.snapshot_store import FolderInUseError, LoadResult, SnapshotStore

CHANGE_INTERVAL_SECONDS = 1.0  # within which a change of servers is written
REGULAR_INTERVAL_SECONDS = 10.0  # within which a snapshot is written without any change
CHECK_INTERVAL_SECONDS = 0.25  # between two checks for changes
MAX_BYTES_PER_SECOND = 1_000_000  # on average: larger snapshots are written less often
FINAL_WRITE_TIMEOUT_SECONDS = 0.08  # for the write when the balancer stops

_log = logging.getLogger("pointgw.state")


class WriterThread:
    """A daemon thread for blocking calls, so that a disk that hangs doesn't delay the end of the process."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.jobs: SimpleQueue[tuple[Callable[[], int], asyncio.Future[int]]] = SimpleQueue()
        self.thread: threading.Thread | None = None

    def submit(self, job: Callable[[], int]) -> asyncio.Future[int]:
        """Queues a job; the future gives its result or the exception that it raised."""
        future: asyncio.Future[int] = self.loop.create_future()
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, name="pointgw-state", daemon=True)
            self.thread.start()
        self.jobs.put((job, future))
        return future

    def _run(self) -> None:
        while True:
            job, future = self.jobs.get()
            try:
                result: int | Exception = job()
            except Exception as error:
                result = error
            with suppress(RuntimeError):  # the loop was closed meanwhile
                self.loop.call_soon_threadsafe(self._resolve, future, result)

    @staticmethod
    def _resolve(future: asyncio.Future[int], result: int | Exception) -> None:
        if future.done():
            return
        if isinstance(result, Exception):
            future.set_exception(result)
        else:
            future.set_result(result)


@dataclass(slots=True)
class WriterStats:
    """Counters of a `SnapshotWriter`."""

    write_count: int = 0
    bytes_written: int = 0
    failure_count: int = 0


class SnapshotWriter:
    """Writes snapshots as long as the balancer runs.

    `take_snapshot(clean_stop)` is called on the loop and returns the current snapshot; `change_count()` is
    the number of changes of servers so far.
    """

    def __init__(
        self,
        store: SnapshotStore,
        take_snapshot: Callable[[bool], Snapshot],
        change_count: Callable[[], int],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.store, self.take_snapshot, self.change_count, self.loop = (
            store,
            take_snapshot,
            change_count,
            loop,
        )
        self.thread = WriterThread(loop)
        self.stats = WriterStats()
        self.saved_change_count = -1  # `change_count()` at the latest snapshot; -1 if its write failed
        self.next_change_write = self.next_regular_write = loop.time()
        self.pending_write: asyncio.Future[int] | None = None
        self.is_failing = False  # the latest write failed, which is logged once
        self.timer = loop.call_later(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        # Set first, so that an exception below doesn't end the checks.
        self.timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
        now = self.loop.time()
        due = now >= self.next_regular_write or (
            self.change_count() != self.saved_change_count and now >= self.next_change_write
        )
        if due and self.pending_write is None:
            self._write(False)

    def _write(self, clean_stop: bool) -> asyncio.Future[int]:
        now = self.loop.time()
        change_count, snapshot = self.change_count(), self.take_snapshot(clean_stop)
        self.pending_write = self.thread.submit(lambda: self._save(snapshot))
        self.saved_change_count = change_count
        self.pending_write.add_done_callback(self._write_done)
        wait = max(
            CHANGE_INTERVAL_SECONDS - 2 * CHECK_INTERVAL_SECONDS,
            self.stats.bytes_written / max(1, self.stats.write_count) / MAX_BYTES_PER_SECOND,
        )
        self.next_change_write, self.next_regular_write = (
            now + wait,
            now + max(wait, REGULAR_INTERVAL_SECONDS - CHECK_INTERVAL_SECONDS),
        )
        return self.pending_write

    def _save(self, snapshot: Snapshot) -> int:
        """Called on the thread."""
        return self.store.save(encode(snapshot))

    def _write_done(self, write: asyncio.Future[int]) -> None:
        self.pending_write = None
        if write.cancelled():
            return
        error = write.exception()
        if error is None:
            self.stats.write_count += 1
            self.stats.bytes_written += write.result()
            if self.is_failing:
                self.is_failing = False
                _log.info("snapshot written again", extra={"fields": {"folder": self.store.folder}})
            return
        self.saved_change_count = -1  # the changes are still to be written
        self.record_failure(error)

    def record_failure(self, error: BaseException) -> None:
        """Counts a failed write; logs it unless the one before failed too."""
        self.stats.failure_count += 1
        if not self.is_failing:
            self.is_failing = True
            why = f"{type(error).__name__} {error}"
            _log.error("snapshot not written", extra={"fields": {"folder": self.store.folder, "why": why}})

    async def stop(self, clean_stop: bool) -> None:
        """Stops with a final write, and waits for it for at most `FINAL_WRITE_TIMEOUT_SECONDS`."""
        self.timer.cancel()
        try:
            async with asyncio.timeout(FINAL_WRITE_TIMEOUT_SECONDS):
                if self.pending_write is not None:
                    await asyncio.shield(self.pending_write)
                await asyncio.shield(self._write(clean_stop))
        except (TimeoutError, OSError) as error:
            fields = {"folder": self.store.folder, "why": f"{type(error).__name__} {error}".strip()}
            _log.warning("final snapshot write late", extra={"fields": fields})
        # With a write pending, the folder stays locked until the process has ended.
        if self.pending_write is None or self.pending_write.done():
            self.store.release()


def open_store(folder: str, owner: str) -> tuple[SnapshotStore, LoadResult] | None:
    """Locks and reads a folder. Returns None after logging the reason if the folder can't be used."""
    store = SnapshotStore(folder)
    try:
        store.claim(owner)
        loaded = store.load()
    except NewerVersionError as error:
        store.release()
        _log.error("snapshot left untouched", extra={"fields": {"folder": folder, "why": str(error)}})
        return None
    except FolderInUseError as error:
        _log.error("state folder in use", extra={"fields": {"folder": folder, "by": str(error)}})
        return None
    except OSError as error:
        store.release()
        why = f"{type(error).__name__} {error}"
        _log.error("state folder not usable", extra={"fields": {"folder": folder, "why": why}})
        return None
    for damage in loaded.damaged:
        _log.error("snapshot damaged", extra={"fields": {"folder": folder, "what": damage}})
    return store, loaded
