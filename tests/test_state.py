"""The memory that outlives the balancer: bytes, files, trust, merging, and what a balancer makes of it."""

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


def fact(
    name: str = "s-1", state: ServerState = "active", started: float = 10.0, at: float = NOW, **more: Any
) -> ServerRecord:
    return ServerRecord(name, state, started, at, more.pop("host", "127.0.0.1"), more.pop("port", 9), **more)


def memory(*facts: ServerRecord, written: float = NOW, **more: Any) -> Snapshot:
    return Snapshot("mark", written, 7, "127.0.0.1:1", False, facts or (fact(),), **more)


# Bytes.


def test_a_memory_is_the_same_after_bytes() -> None:
    told = memory(
        fact(), fact("s-2", "left"), health=(ServerHealth("s-1", 10.0, 2, NOW + 3, 0.5, NOW),),
        learned=LearnedFigures(0.5, 0.01, 3.0, 100.0, 4, 0.2), lifetimes=ServerLifetimes(3, 900.0),
    )  # fmt: skip
    assert snapshot_format.decode(snapshot_format.encode(told)) == told


def test_a_cut_at_every_byte_and_a_flip_of_every_bit_is_damage(capsys: Any) -> None:
    data = snapshot_format.encode(memory(fact(), fact("s-2", "leaving")))
    for at in range(len(data)):
        with pytest.raises(snapshot_format.DamagedSnapshotError):
            snapshot_format.decode(data[:at])
    for at, bit in itertools.product(range(len(data)), range(8)):
        flipped = bytearray(data)
        flipped[at] ^= 1 << bit
        with pytest.raises(snapshot_format.DamagedSnapshotError):
            snapshot_format.decode(bytes(flipped))
    with capsys.disabled():
        print(f" [{len(data)} cuts and {8 * len(data)} flips]", end="")


@pytest.mark.parametrize("data", [b"", b"\n", b"#!/bin/sh\n", b"pointgw-state 1\n", b"\xff" * 500])
def test_files_of_others_are_damage(data: bytes) -> None:
    with pytest.raises(snapshot_format.DamagedSnapshotError):
        snapshot_format.decode(data)


def newer() -> bytes:
    payload = msgspec.msgpack.encode(["whatever", "comes"])
    return snapshot_format._header(snapshot_format.VERSION + 1, payload) + payload


# Files.


class Crash(BaseException):
    """The process ends here."""


def test_a_crash_at_every_step_leaves_the_old_or_the_new(tmp_path: Path, capsys: Any) -> None:
    old, new = memory(fact("old")), memory(fact("new"))
    points = 0
    for at in itertools.count():
        folder = str(tmp_path / str(at))
        first = SnapshotStore(folder)
        first.claim("n0")
        first.save(snapshot_format.encode(old))
        first.save(snapshot_format.encode(old))
        left = at

        def step(name: str) -> None:
            nonlocal left
            if not left:
                raise Crash(name)
            left -= 1

        first.before_step = step
        try:
            first.save(snapshot_format.encode(new))
            crashed = ""
        except Crash as crash:
            crashed = str(crash)
        first.release()
        found = SnapshotStore(folder).load()
        assert found.snapshot in (old, new) and not found.damaged
        assert (found.snapshot == new) is (crashed in ("", "fsync folder", "unlink"))
        # The next process goes on from there.
        again = SnapshotStore(folder)
        again.claim("n0")
        again.load()
        again.save(snapshot_format.encode(new))
        again.release()
        assert SnapshotStore(folder).load().snapshot == new
        points += 1
        if not crashed:
            break
    assert points >= 7
    with capsys.disabled():
        print(f" [{points} crash points]", end="")


