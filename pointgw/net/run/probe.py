"""Probes of one server, one after another on a connection that is kept."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from pointgw.interface import Ending, Report
from pointgw.net.memory.effects import Probe
from pointgw.net.memory.events import Probed
from pointgw.net.run import ends
from pointgw.net.wire import lines
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.node import Node


class ProbeSide(asyncio.Protocol):
    __slots__ = ("asked", "buffer", "node", "reused", "task", "timer", "transport")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.asked: Probe | None = None  # the probe that is out
        self.reused = False  # it went out on a connection that had served before
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def ask(self, probe: Probe) -> None:
        self.asked = probe
        self.timer = self.node.loop.call_later(probe.within, self._end, "timeout", {})
        if self.transport is not None and not self.transport.is_closing():
            self.reused = True
            self._send()
        else:
            self._open(probe)

    def _open(self, probe: Probe) -> None:
        self.reused = False
        self.task = self.node.loop.create_task(self._connect(probe))

    async def _connect(self, probe: Probe) -> None:
        try:
            async with asyncio.timeout(probe.connect_within):
                await self.node.loop.create_connection(lambda: self, *probe.address)
        except (OSError, TimeoutError) as fault:
            if self.asked is probe:
                self._end(ends.no_connection(fault), {})

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.asked is not None:
            self._send()

    def _send(self) -> None:
        assert self.transport is not None
        self.buffer.clear()
        self.transport.write(lines.STATS + lines.END)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        try:
            line = lines.cut(self.buffer)
        except Malformed:
            line = lines.ERR
        if line is not None and self.asked is not None:
            answer = lines.probe_line(line)
            if answer.spoilt:
                self.node.refused("bad report", line[:80])
            self._end(answer.ending, answer.report)

    def _end(self, ending: Ending, report: Report) -> None:
        asked, self.asked = self.asked, None
        if self.timer is not None:
            self.timer.cancel()
        if ending in ("timeout", "no-connection", "moot"):
            self.close()
        if asked is not None:
            self.node.feed(Probed(asked.server, ending, report))

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is None:
            return  # ended by us; another probe may be out already
        self.transport = None
        if self.asked is not None:
            if self.reused:  # the server has ended a connection that was idle: asked again on a new one
                self._open(self.asked)
            else:
                self._end("reset", {})
