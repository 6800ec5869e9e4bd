"""Where traffic goes: from what is known of the zones to shares over zones. Pure.

Water-filling in rings. Profiles of the highest credit first; within them each zone's own clients first, then
the own region's zones, then other regions by the stated cost of the way. No zone is filled above a stated
part of what its ready servers can do now; where all are full so, what is left over fills them to a higher
one, in the same order. What no zone can bear then stays unplaced: its origin turns it away, and hands it on
to nobody. A profile goes no way that takes up more than its setup goal can bear. All balancers with the same
facts make the same plan; `differ` tells how far two plans are apart.

A plan is taken up in steps (`toward`): out of a zone quickly, back slowly, and not at all for small
differences. A load held at the bound that swings by more than those is followed all the same."""

from __future__ import annotations

from dataclasses import dataclass

from pointgw.cluster.observations import ZoneEstimate

TARGET_UTILISATION = 0.65  # of what a zone's ready servers can do: what is planned there at most
SHORTAGE_UTILISATION = 0.78  # the same, where some would be turned away else
ROUNDS_PER_RING = 4  # of sharing what is left of a ring among those that want it
MIN_LOAD = 1e-6  # mean servers that are not worth placing
SHARE_DEADBAND = 0.03  # of a profile's traffic: a share that differs by less is left as it is
RATE_AWAY = 2.0  # largest change per second of a profile's shares away from its own zone
RATE_HOME = 0.15  # the same, where the share of its own zone grows
MAX_DELAY_SHARE = 0.5  # of the setup goal that a way may take up

Shares = tuple[
    float, ...
]  # of one profile's traffic, by zone of servers; what is missing to 1 is turned away


@dataclass(frozen=True, slots=True)
class RegionLinks:
    """What is between zones."""

    region_of_zone: tuple[int, ...]  # of each zone
    cost: dict[tuple[int, int], float]  # between two regions, either way round; absent: 1
    delay: dict[tuple[int, int], float]  # seconds that a setup takes longer between two regions; absent: 0

    def distance(self, origin: int, zone: int) -> float:
        """How far a zone is: 0 the own, under 1 the own region, then by cost."""
        one, other = self.region_of_zone[origin], self.region_of_zone[zone]
        if origin == zone:
            return 0.0
        return 0.5 if one == other else 1.0 + self.cost.get((min(one, other), max(one, other)), 1.0)

    def extra_delay(self, origin: int, zone: int) -> float:
        one, other = self.region_of_zone[origin], self.region_of_zone[zone]
        return self.delay.get((min(one, other), max(one, other)), 0.0)


@dataclass(frozen=True, slots=True)
class ProfileCosts:
    """A profile, as the plan sees it."""

    credit: float
    attempt_timeout: float


@dataclass(frozen=True, slots=True)
class Plan:
    """For each zone of origin and profile, the shares over zones."""

    shares: tuple[tuple[Shares, ...], ...]
    closed_zones: int = 0  # zones as bits

    def max_difference(self, other: Plan) -> float:
        """The largest difference of any share."""
        return max(
            (
                abs(a - b)
                for mine, theirs in zip(self.shares, other.shares, strict=True)
                for one, two in zip(mine, theirs, strict=True)
                for a, b in zip(one, two, strict=True)
            ),
            default=0.0,
        )


def local_plan(zones: int, kinds: int) -> Plan:
    """All traffic in its own zone: where nothing is known."""
    return Plan(
        tuple(tuple(tuple(float(w == z) for w in range(zones)) for _ in range(kinds)) for z in range(zones))
    )


