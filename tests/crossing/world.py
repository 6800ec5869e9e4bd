"""A balancer in the test's own event loop, and stand-ins for servers and discovery that the test steps."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import uvloop

from pointgw.net.invariant import violations
from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.wire.start_up import parse_start_up_file

PROFILE = {"name": "chat", "semantics": "pure", "setupGoal": 200.0, "clientTimeout": 1500.0, "group": "all"}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, with a timeout of 0 seconds


def open_line(request_id: str = "9b1f", timeout_ms: int = 1500, extra: str = "") -> bytes:
    """A client's request line."""
    return f"OPEN {request_id} 7f3a c=chat,t=acme,d={timeout_ms},g=5c0f{extra}\r\n".encode()


class Connection:
    """The test's end of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_line(self) -> bytes:
        return await asyncio.wait_for(self.reader.readline(), 5)

    async def read_to_end(self) -> bytes:
        """Reads to the end of the stream. Raises ConnectionResetError if the connection is reset."""
        return await asyncio.wait_for(self.reader.read(-1), 5)

    def send_eof(self) -> None:
        self.writer.write_eof()

    def pause_reading(self) -> None:
        """Stops reading from the socket until `resume_reading`."""
        transport: Any = self.writer.transport
        transport.pause_reading()

    def resume_reading(self) -> None:
        transport: Any = self.writer.transport
        transport.resume_reading()

    def reset(self) -> None:
        """Closes the connection with RST."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()

    @property
    def sock(self) -> Any:
        return self.writer.get_extra_info("socket")


class StandIn:
    """A listening stand-in that queues each accepted connection for the test."""

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[Connection] = asyncio.Queue()
        self.connections: list[Connection] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.append(connection)
        self.accepted.put_nowait(connection)

    async def next_connection(self) -> Connection:
        return await asyncio.wait_for(self.accepted.get(), 5)

    def stop(self) -> None:
        self.server.close()
        for connection in self.connections:
            with suppress(Exception):
                connection.writer.transport.abort()


