"""The stand-in servers of a soak run: they read requests, note them, and answer well or badly."""

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

PORT = 7000  # that all listen on, each at an address of its own
NO_LINGER = struct.pack("ii", 1, 0)


class Behaviour(Enum):
    """What a server does with a request."""

    SOUND = "sound"
    HANGS = "hangs"
    ERRORS = "errors"
    BUSY = "busy"
    RESETS = "resets"
    SLOW = "slow"
    HALF_LINE = "half a line"
    GARBLES = "garbles"
    SECOND_ANSWER = "second answer"
    CLOSES = "closes"
    ENDLESS = "endless"


class Connection(asyncio.Protocol):
    """One connection from a balancer."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.buffer = b""
        self.attempt: Attempt | None = None
        self.first_byte_at = 0.0
        self.open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections[self] = None

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_byte_at = time.monotonic()
        self.buffer += data
        while b"\n" in self.buffer:
            line, _, self.buffer = self.buffer.partition(b"\n")
            self._line(line.removesuffix(b"\r"))

    def _line(self, line: bytes) -> None:
        server = self.server
        if self.open:
            if server.behaviour is not Behaviour.HANGS:
                self.say(line)
        elif line in (b"PING", b"STATS"):
            server.probes += 1
            if server.behaviour is not Behaviour.HANGS:
                load = len(server.standing) / server.room()
                self.say(b"PONG util=%.2f,qps=1,x0=%.3f" % (min(1.0, load), load))
        elif line.startswith(b"OPEN "):
            self._request(line)
        else:
            self.say(b"SYNTAX")
            server.noted_syntax(line)

    def _request(self, line: bytes) -> None:
        server, name = self.server, line.split(b" ")[1].decode()
        now = time.monotonic()
        self.attempt = Attempt(name, server.name, -1, self.first_byte_at, now)
        server.noted(self)
        match server.behaviour:
            case Behaviour.HANGS:
                return
            case Behaviour.ERRORS:
                self._finish(b"ERR")
            case Behaviour.BUSY:
                self.attempt.never_ran = True
                self._finish(b"BUSY")
            case Behaviour.RESETS:
                self.reset()
            case Behaviour.CLOSES:
                self.transport.close()
            case Behaviour.HALF_LINE:
                self.transport.write(b"UP r")
                server.loop.call_later(0.02, self.reset)
            case Behaviour.GARBLES:
                self._finish(bytes(server.rng.randrange(256) for _ in range(30)).replace(b"\n", b""))
            case Behaviour.ENDLESS:
                self.transport.write(b"UP " + b"x" * 6000)
            case Behaviour.SECOND_ANSWER:
                self.say(b"BUSY")
                self.attempt.never_ran = True
                server.loop.call_later(0.005, self.say, b"UP r-2")
            case Behaviour.SLOW:
                server.loop.call_later(server.rng.uniform(0.05, 1.2), self.up)
            case Behaviour.SOUND if server.draining:
                self.attempt.never_ran = True
                self._finish(b"BUSY")
            case Behaviour.SOUND:
                server.loop.call_later(server.rng.uniform(0.001, 0.03), self.up)

    def up(self) -> None:
        if self.transport.is_closing() or self.attempt is None or self.server.behaviour is Behaviour.HANGS:
            return
        self.open = True
        self.attempt.answered_at = time.monotonic()
        self.server.standing[self] = None
        self.say(b"UP r-%d" % self.server.starts)

    def _finish(self, line: bytes) -> None:
        assert self.attempt is not None
        self.attempt.answered_at = time.monotonic()
        self.say(line)
        self.transport.close()

    def say(self, line: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(line + b"\r\n")

    def reset(self) -> None:
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()

    def sender_has_ended(self) -> bool:
        """Whether its sender gave it up, also where this loop has not read that yet."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def eof_received(self) -> None:
        self._ended()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended()
        self.server.connections.pop(self, None)

    def _ended(self) -> None:
        if self.attempt is not None and self.attempt.ended_at is None:
            self.attempt.ended_at = time.monotonic()
        self.server.standing.pop(self, None)


class Server:
    """One stand-in server. `noted`: called with each connection as its request has been read."""

    def __init__(
        self, name: str, rng: Random, connections: int, noted: Callable[[Connection], None],
        noted_syntax: Callable[[bytes], None],
    ) -> None:  # fmt: skip
        self.name, self.rng, self.full_at = name, rng, connections
        self.noted, self.noted_syntax = noted, noted_syntax
        self.loop = asyncio.get_running_loop()
        self.behaviour = Behaviour.SOUND
        self.draining = False
        self.starts = 1
        self.started_at = 0.0  # monotonic; 0: long ago
        self.connections: dict[Connection, None] = {}
        self.standing: dict[Connection, None] = {}
        self.probes = 0
        self.host, self.port = "", PORT
        self.listener: asyncio.Server | None = None

    def room(self) -> float:
        return float(self.full_at)

    async def start(self, host: str) -> None:
        self.host = host
        self.listener = await self.loop.create_server(lambda: Connection(self), host, self.port, backlog=512)

    def crash(self) -> None:
        """The process is gone: its connections break, new ones are refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            connection.reset()

    async def restart(self) -> None:
        self.behaviour, self.draining = Behaviour.SOUND, False
        self.starts += 1
        self.started_at = time.monotonic()
        await self.start(self.host)
