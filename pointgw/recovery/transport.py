"""Loans on a socket: one datagram protocol, or the tier's where that has the address."""

from __future__ import annotations

import asyncio
import ipaddress
from collections import Counter
from collections.abc import Callable
from typing import cast

from pointgw.cluster.wire import Keys, RefusedDatagramError
from pointgw.recovery import messages
from pointgw.recovery.leases import Leases
from pointgw.recovery.messages import LeaseMessage

Address = tuple[str, int]


class LeaseTransport(asyncio.DatagramProtocol):
    """Speaks for one balancer. `changed` is called once a loan has come or was given."""

    def __init__(
        self,
        loans: Leases,
        keys: Keys,
        peers: tuple[Address, ...],
        loop: asyncio.AbstractEventLoop,
        changed: Callable[[float], None],
    ) -> None:
        self.leases, self.keys, self.peers, self.loop, self.on_change = loans, keys, peers, loop, changed
        self.transport: asyncio.DatagramTransport | None = None
        self.counters: Counter[str] = Counter()

    async def listen(self, at: Address) -> None:
        """Raises `OSError` where the address can't be had."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=at)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if not self.keys.keys and not ipaddress.ip_address(addr[0]).is_loopback:
            self.counters["refused: unsigned, from elsewhere"] += 1
            return
        try:
            word = messages.decode(data, self.keys)
        except RefusedDatagramError as why:
            self.counters[f"refused: {why}"] += 1
            return
        loans, now = self.leases, self.loop.time()
        if (
            word.receiver != loans.own_index
            or word.balancer_count != loans.balancer_count
            or word.sender >= loans.balancer_count
        ):
            self.counters["refused: another tier's"] += 1
        elif word.kind == messages.REQUEST and loans.receive_request(word.sender, now):
            self.on_change(now)  # first: what is lent is not used here any more
            self._send(messages.GRANT, word.sender, word.request_id)
        elif word.kind == messages.GRANT and loans.receive_grant(word.sender, word.request_id, now):
            self.on_change(now)

    def send_requests(self, needs: bool, idle: bool) -> None:
        for lender, number in self.leases.requests_due(needs, idle, self.loop.time()):
            self._send(messages.REQUEST, lender, number)

    def _send(self, what: messages.MessageKind, to: int, number: int) -> None:
        word = LeaseMessage(what, self.leases.own_index, to, number, self.leases.balancer_count)
        if self.transport is not None and not self.transport.is_closing():
            self.counters["sent"] += 1
            self.transport.sendto(messages.encode(word, self.keys), self.peers[to])

    def error_received(self, exc: Exception) -> None:
        self.counters["not delivered"] += 1  # nobody listens there

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()
