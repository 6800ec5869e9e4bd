"""Snapshots on disk: encoding, files, writing, confidence, merging, and the state restored from them."""

from __future__ import annotations

import asyncio
import errno
import itertools
import json
import os
import shutil
import stat
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pointgw.__main__ import main
from pointgw.interface import ServerEntry
from pointgw.net.core.effects import Connect
from pointgw.net.core.events import ClientArrived, ListReceived, TimerDue
from pointgw.net.core.reducer import Reducer
from pointgw.net.run.snapshots import SnapshotRunner, restore_learned_state
from pointgw.net.wire.lines import parse_client_line
from pointgw.net.wire.server_list import ServerList
from pointgw.net.wire.start_up import StartUpSettings, parse_start_up_file
from pointgw.state import snapshot_format
from pointgw.state.confidence import RecordStatus, confidence, expected_lifetime, record_status
from pointgw.state.merge import join_records, merge
from pointgw.state.records import (
    LearnedFigures,
    ServerHealth,
    ServerLifetimes,
    ServerRecord,
    ServerState,
    Snapshot,
)
from pointgw.state.restore import MembershipView, restore, rows
from pointgw.state.snapshot_store import FolderInUseError, SnapshotStore
from pointgw.state.snapshot_writer import SnapshotWriter

NOW = 1_000_000.0


def make_record(
    name: str = "s-1", state: ServerState = "active", started: float = 10.0, at: float = NOW, **more: Any
) -> ServerRecord:
    return ServerRecord(name, state, started, at, more.pop("host", "127.0.0.1"), more.pop("port", 9), **more)


def make_snapshot(*records: ServerRecord, written: float = NOW, **more: Any) -> Snapshot:
    return Snapshot("mark", written, 7, "127.0.0.1:1", False, records or (make_record(),), **more)


# Encoding.


def test_a_snapshot_is_equal_after_encoding_and_decoding() -> None:
    snapshot = make_snapshot(
        make_record(), make_record("s-2", "left"), health=(ServerHealth("s-1", 10.0, 2, NOW + 3, 0.5, NOW),),
        learned=LearnedFigures(0.5, 0.01, 3.0, 100.0, 4, 0.2), lifetimes=ServerLifetimes(3, 900.0),
    )  # fmt: skip
    assert snapshot_format.decode(snapshot_format.encode(snapshot)) == snapshot


def test_truncation_at_every_byte_and_a_flip_of_every_bit_is_detected(capsys: Any) -> None:
    data = snapshot_format.encode(make_snapshot(make_record(), make_record("s-2", "leaving")))
    for position in range(len(data)):
        with pytest.raises(snapshot_format.DamagedSnapshotError):
            snapshot_format.decode(data[:position])
    for position, bit in itertools.product(range(len(data)), range(8)):
        flipped = bytearray(data)
        flipped[position] ^= 1 << bit
        with pytest.raises(snapshot_format.DamagedSnapshotError):
            snapshot_format.decode(bytes(flipped))
    with capsys.disabled():
        print(f" [{len(data)} cuts and {8 * len(data)} flips]", end="")


@pytest.mark.parametrize("data", [b"", b"\n", b"#!/bin/sh\n", b"pointgw-state 1\n", b"\xff" * 500])
def test_other_files_are_rejected_as_damaged(data: bytes) -> None:
    with pytest.raises(snapshot_format.DamagedSnapshotError):
        snapshot_format.decode(data)


def snapshot_of_a_newer_version() -> bytes:
    payload = msgspec.msgpack.encode(["whatever", "comes"])
    return snapshot_format.header(snapshot_format.MAGIC, snapshot_format.VERSION + 1, payload) + payload


# Files.


class Crash(BaseException):
    """Simulates the end of the process."""


