"""Requests while a pushed list is unconfirmed: its agent has not answered since the start or since a reload.

Guards rule 3: what the agent has counts as known from the first moment of a process, so the last known list
may name a server that is draining. Nothing is sent by it; a request waits for the list, and still ends in
time, with its client, and at a stop.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from crossing.world import (
    Connection,
    ControlledLoop,
    ListRequest,
    World,
    open_line,
    run_loop_iterations,
    run_scenario,
    wait_until,
)
from pointgw.net.core import effects
from pointgw.net.core import events as ev
from pointgw.net.core.list_requests import ListStatus
from pointgw.net.core.reducer import Reducer
from pointgw.net.run import balancer_process
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.wire.server_list import DeploymentNames, ServerList
from test_reducer import arrive, make_reducer

READY_SECONDS = 10.0  # within which nine in ten restarted processes have to be ready
CLIENT_TIMEOUT = 1.5  # of the world's profile
QUICKLY_WARM = {"cold": 50.0}  # so that slow start keeps no request from a server of an old list
LEAVE_SECONDS = 0.1  # after which nothing is sent for a client that has left


@pytest.fixture
def short_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """The start waits for the list for a moment only, so that requests arrive before it."""
    monkeypatch.setattr(balancer_process, "FIRST_LIST_SECONDS", 0.1)


async def send_request(process: BalancerProcess, world: World, request_id: str = "9b1f") -> Connection:
    """Sends a request once the balancer accepts clients; it has arrived on return."""
    await wait_until(lambda: process.connections.listener is not None, READY_SECONDS)
    arrived = process.request_log.counts["arrived"]
    client = await world.connect_client()
    client.send(open_line(request_id, round(CLIENT_TIMEOUT * 1e3)))
    await wait_until(lambda: process.request_log.counts["arrived"] > arrived)
    return client


def send_list_with_drain(world: World, request: ListRequest) -> None:
    """Tells that server 0 drains, as it did before the start."""
    request.send_list(2, world.list_entry(0, status="draining"))


@pytest.mark.parametrize("agent", ["silent", "refuses"])
def test_without_a_list_a_process_is_ready_in_time_and_sends_nothing(agent: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        started_at = time.monotonic()
        if agent == "refuses":
            world.discovery.stop()
        await wait_until(lambda: process.connections.listener is not None, READY_SECONDS)
        client = await world.connect_client()
        client.send(b"PING\r\n")
        assert await client.read_line() == b"PONG\r\n"
        assert time.monotonic() - started_at < READY_SECONDS
        sent_at = time.monotonic()
        for waiting in [await send_request(process, world, f"a{number}") for number in range(8)]:
            assert (await waiting.read_line()).startswith(b"BUSY")
        assert CLIENT_TIMEOUT / 2 < time.monotonic() - sent_at < CLIENT_TIMEOUT
        assert not process.request_log.counts["attempt"] and not world.server_received_data()
        assert process.reducer.list_requests.status is ListStatus.UNCONFIRMED

    run_scenario(scenario, World(mode="automatic", rules=QUICKLY_WARM), answer_first_request=False)


def test_a_list_that_comes_late_ends_the_start_at_once() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        await asyncio.sleep(1.5)
        assert process.connections.listener is None
        send_list_with_drain(world, request)
        await wait_until(lambda: process.connections.listener is not None, 0.5)

    run_scenario(scenario, World(mode="automatic", rules=QUICKLY_WARM), answer_first_request=False)


def test_a_waiting_request_goes_where_the_list_allows(short_start: None) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        clients = [await send_request(process, world, f"a{number}") for number in range(4)]
        await asyncio.sleep(0.5)
        assert not process.servers and not world.server_received_data()
        send_list_with_drain(world, request)
        for _ in clients:
            index, server = await world.next_setup()
            assert index == 1
            await server.read_line()
            server.send(b"UP r-1\r\n")
        for client in clients:
            assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World(mode="automatic", rules=QUICKLY_WARM), answer_first_request=False)


@pytest.mark.parametrize("ending", ["client leaves", "client resets", "stop"])
def test_a_waiting_request_keeps_its_other_endings(short_start: None, ending: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        client = await send_request(process, world)
        if ending == "stop":
            process.stop()
            assert (await client.read_line()).startswith(b"BUSY")
            client.close()
        elif ending == "client resets":
            client.reset()
        else:
            client.close()
        await wait_until(lambda: not process.clients, LEAVE_SECONDS)
        send_list_with_drain(world, request)
        await run_loop_iterations()
        assert not world.server_received_data() and not process.servers

    run_scenario(scenario, World(mode="automatic", rules=QUICKLY_WARM), answer_first_request=False)


def test_no_more_requests_wait_than_descriptors_allow(short_start: None) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        await wait_until(lambda: process.connections.listener is not None)
        assert 0 < process.reducer.inherited.max_waiting <= process.descriptor_budget / 2
        process.reducer.inherited.max_waiting = 2
        for number in range(2):
            await send_request(process, world, f"a{number}")
        last = await send_request(process, world, "a2")
        sent_at = time.monotonic()
        assert (await last.read_line()).startswith(b"BUSY") and time.monotonic() - sent_at < 0.3
        assert len(process.reducer.balancer.queue) == 2

    run_scenario(scenario, World(mode="automatic", rules=QUICKLY_WARM), answer_first_request=False)


# Reducers, on a virtual clock.


def connects(reducer: Reducer, client: int, now: float) -> list[effects.Connect]:
    return [effect for effect in arrive(reducer, client, now) if isinstance(effect, effects.Connect)]


def reload(reducer: Reducer, now: float) -> None:
    other = ev.SettingsReloaded(("127.0.0.1", 3), DeploymentNames(("a",), ("k",)))
    reducer.dispatch(other, now)


def answered(reducer: Reducer, now: float) -> None:
    reducer.dispatch(ev.ListReceived(ServerList(9, False, (), ())), now)


def test_after_a_reload_the_old_list_of_a_pushed_one_is_used_for_four_seconds() -> None:
    reducer = make_reducer(list_is_polled=False)
    answered(reducer, 100.0)
    reload(reducer, 101.0)
    assert connects(reducer, 1, 104.9)
    assert not connects(reducer, 2, 105.1) and 2 in reducer.clients
    reload(reducer, 106.0)  # reads the same file again
    assert not connects(reducer, 3, 106.1)
    answered(reducer, 106.5)
    assert connects(reducer, 4, 106.6)


def test_a_connection_that_is_up_too_late_after_a_reload_gets_no_request() -> None:
    reducer = make_reducer(list_is_polled=False)
    answered(reducer, 100.0)
    reload(reducer, 101.0)
    assert connects(reducer, 1, 104.95)
    assert effects.WriteRequest(1, 0) not in reducer.dispatch(ev.SetupConnected(1, 0), 105.05)


@pytest.mark.parametrize("failures", [0, 3])
def test_an_outage_leaves_a_confirmed_pushed_list_in_use(failures: int) -> None:
    # While discovery is down its agent learns nothing.
    reducer = make_reducer(list_is_polled=False)
    answered(reducer, 100.0)
    for number in range(failures):
        reducer.dispatch(ev.ListRequestFailed(), 101.0 + number)
    assert connects(reducer, 1, 110.0)


def test_a_polled_list_is_used_before_discovery_has_answered() -> None:
    assert connects(make_reducer(list_is_polled=True), 1, 100.1)
