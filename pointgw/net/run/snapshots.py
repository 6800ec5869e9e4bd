"""The memory on disk (`pointgw.state`) beside a balancer: read at its start, kept while it runs.

Only loaded where the operators' file has `[state]`.
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
from pointgw.state.restore import MembershipView, RestoredState, records_from_list, restore
from pointgw.state.snapshot_store import SnapshotStore

_log = logging.getLogger("pointgw.state")


@dataclass(slots=True)
class SnapshotRunner:
    """What is on disk, what was made of it, and what keeps it."""

    store: SnapshotStore
    fingerprint: str
    membership: MembershipView
    restored: RestoredState | None
    boot_id: str  # of this machine
    writer: snapshot_writer.SnapshotWriter | None = None

    @classmethod
    def create(cls, folder: str, start: StartUpSettings, boot: str = "") -> SnapshotRunner | None:
        """None, with a line of the log, where the folder can't be used."""
        held = snapshot_writer.open_store(folder, start.name)
        if held is None:
            return None
        store, found = held
        mark = records.installation_fingerprint(start.names.zones, start.profiles)
        known = records_from_list(start.known_list.servers, start.known_list.addresses)
        now, recalled, run = time.time(), None, read_boot_id(boot)
        if found.snapshot is None:
            _log.info("nothing remembered", extra={"fields": {"folder": folder, "lost": len(found.damaged)}})
        else:
            recalled = restore(found.snapshot, known, mark, now, run)
            if recalled is None:
                store.release()
                why = "it is another installation's: its zones or profiles differ"
                _log.error("left untouched", extra={"fields": {"folder": folder, "why": why}})
                return None
            told: dict[str, object] = {
                "folder": folder,
                "age": recalled.age_seconds,
                "clean": recalled.clean_stop,
            }
            told["warm"] = len(recalled.same_process)
            _log.info("remembered", extra={"fields": told | recalled.status_counts})
        roster = (
            recalled.membership
            if recalled is not None
            else MembershipView({fact.name: fact for fact in known})
        )
        return cls(store, mark, roster, recalled, run)

    def start(
        self, reducer: Reducer, loop: asyncio.AbstractEventLoop, clock: Callable[[], float] = time.time
    ) -> None:
        """`clock`: the process's own, which goes on evenly where the wall clock steps."""

        def take(clean: bool) -> records.Snapshot:
            now, wall = clock(), time.time()
            stepped = wall - now if abs(wall - now) > CLOCK_TOLERANCE_SECONDS else 0.0
            discovery = reducer.discovery  # the one in force: a reload may have turned
            return records.Snapshot(
                self.fingerprint, wall, reducer.list_version, f"{discovery[0]}:{discovery[1]}", clean,
                to_wall_time(self.membership.snapshot_records(now), stepped),
                server_health(reducer.balancer, now, stepped), learned_figures(reducer.balancer),
                self.membership.lifetimes, self.boot_id,
            )  # fmt: skip

        self.writer = snapshot_writer.SnapshotWriter(
            self.store, take, lambda: self.membership.change_count, loop
        )

    async def stop(self) -> None:
        if self.writer is not None:
            await self.writer.stop(clean_stop=True)


def read_boot_id(path: str) -> str:
    """What the machine calls its run since power-on; nothing where it does not tell."""
    try:
        with open(path, encoding="ascii", errors="replace") as file:
            return file.read(100).strip()
    except OSError:
        return ""


def to_wall_time(kept: tuple[records.ServerRecord, ...], stepped: float) -> tuple[records.ServerRecord, ...]:
    """Facts whose times are of the process's clock, which the wall clock has left by so much."""
    if not stepped:
        return kept
    return tuple(
        msgspec.structs.replace(
            fact,
            confirmed_at=fact.confirmed_at and fact.confirmed_at + stepped,
            seen_at=fact.seen_at and fact.seen_at + stepped,
        )
        for fact in kept
    )


def server_health(balancer: Balancer, now: float, stepped: float = 0.0) -> tuple[records.ServerHealth, ...]:
    """Of the servers that are suspended, have strikes, or are cold; a doubted one has learned nothing yet."""
    return tuple(
        records.ServerHealth(
            ep.name,
            ep.started_at,
            ep.recent_failures,
            ep.ejected_until + stepped,
            ep.slow_start_budget,
            ep.budget_updated_at + stepped,
        )
        for ep in balancer.servers.values()
        if not ep.stale and (ep.recent_failures or ep.ejected_until > now or ep.warm_at > now)
    )


def learned_figures(balancer: Balancer) -> records.LearnedFigures:
    return records.LearnedFigures(
        balancer.c, balancer.load_per_tunnel, balancer.arrival_rate, 0.0, 0, balancer.slow_start_rate
    )


def restore_learned_state(balancer: Balancer, recalled: RestoredState, now: float) -> None:
    """Hands the decisions what was remembered, after the list."""
    for name in sorted(recalled.same_process):
        if name in balancer.servers:
            balancer.confirm_process(balancer.servers[name])
    for name in sorted(recalled.stale):
        if name in balancer.servers:
            balancer.mark_stale(balancer.servers[name])
    for one in recalled.health:
        ep = balancer.servers.get(one.name)
        if ep is not None and ep.started_at == one.started_at and not ep.stale:
            # No suspension is longer than the longest that is given; a clock may have jumped.
            ep.recent_failures = min(max(0, one.recent_failures), 4)
            ep.ejected_until = min(one.ejected_until, now + balancer.attempt_timeout * 64 * 1.2)
            ep.slow_start_budget, ep.budget_updated_at = min(ep.slow_start_budget, one.slow_start_budget), now
    learned = recalled.learned
    if learned is not None and all(
        math.isfinite(value) and value > 0 for value in (learned.load_per_tunnel, learned.arrival_rate)
    ):
        balancer.load_per_tunnel, balancer.arrival_rate = learned.load_per_tunnel, learned.arrival_rate
        if math.isfinite(learned.c) and learned.c > 0:
            balancer.c = learned.c
        if math.isfinite(learned.slow_start_rate) and learned.slow_start_rate >= 0:
            balancer.slow_start_rate = learned.slow_start_rate
