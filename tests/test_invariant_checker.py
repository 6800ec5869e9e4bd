"""Tests of the invariant checker with made-up records: it must find a violation of each rule."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import pytest

from pointgw.testbed import records as rec
from pointgw.testbed.invariant_checker import check_records
from pointgw.testbed.meta import Meta
from pointgw.testbed.run import ScenarioRun, _is_internal_error
from pointgw.testbed.scenario import Fleet, Profile, Scenario

PROFILES = (
    Profile("safe"), Profile("once", semantics="side_effect"),
    Profile("token", semantics="token", group="zone", window=1.0),
)  # fmt: skip
UP = "UP s-0-1-1"


def meta(boxed_clients: bool = False, boxed_servers: tuple[int, ...] = ()) -> Meta:
    scenario = Scenario("t", "t", fleet=Fleet(servers=4, zones=("a", "b")), profile=PROFILES)
    zones = {f"s-{i}": i % 2 for i in range(4)}
    cells = {f"s-{i}": 0 for i in range(4)}
    return Meta(scenario, "srlb", 0.0, 40.0, boxed_clients, boxed_servers, zones, cells)


def asked(t: float = 10.0, name: str = "a", profile: int = 0, balancer: int = 0) -> rec.Asked:
    return rec.Asked(t, name, 1, t, balancer, profile, 1.8, 0, False)


def took(t: float, server: int = 0, name: str = "a", balancer: int = 0) -> rec.Took:
    return rec.Took(t, f"s-{server}", balancer, name, t, 1)


def said(t: float, line: str = UP, server: int = 0, name: str = "a") -> rec.Said:
    return rec.Said(t, f"s-{server}", name, line)


def gone(t: float, server: int = 0, name: str = "a") -> rec.Gone:
    return rec.Gone(t, f"s-{server}", name, "balancer")


def answered(t: float, how: str = "opened", line: str = UP, name: str = "a") -> rec.Answered:
    return rec.Answered(t, name, how, line)  # type: ignore[arg-type]


GOOD: list[rec.AnyRecord] = [asked(), took(10.01), said(10.02), answered(10.03), gone(20.0), asked(30.0, "z"),
        answered(30.1, "declined", "BUSY", "z"), rec.Machine(40.0, 1.0)]  # fmt: skip


def violated_rules(records: Sequence[rec.AnyRecord], run: Meta | None = None) -> list[int]:
    ordered = sorted([*records, rec.Machine(40.0, 1.0)], key=lambda record: record.t)
    return [violation.rule for violation in check_records(ordered, run or meta()).violations]


def test_a_run_without_violations_passes_and_counts_its_tunnels() -> None:
    result = check_records(GOOD, meta())
    assert result.passed and result.tunnels_checked == 2


@pytest.mark.parametrize(
    "records",
    [
        [asked()],  # no answer
        [asked(), answered(11.9, "none", "")],
        [asked(), answered(10.5, "lost", "")],
        [asked(), took(10.01), said(12.0), answered(12.1)],  # after the client timeout
        [asked(), answered(10.2, "declined", "BUSY"), answered(10.3, "failed", "ERR")],
        [asked(), answered(10.2, "declined", "BUSY"), rec.Further(10.3, "a", "UP r")],
        [asked(), took(10.01), said(10.02), answered(10.03, "opened", "UP nobody-1"), gone(20.0)],
        [took(10.01), said(10.02), gone(11.0)],  # no client requested it
    ],
)
def test_rule_1_one_answer_in_time_with_a_receipt_that_a_server_sent(records: list[rec.AnyRecord]) -> None:
    assert violated_rules(records) == [1]


@pytest.mark.parametrize(
    ("records", "excluded"),
    [
        ([rec.Balancer(9.9, 0, "killed"), rec.Balancer(12.0, 0, "serving")], True),
        ([rec.Balancer(11.0, 0, "paused"), rec.Balancer(11.5, 0, "resumed")], True),
        ([rec.Balancer(9.9, 1, "killed"), rec.Balancer(12.0, 1, "serving")], False),  # another balancer
        ([rec.Balancer(5.0, 0, "killed"), rec.Balancer(8.0, 0, "serving")], False),  # long before
    ],
)
def test_only_tunnels_during_a_balancer_outage_are_excluded(
    records: list[rec.AnyRecord], excluded: bool
) -> None:
    assert (violated_rules([asked(), answered(10.5, "lost", ""), *records]) == []) is excluded


def test_lag_of_the_client_process_is_not_attributed_to_the_balancer() -> None:
    late: list[rec.AnyRecord] = [asked(), took(10.01), said(11.7), answered(11.9), gone(20.0)]
    assert violated_rules(late) == [1]
    assert violated_rules([*late, rec.Strain(11.95, "clients", 0.2, 0.5)]) == []


@pytest.mark.parametrize(
    ("records", "rules"),
    [
        # Two setups at once, and one after the other.
        ([asked(), took(10.0), took(10.5, 1), said(10.6, UP, 1), answered(10.7), gone(11.0),
          gone(20.0, 1)], [2]),
        ([asked(), took(10.0), gone(10.4), took(10.5, 1), said(10.6, UP, 1), answered(10.7),
          gone(20.0, 1)], []),
        # Once-only: sent again, or declined, after a setup that may have run.
        ([asked(profile=1), took(10.0), gone(10.4), took(10.5, 1), said(10.6, UP, 1), answered(10.7),
          gone(20.0, 1)], [2]),
        ([asked(profile=1), took(10.0), said(10.1, "BUSY"), gone(10.1), took(10.5, 1), said(10.6, UP, 1),
          answered(10.7), gone(20.0, 1)], []),
        ([asked(profile=1), took(10.0), said(10.1, "ERR"), gone(10.1),
          answered(10.2, "declined", "BUSY")], [2]),
        ([asked(profile=1), took(10.0), said(10.1, "ERR"), gone(10.1), answered(10.2, "failed", "ERR")], []),
        # Referenced: in another zone, in the same one, and after its window.
        ([asked(profile=2), took(10.0), gone(10.1), took(10.2, 1), said(10.3, UP, 1), answered(10.4),
          gone(20.0, 1)], [2]),
        ([asked(profile=2), took(10.0), gone(10.1), took(10.2, 2), said(10.3, UP, 2), answered(10.4),
          gone(20.0, 2)], []),
        ([asked(profile=2), took(10.0), gone(10.1), took(11.2, 2), said(11.3, UP, 2), answered(11.4),
          gone(20.0, 2)], [2]),
    ],
)  # fmt: skip
def test_rule_2_no_double_effect(records: list[rec.AnyRecord], rules: list[int]) -> None:
    assert violated_rules(records) == rules


def tunnel(t: float, name: str, balancer: int = 0) -> list[rec.AnyRecord]:
    return [asked(t, name, balancer=balancer), took(t + 0.01, name=name, balancer=balancer),
            said(t + 0.02, name=name), answered(t + 0.03, name=name), gone(t + 1, name=name)]  # fmt: skip


@pytest.mark.parametrize(
    ("records", "rules"),
    [
        ([rec.Wrote(10.0, 0, 2, {"s-0": "draining"}, False), *tunnel(10.4, "a"), *tunnel(10.7, "b")], [3]),
        ([rec.Wrote(10.0, 0, 2, {"s-0": "removed"}, False), *tunnel(11.0, "a")], [3]),
        ([rec.Wrote(10.0, 1, 2, {"s-0": "draining"}, False), *tunnel(11.0, "a")], []),  # another balancer
        # The server is up again.
        ([rec.Wrote(10.0, 0, 2, {"s-0": "draining"}, False), rec.Wrote(11.0, 0, 3, {"s-0": "up"}, False),
          *tunnel(12.0, "a")], []),
        # Never written to the balancer: it counts as notified after a time.
        ([rec.Changed(10.0, "s-0", "draining", 2), *tunnel(16.3, "a")], []),
        ([rec.Changed(10.0, "s-0", "draining", 2), *tunnel(16.8, "a")], [3]),
        # Discovery was silent and could not notify; the time counts from its return.
        ([rec.Changed(10.0, "s-0", "draining", 2), rec.Mark(9.0, 0, "discovery-silent", [], False),
          rec.Mark(14.0, 0, "discovery-silent", [], True), *tunnel(16.8, "a"), *tunnel(21.0, "b")], [3]),
    ],
)  # fmt: skip
def test_rule_3_nothing_new_to_a_draining_or_removed_server(
    records: list[rec.AnyRecord], rules: list[int]
) -> None:
    assert violated_rules(records) == rules


def test_rule_4_cold_servers_by_setups_received_and_by_their_own_records() -> None:
    many = [record for i in range(400) for record in tunnel(10.0 + i / 1000, f"t{i}")]
    assert violated_rules([rec.Started(9.5, "s-0", 1, True), *many]) == [4]
    assert violated_rules([rec.Started(9.5, "s-0", 1, False), *many]) == []
    assert violated_rules([rec.Fell(10.0, "s-0", 30, 12.0)]) == [4]
    assert violated_rules([rec.Balancer(10.0, 2, "died")]) == [0]


def test_an_internal_error_of_a_balancer_is_a_violation(tmp_path: Path) -> None:
    # Guards against an exception in each control pass that no run notices, as clients are still served.
    assert violated_rules([rec.InternalError(10.0, 2, "event=fault what=event_failed")]) == [0]
    run = ScenarioRun(Scenario("t", "t"), tmp_path)
    run.writer = rec.Writer(str(tmp_path / "rig.jsonl"))
    (tmp_path / "n0.log").write_text("at=1 level=info event=state open=0 cold=1\n")
    (tmp_path / "n1.log").write_text(
        "at=1 event=state open=0\nat=2 event=state event_failed=5 last_error=x\n"
    )
    run._record_internal_errors()
    run.writer.close()
    assert [record.number for record in rec.read(tmp_path) if isinstance(record, rec.InternalError)] == [1]


def test_a_violation_names_tunnel_and_times_and_shows_records() -> None:
    result = check_records([asked(), answered(11.9, "none", "")], meta())
    (violation,) = result.violations
    lines = violation.format_lines()
    assert "tunnel a" in lines[0] and "11.900s" in lines[0] and len(lines) == 3
    assert "asked" in lines[1] and "balancer=0" in lines[1]


def test_overlap_of_setups_is_not_checked_at_a_stand_in_server_that_lagged() -> None:
    two: list[rec.AnyRecord] = [asked(), took(10.0), took(10.5, 1), said(10.6, UP, 1), answered(10.7)]
    two += [gone(11.0), gone(20.0, 1)]
    assert violated_rules(two) == [2]
    assert violated_rules([*two, rec.Strain(10.9, "s-0", 0.2, 0.1)]) == []
    assert violated_rules([*two, rec.Strain(10.9, "s-3", 0.2, 0.1)]) == [2]


def test_overlap_of_setups_is_not_checked_at_a_server_that_was_paused() -> None:
    paused = [rec.Mark(9.0, 0, "server-pause", [1], False), rec.Mark(15.0, 0, "server-pause", [1], True)]
    late: list[rec.AnyRecord] = [asked(), took(10.4), said(10.5), answered(10.6), gone(20.0)]
    late += [took(15.01, 1), gone(15.02, 1)]
    assert violated_rules([*late, *paused]) == [] and violated_rules(late) == [2]
    # A once-only tunnel may have run at both, in whatever order.
    assert violated_rules([asked(profile=1), *late[1:], *paused]) == [2]


def test_faults_that_a_fault_proxy_may_have_caused_are_not_violations() -> None:
    garbled: list[rec.AnyRecord] = [asked(), took(10.01), said(10.02), gone(20.0)]
    garbled.append(answered(10.03, "opened", "UP x"))
    assert violated_rules(garbled) == [1] and violated_rules(garbled, meta(boxed_servers=(0,))) == []
    lost: list[rec.AnyRecord] = [asked(), answered(10.5, "lost", "")]
    assert violated_rules(lost, meta(boxed_clients=True)) == []


@pytest.mark.parametrize(
    ("line", "pause", "is_error"),
    [
        (b"event=broken what=answer_overdue request=1 late=4.509", 6.0, False),
        (b"event=broken what=answer_overdue request=1 late=6.1", 6.0, True),
        (b"event=broken what=answer_overdue request=1 late=0.3", 0.0, True),
        (b'event=state open=1 answer_overdue=20 last_error="answer_overdue: 1"', 6.0, False),
        (b'event=state open=1 answer_overdue=20 last_error="answer_overdue: 1"', 0.0, True),
        (b"event=fault what=event_failed about=TimerDue", 6.0, True),
        (b'event=state event_failed=1 last_error="event_failed: TimerDue"', 6.0, True),
        (b"event=state open=1", 0.0, False),
    ],
)
def test_only_answers_overdue_by_a_pause_are_no_internal_errors(
    line: bytes, pause: float, is_error: bool
) -> None:
    # A paused process answers what fell due meanwhile once it goes on, and its guard may come first.
    assert _is_internal_error(line, pause) is is_error
