"""A client's connection: its request, the answer, and then the lines that it sends to the server."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, cast

from pointgw.net.core.events import AnswerTimerDue, ClientArrived, ClientLeft
from pointgw.net.run import tcp
from pointgw.net.run.bounded_reader import BoundedReader
from pointgw.net.run.connection_state import ConnectionLifecycle, ConnectionState
from pointgw.net.wire import lines
from pointgw.site import MalformedInputError

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess
    from pointgw.net.run.server import ServerConnection

RESET_EVENTS = select.POLLERR | select.POLLHUP  # poll events of a peer that has reset the connection


class ClientConnection(BoundedReader):
    """One connection from a client, from accept to close."""

    __slots__ = (
        "accepted_at",
        "answer_deadline",
        "answer_timer",
        "buffer",
        "lifecycle",
        "number",
        "process",
        "request_id",
        "server",
    )

    transport: asyncio.Transport

    def __init__(self, process: BalancerProcess) -> None:
        super().__init__(process.loop, process.buffer_limit)
        self.process, self.accepted_at = process, process.now()
        self.number = -1  # assigned with its request
        self.request_id, self.answer_deadline = "-", 0.0  # deadline: time in seconds
        self.lifecycle = ConnectionLifecycle(ConnectionState.IDLE)
        self.buffer = bytearray()
        self.server: ServerConnection | None = None
        self.answer_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(self.buffer_limit)
        self.process.client_accepted(self)

    def data_received(self, data: bytes) -> None:
        match self.lifecycle.state:
            case ConnectionState.RELAYING:
                assert self.server is not None
                self.server.forward(data)
            case ConnectionState.IDLE | ConnectionState.REQUESTED:
                self.buffer += data
                self._read_first_line()
            case ConnectionState.HALF_CLOSED:  # not forwarded: an answer could not reach the client
                self.process.connections.count_discarded(self, len(data))

    def _read_first_line(self) -> None:
        try:
            if self.lifecycle.state is ConnectionState.REQUESTED:
                raise MalformedInputError("data received before the answer was sent")
            line = lines.pop_line(self.buffer)
            if line is None:
                return
            message = lines.parse_client_line(line)
            if self.buffer:
                raise MalformedInputError("data received after the first line, before the answer was sent")
            if isinstance(message, lines.Ping):
                self.transport.write((lines.ERR if self.process.stopping else lines.PONG) + lines.LINE_END)
            else:
                self.lifecycle.transition_to(ConnectionState.REQUESTED)
                self.request_id, self.answer_deadline = message.name, self.process.answer_deadline(message)
                self.number = self.process.register_request(self)
                arrival = ClientArrived(self.number, message, self.process.now())
                self.process.admission.add(self, arrival)
        except MalformedInputError as error:
            self.refuse("malformed", error)

    def refuse(self, kind: str, why: object) -> None:
        """Answers what can't be served with an error, and ends its tunnel's setups."""
        self.process.count_refusal(kind, why)
        if self.lifecycle.state is ConnectionState.REQUESTED:
            self.process.request_log.record("failed", self.request_id, kind)
            self.process.submit(ClientLeft(self.number, False))
        self.answer(lines.Failure())

    def set_answer_timer(self, delay: float) -> None:
        """Submits `AnswerTimerDue` after `delay` seconds, unless the connection ends before."""
        self.answer_timer = self.process.loop.call_later(
            delay, self.process.submit, AnswerTimerDue(self.number)
        )

    def answer(self, answer: lines.Answer) -> None:
        """Sends the final answer to a client whose tunnel was not opened."""
        if self.lifecycle.state in (ConnectionState.IDLE, ConnectionState.REQUESTED):
            self._send_last_line(lines.encode_answer(answer))

    def start_relay(self, server: ServerConnection, up_line: bytes) -> bool:
        """Sends the server's UP line and starts relaying. False: the client has left or was answered."""
        if self.lifecycle.state is not ConnectionState.REQUESTED:
            return False
        self.lifecycle.transition_to(ConnectionState.RELAYING)
        self.server = server
        self.transport.write(up_line)
        return True

    def send_lines(self, data: bytes) -> None:
        """Sends whole lines of its server."""
        if self.lifecycle.state is ConnectionState.RELAYING:
            self.transport.write(data)

    def send_move(self) -> None:
        """Sends MOVE and closes. Only whole lines were written before, so it can't split one."""
        if self.lifecycle.state is ConnectionState.RELAYING:
            self._send_last_line(lines.MOVE + lines.LINE_END)

    def _send_last_line(self, line: bytes) -> None:
        self.transport.write(line)
        self.end()

    def end(self, reset: bool = False) -> None:
        """Closes the connection: with a reset as its server's was, or in order after the last line."""
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
        """Ends it after an internal error: a waiting client gets an error, an open tunnel a reset."""
        if self.lifecycle.state is ConnectionState.RELAYING:
            self.end(reset=True)
        else:
            self.answer(lines.Failure())

    def evict(self) -> None:
        """Declines and closes it, as its descriptor is needed for other clients."""
        if not self.lifecycle.is_closing:
            self.lifecycle.transition_to(ConnectionState.CLOSED)
            tcp.write_and_close(self.transport, lines.encode_answer(lines.Decline(0.0)))

    def pause_writing(self) -> None:
        if self.server is not None:
            self.server.hold_reading()

    def resume_writing(self) -> None:
        if self.server is not None:
            self.server.release_reading()

    def eof_received(self) -> None:
        if self.lifecycle.state is ConnectionState.IDLE and self.buffer:
            self.refuse("malformed", "connection ended within the first line")
        self._disconnected(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._disconnected(exc is not None)
        if self.answer_timer is not None:
            self.answer_timer.cancel()
        if self.lifecycle.state is ConnectionState.HALF_CLOSED:
            self.lifecycle.transition_to(ConnectionState.CLOSED)
        self.process.remove_client(self)

    def detect_disconnect(self) -> bool:
        """Asks the socket whether the client has left, before work is started for it. The event loop may not
        have reported it yet, where it is late or other events come first."""
        events = 0 if self.lifecycle.is_closing else tcp.peer_close_events(self.transport)
        if events:
            self._disconnected(bool(events & RESET_EVENTS))
        return bool(events)

    def detect_reset(self) -> None:
        """The same for a reset alone, of a client that is not read: after an orderly end its last lines are
        still delivered."""
        if not self.lifecycle.is_closing and tcp.peer_close_events(self.transport) & RESET_EVENTS:
            self._disconnected(True)
            self.transport.abort()

    def _disconnected(self, reset: bool) -> None:
        """The client has closed the connection: its request, if not sent to a server yet, is dropped."""
        if not self.lifecycle.is_closing:
            had_request = self.lifecycle.state is not ConnectionState.IDLE
            self.lifecycle.transition_to(ConnectionState.CLOSED)
            self.server = None
            if had_request:
                self.process.request_log.record(
                    "client_left", self.request_id, "reset" if reset else "closed"
                )
                self.process.submit(ClientLeft(self.number, reset))
