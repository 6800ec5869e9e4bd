"""The sockets' side against a stand-in for servers and discovery, on loopback."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import pytest
import uvloop

from pointgw.__main__ import main
from pointgw.fault_proxy.proxy import FaultProxy
from pointgw.fault_proxy.script import Rule, Script
from pointgw.net.core.effects import Effect, SetTimer
from pointgw.net.core.events import Event, TimerDue
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.run.log import KeyValueFormatter
from pointgw.net.wire.start_up import parse_start_up_file

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
OPEN = b"OPEN 9b1f 7f3a c=chat,t=acme,d=1500,g=5c0f\r\n"


class StandIn:
    """A server and discovery; `play` is what the server does with a tunnel once its first line came."""

    def __init__(self, play: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self.play = play
        self.lines: list[bytes] = []
        self.probes = self.calls = self.whole = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while line := await reader.readline():
                if line == b"STATS\r\n":
                    self.probes += 1
                    writer.write(b"PONG util=0.2,qps=1,x0=0.2\r\n")
                else:
                    self.lines.append(line)
                    await self.play(reader, writer)
                    break
        writer.close()

    async def discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.calls += 1
                self.whole += b"from=" not in head
                await asyncio.sleep(30.0 if b"hold_ms=5000" in head else 0.0)
                data = b'{"index":1,"snapshot":false,"endpoints":[]}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"UP r-1\r\nLOAD 500\r\n")
    while line := await reader.readline():
        writer.write(line)


def told(servers: int, discovery: int, listen: int) -> bytes:
    endpoint = {
        "name": "s-1", "address": f"127.0.0.1:{servers}", "zone": "a", "type": "m", "group": 0,
        "status": "up", "weight": 1.0, "since_ms": 0,
    }  # fmt: skip
    profile = {"name": "chat", "semantics": "pure", "setupGoal": 200.0, "clientTimeout": 1500.0}
    settings = {
        "zones": ["a"], "kinds": ["m"], "profiles": [profile], "tenants": [{"name": "acme"}],
        "membershipMode": "subscribe", "report": {"fields": ["busy", "rate", "x0"]},
        "prices": {"probe": 0.005},
        "limits": {"maxSetups": 3, "probes": True, "mayCancel": True, "connectTimeout": 120.0},
        "rules": {"askEvery": 10000.0},
    }  # fmt: skip
    known = {"index": 1, "snapshot": True, "endpoints": [endpoint]}
    addresses = {"listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}"}
    start_up = {"name": "n0", "seed": "8c1f", "known": known, "settings": settings}
    return json.dumps(start_up | addresses).encode()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


DELAY = Rule(act="delay", seconds=0.02)
WAYS: dict[str, Script | None] = {"straight": None, "box": Script(), "box with 20 ms": Script((DELAY,))}


@pytest.fixture(params=list(WAYS))
def way(request: pytest.FixtureRequest) -> Script | None:
    """What stands between clients and balancer, and between balancer and servers."""
    return WAYS[request.param]


def with_node(
    play: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    scene: Callable[[BalancerProcess, StandIn, Callable[[], Awaitable[Streams]]], Awaitable[None]],
    way: Script | None = None,
) -> None:
    async def main() -> None:
        stand_in = StandIn(play)
        servers = await asyncio.start_server(stand_in.serve, "127.0.0.1", 0)
        discovery = await asyncio.start_server(stand_in.discover, "127.0.0.1", 0)
        listen = free_port()
        ports = [server.sockets[0].getsockname()[1] for server in (servers, discovery)]
        door = ("127.0.0.1", listen)
        boxes = (
            [FaultProxy(way, 1, ("127.0.0.1", ports[0])), FaultProxy(way, 1, door)] if way is not None else []
        )
        if boxes:
            ports[0], door = (await boxes[0].start())[1], await boxes[1].start()
        told_at_start = parse_start_up_file(told(ports[0], ports[1], listen))
        node = BalancerProcess(told_at_start, asyncio.get_running_loop(), lambda: told_at_start)
        serving = asyncio.create_task(node.serve())
        await asyncio.sleep(0.1)
        async with asyncio.timeout(10):
            await scene(node, stand_in, lambda: asyncio.open_connection(*door))
        if not node.ended.done():
            node.ended.set_result(None)
        await serving
        for box in boxes:
            await box.stop()

    uvloop.run(main())


async def opened(client: Callable[[], Awaitable[Streams]]) -> Streams:
    reader, writer = await client()
    writer.write(OPEN)
    assert await reader.readline() == b"UP r-1\r\n"
    assert await reader.readline() == b"LOAD 500\r\n"
    return reader, writer


def test_lines_pass_both_ways_and_the_clients_end_reaches_the_server(way: Script | None) -> None:
    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await client()
        writer.write(b"PING\r\n")
        assert await reader.readline() == b"PONG\r\n"
        reader, writer = await opened(client)
        writer.write(b"hel")
        await asyncio.sleep(0.05)
        writer.write(b"lo\r\n")
        assert await reader.readline() == b"hello\r\n"
        assert next(iter(node.reducer.clients.values())).tunnel.load == pytest.approx(500 / 1e6)
        assert there.lines[0].startswith(OPEN[:31]) and b"d=1500" not in there.lines[0]
        assert there.calls == 2 and there.probes >= 1
        writer.close()
        await asyncio.sleep(0.1)
        assert not node.servers and not node.clients and not node.reducer.clients

    with_node(echo, scene, way)


def test_much_data_is_held_back_for_a_slow_reader_and_none_is_lost(way: Script | None) -> None:
    lines = b"".join(b"%08d" % i + b"x" * 990 + b"\r\n" for i in range(20000))

    async def flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\n" + lines + b"BYE\r\n")
        await writer.drain()

    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, _ = await opened(client)
        await asyncio.sleep(0.3)
        (side,) = node.clients.values()
        # Guards the memory limit: the server is not read while its client does not read.
        assert side.transport.get_write_buffer_size() < 1_000_000
        assert await reader.read(-1) == lines + b"BYE\r\n"

    with_node(flood, scene, way)


def test_a_move_stands_between_two_lines_and_ends_both_sides(way: Script | None) -> None:
    gone = asyncio.Event()

    async def half(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\nwhole\r\nhal")
        assert await reader.read(-1) is not None
        gone.set()

    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await opened(client)
        assert await reader.readline() == b"whole\r\n"
        writer.write(b"unread")  # Guards against a reset that takes the MOVE with it.
        node.stop()
        assert await reader.read(-1) == b"MOVE\r\n"
        await gone.wait()
        await node.ended

    with_node(half, scene, way)


@pytest.mark.parametrize(
    ("last", "got"), [(b"BYE x0=1\r\n", b"BYE x0=1\r\n"), (b"MOVE\r\n", b"MOVE\r\n"), (b"", b"")]
)
def test_the_servers_end_reaches_the_client(last: bytes, got: bytes, way: Script | None) -> None:
    async def bye(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\n" + last)

    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, _ = await opened(client)
        assert await reader.read(-1) == got

    with_node(bye, scene, way)


def test_a_broken_server_breaks_its_client(way: Script | None) -> None:
    async def broken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\n")
        await asyncio.sleep(0.1)
        writer.transport.abort()

    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await opened(client)
        writer.write(b"x" * 100_000)  # unread at the server: its end is a reset
        with suppress(ConnectionResetError):
            assert await reader.read(-1) == b""

    with_node(broken, scene, way)


def test_a_server_that_answers_nothing_costs_its_setups_and_then_the_client_is_answered(
    way: Script | None,
) -> None:
    async def nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(5)

    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await client()
        writer.write(OPEN)
        began = node.now()
        assert await reader.read(-1) in (b"BUSY\r\n", b"ERR\r\n")
        assert node.now() - began < 1.5

    with_node(nothing, scene, way)


def test_a_silent_server_is_left_with_a_move(way: Script | None) -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\n")
        await asyncio.sleep(8)

    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await opened(client)
        writer.write(b"anyone?\r\n")
        assert await reader.read(-1) == b"MOVE\r\n"

    with_node(silent, scene, way)


@pytest.mark.parametrize(
    "line",
    [b"GET / HTTP/1.1\r\n", b"x" * 5000, b"OPEN 1 2 c=other,d=50\r\n", b"\xff\r\n", b"OPEN 1", OPEN + OPEN,
     b"PING\r\n" + OPEN, b"x" * 5_000_000],
)  # fmt: skip
def test_what_cannot_be_read_is_answered_with_an_error(line: bytes, way: Script | None) -> None:
    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await client()
        writer.write(line)
        if not line.endswith(b"\n"):
            writer.write_eof()
        assert await reader.read(-1) == b"ERR\r\n"
        assert not there.lines

    with_node(echo, scene, way)


def test_one_that_goes_on_before_its_answer_is_refused_and_its_setup_given_up(way: Script | None) -> None:
    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.read(-1) == b""

    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await client()
        writer.write(OPEN)
        await asyncio.sleep(0.05)
        writer.write(OPEN)
        assert await reader.read(-1) == b"ERR\r\n"
        assert not node.servers and not node.reducer.clients

    with_node(slow, scene, way)


def test_clients_that_say_nothing_are_ended_by_the_clock_and_for_those_that_do_speak(
    way: Script | None,
) -> None:
    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        node.first_line_timeout = 0.3
        reader, _ = await client()
        assert await reader.read(-1) == b"ERR\r\n"
        node.first_line_timeout, node.descriptor_budget = 60.0, 8
        silent = [await client() for _ in range(30)]
        await opened(client)
        # Guards against a process that has no descriptor left for a client that speaks.
        assert len(node.connections.idle) <= 8 and node.refusals["no descriptors"] >= 20
        assert await silent[0][0].read(-1) == b"BUSY\r\n"  # its line may be on its way

    with_node(echo, scene, way)


@pytest.mark.parametrize(("report", "bad"), [(b"x0=0.2", 0), (b"x0=-1", 1), (b"x0=nan", 1), (b"x0", 1)])
def test_a_report_out_of_range_is_refused_and_counted(report: bytes, bad: int) -> None:
    async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"BYE " + report + b"\r\n")

    async def scene(
        node: BalancerProcess, stand_in: StandIn, client: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await client()
        writer.write(OPEN)
        await reader.readline()
        assert node.refusals["bad report"] >= bad and (bad or not node.refusals)
        writer.close()

    with_node(play, scene)


def test_a_reload_turns_to_another_discovery_and_ends_no_tunnel(tmp_path: Any, way: Script | None) -> None:
    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await opened(client)
        other = StandIn(echo)
        server = await asyncio.start_server(other.discover, "127.0.0.1", 0)
        path = tmp_path / "config.json"
        node.read_settings = lambda: parse_start_up_file(path.read_bytes())
        path.write_bytes(b"{")
        os.kill(os.getpid(), signal.SIGHUP)  # guards against a file that can't be read: nothing changes
        await asyncio.sleep(0.1)
        assert other.calls == 0
        path.write_bytes(told(1, server.sockets[0].getsockname()[1], 1))
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert other.calls == 2 and other.whole == 1
        writer.write(b"on\r\n")
        assert await reader.readline() == b"on\r\n"
        server.close()

    with_node(echo, scene, way)


def test_one_timer_is_out_at_a_time(way: Script | None) -> None:
    # Guards the CPU against timers that were overtaken and each set another.
    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        ticks = 0

        def take(event: Event, now: float) -> list[Effect]:
            nonlocal ticks
            ticks += isinstance(event, TimerDue)
            return []

        node.reducer.dispatch = take  # type: ignore[method-assign]
        for delay in (0.3, 0.2, 0.0, 0.1):
            node._execute_all([SetTimer(delay)])
        await asyncio.sleep(0.4)
        assert ticks == 1

    with_node(echo, scene, way)


def test_a_fault_of_the_decisions_ends_one_tunnel_and_not_the_balancer(
    monkeypatch: Any, way: Script | None
) -> None:
    async def scene(node: BalancerProcess, there: StandIn, client: Callable[[], Awaitable[Streams]]) -> None:
        with monkeypatch.context() as patch:
            patch.setattr(node.reducer.balancer, "tunnel_arrived", lambda *_: 1 // 0)
            reader, writer = await client()
            writer.write(OPEN)
            assert await reader.read(-1) == b"ERR\r\n"
        await opened(client)

    with_node(echo, scene, way)


def test_a_start_that_cannot_be_gets_one_plain_line(tmp_path: Any, monkeypatch: Any, capfd: Any) -> None:
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        for data, says in ((b"{", "start-up JSON"), (told(1, 2, taken.getsockname()[1]), "in use")):
            path.write_bytes(data)
            monkeypatch.setenv("GW_CONFIG", str(path))
            monkeypatch.setattr("pointgw.net.run.log.configure", lambda level: None)
            assert main() > 0
            plain = [line for line in capfd.readouterr().err.splitlines() if line.startswith("pointgw: ")]
            assert len(plain) == 1 and says in plain[0]


def test_log_lines_are_key_and_value() -> None:
    record = logging.LogRecord("a.b", logging.INFO, "", 0, "state", None, None)
    record.fields = {"open": 3, "why": 'no "answer"', "c": 0.51234}
    shown = KeyValueFormatter().format(record)
    assert shown.endswith('level=info from=a.b event=state open=3 why="no \\"answer\\"" c=0.5123')
