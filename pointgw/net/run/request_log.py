"""What happened to each request: one line a step at debug level, and counts for the state line.

`POINTGW_LOG=debug` and one request's id tell its whole life; the counts tell how often each step and reason
occurred since the start.
"""

from __future__ import annotations

import logging
from collections import Counter

_log = logging.getLogger("pointgw.request")


class RequestLog:
    """Steps of requests, by name."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def record(self, step: str, request: str, reason: str = "", **fields: object) -> None:
        """One step of a request; `reason`: counted with it."""
        self.counts[f"{step}_{reason}" if reason else step] += 1
        if _log.isEnabledFor(logging.DEBUG):
            told = {"request": request} | ({"reason": reason} if reason else {}) | fields
            _log.debug(step, extra={"fields": told})
