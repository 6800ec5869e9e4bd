"""The server's answer handed over to the client, and what crosses it: lines, ends, faults."""

from __future__ import annotations

from typing import Any

import pytest

from crossing.world import ControlledLoop, World, open_line, run_loop_iterations, run_scenario, wait_until
from pointgw.net.core import events as ev
from pointgw.net.invariant import violations
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.wire.lines import MAX_LINE_BYTES


async def asked(world: World) -> tuple[Any, Any]:
    client = await world.connect_client()
    client.send(open_line())
    _, server = await world.next_setup()
    assert (await server.read_line()).startswith(b"OPEN")
    return client, server


def test_lines_in_the_answers_own_segment_follow_it() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await asked(world)
        server.send(b"UP r-1\r\nLOAD 5\r\nhello\r\nhal")
        for line in (b"UP r-1\r\n", b"LOAD 5\r\n", b"hello\r\n"):
            assert await client.read_line() == line
        server.send(b"f\r\n")
        assert await client.read_line() == b"half\r\n"

    run_scenario(scenario, World())


def test_half_a_line_before_a_reset_is_not_passed_on_and_the_client_is_broken_too() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        server.send(b"whole\r\nhal")
        assert await client.read_line() == b"whole\r\n"
        server.reset()
        with pytest.raises(ConnectionResetError):
            await client.read_to_end()

    run_scenario(scenario, World())


@pytest.mark.parametrize("last", [b"BYE x0=1\r\n", b"MOVE\r\n"])
@pytest.mark.parametrize("close_method", ["send_eof", "reset"])
def test_a_last_line_in_two_reads_ends_in_order_however_its_connection_does(
    last: bytes, close_method: str
) -> None:
    # Guards the last line against a reset passed on: the server had said that it ends.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        server.send(b"b\r\n" + last[:2])
        assert await client.read_line() == b"b\r\n"
        server.send(last[2:])
        await wait_until(
            lambda: [protocol for protocol in process.servers.values() if protocol.end_line is not None]
        )
        getattr(server, close_method)()
        assert await client.read_to_end() == last

    run_scenario(scenario, World())


@pytest.mark.parametrize("joined", [True, False])
def test_a_line_that_never_ends_is_bounded(joined: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await (world.open_tunnel() if joined else asked(world))
        (protocol,) = process.servers.values()
        most = 0
        for _ in range(3 * MAX_LINE_BYTES // 512):
            if not server.writer.is_closing():
                server.send(b"y" * 512)
            await run_loop_iterations(1)
            most = max(most, len(protocol.buffer))
        assert await client.read_to_end() == (b"" if joined else b"ERR\r\n")
        assert most <= MAX_LINE_BYTES + 64 * 1024 and not process.servers

    run_scenario(scenario, World(profile={"semantics": "side_effect"}))


@pytest.mark.parametrize("left_first", [True, False])
def test_the_answer_and_the_clients_end_in_one_turn(left_first: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await asked(world)
        events: list[Any] = []
        submit = process.submit

        def hold(event: Any) -> None:
            (events.append if isinstance(event, ev.SetupOpened | ev.ClientLeft) else submit)(event)

        process.submit = hold  # type: ignore[method-assign]
        server.send(b"UP r-1\r\nhello\r\n")
        client.reset()
        await wait_until(lambda: len(events) == 2)
        process.submit = submit  # type: ignore[method-assign]
        order = sorted(events, key=lambda event: isinstance(event, ev.ClientLeft) is not left_first)
        for event in order:
            submit(event)
        await run_loop_iterations()
        assert (
            not process.servers
            and not process.reducer.clients
            and not process.reducer.balancer.setups_in_progress
        )
        assert not any(ep.pending_setups or ep.tunnels for ep in process.reducer.balancer.servers.values())

    run_scenario(scenario, World())


@pytest.mark.parametrize("step", ["setup_opened", "may_write_request", "setup_ended"])
def test_a_fault_of_a_decision_ends_one_tunnel_with_an_answer(monkeypatch: Any, step: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        balancer = process.reducer.balancer
        with monkeypatch.context() as patch:
            patch.setattr(balancer, step, lambda *_: 1 // 0)
            client = await world.connect_client()
            client.send(open_line())
            _, server = await world.next_setup()
            if step == "setup_opened":
                server.send(b"UP r-1\r\nraw\r\n")  # guards a client that was not joined from raw lines
            elif step == "setup_ended":
                server.reset()
            assert await client.read_to_end() == b"ERR\r\n"
            await wait_until(lambda: not process.servers)
            assert (
                step == "setup_ended" or not balancer.setups_in_progress
            )  # nothing is reckoned to be out for ever
        assert violations["event_failed"]
        opened, _ = await world.open_tunnel("two")  # and the next one is served
        opened.close()

    violations.clear()
    run_scenario(scenario, World(limits={"mayCancel": False}))
    violations.clear()


def test_a_fault_as_an_open_tunnel_ends_ends_its_client() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        take = process.reducer.dispatch

        def fault(event: Any, now: float) -> Any:
            if isinstance(event, ev.SetupEnded):
                raise ZeroDivisionError
            return take(event, now)

        process.reducer.dispatch = fault  # type: ignore[method-assign]
        server.send(b"BYE\r\n")
        server.send_eof()
        with pytest.raises(ConnectionResetError):
            await client.read_to_end()
        await wait_until(lambda: not process.clients and not process.reducer.clients)

    violations.clear()
    run_scenario(scenario, World())
    violations.clear()


def test_lines_of_a_client_after_its_servers_end_are_read_and_dropped() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        server.send(b"BYE\r\n")
        server.send_eof()
        await wait_until(lambda: process.connections.lingering)
        client.send(b"more\r\n" * 1000)
        assert await client.read_to_end() == b"BYE\r\n"

    run_scenario(scenario, World())


def test_the_clients_last_lines_reach_a_server_that_reads_slowly() -> None:
    lines = b"".join(b"%07d" % i + b"x" * 1000 + b"\r\n" for i in range(3000))

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        server.pause_reading()
        client.send(lines)
        client.send_eof()
        await run_loop_iterations(300)
        server.resume_reading()
        got = await server.read_to_end()
        assert got == lines

    run_scenario(scenario, World())
