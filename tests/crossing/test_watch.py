"""Calls to discovery and what crosses them."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest

from crossing.world import Call, HeldLoop, World, opening, play, turns, until
from pointgw.net.core.events import SettingsReloaded
from pointgw.net.core.reducer import LIST_DEADLINE_SECONDS, NEXT_REQUEST_SECONDS, WATCH_DEADLINE_SECONDS
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.run.link import Link
from pointgw.net.wire.server_list import MAX_HEAD_BYTES

CONNECTION = Link
ASKED = {"askEvery": 4000.0}  # a watch waits 2 s


async def away(world: World, call: Call, version: int) -> Call:
    """Tells server 0 away, and gives the next watch."""
    call.answer(version, world.line(0, status="draining"))
    return await world.discovery.call(call.conn)


async def goes_to_the_other(node: BalancerProcess, world: World, name: str = "later") -> None:
    client = await world.client()
    client.say(opening(name))
    at, server = await world.setup()
    assert at == 1 and (await server.line()).startswith(b"OPEN")
    server.say(b"UP r-1\r\n")
    assert await client.line() == b"UP r-1\r\n"


def test_a_watch_that_falls_silent_is_opened_anew_before_what_it_missed_counts_as_told() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        # The first watch was answered; from this one on nothing comes.
        world.watch.answer(2)
        await world.discovery.call(world.watch.conn)
        began, hold = time.monotonic(), node.reducer.watch_wait
        again = await world.discovery.call(await world.discovery.conn())
        took = time.monotonic() - began
        assert hold < took < hold + 0.75 * WATCH_DEADLINE_SECONDS  # what is left is for the answer
        again.answer(3, world.line(0, status="draining"))
        await until(lambda: node.reducer.list_version == 3)
        assert time.monotonic() - began < hold + WATCH_DEADLINE_SECONDS
        await goes_to_the_other(node, world)

    play(scene, World(rules=ASKED))


def test_a_second_silence_in_a_row_is_not_answered_with_a_storm_of_calls() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        calls = 0
        world.watch.answer(2)
        await world.discovery.call(world.watch.conn)
        end = asyncio.get_running_loop().time() + 8.0
        while (left := end - asyncio.get_running_loop().time()) > 0:
            try:
                conn = await asyncio.wait_for(world.discovery.taken.get(), left)
            except TimeoutError:
                break
            await world.discovery.call(conn)
            calls += 1
        assert 1 <= calls <= 3

    play(scene, World(rules=ASKED))


def test_what_a_pushed_list_tells_holds_for_the_first_client() -> None:
    # Guards rule 3: the agent's news counts as told from the first moment of a process.
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        call = await world.discovery.call()
        assert node.connections.listener is None  # nobody is let in before
        call.answer(2, world.line(0, status="draining"))
        watch = await world.discovery.call(call.conn)
        await until(lambda: node.connections.listener is not None)
        await goes_to_the_other(node, world)
        # One watch after the other, and anew at once where one breaks.
        watch.conn.reset()
        began = time.monotonic()
        call = await world.discovery.call()
        assert time.monotonic() - began < 0.4
        call.say(b"", b"503 Away")
        call = await world.discovery.call()
        assert time.monotonic() - began < 0.8
        call.answer(3, world.line(0, status="up"), world.line(1, status="draining"))
        await until(lambda: node.reducer.list_version == 3)
        client = await world.client()
        client.say(opening("last"))
        assert (await world.setup())[0] == 0

    play(scene, World(mode="automatic"), first=False)


def test_an_agent_that_says_nothing_does_not_keep_a_balancer_from_serving() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        await world.discovery.call()
        await until(lambda: node.connections.listener is not None)
        client = await world.client()
        client.say(b"PING\r\n")
        assert await client.line() == b"PONG\r\n"

    play(scene, World(mode="automatic"), first=False)


def test_a_stop_does_not_wait_for_an_agent_that_says_nothing() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        await world.discovery.call()
        node.stop()
        await until(lambda: node.connections.listener is not None, 1.0)  # on with its start
        await asyncio.wait_for(asyncio.shield(node.ended), 2)

    play(scene, World(mode="automatic"), first=False)


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
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        failed = 0
        feed = node.submit

        def count(event: object) -> None:
            nonlocal failed
            failed += type(event).__name__ == "ListRequestFailed"
            feed(event)  # type: ignore[arg-type]

        node.submit = count  # type: ignore[method-assign]
        watch = await away(world, world.watch, 2)
        watch.conn.say(answer)
        if not answer:
            watch.conn.reset()
        await until(lambda: failed)
        call = await world.discovery.call()
        assert b"from=2" in call.head
        if answer and not watch.conn.writer.is_closing():
            watch.conn.say(HEAD + b"{}")  # what still comes on the one that is over does not count
        await turns()
        assert failed == 1 and node.reducer.list_version == 2
        await goes_to_the_other(node, world)

    play(scene, World(rules=ASKED))


def test_an_answer_that_waited_its_turn_at_discovery_counts() -> None:
    # Guards discovery against calls that are given up and join the end of its queue again and again.
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        call = await world.discovery.call()
        await asyncio.sleep(2.0)  # discovery's own limit is 1 to 3 s, and it says so where it is over
        call.answer(2, world.line(0, status="draining"))
        await until(lambda: node.reducer.list_version == 2)
        assert len(world.discovery.conns) == 1
        await goes_to_the_other(node, world)

    play(scene, World(), first=False)


def test_a_list_may_come_in_pieces_and_indented() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        told = {"index": 2, "snapshot": False, "endpoints": [world.line(0, status="draining")]}
        body = json.dumps(told, indent=4).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for i in range(0, len(data), 37):
            world.watch.conn.say(data[i : i + 37])
            await turns(1)
        await until(lambda: node.reducer.list_version == 2)
        await goes_to_the_other(node, world)

    play(scene, World())


def test_an_answer_of_the_discovery_that_was_left_does_not_count() -> None:
    """SIGHUP, and the old watch's answer in the same turn, in both orders of arrival at the loop."""

    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        other = type(world.discovery)()
        await other.start()
        world.watch.answer(9, world.line(1, status="draining"))  # in the socket, not read yet
        node.submit(SettingsReloaded(("127.0.0.1", other.port), node.start_up.names))
        call = await other.call()
        assert b"from=" not in call.head
        call.answer(3, world.line(0, status="draining"), world.line(1), whole=True)
        await other.call(call.conn)
        await until(lambda: node.reducer.list_version == 3)
        await goes_to_the_other(node, world)
        other.stop()

    play(scene, World())


