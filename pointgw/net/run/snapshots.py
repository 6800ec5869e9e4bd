"""Snapshots on disk (`pointgw.state`) for a balancer: restored at its start, written while it runs.

Loaded only where the operators' file has `[state]`.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from pointgw.net.core.reducer import Reducer
from pointgw.net.core.start_times import CLOCK_TOLERANCE_SECONDS
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer
from pointgw.state import records, snapshot_writer
from pointgw.state.change_recorder import ChangeRecorder
from pointgw.state.restore import MembershipView, RestoredState, records_from_list, restore
from pointgw.state.snapshot_store import LoadResult, SnapshotStore

_log = logging.getLogger("pointgw.state")


@dataclass(slots=True)
class SnapshotRunner:
    """The snapshot store, the state restored from it, and the writer."""

    store: SnapshotStore
    fingerprint: str
    membership: MembershipView
    restored: RestoredState | None
    boot_id: str  # of this machine, empty if unknown
    writer: snapshot_writer.SnapshotWriter | None = None
    recorder: ChangeRecorder | None = None

    @classmethod
    def create(cls, folder: str, start_up: StartUpSettings, boot_path: str = "") -> SnapshotRunner | None:
        """Restores the last snapshot. None, after a line of the log, where the folder can't be used."""
        opened = snapshot_writer.open_store(folder, start_up.name)
        if opened is None:
            return None
        store, loaded = opened
        fingerprint = records.installation_fingerprint(start_up.names.zones, start_up.profiles)
        listed = records_from_list(start_up.known_list.servers, start_up.known_list.addresses)
        restored, boot_id = None, read_boot_id(boot_path)
        snapshot = loaded.current() or _snapshot_of_changes(loaded, fingerprint)
        if loaded.snapshot is None:
            _log.info("no snapshot", extra={"fields": {"folder": folder, "lost": len(loaded.damaged)}})
            if snapshot is not None and not loaded.damaged:  # killed between the list and the first snapshot
                listed = [msgspec.structs.replace(record, confirmed_at=time.time()) for record in listed]
        if snapshot is not None:
            restored = restore(snapshot, listed, fingerprint, time.time(), boot_id, loaded.is_complete)
            if restored is None:
                store.release()
                why = "snapshot of another installation: its zones or profiles differ"
                _log.error("snapshot left untouched", extra={"fields": {"folder": folder, "why": why}})
                return None
            _log_restored(folder, restored, loaded.is_complete)
        membership = (
            restored.membership
            if restored is not None
            else MembershipView({record.name: record for record in listed})
        )
        return cls(store, fingerprint, membership, restored, boot_id)

    def start(
        self, reducer: Reducer, loop: asyncio.AbstractEventLoop, clock: Callable[[], float] = time.time
    ) -> None:
        """Starts to write snapshots. `clock`: the process's time in seconds, which never steps."""

        def clock_step() -> float:
            step = time.time() - clock()
            return step if abs(step) > CLOCK_TOLERANCE_SECONDS else 0.0

        def pop_changes() -> tuple[records.ServerRecord, ...]:
            return to_wall_time(self.membership.pop_changes(), clock_step())

        def take_snapshot(clean_stop: bool) -> records.Snapshot:
            now, wall, step = clock(), time.time(), clock_step()
            discovery = reducer.discovery  # read here, as a reload may have changed it
            return records.Snapshot(
                self.fingerprint, wall, reducer.list_requests.version,
                f"{discovery[0]}:{discovery[1]}", clean_stop,
                to_wall_time(self.membership.snapshot_records(now), step),
                server_health(reducer.balancer, now, step), learned_figures(reducer.balancer),
                self.membership.lifetimes, self.boot_id,
            )  # fmt: skip

        self.writer = snapshot_writer.SnapshotWriter(
            self.store, take_snapshot, lambda: self.membership.change_count, loop
        )
        self.recorder = ChangeRecorder(
            self.store, self.fingerprint, pop_changes, self.writer.thread, self.writer.record_failure
        )

    def when_changes_durable(self, proceed: Callable[[], None]) -> None:
        """Calls `proceed` once the list's changes so far outlast this process, or soon if the disk fails."""
        if self.recorder is None:
            proceed()
        else:
            self.recorder.when_durable(proceed)

    async def stop(self) -> None:
        """Writes the last snapshot, as one of a clean stop."""
        if self.writer is not None:
            await self.writer.stop(clean_stop=True)


