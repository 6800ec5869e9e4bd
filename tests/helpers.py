"""A host that records what the decision module requests, and functions that make state for tests."""

from __future__ import annotations

from random import Random
from typing import Any

from pointgw.interface import Profile, ServerEntry, Site
from pointgw.policy import Balancer, Server, Tunnel

REPEATABLE = Profile("repeatable", "all", 5.0, 0.5, 3.0, 1.0)


class RecordingHost:
    """A `Host` that records the requested actions and carries out none."""

    def __init__(self) -> None:
        self.requests: list[tuple[Any, ...]] = []

    def setup(self, tunnel: Tunnel, server: Server, timeout: float) -> None:
        self.requests.append(("setup", tunnel, server, timeout))

    def cancel(self, tunnel: Tunnel, number: int) -> None:
        self.requests.append(("cancel", tunnel, number))

    def decline(self, tunnel: Tunnel, retry_after: float) -> None:
        self.requests.append(("decline", tunnel, retry_after))

    def close_with_error(self, tunnel: Tunnel) -> None:
        self.requests.append(("close_with_error", tunnel))

    def migrate(self, tunnel: Tunnel) -> None:
        self.requests.append(("migrate", tunnel))

    def probe(self, server: Server) -> None:
        self.requests.append(("probe", server))

    def watch_list(self) -> None:
        self.requests.append(("watch_list",))

    def set_timer(self, delay: float) -> None:
        pass

    def request_names(self) -> list[str]:
        """The names of the recorded actions, in order."""
        return [request[0] for request in self.requests]


def make_site(**changes: Any) -> Site:
    """Settings of one of two balancers, with changes."""
    figures: dict[str, Any] = {
        "balancer_count": 2, "zone": 0, "profiles": (REPEATABLE,), "list_is_polled": False,
        "list_poll_interval": 10.0, "report_fields": ("load",), "max_setups": 4, "may_probe": True,
        "may_cancel": True, "max_retry_after": 1.0, "timer_resolution": 0.005,
        "slow_start_share": 0.2, "warm_up_window": 20.0, "overload_factor": 3.0, "overload_window": 2.0,
        "probe_price": 0.005,
    }  # fmt: skip
    return Site(**(figures | changes))


def make_balancer(loads: list[float | None], **changes: Any) -> tuple[Balancer, RecordingHost, list[Server]]:
    """A balancer at time 100 with a server for each busy figure; None: no report."""
    host = RecordingHost()
    balancer = Balancer(make_site(**changes), host, Random(1), 100.0)
    entries = [ServerEntry(f"s{i}", "active", 0, i, i % 2, 0.0, 1.0) for i in range(len(loads))]
    balancer.update_servers(entries, True, False, 100.0)
    servers = list(balancer.servers.values())
    for server, load in zip(servers, loads, strict=True):
        server.reported_busy = load
        if load is not None:
            server.reported_at = server.answered_at = 100.0
    host.requests.clear()
    return balancer, host, servers


def make_tunnel(balancer: Balancer, remaining: float = 3.0, tenant: int = 0, group: str = "") -> Tunnel:
    """A tunnel at time 100 that has not arrived yet; `remaining`: seconds to its client's timeout."""
    return balancer.new_tunnel("t", 0, tenant, "k", group, 100.0 + remaining, False)


def make_cold(balancer: Balancer, server: Server, started_at: float, budget: float) -> None:
    """Makes a server cold, with the slow-start budget that the balancer has for it at time 100."""
    server.started_at, server.warm_at = started_at, started_at + balancer.warm_up_window
    server.slow_start_budget, server.budget_updated_at = budget, 100.0