def test_a_crash_at_every_step_leaves_the_old_or_the_new_snapshot(tmp_path: Path, capsys: Any) -> None:
    old, new = make_snapshot(make_record("old")), make_snapshot(make_record("new"))
    crash_points = 0
    for crash_step in itertools.count():
        folder = str(tmp_path / str(crash_step))
        first = SnapshotStore(folder)
        first.claim("n0")
        first.save(snapshot_format.encode(old))
        first.save(snapshot_format.encode(old))
        steps_left = crash_step

        def step(name: str) -> None:
            nonlocal steps_left
            if not steps_left:
                raise Crash(name)
            steps_left -= 1

        first.before_step = step
        try:
            first.save(snapshot_format.encode(new))
            crashed = ""
        except Crash as crash:
            crashed = str(crash)
        first.release()
        loaded = SnapshotStore(folder).load()
        assert loaded.snapshot in (old, new) and not loaded.damaged
        assert (loaded.snapshot == new) is (crashed in ("", "fsync folder", "unlink"))
        # The next process saves further generations.
        again = SnapshotStore(folder)
        again.claim("n0")
        again.load()
        again.save(snapshot_format.encode(new))
        again.release()
        assert SnapshotStore(folder).load().snapshot == new
        crash_points += 1
        if not crashed:
            break
    assert crash_points >= 7
    with capsys.disabled():
        print(f" [{crash_points} crash points]", end="")


@pytest.mark.parametrize("replacement", [b"", b"other\n", None])
def test_the_newest_valid_generation_is_loaded_if_later_ones_are_damaged(
    tmp_path: Path, replacement: bytes | None
) -> None:
    store = SnapshotStore(str(tmp_path / "s"))
    store.claim("n0")
    for name in ("one", "two", "three"):
        store.save(snapshot_format.encode(make_snapshot(make_record(name))))
    newest = tmp_path / "s" / f"state.{store.generation}"
    newest.write_bytes(newest.read_bytes()[:-3] if replacement is None else replacement)
    loaded = store.load()
    assert (
        loaded.snapshot == make_snapshot(make_record("two"))
        and len(loaded.damaged) == 1
        and newest.name in loaded.damaged[0]
    )
    store.save(snapshot_format.encode(make_snapshot(make_record("four"))))
    assert SnapshotStore(str(tmp_path / "s")).load().snapshot == make_snapshot(make_record("four"))
    assert stat.S_IMODE(newest.stat().st_mode) == 0o600 if newest.exists() else True


def test_files_are_readable_by_the_owner_alone_and_links_are_not_followed(tmp_path: Path) -> None:
    store = SnapshotStore(str(tmp_path / "s"))
    store.claim("n0")
    store.save(snapshot_format.encode(make_snapshot()))
    modes = {path.name: stat.S_IMODE(path.stat().st_mode) for path in (tmp_path / "s").iterdir()}
    assert modes == {"owner": 0o600, "state.1": 0o600}
    (tmp_path / "link").symlink_to(tmp_path / "s")
    with pytest.raises(OSError):
        SnapshotStore(str(tmp_path / "link")).load()
    target = tmp_path / "elsewhere"
    target.write_bytes(snapshot_format.encode(make_snapshot(make_record("planted"))))
    (tmp_path / "s" / "state.9").symlink_to(target)
    loaded = store.load()
    assert loaded.snapshot == make_snapshot() and len(loaded.damaged) == 1


def test_a_second_process_is_refused_with_the_name_of_the_first(tmp_path: Path) -> None:
    first = SnapshotStore(str(tmp_path))
    first.claim("n0")
    code = (
        "import sys; from pointgw.state.snapshot_store import FolderInUseError, SnapshotStore\n"
        "try: SnapshotStore(sys.argv[1]).claim('n1')\n"
        "except FolderInUseError as error: print(error)"
    )
    command = [sys.executable, "-c", code, str(tmp_path)]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    assert completed.stdout.startswith(f"n0 (process {os.getpid()}")
    first.release()
    SnapshotStore(str(tmp_path)).claim("n1")


def test_a_newer_format_is_refused_and_left_untouched(tmp_path: Path, caplog: Any) -> None:
    (tmp_path / "state.3").write_bytes(snapshot_of_a_newer_version())
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    assert SnapshotRunner.create(str(tmp_path), start_up_settings()) is None
    assert before["state.3"] == (tmp_path / "state.3").read_bytes()
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == ["snapshot left untouched"]


