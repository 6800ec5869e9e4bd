"""Faults of the program itself: no request without an answer, no work by the clock that ends for good."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from crossing.world import ControlledLoop, World, open_line, run_scenario, wait_until
from pointgw.net.invariant import violations
from pointgw.net.run import server as server_module
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.run.periodic import PeriodicTimer
from pointgw.policy import Balancer


@pytest.fixture(autouse=True)
def no_counts() -> None:
    violations.clear()


def failing(times: int, then: Any) -> Any:
    """A method that raises so many times, and then does as it did."""
    left = [times]

    def method(self: Any, *args: Any) -> Any:
        if left[0] > 0:
            left[0] -= 1
            raise RuntimeError("a fault that a test put here")
        return then(self, *args)

    return method


def test_work_by_the_clock_goes_on_after_an_exception() -> None:
    async def main() -> None:
        done: list[float] = []

        def work() -> None:
            done.append(time.monotonic())
            if len(done) == 1:
                raise RuntimeError("a fault that a test put here")

        periodic = PeriodicTimer(asyncio.get_running_loop(), "test", lambda: 0.01, work)
        periodic.run()
        await asyncio.sleep(0.1)
        periodic.stop()
        count = len(done)
        await asyncio.sleep(0.05)
        assert count >= 3 and len(done) == count and violations["periodic_test"] == 1

    asyncio.run(main())


def test_a_tick_that_fails_is_followed_by_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        monkeypatch.setattr(Balancer, "_run_control_pass", failing(3, Balancer._run_control_pass))
        rounds = process.reducer.balancer.last_pass_at
        await wait_until(lambda: process.reducer.balancer.last_pass_at > rounds)
        assert violations["event_failed"] == 3

    run_scenario(scenario, World())


def test_a_stop_whose_step_fails_ends_all_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, _ = await world.open_tunnel()
        stopping = type(process.reducer)._stop_requested
        monkeypatch.setattr(type(process.reducer), "_stop_requested", failing(2, stopping))
        process.stop()
        assert await client.read_line() == b"MOVE\r\n"
        await asyncio.wait_for(asyncio.shield(process.ended), 4.0)

    run_scenario(scenario, World())


def test_a_stop_that_never_ends_by_itself_is_ended_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        monkeypatch.setattr(type(process.reducer), "_stop_requested", failing(10**6, None))
        started_at = time.monotonic()
        process.stop()
        await asyncio.wait_for(asyncio.shield(process.ended), 4.0)
        assert time.monotonic() - started_at < process.reducer.stop_time_limit + 0.2
        assert violations["stop_not_ended"] == 1

    run_scenario(scenario, World())


def test_an_attempt_that_cannot_be_begun_is_followed_by_another(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        begin = server_module.ServerConnection.__init__
        monkeypatch.setattr(server_module.ServerConnection, "__init__", failing(1, begin))
        await world.open_tunnel()
        assert violations["effect_failed"] == 1

    run_scenario(scenario, World())


def test_a_request_that_the_decisions_forget_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        monkeypatch.setattr(Balancer, "tunnel_arrived", lambda *args: None)
        client = await world.connect_client()
        client.send(open_line(timeout_ms=300))
        started_at = time.monotonic()
        assert await client.read_line() == b"ERR\r\n"
        assert time.monotonic() - started_at < 0.3 + 0.5
        assert violations["answer_overdue"] == 1

    run_scenario(scenario, World())
