"""Tiers of any size on a virtual clock: the real modules, a queue of datagrams, and what befalls them."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import Any

from pointgw.cluster.node import ClusterNode, ClusterSettings
from pointgw.cluster.observations import ZoneObservation
from pointgw.cluster.plan import ProfileCosts, RegionLinks
from pointgw.cluster.wire import Keys

KEY = b"k" * 16
KINDS = (ProfileCosts(2.0, 0.3), ProfileCosts(1.0, 0.3))


class SimulatedCluster:
    """So many nodes, a queue of datagrams, and what is lost between whom."""

    def __init__(self, size: int, seed: int = 1, zones: int = 3, **told: Any) -> None:
        self.rng, self.now, self.order = Random(seed), 0.0, count()
        self.zones, self.size, self.settings = zones, size, told
        self.nodes: dict[int, ClusterNode] = {}
        self.queue: list[tuple[float, int, str, int, bytes]] = []
        self.loss, self.delay = 0.0, 0.01
        self.partition: set[int] = set()  # these hear only one another
        self.muted: set[int] = set()  # what these say is lost
        self.capacity = [8.0] * zones
        self.capacity_seen_by: dict[int, list[float]] = {}  # who sees other rooms than are there
        self.forged_observations: dict[int, tuple[ZoneObservation, ...]] = {}  # who lies, and what it says
        self.paused: set[int] = set()
        self.recorded: list[tuple[int, bytes]] | None = None
        for number in range(size):
            self.start(number)

    def start(self, number: int) -> None:
        region = tuple(z // 2 for z in range(self.zones))
        told = ClusterSettings(number, self.size, number % self.zones, self.zones, KINDS,
                               RegionLinks(region, {}, {}), 1, **self.settings)  # fmt: skip
        self.nodes[number] = ClusterNode(told, Keys((KEY,)), Random(self.rng.random()), self.now)
        self._schedule("turn", number, self.rng.random() * 0.2)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what, number, data = heapq.heappop(self.queue)
            node = self.nodes.get(number)
            if node is None:
                continue
            if number in self.paused:
                if what == "turn":
                    self._schedule("turn", number, 0.5)
                continue
            if what == "turn":
                self._observe(number, node)
                out = node.timer_due(self.now)
                self._schedule("turn", number, max(0.005, node.next_timer_at(self.now) - self.now))
            else:
                out = node.receive(data, self.now)
            for to, sent in out:
                apart = (number in self.partition) is not (to in self.partition)
                if not apart and number not in self.muted and self.rng.random() >= self.loss:
                    self._schedule("data", to, self.rng.uniform(0.2, 1.0) * self.delay, sent)
        self.now = until

    def _schedule(self, what: str, number: int, delay: float, data: bytes = b"") -> None:
        if data and self.recorded is not None:
            self.recorded.append((number, data))
        heapq.heappush(self.queue, (self.now + delay, next(self.order), what, number, data))

    def _observe(self, number: int, node: ClusterNode) -> None:
        if number in self.forged_observations:
            node.observe(self.forged_observations[number], self.now)
            return
        rooms, own = self.capacity_seen_by.get(number, self.capacity), number % self.zones
        share = max(1, self.size // self.zones)
        node.observe(
            tuple(
                ZoneObservation(
                    room, 8.0, 3.0, 300 // share * (z == own), (180 // share, 120 // share) * (z == own)
                )
                for z, room in enumerate(rooms)
            ),
            self.now,
        )

    def live_members(self) -> list[list[int]]:
        return [node.members.live_members() for n, node in sorted(self.nodes.items()) if n not in self.paused]

    def closed_zones(self) -> set[int]:
        return {node.agreement.closed_zones for n, node in self.nodes.items() if n not in self.paused}
