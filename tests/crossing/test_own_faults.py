"""Internal errors: an exception is injected into one step of the balancer.

Guards against a request that then gets no answer, a periodic timer that does not fire again, and a stop that
does not end.
"""

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
def clear_violations() -> None:
    violations.clear()


def failing(times: int, original: Any) -> Any:
    """A method that raises `times` times and then calls the original."""
    remaining = [times]

    def method(self: Any, *args: Any) -> Any:
        if remaining[0] > 0:
            remaining[0] -= 1
            raise RuntimeError("an error injected by a test")
        return original(self, *args)

    return method


def test_a_periodic_timer_survives_an_exception() -> None:
    async def main() -> None:
        called_at: list[float] = []

        def work() -> None:
            called_at.append(time.monotonic())
            if len(called_at) == 1:
                raise RuntimeError("an error injected by a test")

        timer = PeriodicTimer(asyncio.get_running_loop(), "test", lambda: 0.01, work)
        timer.run()
        await asyncio.sleep(0.1)
        timer.stop()
        count = len(called_at)
        await asyncio.sleep(0.05)
        assert count >= 3 and len(called_at) == count and violations["periodic_test"] == 1

    asyncio.run(main())


def test_a_control_pass_that_fails_is_followed_by_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        monkeypatch.setattr(Balancer, "_run_control_pass", failing(3, Balancer._run_control_pass))
        previous = process.reducer.balancer.last_pass_at
        await wait_until(lambda: process.reducer.balancer.last_pass_at > previous)
        assert violations["event_failed"] == 3

    run_scenario(scenario, World(), forces_errors=True)


def test_a_stop_with_a_failing_step_still_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, _ = await world.open_tunnel()
        original = type(process.reducer)._stop_requested
        monkeypatch.setattr(type(process.reducer), "_stop_requested", failing(2, original))
        process.stop()
        assert await client.read_line() == b"MOVE\r\n"
        await asyncio.wait_for(asyncio.shield(process.ended), 4.0)

    run_scenario(scenario, World(), forces_errors=True)


def test_a_stop_whose_every_step_fails_is_forced_to_end_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        monkeypatch.setattr(type(process.reducer), "_stop_requested", failing(10**6, None))
        started_at = time.monotonic()
        process.stop()
        await asyncio.wait_for(asyncio.shield(process.ended), 4.0)
        assert time.monotonic() - started_at < process.reducer.stop_time_limit + 0.2
        assert violations["stop_not_ended"] == 1

    run_scenario(scenario, World(), forces_errors=True)


def test_a_setup_that_cannot_be_started_is_followed_by_another(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        original = server_module.ServerConnection.__init__
        monkeypatch.setattr(server_module.ServerConnection, "__init__", failing(1, original))
        await world.open_tunnel()
        assert violations["effect_failed"] == 1

    run_scenario(scenario, World(), forces_errors=True)


def test_a_request_that_the_policy_drops_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        monkeypatch.setattr(Balancer, "tunnel_arrived", lambda *args: None)
        client = await world.connect_client()
        client.send(open_line(timeout_ms=300))
        started_at = time.monotonic()
        assert await client.read_line() == b"ERR\r\n"
        assert time.monotonic() - started_at < 0.3 + 0.5
        assert violations["answer_overdue"] == 1

    run_scenario(scenario, World(), forces_errors=True)


def test_an_exception_in_a_callback_of_the_loop_is_counted_and_named_last() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        asyncio.get_running_loop().call_soon(lambda: 1 // 0)
        await wait_until(lambda: violations["callback_failed"])
        assert "ZeroDivisionError" in str(violations.figures()["last_error"])

    run_scenario(scenario, World(), forces_errors=True)


def test_a_scenario_fails_on_an_internal_error_that_it_does_not_force() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        asyncio.get_running_loop().call_soon(lambda: 1 // 0)
        await wait_until(lambda: violations)

    with pytest.raises(AssertionError):
        run_scenario(scenario, World())
