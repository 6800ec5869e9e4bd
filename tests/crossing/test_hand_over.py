"""The server's answer handed over to the client, and what crosses it: lines, ends, faults."""

from __future__ import annotations

from typing import Any

import pytest

from crossing.world import HeldLoop, World, opening, play, turns, until
from pointgw.net.core import events as ev
from pointgw.net.invariant import violations
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.wire.lines import MAX_LINE_BYTES


async def asked(world: World) -> tuple[Any, Any]:
    client = await world.client()
    client.say(opening())
    _, server = await world.setup()
    assert (await server.line()).startswith(b"OPEN")
    return client, server


def test_lines_in_the_answers_own_segment_follow_it() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, server = await asked(world)
        server.say(b"UP r-1\r\nLOAD 5\r\nhello\r\nhal")
        for line in (b"UP r-1\r\n", b"LOAD 5\r\n", b"hello\r\n"):
            assert await client.line() == line
        server.say(b"f\r\n")
        assert await client.line() == b"half\r\n"

    play(scene, World())


def test_half_a_line_before_a_reset_is_not_passed_on_and_the_client_is_broken_too() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, server = await world.opened()
        server.say(b"whole\r\nhal")
        assert await client.line() == b"whole\r\n"
        server.reset()
        with pytest.raises(ConnectionResetError):
            await client.rest()

    play(scene, World())


@pytest.mark.parametrize("last", [b"BYE x0=1\r\n", b"MOVE\r\n"])
@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_last_line_in_two_reads_ends_in_order_however_its_connection_does(last: bytes, how: str) -> None:
    # Guards the last line against a reset passed on: the server had said that it ends.
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, server = await world.opened()
        server.say(b"b\r\n" + last[:2])
        assert await client.line() == b"b\r\n"
        server.say(last[2:])
        await until(lambda: [side for side in node.servers.values() if side.end_line is not None])
        getattr(server, how)()
        assert await client.rest() == last

    play(scene, World())


@pytest.mark.parametrize("joined", [True, False])
def test_a_line_that_never_ends_is_bounded(joined: bool) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, server = await (world.opened() if joined else asked(world))
        (side,) = node.servers.values()
        most = 0
        for _ in range(3 * MAX_LINE_BYTES // 512):
            if not server.writer.is_closing():
                server.say(b"y" * 512)
            await turns(1)
            most = max(most, len(side.buffer))
        assert await client.rest() == (b"" if joined else b"ERR\r\n")
        assert most <= MAX_LINE_BYTES + 64 * 1024 and not node.servers

    play(scene, World(profile={"semantics": "side_effect"}))


@pytest.mark.parametrize("left_first", [True, False])
def test_the_answer_and_the_clients_end_in_one_turn(left_first: bool) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, server = await asked(world)
        events: list[Any] = []
        feed = node.submit

        def hold(event: Any) -> None:
            (events.append if isinstance(event, ev.SetupOpened | ev.ClientLeft) else feed)(event)

        node.submit = hold  # type: ignore[method-assign]
        server.say(b"UP r-1\r\nhello\r\n")
        client.reset()
        await until(lambda: len(events) == 2)
        node.submit = feed  # type: ignore[method-assign]
        order = sorted(events, key=lambda event: isinstance(event, ev.ClientLeft) is not left_first)
        for event in order:
            feed(event)
        await turns()
        assert not node.servers and not node.reducer.clients and not node.reducer.balancer.setups_in_progress
        assert not any(ep.pending_setups or ep.tunnels for ep in node.reducer.balancer.servers.values())

    play(scene, World())


@pytest.mark.parametrize("step", ["setup_opened", "may_write_request", "setup_ended"])
def test_a_fault_of_a_decision_ends_one_tunnel_with_an_answer(monkeypatch: Any, step: str) -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        balancer = node.reducer.balancer
        with monkeypatch.context() as patch:
            patch.setattr(balancer, step, lambda *_: 1 // 0)
            client = await world.client()
            client.say(opening())
            _, server = await world.setup()
            if step == "setup_opened":
                server.say(b"UP r-1\r\nraw\r\n")  # guards a client that was not joined from raw lines
            elif step == "setup_ended":
                server.reset()
            assert await client.rest() == b"ERR\r\n"
            await until(lambda: not node.servers)
            assert (
                step == "setup_ended" or not balancer.setups_in_progress
            )  # nothing is reckoned to be out for ever
        assert violations["event_failed"]
        opened, _ = await world.opened("two")  # and the next one is served
        opened.close()

    violations.clear()
    play(scene, World(limits={"mayCancel": False}))
    violations.clear()


def test_a_fault_as_an_open_tunnel_ends_ends_its_client() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, server = await world.opened()
        take = node.reducer.dispatch

        def fault(event: Any, now: float) -> Any:
            if isinstance(event, ev.SetupEnded):
                raise ZeroDivisionError
            return take(event, now)

        node.reducer.dispatch = fault  # type: ignore[method-assign]
        server.say(b"BYE\r\n")
        server.end()
        with pytest.raises(ConnectionResetError):
            await client.rest()
        await until(lambda: not node.clients and not node.reducer.clients)

    violations.clear()
    play(scene, World())
    violations.clear()


def test_lines_of_a_client_after_its_servers_end_are_read_and_dropped() -> None:
    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, server = await world.opened()
        server.say(b"BYE\r\n")
        server.end()
        await until(lambda: node.connections.lingering)
        client.say(b"more\r\n" * 1000)
        assert await client.rest() == b"BYE\r\n"

    play(scene, World())


def test_the_clients_last_lines_reach_a_server_that_reads_slowly() -> None:
    lines = b"".join(b"%07d" % i + b"x" * 1000 + b"\r\n" for i in range(3000))

    async def scene(node: BalancerProcess, world: World, loop: HeldLoop) -> None:
        client, server = await world.opened()
        server.hold()
        client.say(lines)
        client.end()
        await turns(300)
        server.go_on()
        got = await server.rest()
        assert got == lines

    play(scene, World())
