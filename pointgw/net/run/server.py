"""A tunnel's connection to its server: the setup, and then the lines that the server sends to the client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from pointgw.interface import Ending
from pointgw.net.core.effects import Connect
from pointgw.net.core.events import LoadReported, ServerSlow, SetupConnected, SetupEnded, SetupOpened
from pointgw.net.run import tcp
from pointgw.net.run.bounded_reader import BoundedReader
from pointgw.net.run.client import ClientConnection
from pointgw.net.run.connection_state import ConnectionLifecycle, ConnectionState
from pointgw.net.run.input_first_timer import InputFirstTimer
from pointgw.net.wire import lines
from pointgw.site import MalformedInputError

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess


class ServerConnection(BoundedReader):
    """One setup on a connection of its own. Only `write_request` writes the request, once the reducer has
    been notified that the connection is up; before that nothing was sent, and the setup can be dropped
    safely.
    """

    __slots__ = (
        "attempt", "buffer", "client", "deadline", "end_line", "lifecycle", "process", "task", "timer",
        "unanswered_since", "up_line",
    )  # fmt: skip

    def __init__(self, process: BalancerProcess, attempt: Connect, client: ClientConnection) -> None:
        super().__init__(process.loop, process.buffer_limit)
        self.transport = None
        self.process, self.attempt, self.client = process, attempt, client
        self.lifecycle = ConnectionLifecycle(ConnectionState.CONNECTING)
        self.buffer = bytearray()  # received after the last whole line
        self.end_line: lines.EndLine | None = None  # the last line of a server that closes in order
        self.up_line: lines.Up | None = None
        self.unanswered_since: float | None = None  # when client data was first left without a reply
        # Not by the loop's clock, which lags while the loop is busy.
        self.deadline = process.now() + attempt.delay + attempt.timeout
        connect_limit = attempt.delay + min(attempt.connect_timeout, attempt.timeout)
        self.timer = InputFirstTimer(process.loop, connect_limit, self._timed_out)
        self.task = process.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            if self.attempt.delay:
                await asyncio.sleep(self.attempt.delay)
            await self.process.loop.create_connection(lambda: self, *self.attempt.address)
        except OSError as error:
            if self.lifecycle.state is ConnectionState.CONNECTING:
                self._end(
                    self.process.route_evidence.failure_ending(
                        error, self.attempt.address, self.process.now()
                    )
                )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.process.route_evidence.record_connected(self.attempt.address, self.process.now())
        if self.lifecycle.state is not ConnectionState.CONNECTING:
            self.transport.abort()  # abandoned while connecting
            return
        self.transport.set_write_buffer_limits(self.buffer_limit)
        if self.process.now() >= self.deadline:  # the event loop was late: no evidence against the server
            self._end("moot")
        elif not self.client.detect_disconnect():  # otherwise its ClientLeft ends this setup
            self.process.submit(SetupConnected(self.attempt.client, self.attempt.setup))

    def write_request(self) -> None:
        """Writes the request. Its `d` is the time that remains of this setup's timeout."""
        if self.lifecycle.state is not ConnectionState.CONNECTING or self.transport is None:
            return
        remaining = self.deadline - self.process.now()
        self.timer.cancel()
        self.timer = InputFirstTimer(self.process.loop, remaining, self._timed_out)
        self.lifecycle.transition_to(ConnectionState.REQUEST_SENT)
        sent_remaining = None if self.attempt.remaining_time is None else remaining
        self.transport.write(lines.encode_open_request(self.attempt.request, sent_remaining))

    def data_received(self, data: bytes) -> None:
        if self.lifecycle.is_closing:
            self.process.connections.count_discarded(self, len(data))
            return
        self.buffer += data
        if self.up_line is None:
            try:
                self._read_first_line()
            except MalformedInputError:
                self._end("error")
        if self.lifecycle.state is ConnectionState.RELAYING:
            self._forward_lines()
        elif len(self.buffer) > self.buffer_limit:  # limits memory before relaying starts
            self._end(self.lifecycle.disconnect_ending())

    def _read_first_line(self) -> None:
        while self.up_line is None and not self.lifecycle.is_closing:
            line = lines.pop_line(self.buffer)
            if line is None:
                return
            message = lines.parse_server_line(line)
            if isinstance(message, lines.Up) and self.lifecycle.state is ConnectionState.REQUEST_SENT:
                self.up_line = message
                self.timer.cancel()
                self.lifecycle.transition_to(ConnectionState.ANSWERED)
                self.process.submit(SetupOpened(self.attempt.client, self.attempt.setup))
            elif isinstance(message, lines.EndLine):
                self.end_line = message
                self._end(message.ending)
            elif not isinstance(message, lines.Load):
                self._end("error")

    def _forward_lines(self) -> None:
        """Forwards whole lines to the client, and reads those that are meant for the balancer."""
        end = self.buffer.rfind(b"\n") + 1
        if not end:
            if len(self.buffer) > lines.MAX_LINE_BYTES:
                self._end("reset")
            return
        whole_lines = bytes(self.buffer[:end])
        del self.buffer[:end]
        if self.unanswered_since is not None:
            self._check_delay(self.process.now() - self.unanswered_since)
            self.unanswered_since = None
        load, end_line = lines.parse_relayed_lines(whole_lines)
        self.end_line = end_line or self.end_line
        if load is not None:
            self.process.submit(LoadReported(self.attempt.client, load))
        if self.lifecycle.state is ConnectionState.RELAYING:
            self.client.send_lines(whole_lines)

    def _check_delay(self, elapsed: float) -> None:
        """Reports a reply that came late. The time for which it lay unread is this process's own."""
        assert self.transport is not None
        if elapsed > self.process.slow_threshold:
            elapsed -= tcp.seconds_since_received(self.transport)
        if elapsed > self.process.slow_threshold:
            self.process.submit(ServerSlow(self.attempt.client, elapsed, False))

    def start_relay(self) -> None:
        """Sends the UP line to the client, and relays from now on unless the client has left."""
        assert self.up_line is not None
        if self.client.start_relay(self, self.up_line.line):
            self.lifecycle.transition_to(ConnectionState.RELAYING)

    def forward(self, data: bytes) -> None:
        """Sends the client's data to the server."""
        if self.transport is not None and self.lifecycle.state is ConnectionState.RELAYING:
            self.transport.write(data)
            if self.unanswered_since is None:
                self.unanswered_since = self.process.now()

    def hold_reading(self) -> None:
        """Stops reading while the client is slow to read; the server does not count as silent meanwhile."""
        self.unanswered_since = None
        super().hold_reading()

    def check_inactivity(self, now: float) -> None:
        """Reports a server that has sent nothing for too long since the client's data: it may be gone."""
        if self.unanswered_since is None or self.transport is None:
            return
        is_silent = now - self.unanswered_since > self.process.slow_threshold
        if is_silent and not tcp.unread_bytes(self.transport):
            self.process.submit(ServerSlow(self.attempt.client, now - self.unanswered_since, True))

    def close(self, reset: bool) -> None:
        """Closes it without an event, as the setup was abandoned or the client has left."""
        if self.lifecycle.is_closing:
            return
        relaying = self.lifecycle.state is ConnectionState.RELAYING
        self._enter_final_state(
            ConnectionState.HALF_CLOSED if relaying and not reset else ConnectionState.CLOSED
        )
        if self.transport is None:
            return
        if reset:
            tcp.abort_with_reset(self.transport)
        elif relaying:
            self.process.connections.linger(self, self.transport)
        else:
            self.transport.abort()

    def fail(self) -> None:
        """Ends it after an internal error, and reports that as if the connection had broken."""
        self._end(self.lifecycle.disconnect_ending())

    def _enter_final_state(self, state: ConnectionState) -> None:
        self.lifecycle.transition_to(state)
        self.timer.cancel()
        if self.transport is None:
            self.task.cancel()
        self.process.servers.pop((self.attempt.client, self.attempt.setup), None)

    def _timed_out(self) -> None:
        self._end(self.lifecycle.timeout_ending())

    def _end(self, ending: Ending, reset: bool = False) -> None:
        if self.lifecycle.is_closing:
            return
        end_line = self.end_line or lines.EndLine(ending, {})
        if end_line.has_invalid_report:
            self.process.count_refusal("bad report", end_line.ending)
        self._enter_final_state(ConnectionState.CLOSED)
        if self.transport is not None:
            self.transport.abort()
        # A server that has sent its last line has ended in order, even if its connection was then reset.
        reset = reset and self.end_line is None
        fields = {"attempt": self.attempt.setup}
        self.process.request_log.record("attempt_ended", self.client.request_id, end_line.ending, **fields)
        self.process.submit(SetupEnded(self.attempt.client, self.attempt.setup, end_line, reset))

    def pause_writing(self) -> None:
        if self.lifecycle.state is ConnectionState.RELAYING:
            self.client.hold_reading()

    def resume_writing(self) -> None:
        if self.lifecycle.state is ConnectionState.RELAYING:
            self.client.release_reading()

    def eof_received(self) -> None:
        self._end(self.lifecycle.disconnect_ending())

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(self.lifecycle.disconnect_ending(), exc is not None)
        if self.lifecycle.state is ConnectionState.HALF_CLOSED:
            self.lifecycle.transition_to(ConnectionState.CLOSED)
        self.process.connections.remove(self)
