"""A tunnel's connection to its server: the setup, and then the server's lines to the client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from pointgw.interface import Ending
from pointgw.net.core.effects import Connect
from pointgw.net.core.events import LoadReported, ServerSlow, SetupConnected, SetupEnded, SetupOpened
from pointgw.net.run import tcp
from pointgw.net.run.client import ClientConnection
from pointgw.net.run.connection_state import ConnectionLifecycle, ConnectionState
from pointgw.net.wire import lines
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess


class ServerConnection(asyncio.Protocol):
    """One setup on a connection of its own. Its request is written by `write` alone, which the reducer asks
    for once the connection is up; until then nothing was sent, and it can be dropped at any time.
    """

    __slots__ = (
        "attempt", "buffer", "client", "deadline", "end_line", "lifecycle", "process", "task", "timer",
        "transport", "unanswered_since", "up_line",
    )  # fmt: skip

    def __init__(self, node: BalancerProcess, asked: Connect, client: ClientConnection) -> None:
        self.process, self.attempt, self.client = node, asked, client
        self.lifecycle = ConnectionLifecycle(ConnectionState.CONNECTING)
        self.buffer = bytearray()  # what came after the last whole line
        self.end_line: lines.EndLine | None = None  # how the server said that it ends
        self.transport: asyncio.Transport | None = None
        self.up_line: lines.Up | None = None
        self.unanswered_since: float | None = None  # since when the client's lines have brought nothing back
        self.deadline = node.now() + asked.delay + asked.timeout  # the loop's clock is old when it is busy
        dialled = asked.delay + min(asked.connect_timeout, asked.timeout)
        self.timer = node.loop.call_later(dialled, self._timed_out)
        self.task = node.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            if self.attempt.delay:
                await asyncio.sleep(self.attempt.delay)
            await self.process.loop.create_connection(lambda: self, *self.attempt.address)
        except OSError as fault:
            if self.lifecycle.state is ConnectionState.CONNECTING:
                self._end(
                    self.process.route_evidence.failure_ending(
                        fault, self.attempt.address, self.process.now()
                    )
                )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.process.route_evidence.record_connected(self.attempt.address, self.process.now())
        if self.lifecycle.state is not ConnectionState.CONNECTING:
            self.transport.abort()  # given up while it came up
            return
        self.transport.set_write_buffer_limits(tcp.BUFFER_LIMIT)
        if not self.client.detect_disconnect():  # else its end was fed, and this is dropped by it
            self.process.submit(SetupConnected(self.attempt.client, self.attempt.setup))

    def write_request(self) -> None:
        """The request. Its `d` is what is left now of the time that this balancer waits."""
        if self.lifecycle.state is not ConnectionState.CONNECTING or self.transport is None:
            return
        left = self.deadline - self.process.now()
        self.timer.cancel()
        self.timer = self.process.loop.call_later(left, self._timed_out)
        self.lifecycle.transition_to(ConnectionState.REQUEST_SENT)
        told = None if self.attempt.remaining_time is None else left
        self.transport.write(lines.encode_open_request(self.attempt.request, told))

    def data_received(self, data: bytes) -> None:
        if self.lifecycle.is_closing:
            self.process.connections.count_discarded(self, len(data))
            return
        self.buffer += data
        if self.up_line is None:
            try:
                self._read_first_line()
            except Malformed:
                self._end("error")
        if self.lifecycle.state is ConnectionState.RELAYING:
            self._forward_lines()
        elif len(self.buffer) > tcp.BUFFER_LIMIT:  # guards memory where its client was not joined
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
        """Passes whole lines on; what they say to the balancer is read on the way."""
        at = self.buffer.rfind(b"\n") + 1
        if not at:
            if len(self.buffer) > lines.MAX_LINE_BYTES:
                self._end("reset")
            return
        whole = bytes(self.buffer[:at])
        del self.buffer[:at]
        if self.unanswered_since is not None:
            span, self.unanswered_since = self.process.now() - self.unanswered_since, None
            if span > self.process.slow_threshold:
                self.process.submit(ServerSlow(self.attempt.client, span, False))
        for line in whole.split(b"\n"):
            if line[:1] in (b"L", b"B", b"M"):
                message = lines.parse_server_line(line.removesuffix(b"\r"))
                if isinstance(message, lines.Load):
                    self.process.submit(LoadReported(self.attempt.client, message))
                elif isinstance(message, lines.EndLine) and message.ending in ("ok", "cancelled"):
                    self.end_line = message
        if self.lifecycle.state is ConnectionState.RELAYING:
            self.client.send_lines(whole)

    def join(self) -> None:
        assert self.up_line is not None
        if self.client.join(self, self.up_line.line):
            self.lifecycle.transition_to(ConnectionState.RELAYING)

    def forward(self, data: bytes) -> None:
        if self.transport is not None and self.lifecycle.state is ConnectionState.RELAYING:
            self.transport.write(data)
            if self.unanswered_since is None:
                self.unanswered_since = self.process.now()

    def pause_reading(self) -> None:
        """Its client is slow to read: not read itself meanwhile, and not taken to be silent."""
        self.unanswered_since = None
        tcp.pause_reading(self.transport)

    def resume_reading(self) -> None:
        tcp.resume_reading(self.transport)

    def check_inactivity(self, now: float) -> None:
        """By the clock: a server that has brought nothing back for long may be gone."""
        if self.unanswered_since is not None and now - self.unanswered_since > self.process.slow_threshold:
            self.process.submit(ServerSlow(self.attempt.client, now - self.unanswered_since, True))

    def close(self, reset: bool) -> None:
        """Given up, or its client has gone."""
        if self.lifecycle.is_closing:
            return
        joined = self.lifecycle.state is ConnectionState.RELAYING
        self._enter_final_state(
            ConnectionState.HALF_CLOSED if joined and not reset else ConnectionState.CLOSED
        )
        if self.transport is None:
            return
        if reset:
            tcp.abort_with_reset(self.transport)
        elif joined:
            self.process.connections.linger(self, self.transport)
        else:
            self.transport.abort()

    def fail(self) -> None:
        """Whatever it was for went wrong: its end is reported as if its connection had broken."""
        self._end(self.lifecycle.disconnect_ending())

    def _enter_final_state(self, stage: ConnectionState) -> None:
        self.lifecycle.transition_to(stage)
        self.timer.cancel()
        if self.transport is None:
            self.task.cancel()
        self.process.servers.pop((self.attempt.client, self.attempt.setup), None)

    def _timed_out(self) -> None:
        self._end(self.lifecycle.timeout_ending())

    def _end(self, ending: Ending, reset: bool = False) -> None:
        if self.lifecycle.is_closing:
            return
        closing = self.end_line or lines.EndLine(ending, {})
        if closing.has_invalid_report:
            self.process.count_refusal("bad report", closing.ending)
        self._enter_final_state(ConnectionState.CLOSED)
        if self.transport is not None:
            self.transport.abort()
        # One that said how it ends has ended in order, however its connection broke then.
        reset = reset and self.end_line is None
        told = {"attempt": self.attempt.setup}
        self.process.request_log.record("attempt_ended", self.client.request_id, closing.ending, **told)
        self.process.submit(SetupEnded(self.attempt.client, self.attempt.setup, closing, reset))

    def pause_writing(self) -> None:
        if self.lifecycle.state is ConnectionState.RELAYING:
            tcp.pause_reading(self.client.transport)

    def resume_writing(self) -> None:
        if self.lifecycle.state is ConnectionState.RELAYING:
            tcp.resume_reading(self.client.transport)

    def eof_received(self) -> None:
        self._end(self.lifecycle.disconnect_ending())

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(self.lifecycle.disconnect_ending(), exc is not None)
        if self.lifecycle.state is ConnectionState.HALF_CLOSED:
            self.lifecycle.transition_to(ConnectionState.CLOSED)
        self.process.connections.remove(self)
