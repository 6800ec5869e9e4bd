"""Stand-in servers of a soak run: they record requests and answer them correctly or with a fault."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import time
from collections.abc import Callable
from enum import Enum
from random import Random
from typing import cast

from soak.records import Attempt

PORT = 7000  # of all servers, each at its own address
NO_LINGER = struct.pack("ii", 1, 0)


class Behaviour(Enum):
    """How a server answers a request."""

    NORMAL = "normal"
    HANGS = "hangs"  # sends nothing more, on open tunnels and to probes too
    ERRORS = "errors"  # ERR
    BUSY = "busy"
    RESETS = "resets"  # RST without answer
    SLOW = "slow"  # UP after a delay
    HALF_LINE = "half a line"  # an incomplete UP, then RST
    GARBLES = "garbles"  # random bytes
    SECOND_ANSWER = "second answer"  # BUSY, then UP
    CLOSES = "closes"  # without answer
    ENDLESS = "endless"  # a line that does not end


class Connection(asyncio.Protocol):
    """One connection from a balancer."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.buffer = b""
        self.attempt: Attempt | None = None
        self.first_byte_at = 0.0
        self.tunnel_open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections[self] = None

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_byte_at = time.monotonic()
        self.buffer += data
        while b"\n" in self.buffer:
            line, _, self.buffer = self.buffer.partition(b"\n")
            self._line_received(line.removesuffix(b"\r"))

    def _line_received(self, line: bytes) -> None:
        server = self.server
        if self.tunnel_open:
            if server.behaviour is not Behaviour.HANGS:
                self.send_line(line)
        elif line in (b"PING", b"STATS"):
            server.probes += 1
            if server.behaviour is not Behaviour.HANGS:
                load = len(server.open_tunnels) / server.capacity()
                self.send_line(b"PONG util=%.2f,qps=1,x0=%.3f" % (min(1.0, load), load))
        elif line.startswith(b"OPEN "):
            self._open_received(line)
        else:
            self.send_line(b"SYNTAX")
            server.on_syntax_error(line)

    def _open_received(self, line: bytes) -> None:
        server, name = self.server, line.split(b" ")[1].decode()
        now = time.monotonic()
        self.attempt = Attempt(name, server.name, -1, self.first_byte_at, now)
        server.on_request(self)
        match server.behaviour:
            case Behaviour.HANGS:
                return
            case Behaviour.ERRORS:
                self._answer_and_close(b"ERR")
            case Behaviour.BUSY:
                self.attempt.never_ran = True
                self._answer_and_close(b"BUSY")
            case Behaviour.RESETS:
                self.reset()
            case Behaviour.CLOSES:
                self.transport.close()
            case Behaviour.HALF_LINE:
                self.transport.write(b"UP r")
                server.loop.call_later(0.02, self.reset)
            case Behaviour.GARBLES:
                self._answer_and_close(
                    bytes(server.rng.randrange(256) for _ in range(30)).replace(b"\n", b"")
                )
            case Behaviour.ENDLESS:
                self.transport.write(b"UP " + b"x" * 6000)
            case Behaviour.SECOND_ANSWER:
                self.send_line(b"BUSY")
                self.attempt.never_ran = True
                server.loop.call_later(0.005, self.send_line, b"UP r-2")
            case Behaviour.SLOW:
                server.loop.call_later(server.rng.uniform(0.05, 1.2), self.open_tunnel)
            case Behaviour.NORMAL if server.draining:
                self.attempt.never_ran = True
                self._answer_and_close(b"BUSY")
            case Behaviour.NORMAL:
                server.loop.call_later(server.rng.uniform(0.001, 0.03), self.open_tunnel)

    def open_tunnel(self) -> None:
        """Answers UP, unless the connection is closing or the server hangs."""
        if self.transport.is_closing() or self.attempt is None or self.server.behaviour is Behaviour.HANGS:
            return
        self.tunnel_open = True
        self.attempt.answered_at = time.monotonic()
        self.server.open_tunnels[self] = None
        self.send_line(b"UP r-%d" % self.server.start_count)

    def _answer_and_close(self, line: bytes) -> None:
        assert self.attempt is not None
        self.attempt.answered_at = time.monotonic()
        self.send_line(line)
        self.transport.close()

    def send_line(self, line: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(line + b"\r\n")

    def reset(self) -> None:
        """Closes the connection with RST."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()

    def sender_has_closed(self) -> bool:
        """Whether the balancer has closed its side, even if this loop has not read the end yet."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def eof_received(self) -> None:
        self._record_end()

    def connection_lost(self, exc: Exception | None) -> None:
        self._record_end()
        self.server.connections.pop(self, None)

    def _record_end(self) -> None:
        if self.attempt is not None and self.attempt.ended_at is None:
            self.attempt.ended_at = time.monotonic()
        self.server.open_tunnels.pop(self, None)


class Server:
    """One stand-in server. `on_request`: called with the connection of each request that was read."""

    def __init__(
        self, name: str, rng: Random, connection_limit: int, on_request: Callable[[Connection], None],
        on_syntax_error: Callable[[bytes], None],
    ) -> None:  # fmt: skip
        self.name, self.rng, self.connection_limit = name, rng, connection_limit
        self.on_request, self.on_syntax_error = on_request, on_syntax_error
        self.loop = asyncio.get_running_loop()
        self.behaviour = Behaviour.NORMAL
        self.draining = False
        self.start_count = 1
        self.started_at = 0.0  # monotonic clock; 0: before the run
        self.connections: dict[Connection, None] = {}
        self.open_tunnels: dict[Connection, None] = {}
        self.probes = 0
        self.host, self.port = "", PORT
        self.listener: asyncio.Server | None = None

    def capacity(self) -> float:
        """Open tunnels that are full load."""
        return float(self.connection_limit)

    async def start(self, host: str) -> None:
        """Listens at an address."""
        self.host = host
        self.listener = await self.loop.create_server(lambda: Connection(self), host, self.port, backlog=512)

    def crash(self) -> None:
        """Simulates a crash: resets all connections and refuses new ones."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            connection.reset()

    async def restart(self) -> None:
        """Listens again after a crash, with normal behaviour."""
        self.behaviour, self.draining = Behaviour.NORMAL, False
        self.start_count += 1
        self.started_at = time.monotonic()
        await self.start(self.host)
