"""Rule 4 where no list tells that servers started: discovery is silent throughout each of these days."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
import pytest

from fleet.stage import BALANCERS, SERVERS, Case, Played, play
from pointgw.fault_proxy.script import Rule
from pointgw.state import snapshot_format
from pointgw.state.snapshot_store import SnapshotStore
from pointgw.testbed.scenario import Trouble

ALL = tuple(range(SERVERS))
RACK = (0, 1, 2, 3)
WEEK = 7 * 86_400.0
SILENT = Trouble(3.9, "discovery-silent", 10.0)


def killed(which: tuple[int, ...], at: float, seconds: float = 1.5) -> Trouble:
    return Trouble(at, "server-kill", seconds, which)


def balancers(at: float, seconds: float, power: bool) -> Trouble:
    return Trouble(at, "balancer-kill", seconds, tuple(range(BALANCERS)), power=power)


def a_week_older(folder: Path) -> None:
    """A disk that was put back from an old copy: it praises what stood there a week ago."""
    store = SnapshotStore(str(folder))
    found = store.load()
    if found.snapshot is not None:
        told = found.snapshot.servers
        facts = tuple(
            msgspec.structs.replace(fact, confirmed_at=fact.confirmed_at - WEEK, seen_at=0.0) for fact in told
        )
        old = msgspec.structs.replace(found.snapshot, written_at=time.time() - WEEK, servers=facts)
        store.save(snapshot_format.encode(old))


CASES = {
    # Its servers afar are back, empty, and were not missed by those that now lose all that is near.
    "a rack, then all near": Case(
        (SILENT, killed(RACK, 4.0, 1.0), killed((4, 6, 8), 5.8)), remembers=False
    ),
    "all down": Case((SILENT, balancers(4.0, 1.5, True), killed(ALL, 4.0))),
    "servers first": Case((SILENT, balancers(4.0, 2.5, True), killed(ALL, 4.0, 1.0))),
    "all down without disks": Case(
        (SILENT, balancers(4.0, 1.5, True), killed(ALL, 4.0)), remembers=False
    ),
    "all down, old disks": Case(
        (SILENT, balancers(4.0, 1.5, True), killed(ALL, 4.0)), between=a_week_older
    ),
    "all down, no probes": Case((SILENT, balancers(4.0, 1.5, True), killed(ALL, 4.0)), probes=False),
    # Machines run on, all processes are ended, and half of the servers are late to return.
    "all processes": Case(
        (SILENT, balancers(4.0, 1.5, False), killed(ALL[::2], 4.0, 1.0), killed(ALL[1::2], 4.0, 3.0))
    ),
    "servers alone": Case((SILENT, killed(ALL, 4.0))),
    "balancers alone": Case((SILENT, balancers(4.0, 1.0, False))),
    "a rack": Case((SILENT, killed(RACK, 4.0))),
    "a rack twice": Case((SILENT, killed(RACK, 4.0, 1.0), killed(RACK, 7.0, 1.0))),
    "refused but alive": Case(
        (SILENT, Trouble(4.0, "links", 2.0, RACK, rule=(Rule("refuse"),))), remembers=False
    ),
}  # fmt: skip


@pytest.fixture(scope="module")
def days(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Played]:
    return play(CASES, tmp_path_factory.mktemp("fleet"))


@pytest.mark.parametrize("name", CASES)
def test_no_rule_is_broken_and_no_cold_server_pushed_over(days: dict[str, Played], name: str) -> None:
    days[name].check(200)


@pytest.mark.parametrize("name", [name for name in CASES if name.startswith(("all", "servers"))])
def test_servers_are_filled_as_they_warm(days: dict[str, Played], name: str) -> None:
    # Not pushing servers over by sending them nothing would be no answer.
    day = days[name]
    everywhere = {f"s-{n}" for n in ALL}
    assert day.setups(everywhere, day.back(), CASES[name].seconds) > 25


def test_balancers_alone_come_back_to_warm_servers_at_once(days: dict[str, Played]) -> None:
    # Their machines ran on and no server lacked a process: the memory's word that servers are warm holds.
    day = days["balancers alone"]
    assert day.open_at(int(day.back()) + 3) > 0.8 * day.open_at(3), day.result.open


def test_one_that_refused_and_kept_its_load_is_no_new_process(days: dict[str, Played]) -> None:
    # Its own tunnels stand, and its figure is what it was: a full table, or a way that was shut.
    day = days["refused but alive"]
    rack = {f"s-{n}" for n in RACK}
    everywhere = {f"s-{n}" for n in ALL}
    assert day.setups(rack, 4.3, 6.0) == 0
    assert day.setups(rack, 8.0, 12.5) > 0.25 * day.setups(everywhere, 8.0, 12.5)