# Writing.


def run_writer(
    folder: Path, step: Any, action: Any, change_count: Any = lambda: 1, server_count: int = 1
) -> tuple[SnapshotWriter, list[float]]:
    """Runs a writer whose store can block or fail at its steps; returns it and the event loop delays."""
    delays: list[float] = []

    async def run() -> SnapshotWriter:
        loop = asyncio.get_running_loop()
        store = SnapshotStore(str(folder), step)
        store.claim("n0")
        snapshot = make_snapshot(*(make_record(f"s-{i}") for i in range(server_count)))
        writer = SnapshotWriter(
            store, lambda clean: msgspec.structs.replace(snapshot, clean_stop=clean), change_count, loop
        )

        async def measure_delays() -> None:
            while True:
                due = loop.time() + 0.01
                await asyncio.sleep(0.01)
                delays.append(loop.time() - due)

        measuring = asyncio.create_task(measure_delays())
        await action(writer)
        measuring.cancel()
        await writer.stop(True)
        return writer

    return asyncio.run(run()), delays


def test_a_disk_that_stalls_delays_neither_the_loop_nor_the_stop(tmp_path: Path) -> None:
    def step(name: str) -> None:
        if name == "fsync":
            time.sleep(1.0)

    async def action(writer: SnapshotWriter) -> None:
        await asyncio.sleep(0.8)

    began = time.monotonic()
    writer, delays = run_writer(tmp_path, step, action)
    assert max(delays) < 0.3 and writer.stats.write_count == 0
    assert time.monotonic() - began < 2.5


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS])
def test_failing_writes_are_logged_once_and_again_when_writes_succeed(
    tmp_path: Path, caplog: Any, code: int
) -> None:
    caplog.set_level("INFO")
    full = True
    count = itertools.count()

    def step(name: str) -> None:
        if full and name == "write":
            raise OSError(code, os.strerror(code))

    async def action(writer: SnapshotWriter) -> None:
        nonlocal full
        await asyncio.sleep(2.2)
        full = False
        await asyncio.sleep(1.2)

    writer, _ = run_writer(tmp_path, step, action, lambda: next(count))
    events = [record.getMessage() for record in caplog.records if record.name == "pointgw.state"]
    # If the disk is slow at that moment, the final write may be late, which is logged too.
    assert events[:2] == ["snapshot not written", "snapshot written again"] and set(events[2:]) <= {
        "final snapshot write late"
    }
    assert writer.stats.failure_count >= 2
    assert SnapshotStore(str(tmp_path)).load().snapshot is not None


def test_a_folder_that_vanishes_only_makes_writes_fail(tmp_path: Path, caplog: Any) -> None:
    count = itertools.count()

    async def action(writer: SnapshotWriter) -> None:
        await asyncio.sleep(0.6)
        assert writer.stats.write_count == 1
        shutil.rmtree(tmp_path / "s")
        await asyncio.sleep(1.5)

    writer, _ = run_writer(tmp_path / "s", lambda name: None, action, lambda: next(count))
    assert writer.stats.failure_count >= 1
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == ["snapshot not written"]


def test_writes_are_bounded_however_often_servers_change(tmp_path: Path) -> None:
    count = itertools.count()

    async def action(writer: SnapshotWriter) -> None:
        await asyncio.sleep(2.6)

    writer, _ = run_writer(tmp_path, lambda name: None, action, lambda: next(count))
    assert 2 <= writer.stats.write_count <= 6
    saved = SnapshotStore(str(tmp_path)).load().snapshot
    assert saved is not None and saved.clean_stop


# Confidence.


@pytest.mark.parametrize(
    ("age", "status"),
    [(0.0, RecordStatus.TRUSTED), (10.0, RecordStatus.TRUSTED), (3600.0, RecordStatus.TRUSTED),
     (2 * 86400.0, RecordStatus.STALE), (7 * 86400.0, RecordStatus.STALE),
     (-3600.0, RecordStatus.STALE)],
)  # fmt: skip
def test_confidence_falls_with_age_and_a_future_time_gives_none(age: float, status: RecordStatus) -> None:
    assert record_status(make_record(at=NOW - age), ServerLifetimes(), NOW) is status


