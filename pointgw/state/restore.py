"""From a memory to what a balancer starts with, and back. No I/O.

`RestoredState` is what the start-up file's list and the memory give together. `MembershipView` is kept
beside the reducer: it hears every list, keeps what was told away and when each entry was confirmed, and holds
lists of discovery against that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from pointgw.interface import ServerEntry
from pointgw.state.confidence import RecordStatus, confidence, is_same_process, record_status
from pointgw.state.merge import join_records, merge
from pointgw.state.records import LearnedFigures, ServerHealth, ServerLifetimes, ServerRecord, Snapshot

INACTIVE_RETENTION_SECONDS = (
    7 * 86_400.0
)  # seconds that a server told away is remembered, if nothing was heard of it
MAX_RECORDS = 50_000  # facts that are kept; the oldest of those told away go first


@dataclass(slots=True)
class MembershipView:
    """What is known of each server, with its age."""

    records: dict[str, ServerRecord] = field(default_factory=dict)
    lifetimes: ServerLifetimes = field(default_factory=ServerLifetimes)
    change_count: int = 0  # changes so far
    inactive_before_start: dict[str, ServerRecord] = field(
        default_factory=dict
    )  # told away before this start, not up again since
    discovery_answered_at: float = 0.0  # when discovery last answered

    def apply_list(
        self,
        entries: Iterable[ServerEntry],
        addresses: Iterable[tuple[str, str, int]],
        is_full: bool,
        now: float,
    ) -> list[ServerEntry]:
        """A list of discovery, or changes; gives it as the decisions may take it.

        A line that says up again of a process told away before the start is taken as leaving: rule 3 wins.
        """
        self.confirm_listed(now)
        address_of = {name: (host, port) for name, host, port in addresses}
        accepted: list[ServerEntry] = []
        listed: set[str] = set()
        for entry in entries:
            known = self.records.get(entry.server)
            # A line that tells a server away may not tell when its process started: it is the one known.
            started_at = entry.started_at
            if entry.state != "active" and known is not None:
                started_at = max(started_at, known.started_at)
            host, port = address_of.get(
                entry.server, (known.host, known.port) if known is not None else ("", 0)
            )
            seen_at = known.seen_at if known is not None and known.started_at == started_at else 0.0
            record = ServerRecord(
                entry.server, entry.state, started_at, now, host, port, entry.zone, entry.kind, entry.cell,
                entry.weight, seen_at,
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
        if is_full:
            for name, record in list(self.records.items()):
                if name not in listed and not record.is_inactive:
                    left = msgspec.structs.replace(record, state="left", confirmed_at=now)
                    self._put(left, record, now)
        return accepted

    def _put(self, record: ServerRecord, known: ServerRecord | None, now: float) -> None:
        if known is None or (known.state, known.started_at) != (record.state, record.started_at):
            self.change_count += 1
            if known is not None and not known.is_inactive and known.started_at and record.state == "left":
                lifetime = max(0.0, now - known.started_at)
                self.lifetimes = ServerLifetimes(
                    self.lifetimes.ended_count + 1, self.lifetimes.total_seconds + lifetime
                )
        self.records[record.name] = record

    def confirm_listed(self, now: float) -> None:
        """Discovery has told what is new, or that nothing is: all else that it listed stands."""
        self.discovery_answered_at = now

    def confirm_alive(self, name: str, now: float) -> None:
        """Own traffic has shown a server alive; told to the second."""
        record = self.records.get(name)
        if record is not None and not record.is_inactive and now - record.seen_at > 1.0:
            self.records[name] = msgspec.structs.replace(record, seen_at=now)

    def snapshot_records(self, now: float) -> tuple[ServerRecord, ...]:
        """What goes into the memory: bounded, and without what was told away long ago."""
        records = [
            msgspec.structs.replace(f, confirmed_at=max(f.confirmed_at, self.discovery_answered_at))
            if not f.is_inactive
            else f
            for f in self.records.values()
            if not f.is_inactive or abs(now - f.confirmed_at) < INACTIVE_RETENTION_SECONDS
        ]
        if len(records) > MAX_RECORDS:
            records = sorted(records, key=lambda f: (f.is_inactive, -f.confirmed_at, f.name))[:MAX_RECORDS]
        return tuple(records)


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What a balancer starts with."""

    membership: MembershipView
    entries: tuple[ServerEntry, ...]
    addresses: tuple[tuple[str, str, int], ...]
    stale: frozenset[str]
    health: tuple[ServerHealth, ...]
    learned: LearnedFigures | None
    status_counts: dict[str, int]  # of each standing
    age_seconds: float  # seconds since it was written; under 0: from ahead of the clock
    clean_stop: bool
    same_process: frozenset[str] = frozenset()  # servers that are taken to be the processes they were


def records_from_list(
    entries: Iterable[ServerEntry], addresses: Iterable[tuple[str, str, int]]
) -> list[ServerRecord]:
    """The start-up file's list as facts. It may be old, and doesn't tell how old: nothing confirms it."""
    address_of = {name: (host, port) for name, host, port in addresses}
    return [
        ServerRecord(
            line.server, line.state, line.started_at, 0.0, *address_of.get(line.server, ("", 0)), line.zone,
            line.kind, line.cell, line.weight,
        )
        for line in entries
    ]  # fmt: skip


def restore(
    snapshot: Snapshot, listed: Iterable[ServerRecord], fingerprint: str, now: float, boot_id: str = ""
) -> RestoredState | None:
    """What holds by the memory and the start-up file together; None: it is another installation's.

    The start-up file's list adds servers, which are doubted, and brings none back. `run`: the machine's, now.
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
        inactive_before_start={n: f for n, f in records.items() if f.is_inactive},
    )
    return RestoredState(
        membership, tuple(entries), tuple(addresses), frozenset(stale), snapshot.health, snapshot.learned,
        dict(status_counts), now - snapshot.written_at, snapshot.clean_stop, frozenset(same_process),
    )  # fmt: skip


def rows(snapshot: Snapshot, now: float) -> list[dict[str, object]]:
    """Each entry, its age and trust, and why it would or would not be used."""
    why = {
        RecordStatus.TRUSTED: "used like a live one",
        RecordStatus.STALE: "used once a probe has answered",
        RecordStatus.INACTIVE: "told away: not used until discovery tells of a later start",
    }
    return [
        {
            "server": fact.name, "state": fact.state,
            "age": round(now - max(fact.confirmed_at, fact.seen_at), 1),
            "trust": round(confidence(fact, snapshot.lifetimes, now), 3),
            "standing": record_status(fact, snapshot.lifetimes, now).value,
            "why": why[record_status(fact, snapshot.lifetimes, now)],
        }
        for fact in snapshot.servers
    ]  # fmt: skip
