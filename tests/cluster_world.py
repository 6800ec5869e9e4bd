"""Simulated clusters of any size on a virtual clock: real nodes, a queue of datagrams, and faults."""

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
    """Nodes of one cluster, the datagrams in flight, and the faults between nodes."""

    def __init__(self, size: int, seed: int = 1, zones: int = 3, **settings: Any) -> None:
        self.rng, self.now, self.order = Random(seed), 0.0, count()
        self.zones, self.size, self.settings = zones, size, settings
        self.nodes: dict[int, ClusterNode] = {}
        self.queue: list[tuple[float, int, str, int, bytes]] = []
        self.loss, self.delay = 0.0, 0.01
        self.partition: set[int] = set()  # these members reach only each other
        self.muted: set[int] = set()  # datagrams of these members are lost
        self.capacity = [8.0] * zones  # present capacity of each zone
        self.capacity_seen_by: dict[int, list[float]] = {}  # members that observe other capacities
        # Members that report false observations.
        self.forged_observations: dict[int, tuple[ZoneObservation, ...]] = {}
        self.paused: set[int] = set()
        self.recorded: list[tuple[int, bytes]] | None = None
        for number in range(size):
            self.start(number)

    def start(self, index: int) -> None:
        """Starts a member, or restarts it with a new run."""
        region_of_zone = tuple(z // 2 for z in range(self.zones))
        settings = ClusterSettings(index, self.size, index % self.zones, self.zones, KINDS,
                               RegionLinks(region_of_zone, {}, {}), 1, **self.settings)  # fmt: skip
        self.nodes[index] = ClusterNode(settings, Keys((KEY,)), Random(self.rng.random()), self.now)
        self._schedule("timer", index, self.rng.random() * 0.2)

    def run(self, seconds: float) -> None:
        """Advances the clock and handles all that is due."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, kind, index, data = heapq.heappop(self.queue)
            node = self.nodes.get(index)
            if node is None:
                continue
            if index in self.paused:
                if kind == "timer":
                    self._schedule("timer", index, 0.5)
                continue
            if kind == "timer":
                self._observe(index, node)
                out = node.timer_due(self.now)
                self._schedule("timer", index, max(0.005, node.next_timer_at(self.now) - self.now))
            else:
                out = node.receive(data, self.now)
            for receiver, datagram in out:
                is_cut = (index in self.partition) is not (receiver in self.partition)
                if not is_cut and index not in self.muted and self.rng.random() >= self.loss:
                    self._schedule("data", receiver, self.rng.uniform(0.2, 1.0) * self.delay, datagram)
        self.now = until

    def _schedule(self, kind: str, index: int, delay: float, data: bytes = b"") -> None:
        if data and self.recorded is not None:
            self.recorded.append((index, data))
        heapq.heappush(self.queue, (self.now + delay, next(self.order), kind, index, data))

    def _observe(self, index: int, node: ClusterNode) -> None:
        if index in self.forged_observations:
            node.observe(self.forged_observations[index], self.now)
            return
        capacities, own_zone = self.capacity_seen_by.get(index, self.capacity), index % self.zones
        members_per_zone = max(1, self.size // self.zones)
        node.observe(
            tuple(
                ZoneObservation(
                    capacity,
                    8.0,
                    3.0,
                    300 // members_per_zone * (z == own_zone),
                    (180 // members_per_zone, 120 // members_per_zone) * (z == own_zone),
                )
                for z, capacity in enumerate(capacities)
            ),
            self.now,
        )

    def live_members(self) -> list[list[int]]:
        """The live members as each running member sees them."""
        return [node.members.live_members() for n, node in sorted(self.nodes.items()) if n not in self.paused]

    def closed_zones(self) -> set[int]:
        """The different bit sets of closed zones that running members have agreed on."""
        return {node.agreement.closed_zones for n, node in self.nodes.items() if n not in self.paused}
