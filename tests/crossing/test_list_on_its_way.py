"""Requests that arrive while the list of discovery is on its way, and the last known one is old.

Guards against a standing connection that is answered with an error because the old list lacks its server.
"""

from __future__ import annotations

import asyncio
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
from pointgw.net.core.list_requests import ListStatus
from pointgw.net.run.balancer_process import FIRST_LIST_SECONDS, BalancerProcess

STANDING_AT_NEW = open_line(timeout_ms=40000, extra=",at=s-1")


async def send_standing(process: BalancerProcess, world: World) -> Connection:
    """Hands in a connection that stands at the server which the start-up file's list lacks."""
    await wait_until(lambda: process.connections.listener is not None)
    client = await world.connect_client()
    client.send(STANDING_AT_NEW)
    await wait_until(lambda: process.request_log.counts["arrived"])
    return client


def test_a_standing_connection_waits_for_the_first_list_with_its_server() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        client = await send_standing(process, world)
        request.send_list(2, *(world.list_entry(i) for i in range(2)), full=True)
        server, connection = await world.next_setup()
        assert server == 1
        assert b",at=s-1" in await connection.read_line()
        connection.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World(known_servers=1), answer_first_request=False)


def test_a_pushed_list_whose_first_call_fails_is_asked_for_again_before_serving() -> None:
    # Guards rule 3: what the agent has counts as known from the start, and the last known list may be old.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        (await world.discovery.next_request()).respond(b"", b"503 Busy")
        request = await world.discovery.next_request()
        assert process.connections.listener is None
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.connections.listener is not None)
        client = await world.connect_client()
        client.send(open_line())
        assert (await world.next_setup())[0] == 1

    run_scenario(scenario, World(mode="automatic"), answer_first_request=False)


def test_an_agent_that_refuses_every_call_delays_the_start_for_a_limited_time() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        world.discovery.stop()
        await wait_until(lambda: process.connections.listener is not None, FIRST_LIST_SECONDS + 1.0)
        assert process.reducer.list_requests.status is ListStatus.UNCONFIRMED

    run_scenario(scenario, World(mode="automatic"), answer_first_request=False)


@pytest.mark.parametrize("ending", ["client leaves", "stop"])
def test_a_standing_connection_that_waits_for_a_list_keeps_its_other_endings(ending: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        client = await send_standing(process, world)
        if ending == "stop":
            process.stop()
            assert await client.read_line() in (b"BUSY 0\r\n", b"BUSY\r\n")
        else:
            client.close()
        await wait_until(lambda: not process.clients)
        request.send_list(2, *(world.list_entry(i) for i in range(2)), full=True)
        await run_loop_iterations()
        assert world.servers[1].accepted.empty() and not process.servers

    run_scenario(scenario, World(known_servers=1), answer_first_request=False)


def test_no_more_standing_connections_wait_for_a_list_than_descriptors_allow() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        await wait_until(lambda: process.connections.listener is not None)
        limit = process.reducer.inherited.max_waiting
        assert 0 < limit <= process.descriptor_budget / 2
        process.reducer.inherited.max_waiting = 2
        clients: list[Any] = []
        for number in range(3):
            clients.append(await world.connect_client())
            clients[-1].send(open_line(f"a{number}", 40000, ",at=s-9"))
            await asyncio.sleep(0.01)
        assert await clients[2].read_line() == b"ERR\r\n"
        assert len(process.reducer.inherited.waiting) == 2

    run_scenario(scenario, World(), answer_first_request=False)
