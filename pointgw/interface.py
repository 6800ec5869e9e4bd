"""What a host hands to the decision module, and the actions the module asks of it.

A host (the bench's drill, or the real balancer of `pointgw.net`) builds a `Site` from its settings,
starts one `pointgw.policy.Balancer` for each balancer, reports events by calling its methods and carries out
the `Host` actions it asks for. Times are seconds; shares and prices are fractions.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal, NamedTuple, Protocol

if TYPE_CHECKING:
    from pointgw.policy import Server, Tunnel

Semantics = Literal["repeatable", "referenced", "once-only"]
DedupScope = Literal["all", "zone", "cell"]
# How a setup or a probe ended. "full", "no-connection" and "moot" prove that it never ran.
Ending = Literal["ok", "error", "full", "timeout", "no-connection", "reset", "cancelled", "moot"]
# A load report: any of "connections", "load" (asked over capacity), "backlog" (seconds of work),
# "waiting", "util", "rate", "delay", "errors".
Report = dict[str, float]


@dataclass(frozen=True, slots=True)
class Profile:
    """One profile of tunnels."""

    semantics: Semantics
    dedup_scope: DedupScope
    dedup_window: float
    attempt_timeout: float
    client_timeout: float
    credit: float


@dataclass(frozen=True, slots=True)
class Site:
    """All that a balancer is told at its start."""

    balancer_count: int
    zone: int
    profiles: tuple[Profile, ...]
    list_is_polled: bool  # the server list answers only when asked
    list_poll_interval: float
    report_fields: tuple[str, ...]  # the values of a load report
    max_setups: int
    may_probe: bool
    may_cancel: bool
    max_retry_after: float  # the longest come-back time that clients follow; 0: none may be given
    timer_resolution: float  # the shortest time between two turns
    slow_start_share: float
    warm_up_window: float
    overload_factor: float
    overload_window: float
    probe_price: float
    tunnel_quota: float = 0.0  # open tunnels, at all balancers, that the tenants' shares allow; 0: not told
    sizes_listed: bool = False  # the list tells how large servers are
    balancer_index: int = -1  # its own, of 0 to balancers - 1; -1: not told
    only_draining_excludes: bool = False  # a server that is gone without having drained may still be used
    nines_weight: float = 0.0  # weight of the nines in the result: tenfold steps of the unserved share
    max_nines: float = 0.0  # how many of them count in full; 0: not told


class ServerEntry(NamedTuple):
    """One line of the server list."""

    server: str
    state: Literal["active", "leaving", "left"]
    kind: int
    cell: int
    zone: int
    started_at: float  # 0: long ago
    weight: float


class Host(Protocol):
    """The actions a balancer may ask for; each takes effect at once."""

    def setup(self, tunnel: Tunnel, server: Server, timeout: float) -> None: ...
    def cancel(self, tunnel: Tunnel, number: int) -> None: ...
    def decline(self, tunnel: Tunnel, retry_after: float) -> None: ...
    def close_with_error(self, tunnel: Tunnel) -> None: ...
    def migrate(self, tunnel: Tunnel) -> None: ...
    def probe(self, server: Server) -> None: ...
    def watch_list(self) -> None: ...
    def set_timer(self, delay: float) -> None: ...
