"""A host that writes down what was asked of it, and ready-made state."""

from __future__ import annotations

from random import Random
from typing import Any

from pointgw.interface import Profile, ServerEntry, Site
from pointgw.policy import Balancer, Server, Tunnel

REPEATABLE = Profile("repeatable", "all", 5.0, 0.5, 3.0, 1.0)


class RecordingHost:
    """A `Host` whose actions can be read afterwards."""

    def __init__(self) -> None:
        self.requests: list[tuple[Any, ...]] = []

    def setup(self, tun: Tunnel, ep: Server, patience: float) -> None:
        self.requests.append(("setup", tun, ep, patience))

    def cancel(self, tun: Tunnel, number: int) -> None:
        self.requests.append(("cancel", tun, number))

    def decline(self, tun: Tunnel, come_back: float) -> None:
        self.requests.append(("decline", tun, come_back))

    def close_with_error(self, tun: Tunnel) -> None:
        self.requests.append(("close_with_error", tun))

    def migrate(self, tun: Tunnel) -> None:
        self.requests.append(("migrate", tun))

    def probe(self, ep: Server) -> None:
        self.requests.append(("probe", ep))

    def watch_list(self) -> None:
        self.requests.append(("watch_list",))

    def set_timer(self, delay: float) -> None:
        pass

    def request_names(self) -> list[str]:
        return [asked[0] for asked in self.requests]


def make_site(**changes: Any) -> Site:
    figures: dict[str, Any] = {
        "balancer_count": 2, "zone": 0, "profiles": (REPEATABLE,), "list_is_polled": False,
        "list_poll_interval": 10.0, "report_fields": ("load",), "max_setups": 4, "may_probe": True,
        "may_cancel": True, "max_retry_after": 1.0, "timer_resolution": 0.005,
        "slow_start_share": 0.2, "warm_up_window": 20.0, "overload_factor": 3.0, "overload_window": 2.0,
        "probe_price": 0.005,
    }  # fmt: skip
    return Site(**(figures | changes))


def make_balancer(loads: list[float | None], **changes: Any) -> tuple[Balancer, RecordingHost, list[Server]]:
    """A balancer at time 100 with a server for each busy figure; None: unheard."""
    notes = RecordingHost()
    bal = Balancer(make_site(**changes), notes, Random(1), 100.0)
    lines = [ServerEntry(f"s{i}", "active", 0, i, i % 2, 0.0, 1.0) for i in range(len(loads))]
    bal.update_servers(lines, True, False, 100.0)
    servers = list(bal.servers.values())
    for ep, load in zip(servers, loads, strict=True):
        ep.reported_busy = load
        if load is not None:
            ep.reported_at = ep.answered_at = 100.0
    notes.requests.clear()
    return bal, notes, servers


def make_tunnel(bal: Balancer, left: float = 3.0, tenant: int = 0, group: str = "") -> Tunnel:
    return bal.new_tunnel("t", 0, tenant, "k", group, 100.0 + left, False)


def make_cold(bal: Balancer, ep: Server, started: float, budget: float) -> None:
    """A server that started lately, with what is left at time 100 of the balancer's budget for it."""
    ep.started_at, ep.warm_at = started, started + bal.warm_up_window
    ep.slow_start_budget, ep.budget_updated_at = budget, 100.0
