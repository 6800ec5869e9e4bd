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
from pointgw.cluster.members import SMALL_CLUSTER_SIZE, Members, OutgoingPacket
from pointgw.cluster.observations import ZoneEstimate, ZoneObservation, ZoneObservations
from pointgw.cluster.plan import Plan, ProfileCosts, RegionLinks

CLOSE_BELOW = 0.1  # share of a zone's warm capacity; with less available it should be closed
REOPEN_ABOVE = 0.3  # share of a zone's warm capacity; with more available it may be opened again
CLOSE_PERIODS = 2  # periods that a zone has to be below CLOSE_BELOW
REOPEN_PERIODS = 16  # periods that a closed zone has to be above REOPEN_ABOVE
VOTE_FANOUT = 3  # others that hear at once of a vote that has changed
MIN_VOTE_INTERVAL = 0.25  # of a period: the shortest time between two such words

Datagrams = list[tuple[int, bytes]]


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """What the operators say of the tier."""

    own_index: int
    member_count: int
    zone: int
    zone_count: int
    profile_costs: tuple[ProfileCosts, ...]
    links: RegionLinks
    region_map_digest: int  # digest of the map
    period: float = 0.25
    max_datagrams_per_second: float = 80.0  # a second, at most
    max_bytes_per_second: float = 16_000.0  # bytes a second, at most
    evacuated_zones: int = 0  # zones as bits


