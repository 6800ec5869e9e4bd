"""Probes of one server, one at a time, on a connection that is kept."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from pointgw.interface import Ending, Report
from pointgw.net.core.effects import Address, Probe
from pointgw.net.core.events import ProbeEnded
from pointgw.net.run.input_first_timer import InputFirstTimer
from pointgw.net.run.link import Link
from pointgw.net.wire import lines
from pointgw.site import MalformedInputError

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess
    from pointgw.net.run.probe_pool import ProbePool


class ProbeConnection:
    """The connection to one server, and the probe in progress on it, if any."""

    __slots__ = ("address", "buffer", "link", "pool", "probe", "process", "reused", "server", "task", "timer")

    def __init__(self, process: BalancerProcess, pool: ProbePool, server: str, address: Address) -> None:
        self.process, self.pool, self.server, self.address = process, pool, server, address
        self.probe: Probe | None = None  # in progress
        self.reused = False  # the probe was sent on a connection that was already open
        self.link: Link | None = None  # the current connection; data on others is ignored
        self.buffer = bytearray()  # received after the last whole line
        self.timer: InputFirstTimer | None = None
        self.task: asyncio.Task[None] | None = None

    def send(self, probe: Probe) -> None:
        """Sends a probe, on a new connection where none is open."""
        self.probe = probe
        self.timer = InputFirstTimer(self.process.loop, probe.timeout, partial(self._finish, "timeout", {}))
        if self.link is not None and self.link.is_connected:
            self.reused = True
            self.on_connected()
        else:
            self._open(probe)

    def _open(self, probe: Probe) -> None:
        self.close()
        self.reused = False
        self.buffer.clear()
        self.link = link = Link(self)
        self.task = self.process.loop.create_task(self._connect(probe, link))
        on_timeout = partial(self._connect_failed, probe, link, TimeoutError())
        InputFirstTimer(self.process.loop, probe.connect_timeout, on_timeout)

    async def _connect(self, probe: Probe, link: Link) -> None:
        try:
            await self.process.loop.create_connection(lambda: link, *probe.address)
            self.process.route_evidence.record_connected(probe.address, self.process.now())
        except OSError as error:
            self._connect_failed(probe, link, error)

    def _connect_failed(self, probe: Probe, link: Link, error: OSError) -> None:
        """Ends the probe, unless the connection has come up meanwhile; then its response decides."""
        if link is self.link and link.transport is None:
            self._finish(
                self.process.route_evidence.failure_ending(error, probe.address, self.process.now()), {}
            )

    def on_connected(self) -> None:
        if self.link is not None and self.probe is not None:
            self.link.send(lines.STATS + lines.LINE_END)

    def on_data(self, data: bytes) -> None:
        self.buffer += data
        try:
            line = lines.pop_line(self.buffer)
        except MalformedInputError:
            line = lines.ERR
        if line is None:
            return
        if self.probe is None:
            self.close()  # unsolicited line
            self.pool.release(self)
            return
        answer = lines.parse_probe_line(line)
        if answer.has_invalid_report:
            self.process.count_refusal("bad report", line[:80])
        if self.buffer:  # guards against late data being read as the next probe's answer
            self.close()
        self._finish(answer.ending, answer.report)

    def on_lost(self) -> None:
        """Sends the probe again where the server had closed an idle connection; else it ends as reset."""
        self.link = None
        if self.probe is None:
            self.pool.release(self)
            return
        if self.reused:
            self._open(self.probe)
        else:
            self._finish("reset", {})

    def _finish(self, ending: Ending, report: Report) -> None:
        probe, self.probe = self.probe, None
        if self.timer is not None:
            self.timer.cancel()
        if ending in ("timeout", "no-connection", "moot"):
            self.close()
        self.pool.release(self)
        if probe is not None:
            self.process.submit(ProbeEnded(probe.server, ending, report))

    def abandon(self) -> None:
        """Ends the probe, also one that waits to connect: rule 3, its server may get nothing new."""
        self.close()
        self._finish("moot", {})

    def close(self) -> None:
        """Closes the connection without an event."""
        if self.task is not None:
            self.task.cancel()
        link, self.link = self.link, None
        if link is not None:
            link.close()