class ListRequest:
    """One HTTP request to discovery; `head`: its request line and headers."""

    def __init__(self, connection: Connection, head: bytes) -> None:
        self.connection, self.head = connection, head

    def respond(self, body: bytes, status: bytes = b"200 OK") -> None:
        self.connection.send(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def send_list(self, version: int, *entries: dict[str, Any], full: bool = False) -> None:
        """Answers with list entries: with changes, or with the `full` list."""
        answer = {"index": version, "snapshot": full, "endpoints": list(entries)}
        self.respond(json.dumps(answer).encode())


class Discovery(StandIn):
    """The stand-in for discovery."""

    async def next_request(self, connection: Connection | None = None) -> ListRequest:
        """The next request on `connection`, or on a new one where that is None or has ended."""
        connection = connection or await self.next_connection()
        try:
            head = await asyncio.wait_for(connection.reader.readuntil(b"\r\n\r\n"), 10)
        except (asyncio.IncompleteReadError, ConnectionError):
            return await self.next_request()
        return ListRequest(connection, head)


class ControlledLoop:
    """An event loop whose `create_connection` waits for the test before or after it connects."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        # Waited for before connecting.
        self.before_connect: asyncio.Event | None = None
        # Waited for once connected, before the caller gets the result.
        self.after_connect: asyncio.Event | None = None
        self.connect_pending = asyncio.Event()  # set while a connect waits for one of the two
        self.connected = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Any, *address: Any) -> Any:
        if self.before_connect is not None:
            self.connect_pending.set()
            await self.before_connect.wait()
        result = await self.loop.create_connection(factory, *address)
        self.connected.set()
        if self.after_connect is not None:
            self.connect_pending.set()
            await self.after_connect.wait()
        return result


class World:
    """Stand-ins for servers and discovery, the start-up settings of a balancer, and its clients.

    `limits`, `rules`, `profile`: settings that differ from the defaults; `mode`: the membership mode;
    `known_servers`: how many of the servers the start-up file's list has (all by default).
    """

    def __init__(
        self, servers: int = 2, limits: dict[str, Any] | None = None, rules: dict[str, Any] | None = None,
        profile: dict[str, Any] | None = None, mode: str = "subscribe", probes: bool = False,
        known_servers: int | None = None,
    ) -> None:  # fmt: skip
        self.known_servers = servers if known_servers is None else known_servers
        self.servers = [StandIn() for _ in range(servers)]
        self.discovery = Discovery()
        self.limits = {
            "maxSetups": 3, "probes": probes, "mayCancel": True, "connectTimeout": 120.0,
        } | (limits or {})  # fmt: skip
        self.rules = {"askEvery": 60000.0, "stopSendingWithin": 400.0} | (rules or {})
        self.profile = PROFILE | (profile or {})
        self.mode = mode
        self.clients: list[Connection] = []
        self.watch: ListRequest
        self.process: BalancerProcess
        self._listen_port = 0

    @property
    def listen_port(self) -> int:
        """The balancer's own port: a free one, so that test runs in parallel don't collide."""
        if not self._listen_port:
            listener = self.process.connections.listener
            assert listener is not None and listener.socket is not None
            self._listen_port = int(listener.socket.getsockname()[1])
        return self._listen_port

    def list_entry(self, i: int, **changes: Any) -> dict[str, Any]:
        """The server list's entry of server `i`."""
        return {
            "name": f"s-{i}", "address": f"127.0.0.1:{self.servers[i].port}", "zone": "a", "type": "m",
            "group": 0, "status": "up", "weight": 1.0, "since_ms": 0,
        } | changes  # fmt: skip

    def start_up_file(self) -> bytes:
        settings = {
            "zones": ["a"], "kinds": ["m"], "profiles": [self.profile], "tenants": [{"name": "acme"}],
            "membershipMode": self.mode, "report": {"fields": ["busy", "rate", "x0"]},
            "prices": {"probe": 0.005}, "limits": self.limits, "rules": self.rules,
        }  # fmt: skip
        known = {
            "index": 1,
            "snapshot": True,
            "endpoints": [self.list_entry(i) for i in range(self.known_servers)],
        }
        addresses = {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{self.discovery.port}"}
        start_up = {"name": "n0", "seed": "8c1f", "known": known, "settings": settings}
        return json.dumps(start_up | addresses).encode()

    async def start(self) -> None:
        """Starts the stand-ins."""
        for stand_in in (*self.servers, self.discovery):
            await stand_in.start()

    def stop(self) -> None:
        for connection in self.clients:
            with suppress(Exception):
                connection.writer.transport.abort()
        for stand_in in (*self.servers, self.discovery):
            stand_in.stop()

    async def connect_client(self) -> Connection:
        connection = Connection(*await asyncio.open_connection("127.0.0.1", self.listen_port))
        self.clients.append(connection)
        return connection

    async def next_setup(self, unused: Connection | None = None) -> tuple[int, Connection]:
        """The next connection that a setup opens: the server's index and the server's end."""
        accepts = {
            asyncio.ensure_future(stand_in.accepted.get()): i for i, stand_in in enumerate(self.servers)
        }
        done, _ = await asyncio.wait(accepts, timeout=5, return_when=asyncio.FIRST_COMPLETED)
        for task in accepts.keys() - done:
            task.cancel()
        assert done, "no setup connected in time"
        first = min(done, key=lambda task: accepts[task])
        for other in done - {first}:
            self.servers[accepts[other]].accepted.put_nowait(other.result())
        return accepts[first], first.result()

    async def open_tunnel(self, request_id: str = "9b1f") -> tuple[Connection, Connection]:
        """Opens a tunnel and returns the client's and the server's end."""
        client = await self.connect_client()
        client.send(open_line(request_id))
        _, server = await self.next_setup()
        assert (await server.read_line()).startswith(b"OPEN " + request_id.encode())
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"
        return client, server

    def server_received_data(self) -> bool:
        """Whether a server has received data that the test has not read."""
        return any(
            connection.reader._buffer  # type: ignore[attr-defined]
            for server in self.servers
            for connection in server.connections
        )


async def wait_until(condition: Callable[[], object], timeout: float = 5.0) -> None:
    """Waits until `condition()` is true; fails after `timeout` seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    while not condition():
        assert loop.time() < end, "the condition did not become true in time"
        await asyncio.sleep(0.002)


async def run_loop_iterations(count: int = 20) -> None:
    """Gives the event loop `count` iterations, so that it handles everything that is ready."""
    for _ in range(count):
        await asyncio.sleep(0.001)


def run_scenario(
    scenario: Callable[[BalancerProcess, World, ControlledLoop], Awaitable[None]], world: World,
    answer_first_request: bool = True, timeout: float = 20.0, forces_errors: bool = False,
    **process_options: Any,
) -> None:  # fmt: skip
    """Runs `scenario` with a balancer, for at most `timeout` seconds.

    `answer_first_request`: answers discovery's first request, which confirms the start-up file's list, and
    leaves the watch after it open as `world.watch`. `forces_errors`: the scenario injects internal errors;
    otherwise any of the balancer fails the test. `process_options`: further arguments of BalancerProcess.
    """
    violations.clear()
    errors: dict[str, object] = {}

    async def main() -> None:
        await world.start()
        settings = parse_start_up_file(world.start_up_file())
        loop = ControlledLoop(asyncio.get_running_loop())
        process = BalancerProcess(settings, loop, lambda: settings, **process_options)  # type: ignore[arg-type]
        world.process = process
        serving = asyncio.create_task(process.serve())
        try:
            async with asyncio.timeout(timeout):
                if answer_first_request:
                    request = await world.discovery.next_request()
                    request.send_list(1)
                    world.watch = await world.discovery.next_request(request.connection)
                    await wait_until(lambda: process.connections.listener is not None)
                await scenario(process, world, loop)
        finally:
            ended_by_itself = process.ended.done()
            errors.update(violations.figures())
            if not ended_by_itself:
                process.ended.set_result(None)
            if not process.discovery_answered.done():
                process.discovery_answered.set_result(None)
            await serving
            if ended_by_itself:
                errors.update(violations.figures())
            world.stop()

    uvloop.run(main())
    assert forces_errors or not errors, errors
