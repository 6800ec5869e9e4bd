"""Loans of the cold servers' budget, the phases and the words, on a virtual clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filling_world import World
from pointgw import operators, validation
from pointgw.cluster.wire import Keys, RefusedDatagramError
from pointgw.interface import Profile
from pointgw.net.run.recovery import RecoveryRunner
from pointgw.net.wire.start_up import StartUpSettings, parse_start_up_file
from pointgw.recovery import messages
from pointgw.recovery.leases import LEASE_DURATION, REQUEST_INTERVAL, RESERVED_SHARE, Leases, lessor_count
from pointgw.recovery.messages import LeaseMessage
from pointgw.recovery.phase import (
    MAX_FINDING_TIME,
    MIN_FILLING_TIME,
    Phase,
    RecoveryPhaseTracker,
    ServerCounts,
    queue_priority,
)

SPAN = 2.0
KEY = Keys((b"0123456789abcdef",))


def tier(count: int, at: float = 0.0, seed: int = 1) -> list[Leases]:
    """Balancers that have stood long enough to lend."""
    return [Leases(n, count, SPAN, Random(seed * 1000 + n), at - SPAN) for n in range(count)]


def changes(balancer: Leases) -> list[float]:
    """When its part changes by itself."""
    return [balancer.granted_until, *(loan.expires_at for loan in balancer.by_lessor.values())]


class Box:
    """Words between balancers: lost, late, doubled, by chance."""

    def __init__(self, balancers: list[Leases], rng: Random, loss: float, late: float, twice: float) -> None:
        self.all, self.rng, self.loss, self.late, self.twice = balancers, rng, loss, late, twice
        self.queue: list[tuple[float, int, Callable[[float], object]]] = []
        self.count = 0

    def send(self, now: float, deliver: Callable[[float], object]) -> None:
        for _ in range(1 + (self.rng.random() < self.twice)):
            if self.rng.random() >= self.loss:
                self.count += 1
                heapq.heappush(self.queue, (now + self.rng.uniform(0.0, self.late), self.count, deliver))

    def deliver(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            at, _, take = heapq.heappop(self.queue)
            take(at)

    def ask(self, borrower: Leases, needs: bool, now: float) -> None:
        for lender, number in borrower.requests_due(needs, not needs, now):
            self.send(now, partial(self._asked, borrower, self.all[lender], number))

    def _asked(self, borrower: Leases, lender: Leases, number: int, now: float) -> None:
        if lender.receive_request(borrower.own_index, now):
            self.send(now, partial(borrower.receive_grant, lender.own_index, number))


@settings(max_examples=60, deadline=None)
@given(
    st.integers(2, 60), st.integers(0, 2**32), st.floats(0.0, 0.6), st.floats(0.0, 3.0), st.floats(0.0, 0.5)
)
def test_all_parts_together_are_never_over_one(
    count: int, seed: int, loss: float, late: float, twice: float
) -> None:
    """Whatever is lost, late or doubled, who needs when, and who starts anew in between."""
    rng = Random(seed)
    all_of_them = tier(count, seed=seed)
    box = Box(all_of_them, rng, loss, late, twice)
    needs = [rng.random() < 0.3 for _ in range(count)]
    for step in range(120):
        now = step * 0.05
        box.deliver(now)
        for n in range(count):
            if rng.random() < 0.05:
                needs[n] = not needs[n]
            if rng.random() < 0.01:
                all_of_them[n] = Leases(n, count, SPAN, Random(rng.random()), now)
            box.ask(all_of_them[n], needs[n], now)
        # Also at the moment each loan ends, and just before it.
        ends = [end - 1e-9 for b in all_of_them for end in changes(b) if now < end < now + 0.05]
        for at in (now, *ends):
            assert sum(b.budget_share(at) for b in all_of_them) <= count + 1e-6


@pytest.mark.parametrize("count", [3, 6, 40, 200, 1000])
def test_where_few_wait_they_have_what_others_do_not_need(count: int) -> None:
    all_of_them = tier(count)
    box = Box(all_of_them, Random(3), 0.0, 0.02, 0.0)
    waiting = set(range(0, count, max(3, count // 12)))
    sent = 0
    for step in range(40):
        now = step * 0.05
        box.deliver(now)
        for b in all_of_them:
            box.ask(b, b.own_index in waiting, now)
        sent = box.count
    now = 2.0
    parts = [all_of_them[n].budget_share(now) for n in waiting]
    others = [b.budget_share(now) for b in all_of_them if b.own_index not in waiting]
    assert sum(parts) / len(parts) > 1.0 + 0.7 * min(lessor_count(count), 1.0) * (1 - len(waiting) / count)
    assert len(parts) < 3 or sum(parts) / len(parts) > 0.6 * (1 + min(lessor_count(count), 8))
    assert min(others) == pytest.approx(RESERVED_SHARE)
    # What it costs: a question and its answer for each loan, four times a lease at most.
    assert sent <= 2.0 * len(waiting) * 3 / (REQUEST_INTERVAL * LEASE_DURATION * SPAN) * 2.0


def test_a_late_answer_is_a_loan_only_for_what_is_left_of_it() -> None:
    borrower, lender = tier(2)
    ((who, number),) = borrower.requests_due(True, False, 0.0)
    assert who == 1
    lender.requests_due(False, True, 0.0)
    assert lender.receive_request(0, 0.4) and lender.budget_share(0.4) == RESERVED_SHARE
    assert borrower.receive_grant(1, number, 0.9) and borrower.budget_share(0.9) == pytest.approx(1.9)
    assert (
        borrower.budget_share(1.0) == 1.0
        and lender.budget_share(1.49) == RESERVED_SHARE
        and lender.budget_share(1.5) == 1.0
    )


def test_an_answer_that_comes_after_its_time_or_again_is_no_loan() -> None:
    borrower, lender = tier(2)
    ((_, number),) = borrower.requests_due(True, False, 0.0)
    assert not borrower.receive_grant(1, number + 1, 0.1) and not borrower.receive_grant(1, 0, 0.1)
    assert not borrower.receive_grant(1, number, 1.0) and borrower.budget_share(1.0) == 1.0
    ((_, number),) = borrower.requests_due(True, False, 1.1)
    assert borrower.receive_grant(1, number, 1.2) and not borrower.receive_grant(1, number, 1.3)
    assert borrower.budget_share(1.3) == pytest.approx(1.9) and borrower.budget_share(2.1) == 1.0
    assert lender.budget_share(0.0) == 1.0


@pytest.mark.parametrize("count", [6, 50, 200])
def test_one_that_lends_to_all_and_spends_all_the_same_adds_a_twentieth(count: int) -> None:
    # Its word costs what those may take of it that it may lend to; others don't ask it.
    all_of_them = tier(count)
    for b in all_of_them:
        for step in range(2 * lessor_count(count)):
            for lender, number in b.requests_due(True, False, step * 0.26):
                if lender == 0:
                    b.receive_grant(0, number, step * 0.26)
    now = (2 * lessor_count(count) - 1) * 0.26
    assert sum(b.budget_share(now) for b in all_of_them) <= count * (1 + max(1 / count, 0.04))


@pytest.mark.parametrize(
    ("waits", "borrower", "lent", "lends"),
    [
        (False, 0, -1, True),
        (True, 0, -1, False),  # it needs its part itself
        (False, 0, 5, False),  # another has it
        (False, 5, 5, True),  # the same one again
        (False, 17, -1, False),  # not one that may borrow of it
        (False, 1, -1, False),  # itself
    ],
)
def test_who_gets_the_part(waits: bool, borrower: int, lent: int, lends: bool) -> None:
    lender = tier(200)[1]
    lender.requests_due(waits, not waits, 0.0)
    if lent >= 0:
        lender.lessee, lender.granted_until = lent, 0.5
    borrower = (borrower - 1) % 200 if borrower not in (0, 17, 1) else borrower
    if lent == 5:
        lender.lessee = (lent - 1) % 200 if borrower != 0 else 199
    assert lender.receive_request(borrower, 0.1) is (lends and (lender.own_index - borrower) % 200 <= 8)


def test_one_that_has_just_started_lends_nothing_and_goes_without_what_may_be_lent() -> None:
    lender = Leases(1, 2, SPAN, Random(1), 10.0)
    lender.requests_due(False, True, 10.0)
    assert not lender.receive_request(0, 10.5) and lender.budget_share(10.5) == RESERVED_SHARE
    assert lender.budget_share(11.1) == 1.0 and lender.receive_request(0, 11.1)


WORD = LeaseMessage(messages.REQUEST, 3, 4, 2**62, 200)


def test_a_word_is_read_whole_or_not_at_all() -> None:
    data = messages.encode(WORD, KEY)
    assert messages.decode(data, KEY) == WORD and len(data) < 64
    for cut in range(len(data)):
        with pytest.raises(RefusedDatagramError):
            messages.decode(data[:cut], KEY)
    for at in range(len(data)):
        for bit in range(8):
            with pytest.raises(RefusedDatagramError):
                messages.decode(data[:at] + bytes((data[at] ^ 1 << bit,)) + data[at + 1 :], KEY)


@pytest.mark.parametrize(
    "body", [b"", b"\x90", b"\x95\x02\x03\x04\x05\x06", b"\x95\x00\xcd\xff\xff\x04\x05\x06", b"\xc1" * 40]
)
def test_a_signed_body_that_is_no_word_is_refused(body: bytes) -> None:
    with pytest.raises(RefusedDatagramError):
        messages.decode(KEY.sign_body(body, messages.MAGIC), KEY)


def file(tmp_path: Path, text: str) -> operators.RecoverySection:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    found = operators.read(str(path)).recovery
    assert found is not None
    return found


def told(**changes: object) -> StartUpSettings:
    line: dict[str, object] = {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
        "known": {"index": 0, "snapshot": True, "endpoints": []}, "settings": {"instances": 2, "me": 0},
    }  # fmt: skip
    return parse_start_up_file(msgspec.json.encode(line | changes))


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("[recovery]\n", "recovery.listen: expected HOST:PORT"),
        ('[recovery]\nlisten = "127.0.0.1:9"\n', "recovery.peers = 0: expected a list"),
        ('[recovery]\nlisten = "there"\n', "recovery = 'there': expected HOST:PORT"),
        ('[recovery]\nlisten = "127.0.0.1:9"\npeers = ["127.0.0.1:0"]\n', "expected HOST:PORT"),
        (
            '[recovery]\nlisten = "127.0.0.1:9"\npeers = ["127.0.0.1:9"]\nkey_file = "/nowhere"\n',
            "expected a file that can be read",
        ),
    ],
)
def test_what_operators_wrote_wrongly_is_told_in_a_line(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], text: str, fault: str
) -> None:
    assert RecoveryRunner.create(file(tmp_path, text), told()) is None
    (line,) = capfd.readouterr().err.splitlines()
    assert fault in line


def test_an_unknown_key_is_refused(tmp_path: Path) -> None:
    with pytest.raises(validation.InvalidFileError, match=r"recovery\.loan\b"):
        file(tmp_path, "[recovery]\nloan = true\n")


def look(cold: int, waits: bool = True, heard: int = 10) -> ServerCounts:
    return ServerCounts(10, heard, cold, waits)


def test_the_phases_are_entered_and_left_at_marks_that_lie_apart() -> None:
    standing = RecoveryPhaseTracker(10.0, 0.0)
    assert standing.update(look(0, heard=2), 0.1) is Phase.FINDING
    assert standing.update(look(8, waits=False, heard=2), 0.2) is Phase.FINDING
    assert standing.update(look(8), 0.5) is Phase.FILLING
    assert standing.update(look(2), 5.0) is Phase.FILLING
    assert standing.update(look(1), 5.1) is Phase.FILLING
    assert standing.update(look(1), 5.0 + MIN_FILLING_TIME * 10.0) is Phase.STEADY
    assert standing.update(look(2), 9.0) is Phase.STEADY
    assert standing.update(look(3, waits=False), 9.1) is Phase.STEADY
    assert standing.update(look(3), 9.2) is Phase.FILLING


def test_one_that_hears_of_no_server_does_not_look_for_ever() -> None:
    standing = RecoveryPhaseTracker(10.0, 0.0)
    assert standing.update(look(0, heard=0), 9.9) is Phase.FINDING
    assert standing.update(look(0, heard=0), MAX_FINDING_TIME * 10.0) is Phase.STEADY


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 10), st.integers(0, 10), st.booleans()), max_size=200))
def test_a_load_at_the_mark_changes_the_phase_a_few_times(looks: list[tuple[int, int, bool]]) -> None:
    # Each stay in `filling` is a quarter of the warm-up at least, whatever is seen.
    standing = RecoveryPhaseTracker(10.0, 0.0, Phase.STEADY)
    entered = []
    for step, (heard, cold, waits) in enumerate(looks):
        was = standing.phase
        if (
            standing.update(ServerCounts(10, heard, cold, waits), step * 0.1) is not was
            and was is Phase.STEADY
        ):
            entered.append(step * 0.1)
    assert len(entered) <= 1 + len(looks) * 0.1 / (MIN_FILLING_TIME * 10.0)


def test_who_is_served_first_by_credit_then_by_coming_back() -> None:
    high, low = (Profile("repeatable", "all", 0.0, 0.3, 1.8, credit) for credit in (2.0, 1.0))
    order = [(high, True), (high, False), (low, True), (low, False)]
    assert sorted(reversed(order), key=lambda who: queue_priority(*who)) == order


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("count", "waiting"), [(40, 3), (40, 40), (6, 1)])
@pytest.mark.parametrize(("loss", "late"), [(0.0, 0.03), (0.3, 1.5)])
def test_no_cold_server_gets_more_than_it_can_take_when_all_come_at_once(
    seed: int, count: int, waiting: int, loss: float, late: float
) -> None:
    # A few have the parts of all others out on loan when at each balancer five tunnels come.
    world = World(count, 4, waiting, 60.0 / waiting, seed, loss_rate=loss, max_delay=late)
    world.run(6.0, 3.0)
    assert world.max_overload_ratio() <= 1.0
    assert world.count_placements() > 10


def test_where_eight_of_two_hundred_wait_loans_open_more_of_their_tunnels() -> None:
    alone, lent = (World(200, 8, 8, 5.0, leases_enabled=on) for on in (False, True))
    for world in (alone, lent):
        world.run(4.0, 99.0)
    assert lent.count_placements() > 3 * alone.count_placements() > 0
