"""Servers' start times when the wall clock steps, here or at discovery."""

from __future__ import annotations

import pytest

from pointgw.interface import ServerEntry
from pointgw.net.core.start_times import StartTimes
from pointgw.net.wire.server_list import UNKNOWN_START

WARM_UP = 20.0
BEGAN = 1_000_000.0  # both clocks at the start of the process
HOUR = 3600.0


def entry(started: float, server: str = "s") -> ServerEntry:
    return ServerEntry(server, "active", 0, 0, 0, started, 1.0)


def translated(times: StartTimes, started: float, now: float, wall: float, received: bool = True) -> float:
    return next(times.translate([entry(started)], now, wall, received)).started_at


@pytest.mark.parametrize("step", [0.0, 5.0, -5.0, HOUR, -HOUR])
@pytest.mark.parametrize("discovery_stepped", [False, True])
@pytest.mark.parametrize("age", [0.0, 2.0, 6.0])
def test_a_starting_server_is_cold_from_its_start_however_the_clock_steps(
    step: float, discovery_stepped: bool, age: float
) -> None:
    times, now = StartTimes(WARM_UP), BEGAN + 100.0
    translated(times, 0.0, now - 8.0, now - 8.0)
    reported = now - age + (step if discovery_stepped else 0.0)
    started = translated(times, reported, now, now + step)
    # Guards against a start before the real one: the server would be overloaded.
    assert now - age <= started <= now
    assert translated(times, reported, now + 9.0, now + 9.0) == started  # a later step changes nothing


@pytest.mark.parametrize("reported", [UNKNOWN_START, BEGAN + 10 * HOUR])
def test_an_impossible_start_is_taken_as_now(reported: float) -> None:
    times, now = StartTimes(WARM_UP), BEGAN + 50.0
    assert translated(times, reported, now, now) == now
    assert translated(times, reported, now + 3.0, now + 3.0) == now


def test_a_restart_reported_as_long_past_is_taken_as_now() -> None:
    times, now = StartTimes(WARM_UP), BEGAN + HOUR
    translated(times, BEGAN, now - 1.0, now - 1.0)
    assert translated(times, BEGAN + 5.0, now, now) == now


def test_without_a_step_a_start_is_unchanged() -> None:
    times, now = StartTimes(WARM_UP), BEGAN + 50.0
    assert translated(times, BEGAN + 33.3, now, now + 0.1) == BEGAN + 33.3
    assert translated(times, 0.0, now, now) == 0.0
    assert translated(StartTimes(WARM_UP), BEGAN - HOUR, now, now, received=False) == BEGAN - HOUR