@pytest.mark.parametrize("harm", [b"", b"other\n", None])
def test_damage_falls_back_to_the_newest_sound_generation(tmp_path: Path, harm: bytes | None) -> None:
    store = SnapshotStore(str(tmp_path / "s"))
    store.claim("n0")
    for name in ("one", "two", "three"):
        store.save(snapshot_format.encode(memory(fact(name))))
    newest = tmp_path / "s" / f"state.{store.generation}"
    newest.write_bytes(newest.read_bytes()[:-3] if harm is None else harm)
    found = store.load()
    assert (
        found.snapshot == memory(fact("two")) and len(found.damaged) == 1 and newest.name in found.damaged[0]
    )
    store.save(snapshot_format.encode(memory(fact("four"))))
    assert SnapshotStore(str(tmp_path / "s")).load().snapshot == memory(fact("four"))
    assert stat.S_IMODE(newest.stat().st_mode) == 0o600 if newest.exists() else True


def test_files_are_the_owners_alone_and_no_link_is_followed(tmp_path: Path) -> None:
    store = SnapshotStore(str(tmp_path / "s"))
    store.claim("n0")
    store.save(snapshot_format.encode(memory()))
    modes = {path.name: stat.S_IMODE(path.stat().st_mode) for path in (tmp_path / "s").iterdir()}
    assert modes == {"owner": 0o600, "state.1": 0o600}
    (tmp_path / "link").symlink_to(tmp_path / "s")
    with pytest.raises(OSError):
        SnapshotStore(str(tmp_path / "link")).load()
    target = tmp_path / "elsewhere"
    target.write_bytes(snapshot_format.encode(memory(fact("planted"))))
    (tmp_path / "s" / "state.9").symlink_to(target)
    found = store.load()
    assert found.snapshot == memory() and len(found.damaged) == 1


def test_a_second_process_is_refused_by_name_of_the_first(tmp_path: Path) -> None:
    first = SnapshotStore(str(tmp_path))
    first.claim("n0")
    code = (
        "import sys; from pointgw.state.snapshot_store import FolderInUseError, SnapshotStore\n"
        "try: SnapshotStore(sys.argv[1]).claim('n1')\n"
        "except FolderInUseError as fault: print(fault)"
    )
    command = [sys.executable, "-c", code, str(tmp_path)]
    told = subprocess.run(command, capture_output=True, text=True, check=True)
    assert told.stdout.startswith(f"n0 (process {os.getpid()}")
    first.release()
    SnapshotStore(str(tmp_path)).claim("n1")


def test_a_newer_form_is_refused_and_left_untouched(tmp_path: Path, caplog: Any) -> None:
    (tmp_path / "state.3").write_bytes(newer())
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    assert SnapshotRunner.create(str(tmp_path), started()) is None
    assert before["state.3"] == (tmp_path / "state.3").read_bytes()
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == ["snapshot left untouched"]


# When it is written.


def keeping(
    folder: Path, step: Any, scene: Any, news: Any = lambda: 1, facts: int = 1
) -> tuple[SnapshotWriter, list[float]]:
    """A keeper on a store whose steps can be held or fail; gives how late the loop was."""
    lags: list[float] = []

    async def run() -> SnapshotWriter:
        loop = asyncio.get_running_loop()
        store = SnapshotStore(str(folder), step)
        store.claim("n0")
        told = memory(*(fact(f"s-{i}") for i in range(facts)))
        keeper = SnapshotWriter(
            store, lambda clean: msgspec.structs.replace(told, clean_stop=clean), news, loop
        )

        async def look() -> None:
            while True:
                due = loop.time() + 0.01
                await asyncio.sleep(0.01)
                lags.append(loop.time() - due)

        looking = asyncio.create_task(look())
        await scene(keeper)
        looking.cancel()
        await keeper.stop(True)
        return keeper

    return asyncio.run(run()), lags


