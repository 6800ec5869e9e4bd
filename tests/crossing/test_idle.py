"""Connections on which nothing happens, and what crosses their end."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any

import pytest

from crossing.world import (
    Connection,
    ControlledLoop,
    World,
    open_line,
    run_loop_iterations,
    run_scenario,
    wait_until,
)
from pointgw.net.core.effects import Probe
from pointgw.net.core.events import ProbeEnded
from pointgw.net.run.balancer_process import BalancerProcess

REPORT = b"PONG util=0.2,qps=1,x0=0.2\r\n"


async def probed(process: BalancerProcess, world: World) -> tuple[list[ProbeEnded], Any, Connection]:
    """What probes of server 0 brought, how to make one, and the connection that the first one kept."""
    told: list[ProbeEnded] = []
    submit = process.submit
    process.submit = lambda e: told.append(e) if isinstance(e, ProbeEnded) else submit(e)  # type: ignore[assignment]
    ask = Probe("s-0", ("127.0.0.1", world.servers[0].port), 0.5, 0.2)
    process._execute(ask)
    connection = await world.servers[0].next_connection()
    assert await connection.read_line() == b"STATS\r\n"
    connection.send(REPORT)
    await wait_until(lambda: len(told) == 1)
    return told, ask, connection


@pytest.mark.parametrize("close_method", ["send_eof", "reset", "close"])
def test_a_probe_that_crosses_the_end_of_its_idle_connection_goes_out_anew(close_method: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        told, ask, connection = await probed(process, world)
        getattr(connection, close_method)()  # on its way as the next probe is written
        process._execute(ask)
        again = await world.servers[0].next_connection()
        assert await again.read_line() == b"STATS\r\n"
        again.send(REPORT)
        await wait_until(lambda: len(told) == 2)
        assert [event.ending for event in told] == ["ok", "ok"]

    run_scenario(scenario, World())


@pytest.mark.parametrize("late", [True, False])
def test_a_second_answer_to_a_probe_is_not_the_next_ones(late: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        told, ask, connection = await probed(process, world)
        if late:
            connection.send(b"PONG x0=9\r\n")
            await wait_until(lambda: "s-0" not in process.probes.connections)
            process._execute(ask)
        else:
            process._execute(ask)
            assert await connection.read_line() == b"STATS\r\n"
            connection.send(REPORT + b"PONG x0=9\r\n")
            await wait_until(lambda: len(told) == 2)
            process._execute(ask)
        again = await world.servers[0].next_connection()
        assert await again.read_line() == b"STATS\r\n"
        again.send(REPORT)
        await wait_until(lambda: len(told) == (2 if late else 3))
        assert all(event.report == told[0].report for event in told)

    run_scenario(scenario, World())


def test_a_probes_dial_that_was_given_up_acts_on_nothing() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        told: list[ProbeEnded] = []
        submit = process.submit
        process.submit = lambda e: told.append(e) if isinstance(e, ProbeEnded) else submit(e)  # type: ignore[assignment]
        loop.before_connect = asyncio.Event()
        ask = Probe("s-0", ("127.0.0.1", world.servers[0].port), 0.5, 0.1)
        process._execute(ask)
        await wait_until(lambda: len(told) == 1)
        assert told[0].ending == "no-connection"
        loop.before_connect.set()
        await run_loop_iterations()
        process._execute(ask)
        connection = await world.servers[0].next_connection()
        assert await connection.read_line() == b"STATS\r\n"
        connection.send(REPORT)
        await wait_until(lambda: len(told) == 2)
        assert told[1].ending == "ok"

    run_scenario(scenario, World())


def test_a_probes_dial_that_came_up_as_its_time_ran_out_is_judged_by_its_answer() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        told: list[ProbeEnded] = []
        submit = process.submit
        process.submit = lambda e: told.append(e) if isinstance(e, ProbeEnded) else submit(e)  # type: ignore[assignment]
        loop.after_connect = asyncio.Event()
        process._execute(Probe("s-0", ("127.0.0.1", world.servers[0].port), 1.0, 0.1))
        connection = await world.servers[0].next_connection()
        assert await connection.read_line() == b"STATS\r\n"
        await asyncio.sleep(0.15)  # the dial's time is over, and it has not come back
        connection.send(REPORT)
        await wait_until(lambda: told)
        assert told[0].ending == "ok"

    run_scenario(scenario, World())


def test_a_line_that_is_there_as_the_first_lines_clock_comes_due_is_served() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        await wait_until(lambda: process.connections.idle)
        client.sock.setblocking(False)
        os.write(client.sock.fileno(), open_line())  # in the balancer's socket, not read
        process.first_line_timeout = 0.0
        process._check_timeouts()
        _, server = await world.next_setup()
        await server.read_line()
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World())


def test_a_line_that_is_there_as_its_descriptor_is_wanted_is_served() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        await wait_until(lambda: len(process.connections.idle) == 1)
        came = process.client_accepted

        def hold(connection: Any) -> None:
            os.write(client.sock.fileno(), open_line())
            process.descriptor_budget = 0
            process.client_accepted = came  # type: ignore[method-assign]
            came(connection)
            process.descriptor_budget = 500

        client.sock.setblocking(False)
        process.client_accepted = hold  # type: ignore[method-assign]
        await world.connect_client()
        _, server = await world.next_setup()
        await server.read_line()
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World())


def test_one_that_is_written_slowly_has_the_whole_time_of_a_client() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line()[:20])
        await wait_until(lambda: [protocol for protocol in process.connections.idle if protocol.buffer])
        process.first_line_timeout = 0.0
        process._check_timeouts()
        client.send(open_line()[20:])
        _, server = await world.next_setup()
        assert await server.read_line()

    run_scenario(scenario, World())


def test_a_ping_in_pieces_then_a_request() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        for byte in b"PING\r\n":
            client.send(bytes([byte]))
            await run_loop_iterations(1)
        assert await client.read_line() == b"PONG\r\n"
        client.send(open_line())
        _, server = await world.next_setup()
        assert await server.read_line()

    run_scenario(scenario, World())


def test_many_that_send_at_once_and_leave_cost_nothing_that_stays() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        for i in range(60):
            client = await world.connect_client()
            client.send(open_line() + b"z" * 100_000 if i % 2 else b"z" * 200_000)
            (client.reset if i % 3 else client.close)()
        await wait_until(
            lambda: not process.clients and not process.connections.idle and not process.connections.lingering
        )
        assert not process.servers and not process.reducer.clients

    run_scenario(scenario, World())


def test_connections_that_were_answered_and_do_not_end_make_room_first() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        stay = [await world.connect_client() for _ in range(6)]
        for connection in stay:
            connection.pause_reading()
            connection.send(b"nonsense\r\n")
        await wait_until(lambda: len(process.connections.lingering) == 6)
        rests = await world.connect_client()
        await wait_until(lambda: len(process.connections.idle) == 1)
        process.descriptor_budget = 7
        await world.open_tunnel()
        await wait_until(lambda: len(process.connections.lingering) < 6)
        assert len(process.connections.idle) == 1
        rests.send(b"PING\r\n")
        assert await rests.read_line() == b"PONG\r\n"

    run_scenario(scenario, World())


def test_a_client_that_stops_amid_its_line_is_answered_within_three_seconds_of_coming() -> None:
    # Also where clients wait longer than that for an answer.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        started_at = time.monotonic()
        amid, silent = await world.connect_client(), await world.connect_client()
        amid.send(open_line()[:20])
        assert await amid.read_line() == b"ERR\r\n" and await silent.read_line() == b"ERR\r\n"
        assert time.monotonic() - started_at < 3.0

    run_scenario(scenario, World(profile={"clientTimeout": 8000.0}))
