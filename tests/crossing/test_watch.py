"""Races around list requests: silence, closed connections, late connects, malformed answers and reloads.

Guards rule 3: a drain has to be known in time whatever happens to the requests before. Also guards discovery
against request storms, and the list against answers to abandoned requests.
"""

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
from pointgw.net.core.list_requests import LIST_DEADLINE_SECONDS, NEXT_REQUEST_SECONDS, WATCH_DEADLINE_SECONDS
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.run.link import Link
from pointgw.net.wire.server_list import MAX_HEAD_BYTES

LINK_CLASS = Link
SHORT_WATCH = {"askEvery": 4000.0}  # a watch waits 2 s
READY_SECONDS = 10.0  # within which nine in ten restarted processes have to be ready
SLOW_ANSWER_SECONDS = 2.7  # of a discovery that works through many calls in turn


async def drain_server_0(world: World, request: ListRequest, version: int) -> ListRequest:
    """Answers with a drain of server 0; returns the next watch."""
    request.send_list(version, world.list_entry(0, status="draining"))
    return await world.discovery.next_request(request.connection)


async def check_server_1_gets_tunnel(
    process: BalancerProcess, world: World, request_id: str = "later"
) -> None:
    """Opens a tunnel and checks that server 1 gets it, as server 0 is draining."""
    client = await world.connect_client()
    client.send(open_line(request_id))
    index, server = await world.next_setup()
    assert index == 1 and (await server.read_line()).startswith(b"OPEN")
    server.send(b"UP r-1\r\n")
    assert await client.read_line() == b"UP r-1\r\n"


def test_a_silent_watch_is_replaced_before_its_missed_changes_have_to_be_known() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        # The first watch is answered; the next one gets no answer.
        world.watch.send_list(2)
        await world.discovery.next_request(world.watch.connection)
        started_at, wait = time.monotonic(), process.reducer.list_requests.watch_wait
        next_watch = await world.discovery.next_request(await world.discovery.next_connection())
        elapsed = time.monotonic() - started_at
        assert wait < elapsed < wait + 0.75 * WATCH_DEADLINE_SECONDS  # the rest is for the answer
        next_watch.send_list(3, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 3)
        assert time.monotonic() - started_at < wait + WATCH_DEADLINE_SECONDS
        await check_server_1_gets_tunnel(process, world)

    run_scenario(scenario, World(rules=SHORT_WATCH))


@pytest.mark.parametrize("ask_every", [4000.0, 10000.0])
def test_what_a_silent_watch_missed_is_known_in_time_from_a_slow_discovery(ask_every: float) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        world.watch.send_list(2)
        await world.discovery.next_request(world.watch.connection)  # silent from now on
        fell_silent_at, wait = time.monotonic(), process.reducer.list_requests.watch_wait
        request = await world.discovery.next_request(await world.discovery.next_connection())
        await asyncio.sleep(SLOW_ANSWER_SECONDS)
        request.send_list(3, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 3)
        known_after = time.monotonic() - fell_silent_at
        assert known_after < max(LIST_DEADLINE_SECONDS, wait + WATCH_DEADLINE_SECONDS)

    run_scenario(scenario, World(rules={"askEvery": ask_every}))


def test_repeated_silence_does_not_cause_a_request_storm() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        requests = 0
        world.watch.send_list(2)
        await world.discovery.next_request(world.watch.connection)
        end = asyncio.get_running_loop().time() + 8.0
        while (remaining := end - asyncio.get_running_loop().time()) > 0:
            try:
                connection = await asyncio.wait_for(world.discovery.accepted.get(), remaining)
            except TimeoutError:
                break
            await world.discovery.next_request(connection)
            requests += 1
        assert 1 <= requests <= 3

    run_scenario(scenario, World(rules=SHORT_WATCH))


