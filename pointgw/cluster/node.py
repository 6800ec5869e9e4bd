"""One balancer's part in the tier: members, facts, accord and plan joined. No I/O, no clock.

Bytes in, bytes out: `receive` takes a datagram, `timer_due` is called by the clock, both give what is to be
sent. All that goes out passes one ceiling, in datagrams and in bytes a second, the same at any size of the
tier: what is over it is not sent, and counted."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import inf
from random import Random

import msgspec

from pointgw.cluster import plan, wire
from pointgw.cluster.agreement import Agreement
from pointgw.cluster.members import FEW, Members, Send
from pointgw.cluster.observations import Zone, ZoneObservation, ZoneObservations
from pointgw.cluster.plan import Plan, ProfileCosts, RegionLinks

EMPTY, FILLED = 0.1, 0.3  # of what a zone can do when warm: room under which it is closed, over which opened
SHORT, LONG = 2, 16  # periods for which it must be so
FAN = 3  # others that hear at once of a vote that has changed
SOON = 0.25  # of a period: the shortest time between two such words

Out = list[tuple[int, bytes]]


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """What the operators say of the tier."""

    own_index: int
    count: int
    zone: int
    zones: int
    kinds: tuple[ProfileCosts, ...]
    ways: RegionLinks
    regions: int  # digest of the map
    period: float = 0.25
    datagrams: float = 80.0  # a second, at most
    size: float = 16_000.0  # bytes a second, at most
    evacuate: int = 0  # zones as bits


@dataclass(slots=True)
class Ceiling:
    """What may go out: so much a second, and one second's worth at once."""

    rate: float
    left: float = 0.0
    at: float = 0.0

    def __post_init__(self) -> None:
        self.left = self.rate

    def takes(self, amount: float, now: float) -> bool:
        self.left = min(self.rate, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < amount:
            return False
        self.left -= amount
        return True


@dataclass(slots=True)
class ClusterNode:
    settings: ClusterSettings
    keys: wire.Keys
    rng: Random
    now: float
    members: Members = field(init=False)
    facts: ZoneObservations = field(init=False)
    agreement: Agreement = field(init=False)
    plan: Plan = field(init=False)
    planned_at: float = field(init=False)
    seen_at: float = -inf
    passed_on: wire.Vote | None = None  # what others were told at once
    passed_at: float = -inf
    refused: tuple[float, float] | None = None  # an evacuation: what is needed, and what the rest can bear
    figures: Counter[str] = field(default_factory=Counter)
    datagrams: Ceiling = field(init=False)
    size: Ceiling = field(init=False)
    empty: dict[int, float] = field(default_factory=dict)  # zones: since when they have no room
    filled: dict[int, float] = field(default_factory=dict)  # zones that are closed: since when they have

    def __post_init__(self) -> None:
        told = self.settings
        run = self.rng.getrandbits(63) + 1
        self.members = Members(
            told.own_index, told.count, told.zone, run, told.regions, self.rng, told.period, due=self.now
        )
        self.facts = ZoneObservations(self.members, told.zones, len(told.kinds))
        self.agreement = Agreement(self.members, self.rng, self.now)
        self.plan, self.planned_at = plan.at_home(told.zones, len(told.kinds)), self.now
        self.datagrams, self.size = Ceiling(told.datagrams, at=self.now), Ceiling(told.size, at=self.now)

    # In and out.

    def receive(self, data: bytes, now: float) -> Out:
        try:
            packet = self.keys.open(data)
        except wire.RefusedDatagramError as why:
            self.figures[f"refused: {why}"] += 1
            return []
        answers, believed = self.members.hears(packet, now)
        if believed:
            self.figures["heard"] += 1
            for fact in packet.facts:
                self.facts.hear(fact, now)
            if packet.vote is not None and packet.regions == self.settings.regions:
                self.agreement.receive_vote(packet.vote, now)
        else:
            self.figures["not believed"] += 1
        return self._out(answers, now) + self._at_once(now)

    def timer_due(self, now: float) -> Out:
        out = self._out(self.members.turns(now), now)
        if now >= self.planned_at + self.settings.period:
            self._plan(now)
        return out + self._at_once(now)

    def _at_once(self, now: float) -> Out:
        """A vote that has changed is passed on at once, so that it comes round in a few steps at any size."""
        vote = self.agreement.tells()
        if vote == self.passed_on or now < self.passed_at + SOON * self.settings.period:
            return []
        self.passed_on, self.passed_at = vote, now
        return self._out(self.members.some(FAN), now)

    def next_at(self, now: float) -> float:
        return max(now, min(self.members.next_at(now), self.planned_at + self.settings.period))

    def observe(self, seen: tuple[ZoneObservation, ...], now: float) -> None:
        """What this balancer sees. In a large tier told anew every other period: others' facts want room."""
        if self.observation_is_due(now):
            self.seen_at = now
            self.facts.see(seen, now)

    def observation_is_due(self, now: float) -> bool:
        """Whether it is time to look again; before that nothing need be reckoned."""
        return now >= self.seen_at + (1 if self.settings.count < FEW else 2) * self.settings.period

    def leave(self, now: float) -> Out:
        return self._out(self.members.leave(), now)

    def _out(self, sends: list[Send], now: float) -> Out:
        out: Out = []
        for to, packet in sends:
            if packet.kind != wire.HELLO:
                packet = msgspec.structs.replace(packet, vote=self.agreement.tells())
                spare = wire.LARGEST - wire.size(packet) - 4  # a long list's head
                if spare < 0:  # news gives way to the vote
                    packet = msgspec.structs.replace(packet, news=packet.news[:1])
                    spare = wire.LARGEST - wire.size(packet) - 4
                packet = msgspec.structs.replace(packet, facts=self.facts.pick(spare, now))
            data = self.keys.sign(packet)
            if self.datagrams.takes(1.0, now) and self.size.takes(len(data), now):
                self.figures["sent"] += 1
                self.figures["sent bytes"] += len(data)
                out.append((to, data))
            else:
                self.figures["over the ceiling"] += 1
        return out

    # What is to be done.

    def zones(self, now: float) -> tuple[Zone, ...]:
        return self.facts.all_zones(now)

    def map_mismatch(self) -> bool:
        """Others have another region map: told, and nothing is acted on while they are as many as the
        rest."""
        there = len(self.members.alive()) - 1
        return 2 * len(self.members.strange) > there

    def _plan(self, now: float) -> None:
        span, self.planned_at = now - self.planned_at, now
        self.facts.forget(now)
        zones = self.zones(now)
        self._want(zones, now)
        if self.map_mismatch():
            target = plan.at_home(self.settings.zones, len(self.settings.kinds))
        else:
            target = plan.make(zones, self.settings.kinds, self.settings.ways, self._closed(zones))
        before = self.plan
        self.plan = plan.toward(self.plan, target, min(span, 4 * self.settings.period))
        self.figures["plan steps"] += self.plan.shares != before.shares

    def _closed(self, zones: tuple[Zone, ...]) -> int:
        """What is agreed, as far as the own facts say that the rest can bear it: a zone with no room is
        closed anyhow, by having none."""
        closed = self.agreement.closed
        need, room = plan.bears(zones, closed)
        empty = sum(1 << z for z, zone in enumerate(zones) if zone.room <= EMPTY * zone.warm)
        return closed if need <= room else closed & empty

    def _want(self, zones: tuple[Zone, ...], now: float) -> None:
        """Which zones should be closed, by the facts and the operators; asked of the others once it lasts."""
        period, wanted = self.settings.period, 0
        stands = sum(1 << z for z, zone in enumerate(zones) if zone.room > FILLED * zone.warm > 0.0)
        self.agreement.stands = stands & ~self.settings.evacuate
        self.agreement.look(now)
        for z, zone in enumerate(zones):
            closed = bool(self.agreement.closed >> z & 1)
            has = zone.origins > 0 and zone.room > (FILLED if closed else EMPTY) * zone.warm and zone.warm > 0
            for marks, holds in ((self.empty, not has), (self.filled, has)):
                if holds:
                    marks.setdefault(z, now)
                else:
                    marks.pop(z, None)
            if closed:
                wanted |= (now - self.filled.get(z, now) < LONG * period) << z
            elif zone.origins:
                wanted |= (now - self.empty.get(z, now) >= SHORT * period) << z
        asked = self.settings.evacuate | wanted
        need, room = plan.bears(zones, asked)
        self.refused = (need, room) if self.settings.evacuate and need > room else None
        self.agreement.propose(asked if need <= room else wanted, now)
