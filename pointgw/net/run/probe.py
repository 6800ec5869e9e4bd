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


class ProbeSide:
    """The one probe that is out, and the connection it goes out on."""

    __slots__ = ("asked", "link", "node", "reused", "task", "timer")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.asked: Probe | None = None  # the probe that is out
        self.reused = False  # it went out on a connection that had served before
        self.link: ProbeLink | None = None  # the one connection whose bytes count
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def ask(self, probe: Probe) -> None:
        self.asked = probe
        self.timer = self.node.loop.call_later(probe.within, self._end, "timeout", {})
        if self.link is not None and self.link.ready:
            self.reused = True
            self.link.ask()
        else:
            self._open(probe)

    def _open(self, probe: Probe) -> None:
        self.close()
        self.reused = False
        self.link = link = ProbeLink(self)
        self.task = self.node.loop.create_task(self._connect(probe, link))
        self.node.loop.call_later(probe.connect_within, self._undialled, link, TimeoutError())

    async def _connect(self, probe: Probe, link: ProbeLink) -> None:
        try:
            await self.node.loop.create_connection(lambda: link, *probe.address)
        except OSError as fault:
            self._undialled(link, fault)

    def _undialled(self, link: ProbeLink, fault: OSError) -> None:
        """A connection that had come up by then is judged by what comes on it."""
        if link is self.link and link.transport is None:
            self._end(ends.no_connection(fault), {})

    def answered(self, line: bytes, more: bool) -> None:
        if self.asked is None:
            self.close()  # nobody asked for it
            return
        answer = lines.probe_line(line)
        if answer.spoilt:
            self.node.refused("bad report", line[:80])
        if more:  # guards against what comes late being read as the next probe's answer
            self.close()
        self._end(answer.ending, answer.report)

    def lost(self) -> None:
        """Its connection has ended."""
        self.link = None
        if self.asked is None:
            return
        if self.reused:  # the server has ended a connection that was idle: asked again on a new one
            self._open(self.asked)
        else:
            self._end("reset", {})

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
        link, self.link = self.link, None
        if link is not None:
            link.close()


class ProbeLink(asyncio.Protocol):
    """One connection. Once its owner has let go of it, nothing that still happens to it counts."""

    __slots__ = ("buffer", "owner", "transport")

    def __init__(self, owner: ProbeSide) -> None:
        self.owner = owner
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    @property
    def ready(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.owner.link is not self:
            self.transport.abort()  # a dial that was given up, and came up all the same
        elif self.owner.asked is not None:
            self.ask()

    def ask(self) -> None:
        assert self.transport is not None
        self.transport.write(lines.STATS + lines.END)

    def data_received(self, data: bytes) -> None:
        if self.owner.link is not self:
            return
        self.buffer += data
        try:
            line = lines.cut(self.buffer)
        except Malformed:
            line = lines.ERR
        if line is not None:
            self.owner.answered(line, bool(self.buffer))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.owner.link is self:
            self.owner.lost()