def test_a_disk_that_stalls_never_holds_the_loop_nor_the_stop(tmp_path: Path) -> None:
    def step(name: str) -> None:
        if name == "fsync":
            time.sleep(1.0)

    async def scene(keeper: SnapshotWriter) -> None:
        await asyncio.sleep(0.8)

    began = time.monotonic()
    keeper, lags = keeping(tmp_path, step, scene)
    assert max(lags) < 0.3 and keeper.stats.write_count == 0
    assert time.monotonic() - began < 2.5


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS])
def test_a_disk_that_refuses_is_said_once_and_again_when_it_takes(
    tmp_path: Path, caplog: Any, code: int
) -> None:
    caplog.set_level("INFO")
    full = True
    count = itertools.count()

    def step(name: str) -> None:
        if full and name == "write":
            raise OSError(code, os.strerror(code))

    async def scene(keeper: SnapshotWriter) -> None:
        nonlocal full
        await asyncio.sleep(2.2)
        full = False
        await asyncio.sleep(1.2)

    keeper, _ = keeping(tmp_path, step, scene, lambda: next(count))
    said = [record.getMessage() for record in caplog.records if record.name == "pointgw.state"]
    # On a machine whose disk is slow just then the last write may be late, which is said too.
    assert said[:2] == ["snapshot not written", "snapshot written again"] and set(said[2:]) <= {
        "final snapshot write late"
    }
    assert keeper.stats.failure_count >= 2
    assert SnapshotStore(str(tmp_path)).load().snapshot is not None


def test_a_folder_that_vanishes_costs_the_memory_and_nothing_else(tmp_path: Path, caplog: Any) -> None:
    count = itertools.count()

    async def scene(keeper: SnapshotWriter) -> None:
        await asyncio.sleep(0.6)
        assert keeper.stats.write_count == 1
        shutil.rmtree(tmp_path / "s")
        await asyncio.sleep(1.5)

    keeper, _ = keeping(tmp_path / "s", lambda name: None, scene, lambda: next(count))
    assert keeper.stats.failure_count >= 1
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == ["snapshot not written"]


def test_writes_are_bounded_however_often_the_list_changes(tmp_path: Path) -> None:
    count = itertools.count()

    async def scene(keeper: SnapshotWriter) -> None:
        await asyncio.sleep(2.6)

    keeper, _ = keeping(tmp_path, lambda name: None, scene, lambda: next(count))
    assert 2 <= keeper.stats.write_count <= 6
    found = SnapshotStore(str(tmp_path)).load().snapshot
    assert found is not None and found.clean_stop


# Trust.


@pytest.mark.parametrize(
    ("age", "how"),
    [(0.0, RecordStatus.TRUSTED), (10.0, RecordStatus.TRUSTED), (3600.0, RecordStatus.TRUSTED),
     (2 * 86400.0, RecordStatus.STALE), (7 * 86400.0, RecordStatus.STALE),
     (-3600.0, RecordStatus.STALE)],
)  # fmt: skip
def test_trust_falls_with_age_and_the_future_is_no_age(age: float, how: RecordStatus) -> None:
    assert record_status(fact(at=NOW - age), ServerLifetimes(), NOW) is how


def test_a_roster_whose_servers_live_short_is_doubted_sooner() -> None:
    short = ServerLifetimes(100, 100 * 600.0)
    assert (
        expected_lifetime(short) == 600.0
        and expected_lifetime(ServerLifetimes()) == 86400.0
        and expected_lifetime(ServerLifetimes(4, 0.0)) == 43200.0
    )
    assert record_status(fact(at=NOW - 3600.0), short, NOW) is RecordStatus.STALE
    assert record_status(fact(at=NOW - 10.0), short, NOW) is RecordStatus.TRUSTED
    assert (
        confidence(fact(at=NOW - 3600.0, seen_at=NOW - 5.0), short, NOW) == 1.0
    )  # own traffic has seen it since


def test_what_was_told_away_has_none_whatever_its_age() -> None:
    for state in ("leaving", "left"):
        assert record_status(fact(state=state, at=NOW), ServerLifetimes(), NOW) is RecordStatus.INACTIVE


# Merging.

facts_of_three = st.builds(
    ServerRecord,
    name=st.sampled_from(["a", "b", "c"]),
    state=st.sampled_from(["active", "leaving", "left"]),
    started_at=st.sampled_from([0.0, 1.0, 2.0]),
    confirmed_at=st.sampled_from([5.0, 6.0, 7.0]),
    host=st.sampled_from(["127.0.0.1", "127.0.0.2"]),
    port=st.sampled_from([1, 2]),
    seen_at=st.sampled_from([0.0, 8.0]),
)