def test_records_become_stale_sooner_if_servers_have_short_lifetimes() -> None:
    short = ServerLifetimes(100, 100 * 600.0)
    assert (
        expected_lifetime(short) == 600.0
        and expected_lifetime(ServerLifetimes()) == 86400.0
        and expected_lifetime(ServerLifetimes(4, 0.0)) == 43200.0
    )
    assert record_status(make_record(at=NOW - 3600.0), short, NOW) is RecordStatus.STALE
    assert record_status(make_record(at=NOW - 10.0), short, NOW) is RecordStatus.TRUSTED
    assert (
        confidence(make_record(at=NOW - 3600.0, seen_at=NOW - 5.0), short, NOW) == 1.0
    )  # own traffic has shown it alive since


def test_a_leaving_or_left_server_has_no_confidence_at_any_age() -> None:
    for state in ("leaving", "left"):
        assert (
            record_status(make_record(state=state, at=NOW), ServerLifetimes(), NOW) is RecordStatus.INACTIVE
        )


# Merging.

records_of_three = st.builds(
    ServerRecord,
    name=st.sampled_from(["a", "b", "c"]),
    state=st.sampled_from(["active", "leaving", "left"]),
    started_at=st.sampled_from([0.0, 1.0, 2.0]),
    confirmed_at=st.sampled_from([5.0, 6.0, 7.0]),
    host=st.sampled_from(["127.0.0.1", "127.0.0.2"]),
    port=st.sampled_from([1, 2]),
    seen_at=st.sampled_from([0.0, 8.0]),
    effective_start=st.sampled_from([0.0, 3.0, 4.0]),
)


def expected_outcome(records: list[ServerRecord], name: str) -> tuple[float, bool]:
    """Start of the latest process, and whether any record of it is inactive."""
    own = [record for record in records if record.name == name]
    latest = max(record.started_at for record in own)
    return latest, any(record.is_inactive for record in own if record.started_at == latest)


@settings(max_examples=300, deadline=None)
@given(st.lists(records_of_three, min_size=1, max_size=8), st.integers(0, 10_000))
def test_merging_is_independent_of_order_and_reactivates_no_server(
    records: list[ServerRecord], seed: int
) -> None:
    shuffled = list(records)
    Random(seed).shuffle(shuffled)
    cut = seed % (len(shuffled) + 1)
    whole = merge(records)
    assert whole == merge(shuffled) == merge(shuffled[:cut], shuffled[cut:]) == merge(shuffled, records)
    for name, winner in whole.items():
        assert (winner.started_at, winner.is_inactive) == expected_outcome(records, name)


@given(records_of_three, records_of_three, records_of_three)
def test_joining_records_is_idempotent_commutative_and_associative(
    first: ServerRecord, second: ServerRecord, third: ServerRecord
) -> None:
    first, second, third = (msgspec.structs.replace(record, name="a") for record in (first, second, third))
    assert join_records(first, first) == first and join_records(first, second) == join_records(second, first)
    assert join_records(join_records(first, second), third) == join_records(
        first, join_records(second, third)
    )


# Restored state.


def start_up_settings(**more: Any) -> StartUpSettings:
    endpoints = [
        {"name": f"s-{i}", "address": f"127.0.0.1:{9000 + i}", "zone": "a", "type": "m", "group": 0,
         "status": "up", "weight": 1.0, "since_ms": 10_000}
        for i in range(3)
    ]  # fmt: skip
    profile = {"name": "chat", "semantics": "pure", "setupGoal": 200.0, "clientTimeout": 1500.0}
    document = {
        "name": "n0", "seed": "1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": {
            "zones": ["a"], "kinds": ["m"], "profiles": [profile], "membershipMode": "subscribe",
            "limits": {"maxSetups": 3, "probes": True}, "prices": {"probe": 0.005},
            "report": {"fields": ["x0"]},
        },
    } | more  # fmt: skip
    return parse_start_up_file(json.dumps(document).encode())


