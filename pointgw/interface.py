"""The interface between `pointgw.policy` and its hosts: settings, list entries, reports and actions.

A host (the simulator adapter, or the balancer process of `pointgw.net`) builds a `Site` from its settings and
a `pointgw.policy.Balancer` from that for each balancer, reports events by calling the balancer's methods and
carries out the actions of `Host` that it requests. Times are seconds; shares and prices are fractions.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal, NamedTuple, Protocol

if TYPE_CHECKING:
    from pointgw.policy import Server, Tunnel

# Whether a request may be executed twice: freely, where the server can recognise it, or never.
Semantics = Literal["repeatable", "referenced", "once-only"]
# Which servers recognise a request that another one of them has executed already.
DedupScope = Literal["all", "zone", "cell"]
# How a setup or a probe ended. "full", "no-connection" and "moot" prove that it was not executed; "moot" is a
# local fault, not attributable to the server.
Ending = Literal["ok", "error", "full", "timeout", "no-connection", "reset", "cancelled", "moot"]
# A load report; its keys are any of "connections", "load" (demand over capacity), "backlog" (seconds of
# work), "waiting", "util", "rate", "delay", "errors".
Report = dict[str, float]


@dataclass(frozen=True, slots=True)
class Profile:
    """Settings that a kind of tunnel has in common."""

    semantics: Semantics
    dedup_scope: DedupScope
    dedup_window: float  # time after its first setup for which a request is recognised
    attempt_timeout: float  # time for one setup
    client_timeout: float  # time after which the client gives up
    credit: float  # value of a tunnel that is served


@dataclass(frozen=True, slots=True)
class Site:
    """The settings of a balancer, which do not change while it runs."""

    balancer_count: int
    zone: int
    profiles: tuple[Profile, ...]
    list_is_polled: bool  # changes of the server list come only on request
    list_poll_interval: float
    report_fields: tuple[str, ...]  # keys of the servers' load reports
    max_setups: int  # for one tunnel
    may_probe: bool
    may_cancel: bool
    max_retry_after: float  # longest retry-after time that clients follow; 0: none may be given
    timer_resolution: float  # shortest time between two timers
    slow_start_share: float  # share of its capacity that a server has at its start
    warm_up_window: float  # time from a server's start to its full capacity
    overload_factor: float  # rate that overloads a cold server, in rates that fill it over the warm-up window
    overload_window: float  # time over which that rate is counted
    probe_price: float  # credit that a probe costs
    tunnel_quota: float = 0.0  # open tunnels at all balancers that the tenants' quotas allow; 0: unknown
    sizes_listed: bool = False  # weights of the list are server sizes
    balancer_index: int = -1  # own index, 0 to balancer_count - 1; -1: unknown
    only_draining_excludes: bool = False  # a server removed without having drained may still be used
    nines_weight: float = 0.0  # weight in the result of the nines: tenfold reductions of the unserved share
    max_nines: float = 0.0  # number of nines that count in full; 0: unknown


UNKNOWN_PLACE = -1  # a zone, cell or kind that the list does not state, or not readably
UNKNOWN_WEIGHT = -1.0  # the same for a weight


class Location(NamedTuple):
    """Where a server is, as the list states it; either part may be UNKNOWN_PLACE."""

    zone: int
    cell: int

    def recognises(self, first: Location, scope: DedupScope) -> bool:
        """Rule 2: whether a server here recognises a request that one at `first` may have executed.

        An unknown zone or cell is the same as none, not even as another unknown one.
        """
        if scope == "all":
            return True
        here, there = (self.zone, first.zone) if scope == "zone" else (self.cell, first.cell)
        return here == there != UNKNOWN_PLACE


class ServerEntry(NamedTuple):
    """One entry of the server list."""

    server: str
    state: Literal["active", "leaving", "left"]
    kind: int  # index of the hardware kind, or UNKNOWN_PLACE
    cell: int  # UNKNOWN_PLACE: not known
    zone: int  # index of the zone, or UNKNOWN_PLACE
    started_at: float  # 0: long ago
    weight: float  # relative size, or UNKNOWN_WEIGHT

    @property
    def location(self) -> Location:
        """The server's zone and cell."""
        return Location(self.zone, self.cell)


class Host(Protocol):
    """The actions that a balancer requests; each takes effect at once."""

    def setup(self, tunnel: Tunnel, server: Server, timeout: float) -> None:
        """Starts the tunnel's last setup; it ends by `setup_opened` or `setup_ended`."""
        ...

    def cancel(self, tunnel: Tunnel, number: int) -> None:
        """Cancels the setup with this index in `tunnel.setups`."""
        ...

    def decline(self, tunnel: Tunnel, retry_after: float) -> None:
        """Answers the client that it was not served and may try again after this time."""
        ...

    def close_with_error(self, tunnel: Tunnel) -> None:
        """Answers the client with an error; another try may have a second effect."""
        ...

    def migrate(self, tunnel: Tunnel) -> None:
        """Has the client of an open tunnel set it up anew, so that it gets another server."""
        ...

    def probe(self, server: Server) -> None:
        """Requests a load report; it ends by `probe_ended`."""
        ...

    def watch_list(self) -> None:
        """Requests the server list and its changes."""
        ...

    def set_timer(self, delay: float) -> None:
        """Requests a call of `timer_due` after the delay."""
        ...
