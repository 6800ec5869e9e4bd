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

from pointgw.testbed import child
from pointgw.testbed.records import Talk, Writer

KEPT = 400  # datagrams of each way that may be played again

Address = tuple[str, int]


@dataclass(slots=True)
class Rule:
    """What befalls a datagram."""

    loss: float = 0.0
    delay: float = 0.0  # seconds, up to, by chance
    double: float = 0.0
    cut: bool = False


class Way(asyncio.DatagramProtocol):
    """From one balancer to another."""

    def __init__(self, here: Peers, sender: int, to: Address) -> None:
        self.here, self.sender, self.to = here, sender, to
        self.rule = Rule()
        self.kept: deque[bytes] = deque(maxlen=KEPT)
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        here, rule = self.here, self.rule
        here.counts[self.sender] = here.counts.get(self.sender, 0) + 1
        here.sizes[self.sender] = here.sizes.get(self.sender, 0) + len(data)
        self.kept.append(data)
        if rule.cut or here.rng.random() < rule.loss:
            return
        for _ in range(1 + (here.rng.random() < rule.double)):
            if rule.delay:
                here.loop.call_later(here.rng.uniform(0.0, rule.delay), self.send, data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.to)


def _itself(way: Way) -> Way:
    return way


class Peers:
    def __init__(self, told: child.Told, writer: Writer) -> None:
        self.rng, self.loop, self.writer = Random(f"{told['seed']}/peers"), asyncio.get_running_loop(), writer
        self.counts: dict[int, int] = {}
        self.sizes: dict[int, int] = {}
        self.ways: dict[tuple[int, int], Way] = {}

    async def open(self, ways: list[tuple[int, int, Address, Address]]) -> None:
        for sender, to, (host, port), (other, at) in ways:
            way = self.ways[sender, to] = Way(self, sender, (other, at))
            await self.loop.create_datagram_endpoint(partial(_itself, way), local_addr=(host, port))
        self.loop.call_later(1.0, self._each_second)

    def _each_second(self) -> None:
        for sender in sorted(self.counts):
            self.writer.write(Talk(time.monotonic(), sender, self.counts[sender], self.sizes[sender]))
        self.counts, self.sizes = {}, {}
        self.loop.call_later(1.0, self._each_second)

    def take(self, command: child.Told) -> None:
        """A command of the rig: another rule for some ways, or what was said before once more."""
        which = set(command["which"])
        for (sender, to), way in self.ways.items():
            match command["what"]:
                case "peers-split" if (sender in which) is not (to in which):
                    way.rule = Rule(cut=command["on"])
                case "peers-one-way" if sender in which:
                    way.rule = Rule(cut=command["on"])
                case "peers-lossy":
                    rule = Rule(command["size"], command["late"], 0.2)
                    way.rule = rule if command["on"] else Rule()
                case "peers-again" if command["on"]:
                    for data in list(way.kept):
                        way.send(data)
                case _:
                    pass


async def part(told: child.Told, writer: Writer) -> child.Take:
    peers = Peers(told, writer)
    await peers.open(told["ways"])
    return peers.take


if __name__ == "__main__":
    sys.exit(child.run(part))
