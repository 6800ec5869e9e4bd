"""Calls to discovery and what crosses them."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest

from crossing.world import (
    ControlledLoop,
    ListRequest,
    World,
    open_line,
    run_loop_iterations,
    run_scenario,
    wait_until,
)
from pointgw.net.core.events import SettingsReloaded
from pointgw.net.core.reducer import LIST_DEADLINE_SECONDS, NEXT_REQUEST_SECONDS, WATCH_DEADLINE_SECONDS
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.run.link import Link
from pointgw.net.wire.server_list import MAX_HEAD_BYTES

CONNECTION = Link
ASKED = {"askEvery": 4000.0}  # a watch waits 2 s


async def away(world: World, request: ListRequest, version: int) -> ListRequest:
    """Tells server 0 away, and gives the next watch."""
    request.send_list(version, world.list_entry(0, status="draining"))
    return await world.discovery.next_request(request.connection)


async def goes_to_the_other(process: BalancerProcess, world: World, name: str = "later") -> None:
    client = await world.connect_client()
    client.send(open_line(name))
    at, server = await world.next_setup()
    assert at == 1 and (await server.read_line()).startswith(b"OPEN")
    server.send(b"UP r-1\r\n")
    assert await client.read_line() == b"UP r-1\r\n"


def test_a_watch_that_falls_silent_is_opened_anew_before_what_it_missed_counts_as_told() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        # The first watch was answered; from this one on nothing comes.
        world.watch.send_list(2)
        await world.discovery.next_request(world.watch.connection)
        started_at, hold = time.monotonic(), process.reducer.watch_wait
        again = await world.discovery.next_request(await world.discovery.next_connection())
        took = time.monotonic() - started_at
        assert hold < took < hold + 0.75 * WATCH_DEADLINE_SECONDS  # what is left is for the answer
        again.send_list(3, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_version == 3)
        assert time.monotonic() - started_at < hold + WATCH_DEADLINE_SECONDS
        await goes_to_the_other(process, world)

    run_scenario(scenario, World(rules=ASKED))


def test_a_second_silence_in_a_row_is_not_answered_with_a_storm_of_calls() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        requests = 0
        world.watch.send_list(2)
        await world.discovery.next_request(world.watch.connection)
        end = asyncio.get_running_loop().time() + 8.0
        while (left := end - asyncio.get_running_loop().time()) > 0:
            try:
                connection = await asyncio.wait_for(world.discovery.accepted.get(), left)
            except TimeoutError:
                break
            await world.discovery.next_request(connection)
            requests += 1
        assert 1 <= requests <= 3

    run_scenario(scenario, World(rules=ASKED))


def test_what_a_pushed_list_tells_holds_for_the_first_client() -> None:
    # Guards rule 3: the agent's news counts as told from the first moment of a process.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        assert process.connections.listener is None  # nobody is let in before
        request.send_list(2, world.list_entry(0, status="draining"))
        watch = await world.discovery.next_request(request.connection)
        await wait_until(lambda: process.connections.listener is not None)
        await goes_to_the_other(process, world)
        # One watch after the other, and anew at once where one breaks.
        watch.connection.reset()
        started_at = time.monotonic()
        request = await world.discovery.next_request()
        assert time.monotonic() - started_at < 0.4
        request.respond(b"", b"503 Away")
        request = await world.discovery.next_request()
        assert time.monotonic() - started_at < 0.8
        request.send_list(3, world.list_entry(0, status="up"), world.list_entry(1, status="draining"))
        await wait_until(lambda: process.reducer.list_version == 3)
        client = await world.connect_client()
        client.send(open_line("last"))
        assert (await world.next_setup())[0] == 0

    run_scenario(scenario, World(mode="automatic"), answer_first_request=False)


def test_an_agent_that_says_nothing_does_not_keep_a_balancer_from_serving() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        await world.discovery.next_request()
        await wait_until(lambda: process.connections.listener is not None)
        client = await world.connect_client()
        client.send(b"PING\r\n")
        assert await client.read_line() == b"PONG\r\n"

    run_scenario(scenario, World(mode="automatic"), answer_first_request=False)


def test_a_stop_does_not_wait_for_an_agent_that_says_nothing() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        await world.discovery.next_request()
        process.stop()
        await wait_until(lambda: process.connections.listener is not None, 1.0)  # on with its start
        await asyncio.wait_for(asyncio.shield(process.ended), 2)

    run_scenario(scenario, World(mode="automatic"), answer_first_request=False)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


@pytest.mark.parametrize(
    "answer",
    [
        b"nonsense\r\n\r\n",
        HEAD + b"{}",
        HEAD + b"[}",
        b"HTTP/1.1 200 OK\r\n" + b"X-More: " + b"y" * MAX_HEAD_BYTES + b"\r\n",
        b"HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n",
        HEAD + b"{}" + HEAD + b"{}",
        b"",
    ],
)
def test_a_call_that_fails_fails_once_and_the_list_stays(answer: bytes) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        failed = 0
        submit = process.submit

        def count(event: object) -> None:
            nonlocal failed
            failed += type(event).__name__ == "ListRequestFailed"
            submit(event)  # type: ignore[arg-type]

        process.submit = count  # type: ignore[method-assign]
        watch = await away(world, world.watch, 2)
        watch.connection.send(answer)
        if not answer:
            watch.connection.reset()
        await wait_until(lambda: failed)
        request = await world.discovery.next_request()
        assert b"from=2" in request.head
        if answer and not watch.connection.writer.is_closing():
            watch.connection.send(HEAD + b"{}")  # what still comes on the one that is over does not count
        await run_loop_iterations()
        assert failed == 1 and process.reducer.list_version == 2
        await goes_to_the_other(process, world)

    run_scenario(scenario, World(rules=ASKED))


def test_an_answer_that_waited_its_turn_at_discovery_counts() -> None:
    # Guards discovery against calls that are given up and join the end of its queue again and again.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        await asyncio.sleep(2.0)  # discovery's own limit is 1 to 3 s, and it says so where it is over
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_version == 2)
        assert len(world.discovery.connections) == 1
        await goes_to_the_other(process, world)

    run_scenario(scenario, World(), answer_first_request=False)


def test_a_list_may_come_in_pieces_and_indented() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        told = {"index": 2, "snapshot": False, "endpoints": [world.list_entry(0, status="draining")]}
        body = json.dumps(told, indent=4).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for i in range(0, len(data), 37):
            world.watch.connection.send(data[i : i + 37])
            await run_loop_iterations(1)
        await wait_until(lambda: process.reducer.list_version == 2)
        await goes_to_the_other(process, world)

    run_scenario(scenario, World())


def test_an_answer_of_the_discovery_that_was_left_does_not_count() -> None:
    """SIGHUP, and the old watch's answer in the same turn, in both orders of arrival at the loop."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        other = type(world.discovery)()
        await other.start()
        world.watch.send_list(9, world.list_entry(1, status="draining"))  # in the socket, not read yet
        process.submit(SettingsReloaded(("127.0.0.1", other.port), process.start_up.names))
        request = await other.next_request()
        assert b"from=" not in request.head
        request.send_list(3, world.list_entry(0, status="draining"), world.list_entry(1), full=True)
        await other.next_request(request.connection)
        await wait_until(lambda: process.reducer.list_version == 3)
        await goes_to_the_other(process, world)
        other.stop()

    run_scenario(scenario, World())


