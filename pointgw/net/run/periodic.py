"""Periodic work on the event loop, which goes on after an exception."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Callable
from typing import Any

from pointgw.net.invariant import MAX_LOGGED, violations

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


def count_exception(counter: str, subject: str, error: BaseException | None = None) -> None:
    """Counts an exception as an invariant violation, and logs the first few of a kind.

    `error`: None for the one that is being handled.
    """
    error = error or sys.exception()
    if violations.record(counter, f"{subject} {type(error).__name__} {error}") <= MAX_LOGGED:
        _log.error("fault", exc_info=error, extra={"fields": {"what": counter, "about": subject}})


def count_loop_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Handler of the event loop for exceptions that left a callback, a protocol or a task."""
    count_exception("callback_failed", str(context.get("message", "")), context.get("exception"))