def make_entry(name: str, state: str = "active", began: float = 10.0) -> ServerEntry:
    return ServerEntry(name, state, 0, 0, 0, began, 1.0)  # type: ignore[arg-type]


def restored_reducer(
    folder: Path, *records: ServerRecord, written: float | None = None, boot_id: str = "one"
) -> tuple[Reducer, SnapshotRunner]:
    """A reducer on a folder with a snapshot of `records`, if any. `boot_id`: in the snapshot; "one" now."""
    now = time.time()
    boot_file = folder / "boot"
    boot_file.write_text("one\n")
    if records:
        first = SnapshotRunner.create(str(folder), start_up_settings(), str(boot_file))
        assert first is not None
        snapshot = make_snapshot(*records, written=now if written is None else written)
        first.store.save(
            snapshot_format.encode(
                msgspec.structs.replace(snapshot, fingerprint=first.fingerprint, boot_id=boot_id)
            )
        )
        first.store.release()
    runner = SnapshotRunner.create(str(folder), start_up_settings(), str(boot_file))
    assert runner is not None
    reducer = Reducer(start_up_settings(), now, membership=runner.membership, restored=runner.restored)
    if runner.restored is not None:
        restore_learned_state(reducer.balancer, runner.restored, now)
    return reducer, runner


def connects(reducer: Reducer, count: int = 40) -> set[int]:
    """The ports that `count` simultaneous tunnels are sent to."""
    ports, now = set(), time.time()
    for i in range(count):
        opening = parse_client_line(b"OPEN %d k%d c=chat,d=1500" % (i, i))
        effects = reducer.dispatch(ClientArrived(i, opening), now)  # type: ignore[arg-type]
        ports |= {effect.address[1] for effect in effects if isinstance(effect, Connect)}
    for effect in reducer.dispatch(TimerDue(), now + 0.2):
        ports |= {effect.address[1]} if isinstance(effect, Connect) else set()
    return ports


def test_a_server_drained_before_the_restart_gets_nothing_whatever_the_start_up_file_lists(
    tmp_path: Path,
) -> None:
    now = time.time()
    drained = make_record("s-1", "leaving", at=now - 60.0, port=9001)
    active = [make_record(f"s-{i}", at=now, port=9000 + i) for i in (0, 2)]
    reducer, runner = restored_reducer(tmp_path, drained, *active)
    assert runner.restored is not None and runner.restored.status_counts == {"trusted": 2, "refused": 1}
    for server in reducer.balancer.servers.values():
        server.answered_at = now
    assert connects(reducer) == {9000, 9002}
    # Discovery lists the same process as active again: rule 3 holds. A later process is used.
    reducer.dispatch(ListReceived(ServerList(5, False, (make_entry("s-1"),), ())), now)
    assert not reducer.balancer.servers["s-1"].active
    reducer.dispatch(ListReceived(ServerList(6, False, (make_entry("s-1", began=now),), ())), now)
    assert reducer.balancer.servers["s-1"].active


@pytest.mark.parametrize("writes_snapshot", [True, False])
def test_a_server_whose_clock_is_behind_stays_cold_over_a_restart(
    tmp_path: Path, writes_snapshot: bool
) -> None:
    """Guards rule 4 after an own restart: the snapshot had the start as reported, an hour too early."""
    reducer, runner = restored_reducer(tmp_path, make_record(at=time.time()))
    listed = ServerList(5, False, (make_entry("s-new", began=time.time() - 3600.0),), (("s-new", "h", 9005),))
    first_listed_at = time.time()
    reducer.dispatch(ListReceived(listed, first_listed_at), first_listed_at)
    runner.start(reducer, Mock())
    if writes_snapshot:
        assert runner.writer is not None
        runner.store.save(snapshot_format.encode(runner.writer.take_snapshot(False)))
    else:
        assert runner.recorder is not None
        runner.store.append_changes(runner.recorder.fingerprint, runner.membership.pop_changes())
    runner.store.release()
    restarted, _ = restored_reducer(tmp_path)
    now = time.time()
    restarted.dispatch(ListReceived(listed, now), now)
    server = restarted.balancer.servers["s-new"]
    assert abs(server.warm_at - restarted.balancer.warm_up_window - first_listed_at) < 0.001


