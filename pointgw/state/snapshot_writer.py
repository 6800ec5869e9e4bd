"""When the memory is written: news of the roster within a second, figures within ten, bounded bytes a second.

The loop only takes the memory and hands it to one thread; a write that hangs holds the next one, never
the loop.
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

NEWS_EVERY = 1.0  # seconds within which news of the roster is durable
FIGURES_EVERY = 10.0
LOOK = 0.25  # seconds between two looks for news
BYTES_A_SECOND = 1_000_000  # written at most, on the mean: larger memories are written less often
LAST = 0.08  # seconds that the last write has when the balancer stops

_log = logging.getLogger("pointgw.state")


class WriterThread:
    """One thread for calls that block. The process ends without it: a disk that hangs holds up no stop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.work: SimpleQueue[tuple[Callable[[], int], asyncio.Future[int]]] = SimpleQueue()
        self.thread: threading.Thread | None = None

    def submit(self, work: Callable[[], int]) -> asyncio.Future[int]:
        """Its result, or the exception that it raised."""
        future: asyncio.Future[int] = self.loop.create_future()
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, name="pointgw-state", daemon=True)
            self.thread.start()
        self.work.put((work, future))
        return future

    def _run(self) -> None:
        while True:
            work, future = self.work.get()
            try:
                result: int | Exception = work()
            except Exception as fault:
                result = fault
            with suppress(RuntimeError):  # the loop has been closed meanwhile
                self.loop.call_soon_threadsafe(self._done, future, result)

    @staticmethod
    def _done(future: asyncio.Future[int], result: int | Exception) -> None:
        if future.done():
            return
        if isinstance(result, Exception):
            future.set_exception(result)
        else:
            future.set_result(result)


@dataclass(slots=True)
class WriterStats:
    """What keeping the memory has cost."""

    write_count: int = 0  # generations
    bytes_written: int = 0  # bytes
    failure_count: int = 0


class SnapshotWriter:
    """Writes what `take` gives, as long as the balancer runs.

    `take(clean)` is called on the loop and gives the memory as it stands; `news()` counts changes of the
    roster.
    """

    def __init__(
        self,
        store: SnapshotStore,
        take: Callable[[bool], Snapshot],
        news: Callable[[], int],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.store, self.take_snapshot, self.change_count, self.loop = store, take, news, loop
        self.writer = WriterThread(loop)
        self.stats = WriterStats()
        self.told = -1  # the news that the latest memory holds
        self.next_news = self.next_figures = loop.time()
        self.out: asyncio.Future[int] | None = None
        self.lost = False  # the latest write failed, which was said once
        self.timer = loop.call_later(LOOK, self._look)

    def _look(self) -> None:
        self.timer = self.loop.call_later(LOOK, self._look)  # first: a fault below must not end the chain
        now = self.loop.time()
        due = now >= self.next_figures or (self.change_count() != self.told and now >= self.next_news)
        if due and self.out is None:
            self._write(False)

    def _write(self, clean: bool) -> asyncio.Future[int]:
        now = self.loop.time()
        news, memory = self.change_count(), self.take_snapshot(clean)
        self.out = self.writer.submit(lambda: self._save(memory))
        self.told = news
        self.out.add_done_callback(self._written)
        wait = max(
            NEWS_EVERY - 2 * LOOK, self.stats.bytes_written / max(1, self.stats.write_count) / BYTES_A_SECOND
        )
        self.next_news, self.next_figures = now + wait, now + max(wait, FIGURES_EVERY - LOOK)
        return self.out

    def _save(self, memory: Snapshot) -> int:
        """On the thread."""
        return self.store.save(encode(memory))

    def _written(self, out: asyncio.Future[int]) -> None:
        self.out = None
        if out.cancelled():
            return
        fault = out.exception()
        if fault is None:
            self.stats.write_count += 1
            self.stats.bytes_written += out.result()
            if self.lost:
                self.lost = False
                _log.info("written again", extra={"fields": {"folder": self.store.folder}})
            return
        self.stats.failure_count += 1
        self.told = -1  # news that is not durable is news still
        if not self.lost:
            self.lost = True
            why = f"{type(fault).__name__} {fault}"
            _log.error("not written", extra={"fields": {"folder": self.store.folder, "why": why}})

    async def stop(self, clean_stop: bool) -> None:
        """The last write, if the disk takes it in time; the balancer doesn't wait longer."""
        self.timer.cancel()
        try:
            async with asyncio.timeout(LAST):
                if self.out is not None:
                    await asyncio.shield(self.out)
                await asyncio.shield(self._write(clean_stop))
        except (TimeoutError, OSError) as fault:
            told = {"folder": self.store.folder, "why": f"{type(fault).__name__} {fault}".strip()}
            _log.warning("last write late", extra={"fields": told})
        if self.out is None or self.out.done():  # else the folder stays claimed until the process has ended
            self.store.release()


def open_store(folder: str, who: str) -> tuple[SnapshotStore, LoadResult] | None:
    """Claims a folder and reads it. None, and one line of the log, where it can't be used."""
    store = SnapshotStore(folder)
    try:
        store.claim(who)
        found = store.load()
    except NewerVersionError as fault:
        store.release()
        _log.error("left untouched", extra={"fields": {"folder": folder, "why": str(fault)}})
        return None
    except FolderInUseError as fault:
        _log.error("held by another", extra={"fields": {"folder": folder, "by": str(fault)}})
        return None
    except OSError as fault:
        store.release()
        why = f"{type(fault).__name__} {fault}"
        _log.error("not usable", extra={"fields": {"folder": folder, "why": why}})
        return None
    for what in found.damaged:
        _log.error("lost", extra={"fields": {"folder": folder, "what": what}})
    return store, found
