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
from pointgw.cluster.wire import Fact

OLD = 5.0  # seconds after which a fact tells nothing
HALF = 0xFFFFFFFF  # the part of a run that facts name
STEP = 100  # hundredths of a second
MOST_FACTS = 16  # in a datagram
ABOVE = 4  # times the median of all origins that one balancer's tunnels count at most
EYES = 7  # the newest words on a zone's room that count: few are enough, and old ones would hold a change up
KEPT = 2 * EYES  # of them that are held: so a large tier's facts take no more room than its members
FEW = 10  # tunnels under which nothing is told of what one needs


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """One zone, as this balancer sees it. In mean, warm servers."""

    room: float
    warm: float
    used: float
    open: int = 0  # tunnels of own clients; of other zones nothing is told
    need: tuple[int, ...] = ()  # with those that wait or were turned away just now, by profile


@dataclass(frozen=True, slots=True)
class Zone:
    """One zone, as all see it. In mean, warm servers."""

    room: float
    warm: float
    need: tuple[float, ...]  # of its clients, by profile
    origins: int  # that told of it


@dataclass(slots=True)
class Held:
    fact: Fact
    at: float  # when it was made, by this balancer's clock


@dataclass(slots=True)
class ZoneObservations:
    members: Members
    zones: int
    profiles: int
    number: int = 0
    held: dict[tuple[int, int], Held] = field(default_factory=dict)
    # Those of `held` that are to be passed on first, and the others, the longest not told first.
    news: dict[tuple[int, int], None] = field(default_factory=dict)
    told: dict[tuple[int, int], None] = field(default_factory=dict)
    eyes: dict[int, dict[int, None]] = field(default_factory=dict)  # by zone: who tells its room alone

    def see(self, seen: tuple[ZoneObservation, ...], now: float) -> None:
        """What this balancer sees now, zone by zone."""
        self.number += 1
        me, run = self.members.me, self.members.run & HALF
        for zone, one in enumerate(seen):
            room, warm, used = _amount(one.room), _amount(one.warm), _amount(one.used)
            fact = Fact(me, run, self.number, zone, 0, room, warm, used, one.open, one.need)
            self._put((me, zone), Held(fact, now))

    def hear(self, fact: Fact, now: float) -> None:
        """What another tells, of itself or of a third. One whose process is not known tells nothing."""
        origin = self.members.others.get(fact.origin)
        if origin is None or fact.zone >= self.zones or len(fact.need) > self.profiles:
            return
        if not origin.run or origin.run & HALF != fact.run:
            return
        known = self.held.get((fact.origin, fact.zone))
        at = now - fact.age / STEP
        if known is not None and known.fact.run == fact.run and known.fact.number >= fact.number:
            if known.fact.number == fact.number:
                known.at = max(known.at, at)  # the same, by a quicker way: its age was overstated
            return
        self._put((fact.origin, fact.zone), Held(fact, at))

    def forget(self, now: float) -> None:
        """What is old, or of a process that is gone."""
        for key, held in list(self.held.items()):
            if now - held.at > OLD or not self._there(held.fact):
                self._drop(key)

    def _there(self, fact: Fact) -> bool:
        if fact.origin == self.members.me:
            return True
        member = self.members.others[fact.origin]
        return member.state.there and member.run & HALF == fact.run

    def pick(self, spare: int, now: float) -> tuple[Fact, ...]:
        """What the next datagram tells within so many bytes: news first, then what was not told for
        longest."""
        chosen: list[Fact] = []
        for _ in range(min(MOST_FACTS, len(self.held))):
            queue = self.news or self.told
            key = next(iter(queue))
            held = self.held[key]
            age = min(max(0, round((now - held.at) * STEP)), 2**16 - 1)
            fact = msgspec.structs.replace(held.fact, age=age)
            spare -= len(wire.encoded(fact))
            if spare < 0:
                break
            del queue[key]
            self.told[key] = None
            chosen.append(fact)
        return tuple(chosen)

    def _put(self, key: tuple[int, int], held: Held) -> None:
        self.held[key] = held
        self.told.pop(key, None)
        self.news[key] = None
        origin, zone = key
        eyes = self.eyes.setdefault(zone, {})
        if held.fact.need:
            eyes.pop(origin, None)
        else:
            eyes[origin] = None
        if len(eyes) > KEPT:
            self._drop((min(eyes, key=lambda other: self.held[other, zone].at), zone))

    def _drop(self, key: tuple[int, int]) -> None:
        origin, zone = key
        del self.held[key]
        self.news.pop(key, None)
        self.told.pop(key, None)
        self.eyes[zone].pop(origin, None)

    def _fresh(self, zone: int, now: float, of: set[int]) -> list[Fact]:
        """What these tell of a zone, the newest first."""
        about = [h for h in self.held.values() if h.fact.zone == zone and h.fact.origin in of]
        fresh = [h for h in about if now - h.at <= OLD]
        return [h.fact for h in sorted(fresh, key=lambda h: (-h.at, h.fact.origin))]

    def all_zones(self, now: float) -> tuple[Zone, ...]:
        """What is held of each zone. What one tunnel needs is what all reports tell over all tunnels."""
        # Guards against need in the wrong zone: clients of a balancer that died come to others long before
        # its facts are old. It hurts for a moment where one is suspected and lives: its zone's others stand
        # for it.
        certain = self.members.certain()
        fresh = [self._fresh(zone, now, certain) for zone in range(self.zones)]
        used = sum(median_low(f.used for f in facts[:EYES]) / 1e3 for facts in fresh if facts)
        own = [[f for f in facts if f.need] for facts in fresh]
        told = [f for facts in own for f in facts]
        most = ABOVE * median_low(sum(f.need) for f in told) if told else 0
        count = sum(min(f.open, most) for f in told)
        unit = used * len(told) / len(certain) / count if count >= FEW else 0.0
        there = Counter(self.members.zone_of(n) for n in certain)
        return tuple(
            self._zone(facts, own[z], unit * max(1.0, there[z] / max(1, len(own[z]))), most)
            for z, facts in enumerate(fresh)
        )

    def _zone(self, fresh: list[Fact], own: list[Fact], unit: float, most: int) -> Zone:
        """`own`: what its balancers tell. In a large tier not all are heard of in time: those that are stand
        for the others by `unit`, what each tunnel counts.

        `most`: guards against one that claims all room for its clients. The front deals each as many; one
        that truly has over four times as many as others is planned for less than it needs."""
        eyes = fresh[:EYES]
        room = median_low(f.room for f in eyes) / 1e3 if eyes else 0.0
        warm = median_low(f.warm for f in eyes) / 1e3 if eyes else 0.0
        need = [0.0] * self.profiles
        for fact in own:
            part = min(1.0, most / max(1, sum(fact.need)))
            for i, count in enumerate(fact.need):
                need[i] += count * part * unit
        return Zone(room, warm, tuple(need), len(fresh))


def _amount(figure: float) -> int:
    return min(max(0, round(figure * 1e3)), 2**32 - 1)
