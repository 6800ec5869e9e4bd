"""A balancer on a real loop, and stand-ins whose every step a test takes by hand."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import uvloop

from pointgw.net.run.balancer_process import BalancerProcess
from pointgw.net.wire.start_up import parse_start_up_file

PROFILE = {"name": "chat", "semantics": "pure", "setupGoal": 200.0, "clientTimeout": 1500.0, "group": "all"}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def open_line(request_id: str = "9b1f", timeout_ms: int = 1500, extra: str = "") -> bytes:
    return f"OPEN {request_id} 7f3a c=chat,t=acme,d={timeout_ms},g=5c0f{extra}\r\n".encode()


class Connection:
    """One connection in a test's hands."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_line(self) -> bytes:
        return await asyncio.wait_for(self.reader.readline(), 5)

    async def read_to_end(self) -> bytes:
        """All that still comes until the end; raises ConnectionResetError where it is broken."""
        return await asyncio.wait_for(self.reader.read(-1), 5)

    def send_eof(self) -> None:
        self.writer.write_eof()

    def pause_reading(self) -> None:
        """It is not read any more, until `go_on`."""
        transport: Any = self.writer.transport
        transport.pause_reading()

    def resume_reading(self) -> None:
        transport: Any = self.writer.transport
        transport.resume_reading()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()

    @property
    def sock(self) -> Any:
        return self.writer.get_extra_info("socket")


class StandIn:
    """A stand-in that listens; each connection taken is handed to the test."""

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
    """One call to discovery, as it was read."""

    def __init__(self, connection: Connection, head: bytes) -> None:
        self.connection, self.head = connection, head

    def respond(self, body: bytes, status: bytes = b"200 OK") -> None:
        self.connection.send(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def send_list(self, version: int, *entries: dict[str, Any], full: bool = False) -> None:
        told = {"index": version, "snapshot": full, "endpoints": list(entries)}
        self.respond(json.dumps(told).encode())


class Discovery(StandIn):
    async def next_request(self, connection: Connection | None = None) -> ListRequest:
        """The next call, on a connection that is kept or on a new one."""
        connection = connection or await self.next_connection()
        try:
            head = await asyncio.wait_for(connection.reader.readuntil(b"\r\n\r\n"), 10)
        except (asyncio.IncompleteReadError, ConnectionError):
            return await self.next_request()
        return ListRequest(connection, head)


class ControlledLoop:
    """The loop of a balancer, but for dials, which wait where a test says."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.before_connect: asyncio.Event | None = None  # a dial waits for this before it goes out
        self.after_connect: asyncio.Event | None = (
            None  # one that is up comes back to who asked for it after this
        )
        self.connect_pending = asyncio.Event()  # one waits, before or after
        self.connected = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Any, *address: Any) -> Any:
        if self.before_connect is not None:
            self.connect_pending.set()
            await self.before_connect.wait()
        made = await self.loop.create_connection(factory, *address)
        self.connected.set()
        if self.after_connect is not None:
            self.connect_pending.set()
            await self.after_connect.wait()
        return made


class World:
    """`limits`, `rules`, `profile`: settings other than the usual; `mode`: how the list is had."""

    def __init__(
        self, servers: int = 2, limits: dict[str, Any] | None = None, rules: dict[str, Any] | None = None,
        profile: dict[str, Any] | None = None, mode: str = "subscribe", probes: bool = False,
    ) -> None:  # fmt: skip
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
        """The balancer's own port: it takes a free one, so that runs beside one another don't meet."""
        if not self._listen_port:
            listener = self.process.connections.listener
            assert listener is not None and listener.socket is not None
            self._listen_port = int(listener.socket.getsockname()[1])
        return self._listen_port

    def list_entry(self, i: int, **changes: Any) -> dict[str, Any]:
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
            "endpoints": [self.list_entry(i) for i in range(len(self.servers))],
        }
        addresses = {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{self.discovery.port}"}
        start_up = {"name": "n0", "seed": "8c1f", "known": known, "settings": settings}
        return json.dumps(start_up | addresses).encode()

    async def start(self) -> None:
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
        """The next connection that a setup opened, and at which server."""
        waiting = {
            asyncio.ensure_future(stand_in.accepted.get()): i for i, stand_in in enumerate(self.servers)
        }
        done, _ = await asyncio.wait(waiting, timeout=5, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting.keys() - done:
            task.cancel()
        assert done, "no setup came"
        first = min(done, key=lambda task: waiting[task])
        for other in done - {first}:
            self.servers[waiting[other]].accepted.put_nowait(other.result())
        return waiting[first], first.result()

    async def open_tunnel(self, request_id: str = "9b1f") -> tuple[Connection, Connection]:
        """A client and its server, joined."""
        client = await self.connect_client()
        client.send(open_line(request_id))
        _, server = await self.next_setup()
        assert (await server.read_line()).startswith(b"OPEN " + request_id.encode())
        server.send(b"UP r-1\r\n")
        assert await client.read_line() == b"UP r-1\r\n"
        return client, server

    def server_received_data(self) -> bool:
        """Whether a server has read anything; what is in its socket is read before."""
        return any(
            connection.reader._buffer  # type: ignore[attr-defined]
            for server in self.servers
            for connection in server.connections
        )


async def wait_until(condition: Callable[[], object], timeout: float = 5.0) -> None:
    """Waits for what is bound to come; fails where it does not."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    while not condition():
        assert loop.time() < end, "it did not come about"
        await asyncio.sleep(0.002)


async def run_loop_iterations(count: int = 20) -> None:
    """Lets the loop go round so often: all that is ready is done."""
    for _ in range(count):
        await asyncio.sleep(0.001)


def run_scenario(
    scenario: Callable[[BalancerProcess, World, ControlledLoop], Awaitable[None]], world: World,
    answer_first_request: bool = True, timeout: float = 20.0, **process_options: Any,
) -> None:  # fmt: skip
    """`first`: discovery's first call is answered, so that the list is known to be as it is; its watch stays
    open as `world.watch`. `beside`: what else the balancer is given."""

    async def main() -> None:
        await world.start()
        told = parse_start_up_file(world.start_up_file())
        loop = ControlledLoop(asyncio.get_running_loop())
        process = BalancerProcess(told, loop, lambda: told, **process_options)  # type: ignore[arg-type]
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
            if not process.ended.done():
                process.ended.set_result(None)
            if not process.discovery_answered.done():
                process.discovery_answered.set_result(None)
            await serving
            world.stop()

    uvloop.run(main())