def test_a_dial_that_was_given_up_and_came_up_acts_on_nothing() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        other = type(world.discovery)()
        await other.start()
        loop.after_connect = asyncio.Event()
        loop.connected.clear()
        world.watch.connection.reset()
        await wait_until(
            loop.connected.is_set, 8
        )  # the new call's connection is up, and its dial has not come back
        old = process.discovery
        process.submit(SettingsReloaded(("127.0.0.1", other.port), process.start_up.names))
        loop.after_connect.set()
        request = await other.next_request()
        assert process.discovery is not old and old.link is None
        request.send_list(3, world.list_entry(0, status="draining"), world.list_entry(1), full=True)
        await other.next_request(request.connection)
        await goes_to_the_other(process, world)
        other.stop()

    run_scenario(scenario, World(rules=ASKED))


def test_a_call_whose_dial_is_held_past_its_time_is_followed_by_one_on_another_connection() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        protocol = process.discovery
        loop.before_connect = asyncio.Event()
        loop.connect_pending.clear()
        world.watch.connection.reset()
        await wait_until(loop.connect_pending.is_set, 8)
        first = protocol.link
        assert first is not None
        await wait_until(lambda: protocol.link is not first, 8)  # given up by the clock
        loop.before_connect.set()
        request = await world.discovery.next_request()
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_version == 2)
        assert first.transport is None or first.transport.is_closing()
        await goes_to_the_other(process, world)

    run_scenario(scenario, World(rules=ASKED))


