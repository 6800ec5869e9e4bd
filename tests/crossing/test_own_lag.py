"""A balancer that is short of processor time: what it has not read yet is not its servers' fault."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any

from crossing.daemon import answer_requests
from crossing.world import ControlledLoop, World, open_line, run_scenario
from pointgw.net.core.events import ClientArrived, Event
from pointgw.net.run.balancer_process import BalancerProcess

REQUESTS = 100
SECONDS_PER_REQUEST = 0.002  # more than the limits of a connect and of a setup for all requests together


def slow_down_arrivals(process: BalancerProcess) -> None:
    """Makes the process need `SECONDS_PER_REQUEST` for each request that it starts."""
    dispatch = process.reducer.dispatch

    def slow_dispatch(event: Event, now: float) -> Any:
        if isinstance(event, ClientArrived):
            time.sleep(SECONDS_PER_REQUEST)
        return dispatch(event, now)

    process.reducer.dispatch = slow_dispatch  # type: ignore[method-assign]


def test_requests_that_come_all_at_once_do_not_make_their_server_seem_to_fail() -> None:
    """Guards against a burst of requests after which the balancer declines everyone: the attempts' limits
    passed while it was still starting the rest of the burst, and their servers' answers were not read."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        serving = asyncio.create_task(answer_requests(world))
        clients = [await world.connect_client() for _ in range(REQUESTS)]
        slow_down_arrivals(process)
        for number, client in enumerate(clients):
            os.write(client.sock.fileno(), open_line(f"id{number}"))
        answers = [await client.read_line() for client in clients]
        serving.cancel()
        assert answers == [b"UP r-1\r\n"] * REQUESTS
        assert process.request_log.counts["attempt"] == REQUESTS

    run_scenario(scenario, World(servers=2))
