"""A setup and what crosses it: its client, its clock, the list, its server's answer."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from crossing.world import ControlledLoop, World, open_line, run_loop_iterations, run_scenario, wait_until
from pointgw.net.core import events as ev
from pointgw.net.run import tcp
from pointgw.net.run.balancer_process import BalancerProcess

ONCE = {"semantics": "side_effect"}
GONE = 0.1  # seconds after which nothing of a client that has left may be sent on
LATE = {"connectTimeout": 5000.0}  # dials that are held are not given up by the clock


def test_a_dials_time_out_after_the_line_was_written_is_not_taken_as_never_sent() -> None:
    # Guards rule 2: the dial's clock comes due between the write and the step after it.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.after_connect = asyncio.Event()  # up, written, and the dial has not come back yet
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        assert (await server.read_line()).startswith(b"OPEN 9b1f")
        await asyncio.sleep(1.5 * process.reducer.connect_timeout)
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"
        assert sum(len(stand_in.connections) for stand_in in world.servers) == 1

    run_scenario(scenario, World(profile=ONCE))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("close_method", ["send_eof", "reset"])
def test_a_client_that_leaves_while_its_server_is_dialled_is_not_sent_on(
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

    run_scenario(scenario, World(limits=LATE | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("left_first", [True, False])
def test_a_client_that_leaves_as_its_connection_comes_up(may_cancel: bool, left_first: bool) -> None:
    """Both orders of the client's end and the server's connection, in one turn of the loop."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        events: list[Any] = []
        submit = process.submit

        def hold(event: Any) -> None:
            if isinstance(event, ev.SetupConnected | ev.ClientLeft):
                events.append(event)
            else:
                submit(event)

        process.submit = hold  # type: ignore[method-assign]
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
        assert time.monotonic() - left_at < GONE
        if left_first:
            assert not world.server_received_data() and not process.servers
        else:  # it had been sent when its client left: to end it is a cancel, and may not be allowed
            assert not process.servers if may_cancel else world.server_received_data()

    run_scenario(scenario, World(limits=LATE | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_client_that_leaves_while_queued_is_not_sent_on(may_cancel: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        world.watch.send_list(2, *(world.list_entry(i, status="draining") for i in range(2)))
        watch = await world.discovery.next_request(world.watch.connection)
        client = await world.connect_client()
        client.send(open_line())
        await wait_until(lambda: process.reducer.balancer.queue)
        client.send_eof()
        # What makes a server ready comes in the same turn as the client's end.
        watch.send_list(3, *(world.list_entry(i, status="up") for i in range(2)))
        await wait_until(lambda: process.reducer.list_version == 3 and not process.clients)
        await run_loop_iterations()
        assert not world.server_received_data() and not process.reducer.clients

    run_scenario(scenario, World(limits={"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("close_method", ["send_eof", "reset"])
def test_a_client_whose_end_was_not_read_yet_as_its_connection_comes_up_is_not_sent_on(
    may_cancel: bool, close_method: str
) -> None:
    """Its end is in the socket; the loop, busy or with other events before it, has not come to it."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.before_connect = asyncio.Event()
        client = await world.connect_client()
        client.send(open_line())
        await loop.connect_pending.wait()
        (protocol,) = process.clients.values()
        protocol.transport.pause_reading()  # its end is not read for as long as this lasts
        getattr(client, close_method)()
        await wait_until(lambda: tcp.peer_close_events(protocol.transport))
        loop.before_connect.set()
        await wait_until(lambda: not process.servers)
        await run_loop_iterations()
        assert not world.server_received_data() and not process.reducer.clients

    run_scenario(scenario, World(limits=LATE | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("close_method", ["send_eof", "reset"])
def test_no_further_setup_is_dialled_for_a_client_whose_end_was_not_read_yet(close_method: str) -> None:
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


def test_a_client_whose_line_and_end_come_at_once_is_not_sent_on() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        for _ in range(20):
            client = await world.connect_client()
            client.send(open_line())
            client.reset()
        await run_loop_iterations(50)
        assert not world.server_received_data() and not process.reducer.clients

    run_scenario(scenario, World(limits={"mayCancel": False}))


def test_a_server_told_away_while_it_is_dialled_gets_nothing() -> None:
    # Guards rule 3: what binds is when the first byte goes out.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.before_connect = asyncio.Event()
        client = await world.connect_client()
        client.send(open_line())
        await loop.connect_pending.wait()
        (protocol,) = process.servers.values()
        away = next(
            i for i, stand_in in enumerate(world.servers) if stand_in.port == protocol.attempt.address[1]
        )
        world.watch.send_list(2, world.list_entry(away, status="draining"))
        await wait_until(lambda: process.reducer.list_version == 2)
        loop.before_connect.set()
        at, server = await world.next_setup()
        if at == away:  # its connection comes up, and ends with nothing on it
            assert await server.read_to_end() == b""
            at, server = await world.next_setup()
        assert at != away and (await server.read_line()).startswith(b"OPEN")
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World(limits=LATE))


def test_a_repeat_whose_window_ends_while_it_is_dialled_is_not_written() -> None:
    # Guards rule 2: the window counts to the write, not to the choice.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        await server.read_line()
        loop.before_connect = asyncio.Event()
        loop.connect_pending.clear()
        server.reset()  # it may have run: a repeat is chosen within the window
        await loop.connect_pending.wait()
        (client_of,) = process.reducer.clients.values()
        first = client_of.tunnel.setups[0].sent_at
        await wait_until(lambda: process.now() > first + client_of.tunnel.profile.dedup_window)
        loop.before_connect.set()
        # Where any server may repeat it, a decline promises nothing that is not so.
        assert await client.read_to_end() in (b"ERR\r\n", b"BUSY\r\n")
        await run_loop_iterations()
        assert not world.server_received_data()

    run_scenario(
        scenario, World(limits=LATE, profile={"semantics": "token", "dedupWindow": 150.0, "setupGoal": 600.0})
    )


def test_the_time_told_to_the_server_is_what_is_left_when_the_line_goes_out() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        loop.before_connect = asyncio.Event()
        client = await world.connect_client()
        client.send(open_line())
        await loop.connect_pending.wait()
        started_at = time.monotonic()
        await asyncio.sleep(0.1)
        held = time.monotonic() - started_at
        loop.before_connect.set()
        _, server = await world.next_setup()
        told = int((await server.read_line()).split(b"d=")[1].split(b",")[0]) / 1e3
        assert told <= 0.2 - held

    run_scenario(scenario, World(limits=LATE))


@pytest.mark.parametrize("profile", [{}, ONCE])
def test_an_answer_that_is_there_as_the_time_runs_out_counts_once(profile: dict[str, Any]) -> None:
    """The answer is in the socket and the clock is due in the same turn: the clock comes first."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        await server.read_line()
        (protocol,) = process.servers.values()
        server.send(b"UP r-1\r\n")  # written at once: it waits in the balancer's socket, not read yet
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
def test_a_spoilt_answer_ends_the_setup_as_one_that_may_have_run(answer: bytes) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        _, server = await world.next_setup()
        await server.read_line()
        server.send(answer)
        assert await client.read_to_end() == b"ERR\r\n"
        await wait_until(lambda: not process.servers)
        assert sum(len(stand_in.connections) for stand_in in world.servers) == 1

    run_scenario(scenario, World(profile=ONCE))


def test_a_second_answer_after_a_decline_opens_nothing() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        at, server = await world.next_setup()
        await server.read_line()
        server.send(b"BUSY\r\nUP r-9\r\n")
        other, second = await world.next_setup()
        assert other != at
        await second.read_line()
        server.send(b"UP r-9\r\n")
        second.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World(profile=ONCE))


def test_an_end_of_the_server_before_the_line_was_written_proves_that_it_never_ran() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        held: list[Any] = []
        submit = process.submit

        def hold(event: Any) -> None:
            (held.append if isinstance(event, ev.SetupConnected) else submit)(event)

        process.submit = hold  # type: ignore[method-assign]
        client = await world.connect_client()
        client.send(open_line())
        await wait_until(lambda: held)
        _, server = await world.next_setup()
        server.reset()
        await wait_until(lambda: len(held) == 2)  # the next one is up: the first was known not to have run
        process.submit = submit  # type: ignore[method-assign]
        submit(held[0])  # that of the one that is gone changes nothing
        submit(held[1])
        _, second = await world.next_setup()
        assert (await second.read_line()).startswith(b"OPEN")
        second.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"

    run_scenario(scenario, World(profile=ONCE, limits=LATE))
