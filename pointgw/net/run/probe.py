"""Probes of one server, one after another on a connection that is kept."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pointgw.interface import Ending, Report
from pointgw.net.core.effects import Address, Probe
from pointgw.net.core.events import ProbeEnded
from pointgw.net.run.link import Link
from pointgw.net.wire import lines
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess
    from pointgw.net.run.probe_pool import ProbePool


class ProbeSide:
    """The one probe that is out, and the connection it goes out on."""

    __slots__ = ("address", "asked", "buffer", "link", "node", "pool", "reused", "server", "task", "timer")

    def __init__(self, node: BalancerProcess, pool: ProbePool, server: str, address: Address) -> None:
        self.node, self.pool, self.server, self.address = node, pool, server, address
        self.asked: Probe | None = None  # the probe that is out
        self.reused = False  # it went out on a connection that had served before
        self.link: Link | None = None  # the one connection whose bytes count
        self.buffer = bytearray()  # what came on it after the last whole line
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def ask(self, probe: Probe) -> None:
        self.asked = probe
        self.timer = self.node.loop.call_later(probe.timeout, self._end, "timeout", {})
        if self.link is not None and self.link.ready:
            self.reused = True
            self.up()
        else:
            self._open(probe)

    def _open(self, probe: Probe) -> None:
        self.close()
        self.reused = False
        self.buffer.clear()
        self.link = link = Link(self)
        self.task = self.node.loop.create_task(self._connect(probe, link))
        self.node.loop.call_later(probe.connect_timeout, self._undialled, probe, link, TimeoutError())

    async def _connect(self, probe: Probe, link: Link) -> None:
        try:
            await self.node.loop.create_connection(lambda: link, *probe.address)
            self.node.route.record_connected(probe.address, self.node.now())
        except OSError as fault:
            self._undialled(probe, link, fault)

    def _undialled(self, probe: Probe, link: Link, fault: OSError) -> None:
        """A connection that had come up by then is judged by what comes on it."""
        if link is self.link and link.transport is None:
            self._end(self.node.route.failure_ending(fault, probe.address, self.node.now()), {})

    def up(self) -> None:
        if self.link is not None and self.asked is not None:
            self.link.send(lines.STATS + lines.LINE_END)

    def heard(self, data: bytes) -> None:
        self.buffer += data
        try:
            line = lines.pop_line(self.buffer)
        except Malformed:
            line = lines.ERR
        if line is None:
            return
        if self.asked is None:
            self.close()  # nobody asked for it
            self.pool.idle(self)
            return
        answer = lines.parse_probe_line(line)
        if answer.has_invalid_report:
            self.node.refused("bad report", line[:80])
        if self.buffer:  # guards against what comes late being read as the next probe's answer
            self.close()
        self._end(answer.ending, answer.report)

    def lost(self) -> None:
        """Its connection has ended."""
        self.link = None
        if self.asked is None:
            self.pool.idle(self)
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
        self.pool.idle(self)
        if asked is not None:
            self.node.feed(ProbeEnded(asked.server, ending, report))

    def give_up(self) -> None:
        """Its server is to get nothing new, not even what waits for its connection to come up."""
        self.close()
        self._end("moot", {})

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        link, self.link = self.link, None
        if link is not None:
            link.close()