def test_stale_servers_get_one_tunnel_at_a_time_until_a_probe_answers(tmp_path: Path) -> None:
    now = time.time()
    old = [make_record(f"s-{i}", at=now - 7 * 86400.0, port=9000 + i) for i in range(3)]
    reducer, runner = restored_reducer(tmp_path, *old, written=now - 7 * 86400.0)
    assert runner.restored is not None and runner.restored.status_counts == {"doubted": 3}
    servers = reducer.balancer.servers
    assert all(server.stale for server in servers.values())
    for server in servers.values():
        server.answered_at = now
    connects(reducer)
    assert all(server.pending_setups <= 1 for server in servers.values())
    reducer.balancer.probe_ended(servers["s-0"], "ok", {"load": 0.1}, now)
    assert not servers["s-0"].stale and servers["s-1"].stale
    reducer.dispatch(
        ListReceived(ServerList(5, True, tuple(make_entry(f"s-{i}") for i in range(2)), ())), now
    )
    assert not servers["s-1"].stale and not servers["s-2"].active


def test_ejections_budgets_and_learned_figures_are_restored(tmp_path: Path) -> None:
    now = time.time()
    reducer, runner = restored_reducer(tmp_path)
    balancer = reducer.balancer
    server = balancer.servers["s-1"]
    server.recent_failures, server.ejected_until, server.slow_start_budget = 3, now + 5.0, -2.0
    balancer.c, balancer.load_per_tunnel, balancer.slow_start_rate = 0.4, 0.012, 0.3
    runner.start(reducer, loop := asyncio.new_event_loop())
    assert runner.writer is not None
    runner.membership.confirm_listed(now)
    snapshot = runner.writer.take_snapshot(False)
    runner.store.save(snapshot_format.encode(snapshot))
    runner.store.release()
    loop.close()
    again, _ = restored_reducer(tmp_path)
    restored = again.balancer.servers["s-1"]
    assert (restored.recent_failures, restored.ejected_until, restored.slow_start_budget) == (
        3,
        now + 5.0,
        -2.0,
    )
    assert (again.balancer.c, again.balancer.load_per_tunnel, again.balancer.slow_start_rate) == (
        0.4,
        0.012,
        0.3,
    )


def test_a_snapshot_of_another_installation_is_refused_and_left_untouched(
    tmp_path: Path, caplog: Any
) -> None:
    store = SnapshotStore(str(tmp_path))
    store.claim("n9")
    store.save(snapshot_format.encode(make_snapshot()))
    store.release()
    assert SnapshotRunner.create(str(tmp_path), start_up_settings()) is None
    assert "snapshot left untouched" in [record.getMessage() for record in caplog.records]
    assert SnapshotStore(str(tmp_path)).load().snapshot == make_snapshot()


def test_a_second_restart_before_the_first_write_restores_the_same(tmp_path: Path) -> None:
    now = time.time()
    drained = make_record("s-1", "left", at=now, port=9001)
    _, first = restored_reducer(tmp_path, drained)
    first.store.release()
    reducer, second = restored_reducer(tmp_path)
    assert second.restored is not None and not reducer.balancer.servers["s-1"].active


def test_a_server_that_replaces_another_at_its_address_is_a_new_one() -> None:
    view = MembershipView()
    view.apply_list([make_entry("s-1")], [("s-1", "127.0.0.1", 9)], True, NOW)
    view.apply_list([make_entry("s-2", began=50.0)], [("s-2", "127.0.0.1", 9)], True, NOW + 100)
    assert [(record.name, record.state) for record in view.snapshot_records(NOW + 100)] == [
        ("s-1", "left"),
        ("s-2", "active"),
    ]
    assert view.lifetimes.ended_count == 1 and view.lifetimes.total_seconds == pytest.approx(NOW + 90)


