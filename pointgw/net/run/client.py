"""A client's connection: its first line, its answer, and then its lines to the server."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, cast

from pointgw.net.core.events import ClientArrived, ClientLeft
from pointgw.net.run import tcp
from pointgw.net.run.connection_state import ConnectionLifecycle, ConnectionState
from pointgw.net.wire import lines
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess
    from pointgw.net.run.server import ServerSide


class ClientSide(asyncio.Protocol):
    __slots__ = ("accepted_at", "buffer", "due", "life", "node", "number", "request", "server", "transport")

    def __init__(self, node: BalancerProcess) -> None:
        self.node, self.accepted_at = node, node.now()
        self.number = -1  # not given yet: no tunnel was asked for
        self.request, self.due = "-", 0.0  # its id; when it has to be answered at the latest
        self.life = ConnectionLifecycle(ConnectionState.IDLE)
        self.buffer = bytearray()
        self.server: ServerSide | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(tcp.FULL_BUFFER)
        self.node.accepted(self)

    def data_received(self, data: bytes) -> None:
        match self.life.state:
            case ConnectionState.JOINED:
                assert self.server is not None
                self.server.pass_on(data)
            case ConnectionState.IDLE | ConnectionState.ASKED:
                self.buffer += data
                self._first_line()
            case ConnectionState.HALF_CLOSED:  # sent on, it would be lost: its answer could not be told
                self.node.connections.dropped(self, len(data))

    def _first_line(self) -> None:
        try:
            if self.life.state is ConnectionState.ASKED:
                raise Malformed("expected nothing before the answer")
            line = lines.pop_line(self.buffer)
            if line is None:
                return
            message = lines.parse_client_line(line)
            if self.buffer:
                raise Malformed("expected one line, then nothing before the answer")
            if isinstance(message, lines.Ping):
                self.transport.write((lines.ERR if self.node.stopping else lines.PONG) + lines.LINE_END)
            else:
                self.life.transition_to(ConnectionState.ASKED)
                self.request, self.due = message.name, self.node.answer_due(message)
                self.number = self.node.number(self)
                self.node.feed(ClientArrived(self.number, message))
        except Malformed as fault:
            self.refuse("malformed", fault)

    def refuse(self, kind: str, why: object) -> None:
        """Answers what can't be served with an error; a setup that is out is given up."""
        self.node.refused(kind, why)
        if self.life.state is ConnectionState.ASKED:
            self.node.requests.step("failed", self.request, kind)
            self.node.feed(ClientLeft(self.number, False))
        self.answer(lines.Failure())

    def answer(self, answer: lines.Answer) -> None:
        """The final answer to a client that was not opened."""
        if self.life.state in (ConnectionState.IDLE, ConnectionState.ASKED):
            self._last(lines.encode_answer(answer))

    def join(self, server: ServerSide, first: bytes) -> bool:
        """The server's answer, and from now on its lines; False: the client has left or was answered."""
        if self.life.state is not ConnectionState.ASKED:
            return False
        self.life.transition_to(ConnectionState.JOINED)
        self.server = server
        self.transport.write(first)
        return True

    def pass_back(self, whole: bytes) -> None:
        """Whole lines of its server."""
        if self.life.state is ConnectionState.JOINED:
            self.transport.write(whole)

    def move(self) -> None:
        """Only whole lines were written, so this stands between two."""
        if self.life.state is ConnectionState.JOINED:
            self._last(lines.MOVE + lines.LINE_END)

    def _last(self, line: bytes) -> None:
        self.transport.write(line)
        self.end()

    def end(self, reset: bool = False) -> None:
        """In the way its server did, or after its last line."""
        if self.life.over:
            return
        self.server = None
        if reset:
            self.life.transition_to(ConnectionState.ENDED)
            tcp.reset(self.transport)
        else:
            self.life.transition_to(ConnectionState.HALF_CLOSED)
            self.node.connections.linger(self, self.transport)

    def fail(self) -> None:
        """Something of ours went wrong: an error to one that waits, a break to one that is open."""
        if self.life.state is ConnectionState.JOINED:
            self.end(reset=True)
        else:
            self.answer(lines.Failure())

    def make_room(self) -> None:
        """Its descriptor is needed for clients that do speak."""
        if not self.life.over:
            self.life.transition_to(ConnectionState.ENDED)
            tcp.close(self.transport, lines.encode_answer(lines.Decline(0.0)))

    def pause_writing(self) -> None:
        if self.server is not None:
            self.server.hold_back()

    def resume_writing(self) -> None:
        if self.server is not None:
            self.server.go_on()

    def eof_received(self) -> None:
        if self.life.state is ConnectionState.IDLE and self.buffer:
            self.refuse("malformed", "expected the end of the first line")
        self._gone(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone(exc is not None)
        if self.life.state is ConnectionState.HALF_CLOSED:
            self.life.transition_to(ConnectionState.ENDED)
        self.node.forget(self)

    def found_gone(self) -> bool:
        """Looks at its socket before something is begun for it: whether it has left, and nobody has read that
        yet, as the loop is late or its end waits behind other events."""
        found = 0 if self.life.over else tcp.ended(self.transport)
        if found:
            self._gone(bool(found & (select.POLLERR | select.POLLHUP)))
        return bool(found)

    def _gone(self, reset: bool) -> None:
        """The client has ended it. What it asked for and is not sent yet is not sent any more."""
        if not self.life.over:
            asked = self.life.state is not ConnectionState.IDLE
            self.life.transition_to(ConnectionState.ENDED)
            self.server = None
            if asked:
                self.node.requests.step("client_left", self.request, "reset" if reset else "closed")
                self.node.feed(ClientLeft(self.number, reset))
