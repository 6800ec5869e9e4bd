"""Races around the server's answer: further lines, closed connections and exceptions at the same moment.

Guards against lines that are lost, cut or forwarded too early, against a reset forwarded after a server's
last line, and against a tunnel that an exception leaves open or without an answer.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from crossing.world import ControlledLoop, World, open_line, run_loop_iterations, run_scenario, wait_until
from pointgw.net.core import events as ev
from pointgw.net.invariant import violations
from pointgw.net.run import resource_limits, tcp
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.wire.lines import MAX_LINE_BYTES


async def start_setup(world: World) -> tuple[Any, Any]:
    """The client's and the server's end of a tunnel whose server has not answered yet."""
    client = await world.connect_client()
    client.send(open_line())
    _, server = await world.next_setup()
    assert (await server.read_line()).startswith(b"OPEN")
    return client, server


def test_lines_in_the_same_segment_as_the_answer_follow_it() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await start_setup(world)
        server.send(b"UP r-1\r\nLOAD 5\r\nhello\r\nhal")
        for line in (b"UP r-1\r\n", b"LOAD 5\r\n", b"hello\r\n"):
            assert await client.read_line() == line
        server.send(b"f\r\n")
        assert await client.read_line() == b"half\r\n"

    run_scenario(scenario, World())


def test_a_partial_line_before_a_reset_is_not_forwarded_and_the_client_is_reset() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        server.send(b"whole\r\nhal")
        assert await client.read_line() == b"whole\r\n"
        server.reset()
        with pytest.raises(ConnectionResetError):
            await client.read_to_end()

    run_scenario(scenario, World())


@pytest.mark.parametrize("last_line", [b"BYE x0=1\r\n", b"MOVE\r\n"])
@pytest.mark.parametrize("close_method", ["send_eof", "reset"])
def test_after_a_last_line_in_two_reads_the_client_is_closed_in_order(
    last_line: bytes, close_method: str
) -> None:
    # Guards the last line against a forwarded reset: the server had announced the end.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        server.send(b"b\r\n" + last_line[:2])
        assert await client.read_line() == b"b\r\n"
        server.send(last_line[2:])
        await wait_until(
            lambda: [server for server in process.servers.values() if server.end_line is not None]
        )
        getattr(server, close_method)()
        assert await client.read_to_end() == last_line

    run_scenario(scenario, World())


@pytest.mark.parametrize("opened", [True, False])
def test_the_buffer_for_a_line_without_an_end_is_bounded(opened: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await (world.open_tunnel() if opened else start_setup(world))
        (protocol,) = process.servers.values()
        largest = 0
        for _ in range(3 * MAX_LINE_BYTES // 512):
            if not server.writer.is_closing():
                server.send(b"y" * 512)
            await run_loop_iterations(1)
            largest = max(largest, len(protocol.buffer))
        assert await client.read_to_end() == (b"" if opened else b"ERR\r\n")
        assert largest <= MAX_LINE_BYTES + 64 * 1024 and not process.servers

    run_scenario(scenario, World(profile={"semantics": "side_effect"}))


@pytest.mark.parametrize("left_first", [True, False])
def test_the_answer_and_the_clients_end_in_one_loop_iteration(left_first: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await start_setup(world)
        events: list[Any] = []
        submit = process.submit

        def intercept(event: Any) -> None:
            (events.append if isinstance(event, ev.SetupOpened | ev.ClientLeft) else submit)(event)

        process.submit = intercept  # type: ignore[method-assign]
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
        assert not any(
            server_state.pending_setups or server_state.tunnels
            for server_state in process.reducer.balancer.servers.values()
        )

    run_scenario(scenario, World())


@pytest.mark.parametrize("method", ["setup_opened", "may_write_request", "setup_ended"])
def test_an_exception_in_the_policy_ends_one_tunnel_with_an_answer(monkeypatch: Any, method: str) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        balancer = process.reducer.balancer
        with monkeypatch.context() as patch:
            patch.setattr(balancer, method, lambda *_: 1 // 0)
            client = await world.connect_client()
            client.send(open_line())
            _, server = await world.next_setup()
            if method == "setup_opened":
                # Guards a client whose tunnel was not opened against raw lines.
                server.send(b"UP r-1\r\nraw\r\n")
            elif method == "setup_ended":
                server.reset()
            assert await client.read_to_end() == b"ERR\r\n"
            await wait_until(lambda: not process.servers)
            # No setup counts as in progress for ever.
            assert method == "setup_ended" or not balancer.setups_in_progress
        assert violations["event_failed"]
        opened, _ = await world.open_tunnel("two")  # the next request is served
        opened.close()

    run_scenario(scenario, World(limits={"mayCancel": False}), forces_errors=True)


def test_an_exception_at_the_end_of_an_open_tunnel_resets_its_client() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        dispatch = process.reducer.dispatch

        def failing_dispatch(event: Any, now: float) -> Any:
            if isinstance(event, ev.SetupEnded):
                raise ZeroDivisionError
            return dispatch(event, now)

        process.reducer.dispatch = failing_dispatch  # type: ignore[method-assign]
        server.send(b"BYE\r\n")
        server.send_eof()
        with pytest.raises(ConnectionResetError):
            await client.read_to_end()
        await wait_until(lambda: not process.clients and not process.reducer.clients)

    run_scenario(scenario, World(), forces_errors=True)


def test_lines_from_a_client_after_its_server_ended_are_read_and_dropped() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        server.send(b"BYE\r\n")
        server.send_eof()
        await wait_until(lambda: process.connections.lingering)
        client.send(b"more\r\n" * 1000)
        assert await client.read_to_end() == b"BYE\r\n"

    run_scenario(scenario, World())


def test_the_clients_last_lines_reach_a_slow_server() -> None:
    lines = b"".join(b"%07d" % i + b"x" * 1000 + b"\r\n" for i in range(3000))

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        server.pause_reading()
        client.send(lines)
        client.send_eof()
        await run_loop_iterations(300)
        server.resume_reading()
        received = await server.read_to_end()
        assert received == lines

    run_scenario(scenario, World())


@pytest.mark.parametrize("buffer_limit", [tcp.MIN_BUFFER_LIMIT, tcp.BUFFER_LIMIT])
@pytest.mark.parametrize("stalled", ["client", "server"])
def test_little_is_kept_for_a_side_that_does_not_read(stalled: str, buffer_limit: int) -> None:
    """Guards the memory limit: all that the event loop read at one time was kept, 256 KiB a tunnel."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        process.buffer_limit = buffer_limit
        client, server = await world.open_tunnel()
        reader, sender = (client, server) if stalled == "client" else (server, client)
        reader.pause_reading()
        sender.send((b"y" * 1000 + b"\r\n") * 20_000)
        await asyncio.sleep(0.5)
        (client_side,), (server_side,) = process.clients.values(), process.servers.values()
        transport = client_side.transport if stalled == "client" else server_side.transport
        assert transport is not None
        kept = transport.get_write_buffer_size() + len(server_side.buffer)
        assert 0 < kept <= 2 * buffer_limit + MAX_LINE_BYTES

    run_scenario(scenario, World())


@pytest.mark.parametrize(
    ("memory_mb", "connections", "expected"),
    [(0, 1024, tcp.BUFFER_LIMIT), (192, 1024, tcp.BUFFER_LIMIT), (1, 1024, tcp.MIN_BUFFER_LIMIT)],
)
def test_the_buffer_limit_follows_the_memory_limit(memory_mb: int, connections: int, expected: int) -> None:
    assert resource_limits.buffer_limit(memory_mb * 2**20, connections) == expected
    limit = resource_limits.buffer_limit(32 * 2**20, connections)
    assert connections * (2 * limit + MAX_LINE_BYTES) <= 16 * 2**20
