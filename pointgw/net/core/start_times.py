"""Servers' starts, told in wall-clock time, as times of this process's monotonic clock. No I/O, no clock.

Discovery tells when each server's process started as Unix time. The wall clock may step, at discovery
and here, while a slow start is a span of real time. So each told start is translated once, when it is
first heard, and is held to what this process saw itself: a start that it is told as news can't lie long
before the last list that did not have it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from pointgw.interface import ServerEntry
from pointgw.net.wire.server_list import INVALID_START

NOT_STARTING = 0.0  # told for a server that is not starting

CLOCK_TOLERANCE_SECONDS = 0.5  # seconds that the two clocks may drift apart without a step


class StartTimes:
    """`warm_up`: seconds after which it makes no difference when a server started."""

    def __init__(self, warm_up: float) -> None:
        self.warm_up_window = warm_up
        self.starts: dict[str, tuple[float, float]] = {}  # by server: the start as told, and as translated
        self.last_list_at: float | None = None  # when discovery told a list last; None: never yet

    def translate(
        self, lines: Iterable[ServerEntry], now: float, wall: float, heard: bool
    ) -> Iterator[ServerEntry]:
        """Lines with their starts on this process's clock, which shows `now` as the wall clock shows `wall`.

        `heard`: discovery has told them just now; False: they are of the start-up file.
        """
        since, self.last_list_at = self.last_list_at, now if heard else self.last_list_at
        for line in lines:
            known = self.starts.get(line.server)
            if known is None or known[0] != line.started_at:
                known = (
                    line.started_at,
                    self._translate_start(line.started_at, known is not None, now, wall, since),
                )
                self.starts[line.server] = known
            yield line if known[1] == line.started_at else line._replace(started_at=known[1])

    def _translate_start(
        self, told: float, restarted: bool, now: float, wall: float, since: float | None
    ) -> float:
        """The start on this process's clock. A step shows as a difference between the clocks, and the told
        time may be from before or after it. The latest start that is possible counts: it bears least."""
        if told == NOT_STARTING:
            return NOT_STARTING
        if told == INVALID_START:
            return now
        stepped = abs(wall - now) > CLOCK_TOLERANCE_SECONDS
        ages = [age for age in (now - told, wall - told) if age >= 0.0] if stepped else [now - told]
        age = min(ages, default=0.0)
        longest = now - since + self.warm_up_window if since is not None and restarted else None
        if age < 0.0 or (longest is not None and age > longest):
            return now
        return told if age == now - told else now - age
