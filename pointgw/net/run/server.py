"""A tunnel's connection to its server: the setup, and then the server's lines to the client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from pointgw.interface import Ending
from pointgw.net.core.effects import Connect
from pointgw.net.core.events import LoadReported, ServerSlow, SetupConnected, SetupEnded, SetupOpened
from pointgw.net.run import tcp
from pointgw.net.run.client import ClientSide
from pointgw.net.run.connection_state import ConnectionLifecycle, ConnectionState
from pointgw.net.wire import lines
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess


class ServerSide(asyncio.Protocol):
    """One setup on a connection of its own. Its request is written by `write` alone, which the reducer asks
    for once the connection is up; until then nothing was sent, and it can be dropped at any time.
    """

    __slots__ = (
        "asked", "buffer", "client", "closing", "life", "node", "task", "timer", "transport", "until", "up",
        "waits_since",
    )  # fmt: skip

    def __init__(self, node: BalancerProcess, asked: Connect, client: ClientSide) -> None:
        self.node, self.asked, self.client = node, asked, client
        self.life = ConnectionLifecycle(ConnectionState.DIALLING)
        self.buffer = bytearray()  # what came after the last whole line
        self.closing: lines.EndLine | None = None  # how the server said that it ends
        self.transport: asyncio.Transport | None = None
        self.up: lines.Up | None = None
        self.waits_since: float | None = None  # since when the client's lines have brought nothing back
        self.until = node.now() + asked.delay + asked.timeout  # the loop's clock is old when it is busy
        dialled = asked.delay + min(asked.connect_timeout, asked.timeout)
        self.timer = node.loop.call_later(dialled, self._late)
        self.task = node.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            if self.asked.delay:
                await asyncio.sleep(self.asked.delay)
            await self.node.loop.create_connection(lambda: self, *self.asked.address)
        except OSError as fault:
            if self.life.state is ConnectionState.DIALLING:
                self._end(self.node.route.failure_ending(fault, self.asked.address, self.node.now()))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.route.record_connected(self.asked.address, self.node.now())
        if self.life.state is not ConnectionState.DIALLING:
            self.transport.abort()  # given up while it came up
            return
        self.transport.set_write_buffer_limits(tcp.FULL_BUFFER)
        if not self.client.found_gone():  # else its end was fed, and this is dropped by it
            self.node.feed(SetupConnected(self.asked.client, self.asked.setup))

    def write(self) -> None:
        """The request. Its `d` is what is left now of the time that this balancer waits."""
        if self.life.state is not ConnectionState.DIALLING or self.transport is None:
            return
        left = self.until - self.node.now()
        self.timer.cancel()
        self.timer = self.node.loop.call_later(left, self._late)
        self.life.transition_to(ConnectionState.WRITTEN)
        told = None if self.asked.remaining_time is None else left
        self.transport.write(lines.encode_open_request(self.asked.request, told))

    def data_received(self, data: bytes) -> None:
        if self.life.over:
            self.node.connections.dropped(self, len(data))
            return
        self.buffer += data
        if self.up is None:
            try:
                self._first_line()
            except Malformed:
                self._end("error")
        if self.life.state is ConnectionState.JOINED:
            self._lines()
        elif len(self.buffer) > tcp.FULL_BUFFER:  # guards memory where its client was not joined
            self._end(self.life.disconnect_ending())

    def _first_line(self) -> None:
        while self.up is None and not self.life.over:
            line = lines.pop_line(self.buffer)
            if line is None:
                return
            message = lines.parse_server_line(line)
            if isinstance(message, lines.Up) and self.life.state is ConnectionState.WRITTEN:
                self.up = message
                self.timer.cancel()
                self.life.transition_to(ConnectionState.ANSWERED)
                self.node.feed(SetupOpened(self.asked.client, self.asked.setup))
            elif isinstance(message, lines.EndLine):
                self.closing = message
                self._end(message.ending)
            elif not isinstance(message, lines.Load):
                self._end("error")

    def _lines(self) -> None:
        """Passes whole lines on; what they say to the balancer is read on the way."""
        at = self.buffer.rfind(b"\n") + 1
        if not at:
            if len(self.buffer) > lines.MAX_LINE_BYTES:
                self._end("reset")
            return
        whole = bytes(self.buffer[:at])
        del self.buffer[:at]
        if self.waits_since is not None:
            span, self.waits_since = self.node.now() - self.waits_since, None
            if span > self.node.slow_after:
                self.node.feed(ServerSlow(self.asked.client, span, False))
        for line in whole.split(b"\n"):
            if line[:1] in (b"L", b"B", b"M"):
                message = lines.parse_server_line(line.removesuffix(b"\r"))
                if isinstance(message, lines.Load):
                    self.node.feed(LoadReported(self.asked.client, message))
                elif isinstance(message, lines.EndLine) and message.ending in ("ok", "cancelled"):
                    self.closing = message
        if self.life.state is ConnectionState.JOINED:
            self.client.pass_back(whole)

    def join(self) -> None:
        assert self.up is not None
        if self.client.join(self, self.up.line):
            self.life.transition_to(ConnectionState.JOINED)

    def pass_on(self, data: bytes) -> None:
        if self.transport is not None and self.life.state is ConnectionState.JOINED:
            self.transport.write(data)
            if self.waits_since is None:
                self.waits_since = self.node.now()

    def hold_back(self) -> None:
        """Its client is slow to read: not read itself meanwhile, and not taken to be silent."""
        self.waits_since = None
        tcp.pause(self.transport)

    def go_on(self) -> None:
        tcp.resume(self.transport)

    def look(self, now: float) -> None:
        """By the clock: a server that has brought nothing back for long may be gone."""
        if self.waits_since is not None and now - self.waits_since > self.node.slow_after:
            self.node.feed(ServerSlow(self.asked.client, now - self.waits_since, True))

    def drop(self, reset: bool) -> None:
        """Given up, or its client has gone."""
        if self.life.over:
            return
        joined = self.life.state is ConnectionState.JOINED
        self._leave(ConnectionState.HALF_CLOSED if joined and not reset else ConnectionState.ENDED)
        if self.transport is None:
            return
        if reset:
            tcp.reset(self.transport)
        elif joined:
            self.node.connections.linger(self, self.transport)
        else:
            self.transport.abort()

    def give_up(self) -> None:
        """Whatever it was for went wrong: its end is reported as if its connection had broken."""
        self._end(self.life.disconnect_ending())

    def _leave(self, stage: ConnectionState) -> None:
        self.life.transition_to(stage)
        self.timer.cancel()
        if self.transport is None:
            self.task.cancel()
        self.node.servers.pop((self.asked.client, self.asked.setup), None)

    def _late(self) -> None:
        self._end(self.life.timeout_ending())

    def _end(self, ending: Ending, reset: bool = False) -> None:
        if self.life.over:
            return
        closing = self.closing or lines.EndLine(ending, {})
        if closing.has_invalid_report:
            self.node.refused("bad report", closing.ending)
        self._leave(ConnectionState.ENDED)
        if self.transport is not None:
            self.transport.abort()
        # One that said how it ends has ended in order, however its connection broke then.
        reset = reset and self.closing is None
        told = {"attempt": self.asked.setup}
        self.node.requests.step("attempt_ended", self.client.request, closing.ending, **told)
        self.node.feed(SetupEnded(self.asked.client, self.asked.setup, closing, reset))

    def pause_writing(self) -> None:
        if self.life.state is ConnectionState.JOINED:
            tcp.pause(self.client.transport)

    def resume_writing(self) -> None:
        if self.life.state is ConnectionState.JOINED:
            tcp.resume(self.client.transport)

    def eof_received(self) -> None:
        self._end(self.life.disconnect_ending())

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(self.life.disconnect_ending(), exc is not None)
        if self.life.state is ConnectionState.HALF_CLOSED:
            self.life.transition_to(ConnectionState.ENDED)
        self.node.connections.gone(self)
