"""Kept connections for probes, limited in number so that clients have enough descriptors."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from pointgw.net.core.effects import Probe
from pointgw.net.core.events import ProbeEnded
from pointgw.net.run.probe import ProbeConnection

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess

DESCRIPTOR_SHARE = 1 / 4  # share of the process's descriptors; clients and setups need two thirds


class ProbePool:
    """At most one connection per server, and `limit` in all.

    At the limit the connection that has been idle longest is closed. Where none is idle a probe waits; one
    that is not sent within its timeout ends as "moot", which is not attributed to its server.
    """

    def __init__(self, process: BalancerProcess, descriptors: int) -> None:
        self.process = process
        self.limit = max(1, int(descriptors * DESCRIPTOR_SHARE))
        self.connections: dict[str, ProbeConnection] = {}  # by server, least recently used first
        self.waiting: dict[str, Probe] = {}  # by server, in order of request, until a connection is free

    def __len__(self) -> int:
        return len(self.connections)

    def send(self, probe: Probe) -> None:
        """Sends a probe, now or as soon as a connection is free."""
        connection = self.connections.pop(probe.server, None)
        if connection is not None and connection.address != probe.address:  # the server has a new address
            connection.close()
            connection = None
        if connection is None and len(self.connections) >= self.limit and not self.close_idle():
            self.waiting[probe.server] = probe
            self.process.loop.call_later(probe.timeout, self._wait_timed_out, probe)
            return
        connection = connection or ProbeConnection(self.process, self, probe.server, probe.address)
        self.connections[probe.server] = connection
        connection.send(probe)

    def close_idle(self) -> bool:
        """Closes the connection that has been idle longest. False: none is idle."""
        idle = next(
            (connection for connection in self.connections.values() if connection.probe is None), None
        )
        if idle is None:
            return False
        self.connections.pop(idle.server)
        idle.close()
        return True

    def abandon(self, server: str) -> None:
        """Ends the server's probe and closes its connection: rule 3, the server may get nothing new."""
        probe, connection = self.waiting.pop(server, None), self.connections.get(server)
        if probe is not None:
            self._report_moot(probe)
        if connection is not None:
            connection.abandon()

    def release(self, connection: ProbeConnection) -> None:
        """Called when a probe has ended or an idle connection was lost. Removes a closed connection."""
        if connection.link is None and self.connections.get(connection.server) is connection:
            del self.connections[connection.server]
        self._send_waiting()

    def _send_waiting(self) -> None:
        ready = deque(self.waiting.values())
        while ready and (len(self.connections) < self.limit or self.close_idle()):
            probe = ready.popleft()
            if self.waiting.pop(probe.server, None) is not None:
                self.send(probe)

    def _wait_timed_out(self, probe: Probe) -> None:
        if self.waiting.get(probe.server) is probe:
            del self.waiting[probe.server]
            self._report_moot(probe)

    def _report_moot(self, probe: Probe) -> None:
        self.process.submit(ProbeEnded(probe.server, "moot", {}))
