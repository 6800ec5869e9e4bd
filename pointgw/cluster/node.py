"""One balancer's cluster node: joins membership, observations, agreement and plan. No I/O, no clock.

`receive` takes a datagram, `timer_due` is called by a timer; both return the datagrams to send. All of them
pass one rate limit, in datagrams and in bytes per second, the same at any size of the cluster; what exceeds
it is dropped and counted."""

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

CLOSE_BELOW = 0.1  # of a zone's warm capacity: with no more than this it should be closed
REOPEN_ABOVE = 0.3  # of a zone's warm capacity: with more than this it may be reopened
CLOSE_PERIODS = 2  # periods for which that must last before closing is proposed
REOPEN_PERIODS = 16  # periods for which that must last before reopening is proposed
VOTE_FANOUT = 3  # random members that receive a changed vote at once
MIN_VOTE_INTERVAL = 0.25  # of a period: shortest interval between two such broadcasts

Datagrams = list[tuple[int, bytes]]  # receiver's index, bytes


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """Settings of the cluster from the operators' file and the start-up file."""

    own_index: int
    member_count: int
    zone: int
    zone_count: int
    profile_costs: tuple[ProfileCosts, ...]
    links: RegionLinks
    region_map_digest: int
    period: float = 0.25  # seconds
    max_datagrams_per_second: float = 80.0
    max_bytes_per_second: float = 16_000.0
    evacuated_zones: int = 0  # bit set


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that holds at most one second's worth of tokens."""

    rate: float  # tokens per second
    tokens: float = 0.0
    updated_at: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.rate

    def try_consume(self, amount: float, now: float) -> bool:
        """Takes the amount if that many tokens are there; False if not."""
        self.tokens = min(self.rate, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


@dataclass(slots=True)
class ClusterNode:
    """The node of one balancer."""

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
    broadcast_vote: wire.Vote | None = None  # the last vote that was broadcast
    broadcast_at: float = -inf
    # Of an evacuation that is not proposed: the demand, and the capacity of the remaining zones.
    refused_evacuation: tuple[float, float] | None = None
    counters: Counter[str] = field(default_factory=Counter)
    datagram_bucket: TokenBucket = field(init=False)
    byte_bucket: TokenBucket = field(init=False)
    # By zone: since when it has less, or more, capacity than the bounds above.
    short_since: dict[int, float] = field(default_factory=dict)
    recovered_since: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        settings = self.settings
        run_id = self.rng.getrandbits(63) + 1
        self.members = Members(
            settings.own_index,
            settings.member_count,
            settings.zone,
            run_id,
            settings.region_map_digest,
            self.rng,
            settings.period,
            next_period_at=self.now,
        )
        self.observations = ZoneObservations(self.members, settings.zone_count, len(settings.profile_costs))
        self.agreement = Agreement(self.members, self.rng, self.now)
        self.plan, self.planned_at = (
            plan.local_plan(settings.zone_count, len(settings.profile_costs)),
            self.now,
        )
        self.datagram_bucket, self.byte_bucket = (
            TokenBucket(settings.max_datagrams_per_second, updated_at=self.now),
            TokenBucket(settings.max_bytes_per_second, updated_at=self.now),
        )

    # Datagrams and timers.

    def receive(self, data: bytes, now: float) -> Datagrams:
        """Handles a datagram."""
        try:
            packet = self.keys.decode(data)
        except wire.RefusedDatagramError as refusal:
            self.counters[f"refused: {refusal}"] += 1
            return []
        answers, accepted = self.members.receive(packet, now)
        if accepted:
            self.counters["heard"] += 1
            for entry in packet.observations:
                self.observations.receive(entry, now)
            if packet.vote is not None and packet.region_map_digest == self.settings.region_map_digest:
                self.agreement.receive_vote(packet.vote, now)
        else:
            self.counters["not believed"] += 1
        return self._encode_packets(answers, now) + self._broadcast_changed_vote(now)

    def timer_due(self, now: float) -> Datagrams:
        """Runs what is due of membership and plan."""
        out = self._encode_packets(self.members.timer_due(now), now)
        if now >= self.planned_at + self.settings.period:
            self._update_plan(now)
        return out + self._broadcast_changed_vote(now)

    def _broadcast_changed_vote(self, now: float) -> Datagrams:
        """Sends a changed vote at once, so that it reaches all members in a few hops at any size."""
        vote = self.agreement.vote_to_send()
        if vote == self.broadcast_vote or now < self.broadcast_at + MIN_VOTE_INTERVAL * self.settings.period:
            return []
        self.broadcast_vote, self.broadcast_at = vote, now
        return self._encode_packets(self.members.packets_to_random_peers(VOTE_FANOUT), now)

    def next_timer_at(self, now: float) -> float:
        """When `timer_due` has to be called at the latest."""
        return max(now, min(self.members.next_timer_at(now), self.planned_at + self.settings.period))

    def observe(self, observations: tuple[ZoneObservation, ...], now: float) -> None:
        """Records this balancer's own observations, unless the last ones are recent. In a large cluster every
        second period is enough, to leave space in datagrams for the entries of others."""
        if self.observation_is_due(now):
            self.observed_at = now
            self.observations.record_own(observations, now)

    def observation_is_due(self, now: float) -> bool:
        """Whether `observe` would record; if not, observations need not be computed."""
        return (
            now
            >= self.observed_at
            + (1 if self.settings.member_count < SMALL_CLUSTER_SIZE else 2) * self.settings.period
        )

    def leave(self, now: float) -> Datagrams:
        """Announces an orderly stop."""
        return self._encode_packets(self.members.leave(), now)

    def _encode_packets(self, packets: list[OutgoingPacket], now: float) -> Datagrams:
        """Fills in vote and observations, signs, and drops what exceeds the rate limit."""
        datagrams: Datagrams = []
        for receiver, packet in packets:
            if packet.kind != wire.HELLO:
                packet = msgspec.structs.replace(packet, vote=self.agreement.vote_to_send())
                # Four bytes are kept for a longer array header.
                spare_bytes = wire.MAX_DATAGRAM_BYTES - wire.encoded_size(packet) - 4
                if spare_bytes < 0:  # the vote takes precedence over updates
                    packet = msgspec.structs.replace(packet, updates=packet.updates[:1])
                    spare_bytes = wire.MAX_DATAGRAM_BYTES - wire.encoded_size(packet) - 4
                packet = msgspec.structs.replace(
                    packet, observations=self.observations.select_for_datagram(spare_bytes, now)
                )
            data = self.keys.encode(packet)
            if self.datagram_bucket.try_consume(1.0, now) and self.byte_bucket.try_consume(len(data), now):
                self.counters["sent"] += 1
                self.counters["sent bytes"] += len(data)
                datagrams.append((receiver, data))
            else:
                self.counters["over the ceiling"] += 1
        return datagrams

    # Decisions.

    def zone_estimates(self, now: float) -> tuple[ZoneEstimate, ...]:
        """Estimates of all zones from the observations of all members."""
        return self.observations.estimate_zones(now)

    def has_map_mismatch(self) -> bool:
        """Whether members with another region map are more than half of the live peers. If so, traffic stays
        in its own zone."""
        live_peers = len(self.members.live_members()) - 1
        return 2 * len(self.members.map_mismatches) > live_peers

    def _update_plan(self, now: float) -> None:
        elapsed, self.planned_at = now - self.planned_at, now
        self.observations.expire(now)
        zones = self.zone_estimates(now)
        self._propose_closed_zones(zones, now)
        if self.has_map_mismatch():
            target = plan.local_plan(self.settings.zone_count, len(self.settings.profile_costs))
        else:
            target = plan.compute_plan(
                zones, self.settings.profile_costs, self.settings.links, self._zones_to_close(zones)
            )
        previous = self.plan
        self.plan = plan.step_toward(self.plan, target, min(elapsed, 4 * self.settings.period))
        self.counters["plan steps"] += self.plan.shares != previous.shares

    def _zones_to_close(self, zones: tuple[ZoneEstimate, ...]) -> int:
        """The agreed closed zones, if the others can bear the load by own observations. If not, only those of
        them that have hardly any capacity, which receive next to nothing anyway."""
        closed = self.agreement.closed_zones
        demand, capacity = plan.demand_and_capacity(zones, closed)
        without_capacity = sum(
            1 << z for z, zone in enumerate(zones) if zone.capacity <= CLOSE_BELOW * zone.warm_capacity
        )
        return closed if demand <= capacity else closed & without_capacity

    def _propose_closed_zones(self, zones: tuple[ZoneEstimate, ...], now: float) -> None:
        """Determines which zones should be closed, by observations that persist and by the operators, and
        proposes them."""
        period, wanted = self.settings.period, 0
        with_room = sum(
            1 << z for z, zone in enumerate(zones) if zone.capacity > REOPEN_ABOVE * zone.warm_capacity > 0.0
        )
        self.agreement.zones_with_room = with_room & ~self.settings.evacuated_zones
        self.agreement.reconsider(now)
        for z, zone in enumerate(zones):
            closed = bool(self.agreement.closed_zones >> z & 1)
            has_capacity = (
                zone.origin_count > 0
                and zone.capacity > (REOPEN_ABOVE if closed else CLOSE_BELOW) * zone.warm_capacity
                and zone.warm_capacity > 0
            )
            for since, holds in ((self.short_since, not has_capacity), (self.recovered_since, has_capacity)):
                if holds:
                    since.setdefault(z, now)
                else:
                    since.pop(z, None)
            if closed:
                wanted |= (now - self.recovered_since.get(z, now) < REOPEN_PERIODS * period) << z
            elif zone.origin_count:
                wanted |= (now - self.short_since.get(z, now) >= CLOSE_PERIODS * period) << z
        requested = self.settings.evacuated_zones | wanted
        demand, capacity = plan.demand_and_capacity(zones, requested)
        self.refused_evacuation = (
            (demand, capacity) if self.settings.evacuated_zones and demand > capacity else None
        )
        self.agreement.propose(requested if demand <= capacity else wanted, now)
