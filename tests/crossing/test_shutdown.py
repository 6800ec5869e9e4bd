"""Races around the stop of a balancer: requests, answers, slow clients and signals during it.

Guards rule 1 for requests that arrive in any phase of the stop, and guards against tunnels that are not
migrated, last lines lost by a reset, and signals that are lost or end the process at once.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from crossing.world import ControlledLoop, World, open_line, run_loop_iterations, run_scenario, wait_until
from pointgw.net.core import effects
from pointgw.net.core.reducer import STOP_ACCEPT_SECONDS
from pointgw.net.run.balancer_process import EXIT_CHECK_INTERVAL, BalancerProcess

SHORT_TIMEOUTS = {"setupGoal": 100.0, "clientTimeout": 300.0}  # milliseconds; the shortest stop: 0.9 s


def test_clients_are_migrated_and_answered_though_the_loop_stalls_for_the_whole_stop() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, _ = await world.open_tunnel("one")
        loop.before_connect = asyncio.Event()
        waiting = await world.connect_client()
        waiting.send(open_line("two", 300))
        await loop.connect_pending.wait()
        process.stop()
        time.sleep(process.reducer.stop_time_limit + 0.1)  # blocks the event loop
        assert await client.read_to_end() == b"MOVE\r\n"
        assert await waiting.read_to_end() in (b"BUSY\r\n", b"ERR\r\n")
        await asyncio.wait_for(process.ended, 2)

    run_scenario(scenario, World(profile=SHORT_TIMEOUTS))


@pytest.mark.parametrize("sends_request", [True, False])
def test_an_idle_client_is_declined_and_a_request_that_crosses_that_is_not_forwarded(
    sends_request: bool,
) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(b"PING\r\n")
        assert await client.read_line() == b"PONG\r\n"
        process.stop()
        if sends_request:  # after the balancer closed its side, before the client has read that
            await wait_until(lambda: process.connections.lingering)
            client.send(open_line())
            await run_loop_iterations()
        received = await client.read_to_end()  # guards the answer against a reset that discards it
        assert received == b"BUSY\r\n" and not world.server_received_data()
        client.close()
        await asyncio.wait_for(process.ended, 5)

    run_scenario(scenario, World())


def test_a_request_on_an_idle_connection_as_it_is_closed_is_answered() -> None:
    """The request is in the balancer's socket, unread, as the idle connections are closed."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        await wait_until(lambda: process.connections.idle)
        execute = process._execute

        def intercept(effect: Any) -> None:
            if isinstance(effect, effects.CloseIdleClients) and not client.writer.is_closing():
                client.sock.setblocking(False)
                os.write(client.sock.fileno(), open_line())
            execute(effect)

        process._execute = intercept  # type: ignore[method-assign]
        process.stop()
        assert await client.read_to_end() == b"BUSY\r\n"
        assert not world.server_received_data()

    run_scenario(scenario, World())


def test_a_request_in_the_accept_backlog_as_the_process_exits_is_answered() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        sockets: list[socket.socket] = []
        execute = process._execute

        def intercept(effect: Any) -> None:
            if isinstance(effect, effects.ExitProcess) and not sockets:
                sockets.append(socket.create_connection(("127.0.0.1", world.listen_port)))
                sockets[0].sendall(open_line())
            execute(effect)

        process._execute = intercept  # type: ignore[method-assign]
        process.stop()
        await wait_until(lambda: sockets)
        sockets[0].setblocking(False)
        received = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sockets[0], 100), 3)
        assert received == b"BUSY\r\n"
        sockets[0].close()
        await asyncio.wait_for(process.ended, 5)

    run_scenario(scenario, World())


def test_a_slow_client_gets_its_last_lines_and_the_move() -> None:
    lines = b"".join(b"%07d" % i + b"x" * 1000 + b"\r\n" for i in range(4000))

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        client.pause_reading()
        server.send(lines)
        (client_connection,) = process.clients.values()
        await wait_until(lambda: client_connection.transport.get_write_buffer_size() > 0)
        await run_loop_iterations(100)
        process.stop()
        await wait_until(lambda: client_connection in process.connections.lingering)
        await asyncio.sleep(0.5)  # guards against a limit of 0.25 s for a slow client
        client.resume_reading()
        received = await client.read_to_end()
        assert received.endswith(b"\r\nMOVE\r\n") and lines.startswith(received.removesuffix(b"MOVE\r\n"))

    run_scenario(scenario, World())


