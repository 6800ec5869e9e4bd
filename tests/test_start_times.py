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


@pytest.mark.parametrize("step_back", [0.0, 3.0, WARM_UP - 1.0, WARM_UP, WARM_UP + 5.0, HOUR])
@pytest.mark.parametrize("outage", [0.0, 10.0])
@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("earlier_list_received", [False, True])
def test_a_process_that_an_earlier_list_lacked_starts_when_it_is_listed(
    step_back: float, outage: float, restarted: bool, earlier_list_received: bool
) -> None:
    """Guards rule 4 against a server whose machine's wall clock is behind: it would count as warm."""
    times, age, now = StartTimes(WARM_UP), 1.2, BEGAN + 100.0
    earlier = [entry(BEGAN - HOUR, "other")] + ([entry(BEGAN - 2 * HOUR)] if restarted else [])
    list(times.translate(earlier, now - 2.0 - outage, now - 2.0 - outage, earlier_list_received))
    started = translated(times, now - age - step_back, now, now)
    assert now - age <= started <= now
    assert translated(times, now - age - step_back, now + 9.0, now + 9.0) == started


def test_starts_that_can_not_be_true_are_counted() -> None:
    times, now = StartTimes(WARM_UP), BEGAN + 100.0
    translated(times, 0.0, now - 8.0, now - 8.0)
    list(times.translate([entry(now - 2.0, "late"), entry(now - HOUR, "behind")], now, now, True))
    assert times.implausible_count == 1


def test_without_a_step_a_start_is_unchanged() -> None:
    times, now = StartTimes(WARM_UP), BEGAN + 50.0
    assert translated(times, BEGAN + 33.3, now, now + 0.1) == BEGAN + 33.3
    assert translated(times, 0.0, now, now) == 0.0
    assert translated(StartTimes(WARM_UP), BEGAN - HOUR, now, now, received=False) == BEGAN - HOUR
