"""The end of a balancer and what crosses it: requests, answers, slow readers, signals."""

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
from pointgw.net.run.balancer_process import BalancerProcess

STALL = {"setupGoal": 100.0, "clientTimeout": 300.0}  # the shortest stop: 0.9 s


def test_a_loop_that_stands_still_over_the_whole_stop_still_moves_and_answers() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, _ = await world.open_tunnel("one")
        loop.before_connect = asyncio.Event()
        waiting = await world.connect_client()
        waiting.send(open_line("two", 300))
        await loop.connect_pending.wait()
        process.stop()
        time.sleep(process.reducer.stop_time_limit + 0.1)  # nothing of ours runs meanwhile
        assert await client.read_to_end() == b"MOVE\r\n"
        assert await waiting.read_to_end() in (b"BUSY\r\n", b"ERR\r\n")
        await asyncio.wait_for(process.ended, 2)

    run_scenario(scenario, World(profile=STALL))


@pytest.mark.parametrize("crosses", [True, False])
def test_one_that_rests_is_ended_in_order_and_what_crosses_that_is_not_sent_on(crosses: bool) -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(b"PING\r\n")
        assert await client.read_line() == b"PONG\r\n"
        process.stop()
        if crosses:  # after our end, and before the client has read it
            await wait_until(lambda: process.connections.lingering)
            client.send(open_line())
            await run_loop_iterations()
        got = await client.read_to_end()  # guards against a reset that takes the answer with it
        assert got == b"BUSY\r\n" and not world.server_received_data()
        client.close()
        await asyncio.wait_for(process.ended, 5)

    run_scenario(scenario, World())


def test_a_request_on_a_resting_connection_in_the_moment_of_its_end_is_answered() -> None:
    """Its line is in the balancer's socket, and not read, as the resting ones are ended."""

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        await wait_until(lambda: process.connections.idle)
        do = process._execute

        def hold(effect: Any) -> None:
            if isinstance(effect, effects.CloseIdleClients) and not client.writer.is_closing():
                client.sock.setblocking(False)
                os.write(client.sock.fileno(), open_line())
            do(effect)

        process._execute = hold  # type: ignore[method-assign]
        process.stop()
        assert await client.read_to_end() == b"BUSY\r\n"
        assert not world.server_received_data()

    run_scenario(scenario, World())


def test_one_in_the_accept_backlog_as_the_balancer_leaves_is_answered() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        late: list[socket.socket] = []
        do = process._execute

        def hold(effect: Any) -> None:
            if isinstance(effect, effects.ExitProcess) and not late:
                late.append(socket.create_connection(("127.0.0.1", world.listen_port)))
                late[0].sendall(open_line())
            do(effect)

        process._execute = hold  # type: ignore[method-assign]
        process.stop()
        await wait_until(lambda: late)
        late[0].setblocking(False)
        got = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(late[0], 100), 3)
        assert got == b"BUSY\r\n"
        late[0].close()
        await asyncio.wait_for(process.ended, 5)

    run_scenario(scenario, World())


def test_a_slow_reader_gets_its_last_lines_and_the_move() -> None:
    lines = b"".join(b"%07d" % i + b"x" * 1000 + b"\r\n" for i in range(4000))

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        client.pause_reading()
        server.send(lines)
        (protocol,) = process.clients.values()
        await wait_until(lambda: protocol.transport.get_write_buffer_size() > 0)
        await run_loop_iterations(100)
        process.stop()
        await wait_until(lambda: protocol in process.connections.lingering)
        await asyncio.sleep(0.5)  # twice what it was given before
        client.resume_reading()
        got = await client.read_to_end()
        assert got.endswith(b"\r\nMOVE\r\n") and lines.startswith(got.removesuffix(b"MOVE\r\n"))

    run_scenario(scenario, World())


def test_a_final_answer_reaches_a_client_that_has_sent_a_flood() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client = await world.connect_client()
        client.send(open_line() + b"y" * 3_000_000)
        assert await client.read_to_end() == b"ERR\r\n"

    run_scenario(scenario, World())


def test_one_that_is_moved_and_comes_back_within_the_stop_is_told_to_go_elsewhere() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, _ = await world.open_tunnel("one")
        process.stop()
        assert await client.read_to_end() == b"MOVE\r\n"
        client.close()
        again = await world.connect_client()
        again.send(open_line("two", extra=",again=1"))
        assert await again.read_to_end() == b"BUSY\r\n"
        assert len([c for stand_in in world.servers for c in stand_in.connections]) == 1

    run_scenario(scenario, World())


def test_a_hung_setup_gets_one_answer_before_the_process_may_be_killed() -> None:
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


def test_signals_while_stopping_change_nothing() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, server = await world.open_tunnel()
        before = process.discovery
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: process.stopping)
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)
        server.send(b"on\r\n")
        assert await client.read_line() == b"on\r\n"
        assert await client.read_to_end() == b"MOVE\r\n"
        client.close()
        await asyncio.wait_for(process.ended, 5)
        assert process.discovery is before

    run_scenario(scenario, World())