def test_a_final_answer_reaches_a_client_that_has_sent_much_data() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line() + b"y" * 3_000_000)
        assert await client.read_to_end() == b"ERR\r\n"

    run_scenario(scenario, World())


def test_a_migrated_client_that_returns_during_the_stop_is_declined() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, _ = await world.open_tunnel("one")
        process.stop()
        assert await client.read_to_end() == b"MOVE\r\n"
        client.close()
        returning = await world.connect_client()
        returning.send(open_line("two", extra=",again=1"))
        assert await returning.read_to_end() == b"BUSY\r\n"
        assert len([c for stand_in in world.servers for c in stand_in.connections]) == 1

    run_scenario(scenario, World())


def test_a_client_of_a_hanging_setup_is_answered_before_the_process_may_be_killed() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line())
        await world.next_setup()
        started_at = process.now()
        process.stop()
        assert await client.read_to_end() in (b"BUSY\r\n", b"ERR\r\n")
        client.close()
        await asyncio.wait_for(process.ended, 5)
        assert process.now() - started_at < 1.5 + 0.7

    run_scenario(scenario, World())


def test_a_stop_that_ends_in_time_is_no_violation_though_its_last_check_is_late() -> None:
    # Guards against an internal error on a busy machine, where a check 10 ms late came after the forced end.
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        begin_exit = process._begin_exit

        def begin_exit_with_late_checks(deadline: float) -> None:
            begin_exit(deadline)
            assert process.exit_check is not None
            lateness = deadline - process.now() + 2 * EXIT_CHECK_INTERVAL
            process.exit_check.interval = lambda: lateness
            process.exit_check.run()

        process._begin_exit = begin_exit_with_late_checks  # type: ignore[method-assign]
        client = await world.connect_client()
        client.send(open_line())
        await world.next_setup()
        process.stop()  # the client keeps its connection open after its answer
        await asyncio.wait_for(asyncio.shield(process.ended), 5)

    run_scenario(scenario, World())


def test_signals_during_the_stop_have_no_effect() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        discovery = process.discovery
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: process.stopping)
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)
        server.send(b"on\r\n")
        assert await client.read_line() == b"on\r\n"
        assert await client.read_to_end() == b"MOVE\r\n"
        client.close()
        await asyncio.wait_for(process.ended, 5)
        assert process.discovery is discovery

    run_scenario(scenario, World())


def test_a_sigterm_during_a_reload_stops_the_balancer_after_it() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, _ = await world.open_tunnel()
        read_settings = process.read_settings

        def read_with_signal() -> Any:
            os.kill(os.getpid(), signal.SIGTERM)
            return read_settings()

        process.read_settings = read_with_signal
        os.kill(os.getpid(), signal.SIGHUP)
        assert await client.read_to_end() == b"MOVE\r\n"
        client.close()
        await asyncio.wait_for(process.ended, 5)

    run_scenario(scenario, World())


class SlowRunner:
    """Replaces a cluster or recovery runner. Its start sends SIGTERM and then waits for `may_start`."""

    transport = None

    def __init__(self) -> None:
        self.started, self.may_start, self.stop_count = asyncio.Event(), asyncio.Event(), 0

    async def start(self, *_: Any) -> None:
        self.started.set()
        os.kill(os.getpid(), signal.SIGTERM)
        await self.may_start.wait()

    def stop(self) -> None:
        self.stop_count += 1


def test_a_sigterm_while_cluster_and_recovery_start_answers_all_and_stops_both() -> None:
    cluster, recovery = SlowRunner(), SlowRunner()

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        await cluster.started.wait()
        client, _ = await world.open_tunnel()
        assert await client.read_to_end() == b"MOVE\r\n"  # the stop does not wait for the two
        client.close()
        await asyncio.wait_for(asyncio.shield(process.ended), 5)
        cluster.may_start.set()
        await recovery.started.wait()
        recovery.may_start.set()
        await wait_until(lambda: cluster.stop_count == recovery.stop_count == 1)

    run_scenario(scenario, World(), cluster=cluster, recovery=recovery)


