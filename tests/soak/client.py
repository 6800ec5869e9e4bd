"""Stand-in clients of a soak run: well-behaved ones, whose answers are checked, and misbehaving ones."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import cast

from soak.records import Request

LINE_INTERVAL = 0.4  # seconds between two lines on an open tunnel


class Client(asyncio.Protocol):
    """One well-behaved client: sends its request, and lines while its tunnel is open.

    `tunnel_seconds`: time until it closes an opened tunnel. `leave_after`: seconds until it cancels an
    unanswered request. `send_delay`: seconds from connecting to sending.
    """

    def __init__(
        self, request: Request, line: bytes, tunnel_seconds: float, leave_after: float | None,
        in_pieces: bool, send_delay: float, on_ended: Callable[[Client], None],
    ) -> None:  # fmt: skip
        self.request, self.line, self.tunnel_seconds, self.leave_after = (
            request,
            line,
            tunnel_seconds,
            leave_after,
        )
        self.in_pieces, self.send_delay, self.on_ended = in_pieces, send_delay, on_ended
        self.loop = asyncio.get_running_loop()
        self.buffer = b""
        self.opened = self.moved = self.finished = self.sent = False
        self.pending_lines: list[tuple[float, bytes]] = []
        self.opened_at = 0.0
        self.closed_by_client = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.loop.call_later(self.send_delay, self._send)

    def _send(self) -> None:
        if self.finished or self.transport.is_closing():
            return
        if self.request.answers:  # answered before it was sent
            return
        if self.in_pieces:
            half = len(self.line) // 2
            self.transport.write(self.line[:half])
            self.loop.call_later(0.03, self._send_rest, self.line[half:])
        else:
            self._send_rest(self.line)

    def _send_rest(self, data: bytes) -> None:
        if self.finished or self.transport.is_closing() or self.request.answers:
            return
        self.transport.write(data)
        self.sent = True
        self.request.sent_at = time.monotonic()
        if self.leave_after is not None:
            self.loop.call_later(self.leave_after, self.leave)

    def leave(self) -> None:
        """Cancels the request, unless its tunnel is open."""
        if not self.finished and not self.opened:
            self.finished = self.closed_by_client = True
            self.request.left_at = time.monotonic()
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\n" in self.buffer:
            line, _, self.buffer = self.buffer.partition(b"\n")
            self._line_received(line.removesuffix(b"\r"))

    def _line_received(self, line: bytes) -> None:
        now = time.monotonic()
        if not self.opened:
            self.request.answers.append((now, line))
            if line.startswith(b"UP "):
                self.opened, self.opened_at = True, now
                self.loop.call_later(self.tunnel_seconds, self._close)
                self.loop.call_later(LINE_INTERVAL, self._send_line)
        elif line == b"MOVE":
            self.moved = True
        elif self.pending_lines and self.pending_lines[0][1] == line:
            self.pending_lines.pop(0)

    def _send_line(self) -> None:
        if self.finished or self.transport.is_closing() or self.moved:
            return
        line = b"line-%d" % int(time.monotonic() * 1e6)
        self.pending_lines.append((time.monotonic(), line))
        self.transport.write(line + b"\r\n")
        self.loop.call_later(LINE_INTERVAL, self._send_line)

    def _close(self) -> None:
        self.finished = self.closed_by_client = True
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed_by_client:
            self.request.closed_at = time.monotonic()
        self.finished = True
        self.on_ended(self)


class BadClient(asyncio.Protocol):
    """Sends an invalid or incomplete request, and records when it was answered or closed."""

    def __init__(self, data: bytes, leave_after: float | None) -> None:
        self.data, self.leave_after = data, leave_after
        self.connected_at = time.monotonic()
        self.finished_at: float | None = None
        self.left = False
        self.answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connected_at = time.monotonic()
        if self.data:
            self.transport.write(self.data)
        if self.leave_after is not None:
            asyncio.get_running_loop().call_later(self.leave_after, self._leave)

    def _leave(self) -> None:
        self.left = True
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.answer += data
        if self.finished_at is None:
            self.finished_at = time.monotonic()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.finished_at is None:
            self.finished_at = time.monotonic()
