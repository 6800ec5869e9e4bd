"""Process of UDP fault proxies between balancers, one for each pair and direction."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import cast

from pointgw.testbed import child_process
from pointgw.testbed.records import Talk, Writer

KEPT_DATAGRAMS = 400  # latest datagrams of each link, kept for replay

Address = tuple[str, int]


@dataclass(slots=True)
class Impairment:
    """Faults of a link: probabilities of loss and duplication, delay, cut."""

    loss: float = 0.0
    delay: float = 0.0  # seconds at most, uniformly distributed
    duplicate: float = 0.0
    cut: bool = False


class PeerLink(asyncio.DatagramProtocol):
    """The proxy from one balancer to another; applies the link's faults to each datagram."""

    def __init__(self, peers: PeerLinks, sender: int, target: Address) -> None:
        self.peers, self.sender, self.target = peers, sender, target
        self.impairment = Impairment()
        self.recent: deque[bytes] = deque(maxlen=KEPT_DATAGRAMS)
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        peers, impairment = self.peers, self.impairment
        peers.datagram_counts[self.sender] = peers.datagram_counts.get(self.sender, 0) + 1
        peers.byte_counts[self.sender] = peers.byte_counts.get(self.sender, 0) + len(data)
        self.recent.append(data)
        if impairment.cut or peers.rng.random() < impairment.loss:
            return
        for _ in range(1 + (peers.rng.random() < impairment.duplicate)):
            if impairment.delay:
                peers.loop.call_later(peers.rng.uniform(0.0, impairment.delay), self.send, data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        """Forwards a datagram; ignored once the socket is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.target)


def _existing_protocol(link: PeerLink) -> PeerLink:
    return link


class PeerLinks:
    """All links, and the count of datagrams and bytes that each balancer sent in the present second."""

    def __init__(self, start_values: child_process.Message, writer: Writer) -> None:
        self.rng, self.loop, self.writer = (
            Random(f"{start_values['seed']}/peers"),
            asyncio.get_running_loop(),
            writer,
        )
        self.datagram_counts: dict[int, int] = {}
        self.byte_counts: dict[int, int] = {}
        self.links: dict[tuple[int, int], PeerLink] = {}

    async def open(self, link_addresses: list[tuple[int, int, Address, Address]]) -> None:
        """Opens the links; each is (sender, receiver, listen address, receiver's address)."""
        for sender, receiver, (host, port), (target_host, target_port) in link_addresses:
            link = self.links[sender, receiver] = PeerLink(self, sender, (target_host, target_port))
            await self.loop.create_datagram_endpoint(
                partial(_existing_protocol, link), local_addr=(host, port)
            )
        self.loop.call_later(1.0, self._record_traffic)

    def _record_traffic(self) -> None:
        for sender in sorted(self.datagram_counts):
            self.writer.write(
                Talk(time.monotonic(), sender, self.datagram_counts[sender], self.byte_counts[sender])
            )
        self.datagram_counts, self.byte_counts = {}, {}
        self.loop.call_later(1.0, self._record_traffic)

    def handle_command(self, command: child_process.Message) -> None:
        """A command of the run: other faults for some links, or a replay of recent datagrams."""
        numbers = set(command["which"])
        for (sender, receiver), link in self.links.items():
            match command["what"]:
                case "peers-split" if (sender in numbers) is not (receiver in numbers):
                    link.impairment = Impairment(cut=command["on"])
                case "peers-one-way" if sender in numbers:
                    link.impairment = Impairment(cut=command["on"])
                case "peers-lossy":
                    impairment = Impairment(command["size"], command["late"], 0.2)
                    link.impairment = impairment if command["on"] else Impairment()
                case "peers-again" if command["on"]:
                    for data in list(link.recent):
                        link.send(data)
                case _:
                    pass


async def start(start_values: child_process.Message, writer: Writer) -> child_process.CommandHandler:
    """Opens all links; the handler takes the run's commands."""
    peers = PeerLinks(start_values, writer)
    await peers.open(start_values["ways"])
    return peers.handle_command


if __name__ == "__main__":
    sys.exit(child_process.run(start))
