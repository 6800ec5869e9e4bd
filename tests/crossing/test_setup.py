"""A setup and what crosses it: its client, its clock, the list, its server's answer."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from crossing.world import HeldLoop, World, opening, play, turns, until
from pointgw.net.core import events as ev
from pointgw.net.run import tcp
from pointgw.net.run.balancer_process import BalancerProcess

ONCE = {"semantics": "side_effect"}
GONE = 0.1  # seconds after which nothing of a client that has left may be sent on
LATE = {"connectTimeout": 5000.0}  # dials that are held are not given up by the clock


def test_a_dials_time_out_after_the_line_was_written_is_not_taken_as_never_sent() -> None:
    # Guards rule 2: the dial's clock comes due between the write and the step after it.
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        loop.after = asyncio.Event()  # up, written, and the dial has not come back yet
        client = await world.client()
        client.say(opening())
        _, server = await world.setup()
        assert (await server.line()).startswith(b"OPEN 9b1f")
        await asyncio.sleep(1.5 * node.reducer.connect_timeout)
        server.say(b"UP r-1\r\n")
        assert await client.line() == b"UP r-1\r\n"
        assert sum(len(peer.conns) for peer in world.servers) == 1

    play(scene, World(profile=ONCE))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_client_that_leaves_while_its_server_is_dialled_is_not_sent_on(may_cancel: bool, how: str) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        loop.before = asyncio.Event()
        client = await world.client()
        client.say(opening())
        await loop.dialling.wait()
        getattr(client, how)()
        await until(lambda: not node.clients)
        loop.before.set()
        await turns()
        assert not world.sent() and not node.servers and not node.reducer.clients

    play(scene, World(limits=LATE | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("left_first", [True, False])
def test_a_client_that_leaves_as_its_connection_comes_up(may_cancel: bool, left_first: bool) -> None:
    """Both orders of the client's end and the server's connection, in one turn of the loop."""

    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        events: list[Any] = []
        feed = node.submit

        def hold(event: Any) -> None:
            if isinstance(event, ev.SetupConnected | ev.ClientLeft):
                events.append(event)
            else:
                feed(event)

        node.submit = hold  # type: ignore[method-assign]
        client = await world.client()
        client.say(opening())
        await until(lambda: events)
        client.reset()
        await until(lambda: len(events) == 2)
        node.submit = feed  # type: ignore[method-assign]
        left_at = time.monotonic()
        for event in events[::-1] if left_first else events:
            feed(event)
        await turns()
        assert time.monotonic() - left_at < GONE
        if left_first:
            assert not world.sent() and not node.servers
        else:  # it had been sent when its client left: to end it is a cancel, and may not be allowed
            assert not node.servers if may_cancel else world.sent()

    play(scene, World(limits=LATE | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_client_that_leaves_while_queued_is_not_sent_on(may_cancel: bool) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        world.watch.answer(2, *(world.line(i, status="draining") for i in range(2)))
        watch = await world.discovery.call(world.watch.conn)
        client = await world.client()
        client.say(opening())
        await until(lambda: node.reducer.balancer.queue)
        client.end()
        # What makes a server ready comes in the same turn as the client's end.
        watch.answer(3, *(world.line(i, status="up") for i in range(2)))
        await until(lambda: node.reducer.list_version == 3 and not node.clients)
        await turns()
        assert not world.sent() and not node.reducer.clients

    play(scene, World(limits={"mayCancel": may_cancel}))


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_client_whose_end_was_not_read_yet_as_its_connection_comes_up_is_not_sent_on(
    may_cancel: bool, how: str
) -> None:
    """Its end is in the socket; the loop, busy or with other events before it, has not come to it."""

    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        loop.before = asyncio.Event()
        client = await world.client()
        client.say(opening())
        await loop.dialling.wait()
        (side,) = node.clients.values()
        side.transport.pause_reading()  # its end is not read for as long as this lasts
        getattr(client, how)()
        await until(lambda: tcp.peer_close_events(side.transport))
        loop.before.set()
        await until(lambda: not node.servers)
        await turns()
        assert not world.sent() and not node.reducer.clients

    play(scene, World(limits=LATE | {"mayCancel": may_cancel}))


@pytest.mark.parametrize("how", ["end", "reset"])
def test_no_further_setup_is_dialled_for_a_client_whose_end_was_not_read_yet(how: str) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        client.say(opening())
        _, server = await world.setup()
        assert (await server.line()).startswith(b"OPEN 9b1f")
        (side,) = node.clients.values()
        side.transport.pause_reading()
        getattr(client, how)()
        await until(lambda: tcp.peer_close_events(side.transport))
        server.say(b"BUSY\r\n")
        await until(lambda: not node.reducer.clients)
        await turns()
        assert sum(len(peer.conns) for peer in world.servers) == 1 and not node.servers

    play(scene, World())


def test_a_client_whose_line_and_end_come_at_once_is_not_sent_on() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        for _ in range(20):
            client = await world.client()
            client.say(opening())
            client.reset()
        await turns(50)
        assert not world.sent() and not node.reducer.clients

    play(scene, World(limits={"mayCancel": False}))


def test_a_server_told_away_while_it_is_dialled_gets_nothing() -> None:
    # Guards rule 3: what binds is when the first byte goes out.
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        loop.before = asyncio.Event()
        client = await world.client()
        client.say(opening())
        await loop.dialling.wait()
        (side,) = node.servers.values()
        away = next(i for i, peer in enumerate(world.servers) if peer.port == side.attempt.address[1])
        world.watch.answer(2, world.line(away, status="draining"))
        await until(lambda: node.reducer.list_version == 2)
        loop.before.set()
        at, server = await world.setup()
        if at == away:  # its connection comes up, and ends with nothing on it
            assert await server.rest() == b""
            at, server = await world.setup()
        assert at != away and (await server.line()).startswith(b"OPEN")
        server.say(b"UP r-1\r\n")
        assert await client.line() == b"UP r-1\r\n"

    play(scene, World(limits=LATE))


def test_a_repeat_whose_window_ends_while_it_is_dialled_is_not_written() -> None:
    # Guards rule 2: the window counts to the write, not to the choice.
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        client.say(opening())
        _, server = await world.setup()
        await server.line()
        loop.before = asyncio.Event()
        loop.dialling.clear()
        server.reset()  # it may have run: a repeat is chosen within the window
        await loop.dialling.wait()
        (client_of,) = node.reducer.clients.values()
        first = client_of.tunnel.setups[0].sent_at
        await until(lambda: node.now() > first + client_of.tunnel.profile.dedup_window)
        loop.before.set()
        # Where any server may repeat it, a decline promises nothing that is not so.
        assert await client.rest() in (b"ERR\r\n", b"BUSY\r\n")
        await turns()
        assert not world.sent()

    play(scene, World(limits=LATE, profile={"semantics": "token", "dedupWindow": 150.0, "setupGoal": 600.0}))


def test_the_time_told_to_the_server_is_what_is_left_when_the_line_goes_out() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        loop.before = asyncio.Event()
        client = await world.client()
        client.say(opening())
        await loop.dialling.wait()
        began = time.monotonic()
        await asyncio.sleep(0.1)
        held = time.monotonic() - began
        loop.before.set()
        _, server = await world.setup()
        told = int((await server.line()).split(b"d=")[1].split(b",")[0]) / 1e3
        assert told <= 0.2 - held

    play(scene, World(limits=LATE))


@pytest.mark.parametrize("profile", [{}, ONCE])
def test_an_answer_that_is_there_as_the_time_runs_out_counts_once(profile: dict[str, Any]) -> None:
    """The answer is in the socket and the clock is due in the same turn: the clock comes first."""

    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        client.say(opening())
        _, server = await world.setup()
        await server.line()
        (side,) = node.servers.values()
        server.say(b"UP r-1\r\n")  # written at once: it waits in the balancer's socket, not read yet
        side._timed_out()
        if profile:
            assert await client.rest() == b"ERR\r\n"
            assert sum(len(peer.conns) for peer in world.servers) == 1
        else:
            _, second = await world.setup()
            await second.line()
            second.say(b"UP r-2\r\n")
            assert await client.line() == b"UP r-2\r\n"

    play(scene, World(profile=profile))


@pytest.mark.parametrize(
    "answer", [b"UP\r\n", b"UP \r\n", b"what\r\n", b"x" * 5000, b"ERR\r\nUP r-9\r\n", b"\xff\xfe\r\n"]
)
def test_a_spoilt_answer_ends_the_setup_as_one_that_may_have_run(answer: bytes) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        client.say(opening())
        _, server = await world.setup()
        await server.line()
        server.say(answer)
        assert await client.rest() == b"ERR\r\n"
        await until(lambda: not node.servers)
        assert sum(len(peer.conns) for peer in world.servers) == 1

    play(scene, World(profile=ONCE))


def test_a_second_answer_after_a_decline_opens_nothing() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client = await world.client()
        client.say(opening())
        at, server = await world.setup()
        await server.line()
        server.say(b"BUSY\r\nUP r-9\r\n")
        other, second = await world.setup()
        assert other != at
        await second.line()
        server.say(b"UP r-9\r\n")
        second.say(b"UP r-1\r\n")
        assert await client.line() == b"UP r-1\r\n"

    play(scene, World(profile=ONCE))


def test_an_end_of_the_server_before_the_line_was_written_proves_that_it_never_ran() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        held: list[Any] = []
        feed = node.submit

        def hold(event: Any) -> None:
            (held.append if isinstance(event, ev.SetupConnected) else feed)(event)

        node.submit = hold  # type: ignore[method-assign]
        client = await world.client()
        client.say(opening())
        await until(lambda: held)
        _, server = await world.setup()
        server.reset()
        await until(lambda: len(held) == 2)  # the next one is up: the first was known not to have run
        node.submit = feed  # type: ignore[method-assign]
        feed(held[0])  # that of the one that is gone changes nothing
        feed(held[1])
        _, second = await world.setup()
        assert (await second.line()).startswith(b"OPEN")
        second.say(b"UP r-1\r\n")
        assert await client.line() == b"UP r-1\r\n"

    play(scene, World(profile=ONCE, limits=LATE))
