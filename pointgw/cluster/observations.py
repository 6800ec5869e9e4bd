"""What balancers see of the zones, the newest of each origin. No I/O, no clock: `now` is passed in.

A balancer tells of each zone what room it sees there, and of its own zone what its clients need. The newest
of one origin replaces its former ones, and none is passed on younger than it was told: its age only grows.
Facts of a process that is gone end with it. What all see of a zone's room is one thing, so a median of many
tells it, and one liar moves it little; what clients need is each balancer's own, so it is added up."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from statistics import median_low

import msgspec

from pointgw.cluster import wire
from pointgw.cluster.members import Members
from pointgw.cluster.wire import ObservationEntry

MAX_AGE = 5.0  # seconds after which a fact tells nothing
RUN_ID_MASK = 0xFFFFFFFF  # the part of a run that facts name
AGE_UNITS_PER_SECOND = 100  # hundredths of a second
MAX_ENTRIES = 16  # in a datagram
MAX_DEMAND_RATIO = 4  # times the median of all origins that one balancer's tunnels count at most
CAPACITY_SAMPLES = (
    7  # the newest words on a zone's room that count: few are enough, and old ones would hold a change up
)
MAX_CAPACITY_ENTRIES = (
    2 * CAPACITY_SAMPLES
)  # of them that are held: so a large tier's facts take no more room than its members
MIN_TUNNELS = 10  # tunnels under which nothing is told of what one needs


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """One zone, as this balancer sees it. In mean, warm servers."""

    capacity: float
    warm_capacity: float
    load: float
    open_tunnels: int = 0  # tunnels of own clients; of other zones nothing is told
    demand: tuple[int, ...] = ()  # with those that wait or were turned away just now, by profile


@dataclass(frozen=True, slots=True)
class ZoneEstimate:
    """One zone, as all see it. In mean, warm servers."""

    capacity: float
    warm_capacity: float
    demand: tuple[float, ...]  # of its clients, by profile
    origin_count: int  # that told of it


@dataclass(slots=True)
class StoredEntry:
    entry: ObservationEntry
    observed_at: float  # when it was made, by this balancer's clock


@dataclass(slots=True)
class ZoneObservations:
    members: Members
    zone_count: int
    profile_count: int
    own_version: int = 0
    entries: dict[tuple[int, int], StoredEntry] = field(default_factory=dict)
    # Those of `held` that are to be passed on first, and the others, the longest not told first.
    unsent: dict[tuple[int, int], None] = field(default_factory=dict)
    sent: dict[tuple[int, int], None] = field(default_factory=dict)
    capacity_origins: dict[int, dict[int, None]] = field(
        default_factory=dict
    )  # by zone: who tells its room alone

    def record_own(self, seen: tuple[ZoneObservation, ...], now: float) -> None:
        """What this balancer sees now, zone by zone."""
        self.own_version += 1
        me, run = self.members.own_index, self.members.run_id & RUN_ID_MASK
        for zone, one in enumerate(seen):
            room, warm, used = (
                _to_thousandths(one.capacity),
                _to_thousandths(one.warm_capacity),
                _to_thousandths(one.load),
            )
            fact = ObservationEntry(
                me, run, self.own_version, zone, 0, room, warm, used, one.open_tunnels, one.demand
            )
            self._store((me, zone), StoredEntry(fact, now))

    def receive(self, fact: ObservationEntry, now: float) -> None:
        """What another tells, of itself or of a third. One whose process is not known tells nothing."""
        origin = self.members.peers.get(fact.origin)
        if origin is None or fact.zone >= self.zone_count or len(fact.demand) > self.profile_count:
            return
        if not origin.run_id or origin.run_id & RUN_ID_MASK != fact.origin_run:
            return
        known = self.entries.get((fact.origin, fact.zone))
        at = now - fact.age / AGE_UNITS_PER_SECOND
        if (
            known is not None
            and known.entry.origin_run == fact.origin_run
            and known.entry.version >= fact.version
        ):
            if known.entry.version == fact.version:
                known.observed_at = max(
                    known.observed_at, at
                )  # the same, by a quicker way: its age was overstated
            return
        self._store((fact.origin, fact.zone), StoredEntry(fact, at))

    def expire(self, now: float) -> None:
        """What is old, or of a process that is gone."""
        for key, held in list(self.entries.items()):
            if now - held.observed_at > MAX_AGE or not self._is_origin_live(held.entry):
                self._drop(key)

    def _is_origin_live(self, fact: ObservationEntry) -> bool:
        if fact.origin == self.members.own_index:
            return True
        member = self.members.peers[fact.origin]
        return member.state.is_live and member.run_id & RUN_ID_MASK == fact.origin_run

    def select_for_datagram(self, spare: int, now: float) -> tuple[ObservationEntry, ...]:
        """What the next datagram tells within so many bytes: news first, then what was not told for
        longest."""
        chosen: list[ObservationEntry] = []
        for _ in range(min(MAX_ENTRIES, len(self.entries))):
            queue = self.unsent or self.sent
            key = next(iter(queue))
            held = self.entries[key]
            age = min(max(0, round((now - held.observed_at) * AGE_UNITS_PER_SECOND)), 2**16 - 1)
            fact = msgspec.structs.replace(held.entry, age=age)
            spare -= len(wire.encode_part(fact))
            if spare < 0:
                break
            del queue[key]
            self.sent[key] = None
            chosen.append(fact)
        return tuple(chosen)

    def _store(self, key: tuple[int, int], held: StoredEntry) -> None:
        self.entries[key] = held
        self.sent.pop(key, None)
        self.unsent[key] = None
        origin, zone = key
        eyes = self.capacity_origins.setdefault(zone, {})
        if held.entry.demand:
            eyes.pop(origin, None)
        else:
            eyes[origin] = None
        if len(eyes) > MAX_CAPACITY_ENTRIES:
            self._drop((min(eyes, key=lambda other: self.entries[other, zone].observed_at), zone))

    def _drop(self, key: tuple[int, int]) -> None:
        origin, zone = key
        del self.entries[key]
        self.unsent.pop(key, None)
        self.sent.pop(key, None)
        self.capacity_origins[zone].pop(origin, None)

    def _recent_entries(self, zone: int, now: float, of: set[int]) -> list[ObservationEntry]:
        """What these tell of a zone, the newest first."""
        about = [h for h in self.entries.values() if h.entry.zone == zone and h.entry.origin in of]
        fresh = [h for h in about if now - h.observed_at <= MAX_AGE]
        return [h.entry for h in sorted(fresh, key=lambda h: (-h.observed_at, h.entry.origin))]

    def estimate_zones(self, now: float) -> tuple[ZoneEstimate, ...]:
        """What is held of each zone. What one tunnel needs is what all reports tell over all tunnels."""
        # Guards against need in the wrong zone: clients of a balancer that died come to others long before
        # its facts are old. It hurts for a moment where one is suspected and lives: its zone's others stand
        # for it.
        certain = self.members.unsuspected_members()
        fresh = [self._recent_entries(zone, now, certain) for zone in range(self.zone_count)]
        used = sum(median_low(f.load for f in facts[:CAPACITY_SAMPLES]) / 1e3 for facts in fresh if facts)
        own = [[f for f in facts if f.demand] for facts in fresh]
        told = [f for facts in own for f in facts]
        most = MAX_DEMAND_RATIO * median_low(sum(f.demand) for f in told) if told else 0
        count = sum(min(f.open_tunnels, most) for f in told)
        unit = used * len(told) / len(certain) / count if count >= MIN_TUNNELS else 0.0
        there = Counter(self.members.zone_of(n) for n in certain)
        return tuple(
            self._estimate_zone(facts, own[z], unit * max(1.0, there[z] / max(1, len(own[z]))), most)
            for z, facts in enumerate(fresh)
        )

    def _estimate_zone(
        self, fresh: list[ObservationEntry], own: list[ObservationEntry], unit: float, most: int
    ) -> ZoneEstimate:
        """`own`: what its balancers tell. In a large tier not all are heard of in time: those that are stand
        for the others by `unit`, what each tunnel counts.

        `most`: guards against one that claims all room for its clients. The front deals each as many; one
        that truly has over four times as many as others is planned for less than it needs."""
        eyes = fresh[:CAPACITY_SAMPLES]
        room = median_low(f.capacity for f in eyes) / 1e3 if eyes else 0.0
        warm = median_low(f.warm_capacity for f in eyes) / 1e3 if eyes else 0.0
        need = [0.0] * self.profile_count
        for fact in own:
            part = min(1.0, most / max(1, sum(fact.demand)))
            for i, count in enumerate(fact.demand):
                need[i] += count * part * unit
        return ZoneEstimate(room, warm, tuple(need), len(fresh))


def _to_thousandths(figure: float) -> int:
    return min(max(0, round(figure * 1e3)), 2**32 - 1)
