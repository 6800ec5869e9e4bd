"""A virtual clock: callbacks run at their time, in order of time and then of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count as counting

Callback = Callable[[float], object]  # called with the time


class VirtualClock:
    """Base class with a clock and a queue of callbacks; the subclass sets `now`."""

    now: float

    def start_clock(self) -> None:
        self.queue: list[tuple[float, int, Callback]] = []
        self.order = counting()

    def later(self, delay: float, callback: Callback) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), callback))

    def run_until(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            due_at, _, callback = heapq.heappop(self.queue)
            self.now = max(self.now, due_at)
            callback(self.now)
        self.now = until
