"""Rule 4 if no list reports the start of servers: discovery is silent throughout each case."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
import pytest

from fleet.case_runner import BALANCERS, SERVERS, Case, CaseRun, run_cases
from pointgw.fault_proxy.script import Rule
from pointgw.state import snapshot_format
from pointgw.state.snapshot_store import SnapshotStore
from pointgw.testbed.scenario import Trouble

ALL = tuple(range(SERVERS))
RACK = (0, 1, 2, 3)
WEEK_SECONDS = 7 * 86_400.0
DISCOVERY_SILENT = Trouble(3.9, "discovery-silent", 10.0)


def servers_down(servers: tuple[int, ...], start: float, seconds: float = 1.5) -> Trouble:
    return Trouble(start, "server-kill", seconds, servers)


def balancers_down(start: float, seconds: float, power: bool) -> Trouble:
    return Trouble(start, "balancer-kill", seconds, tuple(range(BALANCERS)), power=power)


def age_snapshot_by_a_week(folder: Path) -> None:
    """Makes a snapshot a week old, as on a disk restored from a backup: it reports servers as warm that were
    warm then."""
    store = SnapshotStore(str(folder))
    loaded = store.load()
    if loaded.snapshot is not None:
        servers = loaded.snapshot.servers
        aged_servers = tuple(
            msgspec.structs.replace(server, confirmed_at=server.confirmed_at - WEEK_SECONDS, seen_at=0.0)
            for server in servers
        )
        old = msgspec.structs.replace(
            loaded.snapshot, written_at=time.time() - WEEK_SECONDS, servers=aged_servers
        )
        store.save(snapshot_format.encode(old))


CASES = {
    # Distant servers restart empty, unnoticed by balancers that then lose all near servers.
    "a rack, then all near": Case(
        (DISCOVERY_SILENT, servers_down(RACK, 4.0, 1.0), servers_down((4, 6, 8), 5.8)), keeps_snapshots=False
    ),
    "all down": Case((DISCOVERY_SILENT, balancers_down(4.0, 1.5, True), servers_down(ALL, 4.0))),
    "servers first": Case((DISCOVERY_SILENT, balancers_down(4.0, 2.5, True), servers_down(ALL, 4.0, 1.0))),
    "all down without disks": Case(
        (DISCOVERY_SILENT, balancers_down(4.0, 1.5, True), servers_down(ALL, 4.0)), keeps_snapshots=False
    ),
    "all down, old disks": Case(
        (DISCOVERY_SILENT, balancers_down(4.0, 1.5, True), servers_down(ALL, 4.0)),
        while_down=age_snapshot_by_a_week,
    ),
    "all down, no probes": Case(
        (DISCOVERY_SILENT, balancers_down(4.0, 1.5, True), servers_down(ALL, 4.0)), probes=False
    ),
    # All processes end while the machines run on, and half of the servers return late.
    "all processes": Case(
        (
            DISCOVERY_SILENT,
            balancers_down(4.0, 1.5, False),
            servers_down(ALL[::2], 4.0, 1.0),
            servers_down(ALL[1::2], 4.0, 3.0),
        )
    ),
    "servers alone": Case((DISCOVERY_SILENT, servers_down(ALL, 4.0))),
    "balancers alone": Case((DISCOVERY_SILENT, balancers_down(4.0, 1.0, False))),
    "a rack": Case((DISCOVERY_SILENT, servers_down(RACK, 4.0))),
    "a rack twice": Case((DISCOVERY_SILENT, servers_down(RACK, 4.0, 1.0), servers_down(RACK, 7.0, 1.0))),
    "refused but alive": Case(
        (DISCOVERY_SILENT, Trouble(4.0, "links", 2.0, RACK, rule=(Rule("refuse"),))), keeps_snapshots=False
    ),
}


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, CaseRun]:
    return run_cases(CASES, tmp_path_factory.mktemp("fleet"))


@pytest.mark.parametrize("name", CASES)
def test_no_rule_is_violated_and_no_cold_server_overloaded(runs: dict[str, CaseRun], name: str) -> None:
    runs[name].check(200)


@pytest.mark.parametrize("name", [name for name in CASES if name.startswith(("all", "servers"))])
def test_servers_are_filled_while_they_warm_up(runs: dict[str, CaseRun], name: str) -> None:
    # Servers must not be spared by sending them nothing.
    run = runs[name]
    everywhere = {f"s-{n}" for n in ALL}
    assert run.count_setups(everywhere, run.processes_back_at(), CASES[name].seconds) > 25


def test_restarted_balancers_use_warm_servers_at_once(runs: dict[str, CaseRun]) -> None:
    # Their machines ran on and no server lost its process, so that the snapshot's warm servers are trusted.
    run = runs["balancers alone"]
    assert run.open_tunnels_at(int(run.processes_back_at()) + 3) > 0.8 * run.open_tunnels_at(3), (
        run.result.open
    )


def test_a_server_that_refused_but_kept_its_load_is_no_new_process(runs: dict[str, CaseRun]) -> None:
    # Its tunnels are still open and its reported load is unchanged: a full table or a blocked link.
    run = runs["refused but alive"]
    rack = {f"s-{n}" for n in RACK}
    everywhere = {f"s-{n}" for n in ALL}
    assert run.count_setups(rack, 4.3, 6.0) == 0
    assert run.count_setups(rack, 8.0, 12.5) > 0.25 * run.count_setups(everywhere, 8.0, 12.5)
