"""What servers and balancers of a rig are told at their start. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from pointgw.testbed.demand import median_work
from pointgw.testbed.layout import Address, shown
from pointgw.testbed.machine import Make
from pointgw.testbed.roster import Line, entry
from pointgw.testbed.scenario import Scenario, settings

DESCRIPTORS = 60_000  # that a balancer is told it may hold


def server(
    scenario: Scenario, capacity: float, start: int, since: float, listen: list[Address]
) -> dict[str, Any]:
    """`start`: its starts so far; `since`: when, as discovery will tell; 0: long ago, so that it is warm."""
    fleet = scenario.fleet
    make = Make(
        capacity, fleet.holds, fleet.group_cost, fleet.setup_work, fleet.message_work, fleet.cold_from,
        fleet.cold_seconds, fleet.tip_multiple, fleet.tip_seconds, fleet.thrash, fleet.drops_after,
        median_work(scenario.demand),
    )  # fmt: skip
    return {
        "start": start, "since": since, "make": msgspec.to_builtins(make), "listen": listen,
        "tells_load": fleet.tells_load, "report_every": fleet.report_every,
        "report_late": fleet.report_late, "report_noise": fleet.report_noise,
    }  # fmt: skip


def balancer(
    scenario: Scenario,
    name: str,
    zone: int,
    seed: int,
    listen: Address,
    discovery: Address,
    lines: list[Line],
    addresses: dict[str, str],
    peers: list[Address] | None = None,
    peer_listen: Address | None = None,
) -> dict[str, Any]:
    """The start-up file's content; `lines` and `addresses`: the list as this balancer last had it."""
    endpoints = [entry(line, addresses) for line in lines]
    told: dict[str, Any] = {
        "name": name, "listen": shown(listen), "discovery": shown(discovery), "seed": f"{seed:x}",
        "limits": {"sockets": DESCRIPTORS},
        "known": {"index": 0, "snapshot": True, "endpoints": endpoints},
        "settings": settings(scenario, zone),
    }  # fmt: skip
    if peers is not None and peer_listen is not None:
        told |= {"peers": [shown(peer) for peer in peers], "peer_listen": shown(peer_listen)}
        told["settings"]["me"] = int(name[1:])
    return told
