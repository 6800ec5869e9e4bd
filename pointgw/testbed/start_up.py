"""Start values of the testbed's servers and start-up files of its balancers. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from pointgw.testbed.address_plan import Address, format_address
from pointgw.testbed.demand import mean_tunnel_work
from pointgw.testbed.registry import Line, endpoint_entry
from pointgw.testbed.scenario import Scenario, balancer_settings
from pointgw.testbed.server_model import Make

BALANCER_DESCRIPTOR_LIMIT = 60_000  # file descriptors that a balancer is configured for


def server_start_values(
    scenario: Scenario, capacity: float, start: int, since: float, listen: list[Address]
) -> dict[str, Any]:
    """Start values of a server process.

    `start`: number of this start. `since`: start time that discovery reports; 0: long ago, so it is warm.
    """
    fleet = scenario.fleet
    make = Make(
        capacity, fleet.holds, fleet.group_cost, fleet.setup_work, fleet.message_work, fleet.cold_from,
        fleet.cold_seconds, fleet.tip_multiple, fleet.tip_seconds, fleet.thrash, fleet.drops_after,
        mean_tunnel_work(scenario.demand),
    )  # fmt: skip
    return {
        "start": start, "since": since, "make": msgspec.to_builtins(make), "listen": listen,
        "tells_load": fleet.tells_load, "report_every": fleet.report_every,
        "report_late": fleet.report_late, "report_noise": fleet.report_noise,
    }  # fmt: skip


def balancer_start_file(
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
    """Content of a balancer's start-up file; `lines` and `addresses`: the list that it last knew."""
    endpoints = [endpoint_entry(line, addresses) for line in lines]
    start_file: dict[str, Any] = {
        "name": name, "listen": format_address(listen), "discovery": format_address(discovery),
        "seed": f"{seed:x}",
        "limits": {"sockets": BALANCER_DESCRIPTOR_LIMIT},
        "known": {"index": 0, "snapshot": True, "endpoints": endpoints},
        "settings": balancer_settings(scenario, zone),
    }  # fmt: skip
    if peers is not None and peer_listen is not None:
        start_file |= {
            "peers": [format_address(peer) for peer in peers],
            "peer_listen": format_address(peer_listen),
        }
        start_file["settings"]["me"] = int(name[1:])
    return start_file
