"""The tier's datagrams on a socket: one protocol, one timer."""

from __future__ import annotations

import asyncio
import ipaddress
from collections.abc import Callable
from typing import cast

from pointgw.cluster.node import ClusterNode, Datagrams

MIN_TIMER_DELAY = 0.005  # seconds between two turns

Address = tuple[str, int]


class ClusterTransport(asyncio.DatagramProtocol):
    """Speaks for one balancer. `before` is called before each turn, `after` once it was taken."""

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
        self.handlers_by_magic: dict[
            bytes, Callable[[bytes, Address], None]
        ] = {}  # who takes datagrams of other names

    async def listen(self, at: Address) -> None:
        """Raises `OSError` where the address can't be had."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=at)
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
        self.node.counters["not delivered"] += 1  # nobody listens there; time tells

    def _timer_due(self) -> None:
        now = self.loop.time()
        self.before_timer(now)
        self._send(self.node.timer_due(now))
        self.after_timer(now)
        self.timer = self.loop.call_later(
            max(MIN_TIMER_DELAY, self.node.next_timer_at(now) - now), self._timer_due
        )

    def _send(self, out: Datagrams) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        for to, data in out:
            self.transport.sendto(data, self.peers[to])

    def stop(self) -> None:
        """The last word, and the end."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self._send(self.node.leave(self.loop.time()))
            self.transport.close()
