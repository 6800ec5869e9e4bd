"""What the members observe of the zones: the newest entry of each origin. No I/O, no clock: `now` is passed
in.

A balancer reports the capacity that it sees in each zone, and the demand of its clients for its own zone. A
newer entry of one origin replaces its older ones; the age of an entry only grows on its way. The entries of a
process are dropped when it ends. A zone's capacity is the same thing to all, so that the median of several
observers is taken, which one false report hardly moves; demand differs by balancer, so that it is summed.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from statistics import median_low

import msgspec

from pointgw.cluster import wire
from pointgw.cluster.members import Members
from pointgw.cluster.wire import ObservationEntry

MAX_AGE = 5.0  # seconds after which an entry is dropped
RUN_ID_MASK = 0xFFFFFFFF  # the bits of a run ID that entries contain
AGE_UNITS_PER_SECOND = 100
MAX_ENTRIES = 16  # in a datagram
MAX_DEMAND_RATIO = 4  # times the median origin's tunnels: more of one balancer are not counted
CAPACITY_SAMPLES = 7  # newest entries of a zone that give its capacity; more would delay a change by old ones
# Entries without demand that are stored per zone, so that their number does not grow with the cluster.
MAX_CAPACITY_ENTRIES = 2 * CAPACITY_SAMPLES
MIN_TUNNELS = 10  # with fewer open tunnels in all, the load of a tunnel is not estimated


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """One zone as this balancer observes it. Capacities and load are in average warm servers."""

    capacity: float
    warm_capacity: float
    load: float
    open_tunnels: int = 0  # of own clients; 0 for other zones
    demand: tuple[int, ...] = ()  # own tunnels by profile: open, waiting or just declined; () for other zones


@dataclass(frozen=True, slots=True)
class ZoneEstimate:
    """One zone by the entries of all members. In average warm servers."""

    capacity: float
    warm_capacity: float
    demand: tuple[float, ...]  # of the zone's own clients, by profile
    origin_count: int  # members with a recent entry


@dataclass(slots=True)
class StoredEntry:
    """An entry with the time of its observation."""

    entry: ObservationEntry
    observed_at: float  # by this balancer's clock


@dataclass(slots=True)
class ZoneObservations:
    """The entries of all members, and the order in which they are sent on."""

    members: Members
    zone_count: int
    profile_count: int
    own_version: int = 0
    entries: dict[tuple[int, int], StoredEntry] = field(default_factory=dict)  # by origin and zone
    # Keys of `entries` not sent yet, and of the others, least recently sent first.
    unsent: dict[tuple[int, int], None] = field(default_factory=dict)
    sent: dict[tuple[int, int], None] = field(default_factory=dict)
    # By zone: the origins whose entries have no demand, and serve for the capacity only.
    capacity_origins: dict[int, dict[int, None]] = field(default_factory=dict)

    def record_own(self, observations: tuple[ZoneObservation, ...], now: float) -> None:
        """Stores this balancer's own observations, one for each zone."""
        self.own_version += 1
        own_index, run_id = self.members.own_index, self.members.run_id & RUN_ID_MASK
        for zone, observation in enumerate(observations):
            capacity, warm_capacity, load = (
                _to_thousandths(observation.capacity),
                _to_thousandths(observation.warm_capacity),
                _to_thousandths(observation.load),
            )
            entry = ObservationEntry(
                own_index,
                run_id,
                self.own_version,
                zone,
                0,
                capacity,
                warm_capacity,
                load,
                observation.open_tunnels,
                observation.demand,
            )
            self._store((own_index, zone), StoredEntry(entry, now))

    def receive(self, entry: ObservationEntry, now: float) -> None:
        """Stores an entry that arrived, of the sender or of a third member. Entries of unknown runs are
        dropped."""
        origin = self.members.peers.get(entry.origin)
        if origin is None or entry.zone >= self.zone_count or len(entry.demand) > self.profile_count:
            return
        if not origin.run_id or origin.run_id & RUN_ID_MASK != entry.origin_run:
            return
        stored = self.entries.get((entry.origin, entry.zone))
        observed_at = now - entry.age / AGE_UNITS_PER_SECOND
        if (
            stored is not None
            and stored.entry.origin_run == entry.origin_run
            and stored.entry.version >= entry.version
        ):
            if stored.entry.version == entry.version:
                # The same entry by a faster path: its age had been overstated.
                stored.observed_at = max(stored.observed_at, observed_at)
            return
        self._store((entry.origin, entry.zone), StoredEntry(entry, observed_at))

    def expire(self, now: float) -> None:
        """Drops entries that are old or of a process that has ended."""
        for key, stored in list(self.entries.items()):
            if now - stored.observed_at > MAX_AGE or not self._is_origin_live(stored.entry):
                self._drop(key)

    def _is_origin_live(self, entry: ObservationEntry) -> bool:
        if entry.origin == self.members.own_index:
            return True
        member = self.members.peers[entry.origin]
        return member.state.is_live and member.run_id & RUN_ID_MASK == entry.origin_run

    def select_for_datagram(self, spare_bytes: int, now: float) -> tuple[ObservationEntry, ...]:
        """Entries for the next datagram, up to so many bytes: unsent ones first, then the least recently
        sent."""
        chosen: list[ObservationEntry] = []
        for _ in range(min(MAX_ENTRIES, len(self.entries))):
            queue = self.unsent or self.sent
            key = next(iter(queue))
            stored = self.entries[key]
            age = min(max(0, round((now - stored.observed_at) * AGE_UNITS_PER_SECOND)), 2**16 - 1)
            entry = msgspec.structs.replace(stored.entry, age=age)
            spare_bytes -= len(wire.encode_part(entry))
            if spare_bytes < 0:
                break
            del queue[key]
            self.sent[key] = None
            chosen.append(entry)
        return tuple(chosen)

    def _store(self, key: tuple[int, int], stored: StoredEntry) -> None:
        self.entries[key] = stored
        self.sent.pop(key, None)
        self.unsent[key] = None
        origin, zone = key
        origins = self.capacity_origins.setdefault(zone, {})
        if stored.entry.demand:
            origins.pop(origin, None)
        else:
            origins[origin] = None
        if len(origins) > MAX_CAPACITY_ENTRIES:
            self._drop((min(origins, key=lambda other: self.entries[other, zone].observed_at), zone))

    def _drop(self, key: tuple[int, int]) -> None:
        origin, zone = key
        del self.entries[key]
        self.unsent.pop(key, None)
        self.sent.pop(key, None)
        self.capacity_origins[zone].pop(origin, None)

    def _recent_entries(self, zone: int, now: float, origins: set[int]) -> list[ObservationEntry]:
        """Recent entries of these origins about a zone, newest first."""
        stored = [s for s in self.entries.values() if s.entry.zone == zone and s.entry.origin in origins]
        recent = [s for s in stored if now - s.observed_at <= MAX_AGE]
        return [s.entry for s in sorted(recent, key=lambda s: (-s.observed_at, s.entry.origin))]

    def estimate_zones(self, now: float) -> tuple[ZoneEstimate, ...]:
        """Estimates of all zones. The load of one tunnel is estimated as the load of all servers divided by
        the number of open tunnels."""
        # Guards against demand in the wrong zone: clients of a balancer that died return to others long
        # before its entries expire. While a live member is wrongly suspected, the others of its zone stand in
        # for it.
        members = self.members.unsuspected_members()
        recent = [self._recent_entries(zone, now, members) for zone in range(self.zone_count)]
        load = sum(
            median_low(e.load for e in entries[:CAPACITY_SAMPLES]) / 1e3 for entries in recent if entries
        )
        with_demand = [[e for e in entries if e.demand] for entries in recent]
        all_with_demand = [e for entries in with_demand for e in entries]
        max_tunnels = (
            MAX_DEMAND_RATIO * median_low(sum(e.demand) for e in all_with_demand) if all_with_demand else 0
        )
        tunnel_count = sum(min(e.open_tunnels, max_tunnels) for e in all_with_demand)
        load_per_tunnel = (
            load * len(all_with_demand) / len(members) / tunnel_count if tunnel_count >= MIN_TUNNELS else 0.0
        )
        members_by_zone = Counter(self.members.zone_of(n) for n in members)
        return tuple(
            self._estimate_zone(
                entries,
                with_demand[z],
                load_per_tunnel * max(1.0, members_by_zone[z] / max(1, len(with_demand[z]))),
                max_tunnels,
            )
            for z, entries in enumerate(recent)
        )

    def _estimate_zone(
        self,
        entries: list[ObservationEntry],
        with_demand: list[ObservationEntry],
        load_per_tunnel: float,
        max_tunnels: int,
    ) -> ZoneEstimate:
        """`with_demand`: entries of the zone's own balancers. In a large cluster not all of them arrive in
        time; those that do stand in for the others by a higher `load_per_tunnel`.

        `max_tunnels`: guards against one balancer claiming all capacity for its clients. Clients are spread
        evenly over balancers; one that does have more than four times the median is planned for less than it
        needs."""
        samples = entries[:CAPACITY_SAMPLES]
        capacity = median_low(e.capacity for e in samples) / 1e3 if samples else 0.0
        warm_capacity = median_low(e.warm_capacity for e in samples) / 1e3 if samples else 0.0
        demand = [0.0] * self.profile_count
        for entry in with_demand:
            scale = min(1.0, max_tunnels / max(1, sum(entry.demand)))
            for i, count in enumerate(entry.demand):
                demand[i] += count * scale * load_per_tunnel
        return ZoneEstimate(capacity, warm_capacity, tuple(demand), len(entries))


def _to_thousandths(value: float) -> int:
    return min(max(0, round(value * 1e3)), 2**32 - 1)