def oracle(facts: list[ServerRecord], name: str) -> tuple[float, bool]:
    """The latest process that was told of, and whether anybody told it away."""
    own = [f for f in facts if f.name == name]
    latest = max(f.started_at for f in own)
    return latest, any(f.is_inactive for f in own if f.started_at == latest)


@settings(max_examples=300, deadline=None)
@given(st.lists(facts_of_three, min_size=1, max_size=8), st.integers(0, 10_000))
def test_the_order_of_arrival_changes_nothing_and_none_comes_back(
    facts: list[ServerRecord], seed: int
) -> None:
    mixed = list(facts)
    Random(seed).shuffle(mixed)
    cut = seed % (len(mixed) + 1)
    whole = merge(facts)
    assert whole == merge(mixed) == merge(mixed[:cut], mixed[cut:]) == merge(mixed, facts)
    for name, won in whole.items():
        assert (won.started_at, won.is_inactive) == oracle(facts, name)


@given(facts_of_three, facts_of_three, facts_of_three)
def test_the_better_of_facts_is_a_join(one: ServerRecord, two: ServerRecord, three: ServerRecord) -> None:
    one, two, three = (msgspec.structs.replace(f, name="a") for f in (one, two, three))
    assert join_records(one, one) == one and join_records(one, two) == join_records(two, one)
    assert join_records(join_records(one, two), three) == join_records(one, join_records(two, three))


# What a balancer makes of it.


def started(**more: Any) -> StartUpSettings:
    endpoints = [
        {"name": f"s-{i}", "address": f"127.0.0.1:{9000 + i}", "zone": "a", "type": "m", "group": 0,
         "status": "up", "weight": 1.0, "since_ms": 10_000}
        for i in range(3)
    ]  # fmt: skip
    profile = {"name": "chat", "semantics": "pure", "setupGoal": 200.0, "clientTimeout": 1500.0}
    told = {
        "name": "n0", "seed": "1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": {
            "zones": ["a"], "kinds": ["m"], "profiles": [profile], "membershipMode": "subscribe",
            "limits": {"maxSetups": 3, "probes": True}, "prices": {"probe": 0.005},
            "report": {"fields": ["x0"]},
        },
    } | more  # fmt: skip
    return parse_start_up_file(json.dumps(told).encode())


def line(name: str, state: str = "active", began: float = 10.0) -> ServerEntry:
    return ServerEntry(name, state, 0, 0, 0, began, 1.0)  # type: ignore[arg-type]


def remembering(
    folder: Path, *facts: ServerRecord, written: float | None = None, run: str = "one"
) -> tuple[Reducer, SnapshotRunner]:
    """`run`: of the machine when the memory was written; it is "one" now."""
    now = time.time()
    boot = folder / "boot"
    boot.write_text("one\n")
    if facts:
        mark = SnapshotRunner.create(str(folder), started(), str(boot))
        assert mark is not None
        told = memory(*facts, written=now if written is None else written)
        mark.store.save(
            snapshot_format.encode(msgspec.structs.replace(told, fingerprint=mark.fingerprint, boot_id=run))
        )
        mark.store.release()
    made = SnapshotRunner.create(str(folder), started(), str(boot))
    assert made is not None
    reducer = Reducer(started(), now, membership=made.membership, restored=made.restored)
    if made.restored is not None:
        restore_learned_state(reducer.balancer, made.restored, now)
    return reducer, made


def connects(reducer: Reducer, count: int = 40) -> set[int]:
    """The ports that so many tunnels, all at once, are sent to."""
    ports, now = set(), time.time()
    for i in range(count):
        opening = parse_client_line(b"OPEN %d k%d c=chat,d=1500" % (i, i))
        effects = reducer.dispatch(ClientArrived(i, opening), now)  # type: ignore[arg-type]
        ports |= {effect.address[1] for effect in effects if isinstance(effect, Connect)}
    for effect in reducer.dispatch(TimerDue(), now + 0.2):
        ports |= {effect.address[1]} if isinstance(effect, Connect) else set()
    return ports


