"""A host that writes down what was asked of it, and ready-made state."""

from __future__ import annotations

from random import Random
from typing import Any

from pointgw.interface import Listed, Profile, Site
from pointgw.policy import Balancer, Server, Tunnel

REPEATABLE = Profile("repeatable", "all", 5.0, 0.5, 3.0, 1.0)


class Notes:
    """A `Host` whose actions can be read afterwards."""

    def __init__(self) -> None:
        self.asked: list[tuple[Any, ...]] = []

    def setup(self, tun: Tunnel, ep: Server, patience: float) -> None:
        self.asked.append(("setup", tun, ep, patience))

    def cancel(self, tun: Tunnel, number: int) -> None:
        self.asked.append(("cancel", tun, number))

    def decline(self, tun: Tunnel, come_back: float) -> None:
        self.asked.append(("decline", tun, come_back))

    def close_with_error(self, tun: Tunnel) -> None:
        self.asked.append(("close_with_error", tun))

    def move(self, tun: Tunnel) -> None:
        self.asked.append(("move", tun))

    def probe(self, ep: Server) -> None:
        self.asked.append(("probe", ep))

    def watch(self) -> None:
        self.asked.append(("watch",))

    def timer(self, delay: float) -> None:
        pass

    def words(self) -> list[str]:
        return [asked[0] for asked in self.asked]


def site(**changes: Any) -> Site:
    figures: dict[str, Any] = {
        "balancers": 2, "zone": 0, "profiles": (REPEATABLE,), "asks": False,
        "ask_every": 10.0, "fields": ("load",), "max_setups": 4, "may_probe": True,
        "may_cancel": True, "come_back": 1.0, "grain": 0.005,
        "cold_share": 0.2, "cold_time": 20.0, "tip_multiple": 3.0, "tip_span": 2.0, "probe_price": 0.005,
    }  # fmt: skip
    return Site(**(figures | changes))


def balancer(loads: list[float | None], **changes: Any) -> tuple[Balancer, Notes, list[Server]]:
    """A balancer at time 100 with a server for each busy figure; None: unheard."""
    notes = Notes()
    bal = Balancer(site(**changes), notes, Random(1), 100.0)
    lines = [Listed(f"s{i}", "active", 0, i, i % 2, 0.0, 1.0) for i in range(len(loads))]
    bal.listed(lines, True, False, 100.0)
    servers = list(bal.servers.values())
    for ep, load in zip(servers, loads, strict=True):
        ep.busy = load
        if load is not None:
            ep.heard_at = ep.asked_at = 100.0
    notes.asked.clear()
    return bal, notes, servers


def tunnel(bal: Balancer, left: float = 3.0, tenant: int = 0, group: str = "") -> Tunnel:
    return bal.tunnel("t", 0, tenant, "k", group, 100.0 + left, False)


def cold(bal: Balancer, ep: Server, started: float, budget: float) -> None:
    """A server that started lately, with what is left at time 100 of the balancer's budget for it."""
    ep.started, ep.warm_at = started, started + bal.cold_time
    ep.budget, ep.budget_at = budget, 100.0
