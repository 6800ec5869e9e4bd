"""The ways between balancers as a process: a box for each pair and direction that loses, delays or cuts."""

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

KEPT_DATAGRAMS = 400  # datagrams of each way that may be played again

Address = tuple[str, int]


@dataclass(slots=True)
class Impairment:
    """What befalls a datagram."""

    loss: float = 0.0
    delay: float = 0.0  # seconds, up to, by chance
    duplicate: float = 0.0
    cut: bool = False


class PeerLink(asyncio.DatagramProtocol):
    """From one balancer to another."""

    def __init__(self, here: PeerLinks, sender: int, to: Address) -> None:
        self.peers, self.sender, self.to = here, sender, to
        self.impairment = Impairment()
        self.recent: deque[bytes] = deque(maxlen=KEPT_DATAGRAMS)
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        here, rule = self.peers, self.impairment
        here.datagram_counts[self.sender] = here.datagram_counts.get(self.sender, 0) + 1
        here.byte_counts[self.sender] = here.byte_counts.get(self.sender, 0) + len(data)
        self.recent.append(data)
        if rule.cut or here.rng.random() < rule.loss:
            return
        for _ in range(1 + (here.rng.random() < rule.duplicate)):
            if rule.delay:
                here.loop.call_later(here.rng.uniform(0.0, rule.delay), self.send, data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.to)


def _existing_protocol(way: PeerLink) -> PeerLink:
    return way


class PeerLinks:
    def __init__(self, told: child_process.Message, writer: Writer) -> None:
        self.rng, self.loop, self.writer = Random(f"{told['seed']}/peers"), asyncio.get_running_loop(), writer
        self.datagram_counts: dict[int, int] = {}
        self.byte_counts: dict[int, int] = {}
        self.links: dict[tuple[int, int], PeerLink] = {}

    async def open(self, ways: list[tuple[int, int, Address, Address]]) -> None:
        for sender, to, (host, port), (other, at) in ways:
            way = self.links[sender, to] = PeerLink(self, sender, (other, at))
            await self.loop.create_datagram_endpoint(
                partial(_existing_protocol, way), local_addr=(host, port)
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
        """A command of the rig: another rule for some ways, or what was said before once more."""
        which = set(command["which"])
        for (sender, to), way in self.links.items():
            match command["what"]:
                case "peers-split" if (sender in which) is not (to in which):
                    way.impairment = Impairment(cut=command["on"])
                case "peers-one-way" if sender in which:
                    way.impairment = Impairment(cut=command["on"])
                case "peers-lossy":
                    rule = Impairment(command["size"], command["late"], 0.2)
                    way.impairment = rule if command["on"] else Impairment()
                case "peers-again" if command["on"]:
                    for data in list(way.recent):
                        way.send(data)
                case _:
                    pass


async def start(told: child_process.Message, writer: Writer) -> child_process.CommandHandler:
    peers = PeerLinks(told, writer)
    await peers.open(told["ways"])
    return peers.handle_command


if __name__ == "__main__":
    sys.exit(child_process.run(start))