def test_one_drained_before_the_restart_gets_nothing_whatever_the_start_up_file_says(
    tmp_path: Path,
) -> None:
    now = time.time()
    away = fact("s-1", "leaving", at=now - 60.0, port=9001)
    sure = [fact(f"s-{i}", at=now, port=9000 + i) for i in (0, 2)]
    reducer, made = remembering(tmp_path, away, *sure)
    assert made.restored is not None and made.restored.status_counts == {"trusted": 2, "refused": 1}
    for ep in reducer.balancer.servers.values():
        ep.answered_at = now
    assert connects(reducer) == {9000, 9002}
    # Discovery says up again of the same process: rule 3 wins; of a later one: it is used.
    reducer.dispatch(ListReceived(ServerList(5, False, (line("s-1"),), ())), now)
    assert not reducer.balancer.servers["s-1"].active
    reducer.dispatch(ListReceived(ServerList(6, False, (line("s-1", began=now),), ())), now)
    assert reducer.balancer.servers["s-1"].active


def test_old_entries_wait_for_a_probe_and_take_one_tunnel_at_a_time(tmp_path: Path) -> None:
    now = time.time()
    old = [fact(f"s-{i}", at=now - 7 * 86400.0, port=9000 + i) for i in range(3)]
    reducer, made = remembering(tmp_path, *old, written=now - 7 * 86400.0)
    assert made.restored is not None and made.restored.status_counts == {"doubted": 3}
    servers = reducer.balancer.servers
    assert all(ep.stale for ep in servers.values())
    for ep in servers.values():
        ep.answered_at = now
    connects(reducer)
    assert all(ep.pending_setups <= 1 for ep in servers.values())
    reducer.balancer.probe_ended(servers["s-0"], "ok", {"load": 0.1}, now)
    assert not servers["s-0"].stale and servers["s-1"].stale
    reducer.dispatch(ListReceived(ServerList(5, True, tuple(line(f"s-{i}") for i in range(2)), ())), now)
    assert not servers["s-1"].stale and not servers["s-2"].active


def test_suspensions_budgets_and_figures_come_back(tmp_path: Path) -> None:
    now = time.time()
    reducer, made = remembering(tmp_path)
    balancer = reducer.balancer
    ep = balancer.servers["s-1"]
    ep.recent_failures, ep.ejected_until, ep.slow_start_budget = 3, now + 5.0, -2.0
    balancer.c, balancer.load_per_tunnel, balancer.slow_start_rate = 0.4, 0.012, 0.3
    made.start(reducer, loop := asyncio.new_event_loop())
    assert made.writer is not None
    made.membership.confirm_listed(now)
    told = made.writer.take_snapshot(False)
    made.store.save(snapshot_format.encode(told))
    made.store.release()
    loop.close()
    again, _ = remembering(tmp_path)
    back = again.balancer.servers["s-1"]
    assert (back.recent_failures, back.ejected_until, back.slow_start_budget) == (3, now + 5.0, -2.0)
    assert (again.balancer.c, again.balancer.load_per_tunnel, again.balancer.slow_start_rate) == (
        0.4,
        0.012,
        0.3,
    )


def test_another_installations_memory_is_refused_and_left(tmp_path: Path, caplog: Any) -> None:
    store = SnapshotStore(str(tmp_path))
    store.claim("n9")
    store.save(snapshot_format.encode(memory()))
    store.release()
    assert SnapshotRunner.create(str(tmp_path), started()) is None
    assert "left untouched" in [record.getMessage() for record in caplog.records]
    assert SnapshotStore(str(tmp_path)).load().snapshot == memory()


def test_a_second_restart_before_the_first_wrote_finds_the_same(tmp_path: Path) -> None:
    now = time.time()
    away = fact("s-1", "left", at=now, port=9001)
    _, first = remembering(tmp_path, away)
    first.store.release()
    reducer, second = remembering(tmp_path)
    assert second.restored is not None and not reducer.balancer.servers["s-1"].active


