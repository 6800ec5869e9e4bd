"""Derives a balancer's initial state from a snapshot, and the records of the next snapshot. No I/O.

`RestoredState` combines the start-up file's list with the snapshot. `MembershipView` is kept beside the
reducer: it receives every list of discovery, keeps which servers were leaving or left and when each record
was confirmed, and corrects lists that contradict this.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from pointgw.interface import ServerEntry
from pointgw.net.core.start_times import ProcessStart
from pointgw.state.confidence import RecordStatus, confidence, is_same_process, record_status
from pointgw.state.merge import join_records, merge
from pointgw.state.records import LearnedFigures, ServerHealth, ServerLifetimes, ServerRecord, Snapshot

INACTIVE_RETENTION_SECONDS = 7 * 86_400.0  # since the last report of a leaving or left server
MAX_RECORDS = 50_000  # in a snapshot; the oldest of leaving and left servers are dropped first


@dataclass(slots=True)
class MembershipView:
    """What is known about each server, and since when."""

    records: dict[str, ServerRecord] = field(default_factory=dict)
    lifetimes: ServerLifetimes = field(default_factory=ServerLifetimes)
    change_count: int = 0  # changes of a server's state or process so far
    unrecorded: dict[str, ServerRecord] = field(default_factory=dict)  # changed since `pop_changes`
    # leaving or left before this start, and no later process listed since
    inactive_before_start: dict[str, ServerRecord] = field(default_factory=dict)
    discovery_answered_at: float = 0.0

    def apply_list(
        self,
        entries: Iterable[ServerEntry],
        addresses: Iterable[tuple[str, str, int]],
        is_complete: bool,
        now: float,
    ) -> list[ServerEntry]:
        """Applies a complete list or an update of discovery; returns the entries that the policy is to use.

        An entry that lists as active a process that was leaving or left before the start is returned as
        leaving, so that rule 3 holds.
        """
        self.confirm_listed(now)
        address_of = {name: (host, port) for name, host, port in addresses}
        accepted: list[ServerEntry] = []
        listed: set[str] = set()
        for entry in entries:
            known = self.records.get(entry.server)
            # An entry that is leaving or left may lack its process's start time; the known one stays.
            started_at = entry.started_at
            if entry.state != "active" and known is not None:
                started_at = max(started_at, known.started_at)
            host, port = address_of.get(
                entry.server, (known.host, known.port) if known is not None else ("", 0)
            )
            seen_at = effective_start = 0.0
            if known is not None and known.started_at == started_at:
                seen_at, effective_start = known.seen_at, known.effective_start
            record = ServerRecord(
                entry.server, entry.state, started_at, now, host, port, entry.zone, entry.kind, entry.cell,
                entry.weight, seen_at, effective_start,
            )  # fmt: skip
            inactive = self.inactive_before_start.get(entry.server)
            if inactive is not None and entry.state == "active":
                if entry.started_at <= inactive.started_at:
                    entry = entry._replace(state="leaving")
                    record = join_records(record, inactive)
                else:
                    del self.inactive_before_start[entry.server]
            self._put(record, known, now)
            accepted.append(entry)
            listed.add(entry.server)
        if is_complete:
            for name, record in list(self.records.items()):
                if name not in listed and not record.is_inactive:
                    left = msgspec.structs.replace(record, state="left", confirmed_at=now)
                    self._put(left, record, now)
        return accepted

    def _put(self, record: ServerRecord, known: ServerRecord | None, now: float) -> None:
        if known is None or (known.state, known.started_at) != (record.state, record.started_at):
            self.change_count += 1
            self.unrecorded[record.name] = record
            if known is not None and not known.is_inactive and known.started_at and record.state == "left":
                lifetime = max(0.0, now - known.started_at)
                self.lifetimes = ServerLifetimes(
                    self.lifetimes.ended_count + 1, self.lifetimes.total_seconds + lifetime
                )
        self.records[record.name] = record

    def record_start(self, name: str, start: ProcessStart) -> None:
        """Records from when on a listed server's process counts as cold, where the list says otherwise."""
        record = self.records[name]
        if start.effective in (start.reported, record.effective_start):
            return
        record = msgspec.structs.replace(record, effective_start=start.effective)
        self.records[name] = record
        if name in self.unrecorded:
            self.unrecorded[name] = record

    def confirm_listed(self, now: float) -> None:
        """Records an answer of discovery, which confirms all servers that it has listed as active."""
        self.discovery_answered_at = now

    def confirm_alive(self, name: str, now: float) -> None:
        """Records that own traffic has shown a server alive, at most once a second."""
        record = self.records.get(name)
        if record is not None and not record.is_inactive and now - record.seen_at > 1.0:
            self.records[name] = msgspec.structs.replace(record, seen_at=now)

    def pop_changes(self) -> tuple[ServerRecord, ...]:
        """The servers whose state or process has changed since the last call."""
        changed, self.unrecorded = tuple(self.unrecorded.values()), {}
        return changed

    def snapshot_records(self, now: float) -> tuple[ServerRecord, ...]:
        """Records for a snapshot: at most `MAX_RECORDS`, none inactive for `INACTIVE_RETENTION_SECONDS`."""
        records = [
            msgspec.structs.replace(record, confirmed_at=max(record.confirmed_at, self.discovery_answered_at))
            if not record.is_inactive
            else record
            for record in self.records.values()
            if not record.is_inactive or abs(now - record.confirmed_at) < INACTIVE_RETENTION_SECONDS
        ]
        if len(records) > MAX_RECORDS:
            records = sorted(records, key=lambda r: (r.is_inactive, -r.confirmed_at, r.name))[:MAX_RECORDS]
        return tuple(records)


