"""Faults of the program itself: no request without an answer, no work by the clock that ends for good."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from crossing.world import HeldLoop, World, opening, play, until
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
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        monkeypatch.setattr(Balancer, "_run_control_pass", failing(3, Balancer._run_control_pass))
        rounds = node.reducer.balancer.last_pass_at
        await until(lambda: node.reducer.balancer.last_pass_at > rounds)
        assert violations["event_failed"] == 3

    play(scene, World())


def test_a_stop_whose_step_fails_ends_all_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, _ = await world.opened()
        stopping = type(node.reducer)._stop_requested
        monkeypatch.setattr(type(node.reducer), "_stop_requested", failing(2, stopping))
        node.stop()
        assert await client.line() == b"MOVE\r\n"
        await asyncio.wait_for(asyncio.shield(node.ended), 4.0)

    play(scene, World())


def test_a_stop_that_never_ends_by_itself_is_ended_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        monkeypatch.setattr(type(node.reducer), "_stop_requested", failing(10**6, None))
        began = time.monotonic()
        node.stop()
        await asyncio.wait_for(asyncio.shield(node.ended), 4.0)
        assert time.monotonic() - began < node.reducer.stop_time_limit + 0.2
        assert violations["stop_not_ended"] == 1

    play(scene, World())


def test_an_attempt_that_cannot_be_begun_is_followed_by_another(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        begin = server_module.ServerConnection.__init__
        monkeypatch.setattr(server_module.ServerConnection, "__init__", failing(1, begin))
        await world.opened()
        assert violations["effect_failed"] == 1

    play(scene, World())


def test_a_request_that_the_decisions_forget_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        monkeypatch.setattr(Balancer, "tunnel_arrived", lambda *args: None)
        client = await world.client()
        client.say(opening(patience=300))
        began = time.monotonic()
        assert await client.line() == b"ERR\r\n"
        assert time.monotonic() - began < 0.3 + 0.5
        assert violations["answer_overdue"] == 1

    play(scene, World())