def test_a_pushed_list_applies_to_the_first_client() -> None:
    # Guards rule 3: the agent's list counts as known from the start of the process.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        assert process.connections.listener is None  # no client is accepted before the list
        request.send_list(2, world.list_entry(0, status="draining"))
        watch = await world.discovery.next_request(request.connection)
        await wait_until(lambda: process.connections.listener is not None)
        await check_server_1_gets_tunnel(process, world)
        # Each watch is followed by the next, at once where one fails.
        watch.connection.reset()
        started_at = time.monotonic()
        request = await world.discovery.next_request()
        assert time.monotonic() - started_at < 0.4
        request.respond(b"", b"503 Away")
        request = await world.discovery.next_request()
        assert time.monotonic() - started_at < 0.8
        request.send_list(3, world.list_entry(0, status="up"), world.list_entry(1, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 3)
        client = await world.connect_client()
        client.send(open_line("last"))
        assert (await world.next_setup())[0] == 0

    run_scenario(scenario, World(mode="automatic"), answer_first_request=False)


def test_a_silent_agent_does_not_keep_a_balancer_from_serving() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        await world.discovery.next_request()
        await wait_until(lambda: process.connections.listener is not None, READY_SECONDS)
        client = await world.connect_client()
        client.send(b"PING\r\n")
        assert await client.read_line() == b"PONG\r\n"

    run_scenario(scenario, World(mode="automatic"), answer_first_request=False)


def test_a_stop_does_not_wait_for_a_silent_agent() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        await world.discovery.next_request()
        process.stop()
        await wait_until(lambda: process.connections.listener is not None, 1.0)  # the start goes on
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
def test_a_failed_request_is_counted_once_and_the_list_stays(answer: bytes) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        failed = 0
        submit = process.submit

        def count(event: object) -> None:
            nonlocal failed
            failed += type(event).__name__ == "ListRequestFailed"
            submit(event)  # type: ignore[arg-type]

        process.submit = count  # type: ignore[method-assign]
        watch = await drain_server_0(world, world.watch, 2)
        watch.connection.send(answer)
        if not answer:
            watch.connection.reset()
        await wait_until(lambda: failed)
        request = await world.discovery.next_request()
        assert b"from=2" in request.head
        if answer and not watch.connection.writer.is_closing():
            watch.connection.send(HEAD + b"{}")  # a second answer to the failed request is ignored
        await run_loop_iterations()
        assert failed == 1 and process.reducer.list_requests.version == 2
        await check_server_1_gets_tunnel(process, world)

    run_scenario(scenario, World(rules=SHORT_WATCH))


def test_an_answer_that_was_queued_at_discovery_is_accepted() -> None:
    # Guards discovery against requests that are abandoned and go to the end of its queue again and again.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = await world.discovery.next_request()
        await asyncio.sleep(2.0)  # discovery's own limit is 1 to 3 s; past it, it answers with an error
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 2)
        assert len(world.discovery.connections) == 1
        await check_server_1_gets_tunnel(process, world)

    run_scenario(scenario, World(), answer_first_request=False)


def test_a_list_may_be_indented_and_arrive_in_pieces() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        answer = {"index": 2, "snapshot": False, "endpoints": [world.list_entry(0, status="draining")]}
        body = json.dumps(answer, indent=4).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for i in range(0, len(data), 37):
            world.watch.connection.send(data[i : i + 37])
            await run_loop_iterations(1)
        await wait_until(lambda: process.reducer.list_requests.version == 2)
        await check_server_1_gets_tunnel(process, world)

    run_scenario(scenario, World())


def test_an_answer_from_the_previous_discovery_is_ignored() -> None:
    """The reload is handled while the old watch's answer is in the socket, unread."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        new_discovery = type(world.discovery)()
        await new_discovery.start()
        world.watch.send_list(9, world.list_entry(1, status="draining"))  # in the socket, unread
        process.submit(SettingsReloaded(("127.0.0.1", new_discovery.port), process.start_up.names))
        request = await new_discovery.next_request()
        assert b"from=" not in request.head
        request.send_list(3, world.list_entry(0, status="draining"), world.list_entry(1), full=True)
        await new_discovery.next_request(request.connection)
        await wait_until(lambda: process.reducer.list_requests.version == 3)
        await check_server_1_gets_tunnel(process, world)
        new_discovery.stop()

    run_scenario(scenario, World())


def test_a_connect_that_succeeds_after_a_reload_has_no_effect() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        new_discovery = type(world.discovery)()
        await new_discovery.start()
        loop.after_connect = asyncio.Event()
        loop.connected.clear()
        world.watch.connection.reset()
        # The new request's connection is made, and create_connection has not returned.
        await wait_until(loop.connected.is_set, 8)
        old_client = process.discovery
        process.submit(SettingsReloaded(("127.0.0.1", new_discovery.port), process.start_up.names))
        loop.after_connect.set()
        request = await new_discovery.next_request()
        assert process.discovery is not old_client and old_client.link is None
        request.send_list(3, world.list_entry(0, status="draining"), world.list_entry(1), full=True)
        await new_discovery.next_request(request.connection)
        await check_server_1_gets_tunnel(process, world)
        new_discovery.stop()

    run_scenario(scenario, World(rules=SHORT_WATCH))


def test_a_request_whose_connect_takes_too_long_is_followed_by_one_on_another_connection() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        discovery_client = process.discovery
        loop.before_connect = asyncio.Event()
        loop.connect_pending.clear()
        world.watch.connection.reset()
        await wait_until(loop.connect_pending.is_set, 8)
        first = discovery_client.link
        assert first is not None
        await wait_until(lambda: discovery_client.link is not first, 8)  # timed out
        loop.before_connect.set()
        request = await world.discovery.next_request()
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 2)
        assert first.transport is None or first.transport.is_closing()
        await check_server_1_gets_tunnel(process, world)

    run_scenario(scenario, World(rules=SHORT_WATCH))


def test_a_connection_reported_after_its_request_was_abandoned_gets_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop calls `connection_made` of the first connection once the next request is on another one."""
    connection_made = LINK_CLASS.connection_made
    delay_next = asyncio.Event()
    delayed: list[Any] = []

    def delay_first(self: Any, transport: Any) -> None:
        if delay_next.is_set() and not delayed:
            delayed.append((self, transport))
        else:
            connection_made(self, transport)

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        delay_next.set()
        world.watch.connection.reset()
        first = await asyncio.wait_for(world.discovery.accepted.get(), 8)
        await wait_until(lambda: delayed)
        request = await world.discovery.next_request(
            await asyncio.wait_for(world.discovery.accepted.get(), 10)
        )
        connection_made(*delayed[0])
        assert await first.read_to_end() == b""  # no second copy of the request; its end has no effect
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 2)
        await check_server_1_gets_tunnel(process, world)

    monkeypatch.setattr(LINK_CLASS, "connection_made", delay_first)
    world = World(rules=SHORT_WATCH)
    run_scenario(scenario, world)


