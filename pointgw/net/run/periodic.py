"""Periodic work on the event loop, which goes on after an exception."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from pointgw.net.invariant import violations

MAX_TRACEBACKS = 10  # exceptions of one kind that are logged with a traceback

_log = logging.getLogger("pointgw.periodic")


class PeriodicTimer:
    """Calls `work` every `interval()` seconds until it is stopped; the first time after one interval.

    The next call is scheduled before the work is done, or the first exception would end the series.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        interval: Callable[[], float],
        work: Callable[[], None],
    ) -> None:
        self.loop, self.name, self.interval, self.work = loop, name, interval, work
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.timer = self.loop.call_later(self.interval(), self.run)

    def run(self) -> None:
        """Does the work now, and schedules the next call an interval from now."""
        if self.timer is not None:
            self.timer.cancel()
        self.start()
        try:
            self.work()
        except Exception:
            count_exception(f"periodic_{self.name}", self.name)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


def count_exception(counter: str, subject: str) -> None:
    """Counts the exception being handled as an invariant violation, and logs the first few of a kind."""
    violations[counter] += 1
    if violations[counter] <= MAX_TRACEBACKS:
        _log.exception("fault", extra={"fields": {"what": counter, "about": subject}})