@dataclass(frozen=True, slots=True)
class RestoredState:
    """The state that a balancer starts with."""

    membership: MembershipView
    entries: tuple[ServerEntry, ...]
    addresses: tuple[tuple[str, str, int], ...]
    stale: frozenset[str]  # servers whose records are stale
    health: tuple[ServerHealth, ...]
    learned: LearnedFigures | None
    status_counts: dict[str, int]  # by value of `RecordStatus`
    age_seconds: float  # of the snapshot; negative if it was written in the future by this clock
    clean_stop: bool
    same_process: frozenset[str] = frozenset()  # servers presumed to be the recorded processes


def records_from_list(
    entries: Iterable[ServerEntry], addresses: Iterable[tuple[str, str, int]]
) -> list[ServerRecord]:
    """The start-up file's list as records; never confirmed, as the age of the list isn't known."""
    address_of = {name: (host, port) for name, host, port in addresses}
    return [
        ServerRecord(
            entry.server, entry.state, entry.started_at, 0.0, *address_of.get(entry.server, ("", 0)),
            entry.zone, entry.kind, entry.cell, entry.weight,
        )
        for entry in entries
    ]  # fmt: skip


def restore(
    snapshot: Snapshot,
    listed: Iterable[ServerRecord],
    fingerprint: str,
    now: float,
    boot_id: str = "",
    is_complete: bool = True,
) -> RestoredState | None:
    """Combines a snapshot with the start-up file's list; None if the snapshot is another installation's.

    Servers that only the list has are added as stale; it reactivates none. `boot_id`: of the machine, now.
    Unless the snapshot `is_complete`, any server may have been drained or restarted since: all are stale.
    """
    if snapshot.fingerprint != fingerprint:
        return None
    records = merge(snapshot.servers, listed)
    status_counts: Counter[str] = Counter()
    stale: set[str] = set()
    same_process: set[str] = set()
    entries: list[ServerEntry] = []
    addresses: list[tuple[str, str, int]] = []
    for record in records.values():
        status = record_status(record, snapshot.lifetimes, now)
        if status is RecordStatus.TRUSTED and not is_complete:
            status = RecordStatus.STALE
        status_counts[status.value] += 1
        if status is RecordStatus.STALE:
            stale.add(record.name)
        elif is_same_process(snapshot, record, boot_id, now):
            same_process.add(record.name)
        if not record.host:
            continue
        entries.append(
            ServerEntry(
                record.name,
                record.state,
                record.kind,
                record.cell,
                record.zone,
                record.started_at,
                record.weight,
            )
        )
        addresses.append((record.name, record.host, record.port))
    membership = MembershipView(
        dict(records),
        snapshot.lifetimes,
        inactive_before_start={name: r for name, r in records.items() if r.is_inactive},
    )
    return RestoredState(
        membership, tuple(entries), tuple(addresses), frozenset(stale), snapshot.health, snapshot.learned,
        dict(status_counts), now - snapshot.written_at, snapshot.clean_stop, frozenset(same_process),
    )  # fmt: skip


def rows(snapshot: Snapshot, now: float) -> list[dict[str, object]]:
    """Each record with its age, confidence, status and the reason, for `pointgw state show`."""
    why = {
        RecordStatus.TRUSTED: "used as if listed now",
        RecordStatus.STALE: "used once a probe has answered",
        RecordStatus.INACTIVE: "reported leaving or left: not used until discovery lists a later process",
    }
    return [
        {
            "server": record.name, "state": record.state,
            "age": round(now - max(record.confirmed_at, record.seen_at), 1),
            "trust": round(confidence(record, snapshot.lifetimes, now), 3),
            "standing": record_status(record, snapshot.lifetimes, now).value,
            "why": why[record_status(record, snapshot.lifetimes, now)],
        }
        for record in snapshot.servers
    ]  # fmt: skip
