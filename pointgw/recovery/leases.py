"""Leases: shares of the slow-start budget, granted for a short time. No I/O, no clock: `now` is passed in.

Rule 4 gives each of N balancers 1/N of what a cold server may get. If few balancers have waiting tunnels,
nearly all of it lies idle. A balancer without waiting tunnels (the lessor) grants its share to one that
requests it (the lessee), which may use it for a short time counted from its request. The sum of all shares
never exceeds 1, whatever happens to the messages, because:

- A lease runs from the request, by the lessee's clock; the lessor counts it from the grant, which is later.
  So it ends at the lessee first, however late a message arrives, and no two clocks are compared.
- A grant is accepted once, and only for an open request of this run, identified by 62 random bits. A lost,
  late, duplicated or replayed grant creates no lease.
- A lessor has one lease out at a time, and does without the granted share until it ends, used or not. A
  process that has just started does without it for as long, as its predecessor may have granted it.
- A false lessor, which uses its share all the same or grants it to many, adds to the sum what its possible
  lessees can hold: `lessor_count(N)` shares of N, at most 4% from 25 balancers on and 1/N below, compared to
  the fifth that `policy.SLOW_START_SAFETY_FACTOR` keeps free. Who may borrow from whom is a ring by index, so
  that nobody can grant to all.
- A replayed or false request costs an idle lessor its share for `LEASE_DURATION`, except for
  `RESERVED_SHARE`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

RESERVED_SHARE = 0.1  # of its share that a lessor keeps
LEASE_DURATION = 0.5  # of the overload window, counted from the request
LESSOR_MARGIN = 0.1  # of LEASE_DURATION: how much longer a lessor waits, as a lessee may notice the end late
REQUEST_INTERVAL = 0.25  # of LEASE_DURATION: between two rounds of requests
REQUEST_FANOUT = 3  # lessors in a round
BALANCERS_PER_LESSOR = 25  # cluster size for each lessor that a balancer may borrow from

LeaseRequest = tuple[int, int]  # lessor, request ID


def lessor_count(balancer_count: int) -> int:
    """From how many others each balancer may borrow."""
    return min(balancer_count - 1, max(1, balancer_count // BALANCERS_PER_LESSOR))


@dataclass(slots=True)
class Lease:
    """The lease from one lessor, and the open request to it."""

    expires_at: float = -inf  # -inf: never granted
    request_id: int = 0  # of the open request; 0: none
    requested_at: float = -inf


@dataclass(slots=True)
class Leases:
    """One balancer's leases, as lessee and as lessor."""

    own_index: int
    balancer_count: int
    overload_window: float  # seconds
    rng: Random
    started_at: float
    lessors: tuple[int, ...] = ()  # balancers that this one may borrow from
    by_lessor: dict[int, Lease] = field(default_factory=dict)  # for each of `lessors`
    last_request_at: float = -inf
    next_lessor: int = 0  # position in `lessors`, counted up
    lessee: int = -1  # who has the own share; -1: nobody had it yet
    granted_until: float = -inf
    is_idle: bool = False  # no tunnel waits here
    borrowed_count: int = 0  # leases received so far
    granted_count: int = 0  # leases granted so far

    def __post_init__(self) -> None:
        self.lessors = tuple(
            (self.own_index + i) % self.balancer_count
            for i in range(1, lessor_count(self.balancer_count) + 1)
        )
        self.by_lessor = {lessor: Lease() for lessor in self.lessors}
        self.granted_until = self.started_at + (1.0 + LESSOR_MARGIN) * self.lease_seconds

    @property
    def lease_seconds(self) -> float:
        """How long a lease lasts."""
        return LEASE_DURATION * self.overload_window

    def budget_share(self, now: float) -> float:
        """What this balancer may use of the budget, in units of 1/N."""
        own = RESERVED_SHARE if now < self.granted_until else 1.0
        return own + (1.0 - RESERVED_SHARE) * sum(now < lease.expires_at for lease in self.by_lessor.values())

    def requests_due(self, can_use_leases: bool, is_idle: bool, now: float) -> list[LeaseRequest]:
        """Requests to be sent now. `can_use_leases`: tunnels wait that cold servers could take; `is_idle`: no
        tunnel waits, nor was one declined recently."""
        self.is_idle = is_idle
        if not can_use_leases or now < self.last_request_at + REQUEST_INTERVAL * self.lease_seconds:
            return []
        self.last_request_at = now
        expiring = [
            n
            for n, lease in self.by_lessor.items()
            if now < lease.expires_at <= now + 2 * REQUEST_INTERVAL * self.lease_seconds
        ]
        requests: list[LeaseRequest] = []
        for lessor in expiring[:REQUEST_FANOUT]:
            self._open_request(lessor, now, requests)
        for _ in self.lessors:
            if len(requests) >= REQUEST_FANOUT:
                break
            lessor = self.lessors[self.next_lessor % len(self.lessors)]
            self.next_lessor += 1
            if self.by_lessor[lessor].expires_at <= now:
                self._open_request(lessor, now, requests)
        return requests

    def _open_request(self, lessor: int, now: float, requests: list[LeaseRequest]) -> None:
        lease = self.by_lessor[lessor]
        lease.request_id, lease.requested_at = self.rng.getrandbits(62) + 1, now
        requests.append((lessor, lease.request_id))

    def receive_request(self, lessee: int, now: float) -> bool:
        """A request from another balancer; True if it is granted the own share."""
        may_borrow = (self.own_index - lessee) % self.balancer_count in range(
            1, lessor_count(self.balancer_count) + 1
        )
        is_free = now >= self.granted_until or lessee == self.lessee
        if not (may_borrow and is_free and self.is_idle):
            return False
        self.lessee, self.granted_until = lessee, now + (1.0 + LESSOR_MARGIN) * self.lease_seconds
        self.granted_count += 1
        return True

    def receive_grant(self, lessor: int, request_id: int, now: float) -> bool:
        """A grant from a lessor; True if it is accepted and the lease still runs."""
        lease = self.by_lessor.get(lessor)
        if lease is None or not request_id or lease.request_id != request_id:
            return False
        lease.request_id, lease.expires_at = 0, lease.requested_at + self.lease_seconds
        self.borrowed_count += now < lease.expires_at
        return now < lease.expires_at
