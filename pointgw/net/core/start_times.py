"""Translates servers' start times from wall-clock time to this process's monotonic clock. No I/O, no clock.

Discovery reports when each server's process started as Unix time, by the clock of the server's machine. That
clock, discovery's and this machine's may each step, while a slow start takes real time. So a reported start
identifies a process, but shows its age only where nothing else does: a process that an earlier list lacked
counts as started when it is first listed, however old it is said to be.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from pointgw.interface import ServerEntry
from pointgw.net.wire.server_list import UNKNOWN_START

NOT_STARTING = 0.0  # reported for a server that started long ago

CLOCK_TOLERANCE_SECONDS = 0.5  # a larger difference of the clocks is a step of one of them


class ProcessStart(NamedTuple):
    """The start of a server's process, in seconds."""

    reported: float  # by discovery, in wall-clock time
    effective: float  # on this process's clock; the server counts as cold from then on


class StartTimes:
    """Start times of the servers. `warm_up_window`: seconds after which the start makes no difference."""

    def __init__(self, warm_up_window: float) -> None:
        self.warm_up_window = warm_up_window
        self.starts: dict[str, ProcessStart] = {}  # by server
        self.has_list = False  # a list was received, or the start-up file has one
        # New processes that were reported as warm, although the list before lacked them.
        self.implausible_count = 0

    def restore(self, server: str, start: ProcessStart, now: float) -> None:
        """Takes over a start that an earlier balancer process of this machine has determined."""
        self.starts[server] = start._replace(effective=min(start.effective, now))

    def translate(
        self, entries: Iterable[ServerEntry], now: float, wall_clock: float, received: bool
    ) -> Iterator[ServerEntry]:
        """Yields the entries with starts on this process's clock; `now` and `wall_clock` are the same moment.

        `received`: discovery sent them just now; False: they come from the start-up file or a snapshot.
        """
        is_update = received and self.has_list
        self.has_list = self.has_list or received
        for entry in entries:
            self.has_list = True
            start = self.starts.get(entry.server)
            if start is None or start.reported != entry.started_at:
                start = self._translate_start(entry.started_at, is_update, now, wall_clock)
                self.starts[entry.server] = start
            yield entry if start.effective == entry.started_at else entry._replace(started_at=start.effective)

    def _translate_start(
        self, reported: float, is_update: bool, now: float, wall_clock: float
    ) -> ProcessStart:
        """The start of a process that was not listed before; `is_update`: by a list that could have had it.

        Guards rule 4: the latest possible start counts, as it allows the least load.
        """
        if reported == NOT_STARTING:
            return ProcessStart(reported, NOT_STARTING)
        age = self._reported_age(reported, now, wall_clock)
        if reported == UNKNOWN_START or age < 0.0:
            return ProcessStart(reported, now)
        if is_update:
            self.implausible_count += age >= self.warm_up_window
            return ProcessStart(reported, now)
        return ProcessStart(reported, reported if age == now - reported else now - age)

    @staticmethod
    def _reported_age(reported: float, now: float, wall_clock: float) -> float:
        """The least age that a reported start may mean; negative: it lies in the future.

        A step of the own wall clock shows as a difference between the clocks, and the reported time may be
        from before or after it.
        """
        if abs(wall_clock - now) <= CLOCK_TOLERANCE_SECONDS:
            return now - reported
        ages = (now - reported, wall_clock - reported)
        return min((age for age in ages if age >= 0.0), default=0.0)
