"""A client's connection: its first line, its answer, and then its lines to the server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from pointgw.net.memory.events import Arrived, Left
from pointgw.net.run import ends
from pointgw.net.wire import lines
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.node import Node
    from pointgw.net.run.server import ServerSide


class ClientSide(asyncio.Protocol):
    __slots__ = ("buffer", "came", "node", "number", "over", "server", "spilt", "transport")

    def __init__(self, node: Node) -> None:
        self.node, self.came = node, node.now()
        self.number = -1  # not given yet: no tunnel was asked for
        self.spilt = 0  # bytes that came after the last answer
        self.buffer = bytearray()
        self.server: ServerSide | None = None
        self.over = False  # nothing is said to it any more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(ends.FULL_BUFFER)
        self.node.came(self)

    def data_received(self, data: bytes) -> None:
        if self.server is not None:
            self.server.pass_on(data)
        elif self.over:
            self.spilt += len(data)
            if self.spilt > ends.FULL_BUFFER:
                ends.pause(self.transport)  # guards against a flood that is read for nothing
        else:
            self.buffer += data
            self._first_line()

    def _first_line(self) -> None:
        try:
            if self.number >= 0:
                raise Malformed("expected nothing before the answer")
            line = lines.cut(self.buffer)
            if line is None:
                return
            message = lines.client_line(line)
            if self.buffer:
                raise Malformed("expected one line, then nothing before the answer")
            if isinstance(message, lines.Ping):
                self.transport.write((lines.ERR if self.node.stopping else lines.PONG) + lines.END)
            else:
                self.number = self.node.number(self)
                self.node.feed(Arrived(self.number, message))
        except Malformed as fault:
            self.refuse("malformed", fault)

    def refuse(self, kind: str, why: object) -> None:
        """Answers what can't be served with an error; a setup that is out is given up."""
        self.node.refused(kind, why)
        if self.number >= 0:
            self.node.feed(Left(self.number, False))
        self.answer(lines.Failure())

    def answer(self, answer: lines.Answer) -> None:
        """The final answer to a client that was not opened."""
        self._last(lines.answer_line(answer))

    def join(self, server: ServerSide, first: bytes) -> None:
        self.transport.write(first)
        self.server = server

    def move(self) -> None:
        """Only whole lines were written, so this stands between two."""
        self._last(lines.MOVE + lines.END)

    def _last(self, line: bytes) -> None:
        if not self.over:
            self.transport.write(line)
            self.end()

    def end(self, reset: bool = False) -> None:
        if self.over:
            return
        self.over, self.server = True, None
        if reset:
            ends.reset(self.transport)
        else:
            ends.finish(self.transport)

    def pause_writing(self) -> None:
        if self.server is not None:
            self.server.hold_back()

    def resume_writing(self) -> None:
        if self.server is not None:
            self.server.go_on()

    def eof_received(self) -> None:
        if self.number < 0 and self.buffer and not self.over:
            self.refuse("malformed", "expected the end of the first line")
        self._gone(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone(exc is not None)
        self.node.forget(self)

    def _gone(self, reset: bool) -> None:
        if not self.over:
            self.over, self.server = True, None
            if self.number >= 0:
                self.node.feed(Left(self.number, reset))