def test_ten_thousand_servers_with_two_hundred_changes_a_second_stay_bounded() -> None:
    view = MembershipView()
    names = [f"s-{i:05d}" for i in range(10_000)]
    view.apply_list([make_entry(name) for name in names], [(n, "127.0.0.1", 9) for n in names], True, NOW)
    began = time.perf_counter()
    for second in range(10):
        changed = names[200 * second : 200 * second + 200]
        view.apply_list([make_entry(name, "left", 0.0) for name in changed], [], False, NOW + second)
    elapsed = time.perf_counter() - began
    assert view.change_count == 12_000 and elapsed < 2.0
    assert sum(record.is_inactive for record in view.snapshot_records(NOW + 10)) == 2000
    snapshot = make_snapshot(*view.snapshot_records(NOW + 10))
    assert len(snapshot_format.encode(snapshot)) < 1_500_000
    # A server listed as left without a start time keeps the known one.
    assert all(record.started_at == 10.0 for record in view.snapshot_records(NOW + 10))


def test_servers_that_left_long_ago_are_dropped() -> None:
    view = MembershipView({"s-1": make_record(state="left", at=NOW)})
    assert view.snapshot_records(NOW + 3600.0) and not view.snapshot_records(NOW + 8 * 86400.0)


def test_the_commands_show_age_confidence_and_damage(tmp_path: Path, capfd: Any) -> None:
    folder = str(tmp_path / "s")
    assert main(["state", "check", folder]) == 1
    store = SnapshotStore(folder)
    store.claim("n0")
    now = time.time()
    snapshot = make_snapshot(make_record("s-1", at=now - 40), make_record("s-2", "left", at=now), written=now)
    for _ in range(2):
        store.save(snapshot_format.encode(snapshot))
    assert main(["state", "show", folder]) == 0
    shown = capfd.readouterr().out
    assert "s-1" in shown and "trusted" in shown and "leaving or left" in shown
    assert main(["state", "export", folder]) == 0
    (tmp_path / "s" / "state.2").write_bytes(b"")
    assert main(["state", "show", "--json", folder]) == 1
    assert main(["state", "check", folder]) == 1
    assert capfd.readouterr().err.count("damaged: state.2") == 2


def test_rows_give_the_status_and_restore_refuses_another_installation() -> None:
    assert [row["standing"] for row in rows(make_snapshot(make_record(), make_record("b", "left")), NOW)] == [
        "trusted",
        "refused",
    ]
    assert restore(make_snapshot(), [], "another", NOW) is None


def test_a_folder_in_use_is_reported_with_its_owner(tmp_path: Path) -> None:
    first, second = SnapshotStore(str(tmp_path)), SnapshotStore(str(tmp_path))
    first.claim("n0")
    with pytest.raises(FolderInUseError, match="n0"):
        second.claim("n1")
    first.release()


def test_times_of_a_snapshot_after_a_step_of_the_wall_clock_are_wall_clock_times(tmp_path: Path) -> None:
    # The process's clock continues from the wall clock at its start, which has been set an hour ahead since.
    wall, behind = time.time(), 3600.0
    reducer, runner = restored_reducer(tmp_path, make_record("s-1", at=wall - behind, port=9001))
    server = reducer.balancer.servers["s-1"]
    server.stale, server.recent_failures, server.ejected_until, server.budget_updated_at = (
        False,
        3,
        wall - behind + 5.0,
        wall - behind,
    )
    runner.start(reducer, loop := asyncio.new_event_loop(), lambda: time.time() - behind)
    assert runner.writer is not None
    runner.membership.confirm_listed(wall - behind)
    snapshot = runner.writer.take_snapshot(False)
    loop.close()
    runner.store.release()
    assert [round(health.ejected_until - wall) for health in snapshot.health] == [5]
    assert all(abs(record.confirmed_at - wall) < 2.0 for record in snapshot.servers if record.name == "s-1")
