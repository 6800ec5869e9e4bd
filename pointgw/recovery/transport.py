"""Sends and receives lease messages: a datagram protocol of its own, or on the cluster's socket if that is
on."""

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
    """Exchanges lease messages for one balancer. `on_change` is called after a lease was received or
    granted."""

    def __init__(
        self,
        leases: Leases,
        keys: Keys,
        peers: tuple[Address, ...],
        loop: asyncio.AbstractEventLoop,
        on_change: Callable[[float], None],
    ) -> None:
        self.leases, self.keys, self.peers, self.loop, self.on_change = leases, keys, peers, loop, on_change
        self.transport: asyncio.DatagramTransport | None = None
        self.counters: Counter[str] = Counter()

    async def listen(self, address: Address) -> None:
        """Opens a socket of its own. Raises `OSError` if the address is not available."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if not self.keys.keys and not ipaddress.ip_address(addr[0]).is_loopback:
            self.counters["refused: unsigned, from elsewhere"] += 1
            return
        try:
            message = messages.decode(data, self.keys)
        except RefusedDatagramError as refusal:
            self.counters[f"refused: {refusal}"] += 1
            return
        leases, now = self.leases, self.loop.time()
        if (
            message.receiver != leases.own_index
            or message.balancer_count != leases.balancer_count
            or message.sender >= leases.balancer_count
        ):
            self.counters["refused: another tier's"] += 1
        elif message.kind == messages.REQUEST and leases.receive_request(message.sender, now):
            self.on_change(now)  # before sending: the granted share must not be used here any more
            self._send(messages.GRANT, message.sender, message.request_id)
        elif message.kind == messages.GRANT and leases.receive_grant(message.sender, message.request_id, now):
            self.on_change(now)

    def send_requests(self, can_use_leases: bool, is_idle: bool) -> None:
        """Sends the requests that are due (see `Leases.requests_due`)."""
        for lessor, request_id in self.leases.requests_due(can_use_leases, is_idle, self.loop.time()):
            self._send(messages.REQUEST, lessor, request_id)

    def _send(self, kind: messages.MessageKind, receiver: int, request_id: int) -> None:
        message = LeaseMessage(kind, self.leases.own_index, receiver, request_id, self.leases.balancer_count)
        if self.transport is not None and not self.transport.is_closing():
            self.counters["sent"] += 1
            self.transport.sendto(messages.encode(message, self.keys), self.peers[receiver])

    def error_received(self, exc: Exception) -> None:
        self.counters["not delivered"] += 1  # nobody listens there

    def stop(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