def _snapshot_of_changes(loaded: LoadResult, fingerprint: str) -> records.Snapshot | None:
    """A snapshot of the stored changes, where there is no other; None where there are none."""
    servers = tuple(loaded.changes.servers(fingerprint).values())
    return records.Snapshot(fingerprint, time.time(), None, "", False, servers) if servers else None


def _log_restored(folder: str, restored: RestoredState, is_complete: bool) -> None:
    fields: dict[str, object] = {
        "folder": folder,
        "age": restored.age_seconds,
        "clean": restored.clean_stop,
        "complete": is_complete,
        "warm": len(restored.same_process),
    }
    _log.info("snapshot restored", extra={"fields": fields | restored.status_counts})


def read_boot_id(path: str) -> str:
    """The id of the machine's current boot, from the file at `path`; empty where it can't be read."""
    try:
        with open(path, encoding="ascii", errors="replace") as file:
            return file.read(100).strip()
    except OSError:
        return ""


def to_wall_time(
    server_records: tuple[records.ServerRecord, ...], clock_step: float
) -> tuple[records.ServerRecord, ...]:
    """Converts times of the process's clock to wall time, which is ahead by `clock_step` seconds."""
    if not clock_step:
        return server_records
    return tuple(
        msgspec.structs.replace(
            record,
            confirmed_at=record.confirmed_at and record.confirmed_at + clock_step,
            seen_at=record.seen_at and record.seen_at + clock_step,
            effective_start=record.effective_start and record.effective_start + clock_step,
        )
        for record in server_records
    )


def server_health(
    balancer: Balancer, now: float, clock_step: float = 0.0
) -> tuple[records.ServerHealth, ...]:
    """Health of servers that are ejected, have recent failures or are cold. Stale ones have none yet."""
    return tuple(
        records.ServerHealth(
            server.name,
            server.started_at,
            server.recent_failures,
            server.ejected_until + clock_step,
            server.slow_start_budget,
            server.budget_updated_at + clock_step,
        )
        for server in balancer.servers.values()
        if not server.stale and (server.recent_failures or server.ejected_until > now or server.warm_at > now)
    )


def learned_figures(balancer: Balancer) -> records.LearnedFigures:
    """The estimates that the balancer has learned from its tunnels."""
    return records.LearnedFigures(
        balancer.c, balancer.load_per_tunnel, balancer.arrival_rate, 0.0, 0, balancer.slow_start_rate
    )


def restore_learned_state(balancer: Balancer, restored: RestoredState, now: float) -> None:
    """Applies restored state to the balancer, after the server list was."""
    for name in sorted(restored.same_process):
        if name in balancer.servers:
            balancer.confirm_process(balancer.servers[name])
    for name in sorted(restored.stale):
        if name in balancer.servers:
            balancer.mark_stale(balancer.servers[name])
    for health in restored.health:
        server = balancer.servers.get(health.name)
        if server is not None and server.started_at == health.started_at and not server.stale:
            # At most the longest ejection that the balancer sets, as a clock may have jumped.
            server.recent_failures = min(max(0, health.recent_failures), 4)
            server.ejected_until = min(health.ejected_until, now + balancer.attempt_timeout * 64 * 1.2)
            server.slow_start_budget, server.budget_updated_at = (
                min(server.slow_start_budget, health.slow_start_budget),
                now,
            )
    learned = restored.learned
    if learned is not None and all(
        math.isfinite(value) and value > 0 for value in (learned.load_per_tunnel, learned.arrival_rate)
    ):
        balancer.load_per_tunnel, balancer.arrival_rate = learned.load_per_tunnel, learned.arrival_rate
        if math.isfinite(learned.c) and learned.c > 0:
            balancer.c = learned.c
        if math.isfinite(learned.slow_start_rate) and learned.slow_start_rate >= 0:
            balancer.slow_start_rate = learned.slow_start_rate
