"""Idle connections, and data or requests that arrive just as one is closed or times out.

Guards against a probe that fails because its idle connection was closed, an answer taken for that of a later
probe, a request dropped because its idle connection was about to be closed, and connections that are never
freed.
"""

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


async def probe_once(process: BalancerProcess, world: World) -> tuple[list[ProbeEnded], Any, Connection]:
    """Probes server 0 once; returns the list of probe results, the probe, and the connection it left open."""
    results: list[ProbeEnded] = []
    submit = process.submit
    process.submit = lambda e: results.append(e) if isinstance(e, ProbeEnded) else submit(e)  # type: ignore[assignment]
    probe = Probe("s-0", ("127.0.0.1", world.servers[0].port), 0.5, 0.2)
    process._execute(probe)
    connection = await world.servers[0].next_connection()
    assert await connection.read_line() == b"STATS\r\n"
    connection.send(REPORT)
    await wait_until(lambda: len(results) == 1)
    return results, probe, connection


@pytest.mark.parametrize("close_method", ["send_eof", "reset", "close"])
def test_a_probe_on_a_connection_just_closed_is_sent_again_on_a_new_one(close_method: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        results, probe, connection = await probe_once(process, world)
        getattr(connection, close_method)()  # not yet seen by the balancer as it writes the next probe
        process._execute(probe)
        new_connection = await world.servers[0].next_connection()
        assert await new_connection.read_line() == b"STATS\r\n"
        new_connection.send(REPORT)
        await wait_until(lambda: len(results) == 2)
        assert [event.ending for event in results] == ["ok", "ok"]

    run_scenario(scenario, World())


@pytest.mark.parametrize("after_first", [True, False])
def test_a_second_answer_to_a_probe_is_not_taken_for_the_next_probes(after_first: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        results, probe, connection = await probe_once(process, world)
        if after_first:
            connection.send(b"PONG x0=9\r\n")
            await wait_until(lambda: "s-0" not in process.probes.connections)
            process._execute(probe)
        else:
            process._execute(probe)
            assert await connection.read_line() == b"STATS\r\n"
            connection.send(REPORT + b"PONG x0=9\r\n")
            await wait_until(lambda: len(results) == 2)
            process._execute(probe)
        new_connection = await world.servers[0].next_connection()
        assert await new_connection.read_line() == b"STATS\r\n"
        new_connection.send(REPORT)
        await wait_until(lambda: len(results) == (2 if after_first else 3))
        assert all(event.report == results[0].report for event in results)

    run_scenario(scenario, World())


def test_a_probe_connection_made_after_its_timeout_has_no_effect() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        results: list[ProbeEnded] = []
        submit = process.submit
        process.submit = lambda e: results.append(e) if isinstance(e, ProbeEnded) else submit(e)  # type: ignore[assignment]
        loop.before_connect = asyncio.Event()
        probe = Probe("s-0", ("127.0.0.1", world.servers[0].port), 0.5, 0.1)
        process._execute(probe)
        await wait_until(lambda: len(results) == 1)
        assert results[0].ending == "no-connection"
        loop.before_connect.set()
        await run_loop_iterations()
        process._execute(probe)
        connection = await world.servers[0].next_connection()
        assert await connection.read_line() == b"STATS\r\n"
        connection.send(REPORT)
        await wait_until(lambda: len(results) == 2)
        assert results[1].ending == "ok"

    run_scenario(scenario, World())


def test_a_probe_connected_at_its_timeout_ends_by_its_answer() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        results: list[ProbeEnded] = []
        submit = process.submit
        process.submit = lambda e: results.append(e) if isinstance(e, ProbeEnded) else submit(e)  # type: ignore[assignment]
        loop.after_connect = asyncio.Event()
        process._execute(Probe("s-0", ("127.0.0.1", world.servers[0].port), 1.0, 0.1))
        connection = await world.servers[0].next_connection()
        assert await connection.read_line() == b"STATS\r\n"
        await asyncio.sleep(0.15)  # the connect timeout is over, and create_connection has not returned
        connection.send(REPORT)
        await wait_until(lambda: results)
        assert results[0].ending == "ok"

    run_scenario(scenario, World())


def test_a_request_received_at_the_first_line_timeout_is_served() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        await wait_until(lambda: process.connections.idle)
        client.sock.setblocking(False)
        os.write(client.sock.fileno(), open_line())  # in the balancer's socket, unread
        process.first_line_timeout = 0.0
        process._check_timeouts()
        _, server = await world.next_setup()
        await server.read_line()
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World())


def test_a_request_received_as_its_descriptor_is_needed_is_served() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        await wait_until(lambda: len(process.connections.idle) == 1)
        client_accepted = process.client_accepted

        def write_request_first(connection: Any) -> None:
            os.write(client.sock.fileno(), open_line())
            process.descriptor_budget = 0
            process.client_accepted = client_accepted  # type: ignore[method-assign]
            client_accepted(connection)
            process.descriptor_budget = 500

        client.sock.setblocking(False)
        process.client_accepted = write_request_first  # type: ignore[method-assign]
        await world.connect_client()
        _, server = await world.next_setup()
        await server.read_line()
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World())


def test_a_partial_request_line_has_the_longer_timeout() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line()[:20])
        await wait_until(lambda: [client for client in process.connections.idle if client.buffer])
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


def test_clients_that_send_much_and_leave_at_once_leave_nothing_behind() -> None:
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


def test_lingering_connections_are_closed_before_idle_ones() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        lingering = [await world.connect_client() for _ in range(6)]
        for connection in lingering:
            connection.pause_reading()
            connection.send(b"nonsense\r\n")
        await wait_until(lambda: len(process.connections.lingering) == 6)
        idle = await world.connect_client()
        await wait_until(lambda: len(process.connections.idle) == 1)
        process.descriptor_budget = 7
        await world.open_tunnel()
        await wait_until(lambda: len(process.connections.lingering) < 6)
        assert len(process.connections.idle) == 1
        idle.send(b"PING\r\n")
        assert await idle.read_line() == b"PONG\r\n"

    run_scenario(scenario, World())


def test_a_client_that_stops_within_its_line_is_answered_three_seconds_after_connecting() -> None:
    # The limit also holds with a longer client timeout.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        started_at = time.monotonic()
        partial, silent = await world.connect_client(), await world.connect_client()
        partial.send(open_line()[:20])
        assert await partial.read_line() == b"ERR\r\n" and await silent.read_line() == b"ERR\r\n"
        assert time.monotonic() - started_at < 3.0

    run_scenario(scenario, World(profile={"clientTimeout": 8000.0}))
