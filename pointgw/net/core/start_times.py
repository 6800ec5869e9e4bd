"""Translates servers' start times from wall-clock time to this process's monotonic clock. No I/O, no clock.

Discovery reports when each server's process started as Unix time. The wall clock may step, at discovery
and here, while a slow start takes real time. So each reported start is translated once, when first received,
and bounded by what this process observed: a new start can't lie long before the last list without it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from pointgw.interface import ServerEntry
from pointgw.net.wire.server_list import UNKNOWN_START

NOT_STARTING = 0.0  # reported for a server that started long ago

CLOCK_TOLERANCE_SECONDS = 0.5  # a larger difference of the clocks is a step of one of them


class StartTimes:
    """Start times of the servers. `warm_up_window`: seconds after which the start makes no difference."""

    def __init__(self, warm_up_window: float) -> None:
        self.warm_up_window = warm_up_window
        self.starts: dict[str, tuple[float, float]] = {}  # each server's start as reported, and as translated
        self.last_list_at: float | None = None  # when the last list was received; None: not yet

    def translate(
        self, entries: Iterable[ServerEntry], now: float, wall_clock: float, received: bool
    ) -> Iterator[ServerEntry]:
        """Yields the entries with starts on this process's clock; `now` and `wall_clock` are the same moment.

        `received`: discovery sent them just now; False: they come from the start-up file.
        """
        previous_list_at, self.last_list_at = self.last_list_at, now if received else self.last_list_at
        for entry in entries:
            start = self.starts.get(entry.server)
            if start is None or start[0] != entry.started_at:
                start = (
                    entry.started_at,
                    self._translate_start(
                        entry.started_at, start is not None, now, wall_clock, previous_list_at
                    ),
                )
                self.starts[entry.server] = start
            yield entry if start[1] == entry.started_at else entry._replace(started_at=start[1])

    def _translate_start(
        self, reported: float, restarted: bool, now: float, wall_clock: float, previous_list_at: float | None
    ) -> float:
        """The start on this process's clock. A step shows as a difference between the clocks, and the
        reported time may be from before or after it. The latest possible start counts, as it allows the
        least load."""
        if reported == NOT_STARTING:
            return NOT_STARTING
        if reported == UNKNOWN_START:
            return now
        stepped = abs(wall_clock - now) > CLOCK_TOLERANCE_SECONDS
        ages = (
            [age for age in (now - reported, wall_clock - reported) if age >= 0.0]
            if stepped
            else [now - reported]
        )
        age = min(ages, default=0.0)
        max_age = (
            now - previous_list_at + self.warm_up_window
            if previous_list_at is not None and restarted
            else None
        )
        if age < 0.0 or (max_age is not None and age > max_age):
            return now
        return reported if age == now - reported else now - age
