"""The connections that are kept for probes: bounded, so that they leave the descriptors to clients."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from pointgw.net.core.effects import Probe
from pointgw.net.core.events import ProbeEnded
from pointgw.net.run.probe import ProbeConnection

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess

DESCRIPTOR_SHARE = (
    1 / 4
)  # of the descriptors that this process may hold: clients and attempts need two thirds


class ProbePool:
    """One connection a server at most, and `limit` of them in all.

    Where all are taken, the one that has been idle longest makes room. Where none is idle a probe waits; one
    that can't go out in its own time ends as "moot", which says nothing of its server.
    """

    def __init__(self, node: BalancerProcess, descriptors: int) -> None:
        self.process = node
        self.limit = max(1, int(descriptors * DESCRIPTOR_SHARE))
        self.connections: dict[str, ProbeConnection] = {}  # by server; the least recently used first
        self.waiting: dict[str, Probe] = {}  # until a connection is free, in the order they were asked for

    def __len__(self) -> int:
        return len(self.connections)

    def send(self, probe: Probe) -> None:
        """Sends a probe, now or as soon as a connection is free."""
        side = self.connections.pop(probe.server, None)
        if side is not None and side.address != probe.address:  # the server has moved
            side.close()
            side = None
        if side is None and len(self.connections) >= self.limit and not self.close_idle():
            self.waiting[probe.server] = probe
            self.process.loop.call_later(probe.timeout, self._wait_timed_out, probe)
            return
        side = side or ProbeConnection(self.process, self, probe.server, probe.address)
        self.connections[probe.server] = side
        side.send(probe)

    def close_idle(self) -> bool:
        """Closes the connection that has been idle longest; False where none is idle."""
        idle = next((side for side in self.connections.values() if side.probe is None), None)
        if idle is None:
            return False
        self.connections.pop(idle.server)
        idle.close()
        return True

    def abandon(self, server: str) -> None:
        """The server is to get nothing new: what was asked of it is given up, its connection is closed."""
        probe, side = self.waiting.pop(server, None), self.connections.get(server)
        if probe is not None:
            self._report_moot(probe)
        if side is not None:
            side.abandon()

    def probe_ended(self, side: ProbeConnection) -> None:
        """A probe has ended. A connection that is not kept makes room at once."""
        if side.link is None and self.connections.get(side.server) is side:
            del self.connections[side.server]
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
