"""Traffic plan: from estimates of the zones to the shares of traffic over zones. Pure functions.

Water-filling in rings of equal distance. Profiles of the highest credit are placed first; within them each
zone's own clients go first to their own zone, then to zones of its region, then to other regions by the
configured cost of the link. No zone is filled above a fixed share of its present capacity; if all zones are
full to that, the rest fills them to a higher share, in the same order. Load that no zone can take stays
unplaced: its origin declines it and hands it to no other zone. A profile does not use a link whose delay
takes up too much of its attempt timeout. All balancers with the same observations compute the same plan;
`Plan.max_difference` compares two plans.

A plan takes effect in steps (`step_toward`): quickly out of a zone, slowly back, and not at all for small
differences. A load at the bound that fluctuates by more than those is followed all the same.
"""

from __future__ import annotations

from dataclasses import dataclass

from pointgw.cluster.observations import ZoneEstimate

TARGET_UTILISATION = 0.65  # share of a zone's present capacity that is planned at most
SHORTAGE_UTILISATION = 0.78  # the same, if load would be declined otherwise
ROUNDS_PER_RING = 4  # rounds in which a ring's remaining capacity is divided
MIN_LOAD = 1e-6  # average warm servers; less load than this is not placed
SHARE_DEADBAND = 0.03  # of a profile's traffic; shares that differ by less are left as they are
RATE_AWAY = 2.0  # largest change per second of a profile's shares away from its own zone
RATE_HOME = 0.15  # the same, where the share of its own zone grows
MAX_DELAY_SHARE = 0.5  # of the attempt timeout that a link's delay may take up

# Of one profile's traffic, by zone of servers; what is missing to 1 is declined.
Shares = tuple[float, ...]


@dataclass(frozen=True, slots=True)
class RegionLinks:
    """Regions of the zones, and the links between regions."""

    region_of_zone: tuple[int, ...]  # by zone
    cost: dict[tuple[int, int], float]  # of a link, by the lower and the higher region; absent: 1
    delay: dict[tuple[int, int], float]  # seconds that a setup over the link takes longer; absent: 0

    def distance(self, origin: int, zone: int) -> float:
        """Distance of a zone: 0 for the own zone, 0.5 within the region, 1 + the link's cost beyond."""
        one, other = self.region_of_zone[origin], self.region_of_zone[zone]
        if origin == zone:
            return 0.0
        return 0.5 if one == other else 1.0 + self.cost.get((min(one, other), max(one, other)), 1.0)

    def extra_delay(self, origin: int, zone: int) -> float:
        """Seconds that a setup in this zone takes longer."""
        one, other = self.region_of_zone[origin], self.region_of_zone[zone]
        return self.delay.get((min(one, other), max(one, other)), 0.0)


@dataclass(frozen=True, slots=True)
class ProfileCosts:
    """What the plan needs of a profile."""

    credit: float
    attempt_timeout: float  # seconds


@dataclass(frozen=True, slots=True)
class Plan:
    """The shares over zones, for each zone of origin and each profile."""

    shares: tuple[tuple[Shares, ...], ...]
    closed_zones: int = 0  # bit set

    def max_difference(self, other: Plan) -> float:
        """The largest difference of any share."""
        return max(
            (
                abs(a - b)
                for own_rows, other_rows in zip(self.shares, other.shares, strict=True)
                for own_shares, other_shares in zip(own_rows, other_rows, strict=True)
                for a, b in zip(own_shares, other_shares, strict=True)
            ),
            default=0.0,
        )


def local_plan(zone_count: int, profile_count: int) -> Plan:
    """The plan that keeps all traffic in its own zone."""
    return Plan(
        tuple(
            tuple(tuple(float(w == z) for w in range(zone_count)) for _ in range(profile_count))
            for z in range(zone_count)
        )
    )


