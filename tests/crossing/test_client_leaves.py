"""Clients that leave with much unread, and ids that come again after their client has left.

Guards rules 1 and 2: nothing is sent on for a client that has left, and no effect happens twice because an id
comes on another connection.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from crossing.world import Connection, ControlledLoop, World, open_line, run_scenario, wait_until
from pointgw.interface import Profile
from pointgw.net.core.executed_requests import MAX_REMEMBERED, ExecutedRequests
from pointgw.net.run.balancer_process import BalancerProcess

LEAVE_SECONDS = 0.1  # after which nothing is sent for a client that has left
ONCE_ONLY = {"semantics": "side_effect"}
LOCAL = {"semantics": "token", "group": "cell", "dedupWindow": 5000.0}
EVERYWHERE = {"semantics": "token", "group": "all", "dedupWindow": 5000.0}
BRIEFLY = {"semantics": "token", "group": "all", "dedupWindow": 300.0}


async def requested(world: World, request_id: str = "9b1f") -> tuple[Connection, Connection]:
    """The client's and the server's end of a request that a server has received and not answered."""
    client = await world.connect_client()
    client.send(open_line(request_id))
    _, server = await world.next_setup()
    assert (await server.read_line()).startswith(b"OPEN " + request_id.encode())
    return client, server


async def answer_to(world: World, request_id: str) -> bytes:
    """The answer to a request; a server that gets it accepts it."""
    client = await world.connect_client()
    client.send(open_line(request_id))
    answer = asyncio.ensure_future(client.read_line())
    await asyncio.wait({answer}, timeout=0.1)
    if not answer.done():
        _, server = await world.next_setup()
        server.send(b"UP r-2\r\n")
    return await answer


@pytest.mark.parametrize(
    ("profile", "runs"),
    [({}, True), (ONCE_ONLY, False), (LOCAL, False), (EVERYWHERE, True), (BRIEFLY, False)],
)
@pytest.mark.parametrize("ended", ["left", "reset", "opened"])
def test_an_id_that_may_have_run_does_not_run_again(profile: dict[str, Any], runs: bool, ended: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await requested(world)
        if ended == "opened":
            server.send(b"UP r-1\r\n")
            assert await client.read_line() == b"UP r-1\r\n"
        (client.reset if ended == "reset" else client.close)()
        await wait_until(lambda: not process.reducer.clients)
        assert await answer_to(world, "9b1f") == (b"UP r-2\r\n" if runs else b"ERR\r\n")
        assert await answer_to(world, "another") == b"UP r-2\r\n"

    run_scenario(scenario, World(profile=profile))


def test_an_id_that_never_ran_may_come_again() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.before_connect = asyncio.Event()
        client = await world.connect_client()
        client.send(open_line())
        await loop.connect_pending.wait()
        client.close()
        await wait_until(lambda: not process.reducer.clients)
        loop.before_connect = None
        assert await answer_to(world, "9b1f") == b"UP r-2\r\n"

    run_scenario(scenario, World(profile=ONCE_ONLY))


def test_remembered_ids_are_bounded() -> None:
    executed, profile = ExecutedRequests(), Profile("once-only", "all", 0.0, 0.2, 1.5, 1.0)
    for number in range(MAX_REMEMBERED + 10):
        executed.record(f"id{number}", profile, 100.0)
    assert len(executed.sent_at) == MAX_REMEMBERED
    assert executed.may_run("id9", profile, 100.1) and not executed.may_run("id10", profile, 100.1)


@pytest.mark.parametrize("close_method", ["close", "reset"])
@pytest.mark.parametrize("unread", [0, 1, 300_000])
def test_nothing_is_sent_on_for_a_client_that_left_with_much_unread(close_method: str, unread: int) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await requested(world)
        client.send(b"z" * unread)
        getattr(client, close_method)()
        await asyncio.sleep(LEAVE_SECONDS)
        server.send(b"BUSY\r\n")  # otherwise followed by a further setup
        await asyncio.sleep(0.5)
        assert sum(len(stand_in.connections) for stand_in in world.servers) == 1
        assert not process.reducer.clients and not process.servers

    run_scenario(scenario, World())


def test_a_server_that_does_not_read_is_told_that_its_client_has_reset() -> None:
    """The client's data is not read meanwhile, so neither is its end."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await requested(world)
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"
        server.pause_reading()
        client.send((b"z" * 1000 + b"\r\n") * 20_000)
        (protocol,) = process.clients.values()
        await wait_until(lambda: protocol.is_held)
        client.reset()
        await wait_until(lambda: not process.servers and not process.clients, 0.5)

    run_scenario(scenario, World())
