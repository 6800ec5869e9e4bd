"""The log of changes beside a snapshot: its encoding, its files, and when a change counts as durable."""

from __future__ import annotations

import asyncio
import errno
import itertools
import os
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from pointgw.state import change_log, snapshot_format
from pointgw.state.change_log import ChangeEntry
from pointgw.state.change_recorder import MAX_WAIT_SECONDS, ChangeRecorder
from pointgw.state.confidence import RecordStatus
from pointgw.state.records import ServerRecord, ServerState, Snapshot
from pointgw.state.restore import restore
from pointgw.state.snapshot_store import SnapshotStore
from pointgw.state.snapshot_writer import WriterThread

NOW = 1_000_000.0
FINGERPRINT = "mark"


def make_record(name: str, state: ServerState = "leaving") -> ServerRecord:
    return ServerRecord(name, state, 10.0, NOW, "127.0.0.1", 9)


def make_entry(number: int, state: ServerState = "leaving") -> ChangeEntry:
    return ChangeEntry(number, FINGERPRINT, (make_record(f"s-{number}", state),))


def make_snapshot(*records: ServerRecord) -> Snapshot:
    return Snapshot(FINGERPRINT, NOW, 7, "127.0.0.1:1", False, records)


def test_one_flipped_bit_anywhere_loses_no_entry() -> None:
    entries = tuple(make_entry(number) for number in (1, 2, 3))
    data = b"".join(change_log.encode(entry) for entry in entries)
    for position, bit in itertools.product(range(len(data)), range(8)):
        damaged = bytearray(data)
        damaged[position] ^= 1 << bit
        assert change_log.decode(bytes(damaged)).entries == entries


def test_after_a_cut_at_any_byte_the_entries_before_it_are_read() -> None:
    first, second = change_log.encode(make_entry(1)), change_log.encode(make_entry(2))
    for length in range(len(second)):
        history = change_log.decode(first + second[:length])
        assert history.entries[0] == make_entry(1) and history.is_complete


def test_a_lost_entry_between_others_is_noticed() -> None:
    history = change_log.decode(change_log.encode(make_entry(1)) + change_log.encode(make_entry(3)))
    assert not history.is_complete and set(history.servers(FINGERPRINT)) == {"s-1", "s-3"}
    assert history.servers("another installation") == {}


def open_store(folder: Path, before_step: Callable[[str], None] = lambda name: None) -> SnapshotStore:
    store = SnapshotStore(str(folder), before_step)
    store.claim("n0")
    return store


def test_an_older_generation_and_the_logs_tell_as_much_as_a_damaged_newer_one(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    active = [make_record(f"s-{number}", "active") for number in (1, 2, 3)]
    store.save(snapshot_format.encode(make_snapshot(*active)))
    store.append_changes(FINGERPRINT, (make_record("s-1"),))
    store.save(snapshot_format.encode(make_snapshot(make_record("s-1"), *active[1:])))
    store.append_changes(FINGERPRINT, (make_record("s-2", "left"),))
    (tmp_path / "state.2").write_bytes(b"")
    loaded = SnapshotStore(str(tmp_path)).load()
    snapshot = loaded.current()
    assert loaded.generation == 1 and not loaded.is_complete and snapshot is not None
    restored = restore(snapshot, [], FINGERPRINT, NOW, "", loaded.is_complete)
    assert restored is not None
    # The active server is unconfirmed: it may have been drained in the generation that is lost.
    assert restored.status_counts == {RecordStatus.INACTIVE.value: 2, RecordStatus.STALE.value: 1}


def test_entries_after_a_restart_follow_those_before_it(tmp_path: Path) -> None:
    for state in ("leaving", "active", "left"):
        store = open_store(tmp_path)
        store.load()
        store.append_changes(FINGERPRINT, (make_record("s-1", state),))
        store.release()
    history = SnapshotStore(str(tmp_path)).load().changes
    assert [entry.number for entry in history.entries] == [1, 2, 3]
    assert history.servers(FINGERPRINT)["s-1"].state == "left"


def test_logs_go_with_their_generations(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    for number in range(5):
        store.append_changes(FINGERPRINT, (make_record(f"s-{number}"),))
        store.save(snapshot_format.encode(make_snapshot(make_record("s-1"))))
    assert {path.name for path in tmp_path.iterdir()} == {"state.4", "state.5", "changes.4", "owner"}


def run_recorder(folder: Path, before_step: Callable[[str], None]) -> tuple[float, list[BaseException]]:
    """Records one change; returns how long it was waited for, and the failures."""
    failures: list[BaseException] = []

    async def run() -> float:
        loop = asyncio.get_running_loop()
        changes = [(make_record("s-1"),)]
        recorder = ChangeRecorder(
            open_store(folder, before_step), FINGERPRINT, lambda: changes.pop() if changes else (),
            WriterThread(loop), failures.append,
        )  # fmt: skip
        durable = loop.create_future()
        began = loop.time()
        recorder.when_durable(lambda: durable.set_result(loop.time() - began))
        return float(await durable)

    return asyncio.run(run()), failures


def test_a_change_is_on_disk_before_the_next_list_is_asked_for(tmp_path: Path) -> None:
    waited, failures = run_recorder(tmp_path, lambda name: time.sleep(0.002))
    assert waited < MAX_WAIT_SECONDS and not failures
    assert set(SnapshotStore(str(tmp_path)).load().changes.servers(FINGERPRINT)) == {"s-1"}


@pytest.mark.parametrize("step", ["write changes", "fsync changes"])
def test_a_disk_that_hangs_or_is_full_keeps_no_list_from_the_balancer(tmp_path: Path, step: str) -> None:
    def hang(name: str) -> None:
        if name == step:
            time.sleep(0.5)

    def fail(name: str) -> None:
        if name == step:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    waited, failures = run_recorder(tmp_path / "hanging", hang)
    assert MAX_WAIT_SECONDS * 0.9 < waited < MAX_WAIT_SECONDS + 0.3 and not failures
    waited, failures = run_recorder(tmp_path / "full", fail)
    assert waited < MAX_WAIT_SECONDS and len(failures) == 1
