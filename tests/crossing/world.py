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
NO_LINGER = struct.pack("ii", 1, 0)


def opening(name: str = "9b1f", patience: int = 1500, more: str = "") -> bytes:
    return f"OPEN {name} 7f3a c=chat,t=acme,d={patience},g=5c0f{more}\r\n".encode()


class Conn:
    """One connection in a test's hands."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def say(self, data: bytes) -> None:
        self.writer.write(data)

    async def line(self) -> bytes:
        return await asyncio.wait_for(self.reader.readline(), 5)

    async def rest(self) -> bytes:
        """All that still comes until the end; raises ConnectionResetError where it is broken."""
        return await asyncio.wait_for(self.reader.read(-1), 5)

    def end(self) -> None:
        self.writer.write_eof()

    def hold(self) -> None:
        """It is not read any more, until `go_on`."""
        transport: Any = self.writer.transport
        transport.pause_reading()

    def go_on(self) -> None:
        transport: Any = self.writer.transport
        transport.resume_reading()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()

    @property
    def sock(self) -> Any:
        return self.writer.get_extra_info("socket")


class Peer:
    """A stand-in that listens; each connection taken is handed to the test."""

    def __init__(self) -> None:
        self.taken: asyncio.Queue[Conn] = asyncio.Queue()
        self.conns: list[Conn] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = Conn(reader, writer)
        self.conns.append(conn)
        self.taken.put_nowait(conn)

    async def conn(self) -> Conn:
        return await asyncio.wait_for(self.taken.get(), 5)

    def stop(self) -> None:
        self.server.close()
        for conn in self.conns:
            with suppress(Exception):
                conn.writer.transport.abort()


class Call:
    """One call to discovery, as it was read."""

    def __init__(self, conn: Conn, head: bytes) -> None:
        self.conn, self.head = conn, head

    def say(self, body: bytes, status: bytes = b"200 OK") -> None:
        self.conn.say(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def answer(self, version: int, *lines: dict[str, Any], whole: bool = False) -> None:
        told = {"index": version, "snapshot": whole, "endpoints": list(lines)}
        self.say(json.dumps(told).encode())


class Discovery(Peer):
    async def call(self, conn: Conn | None = None) -> Call:
        """The next call, on a connection that is kept or on a new one."""
        conn = conn or await self.conn()
        try:
            head = await asyncio.wait_for(conn.reader.readuntil(b"\r\n\r\n"), 10)
        except (asyncio.IncompleteReadError, ConnectionError):
            return await self.call()
        return Call(conn, head)


class HeldLoop:
    """The loop of a balancer, but for dials, which wait where a test says."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.before: asyncio.Event | None = None  # a dial waits for this before it goes out
        self.after: asyncio.Event | None = None  # one that is up comes back to who asked for it after this
        self.dialling = asyncio.Event()  # one waits, before or after
        self.up = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Any, *address: Any) -> Any:
        if self.before is not None:
            self.dialling.set()
            await self.before.wait()
        made = await self.loop.create_connection(factory, *address)
        self.up.set()
        if self.after is not None:
            self.dialling.set()
            await self.after.wait()
        return made


