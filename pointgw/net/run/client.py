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
    from pointgw.net.run.server import ServerConnection


class ClientConnection(asyncio.Protocol):
    __slots__ = (
        "accepted_at",
        "answer_deadline",
        "buffer",
        "lifecycle",
        "number",
        "process",
        "request_id",
        "server",
        "transport",
    )

    def __init__(self, node: BalancerProcess) -> None:
        self.process, self.accepted_at = node, node.now()
        self.number = -1  # not given yet: no tunnel was asked for
        self.request_id, self.answer_deadline = "-", 0.0  # its id; when it has to be answered at the latest
        self.lifecycle = ConnectionLifecycle(ConnectionState.IDLE)
        self.buffer = bytearray()
        self.server: ServerConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(tcp.BUFFER_LIMIT)
        self.process.client_accepted(self)

    def data_received(self, data: bytes) -> None:
        match self.lifecycle.state:
            case ConnectionState.RELAYING:
                assert self.server is not None
                self.server.forward(data)
            case ConnectionState.IDLE | ConnectionState.REQUESTED:
                self.buffer += data
                self._read_first_line()
            case ConnectionState.HALF_CLOSED:  # sent on, it would be lost: its answer could not be told
                self.process.connections.count_discarded(self, len(data))

    def _read_first_line(self) -> None:
        try:
            if self.lifecycle.state is ConnectionState.REQUESTED:
                raise Malformed("expected nothing before the answer")
            line = lines.pop_line(self.buffer)
            if line is None:
                return
            message = lines.parse_client_line(line)
            if self.buffer:
                raise Malformed("expected one line, then nothing before the answer")
            if isinstance(message, lines.Ping):
                self.transport.write((lines.ERR if self.process.stopping else lines.PONG) + lines.LINE_END)
            else:
                self.lifecycle.transition_to(ConnectionState.REQUESTED)
                self.request_id, self.answer_deadline = message.name, self.process.answer_deadline(message)
                self.number = self.process.register_request(self)
                self.process.submit(ClientArrived(self.number, message))
        except Malformed as fault:
            self.refuse("malformed", fault)

    def refuse(self, kind: str, why: object) -> None:
        """Answers what can't be served with an error; a setup that is out is given up."""
        self.process.count_refusal(kind, why)
        if self.lifecycle.state is ConnectionState.REQUESTED:
            self.process.request_log.record("failed", self.request_id, kind)
            self.process.submit(ClientLeft(self.number, False))
        self.answer(lines.Failure())

    def answer(self, answer: lines.Answer) -> None:
        """The final answer to a client that was not opened."""
        if self.lifecycle.state in (ConnectionState.IDLE, ConnectionState.REQUESTED):
            self._send_last_line(lines.encode_answer(answer))

    def join(self, server: ServerConnection, first: bytes) -> bool:
        """The server's answer, and from now on its lines; False: the client has left or was answered."""
        if self.lifecycle.state is not ConnectionState.REQUESTED:
            return False
        self.lifecycle.transition_to(ConnectionState.RELAYING)
        self.server = server
        self.transport.write(first)
        return True

    def send_lines(self, whole: bytes) -> None:
        """Whole lines of its server."""
        if self.lifecycle.state is ConnectionState.RELAYING:
            self.transport.write(whole)

    def send_move(self) -> None:
        """Only whole lines were written, so this stands between two."""
        if self.lifecycle.state is ConnectionState.RELAYING:
            self._send_last_line(lines.MOVE + lines.LINE_END)

    def _send_last_line(self, line: bytes) -> None:
        self.transport.write(line)
        self.end()

    def end(self, reset: bool = False) -> None:
        """In the way its server did, or after its last line."""
        if self.lifecycle.is_closing:
            return
        self.server = None
        if reset:
            self.lifecycle.transition_to(ConnectionState.CLOSED)
            tcp.abort_with_reset(self.transport)
        else:
            self.lifecycle.transition_to(ConnectionState.HALF_CLOSED)
            self.process.connections.linger(self, self.transport)

    def fail(self) -> None:
        """Something of ours went wrong: an error to one that waits, a break to one that is open."""
        if self.lifecycle.state is ConnectionState.RELAYING:
            self.end(reset=True)
        else:
            self.answer(lines.Failure())

    def evict(self) -> None:
        """Its descriptor is needed for clients that do speak."""
        if not self.lifecycle.is_closing:
            self.lifecycle.transition_to(ConnectionState.CLOSED)
            tcp.write_and_close(self.transport, lines.encode_answer(lines.Decline(0.0)))

    def pause_writing(self) -> None:
        if self.server is not None:
            self.server.pause_reading()

    def resume_writing(self) -> None:
        if self.server is not None:
            self.server.resume_reading()

    def eof_received(self) -> None:
        if self.lifecycle.state is ConnectionState.IDLE and self.buffer:
            self.refuse("malformed", "expected the end of the first line")
        self._disconnected(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._disconnected(exc is not None)
        if self.lifecycle.state is ConnectionState.HALF_CLOSED:
            self.lifecycle.transition_to(ConnectionState.CLOSED)
        self.process.remove_client(self)

    def detect_disconnect(self) -> bool:
        """Looks at its socket before something is begun for it: whether it has left, and nobody has read that
        yet, as the loop is late or its end waits behind other events."""
        found = 0 if self.lifecycle.is_closing else tcp.peer_close_events(self.transport)
        if found:
            self._disconnected(bool(found & (select.POLLERR | select.POLLHUP)))
        return bool(found)

    def _disconnected(self, reset: bool) -> None:
        """The client has ended it. What it asked for and is not sent yet is not sent any more."""
        if not self.lifecycle.is_closing:
            asked = self.lifecycle.state is not ConnectionState.IDLE
            self.lifecycle.transition_to(ConnectionState.CLOSED)
            self.server = None
            if asked:
                self.process.request_log.record(
                    "client_left", self.request_id, "reset" if reset else "closed"
                )
                self.process.submit(ClientLeft(self.number, reset))
