"""Races around a setup: its client leaves, a timeout comes due, the list changes or its server answers.

Guards rules 1 to 3: a request must not be written for a client that has left, to a server that drains or
after its time, must not run twice because of an uncertain end, and must get one final answer.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from crossing.world import ControlledLoop, World, open_line, run_loop_iterations, run_scenario, wait_until
from pointgw.net.core import events as ev
from pointgw.net.run import tcp
from pointgw.net.run.balancer_process import BalancerProcess

SIDE_EFFECT = {"semantics": "side_effect"}
MAX_SECONDS_AFTER_LEAVING = 0.1  # after it no request of a client that has left may be forwarded
LONG_CONNECT_TIMEOUT = {"connectTimeout": 5000.0}  # connects delayed by a test don't time out


def test_a_connect_timeout_after_the_request_was_written_does_not_count_as_unsent() -> None:
    # Guards rule 2: the connect timeout comes due between the write and the step after it.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.after_connect = asyncio.Event()  # connected, written, but create_connection has not returned
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        assert (await server.read_line()).startswith(b"OPEN 9b1f")
        await asyncio.sleep(1.5 * process.reducer.connect_timeout)
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"
        assert sum(len(stand_in.connections) for stand_in in world.servers) == 1

    run_scenario(scenario, World(profile=SIDE_EFFECT))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("close_method", ["send_eof", "reset"])
def test_the_request_of_a_client_that_leaves_during_the_connect_is_not_forwarded(
    may_cancel: bool, close_method: str
) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.before_connect = asyncio.Event()
        client = await world.connect_client()
        client.send(open_line())
        await loop.connect_pending.wait()
        getattr(client, close_method)()
        await wait_until(lambda: not process.clients)
        loop.before_connect.set()
        await run_loop_iterations()
        assert not world.server_received_data() and not process.servers and not process.reducer.clients

    run_scenario(scenario, World(limits=LONG_CONNECT_TIMEOUT | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("left_first", [True, False])
def test_a_client_that_leaves_as_its_setup_connects(may_cancel: bool, left_first: bool) -> None:
    """The client's end and the server's connection in one loop iteration, in both orders."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        events: list[Any] = []
        submit = process.submit

        def intercept(event: Any) -> None:
            if isinstance(event, ev.SetupConnected | ev.ClientLeft):
                events.append(event)
            else:
                submit(event)

        process.submit = intercept  # type: ignore[method-assign]
        client = await world.connect_client()
        client.send(open_line())
        await wait_until(lambda: events)
        client.reset()
        await wait_until(lambda: len(events) == 2)
        process.submit = submit  # type: ignore[method-assign]
        left_at = time.monotonic()
        for event in events[::-1] if left_first else events:
            submit(event)
        await run_loop_iterations()
        assert time.monotonic() - left_at < MAX_SECONDS_AFTER_LEAVING
        if left_first:
            assert not world.server_received_data() and not process.servers
        else:  # sent before its client left: ending it is a cancel, which may be forbidden
            assert not process.servers if may_cancel else world.server_received_data()

    run_scenario(scenario, World(limits=LONG_CONNECT_TIMEOUT | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
def test_the_request_of_a_client_that_leaves_while_queued_is_not_forwarded(may_cancel: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        world.watch.send_list(2, *(world.list_entry(i, status="draining") for i in range(2)))
        watch = await world.discovery.next_request(world.watch.connection)
        client = await world.connect_client()
        client.send(open_line())
        await wait_until(lambda: process.reducer.balancer.queue)
        client.send_eof()
        # The list that activates the servers comes in the same loop iteration as the client's end.
        watch.send_list(3, *(world.list_entry(i, status="up") for i in range(2)))
        await wait_until(lambda: process.reducer.list_requests.version == 3 and not process.clients)
        await run_loop_iterations()
        assert not world.server_received_data() and not process.reducer.clients

    run_scenario(scenario, World(limits={"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("close_method", ["send_eof", "reset"])
def test_the_request_of_a_client_whose_end_is_unread_as_its_setup_connects_is_not_forwarded(
    may_cancel: bool, close_method: str
) -> None:
    """The end is in the socket; the loop, busy or with other events first, has not handled it yet."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.before_connect = asyncio.Event()
        client = await world.connect_client()
        client.send(open_line())
        await loop.connect_pending.wait()
        (protocol,) = process.clients.values()
        protocol.transport.pause_reading()  # its end stays unread meanwhile
        getattr(client, close_method)()
        await wait_until(lambda: tcp.peer_close_events(protocol.transport))
        loop.before_connect.set()
        await wait_until(lambda: not process.servers)
        await run_loop_iterations()
        assert not world.server_received_data() and not process.reducer.clients

    run_scenario(scenario, World(limits=LONG_CONNECT_TIMEOUT | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("close_method", ["send_eof", "reset"])
def test_no_further_setup_is_started_for_a_client_whose_end_is_unread(close_method: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        assert (await server.read_line()).startswith(b"OPEN 9b1f")
        (protocol,) = process.clients.values()
        protocol.transport.pause_reading()
        getattr(client, close_method)()
        await wait_until(lambda: tcp.peer_close_events(protocol.transport))
        server.send(b"BUSY\r\n")
        await wait_until(lambda: not process.reducer.clients)
        await run_loop_iterations()
        assert sum(len(stand_in.connections) for stand_in in world.servers) == 1 and not process.servers

    run_scenario(scenario, World())


def test_a_request_that_comes_with_its_clients_end_is_not_forwarded() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        for _ in range(20):
            client = await world.connect_client()
            client.send(open_line())
            client.reset()
        await run_loop_iterations(50)
        assert not world.server_received_data() and not process.reducer.clients

    run_scenario(scenario, World(limits={"mayCancel": False}))


def test_a_server_that_drains_during_the_connect_gets_no_request() -> None:
    # Guards rule 3: what counts is when the first byte is sent.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.before_connect = asyncio.Event()
        client = await world.connect_client()
        client.send(open_line())
        await loop.connect_pending.wait()
        (protocol,) = process.servers.values()
        draining = next(
            i for i, stand_in in enumerate(world.servers) if stand_in.port == protocol.attempt.address[1]
        )
        world.watch.send_list(2, world.list_entry(draining, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 2)
        loop.before_connect.set()
        index, server = await world.next_setup()
        if index == draining:  # it connects, and is closed without any data
            assert await server.read_to_end() == b""
            index, server = await world.next_setup()
        assert index != draining and (await server.read_line()).startswith(b"OPEN")
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World(limits=LONG_CONNECT_TIMEOUT))


def test_a_repeat_whose_window_ends_during_the_connect_is_not_written() -> None:
    # Guards rule 2: the write has to be within the window, not only the choice of the server.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        await server.read_line()
        loop.before_connect = asyncio.Event()
        loop.connect_pending.clear()
        server.reset()  # the request may have run: a repeat is chosen within the window
        await loop.connect_pending.wait()
        (reducer_client,) = process.reducer.clients.values()
        first_sent_at = reducer_client.tunnel.setups[0].sent_at
        await wait_until(lambda: process.now() > first_sent_at + reducer_client.tunnel.profile.dedup_window)
        loop.before_connect.set()
        # With these semantics any server may repeat the request, so BUSY is right even if it has run.
        assert await client.read_to_end() in (b"ERR\r\n", b"BUSY\r\n")
        await run_loop_iterations()
        assert not world.server_received_data()

    run_scenario(
        scenario,
        World(
            limits=LONG_CONNECT_TIMEOUT,
            profile={"semantics": "token", "dedupWindow": 150.0, "setupGoal": 600.0},
        ),
    )


def test_the_server_gets_the_time_that_remains_when_the_request_is_written() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.before_connect = asyncio.Event()
        client = await world.connect_client()
        client.send(open_line())
        await loop.connect_pending.wait()
        started_at = time.monotonic()
        await asyncio.sleep(0.1)
        delay = time.monotonic() - started_at
        loop.before_connect.set()
        _, server = await world.next_setup()
        remaining = int((await server.read_line()).split(b"d=")[1].split(b",")[0]) / 1e3
        assert remaining <= 0.2 - delay

    run_scenario(scenario, World(limits=LONG_CONNECT_TIMEOUT))


@pytest.mark.parametrize("profile", [{}, SIDE_EFFECT])
def test_an_answer_received_at_the_timeout_gives_one_final_answer(profile: dict[str, Any]) -> None:
    """Answer and timeout come in one loop iteration, the timeout first, with the answer in the socket."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        await server.read_line()
        (protocol,) = process.servers.values()
        server.send(b"UP r-1\r\n")  # sent at once: in the balancer's socket, unread
        protocol._timed_out()
        if profile:
            assert await client.read_to_end() == b"ERR\r\n"
            assert sum(len(stand_in.connections) for stand_in in world.servers) == 1
        else:
            _, second = await world.next_setup()
            await second.read_line()
            second.send(b"UP r-2\r\n")
            assert await client.read_line() == b"UP r-2\r\n"

    run_scenario(scenario, World(profile=profile))


@pytest.mark.parametrize(
    "answer", [b"UP\r\n", b"UP \r\n", b"what\r\n", b"x" * 5000, b"ERR\r\nUP r-9\r\n", b"\xff\xfe\r\n"]
)
def test_after_a_malformed_answer_the_request_counts_as_possibly_run(answer: bytes) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        await server.read_line()
        server.send(answer)
        assert await client.read_to_end() == b"ERR\r\n"
        await wait_until(lambda: not process.servers)
        assert sum(len(stand_in.connections) for stand_in in world.servers) == 1

    run_scenario(scenario, World(profile=SIDE_EFFECT))


def test_a_second_answer_after_a_decline_opens_no_tunnel() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        first_index, server = await world.next_setup()
        await server.read_line()
        server.send(b"BUSY\r\nUP r-9\r\n")
        second_index, second = await world.next_setup()
        assert second_index != first_index
        await second.read_line()
        server.send(b"UP r-9\r\n")
        second.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World(profile=SIDE_EFFECT))


def test_a_request_whose_server_ends_before_the_write_counts_as_not_run() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        connected: list[Any] = []
        submit = process.submit

        def intercept(event: Any) -> None:
            (connected.append if isinstance(event, ev.SetupConnected) else submit)(event)

        process.submit = intercept  # type: ignore[method-assign]
        client = await world.connect_client()
        client.send(open_line())
        await wait_until(lambda: connected)
        _, server = await world.next_setup()
        server.reset()
        await wait_until(lambda: len(connected) == 2)  # the second setup: the first is known not to have run
        process.submit = submit  # type: ignore[method-assign]
        submit(connected[0])  # the event of the setup that has ended changes nothing
        submit(connected[1])
        _, second = await world.next_setup()
        assert (await second.read_line()).startswith(b"OPEN")
        second.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World(profile=SIDE_EFFECT, limits=LONG_CONNECT_TIMEOUT))