class World:
    """`limits`, `rules`, `profile`: settings other than the usual; `mode`: how the list is had."""

    def __init__(
        self, servers: int = 2, limits: dict[str, Any] | None = None, rules: dict[str, Any] | None = None,
        profile: dict[str, Any] | None = None, mode: str = "subscribe", probes: bool = False,
    ) -> None:  # fmt: skip
        self.servers = [Peer() for _ in range(servers)]
        self.discovery = Discovery()
        self.limits = {
            "maxSetups": 3, "probes": probes, "mayCancel": True, "connectTimeout": 120.0,
        } | (limits or {})  # fmt: skip
        self.rules = {"askEvery": 60000.0, "stopSendingWithin": 400.0} | (rules or {})
        self.profile = PROFILE | (profile or {})
        self.mode = mode
        self.clients: list[Conn] = []
        self.watch: Call
        self.node: BalancerProcess
        self._listen = 0

    @property
    def listen(self) -> int:
        """The balancer's own port: it takes a free one, so that runs beside one another don't meet."""
        if not self._listen:
            listener = self.node.connections.listener
            assert listener is not None and listener.socket is not None
            self._listen = int(listener.socket.getsockname()[1])
        return self._listen

    def line(self, i: int, **changes: Any) -> dict[str, Any]:
        return {
            "name": f"s-{i}", "address": f"127.0.0.1:{self.servers[i].port}", "zone": "a", "type": "m",
            "group": 0, "status": "up", "weight": 1.0, "since_ms": 0,
        } | changes  # fmt: skip

    def told(self) -> bytes:
        settings = {
            "zones": ["a"], "kinds": ["m"], "profiles": [self.profile], "tenants": [{"name": "acme"}],
            "membershipMode": self.mode, "report": {"fields": ["busy", "rate", "x0"]},
            "prices": {"probe": 0.005}, "limits": self.limits, "rules": self.rules,
        }  # fmt: skip
        known = {"index": 1, "snapshot": True, "endpoints": [self.line(i) for i in range(len(self.servers))]}
        addresses = {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{self.discovery.port}"}
        start_up = {"name": "n0", "seed": "8c1f", "known": known, "settings": settings}
        return json.dumps(start_up | addresses).encode()

    async def stand(self) -> None:
        for peer in (*self.servers, self.discovery):
            await peer.start()

    def stop(self) -> None:
        for conn in self.clients:
            with suppress(Exception):
                conn.writer.transport.abort()
        for peer in (*self.servers, self.discovery):
            peer.stop()

    async def client(self) -> Conn:
        conn = Conn(*await asyncio.open_connection("127.0.0.1", self.listen))
        self.clients.append(conn)
        return conn

    async def setup(self, but: Conn | None = None) -> tuple[int, Conn]:
        """The next connection that a setup opened, and at which server."""
        waiting = {asyncio.ensure_future(peer.taken.get()): i for i, peer in enumerate(self.servers)}
        done, _ = await asyncio.wait(waiting, timeout=5, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting.keys() - done:
            task.cancel()
        assert done, "no setup came"
        first = min(done, key=lambda task: waiting[task])
        for other in done - {first}:
            self.servers[waiting[other]].taken.put_nowait(other.result())
        return waiting[first], first.result()

    async def opened(self, name: str = "9b1f") -> tuple[Conn, Conn]:
        """A client and its server, joined."""
        client = await self.client()
        client.say(opening(name))
        _, server = await self.setup()
        assert (await server.line()).startswith(b"OPEN " + name.encode())
        server.say(b"UP r-1\r\n")
        assert await client.line() == b"UP r-1\r\n"
        return client, server

    def sent(self) -> bool:
        """Whether a server has read anything; what is in its socket is read before."""
        return any(conn.reader._buffer for peer in self.servers for conn in peer.conns)  # type: ignore[attr-defined]


async def until(holds: Callable[[], object], seconds: float = 5.0) -> None:
    """Waits for what is bound to come; fails where it does not."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while not holds():
        assert loop.time() < end, "it did not come about"
        await asyncio.sleep(0.002)


async def turns(count: int = 20) -> None:
    """Lets the loop go round so often: all that is ready is done."""
    for _ in range(count):
        await asyncio.sleep(0.001)


def play(
    scene: Callable[[BalancerProcess, World, HeldLoop], Awaitable[None]], world: World, first: bool = True,
    seconds: float = 20.0, **beside: Any,
) -> None:  # fmt: skip
    """`first`: discovery's first call is answered, so that the list is known to be as it is; its watch stays
    open as `world.watch`. `beside`: what else the balancer is given."""

    async def main() -> None:
        await world.stand()
        told = parse_start_up_file(world.told())
        loop = HeldLoop(asyncio.get_running_loop())
        node = BalancerProcess(told, loop, lambda: told, **beside)  # type: ignore[arg-type]
        world.node = node
        serving = asyncio.create_task(node.serve())
        try:
            async with asyncio.timeout(seconds):
                if first:
                    call = await world.discovery.call()
                    call.answer(1)
                    world.watch = await world.discovery.call(call.conn)
                    await until(lambda: node.connections.listener is not None)
                await scene(node, world, loop)
        finally:
            if not node.ended.done():
                node.ended.set_result(None)
            if not node.discovery_answered.done():
                node.discovery_answered.set_result(None)
            await serving
            world.stop()

    uvloop.run(main())