@dataclass(slots=True)
class TokenBucket:
    """What may go out: so much a second, and one second's worth at once."""

    rate: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.rate

    def try_consume(self, amount: float, now: float) -> bool:
        self.tokens = min(self.rate, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


@dataclass(slots=True)
class ClusterNode:
    settings: ClusterSettings
    keys: wire.Keys
    rng: Random
    now: float
    members: Members = field(init=False)
    observations: ZoneObservations = field(init=False)
    agreement: Agreement = field(init=False)
    plan: Plan = field(init=False)
    planned_at: float = field(init=False)
    observed_at: float = -inf
    broadcast_vote: wire.Vote | None = None  # what others were told at once
    broadcast_at: float = -inf
    refused_evacuation: tuple[float, float] | None = (
        None  # an evacuation: what is needed, and what the rest can bear
    )
    counters: Counter[str] = field(default_factory=Counter)
    datagram_bucket: TokenBucket = field(init=False)
    byte_bucket: TokenBucket = field(init=False)
    short_since: dict[int, float] = field(default_factory=dict)  # zones: since when they have no room
    recovered_since: dict[int, float] = field(
        default_factory=dict
    )  # zones that are closed: since when they have

    def __post_init__(self) -> None:
        told = self.settings
        run = self.rng.getrandbits(63) + 1
        self.members = Members(
            told.own_index,
            told.member_count,
            told.zone,
            run,
            told.region_map_digest,
            self.rng,
            told.period,
            next_period_at=self.now,
        )
        self.observations = ZoneObservations(self.members, told.zone_count, len(told.profile_costs))
        self.agreement = Agreement(self.members, self.rng, self.now)
        self.plan, self.planned_at = plan.local_plan(told.zone_count, len(told.profile_costs)), self.now
        self.datagram_bucket, self.byte_bucket = (
            TokenBucket(told.max_datagrams_per_second, updated_at=self.now),
            TokenBucket(told.max_bytes_per_second, updated_at=self.now),
        )

    # In and out.

    def receive(self, data: bytes, now: float) -> Datagrams:
        try:
            packet = self.keys.decode(data)
        except wire.RefusedDatagramError as why:
            self.counters[f"refused: {why}"] += 1
            return []
        answers, believed = self.members.receive(packet, now)
        if believed:
            self.counters["heard"] += 1
            for fact in packet.observations:
                self.observations.receive(fact, now)
            if packet.vote is not None and packet.region_map_digest == self.settings.region_map_digest:
                self.agreement.receive_vote(packet.vote, now)
        else:
            self.counters["not believed"] += 1
        return self._encode_packets(answers, now) + self._broadcast_changed_vote(now)

    def timer_due(self, now: float) -> Datagrams:
        out = self._encode_packets(self.members.timer_due(now), now)
        if now >= self.planned_at + self.settings.period:
            self._update_plan(now)
        return out + self._broadcast_changed_vote(now)

    def _broadcast_changed_vote(self, now: float) -> Datagrams:
        """A vote that has changed is passed on at once, so that it comes round in a few steps at any size."""
        vote = self.agreement.vote_to_send()
        if vote == self.broadcast_vote or now < self.broadcast_at + MIN_VOTE_INTERVAL * self.settings.period:
            return []
        self.broadcast_vote, self.broadcast_at = vote, now
        return self._encode_packets(self.members.packets_to_random_peers(VOTE_FANOUT), now)

    def next_timer_at(self, now: float) -> float:
        return max(now, min(self.members.next_timer_at(now), self.planned_at + self.settings.period))

    def observe(self, seen: tuple[ZoneObservation, ...], now: float) -> None:
        """What this balancer sees. In a large tier told anew every other period: others' facts want room."""
        if self.observation_is_due(now):
            self.observed_at = now
            self.observations.record_own(seen, now)

    def observation_is_due(self, now: float) -> bool:
        """Whether it is time to look again; before that nothing need be reckoned."""
        return (
            now
            >= self.observed_at
            + (1 if self.settings.member_count < SMALL_CLUSTER_SIZE else 2) * self.settings.period
        )

    def leave(self, now: float) -> Datagrams:
        return self._encode_packets(self.members.leave(), now)

    def _encode_packets(self, sends: list[OutgoingPacket], now: float) -> Datagrams:
        out: Datagrams = []
        for to, packet in sends:
            if packet.kind != wire.HELLO:
                packet = msgspec.structs.replace(packet, vote=self.agreement.vote_to_send())
                spare = wire.MAX_DATAGRAM_BYTES - wire.encoded_size(packet) - 4  # a long list's head
                if spare < 0:  # news gives way to the vote
                    packet = msgspec.structs.replace(packet, updates=packet.updates[:1])
                    spare = wire.MAX_DATAGRAM_BYTES - wire.encoded_size(packet) - 4
                packet = msgspec.structs.replace(
                    packet, observations=self.observations.select_for_datagram(spare, now)
                )
            data = self.keys.encode(packet)
            if self.datagram_bucket.try_consume(1.0, now) and self.byte_bucket.try_consume(len(data), now):
                self.counters["sent"] += 1
                self.counters["sent bytes"] += len(data)
                out.append((to, data))
            else:
                self.counters["over the ceiling"] += 1
        return out

    # What is to be done.

    def zone_estimates(self, now: float) -> tuple[ZoneEstimate, ...]:
        return self.observations.estimate_zones(now)

    def map_mismatch(self) -> bool:
        """Others have another region map: told, and nothing is acted on while they are as many as the
        rest."""
        there = len(self.members.live_members()) - 1
        return 2 * len(self.members.map_mismatches) > there

    def _update_plan(self, now: float) -> None:
        span, self.planned_at = now - self.planned_at, now
        self.observations.expire(now)
        zones = self.zone_estimates(now)
        self._propose_closed_zones(zones, now)
        if self.map_mismatch():
            target = plan.local_plan(self.settings.zone_count, len(self.settings.profile_costs))
        else:
            target = plan.compute_plan(
                zones, self.settings.profile_costs, self.settings.links, self._zones_to_close(zones)
            )
        before = self.plan
        self.plan = plan.step_toward(self.plan, target, min(span, 4 * self.settings.period))
        self.counters["plan steps"] += self.plan.shares != before.shares

    def _zones_to_close(self, zones: tuple[ZoneEstimate, ...]) -> int:
        """What is agreed, as far as the own facts say that the rest can bear it: a zone with no room is
        closed anyhow, by having none."""
        closed = self.agreement.closed_zones
        need, room = plan.demand_and_capacity(zones, closed)
        empty = sum(
            1 << z for z, zone in enumerate(zones) if zone.capacity <= CLOSE_BELOW * zone.warm_capacity
        )
        return closed if need <= room else closed & empty

    def _propose_closed_zones(self, zones: tuple[ZoneEstimate, ...], now: float) -> None:
        """Which zones should be closed, by the facts and the operators; asked of the others once it lasts."""
        period, wanted = self.settings.period, 0
        stands = sum(
            1 << z for z, zone in enumerate(zones) if zone.capacity > REOPEN_ABOVE * zone.warm_capacity > 0.0
        )
        self.agreement.zones_with_room = stands & ~self.settings.evacuated_zones
        self.agreement.reconsider(now)
        for z, zone in enumerate(zones):
            closed = bool(self.agreement.closed_zones >> z & 1)
            has = (
                zone.origin_count > 0
                and zone.capacity > (REOPEN_ABOVE if closed else CLOSE_BELOW) * zone.warm_capacity
                and zone.warm_capacity > 0
            )
            for marks, holds in ((self.short_since, not has), (self.recovered_since, has)):
                if holds:
                    marks.setdefault(z, now)
                else:
                    marks.pop(z, None)
            if closed:
                wanted |= (now - self.recovered_since.get(z, now) < REOPEN_PERIODS * period) << z
            elif zone.origin_count:
                wanted |= (now - self.short_since.get(z, now) >= CLOSE_PERIODS * period) << z
        asked = self.settings.evacuated_zones | wanted
        need, room = plan.demand_and_capacity(zones, asked)
        self.refused_evacuation = (need, room) if self.settings.evacuated_zones and need > room else None
        self.agreement.propose(asked if need <= room else wanted, now)