def test_a_dial_that_was_given_up_and_came_up_acts_on_nothing() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        other = type(world.discovery)()
        await other.start()
        loop.after = asyncio.Event()
        loop.up.clear()
        world.watch.conn.reset()
        await until(loop.up.is_set, 8)  # the new call's connection is up, and its dial has not come back
        old = node.discovery
        node.submit(SettingsReloaded(("127.0.0.1", other.port), node.start_up.names))
        loop.after.set()
        call = await other.call()
        assert node.discovery is not old and old.link is None
        call.answer(3, world.line(0, status="draining"), world.line(1), whole=True)
        await other.call(call.conn)
        await goes_to_the_other(node, world)
        other.stop()

    play(scene, World(rules=ASKED))


def test_a_call_whose_dial_is_held_past_its_time_is_followed_by_one_on_another_connection() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        side = node.discovery
        loop.before = asyncio.Event()
        loop.dialling.clear()
        world.watch.conn.reset()
        await until(loop.dialling.is_set, 8)
        first = side.link
        assert first is not None
        await until(lambda: side.link is not first, 8)  # given up by the clock
        loop.before.set()
        call = await world.discovery.call()
        call.answer(2, world.line(0, status="draining"))
        await until(lambda: node.reducer.list_version == 2)
        assert first.transport is None or first.transport.is_closing()
        await goes_to_the_other(node, world)

    play(scene, World(rules=ASKED))


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

    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        holds.set()
        world.watch.conn.reset()
        first = await asyncio.wait_for(world.discovery.taken.get(), 8)
        await until(lambda: held)
        call = await world.discovery.call(await asyncio.wait_for(world.discovery.taken.get(), 10))
        made(*held[0])
        assert await first.rest() == b""  # no second copy of the call, and its end acts on nothing
        call.answer(2, world.line(0, status="draining"))
        await until(lambda: node.reducer.list_version == 2)
        await goes_to_the_other(node, world)

    monkeypatch.setattr(CONNECTION, "connection_made", hold)
    world = World(rules=ASKED)
    play(scene, world)


def test_a_connection_that_discovery_keeps_is_used_again() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        call = world.watch
        for version in range(2, 6):
            call = await away(world, call, version)
        assert len(world.discovery.conns) == 1

    play(scene, World())


@pytest.mark.parametrize("kind", ["503", "reset", "broken", "hangs", "refused", "dial hangs"])
def test_what_discovery_has_is_known_within_six_seconds_of_its_being_in_reach(kind: str) -> None:
    """Many calls have failed; discovery is in reach from just after the last one failed, or was sent into
    nothing: the moment from which it takes longest."""

    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        world.watch.conn.reset()
        if kind == "refused":
            port = world.discovery.port
            world.discovery.server.close()
            await asyncio.sleep(2.0)
            world.discovery.server = await asyncio.start_server(world.discovery._take, "127.0.0.1", port)
        elif kind == "dial hangs":
            loop.before = asyncio.Event()
            loop.dialling.clear()
            await until(loop.dialling.is_set, 8)
            loop.before = None
        else:
            call = await world.discovery.call()
            node.reducer.retry_pause = NEXT_REQUEST_SECONDS  # as after many that failed at once
            if kind == "reset":
                call.conn.reset()
            elif kind != "hangs":
                call.say(b"{}", b"503 Away" if kind == "503" else b"200 OK")
        in_reach = time.monotonic()
        call = await world.discovery.call()
        call.answer(2, world.line(0, status="draining"))
        await until(lambda: node.reducer.list_version == 2)
        assert time.monotonic() - in_reach < LIST_DEADLINE_SECONDS
        await goes_to_the_other(node, world)

    play(scene, World(), seconds=30.0)


def test_an_answer_that_the_connections_end_ends_is_told() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        told = {"index": 2, "snapshot": False, "endpoints": [world.line(0, status="draining")]}
        body = json.dumps(told).encode()
        conn = world.watch.conn
        conn.say(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body[:20])
        await turns()
        assert node.reducer.list_version == 1  # it may still go on
        conn.say(body[20:])
        conn.end()
        await until(lambda: node.reducer.list_version == 2, 0.2)
        assert not node.reducer.balancer.servers["s-0"].active and not node.discovery.failing
        world.watch = await world.discovery.call()
        assert b"from=2" in world.watch.head

    play(scene, World())


def test_an_answer_that_its_connections_end_cuts_off_is_none() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        conn = world.watch.conn
        conn.say(b'HTTP/1.1 200 OK\r\n\r\n{"index":2,"snapshot":false,"endpoi')
        conn.end()
        await until(lambda: node.discovery.failing)
        assert node.reducer.list_version == 1

    play(scene, World())
