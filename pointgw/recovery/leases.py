"""Parts of the cold servers' budget, lent for a moment. No I/O, no clock: `now` is passed in.

Rule 4 gives each of N balancers 1/N of what a cold server may get. Where few have tunnels waiting, nearly all
of it lies idle. One that has none waiting lends its part to one that asks, which may use it until a moment
after its own asking. What keeps all parts together at 1, whatever becomes of the words:

- A loan counts from when the borrower asked, by its own clock; the lender counts it from when it lent, which
  was later. So it ends at the borrower first, however late a word comes; no two clocks are compared.
- An answer is taken once, and only to an open question of this run (a number of 63 bits by chance). A lost,
  late, doubled or replayed one is no loan.
- A lender has one loan out at a time, and goes without what it lent until that is over, used or not. A
  process that has just started goes without for as long: the one before it may have lent.
- A lie: one that lends and spends all the same, or lends to many, adds to the sum what those that may borrow
  of it hold: `few(N)` parts of N, 4% from 25 balancers on, 1/N under that, against `COLD_SAFE`'s fifth. Who
  may borrow of whom is a ring by number, so that nobody can lend to all.
- A replayed or lying question costs a lender that has nothing waiting its part for `LEASE_DURATION`, but for
  `OWN`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

RESERVED_SHARE = 0.1  # of its part that a lender keeps
LEASE_DURATION = 0.5  # of the tip span: how long a loan lasts from when it was asked for
LESSOR_MARGIN = (
    0.1  # of that: how much longer the lender goes without it, as a borrower sees an end a little late
)
REQUEST_INTERVAL = 0.25  # of it, until who is not answered, or whose loan ends, is asked again
REQUEST_FANOUT = 3  # that are asked at a time
BALANCERS_PER_LESSOR = 25  # balancers for each one that may borrow of another

LeaseRequest = tuple[int, int]  # whom, the question's number


def lessor_count(balancers: int) -> int:
    """Of how many each may borrow."""
    return min(balancers - 1, max(1, balancers // BALANCERS_PER_LESSOR))


@dataclass(slots=True)
class Lease:
    """What is borrowed of one other, and the question to it that is open."""

    expires_at: float = -inf  # of what was lent
    request_id: int = 0  # of the question; 0: none is open
    requested_at: float = -inf


@dataclass(slots=True)
class Leases:
    own_index: int
    balancer_count: int
    overload_window: float  # the tip span, in seconds
    rng: Random
    started_at: float
    lessors: tuple[int, ...] = ()  # those that this one may borrow of
    by_lessor: dict[int, Lease] = field(default_factory=dict)  # by lender
    last_request_at: float = -inf
    next_lessor: int = 0  # which lender is asked next
    lessee: int = -1
    granted_until: float = -inf
    is_idle: bool = False  # nothing waits here
    borrowed_count: int = 0  # loans so far
    granted_count: int = 0

    def __post_init__(self) -> None:
        self.lessors = tuple(
            (self.own_index + i) % self.balancer_count
            for i in range(1, lessor_count(self.balancer_count) + 1)
        )
        self.by_lessor = {lender: Lease() for lender in self.lessors}
        self.granted_until = self.started_at + (1.0 + LESSOR_MARGIN) * self.lease_seconds

    @property
    def lease_seconds(self) -> float:
        return LEASE_DURATION * self.overload_window

    def budget_share(self, now: float) -> float:
        """What this one may use of the budget, in parts of 1/N."""
        own = RESERVED_SHARE if now < self.granted_until else 1.0
        return own + (1.0 - RESERVED_SHARE) * sum(now < loan.expires_at for loan in self.by_lessor.values())

    def requests_due(self, needs: bool, idle: bool, now: float) -> list[LeaseRequest]:
        """What is asked of whom now. `needs`: tunnels wait that cold servers could take; `idle`: nothing
        waits, nor was turned away lately."""
        self.is_idle = idle
        if not needs or now < self.last_request_at + REQUEST_INTERVAL * self.lease_seconds:
            return []
        self.last_request_at = now
        runs_out = [
            n
            for n, loan in self.by_lessor.items()
            if now < loan.expires_at <= now + 2 * REQUEST_INTERVAL * self.lease_seconds
        ]
        out: list[LeaseRequest] = []
        for lender in runs_out[:REQUEST_FANOUT]:
            self._open_request(lender, now, out)
        for _ in self.lessors:
            if len(out) >= REQUEST_FANOUT:
                break
            lender = self.lessors[self.next_lessor % len(self.lessors)]
            self.next_lessor += 1
            if self.by_lessor[lender].expires_at <= now:
                self._open_request(lender, now, out)
        return out

    def _open_request(self, lender: int, now: float, out: list[LeaseRequest]) -> None:
        loan = self.by_lessor[lender]
        loan.request_id, loan.requested_at = self.rng.getrandbits(62) + 1, now
        out.append((lender, loan.request_id))

    def receive_request(self, borrower: int, now: float) -> bool:
        """Another asks; True where it gets this one's part."""
        may = (self.own_index - borrower) % self.balancer_count in range(
            1, lessor_count(self.balancer_count) + 1
        )
        free = now >= self.granted_until or borrower == self.lessee
        if not (may and free and self.is_idle):
            return False
        self.lessee, self.granted_until = borrower, now + (1.0 + LESSOR_MARGIN) * self.lease_seconds
        self.granted_count += 1
        return True

    def receive_grant(self, lender: int, number: int, now: float) -> bool:
        """An answer: the part of `lender` is lent. True where that is so."""
        loan = self.by_lessor.get(lender)
        if loan is None or not number or loan.request_id != number:
            return False
        loan.request_id, loan.expires_at = 0, loan.requested_at + self.lease_seconds
        self.borrowed_count += now < loan.expires_at
        return now < loan.expires_at
