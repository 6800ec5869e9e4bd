"""The balancer process against a stand-in for servers and discovery, on loopback."""

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
    """A server and discovery; the server calls `handle_tunnel` once a tunnel's first line has come."""

    def __init__(
        self, handle_tunnel: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        self.handle_tunnel = handle_tunnel
        self.lines: list[bytes] = []
        self.probes = self.calls = self.full_list_calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while line := await reader.readline():
                if line == b"STATS\r\n":
                    self.probes += 1
                    writer.write(b"PONG util=0.2,qps=1,x0=0.2\r\n")
                else:
                    self.lines.append(line)
                    await self.handle_tunnel(reader, writer)
                    break
        writer.close()

    async def discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.calls += 1
                self.full_list_calls += b"from=" not in head
                await asyncio.sleep(30.0 if b"hold_ms=5000" in head else 0.0)
                data = b'{"index":1,"snapshot":false,"endpoints":[]}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"UP r-1\r\nLOAD 500\r\n")
    while line := await reader.readline():
        writer.write(line)


def start_up_file(servers: int, discovery: int, listen: int) -> bytes:
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
PROXIES: dict[str, Script | None] = {
    "no proxy": None,
    "proxy": Script(),
    "proxy with 20 ms": Script((DELAY,)),
}


@pytest.fixture(params=list(PROXIES))
def proxy_script(request: pytest.FixtureRequest) -> Script | None:
    """Script of the fault proxies in front of the balancer and of the servers; None: no proxies."""
    return PROXIES[request.param]


def run_scene(
    handle_tunnel: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    scene: Callable[[BalancerProcess, StandIn, Callable[[], Awaitable[Streams]]], Awaitable[None]],
    proxy_script: Script | None = None,
) -> None:
    """Runs a scene with a balancer, a stand-in and a function that connects a client."""

    async def main() -> None:
        stand_in = StandIn(handle_tunnel)
        servers = await asyncio.start_server(stand_in.serve, "127.0.0.1", 0)
        discovery = await asyncio.start_server(stand_in.discover, "127.0.0.1", 0)
        listen = free_port()
        ports = [server.sockets[0].getsockname()[1] for server in (servers, discovery)]
        address = ("127.0.0.1", listen)
        proxies = (
            [FaultProxy(proxy_script, 1, ("127.0.0.1", ports[0])), FaultProxy(proxy_script, 1, address)]
            if proxy_script is not None
            else []
        )
        if proxies:
            ports[0], address = (await proxies[0].start())[1], await proxies[1].start()
        start_up = parse_start_up_file(start_up_file(ports[0], ports[1], listen))
        process = BalancerProcess(start_up, asyncio.get_running_loop(), lambda: start_up)
        serving = asyncio.create_task(process.serve())
        await asyncio.sleep(0.1)
        async with asyncio.timeout(10):
            await scene(process, stand_in, lambda: asyncio.open_connection(*address))
        if not process.ended.done():
            process.ended.set_result(None)
        await serving
        for proxy in proxies:
            await proxy.stop()

    uvloop.run(main())


async def opened(connect: Callable[[], Awaitable[Streams]]) -> Streams:
    reader, writer = await connect()
    writer.write(OPEN)
    assert await reader.readline() == b"UP r-1\r\n"
    assert await reader.readline() == b"LOAD 500\r\n"
    return reader, writer


def test_lines_pass_both_ways_and_the_clients_end_reaches_the_server(proxy_script: Script | None) -> None:
    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await connect()
        writer.write(b"PING\r\n")
        assert await reader.readline() == b"PONG\r\n"
        reader, writer = await opened(connect)
        writer.write(b"hel")
        await asyncio.sleep(0.05)
        writer.write(b"lo\r\n")
        assert await reader.readline() == b"hello\r\n"
        assert next(iter(process.reducer.clients.values())).tunnel.load == pytest.approx(500 / 1e6)
        assert stand_in.lines[0].startswith(OPEN[:31]) and b"d=1500" not in stand_in.lines[0]
        assert stand_in.calls == 2 and stand_in.probes >= 1
        writer.close()
        await asyncio.sleep(0.1)
        assert not process.servers and not process.clients and not process.reducer.clients

    run_scene(echo, scene, proxy_script)


def test_a_slow_client_stops_reading_from_its_server_and_no_data_is_lost(proxy_script: Script | None) -> None:
    lines = b"".join(b"%08d" % i + b"x" * 990 + b"\r\n" for i in range(20000))

    async def flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\n" + lines + b"BYE\r\n")
        await writer.drain()

    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, _ = await opened(connect)
        await asyncio.sleep(0.3)
        (client,) = process.clients.values()
        # Guards the memory limit: the server is not read while its client does not read.
        assert client.transport.get_write_buffer_size() < 1_000_000
        assert await reader.read(-1) == lines + b"BYE\r\n"

    run_scene(flood, scene, proxy_script)


def test_a_move_never_splits_a_line_and_closes_both_connections(proxy_script: Script | None) -> None:
    closed = asyncio.Event()

    async def half_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\nwhole\r\nhal")
        assert await reader.read(-1) is not None
        closed.set()

    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await opened(connect)
        assert await reader.readline() == b"whole\r\n"
        writer.write(b"unread")  # guards against a reset by unread data, which would lose the MOVE
        process.stop()
        assert await reader.read(-1) == b"MOVE\r\n"
        await closed.wait()
        await process.ended

    run_scene(half_line, scene, proxy_script)


@pytest.mark.parametrize(
    ("last_line", "received"), [(b"BYE x0=1\r\n", b"BYE x0=1\r\n"), (b"MOVE\r\n", b"MOVE\r\n"), (b"", b"")]
)
def test_the_servers_end_reaches_the_client(
    last_line: bytes, received: bytes, proxy_script: Script | None
) -> None:
    async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\n" + last_line)

    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, _ = await opened(connect)
        assert await reader.read(-1) == received

    run_scene(end, scene, proxy_script)


def test_a_reset_by_the_server_ends_the_clients_connection(proxy_script: Script | None) -> None:
    async def abort(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\n")
        await asyncio.sleep(0.1)
        writer.transport.abort()

    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await opened(connect)
        writer.write(b"x" * 100_000)  # unread at the server, whose abort is thus a reset
        with suppress(ConnectionResetError):
            assert await reader.read(-1) == b""

    run_scene(abort, scene, proxy_script)


def test_a_client_is_answered_in_time_where_no_setup_is(
    proxy_script: Script | None,
) -> None:
    async def no_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(5)

    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await connect()
        writer.write(OPEN)
        started = process.now()
        assert await reader.read(-1) in (b"BUSY\r\n", b"ERR\r\n")
        assert process.now() - started < 1.5

    run_scene(no_answer, scene, proxy_script)


def test_a_client_of_a_silent_server_gets_a_move(proxy_script: Script | None) -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"UP r-1\r\nLOAD 500\r\n")
        await asyncio.sleep(8)

    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await opened(connect)
        writer.write(b"anyone?\r\n")
        assert await reader.read(-1) == b"MOVE\r\n"

    run_scene(silent, scene, proxy_script)


@pytest.mark.parametrize(
    "line",
    [b"GET / HTTP/1.1\r\n", b"x" * 5000, b"OPEN 1 2 c=other,d=50\r\n", b"\xff\r\n", b"OPEN 1", OPEN + OPEN,
     b"PING\r\n" + OPEN, b"x" * 5_000_000],
)  # fmt: skip
def test_a_malformed_request_is_answered_with_an_error(line: bytes, proxy_script: Script | None) -> None:
    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await connect()
        writer.write(line)
        if not line.endswith(b"\n"):
            writer.write_eof()
        assert await reader.read(-1) == b"ERR\r\n"
        assert not stand_in.lines

    run_scene(echo, scene, proxy_script)


def test_a_client_that_sends_more_before_its_answer_is_refused_and_its_setup_ended(
    proxy_script: Script | None,
) -> None:
    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.read(-1) == b""

    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await connect()
        writer.write(OPEN)
        await asyncio.sleep(0.05)
        writer.write(OPEN)
        assert await reader.read(-1) == b"ERR\r\n"
        assert not process.servers and not process.reducer.clients

    run_scene(slow, scene, proxy_script)


def test_clients_without_a_request_are_closed_by_a_timeout_and_for_lack_of_descriptors(
    proxy_script: Script | None,
) -> None:
    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        process.first_line_timeout = 0.3
        reader, _ = await connect()
        assert await reader.read(-1) == b"ERR\r\n"
        process.first_line_timeout, process.descriptor_budget = 60.0, 8
        silent = [await connect() for _ in range(30)]
        await opened(connect)
        # Guards against a process without a descriptor left for a client that has a request.
        assert len(process.connections.idle) <= 8 and process.refusals["no descriptors"] >= 20
        assert await silent[0][0].read(-1) == b"BUSY\r\n"  # not ERR: its request may be on its way

    run_scene(echo, scene, proxy_script)


@pytest.mark.parametrize(("report", "bad"), [(b"x0=0.2", 0), (b"x0=-1", 1), (b"x0=nan", 1), (b"x0", 1)])
def test_a_report_out_of_range_is_refused_and_counted(report: bytes, bad: int) -> None:
    async def bye(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"BYE " + report + b"\r\n")

    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await connect()
        writer.write(OPEN)
        await reader.readline()
        assert process.refusals["bad report"] >= bad and (bad or not process.refusals)
        writer.close()

    run_scene(bye, scene)


def test_a_reload_switches_discovery_and_ends_no_tunnel(tmp_path: Any, proxy_script: Script | None) -> None:
    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        reader, writer = await opened(connect)
        other = StandIn(echo)
        server = await asyncio.start_server(other.discover, "127.0.0.1", 0)
        path = tmp_path / "config.json"
        process.read_settings = lambda: parse_start_up_file(path.read_bytes())
        path.write_bytes(b"{")
        os.kill(os.getpid(), signal.SIGHUP)  # guards against an invalid file: it changes nothing
        await asyncio.sleep(0.1)
        assert other.calls == 0
        path.write_bytes(start_up_file(1, server.sockets[0].getsockname()[1], 1))
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert other.calls == 2 and other.full_list_calls == 1
        writer.write(b"on\r\n")
        assert await reader.readline() == b"on\r\n"
        server.close()

    run_scene(echo, scene, proxy_script)


def test_one_timer_is_pending_at_a_time(proxy_script: Script | None) -> None:
    # Guards the CPU against replaced timers that are not cancelled and each set another.
    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        due_count = 0

        def count_due(event: Event, now: float) -> list[Effect]:
            nonlocal due_count
            due_count += isinstance(event, TimerDue)
            return []

        process.reducer.dispatch = count_due  # type: ignore[method-assign]
        for delay in (0.3, 0.2, 0.0, 0.1):
            process._execute_all([SetTimer(delay)])
        await asyncio.sleep(0.4)
        assert due_count == 1

    run_scene(echo, scene, proxy_script)


def test_an_exception_in_the_decisions_ends_one_tunnel_and_not_the_balancer(
    monkeypatch: Any, proxy_script: Script | None
) -> None:
    async def scene(
        process: BalancerProcess, stand_in: StandIn, connect: Callable[[], Awaitable[Streams]]
    ) -> None:
        with monkeypatch.context() as patch:
            patch.setattr(process.reducer.balancer, "tunnel_arrived", lambda *_: 1 // 0)
            reader, writer = await connect()
            writer.write(OPEN)
            assert await reader.read(-1) == b"ERR\r\n"
        await opened(connect)

    run_scene(echo, scene, proxy_script)


def test_a_failed_start_prints_one_plain_line(tmp_path: Any, monkeypatch: Any, capfd: Any) -> None:
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        for data, message in (
            (b"{", "start-up JSON"),
            (start_up_file(1, 2, taken.getsockname()[1]), "in use"),
        ):
            path.write_bytes(data)
            monkeypatch.setenv("GW_CONFIG", str(path))
            monkeypatch.setattr("pointgw.net.run.log.configure", lambda level: None)
            assert main() > 0
            plain = [line for line in capfd.readouterr().err.splitlines() if line.startswith("pointgw: ")]
            assert len(plain) == 1 and message in plain[0]


def test_log_lines_are_key_and_value() -> None:
    record = logging.LogRecord("a.b", logging.INFO, "", 0, "state", None, None)
    record.fields = {"open": 3, "why": 'no "answer"', "c": 0.51234}
    shown = KeyValueFormatter().format(record)
    assert shown.endswith('level=info from=a.b event=state open=3 why="no \\"answer\\"" c=0.5123')
