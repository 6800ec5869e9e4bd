"""The stand-in clients of a soak run: well-behaved ones, whose answers are judged, and bad ones."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import cast

from soak.records import Request

LINE_EVERY = 0.4  # seconds between two lines on an open connection


class Client(asyncio.Protocol):
    """One well-behaved client: its request, its answer, then lines until its life is over."""

    def __init__(
        self, request: Request, line: bytes, life: float, leaves_after: float | None, pieces: bool,
        rests: float, ended: Callable[[Client], None],
    ) -> None:  # fmt: skip
        self.request, self.line, self.life, self.leaves_after = request, line, life, leaves_after
        self.pieces, self.rests, self.ended = pieces, rests, ended
        self.loop = asyncio.get_running_loop()
        self.buffer = b""
        self.joined = self.moved = self.over = self.sent = False
        self.lines_out: list[tuple[float, bytes]] = []
        self.joined_at = 0.0
        self.broken_by_us = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.loop.call_later(self.rests, self._send)

    def _send(self) -> None:
        if self.over or self.transport.is_closing():
            return
        if self.request.answers:  # it was answered as it rested
            return
        if self.pieces:
            half = len(self.line) // 2
            self.transport.write(self.line[:half])
            self.loop.call_later(0.03, self._send_rest, self.line[half:])
        else:
            self._send_rest(self.line)

    def _send_rest(self, data: bytes) -> None:
        if self.over or self.transport.is_closing() or self.request.answers:
            return
        self.transport.write(data)
        self.sent = True
        self.request.sent_at = time.monotonic()
        if self.leaves_after is not None:
            self.loop.call_later(self.leaves_after, self.leave)

    def leave(self) -> None:
        """Gives up before its time."""
        if not self.over and not self.joined:
            self.over = self.broken_by_us = True
            self.request.left_at = time.monotonic()
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\n" in self.buffer:
            line, _, self.buffer = self.buffer.partition(b"\n")
            self._line(line.removesuffix(b"\r"))

    def _line(self, line: bytes) -> None:
        now = time.monotonic()
        if not self.joined:
            self.request.answers.append((now, line))
            if line.startswith(b"UP "):
                self.joined, self.joined_at = True, now
                self.loop.call_later(self.life, self._finish)
                self.loop.call_later(LINE_EVERY, self._say)
        elif line == b"MOVE":
            self.moved = True
        elif self.lines_out and self.lines_out[0][1] == line:
            self.lines_out.pop(0)

    def _say(self) -> None:
        if self.over or self.transport.is_closing() or self.moved:
            return
        line = b"line-%d" % int(time.monotonic() * 1e6)
        self.lines_out.append((time.monotonic(), line))
        self.transport.write(line + b"\r\n")
        self.loop.call_later(LINE_EVERY, self._say)

    def _finish(self) -> None:
        self.over = self.broken_by_us = True
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.broken_by_us:
            self.request.closed_at = time.monotonic()
        self.over = True
        self.ended(self)


class BadClient(asyncio.Protocol):
    """Sends what can't be used, or part of it, and notes when it was answered or closed."""

    def __init__(self, data: bytes, leaves_after: float | None) -> None:
        self.data, self.leaves_after = data, leaves_after
        self.came_at = time.monotonic()
        self.done_at: float | None = None
        self.left = False
        self.answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.came_at = time.monotonic()
        if self.data:
            self.transport.write(self.data)
        if self.leaves_after is not None:
            asyncio.get_running_loop().call_later(self.leaves_after, self._leave)

    def _leave(self) -> None:
        self.left = True
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.answer += data
        if self.done_at is None:
            self.done_at = time.monotonic()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.done_at is None:
            self.done_at = time.monotonic()
