"""Tests of `pointgw.recovery`: leases of the cold servers' budget, phases and messages, on a virtual
clock."""

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
from slow_start_world import World

OVERLOAD_WINDOW = 2.0  # seconds
KEYS = Keys((b"0123456789abcdef",))


def make_leases(count: int, now: float = 0.0, seed: int = 1) -> list[Leases]:
    """The leases of so many balancers, which were started long enough ago to grant."""
    return [
        Leases(n, count, OVERLOAD_WINDOW, Random(seed * 1000 + n), now - OVERLOAD_WINDOW)
        for n in range(count)
    ]


def share_changes(leases: Leases) -> list[float]:
    """Times at which its budget share changes by itself."""
    return [leases.granted_until, *(lease.expires_at for lease in leases.by_lessor.values())]


class SimulatedNetwork:
    """Messages between balancers, randomly lost, delayed and duplicated."""

    def __init__(
        self, leases: list[Leases], rng: Random, loss: float, max_delay: float, duplicates: float
    ) -> None:
        self.leases, self.rng, self.loss, self.max_delay, self.duplicates = (
            leases,
            rng,
            loss,
            max_delay,
            duplicates,
        )
        self.queue: list[tuple[float, int, Callable[[float], object]]] = []
        self.sent_count = 0

    def send(self, now: float, handler: Callable[[float], object]) -> None:
        for _ in range(1 + (self.rng.random() < self.duplicates)):
            if self.rng.random() >= self.loss:
                self.sent_count += 1
                heapq.heappush(
                    self.queue, (now + self.rng.uniform(0.0, self.max_delay), self.sent_count, handler)
                )

    def deliver(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            arrives_at, _, handler = heapq.heappop(self.queue)
            handler(arrives_at)

    def send_requests(self, lessee: Leases, needs: bool, now: float) -> None:
        for lessor, request_id in lessee.requests_due(needs, not needs, now):
            self.send(now, partial(self._receive_request, lessee, self.leases[lessor], request_id))

    def _receive_request(self, lessee: Leases, lessor: Leases, request_id: int, now: float) -> None:
        if lessor.receive_request(lessee.own_index, now):
            self.send(now, partial(lessee.receive_grant, lessor.own_index, request_id))


@settings(max_examples=60, deadline=None)
@given(
    st.integers(2, 60), st.integers(0, 2**32), st.floats(0.0, 0.6), st.floats(0.0, 3.0), st.floats(0.0, 0.5)
)
def test_all_budget_shares_together_never_exceed_one(
    count: int, seed: int, loss: float, max_delay: float, duplicates: float
) -> None:
    """Messages are lost, delayed or duplicated, needs change, and balancers restart in between."""
    rng = Random(seed)
    balancers = make_leases(count, seed=seed)
    network = SimulatedNetwork(balancers, rng, loss, max_delay, duplicates)
    needs = [rng.random() < 0.3 for _ in range(count)]
    for step in range(120):
        now = step * 0.05
        network.deliver(now)
        for n in range(count):
            if rng.random() < 0.05:
                needs[n] = not needs[n]
            if rng.random() < 0.01:
                balancers[n] = Leases(n, count, OVERLOAD_WINDOW, Random(rng.random()), now)
            network.send_requests(balancers[n], needs[n], now)
        # Also just before the moment that each lease ends.
        lease_ends = [end - 1e-9 for b in balancers for end in share_changes(b) if now < end < now + 0.05]
        for time in (now, *lease_ends):
            assert sum(b.budget_share(time) for b in balancers) <= count + 1e-6


@pytest.mark.parametrize("count", [3, 6, 40, 200, 1000])
def test_the_few_that_need_budget_get_the_shares_of_the_others(count: int) -> None:
    balancers = make_leases(count)
    network = SimulatedNetwork(balancers, Random(3), 0.0, 0.02, 0.0)
    waiting = set(range(0, count, max(3, count // 12)))
    sent_count = 0
    for step in range(40):
        now = step * 0.05
        network.deliver(now)
        for b in balancers:
            network.send_requests(b, b.own_index in waiting, now)
        sent_count = network.sent_count
    now = 2.0
    shares = [balancers[n].budget_share(now) for n in waiting]
    others = [b.budget_share(now) for b in balancers if b.own_index not in waiting]
    assert sum(shares) / len(shares) > 1.0 + 0.7 * min(lessor_count(count), 1.0) * (1 - len(waiting) / count)
    assert len(shares) < 3 or sum(shares) / len(shares) > 0.6 * (1 + min(lessor_count(count), 8))
    assert min(others) == pytest.approx(RESERVED_SHARE)
    # Cost: a request and a grant for each lease, at most four times per lease duration.
    assert sent_count <= 2.0 * len(waiting) * 3 / (REQUEST_INTERVAL * LEASE_DURATION * OVERLOAD_WINDOW) * 2.0


def test_a_late_grant_gives_a_lease_for_the_remaining_time_only() -> None:
    lessee, lessor = make_leases(2)
    ((asked_index, request_id),) = lessee.requests_due(True, False, 0.0)
    assert asked_index == 1
    lessor.requests_due(False, True, 0.0)
    assert lessor.receive_request(0, 0.4) and lessor.budget_share(0.4) == RESERVED_SHARE
    assert lessee.receive_grant(1, request_id, 0.9) and lessee.budget_share(0.9) == pytest.approx(1.9)
    assert (
        lessee.budget_share(1.0) == 1.0
        and lessor.budget_share(1.49) == RESERVED_SHARE
        and lessor.budget_share(1.5) == 1.0
    )


def test_an_expired_or_repeated_grant_gives_no_lease() -> None:
    lessee, lessor = make_leases(2)
    ((_, request_id),) = lessee.requests_due(True, False, 0.0)
    assert not lessee.receive_grant(1, request_id + 1, 0.1) and not lessee.receive_grant(1, 0, 0.1)
    assert not lessee.receive_grant(1, request_id, 1.0) and lessee.budget_share(1.0) == 1.0
    ((_, request_id),) = lessee.requests_due(True, False, 1.1)
    assert lessee.receive_grant(1, request_id, 1.2) and not lessee.receive_grant(1, request_id, 1.3)
    assert lessee.budget_share(1.3) == pytest.approx(1.9) and lessee.budget_share(2.1) == 1.0
    assert lessor.budget_share(0.0) == 1.0


@pytest.mark.parametrize("count", [6, 50, 200])
def test_a_false_lessor_adds_at_most_the_share_of_its_possible_lessees(count: int) -> None:
    # Balancer 0 grants to all and uses its share all the same. Only its possible lessees send it requests.
    balancers = make_leases(count)
    for b in balancers:
        for step in range(2 * lessor_count(count)):
            for lessor, request_id in b.requests_due(True, False, step * 0.26):
                if lessor == 0:
                    b.receive_grant(0, request_id, step * 0.26)
    now = (2 * lessor_count(count) - 1) * 0.26
    assert sum(b.budget_share(now) for b in balancers) <= count * (1 + max(1 / count, 0.04))


@pytest.mark.parametrize(
    ("needs", "lessee", "granted_to", "grants"),
    [
        (False, 0, -1, True),
        (True, 0, -1, False),  # the lessor needs its share itself
        (False, 0, 5, False),  # another balancer has it
        (False, 5, 5, True),  # the present lessee again
        (False, 17, -1, False),  # not one of its possible lessees
        (False, 1, -1, False),  # the lessor itself
    ],
)
def test_to_whom_a_share_is_granted(needs: bool, lessee: int, granted_to: int, grants: bool) -> None:
    lessor = make_leases(200)[1]
    lessor.requests_due(needs, not needs, 0.0)
    if granted_to >= 0:
        lessor.lessee, lessor.granted_until = granted_to, 0.5
    lessee = (lessee - 1) % 200 if lessee not in (0, 17, 1) else lessee
    if granted_to == 5:
        lessor.lessee = (granted_to - 1) % 200 if lessee != 0 else 199
    assert lessor.receive_request(lessee, 0.1) is (grants and (lessor.own_index - lessee) % 200 <= 8)


def test_a_balancer_that_has_just_started_grants_nothing_and_uses_only_its_reserve() -> None:
    lessor = Leases(1, 2, OVERLOAD_WINDOW, Random(1), 10.0)
    lessor.requests_due(False, True, 10.0)
    assert not lessor.receive_request(0, 10.5) and lessor.budget_share(10.5) == RESERVED_SHARE
    assert lessor.budget_share(11.1) == 1.0 and lessor.receive_request(0, 11.1)


MESSAGE = LeaseMessage(messages.REQUEST, 3, 4, 2**62, 200)


def test_a_message_is_decoded_whole_or_refused() -> None:
    data = messages.encode(MESSAGE, KEYS)
    assert messages.decode(data, KEYS) == MESSAGE and len(data) < 64
    for length in range(len(data)):
        with pytest.raises(RefusedDatagramError):
            messages.decode(data[:length], KEYS)
    for position in range(len(data)):
        for bit in range(8):
            with pytest.raises(RefusedDatagramError):
                messages.decode(
                    data[:position] + bytes((data[position] ^ 1 << bit,)) + data[position + 1 :], KEYS
                )


@pytest.mark.parametrize(
    "body", [b"", b"\x90", b"\x95\x02\x03\x04\x05\x06", b"\x95\x00\xcd\xff\xff\x04\x05\x06", b"\xc1" * 40]
)
def test_a_signed_body_that_is_no_message_is_refused(body: bytes) -> None:
    with pytest.raises(RefusedDatagramError):
        messages.decode(KEYS.sign_body(body, messages.MAGIC), KEYS)


def read_recovery_section(tmp_path: Path, text: str) -> operators.RecoverySection:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    section = operators.read(str(path)).recovery
    assert section is not None
    return section


def start_up_settings(**changes: object) -> StartUpSettings:
    line: dict[str, object] = {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
        "known": {"index": 0, "snapshot": True, "endpoints": []}, "settings": {"instances": 2, "me": 0},
    }  # fmt: skip
    return parse_start_up_file(msgspec.json.encode(line | changes))


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_an_invalid_section_is_reported_in_one_line(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], text: str, message: str
) -> None:
    assert RecoveryRunner.create(read_recovery_section(tmp_path, text), start_up_settings()) is None
    (line,) = capfd.readouterr().err.splitlines()
    assert message in line


def test_an_unknown_key_is_refused(tmp_path: Path) -> None:
    with pytest.raises(validation.InvalidFileError, match=r"recovery\.loan\b"):
        read_recovery_section(tmp_path, "[recovery]\nloan = true\n")


def counts(cold: int, tunnels_waiting: bool = True, answered: int = 10) -> ServerCounts:
    return ServerCounts(10, answered, cold, tunnels_waiting)


def test_filling_is_entered_and_left_at_different_bounds() -> None:
    tracker = RecoveryPhaseTracker(10.0, 0.0)
    assert tracker.update(counts(0, answered=2), 0.1) is Phase.FINDING
    assert tracker.update(counts(8, tunnels_waiting=False, answered=2), 0.2) is Phase.FINDING
    assert tracker.update(counts(8), 0.5) is Phase.FILLING
    assert tracker.update(counts(2), 5.0) is Phase.FILLING
    assert tracker.update(counts(1), 5.1) is Phase.FILLING
    assert tracker.update(counts(1), 5.0 + MIN_FILLING_TIME * 10.0) is Phase.STEADY
    assert tracker.update(counts(2), 9.0) is Phase.STEADY
    assert tracker.update(counts(3, tunnels_waiting=False), 9.1) is Phase.STEADY
    assert tracker.update(counts(3), 9.2) is Phase.FILLING


def test_finding_ends_even_if_no_server_answers() -> None:
    tracker = RecoveryPhaseTracker(10.0, 0.0)
    assert tracker.update(counts(0, answered=0), 9.9) is Phase.FINDING
    assert tracker.update(counts(0, answered=0), MAX_FINDING_TIME * 10.0) is Phase.STEADY


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 10), st.integers(0, 10), st.booleans()), max_size=200))
def test_a_cold_share_around_the_bounds_changes_the_phase_rarely(
    observations: list[tuple[int, int, bool]],
) -> None:
    # `filling` lasts at least a quarter of the warm-up window, whatever is observed.
    tracker = RecoveryPhaseTracker(10.0, 0.0, Phase.STEADY)
    entered = []
    for step, (answered, cold, tunnels_waiting) in enumerate(observations):
        previous = tracker.phase
        if (
            tracker.update(ServerCounts(10, answered, cold, tunnels_waiting), step * 0.1) is not previous
            and previous is Phase.STEADY
        ):
            entered.append(step * 0.1)
    assert len(entered) <= 1 + len(observations) * 0.1 / (MIN_FILLING_TIME * 10.0)