def test_a_replaced_server_at_the_same_address_is_another_one() -> None:
    roster = MembershipView()
    roster.apply_list([line("s-1")], [("s-1", "127.0.0.1", 9)], True, NOW)
    roster.apply_list([line("s-2", began=50.0)], [("s-2", "127.0.0.1", 9)], True, NOW + 100)
    assert [(f.name, f.state) for f in roster.snapshot_records(NOW + 100)] == [
        ("s-1", "left"),
        ("s-2", "active"),
    ]
    assert roster.lifetimes.ended_count == 1 and roster.lifetimes.total_seconds == pytest.approx(NOW + 90)


def test_ten_thousand_servers_with_two_hundred_changes_a_second_stay_bounded() -> None:
    roster = MembershipView()
    names = [f"s-{i:05d}" for i in range(10_000)]
    roster.apply_list([line(name) for name in names], [(n, "127.0.0.1", 9) for n in names], True, NOW)
    began = time.perf_counter()
    for second in range(10):
        changed = names[200 * second : 200 * second + 200]
        roster.apply_list([line(name, "left", 0.0) for name in changed], [], False, NOW + second)
    took = time.perf_counter() - began
    assert roster.change_count == 12_000 and took < 2.0
    assert sum(f.is_inactive for f in roster.snapshot_records(NOW + 10)) == 2000
    told = memory(*roster.snapshot_records(NOW + 10))
    assert len(snapshot_format.encode(told)) < 1_500_000
    # Told away without a start, each is remembered with the one that was known.
    assert all(f.started_at == 10.0 for f in roster.snapshot_records(NOW + 10))


def test_what_was_told_away_long_ago_is_forgotten() -> None:
    roster = MembershipView({"s-1": fact(state="left", at=NOW)})
    assert roster.snapshot_records(NOW + 3600.0) and not roster.snapshot_records(NOW + 8 * 86400.0)


def test_the_commands_tell_age_trust_and_damage(tmp_path: Path, capfd: Any) -> None:
    folder = str(tmp_path / "s")
    assert main(["state", "check", folder]) == 1
    store = SnapshotStore(folder)
    store.claim("n0")
    now = time.time()
    told = memory(fact("s-1", at=now - 40), fact("s-2", "left", at=now), written=now)
    for _ in range(2):
        store.save(snapshot_format.encode(told))
    assert main(["state", "show", folder]) == 0
    shown = capfd.readouterr().out
    assert "s-1" in shown and "trusted" in shown and "leaving or left" in shown
    assert main(["state", "export", folder]) == 0
    (tmp_path / "s" / "state.2").write_bytes(b"")
    assert main(["state", "show", "--json", folder]) == 1
    assert main(["state", "check", folder]) == 1
    assert capfd.readouterr().err.count("damaged: state.2") == 2


def test_rows_say_why() -> None:
    assert [row["standing"] for row in rows(memory(fact(), fact("b", "left")), NOW)] == ["trusted", "refused"]
    assert restore(memory(), [], "another", NOW) is None


def test_owned_is_told_by_name(tmp_path: Path) -> None:
    first, second = SnapshotStore(str(tmp_path)), SnapshotStore(str(tmp_path))
    first.claim("n0")
    with pytest.raises(FolderInUseError, match="n0"):
        second.claim("n1")
    first.release()


def test_a_snapshot_after_a_step_of_the_wall_clock_is_in_the_time_it_is_read_in(tmp_path: Path) -> None:
    # The process's own clock goes on from where the wall clock was as it began: an hour behind by now.
    wall, behind = time.time(), 3600.0
    reducer, made = remembering(tmp_path, fact("s-1", at=wall - behind, port=9001))
    ep = reducer.balancer.servers["s-1"]
    ep.stale, ep.recent_failures, ep.ejected_until, ep.budget_updated_at = (
        False,
        3,
        wall - behind + 5.0,
        wall - behind,
    )
    made.start(reducer, loop := asyncio.new_event_loop(), lambda: time.time() - behind)
    assert made.writer is not None
    made.membership.confirm_listed(wall - behind)
    told = made.writer.take_snapshot(False)
    loop.close()
    made.store.release()
    assert [round(one.ejected_until - wall) for one in told.health] == [5]
    assert all(abs(one.confirmed_at - wall) < 2.0 for one in told.servers if one.name == "s-1")