def test_a_connection_that_is_told_of_after_its_call_was_given_up_gets_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next call is out on another connection when the loop tells of the first one."""
    made = CONNECTION.connection_made
    holds = asyncio.Event()
    held: list[Any] = []

    def hold(self: Any, transport: Any) -> None:
        if holds.is_set() and not held:
            held.append((self, transport))
        else:
            made(self, transport)

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        holds.set()
        world.watch.connection.reset()
        first = await asyncio.wait_for(world.discovery.accepted.get(), 8)
        await wait_until(lambda: held)
        request = await world.discovery.next_request(
            await asyncio.wait_for(world.discovery.accepted.get(), 10)
        )
        made(*held[0])
        assert await first.read_to_end() == b""  # no second copy of the call, and its end acts on nothing
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_version == 2)
        await goes_to_the_other(process, world)

    monkeypatch.setattr(CONNECTION, "connection_made", hold)
    world = World(rules=ASKED)
    run_scenario(scenario, world)


def test_a_connection_that_discovery_keeps_is_used_again() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = world.watch
        for version in range(2, 6):
            request = await away(world, request, version)
        assert len(world.discovery.connections) == 1

    run_scenario(scenario, World())


@pytest.mark.parametrize("kind", ["503", "reset", "broken", "hangs", "refused", "dial hangs"])
def test_what_discovery_has_is_known_within_six_seconds_of_its_being_in_reach(kind: str) -> None:
    """Many calls have failed; discovery is in reach from just after the last one failed, or was sent into
    nothing: the moment from which it takes longest."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        world.watch.connection.reset()
        if kind == "refused":
            port = world.discovery.port
            world.discovery.server.close()
            await asyncio.sleep(2.0)
            world.discovery.server = await asyncio.start_server(world.discovery._accept, "127.0.0.1", port)
        elif kind == "dial hangs":
            loop.before_connect = asyncio.Event()
            loop.connect_pending.clear()
            await wait_until(loop.connect_pending.is_set, 8)
            loop.before_connect = None
        else:
            request = await world.discovery.next_request()
            process.reducer.retry_pause = NEXT_REQUEST_SECONDS  # as after many that failed at once
            if kind == "reset":
                request.connection.reset()
            elif kind != "hangs":
                request.respond(b"{}", b"503 Away" if kind == "503" else b"200 OK")
        in_reach = time.monotonic()
        request = await world.discovery.next_request()
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_version == 2)
        assert time.monotonic() - in_reach < LIST_DEADLINE_SECONDS
        await goes_to_the_other(process, world)

    run_scenario(scenario, World(), timeout=30.0)


def test_an_answer_that_the_connections_end_ends_is_told() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        told = {"index": 2, "snapshot": False, "endpoints": [world.list_entry(0, status="draining")]}
        body = json.dumps(told).encode()
        connection = world.watch.connection
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body[:20])
        await run_loop_iterations()
        assert process.reducer.list_version == 1  # it may still go on
        connection.send(body[20:])
        connection.send_eof()
        await wait_until(lambda: process.reducer.list_version == 2, 0.2)
        assert not process.reducer.balancer.servers["s-0"].active and not process.discovery.failing
        world.watch = await world.discovery.next_request()
        assert b"from=2" in world.watch.head

    run_scenario(scenario, World())


def test_an_answer_that_its_connections_end_cuts_off_is_none() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        connection = world.watch.connection
        connection.send(b'HTTP/1.1 200 OK\r\n\r\n{"index":2,"snapshot":false,"endpoi')
        connection.send_eof()
        await wait_until(lambda: process.discovery.failing)
        assert process.reducer.list_version == 1

    run_scenario(scenario, World())
