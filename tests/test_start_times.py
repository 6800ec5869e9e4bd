"""Servers' starts where the wall clock steps, here or at discovery."""

from __future__ import annotations

import pytest

from pointgw.interface import ServerEntry
from pointgw.net.core.start_times import StartTimes
from pointgw.net.wire.server_list import INVALID_START

WARM_UP = 20.0
BEGAN = 1_000_000.0  # the wall clock as the process began; its own clock goes on from there
HOUR = 3600.0


def line(started: float, server: str = "s") -> ServerEntry:
    return ServerEntry(server, "active", 0, 0, 0, started, 1.0)


def translated(times: StartTimes, started: float, now: float, wall: float, heard: bool = True) -> float:
    return next(times.translate([line(started)], now, wall, heard)).started_at


@pytest.mark.parametrize("step", [0.0, 5.0, -5.0, HOUR, -HOUR])
@pytest.mark.parametrize("discovery_stepped", [False, True])
@pytest.mark.parametrize("age", [0.0, 2.0, 6.0])
def test_a_server_that_starts_is_cold_from_then_on_however_the_clock_steps(
    step: float, discovery_stepped: bool, age: float
) -> None:
    times, now = StartTimes(WARM_UP), BEGAN + 100.0
    translated(times, 0.0, now - 8.0, now - 8.0)
    told = now - age + (step if discovery_stepped else 0.0)
    started = translated(times, told, now, now + step)
    assert now - age <= started <= now  # never older than it is, as it would get too much
    assert translated(times, told, now + 9.0, now + 9.0) == started  # a later step changes nothing


@pytest.mark.parametrize("told", [INVALID_START, BEGAN + 10 * HOUR])
def test_a_start_that_cannot_be_is_taken_as_now(told: float) -> None:
    times, now = StartTimes(WARM_UP), BEGAN + 50.0
    assert translated(times, told, now, now) == now
    assert translated(times, told, now + 3.0, now + 3.0) == now


def test_a_restart_that_is_told_as_long_past_is_taken_as_now() -> None:
    times, now = StartTimes(WARM_UP), BEGAN + HOUR
    translated(times, BEGAN, now - 1.0, now - 1.0)
    assert translated(times, BEGAN + 5.0, now, now) == now


def test_without_a_step_a_start_is_as_it_was_told() -> None:
    times, now = StartTimes(WARM_UP), BEGAN + 50.0
    assert translated(times, BEGAN + 33.3, now, now + 0.1) == BEGAN + 33.3
    assert translated(times, 0.0, now, now) == 0.0
    assert translated(StartTimes(WARM_UP), BEGAN - HOUR, now, now, heard=False) == BEGAN - HOUR
