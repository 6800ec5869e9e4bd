"""A balancer that is short of processor time: what it has not read yet is not its servers' fault."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections import Counter
from typing import Any

import pytest

from crossing.daemon import answer_requests
from crossing.world import Connection, ControlledLoop, World, open_line, run_scenario, wait_until
from pointgw.net.core.effects import Connect
from pointgw.net.core.events import ClientArrived, Event, ProbeEnded
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.policy import SILENCE_TIMEOUT

CONNECT_TIMEOUT, ATTEMPT_TIMEOUT, CLIENT_TIMEOUT = 0.12, 0.2, 1.5  # seconds, settings of the world's balancer
REQUESTS = 100
SECONDS_PER_REQUEST = 0.002  # more than the limits of a connect and of a setup for all requests together


def slow_down_arrivals(process: BalancerProcess, seconds: float) -> None:
    """Makes the process need so long for each request that it sends to a server."""
    dispatch = process.reducer.dispatch

    def slow_dispatch(event: Event, now: float) -> Any:
        requested = dispatch(event, now)
        if any(isinstance(effect, Connect) for effect in requested):
            time.sleep(seconds)
        return requested

    process.reducer.dispatch = slow_dispatch  # type: ignore[method-assign]


def send_at_once(clients: list[Connection]) -> None:
    """Sends one request of each client."""
    for number, client in enumerate(clients):
        os.write(client.sock.fileno(), open_line(f"id{number}"))


def test_requests_that_come_all_at_once_do_not_make_their_server_seem_to_fail() -> None:
    """Guards against a burst of requests after which the balancer declines everyone: the attempts' limits
    passed while it was still starting the rest of the burst, and their servers' answers were not read."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        serving = asyncio.create_task(answer_requests(world))
        clients = [await world.connect_client() for _ in range(REQUESTS)]
        slow_down_arrivals(process, SECONDS_PER_REQUEST)
        send_at_once(clients)
        answers = [await client.read_line() for client in clients]
        serving.cancel()
        assert answers == [b"UP r-1\r\n"] * REQUESTS
        assert process.request_log.counts["attempt"] == REQUESTS

    run_scenario(scenario, World(servers=2))


def test_requests_beyond_what_the_process_can_start_are_declined_in_time() -> None:
    """Guards against answers after the deadline, or none, for the last requests of a burst."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        serving = asyncio.create_task(answer_requests(world))
        clients = [await world.connect_client() for _ in range(REQUESTS)]
        slow_down_arrivals(process, 2 * CLIENT_TIMEOUT / REQUESTS)
        sent_at = time.monotonic()
        send_at_once(clients)
        answers = [await client.read_line() for client in clients]
        serving.cancel()
        assert time.monotonic() - sent_at < CLIENT_TIMEOUT
        words = Counter(answer.split()[0] for answer in answers)
        assert words.keys() == {b"UP", b"BUSY"}
        assert words[b"UP"] >= REQUESTS / 5

    run_scenario(scenario, World(servers=2))


def hold_up_loop(process: BalancerProcess, seconds: float) -> None:
    """Makes the event loop do nothing for so long once it has begun to connect for a request."""
    submit = process.submit

    def submit_and_hold_up(event: ClientArrived) -> None:
        submit(event)
        process.loop.call_soon(time.sleep, seconds)

    process.admission.submit = submit_and_hold_up


@pytest.mark.parametrize(("seconds", "attempts"), [(1.3 * CONNECT_TIMEOUT, 1), (1.3 * ATTEMPT_TIMEOUT, 2)])
def test_a_connection_that_came_up_while_the_loop_was_held_up_is_not_a_failure(
    seconds: float, attempts: int
) -> None:
    """Guards against a late loop that takes its servers for unreachable. Where the attempt's whole time has
    passed, another one is made, and the server is not blamed for the first."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        serving = asyncio.create_task(answer_requests(world))
        client = await world.connect_client()
        hold_up_loop(process, seconds)
        client.send(open_line())
        assert await client.read_line() == b"UP r-1\r\n"
        serving.cancel()
        assert process.request_log.counts["attempt"] == attempts
        assert not process.request_log.counts["attempt_ended_no-connection"]
        assert process.reducer.balancer.consecutive_unopened == 0

    run_scenario(scenario, World(servers=2))


def write_while_held_up(connection: Connection, line: bytes, seconds: float) -> None:
    """Holds the event loop up for so long after it has looked for input, and sends the line meanwhile."""
    loop = asyncio.get_running_loop()
    reader, writer = socket.socketpair()

    def hold_up() -> None:
        loop.remove_reader(reader)
        os.write(connection.sock.fileno(), line)
        time.sleep(seconds)

    loop.add_reader(reader, hold_up)
    writer.send(b"x")


def test_an_answer_that_came_while_the_loop_was_held_up_counts() -> None:
    """Guards against a second setup, or an error, for a request that a server has accepted in time."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        await server.read_line()
        write_while_held_up(server, b"UP r-1\r\n", 1.3 * ATTEMPT_TIMEOUT)
        assert await client.read_line() == b"UP r-1\r\n"
        assert process.request_log.counts["attempt"] == 1

    run_scenario(scenario, World(servers=2))


def test_a_probe_that_was_answered_while_the_loop_was_held_up_counts() -> None:
    """Guards against servers that are taken out of use for probes that they answered in time."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        _, probe = await world.next_setup()
        await probe.read_line()
        endings: list[str] = []
        submit = process.submit

        def record(event: Event) -> None:
            if isinstance(event, ProbeEnded):
                endings.append(event.ending)
            submit(event)

        process.submit = record  # type: ignore[method-assign]
        write_while_held_up(probe, b"PONG x0=0.1,util=0.1\r\n", 1.3 * ATTEMPT_TIMEOUT)
        await wait_until(lambda: endings)
        assert endings[0] == "ok"

    run_scenario(scenario, World(servers=1, limits={"probes": True}))


@pytest.mark.parametrize("seconds", [ATTEMPT_TIMEOUT, 1.1 * SILENCE_TIMEOUT * ATTEMPT_TIMEOUT])
def test_a_reply_that_came_while_the_loop_was_held_up_was_not_late(seconds: float) -> None:
    """Guards against a server that loses its tunnels because this balancer read its replies late."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        client.send(b"hello\r\n")
        assert await server.read_line() == b"hello\r\n"
        write_while_held_up(server, b"reply\r\n", seconds)
        assert await client.read_line() == b"reply\r\n"
        assert process.reducer.figures()["suspended"] == 0

    run_scenario(scenario, World(servers=2))


def test_a_late_reply_is_still_noticed() -> None:
    """Guards against a server whose own delay is taken for the balancer's."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        client.send(b"hello\r\n")
        assert await server.read_line() == b"hello\r\n"
        await asyncio.sleep(ATTEMPT_TIMEOUT)
        server.send(b"reply\r\n")
        assert await client.read_line() == b"reply\r\n"
        assert process.reducer.figures()["suspended"] == 1

    run_scenario(scenario, World(servers=2))