def test_queue_priority_is_by_credit_then_by_returning_clients() -> None:
    high, low = (Profile("repeatable", "all", 0.0, 0.3, 1.8, credit) for credit in (2.0, 1.0))
    order = [(high, True), (high, False), (low, True), (low, False)]
    assert sorted(reversed(order), key=lambda entry: queue_priority(*entry)) == order


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("count", "waiting"), [(40, 3), (40, 40), (6, 1)])
@pytest.mark.parametrize(("loss", "max_delay"), [(0.0, 0.03), (0.3, 1.5)])
def test_no_cold_server_is_overloaded_when_tunnels_arrive_at_all_balancers(
    seed: int, count: int, waiting: int, loss: float, max_delay: float
) -> None:
    # A few balancers hold the shares of the others when five tunnels arrive at each balancer.
    world = World(count, 4, waiting, 60.0 / waiting, seed, loss_rate=loss, max_delay=max_delay)
    world.run(6.0, 3.0)
    assert world.max_overload_ratio() <= 1.0
    assert world.count_placements() > 10


def test_with_eight_of_two_hundred_in_need_leases_open_more_tunnels() -> None:
    without, with_leases = (World(200, 8, 8, 5.0, leases_enabled=enabled) for enabled in (False, True))
    for world in (without, with_leases):
        world.run(4.0, 99.0)
    assert with_leases.count_placements() > 3 * without.count_placements() > 0
