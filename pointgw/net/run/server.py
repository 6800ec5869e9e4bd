"""A tunnel's connection to its server: the setup, and then the server's lines to the client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from pointgw.interface import Ending
from pointgw.net.memory.effects import Connect
from pointgw.net.memory.events import Ended, Opened, Slow, Weighed
from pointgw.net.run import ends
from pointgw.net.run.client import ClientSide
from pointgw.net.wire import lines
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.node import Node


class ServerSide(asyncio.Protocol):
    __slots__ = (
        "asked", "buffer", "client", "closing", "node", "over", "task", "timer", "transport", "up",
        "waits_since",
    )  # fmt: skip

    def __init__(self, node: Node, asked: Connect, client: ClientSide) -> None:
        self.node, self.asked, self.client = node, asked, client
        self.buffer = bytearray()  # what came after the last whole line
        self.closing: lines.Closing | None = None  # how the server said that it ends
        self.transport: asyncio.Transport | None = None
        self.up: lines.Up | None = None
        self.over = False
        self.waits_since: float | None = None  # since when the client's lines have brought nothing back
        self.timer = node.loop.call_later(asked.after + asked.within, self._late)
        self.task = node.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await asyncio.sleep(self.asked.after)
            async with asyncio.timeout(self.asked.connect_within):
                await self.node.loop.create_connection(lambda: self, *self.asked.address)
        except (OSError, TimeoutError) as fault:
            self._end(ends.no_connection(fault))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(ends.FULL_BUFFER)
        self.transport.write(lines.opening_line(self.asked.opening, self.asked.patience))

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.buffer += data
        if self.up is None:
            try:
                self._first_line()
            except Malformed:
                self._end("error")
        if self.up is not None and not self.over:
            self._lines()

    def _first_line(self) -> None:
        while self.up is None and not self.over:
            line = lines.cut(self.buffer)
            if line is None:
                return
            message = lines.server_line(line)
            if isinstance(message, lines.Up):
                self.up = message
                self.timer.cancel()
                self.node.feed(Opened(self.asked.client, self.asked.setup))
            elif isinstance(message, lines.Closing):
                self.closing = message
                self._end(message.ending)
            elif message is None:
                self._end("error")

    def _lines(self) -> None:
        """Passes whole lines on; what they say to the balancer is read on the way."""
        at = self.buffer.rfind(b"\n") + 1
        if not at:
            if len(self.buffer) > lines.LONGEST:
                self._end("reset")
            return
        whole = bytes(self.buffer[:at])
        del self.buffer[:at]
        if self.waits_since is not None:
            span, self.waits_since = self.node.now() - self.waits_since, None
            if span > self.node.slow_after:
                self.node.feed(Slow(self.asked.client, span, False))
        for line in whole.split(b"\n"):
            if line[:1] in (b"L", b"B", b"M"):
                message = lines.server_line(line.removesuffix(b"\r"))
                if isinstance(message, lines.Load):
                    self.node.feed(Weighed(self.asked.client, message))
                elif isinstance(message, lines.Closing) and message.ending in ("ok", "cancelled"):
                    self.closing = message
        if not self.over:
            self.client.transport.write(whole)

    def join(self) -> None:
        assert self.up is not None
        self.client.join(self, self.up.line)

    def pass_on(self, data: bytes) -> None:
        if self.transport is not None and not self.over:
            self.transport.write(data)
            if self.waits_since is None:
                self.waits_since = self.node.now()

    def hold_back(self) -> None:
        """Its client is slow to read: not read itself meanwhile, and not taken to be silent."""
        self.waits_since = None
        ends.pause(self.transport)

    def go_on(self) -> None:
        ends.resume(self.transport)

    def look(self, now: float) -> None:
        """By the clock: a server that has brought nothing back for long may be gone."""
        if self.waits_since is not None and now - self.waits_since > self.node.slow_after:
            self.node.feed(Slow(self.asked.client, now - self.waits_since, True))

    def drop(self, reset: bool) -> None:
        """Given up, or its client has gone."""
        self._stop()
        if self.transport is not None:
            if reset:
                ends.reset(self.transport)
            elif self.up is None:
                self.transport.abort()
            else:
                ends.finish(self.transport)

    def _stop(self) -> None:
        self.over = True
        self.timer.cancel()
        if self.transport is None:
            self.task.cancel()
        self.node.servers.pop((self.asked.client, self.asked.setup), None)

    def _late(self) -> None:
        self._end("no-connection" if self.transport is None else "timeout")

    def _end(self, ending: Ending, reset: bool = False) -> None:
        if self.over:
            return
        closing = self.closing or lines.Closing(ending, {})
        if closing.spoilt:
            self.node.refused("bad report", closing.ending)
        self._stop()
        if self.transport is not None:
            self.transport.abort()
        self.node.feed(Ended(self.asked.client, self.asked.setup, closing, reset))

    def pause_writing(self) -> None:
        ends.pause(self.client.transport)

    def resume_writing(self) -> None:
        ends.resume(self.client.transport)

    def eof_received(self) -> None:
        self._end("reset")  # the line went out with the connection, so it may have run

    def connection_lost(self, exc: Exception | None) -> None:
        self._end("reset", exc is not None)
