"""Log of each request's steps: one debug line a step, and counts for the state line.

With `POINTGW_LOG=debug` the lines with one request's id show its whole course; the counts show how often each
step and reason has occurred since the start.
"""

from __future__ import annotations

import logging
from collections import Counter

_log = logging.getLogger("pointgw.request")


class RequestLog:
    """Counts the steps of requests by name, and logs them."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def record(self, step: str, request: str, reason: str = "", **fields: object) -> None:
        """Records one step of a request. A `reason` becomes part of the counter's name."""
        self.counts[f"{step}_{reason}" if reason else step] += 1
        if _log.isEnabledFor(logging.DEBUG):
            shown = {"request": request} | ({"reason": reason} if reason else {}) | fields
            _log.debug(step, extra={"fields": shown})
