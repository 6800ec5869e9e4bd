"""The referee, by doctored records that break each rule: one that can't say no is a defect."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from pointgw.testbed import records as rec
from pointgw.testbed.invariant_checker import check_records
from pointgw.testbed.meta import Meta
from pointgw.testbed.scenario import Fleet, Profile, Scenario

PROFILES = (
    Profile("safe"), Profile("once", semantics="side_effect"),
    Profile("told", semantics="token", group="zone", window=1.0),
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


def broken(found: Sequence[rec.AnyRecord], about: Meta | None = None) -> list[int]:
    ordered = sorted([*found, rec.Machine(40.0, 1.0)], key=lambda record: record.t)
    return [breach.rule for breach in check_records(ordered, about or meta()).violations]


def test_a_sound_run_is_kept_and_counted() -> None:
    verdict = check_records(GOOD, meta())
    assert verdict.passed and verdict.tunnels_checked == 2


@pytest.mark.parametrize(
    "found",
    [
        [asked()],  # nothing ever came
        [asked(), answered(11.9, "none", "")],
        [asked(), answered(10.5, "lost", "")],
        [asked(), took(10.01), said(12.0), answered(12.1)],  # too late
        [asked(), answered(10.2, "declined", "BUSY"), answered(10.3, "failed", "ERR")],
        [asked(), answered(10.2, "declined", "BUSY"), rec.Further(10.3, "a", "UP r")],
        [asked(), took(10.01), said(10.02), answered(10.03, "opened", "UP nobody-1"), gone(20.0)],
        [took(10.01), said(10.02), gone(11.0)],  # no client asked for it
    ],
)
def test_rule_1_exactly_one_answer_in_time_that_a_server_gave(found: list[rec.AnyRecord]) -> None:
    assert broken(found) == [1]


@pytest.mark.parametrize(
    ("found", "kept"),
    [
        ([rec.Balancer(9.9, 0, "killed"), rec.Balancer(12.0, 0, "serving")], True),
        ([rec.Balancer(11.0, 0, "paused"), rec.Balancer(11.5, 0, "resumed")], True),
        ([rec.Balancer(9.9, 1, "killed"), rec.Balancer(12.0, 1, "serving")], False),  # another one
        ([rec.Balancer(5.0, 0, "killed"), rec.Balancer(8.0, 0, "serving")], False),  # long before
    ],
)
def test_what_a_dead_balancer_owed_is_excused_and_no_more(found: list[rec.AnyRecord], kept: bool) -> None:
    assert (broken([asked(), answered(10.5, "lost", ""), *found]) == []) is kept


def test_late_clients_of_the_rig_are_not_the_balancers_fault() -> None:
    late: list[rec.AnyRecord] = [asked(), took(10.01), said(11.7), answered(11.9), gone(20.0)]
    assert broken(late) == [1]
    assert broken([*late, rec.Strain(11.95, "clients", 0.2, 0.5)]) == []


@pytest.mark.parametrize(
    ("found", "rules"),
    [
        # Two setups out at once.
        ([asked(), took(10.0), took(10.5, 1), said(10.6, UP, 1), answered(10.7), gone(11.0),
          gone(20.0, 1)], [2]),
        ([asked(), took(10.0), gone(10.4), took(10.5, 1), said(10.6, UP, 1), answered(10.7),
          gone(20.0, 1)], []),
        # Once-only: sent on, and declined, after one that may have run.
        ([asked(profile=1), took(10.0), gone(10.4), took(10.5, 1), said(10.6, UP, 1), answered(10.7),
          gone(20.0, 1)], [2]),
        ([asked(profile=1), took(10.0), said(10.1, "BUSY"), gone(10.1), took(10.5, 1), said(10.6, UP, 1),
          answered(10.7), gone(20.0, 1)], []),
        ([asked(profile=1), took(10.0), said(10.1, "ERR"), gone(10.1),
          answered(10.2, "declined", "BUSY")], [2]),
        ([asked(profile=1), took(10.0), said(10.1, "ERR"), gone(10.1), answered(10.2, "failed", "ERR")], []),
        # Referenced: another zone, and after its window.
        ([asked(profile=2), took(10.0), gone(10.1), took(10.2, 1), said(10.3, UP, 1), answered(10.4),
          gone(20.0, 1)], [2]),
        ([asked(profile=2), took(10.0), gone(10.1), took(10.2, 2), said(10.3, UP, 2), answered(10.4),
          gone(20.0, 2)], []),
        ([asked(profile=2), took(10.0), gone(10.1), took(11.2, 2), said(11.3, UP, 2), answered(11.4),
          gone(20.0, 2)], [2]),
    ],
)  # fmt: skip
def test_rule_2_no_double_effect(found: list[rec.AnyRecord], rules: list[int]) -> None:
    assert broken(found) == rules


def tunnel(t: float, name: str, balancer: int = 0) -> list[rec.AnyRecord]:
    return [asked(t, name, balancer=balancer), took(t + 0.01, name=name, balancer=balancer),
            said(t + 0.02, name=name), answered(t + 0.03, name=name), gone(t + 1, name=name)]  # fmt: skip


@pytest.mark.parametrize(
    ("found", "rules"),
    [
        ([rec.Wrote(10.0, 0, 2, {"s-0": "draining"}, False), *tunnel(10.4, "a"), *tunnel(10.7, "b")], [3]),
        ([rec.Wrote(10.0, 0, 2, {"s-0": "removed"}, False), *tunnel(11.0, "a")], [3]),
        ([rec.Wrote(10.0, 1, 2, {"s-0": "draining"}, False), *tunnel(11.0, "a")], []),  # another was told
        # Told again that it is up.
        ([rec.Wrote(10.0, 0, 2, {"s-0": "draining"}, False), rec.Wrote(11.0, 0, 3, {"s-0": "up"}, False),
          *tunnel(12.0, "a")], []),
        # Never written to it: told by the time that passes.
        ([rec.Changed(10.0, "s-0", "draining", 2), *tunnel(16.3, "a")], []),
        ([rec.Changed(10.0, "s-0", "draining", 2), *tunnel(16.8, "a")], [3]),
        # Discovery was away, and could not tell.
        ([rec.Changed(10.0, "s-0", "draining", 2), rec.Mark(9.0, 0, "discovery-silent", [], False),
          rec.Mark(14.0, 0, "discovery-silent", [], True), *tunnel(16.8, "a"), *tunnel(21.0, "b")], [3]),
    ],
)  # fmt: skip
def test_rule_3_nothing_new_to_a_server_that_drains(found: list[rec.AnyRecord], rules: list[int]) -> None:
    assert broken(found) == rules


def test_rule_4_cold_servers_by_what_they_got_and_by_their_own_word() -> None:
    many = [record for i in range(400) for record in tunnel(10.0 + i / 1000, f"t{i}")]
    assert broken([rec.Started(9.5, "s-0", 1, True), *many]) == [4]
    assert broken([rec.Started(9.5, "s-0", 1, False), *many]) == []
    assert broken([rec.Fell(10.0, "s-0", 30, 12.0)]) == [4]
    assert broken([rec.Balancer(10.0, 2, "died")]) == [0]


def test_a_breach_names_tunnel_times_and_what_was_seen() -> None:
    verdict = check_records([asked(), answered(11.9, "none", "")], meta())
    (breach,) = verdict.violations
    lines = breach.format_lines()
    assert "tunnel a" in lines[0] and "11.900s" in lines[0] and len(lines) == 3
    assert "asked" in lines[1] and "balancer=0" in lines[1]


def test_a_server_of_the_rig_that_was_late_does_not_tell_two_setups_apart() -> None:
    two: list[rec.AnyRecord] = [asked(), took(10.0), took(10.5, 1), said(10.6, UP, 1), answered(10.7)]
    two += [gone(11.0), gone(20.0, 1)]
    assert broken(two) == [2]
    assert broken([*two, rec.Strain(10.9, "s-0", 0.2, 0.1)]) == []
    assert broken([*two, rec.Strain(10.9, "s-3", 0.2, 0.1)]) == [2]


def test_a_server_that_stood_still_read_late_what_was_sent_before() -> None:
    stood = [rec.Mark(9.0, 0, "server-pause", [1], False), rec.Mark(15.0, 0, "server-pause", [1], True)]
    late: list[rec.AnyRecord] = [asked(), took(10.4), said(10.5), answered(10.6), gone(20.0)]
    late += [took(15.01, 1), gone(15.02, 1)]
    assert broken([*late, *stood]) == [] and broken(late) == [2]
    # But once-only: it may have run at both, whatever the order.
    assert broken([asked(profile=1), *late[1:], *stood]) == [2]


def test_boxes_excuse_what_they_may_have_done() -> None:
    garbled: list[rec.AnyRecord] = [asked(), took(10.01), said(10.02), gone(20.0)]
    garbled.append(answered(10.03, "opened", "UP x"))
    assert broken(garbled) == [1] and broken(garbled, meta(boxed_servers=(0,))) == []
    lost: list[rec.AnyRecord] = [asked(), answered(10.5, "lost", "")]
    assert broken(lost, meta(boxed_clients=True)) == []
