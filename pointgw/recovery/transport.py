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
        self.leases, self.keys, self.peers, self.loop, self.changed = loans, keys, peers, loop, changed
        self.transport: asyncio.DatagramTransport | None = None
        self.figures: Counter[str] = Counter()

    async def listen(self, at: Address) -> None:
        """Raises `OSError` where the address can't be had."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=at)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if not self.keys.keys and not ipaddress.ip_address(addr[0]).is_loopback:
            self.figures["refused: unsigned, from elsewhere"] += 1
            return
        try:
            word = messages.unseal(data, self.keys)
        except RefusedDatagramError as why:
            self.figures[f"refused: {why}"] += 1
            return
        loans, now = self.leases, self.loop.time()
        if word.to != loans.me or word.balancers != loans.count or word.sender >= loans.count:
            self.figures["refused: another tier's"] += 1
        elif word.what == messages.ASK and loans.receive_request(word.sender, now):
            self.changed(now)  # first: what is lent is not used here any more
            self._say(messages.LEND, word.sender, word.number)
        elif word.what == messages.LEND and loans.receive_grant(word.sender, word.number, now):
            self.changed(now)

    def ask(self, needs: bool, idle: bool) -> None:
        for lender, number in self.leases.requests_due(needs, idle, self.loop.time()):
            self._say(messages.ASK, lender, number)

    def _say(self, what: messages.What, to: int, number: int) -> None:
        word = LeaseMessage(what, self.leases.me, to, number, self.leases.count)
        if self.transport is not None and not self.transport.is_closing():
            self.figures["sent"] += 1
            self.transport.sendto(messages.seal(word, self.keys), self.peers[to])

    def error_received(self, exc: Exception) -> None:
        self.figures["not delivered"] += 1  # nobody listens there

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()
