"""Connections on which nothing happens, and what crosses their end."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any

import pytest

from crossing.world import Conn, HeldLoop, World, opening, play, turns, until
from pointgw.net.core.effects import Probe
from pointgw.net.core.events import ProbeEnded
from pointgw.net.run.balancer_process import BalancerProcess

REPORT = b"PONG util=0.2,qps=1,x0=0.2\r\n"


async def probed(node: BalancerProcess, world: World) -> tuple[list[ProbeEnded], Any, Conn]:
    """What probes of server 0 brought, how to make one, and the connection that the first one kept."""
    told: list[ProbeEnded] = []
    feed = node.submit
    node.submit = lambda e: told.append(e) if isinstance(e, ProbeEnded) else feed(e)  # type: ignore[assignment]
    ask = Probe("s-0", ("127.0.0.1", world.servers[0].port), 0.5, 0.2)
    node._execute(ask)
    conn = await world.servers[0].conn()
    assert await conn.line() == b"STATS\r\n"
    conn.say(REPORT)
    await until(lambda: len(told) == 1)
    return told, ask, conn


@pytest.mark.parametrize("how", ["end", "reset", "close"])
def test_a_probe_that_crosses_the_end_of_its_idle_connection_goes_out_anew(how: str) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        told, ask, conn = await probed(node, world)
        getattr(conn, how)()  # on its way as the next probe is written
        node._execute(ask)
        again = await world.servers[0].conn()
        assert await again.line() == b"STATS\r\n"
        again.say(REPORT)
        await until(lambda: len(told) == 2)
        assert [event.ending for event in told] == ["ok", "ok"]

    play(scene, World())


@pytest.mark.parametrize("late", [True, False])
def test_a_second_answer_to_a_probe_is_not_the_next_ones(late: bool) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        told, ask, conn = await probed(node, world)
        if late:
            conn.say(b"PONG x0=9\r\n")
            await until(lambda: "s-0" not in node.probes.connections)
            node._execute(ask)
        else:
            node._execute(ask)
            assert await conn.line() == b"STATS\r\n"
            conn.say(REPORT + b"PONG x0=9\r\n")
            await until(lambda: len(told) == 2)
            node._execute(ask)
        again = await world.servers[0].conn()
        assert await again.line() == b"STATS\r\n"
        again.say(REPORT)
        await until(lambda: len(told) == (2 if late else 3))
        assert all(event.report == told[0].report for event in told)

    play(scene, World())


def test_a_probes_dial_that_was_given_up_acts_on_nothing() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        told: list[ProbeEnded] = []
        feed = node.submit
        node.submit = lambda e: told.append(e) if isinstance(e, ProbeEnded) else feed(e)  # type: ignore[assignment]
        loop.before = asyncio.Event()
        ask = Probe("s-0", ("127.0.0.1", world.servers[0].port), 0.5, 0.1)
        node._execute(ask)
        await until(lambda: len(told) == 1)
        assert told[0].ending == "no-connection"
        loop.before.set()
        await turns()
        node._execute(ask)
        conn = await world.servers[0].conn()
        assert await conn.line() == b"STATS\r\n"
        conn.say(REPORT)
        await until(lambda: len(told) == 2)
        assert told[1].ending == "ok"

    play(scene, World())


def test_a_probes_dial_that_came_up_as_its_time_ran_out_is_judged_by_its_answer() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        told: list[ProbeEnded] = []
        feed = node.submit
        node.submit = lambda e: told.append(e) if isinstance(e, ProbeEnded) else feed(e)  # type: ignore[assignment]
        loop.after = asyncio.Event()
        node._execute(Probe("s-0", ("127.0.0.1", world.servers[0].port), 1.0, 0.1))
        conn = await world.servers[0].conn()
        assert await conn.line() == b"STATS\r\n"
        await asyncio.sleep(0.15)  # the dial's time is over, and it has not come back
        conn.say(REPORT)
        await until(lambda: told)
        assert told[0].ending == "ok"

    play(scene, World())


def test_a_line_that_is_there_as_the_first_lines_clock_comes_due_is_served() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        await until(lambda: node.connections.idle)
        client.sock.setblocking(False)
        os.write(client.sock.fileno(), opening())  # in the balancer's socket, not read
        node.first_line_timeout = 0.0
        node._check_timeouts()
        _, server = await world.setup()
        await server.line()
        server.say(b"UP r-1\r\n")
        assert await client.line() == b"UP r-1\r\n"

    play(scene, World())


def test_a_line_that_is_there_as_its_descriptor_is_wanted_is_served() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        await until(lambda: len(node.connections.idle) == 1)
        came = node.client_accepted

        def hold(connection: Any) -> None:
            os.write(client.sock.fileno(), opening())
            node.descriptor_budget = 0
            node.client_accepted = came  # type: ignore[method-assign]
            came(connection)
            node.descriptor_budget = 500

        client.sock.setblocking(False)
        node.client_accepted = hold  # type: ignore[method-assign]
        await world.client()
        _, server = await world.setup()
        await server.line()
        server.say(b"UP r-1\r\n")
        assert await client.line() == b"UP r-1\r\n"

    play(scene, World())


def test_one_that_is_written_slowly_has_the_whole_time_of_a_client() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        client.say(opening()[:20])
        await until(lambda: [side for side in node.connections.idle if side.buffer])
        node.first_line_timeout = 0.0
        node._check_timeouts()
        client.say(opening()[20:])
        _, server = await world.setup()
        assert await server.line()

    play(scene, World())


def test_a_ping_in_pieces_then_a_request() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        for byte in b"PING\r\n":
            client.say(bytes([byte]))
            await turns(1)
        assert await client.line() == b"PONG\r\n"
        client.say(opening())
        _, server = await world.setup()
        assert await server.line()

    play(scene, World())


def test_many_that_send_at_once_and_leave_cost_nothing_that_stays() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        for i in range(60):
            client = await world.client()
            client.say(opening() + b"z" * 100_000 if i % 2 else b"z" * 200_000)
            (client.reset if i % 3 else client.close)()
        await until(lambda: not node.clients and not node.connections.idle and not node.connections.lingering)
        assert not node.servers and not node.reducer.clients

    play(scene, World())


def test_connections_that_were_answered_and_do_not_end_make_room_first() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        stay = [await world.client() for _ in range(6)]
        for conn in stay:
            conn.hold()
            conn.say(b"nonsense\r\n")
        await until(lambda: len(node.connections.lingering) == 6)
        rests = await world.client()
        await until(lambda: len(node.connections.idle) == 1)
        node.descriptor_budget = 7
        await world.opened()
        await until(lambda: len(node.connections.lingering) < 6)
        assert len(node.connections.idle) == 1
        rests.say(b"PING\r\n")
        assert await rests.line() == b"PONG\r\n"

    play(scene, World())


def test_a_client_that_stops_amid_its_line_is_answered_within_three_seconds_of_coming() -> None:
    # Also where clients wait longer than that for an answer.
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        began = time.monotonic()
        amid, silent = await world.client(), await world.client()
        amid.say(opening()[:20])
        assert await amid.line() == b"ERR\r\n" and await silent.line() == b"ERR\r\n"
        assert time.monotonic() - began < 3.0

    play(scene, World(profile={"clientTimeout": 8000.0}))