def compute_plan(
    zones: tuple[ZoneEstimate, ...], kinds: tuple[ProfileCosts, ...], ways: RegionLinks, closed: int = 0
) -> Plan:
    """The plan that these facts give. A zone that none has told of has no room and needs nothing: its own
    traffic stays at home, for its balancers to decide by their own eyes."""
    count = len(zones)
    placed = [[[0.0] * count for _ in kinds] for _ in zones]
    rest = {(z, k): _demand(zones[z], k) for z in range(count) for k in range(len(kinds))}
    rings = sorted({ways.distance(z, w) for z in range(count) for w in range(count)})
    # Guards against clients that are turned away while servers could yet take them: a bound that is right
    # for a day with room is too low for one without. It hurts where servers grow slow long before they are
    # full.
    for part in (TARGET_UTILISATION, SHORTAGE_UTILISATION - TARGET_UTILISATION):
        left = [0.0 if closed >> z & 1 else part * zone.capacity for z, zone in enumerate(zones)]
        for credit in sorted({kind.credit for kind in kinds}, reverse=True):
            same = {at: need for at, need in rest.items() if kinds[at[1]].credit == credit}
            for ring in rings:
                for _ in range(ROUNDS_PER_RING):
                    if not _fill_ring(same, left, placed, kinds, ways, ring):
                        break
            rest |= same
    return Plan(
        tuple(
            tuple(_to_shares(placed[z][k], _demand(zones[z], k), z, closed) for k in range(len(kinds)))
            for z in range(count)
        ),
        closed,
    )


def _demand(zone: ZoneEstimate, kind: int) -> float:
    return zone.demand[kind] if kind < len(zone.demand) else 0.0


def _fill_ring(
    rest: dict[tuple[int, int], float],
    left: list[float],
    placed: list[list[list[float]]],
    kinds: tuple[ProfileCosts, ...],
    ways: RegionLinks,
    ring: float,
) -> bool:
    """One round of a ring: what wants to go is split over what is open to it by what is left there, and cut
    where more comes than fits. False: nothing more fits or wants to go."""
    wants: dict[tuple[int, int, int], float] = {}
    for (z, k), need in rest.items():
        if need <= MIN_LOAD:
            continue
        able = [
            w
            for w in range(len(left))
            if ways.distance(z, w) == ring
            and left[w] > MIN_LOAD
            and (z == w or ways.extra_delay(z, w) <= MAX_DELAY_SHARE * kinds[k].attempt_timeout)
        ]
        room = sum(left[w] for w in able)
        for w in able:
            wants[z, k, w] = need * left[w] / room
    coming = [sum(x for (_, _, at), x in wants.items() if at == w) for w in range(len(left))]
    for (z, k, w), want in wants.items():
        taken = want * min(1.0, left[w] / coming[w]) if coming[w] > left[w] else want
        placed[z][k][w] += taken
        rest[z, k] -= taken
    for w, come in enumerate(coming):
        left[w] -= min(come, left[w])
    return bool(wants)


def _to_shares(placed: list[float], need: float, origin: int, closed: int) -> Shares:
    if need <= MIN_LOAD:  # who comes all the same stays near
        stay = [w for w in range(len(placed)) if not closed >> w & 1]
        near = [origin] if origin in stay else stay
        return tuple(1.0 / len(near) if w in near else 0.0 for w in range(len(placed)))
    return tuple(min(1.0, amount / need) for amount in placed)


def step_toward(now: Plan, target: Plan, span: float) -> Plan:
    """A step of `span` seconds from the plan in force to another."""
    rows = []
    for z, (mine, theirs) in enumerate(zip(now.shares, target.shares, strict=True)):
        rows.append(tuple(_step_shares(one, two, z, span) for one, two in zip(mine, theirs, strict=True)))
    return Plan(tuple(rows), target.closed_zones)


def _step_shares(now: Shares, target: Shares, origin: int, span: float) -> Shares:
    if max(abs(a - b) for a, b in zip(now, target, strict=True)) < SHARE_DEADBAND:
        # Guards against clients that are turned away for ever by what is left of a step.
        return target if sum(target) > 1.0 - MIN_LOAD else now
    # Coming home is what has to be slow: servers that are back may get little, and a zone may fall again.
    rate = RATE_HOME if target[origin] > now[origin] else RATE_AWAY
    most = max(abs(b - a) for a, b in zip(now, target, strict=True))
    part = min(1.0, rate * span / most)
    return tuple(a + part * (b - a) for a, b in zip(now, target, strict=True))


def demand_and_capacity(zones: tuple[ZoneEstimate, ...], closed: int) -> tuple[float, float]:
    """What all clients need, and what the zones that stay open can bear: no closing may leave less than
    that."""
    need = sum(sum(zone.demand) for zone in zones)
    return need, sum(
        TARGET_UTILISATION * zone.capacity for z, zone in enumerate(zones) if not closed >> z & 1
    )
