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

OWN = 0.1  # of its part that a lender keeps
LEASE_DURATION = 0.5  # of the tip span: how long a loan lasts from when it was asked for
LESSOR_MARGIN = (
    0.1  # of that: how much longer the lender goes without it, as a borrower sees an end a little late
)
AGAIN = 0.25  # of it, until who is not answered, or whose loan ends, is asked again
FAN = 3  # that are asked at a time
FEW = 25  # balancers for each one that may borrow of another

Ask = tuple[int, int]  # whom, the question's number


def few(balancers: int) -> int:
    """Of how many each may borrow."""
    return min(balancers - 1, max(1, balancers // FEW))


@dataclass(slots=True)
class Lease:
    """What is borrowed of one other, and the question to it that is open."""

    ends: float = -inf  # of what was lent
    number: int = 0  # of the question; 0: none is open
    asked: float = -inf


@dataclass(slots=True)
class Leases:
    me: int
    count: int
    span: float  # the tip span, in seconds
    rng: Random
    started: float
    lenders: tuple[int, ...] = ()  # those that this one may borrow of
    loans: dict[int, Lease] = field(default_factory=dict)  # by lender
    asked_at: float = -inf
    turn: int = 0  # which lender is asked next
    lent_to: int = -1
    lent_until: float = -inf
    idle: bool = False  # nothing waits here
    borrowed: int = 0  # loans so far
    granted: int = 0

    def __post_init__(self) -> None:
        self.lenders = tuple((self.me + i) % self.count for i in range(1, few(self.count) + 1))
        self.loans = {lender: Lease() for lender in self.lenders}
        self.lent_until = self.started + (1.0 + LESSOR_MARGIN) * self.lease

    @property
    def lease(self) -> float:
        return LEASE_DURATION * self.span

    def budget_share(self, now: float) -> float:
        """What this one may use of the budget, in parts of 1/N."""
        own = OWN if now < self.lent_until else 1.0
        return own + (1.0 - OWN) * sum(now < loan.ends for loan in self.loans.values())

    def requests_due(self, needs: bool, idle: bool, now: float) -> list[Ask]:
        """What is asked of whom now. `needs`: tunnels wait that cold servers could take; `idle`: nothing
        waits, nor was turned away lately."""
        self.idle = idle
        if not needs or now < self.asked_at + AGAIN * self.lease:
            return []
        self.asked_at = now
        runs_out = [n for n, loan in self.loans.items() if now < loan.ends <= now + 2 * AGAIN * self.lease]
        out: list[Ask] = []
        for lender in runs_out[:FAN]:
            self._ask(lender, now, out)
        for _ in self.lenders:
            if len(out) >= FAN:
                break
            lender = self.lenders[self.turn % len(self.lenders)]
            self.turn += 1
            if self.loans[lender].ends <= now:
                self._ask(lender, now, out)
        return out

    def _ask(self, lender: int, now: float, out: list[Ask]) -> None:
        loan = self.loans[lender]
        loan.number, loan.asked = self.rng.getrandbits(62) + 1, now
        out.append((lender, loan.number))

    def receive_request(self, borrower: int, now: float) -> bool:
        """Another asks; True where it gets this one's part."""
        may = (self.me - borrower) % self.count in range(1, few(self.count) + 1)
        free = now >= self.lent_until or borrower == self.lent_to
        if not (may and free and self.idle):
            return False
        self.lent_to, self.lent_until = borrower, now + (1.0 + LESSOR_MARGIN) * self.lease
        self.granted += 1
        return True

    def receive_grant(self, lender: int, number: int, now: float) -> bool:
        """An answer: the part of `lender` is lent. True where that is so."""
        loan = self.loans.get(lender)
        if loan is None or not number or loan.number != number:
            return False
        loan.number, loan.ends = 0, loan.asked + self.lease
        self.borrowed += now < loan.ends
        return now < loan.ends
