"""The timeline of a scenario: when each trouble begins and ends, and which processes it concerns. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from pointgw.testbed.scenario import Scenario, Trouble


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """Begin or end of a trouble."""

    at: float  # seconds from the scenario's start
    number: int  # index of the trouble in the scenario
    trouble: Trouble
    which: tuple[int, ...]  # balancers or servers, by number
    ends: bool


def timeline_events(scenario: Scenario) -> list[TimelineEvent]:
    """All events of a scenario, in order of time. Random choices are drawn from its seed."""
    fleet, events = scenario.fleet, []
    for number, trouble in enumerate(scenario.trouble):
        rng = Random(f"{scenario.seed}/trouble/{number}")
        if trouble.what == "server-start":
            pool = range(fleet.servers, fleet.servers + fleet.spare_servers)
        else:
            pool = range(fleet.balancers if trouble.target in ("balancer", "peers") else fleet.servers)
        which = trouble.which or tuple(sorted(rng.sample(pool, min(trouble.count, len(pool)))))
        if trouble.target in ("discovery", "clients"):
            which = ()
        elif trouble.what == "links" and not trouble.which:
            which = tuple(range(fleet.servers if trouble.side == "servers" else fleet.balancers))
        elif trouble.what == "server-start" and not trouble.which:
            which = tuple(pool[: trouble.count])
        events.append(TimelineEvent(trouble.at, number, trouble, which, False))
        if trouble.seconds:
            events.append(TimelineEvent(trouble.at + trouble.seconds, number, trouble, which, True))
    return sorted(events, key=lambda event: (event.at, event.number, event.ends))