def test_a_term_while_the_file_is_read_again_is_a_stop_after_it() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        client, _ = await world.open_tunnel()
        again = process.read_settings

        def read() -> Any:
            os.kill(os.getpid(), signal.SIGTERM)
            return again()

        process.read_settings = read
        os.kill(os.getpid(), signal.SIGHUP)
        assert await client.read_to_end() == b"MOVE\r\n"
        client.close()
        await asyncio.wait_for(process.ended, 5)

    run_scenario(scenario, World())


class Slow:
    """What stands beside a balancer and takes its time, at its start and at its end."""

    transport = None

    def __init__(self) -> None:
        self.began, self.go, self.stopped = asyncio.Event(), asyncio.Event(), 0

    async def start(self, *_: Any) -> None:
        self.began.set()
        os.kill(os.getpid(), signal.SIGTERM)
        await self.go.wait()

    def stop(self) -> None:
        self.stopped += 1


def test_a_term_while_the_tier_or_recovery_begins_answers_all_and_ends_both() -> None:
    tier, recovery = Slow(), Slow()

    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        await tier.began.wait()
        client, _ = await world.open_tunnel()
        assert await client.read_to_end() == b"MOVE\r\n"  # nothing of the stop waits for them
        client.close()
        await asyncio.wait_for(asyncio.shield(process.ended), 5)
        tier.go.set()
        await recovery.began.wait()
        recovery.go.set()
        await wait_until(lambda: tier.stopped == recovery.stopped == 1)

    run_scenario(scenario, World(), cluster=tier, recovery=recovery)


def test_new_connections_are_served_until_they_no_longer_come() -> None:
    async def scenario(process: BalancerProcess, world: World, loop: ControlledLoop) -> None:
        process.stop()
        client = await world.connect_client()
        client.send(b"PING\r\n")
        assert await client.read_line() == b"ERR\r\n"
        opened, _ = await world.open_tunnel()
        assert process.now() < process.reducer.stop_requested_at + STOP_ACCEPT_SECONDS
        assert await opened.read_to_end() == b"MOVE\r\n"

    run_scenario(scenario, World())


# Signals to a real process, which itself tells where it is: it sends them to itself at the named step.

TERM_AS_IT_LISTENS = """
import os, signal
from pointgw.net.run.listener import Listener

real = Listener.open

def listen(self, address):
    real(self, address)
    os.kill(os.getpid(), signal.SIGTERM)

Listener.open = listen
"""
HUP_AS_IT_LOADS = """
import builtins, os, signal, sys
real, sent = builtins.__import__, []

def load(name, *args, **named):
    if name == "pointgw.net.run.daemon" and not sent:
        sent.append(os.kill(os.getpid(), signal.SIGHUP))
    return real(name, *args, **named)

builtins.__import__ = load
"""
HUP_AFTER_THE_FILE_IS_READ = """
import os, signal
import pointgw.net.run.daemon as daemon
read, sent = daemon.parse_start_up_file, []

def start(data):
    told = read(data)
    if not sent:
        os.replace(os.environ["GW_CONFIG"] + ".next", os.environ["GW_CONFIG"])
        sent.append(os.kill(os.getpid(), signal.SIGHUP))
    return told

daemon.parse_start_up_file = start
"""


Child = subprocess.Popen[bytes]


async def start_daemon(world: World, tmp_path: Path, step: str, discovery: int | None = None) -> Child:
    """The daemon as a process of its own, with a step that it takes before; its next file has another
    discovery."""
    await world.start()
    path = tmp_path / "config.json"
    path.write_bytes(world.start_up_file())
    if discovery is not None:
        told = world.start_up_file().replace(b':%d"' % world.discovery.port, b':%d"' % discovery)
        (tmp_path / "config.json.next").write_bytes(told)
    run = step + "\nimport sys\nfrom pointgw.__main__ import main\nsys.exit(main())\n"
    env = os.environ | {"GW_CONFIG": str(path)}
    root = Path(__file__).resolve().parents[2]
    return subprocess.Popen([sys.executable, "-c", run], env=env, cwd=root, stderr=subprocess.DEVNULL)


async def ended(child: subprocess.Popen[bytes]) -> int:
    return await asyncio.wait_for(asyncio.to_thread(child.wait), 10)


def with_process(scenario: Any) -> None:
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


def test_a_term_as_the_listener_stands_is_a_stop_and_no_death(tmp_path: Path) -> None:
    async def scenario(world: World, children: list[Child]) -> None:
        children.append(await start_daemon(world, tmp_path, TERM_AS_IT_LISTENS))
        assert await ended(children[0]) == 0

    with_process(scenario)


def test_a_hup_while_the_program_loads_does_not_end_it(tmp_path: Path) -> None:
    async def scenario(world: World, children: list[Child]) -> None:
        children.append(await start_daemon(world, tmp_path, HUP_AS_IT_LOADS))
        await world.discovery.next_request()
        children[0].terminate()
        assert await ended(children[0]) == 0

    with_process(scenario)


def test_a_hup_after_the_file_was_read_is_not_lost(tmp_path: Path) -> None:
    async def scenario(world: World, children: list[Child]) -> None:
        other = type(world.discovery)()
        await other.start()
        children.append(await start_daemon(world, tmp_path, HUP_AFTER_THE_FILE_IS_READ, other.port))
        call = await other.next_request()  # the one that the new file names
        assert b"from=" not in call.head
        other.stop()

    with_process(scenario)