def compute_plan(
    zones: tuple[ZoneEstimate, ...],
    profiles: tuple[ProfileCosts, ...],
    links: RegionLinks,
    closed_zones: int = 0,
) -> Plan:
    """Computes the plan for these estimates. A zone without any entries has neither capacity nor demand: its
    traffic stays in the zone, where its balancers decide by what they see themselves."""
    zone_count = len(zones)
    placed = [[[0.0] * zone_count for _ in profiles] for _ in zones]
    unplaced = {(z, k): _demand(zones[z], k) for z in range(zone_count) for k in range(len(profiles))}
    rings = sorted({links.distance(z, w) for z in range(zone_count) for w in range(zone_count)})
    # Guards against clients being declined while servers could still take them: a bound that suits normal
    # load is too low in a shortage. The cost: servers that slow down long before they are full are loaded
    # more than is good.
    for share in (TARGET_UTILISATION, SHORTAGE_UTILISATION - TARGET_UTILISATION):
        available = [0.0 if closed_zones >> z & 1 else share * zone.capacity for z, zone in enumerate(zones)]
        for credit in sorted({profile.credit for profile in profiles}, reverse=True):
            same_credit = {
                key: demand for key, demand in unplaced.items() if profiles[key[1]].credit == credit
            }
            for ring in rings:
                for _ in range(ROUNDS_PER_RING):
                    if not _fill_ring(same_credit, available, placed, profiles, links, ring):
                        break
            unplaced |= same_credit
    return Plan(
        tuple(
            tuple(
                _to_shares(placed[z][k], _demand(zones[z], k), z, closed_zones) for k in range(len(profiles))
            )
            for z in range(zone_count)
        ),
        closed_zones,
    )


def _demand(zone: ZoneEstimate, profile: int) -> float:
    return zone.demand[profile] if profile < len(zone.demand) else 0.0


def _fill_ring(
    unplaced: dict[tuple[int, int], float],
    available: list[float],
    placed: list[list[list[float]]],
    profiles: tuple[ProfileCosts, ...],
    links: RegionLinks,
    ring: float,
) -> bool:
    """One round of a ring: divides the unplaced load over the zones at this distance in proportion to their
    remaining capacity, and cuts it where more is requested than fits. False if nothing could be placed."""
    requests: dict[tuple[int, int, int], float] = {}
    for (z, k), demand in unplaced.items():
        if demand <= MIN_LOAD:
            continue
        candidates = [
            w
            for w in range(len(available))
            if links.distance(z, w) == ring
            and available[w] > MIN_LOAD
            and (z == w or links.extra_delay(z, w) <= MAX_DELAY_SHARE * profiles[k].attempt_timeout)
        ]
        capacity = sum(available[w] for w in candidates)
        for w in candidates:
            requests[z, k, w] = demand * available[w] / capacity
    requested = [sum(x for (_, _, at), x in requests.items() if at == w) for w in range(len(available))]
    for (z, k, w), request in requests.items():
        placed_load = (
            request * min(1.0, available[w] / requested[w]) if requested[w] > available[w] else request
        )
        placed[z][k][w] += placed_load
        unplaced[z, k] -= placed_load
    for w, total in enumerate(requested):
        available[w] -= min(total, available[w])
    return bool(requests)


def _to_shares(placed: list[float], demand: float, origin: int, closed_zones: int) -> Shares:
    if demand <= MIN_LOAD:  # no demand is known: unexpected clients stay in their zone if it is open
        open_zones = [w for w in range(len(placed)) if not closed_zones >> w & 1]
        targets = [origin] if origin in open_zones else open_zones
        return tuple(1.0 / len(targets) if w in targets else 0.0 for w in range(len(placed)))
    return tuple(min(1.0, amount / demand) for amount in placed)


def step_toward(current: Plan, target: Plan, seconds: float) -> Plan:
    """The plan in force, moved toward another one by a step of so many seconds."""
    rows = []
    for z, (current_rows, target_rows) in enumerate(zip(current.shares, target.shares, strict=True)):
        rows.append(
            tuple(
                _step_shares(one, two, z, seconds) for one, two in zip(current_rows, target_rows, strict=True)
            )
        )
    return Plan(tuple(rows), target.closed_zones)


def _step_shares(current: Shares, target: Shares, origin: int, seconds: float) -> Shares:
    if max(abs(a - b) for a, b in zip(current, target, strict=True)) < SHARE_DEADBAND:
        # Guards against the remainder of a step being declined for ever.
        return target if sum(target) > 1.0 - MIN_LOAD else current
    # The way back has to be slow: servers that just returned can take little, and the zone may fail again.
    rate = RATE_HOME if target[origin] > current[origin] else RATE_AWAY
    largest_change = max(abs(b - a) for a, b in zip(current, target, strict=True))
    fraction = min(1.0, rate * seconds / largest_change)
    return tuple(a + fraction * (b - a) for a, b in zip(current, target, strict=True))


def demand_and_capacity(zones: tuple[ZoneEstimate, ...], closed_zones: int) -> tuple[float, float]:
    """The demand of all clients, and the capacity for planning of the zones that stay open. Closing zones
    must not leave less capacity than demand."""
    demand = sum(sum(zone.demand) for zone in zones)
    return demand, sum(
        TARGET_UTILISATION * zone.capacity for z, zone in enumerate(zones) if not closed_zones >> z & 1
    )