def test_a_kept_connection_to_discovery_is_reused() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        request = world.watch
        for version in range(2, 6):
            request = await drain_server_0(world, request, version)
        assert len(world.discovery.connections) == 1

    run_scenario(scenario, World())


@pytest.mark.parametrize("failure", ["503", "reset", "invalid body", "hangs", "refused", "connect hangs"])
def test_a_list_is_known_within_six_seconds_of_discovery_being_reachable(failure: str) -> None:
    """Many requests have failed. Discovery becomes reachable just after the last one failed or was lost, and
    answers slowly: the worst case."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        world.watch.connection.reset()
        if failure == "refused":
            port = world.discovery.port
            world.discovery.server.close()
            await asyncio.sleep(2.0)
            world.discovery.server = await asyncio.start_server(world.discovery._accept, "127.0.0.1", port)
        elif failure == "connect hangs":
            loop.before_connect = asyncio.Event()
            loop.connect_pending.clear()
            await wait_until(loop.connect_pending.is_set, 8)
            loop.before_connect = None
        else:
            request = await world.discovery.next_request()
            process.reducer.list_requests.retry_pause = (
                NEXT_REQUEST_SECONDS  # as after many immediate failures
            )
            if failure == "reset":
                request.connection.reset()
            elif failure != "hangs":
                request.respond(b"{}", b"503 Away" if failure == "503" else b"200 OK")
        reachable_at = time.monotonic()
        request = await world.discovery.next_request()
        await asyncio.sleep(SLOW_ANSWER_SECONDS)
        request.send_list(2, world.list_entry(0, status="draining"))
        await wait_until(lambda: process.reducer.list_requests.version == 2)
        assert time.monotonic() - reachable_at < LIST_DEADLINE_SECONDS
        await check_server_1_gets_tunnel(process, world)

    run_scenario(scenario, World(), timeout=30.0)


def test_an_answer_delimited_by_the_end_of_its_connection_is_accepted() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        answer = {"index": 2, "snapshot": False, "endpoints": [world.list_entry(0, status="draining")]}
        body = json.dumps(answer).encode()
        connection = world.watch.connection
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body[:20])
        await run_loop_iterations()
        assert process.reducer.list_requests.version == 1  # the answer may continue
        connection.send(body[20:])
        connection.send_eof()
        await wait_until(lambda: process.reducer.list_requests.version == 2, 0.2)
        assert not process.reducer.balancer.servers["s-0"].active and not process.discovery.failing
        world.watch = await world.discovery.next_request()
        assert b"from=2" in world.watch.head

    run_scenario(scenario, World())


def test_an_answer_truncated_by_the_end_of_its_connection_is_rejected() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        connection = world.watch.connection
        connection.send(b'HTTP/1.1 200 OK\r\n\r\n{"index":2,"snapshot":false,"endpoi')
        connection.send_eof()
        await wait_until(lambda: process.discovery.failing)
        assert process.reducer.list_requests.version == 1

    run_scenario(scenario, World())
