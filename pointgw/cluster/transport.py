"""Sends and receives a cluster node's datagrams: one asyncio datagram protocol and one timer."""

from __future__ import annotations

import asyncio
import ipaddress
from collections.abc import Callable
from typing import cast

from pointgw.cluster.node import ClusterNode, Datagrams

MIN_TIMER_DELAY = 0.005  # seconds between two timer calls

Address = tuple[str, int]


class ClusterTransport(asyncio.DatagramProtocol):
    """Runs one cluster node on a socket. `before_timer` and `after_timer` are called around each timer call
    of the node."""

    def __init__(
        self,
        node: ClusterNode,
        peers: tuple[Address, ...],
        loop: asyncio.AbstractEventLoop,
        before_timer: Callable[[float], None],
        after_timer: Callable[[float], None],
    ) -> None:
        self.node, self.peers, self.loop, self.before_timer, self.after_timer = (
            node,
            peers,
            loop,
            before_timer,
            after_timer,
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        # Receivers of datagrams of other protocols on this socket, by their first two bytes.
        self.handlers_by_magic: dict[bytes, Callable[[bytes, Address], None]] = {}

    async def listen(self, address: Address) -> None:
        """Opens the socket and starts the timer. Raises `OSError` if the address is not available."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._timer_due()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if not self.node.keys.keys and not ipaddress.ip_address(addr[0]).is_loopback:
            self.node.counters["refused: unsigned, from elsewhere"] += 1
            return
        if data[:2] in self.handlers_by_magic:
            self.handlers_by_magic[data[:2]](data, addr)
            return
        self._send(self.node.receive(data, self.loop.time()))

    def error_received(self, exc: Exception) -> None:
        # Nobody listens there; the membership notices that no answer comes.
        self.node.counters["not delivered"] += 1

    def _timer_due(self) -> None:
        now = self.loop.time()
        self.before_timer(now)
        self._send(self.node.timer_due(now))
        self.after_timer(now)
        self.timer = self.loop.call_later(
            max(MIN_TIMER_DELAY, self.node.next_timer_at(now) - now), self._timer_due
        )

    def _send(self, datagrams: Datagrams) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        for receiver, data in datagrams:
            self.transport.sendto(data, self.peers[receiver])

    def stop(self) -> None:
        """Announces the stop and closes the socket."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self._send(self.node.leave(self.loop.time()))
            self.transport.close()
