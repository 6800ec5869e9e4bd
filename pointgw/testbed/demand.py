"""Client arrivals of a scenario: an open loop, drawn in advance from one seed. No I/O, no clock.

Arrivals don't wait for answers, so a stalled balancer can't hide its delay: a client's times count
from its scheduled arrival.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import exp
from random import Random

from pointgw.testbed.scenario import Demand, Scenario

STANDING_ARRIVAL_SECONDS = 3.0  # seconds in which the clients of `Demand.standing` arrive


@dataclass(frozen=True, slots=True)
class ClientArrival:
    """One client: when it arrives, how long its tunnel lasts, and the load that it puts on its server."""

    number: int
    at: float  # seconds from the scenario's start
    lifetime: float  # seconds
    load: float  # work a second
    profile: int
    zone: int
    group: str
    slow_reader: bool


def mean_tunnel_work(demand: Demand) -> float:
    """Mean work that a tunnel asks for in its lifetime: the product of the means of two lognormals."""
    return demand.load * demand.life * exp((demand.load_sigma**2 + demand.life_sigma**2) / 2)


def client_arrivals(scenario: Scenario) -> Iterator[ClientArrival]:
    """Yields all clients of a scenario in order of arrival."""
    demand = scenario.demand
    rng = Random(f"{scenario.seed}/demand")
    for number, at in enumerate(_arrival_times(scenario, rng)):
        group = f"g{int(demand.groups * rng.random() ** 2)}" if demand.groups else ""
        yield ClientArrival(
            number=number,
            at=at,
            lifetime=max(1.0, rng.lognormvariate(0.0, demand.life_sigma) * demand.life),
            load=rng.lognormvariate(0.0, demand.load_sigma) * demand.load,
            profile=rng.choices(range(len(scenario.profile)), [p.share for p in scenario.profile])[0],
            zone=rng.randrange(len(scenario.fleet.zones)),
            group=group,
            slow_reader=rng.random() < demand.slow_readers,
        )


def _arrival_times(scenario: Scenario, rng: Random) -> list[float]:
    demand = scenario.demand
    times = [rng.uniform(0.0, STANDING_ARRIVAL_SECONDS) for _ in range(demand.standing)]
    arrival_time = 0.0
    bursts = [t for t in scenario.trouble if t.what == "burst"]
    while True:
        # Thinning: arrivals are drawn at the highest rate and kept with the ratio of the current rate to it.
        max_rate = demand.arrivals * max([1.0, *(t.size for t in bursts)])
        arrival_time += rng.expovariate(max_rate)
        if arrival_time >= scenario.seconds:
            break
        factor = max([1.0, *(t.size for t in bursts if t.at <= arrival_time < t.at + (t.seconds or 1e9))])
        if rng.random() * max_rate < demand.arrivals * factor:
            times.append(arrival_time)
    if demand.burst_every:
        for i in range(1, int(scenario.seconds / demand.burst_every)):
            times += [i * demand.burst_every + rng.uniform(0.0, 0.05) for _ in range(demand.burst_size)]
    return sorted(times)


def retry_delay(demand: Demand, try_count: int, rng: Random) -> float:
    """Seconds until a client retries after `try_count` tries: exponential backoff with jitter."""
    wait: float = min(demand.retry_last, demand.retry_first * 2**try_count)
    return wait * rng.uniform(0.5, 1.5)