def test_new_connections_are_served_for_a_while_after_the_stop_signal() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        process.stop()
        client = await world.connect_client()
        client.send(b"PING\r\n")
        assert await client.read_line() == b"ERR\r\n"
        opened, _ = await world.open_tunnel()
        assert process.now() < process.reducer.stop_requested_at + STOP_ACCEPT_SECONDS
        assert await opened.read_to_end() == b"MOVE\r\n"

    run_scenario(scenario, World())


# Signals at an exact step of a real process: code that runs in it makes it send them to itself there.

SIGTERM_ON_LISTEN = """
import os, signal
from pointgw.net.run.listener import Listener

real = Listener.open

def listen(self, address):
    real(self, address)
    os.kill(os.getpid(), signal.SIGTERM)

Listener.open = listen
"""
SIGHUP_ON_IMPORT = """
import builtins, os, signal, sys
real, sent = builtins.__import__, []

def load(name, *args, **kwargs):
    if name == "pointgw.net.run.daemon" and not sent:
        sent.append(os.kill(os.getpid(), signal.SIGHUP))
    return real(name, *args, **kwargs)

builtins.__import__ = load
"""
SIGHUP_AFTER_READING_FILE = """
import os, signal
import pointgw.net.run.daemon as daemon
read, sent = daemon.parse_start_up_file, []

def read_with_signal(data):
    settings = read(data)
    if not sent:
        os.replace(os.environ["GW_CONFIG"] + ".next", os.environ["GW_CONFIG"])
        sent.append(os.kill(os.getpid(), signal.SIGHUP))
    return settings

daemon.parse_start_up_file = read_with_signal
"""


Child = subprocess.Popen[bytes]


async def start_daemon(world: World, tmp_path: Path, patch: str, discovery: int | None = None) -> Child:
    """Starts a balancer process that runs the code `patch` first. `discovery`: its port in the start-up file
    that replaces the first one."""
    await world.start()
    path = tmp_path / "config.json"
    path.write_bytes(world.start_up_file())
    if discovery is not None:
        next_file = world.start_up_file().replace(b':%d"' % world.discovery.port, b':%d"' % discovery)
        (tmp_path / "config.json.next").write_bytes(next_file)
    code = patch + "\nimport sys\nfrom pointgw.__main__ import main\nsys.exit(main())\n"
    env = os.environ | {"GW_CONFIG": str(path)}
    root = Path(__file__).resolve().parents[2]
    return subprocess.Popen([sys.executable, "-c", code], env=env, cwd=root, stderr=subprocess.DEVNULL)


async def wait_for_exit(child: subprocess.Popen[bytes]) -> int:
    return await asyncio.wait_for(asyncio.to_thread(child.wait), 10)


def run_process_scenario(scenario: Any) -> None:
    async def main() -> None:
        world = World()
        children: list[Child] = []
        try:
            async with asyncio.timeout(20):
                await scenario(world, children)
        finally:
            for child in children:
                if child.poll() is None:
                    child.kill()
                    child.wait()
            world.stop()

    asyncio.run(main())


def test_a_sigterm_as_the_listener_opens_is_an_orderly_stop(tmp_path: Path) -> None:
    async def scenario(world: World, children: list[Child]) -> None:
        children.append(await start_daemon(world, tmp_path, SIGTERM_ON_LISTEN))
        assert await wait_for_exit(children[0]) == 0

    run_process_scenario(scenario)


def test_a_sighup_during_imports_does_not_end_the_process(tmp_path: Path) -> None:
    async def scenario(world: World, children: list[Child]) -> None:
        children.append(await start_daemon(world, tmp_path, SIGHUP_ON_IMPORT))
        await world.discovery.next_request()
        children[0].terminate()
        assert await wait_for_exit(children[0]) == 0

    run_process_scenario(scenario)


def test_a_sighup_just_after_the_file_was_read_is_not_lost(tmp_path: Path) -> None:
    async def scenario(world: World, children: list[Child]) -> None:
        new_discovery = type(world.discovery)()
        await new_discovery.start()
        children.append(await start_daemon(world, tmp_path, SIGHUP_AFTER_READING_FILE, new_discovery.port))
        request = await new_discovery.next_request()  # named in the new file
        assert b"from=" not in request.head
        new_discovery.stop()

    run_process_scenario(scenario)
