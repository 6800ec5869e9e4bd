"""The tier's datagrams on a socket: one protocol, one timer."""

from __future__ import annotations

import asyncio
import ipaddress
from collections.abc import Callable
from typing import cast

from pointgw.cluster.node import ClusterNode, Out

LEAST = 0.005  # seconds between two turns

Address = tuple[str, int]


class ClusterTransport(asyncio.DatagramProtocol):
    """Speaks for one balancer. `before` is called before each turn, `after` once it was taken."""

    def __init__(
        self,
        tier: ClusterNode,
        peers: tuple[Address, ...],
        loop: asyncio.AbstractEventLoop,
        before: Callable[[float], None],
        after: Callable[[float], None],
    ) -> None:
        self.node, self.peers, self.loop, self.before, self.after = tier, peers, loop, before, after
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.others: dict[bytes, Callable[[bytes, Address], None]] = {}  # who takes datagrams of other names

    async def listen(self, at: Address) -> None:
        """Raises `OSError` where the address can't be had."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=at)
        self._turn()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if not self.node.keys.keys and not ipaddress.ip_address(addr[0]).is_loopback:
            self.node.figures["refused: unsigned, from elsewhere"] += 1
            return
        if data[:2] in self.others:
            self.others[data[:2]](data, addr)
            return
        self._send(self.node.receive(data, self.loop.time()))

    def error_received(self, exc: Exception) -> None:
        self.node.figures["not delivered"] += 1  # nobody listens there; time tells

    def _turn(self) -> None:
        now = self.loop.time()
        self.before(now)
        self._send(self.node.timer_due(now))
        self.after(now)
        self.timer = self.loop.call_later(max(LEAST, self.node.next_at(now) - now), self._turn)

    def _send(self, out: Out) -> None:
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
