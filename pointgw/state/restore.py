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

KEPT_AWAY = 7 * 86_400.0  # seconds that a server told away is remembered, if nothing was heard of it
MOST = 50_000  # facts that are kept; the oldest of those told away go first


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
        lines: Iterable[ServerEntry],
        addresses: Iterable[tuple[str, str, int]],
        whole: bool,
        now: float,
    ) -> list[ServerEntry]:
        """A list of discovery, or changes; gives it as the decisions may take it.

        A line that says up again of a process told away before the start is taken as leaving: rule 3 wins.
        """
        self.confirm_listed(now)
        at = {name: (host, port) for name, host, port in addresses}
        taken: list[ServerEntry] = []
        listed: set[str] = set()
        for line in lines:
            known = self.records.get(line.server)
            # A line that tells a server away may not tell when its process started: it is the one known.
            started = line.started_at
            if line.state != "active" and known is not None:
                started = max(started, known.started_at)
            host, port = at.get(line.server, (known.host, known.port) if known is not None else ("", 0))
            seen = known.seen_at if known is not None and known.started_at == started else 0.0
            fact = ServerRecord(
                line.server, line.state, started, now, host, port, line.zone, line.kind, line.cell,
                line.weight, seen,
            )  # fmt: skip
            told = self.inactive_before_start.get(line.server)
            if told is not None and line.state == "active":
                if line.started_at <= told.started_at:
                    line = line._replace(state="leaving")
                    fact = join_records(fact, told)
                else:
                    del self.inactive_before_start[line.server]
            self._put(fact, known, now)
            taken.append(line)
            listed.add(line.server)
        if whole:
            for name, fact in list(self.records.items()):
                if name not in listed and not fact.is_inactive:
                    gone = msgspec.structs.replace(fact, state="left", confirmed_at=now)
                    self._put(gone, fact, now)
        return taken

    def _put(self, fact: ServerRecord, known: ServerRecord | None, now: float) -> None:
        if known is None or (known.state, known.started_at) != (fact.state, fact.started_at):
            self.change_count += 1
            if known is not None and not known.is_inactive and known.started_at and fact.state == "left":
                life = max(0.0, now - known.started_at)
                self.lifetimes = ServerLifetimes(
                    self.lifetimes.ended_count + 1, self.lifetimes.total_seconds + life
                )
        self.records[fact.name] = fact

    def confirm_listed(self, now: float) -> None:
        """Discovery has told what is new, or that nothing is: all else that it listed stands."""
        self.discovery_answered_at = now

    def confirm_alive(self, name: str, now: float) -> None:
        """Own traffic has shown a server alive; told to the second."""
        fact = self.records.get(name)
        if fact is not None and not fact.is_inactive and now - fact.seen_at > 1.0:
            self.records[name] = msgspec.structs.replace(fact, seen_at=now)

    def snapshot_records(self, now: float) -> tuple[ServerRecord, ...]:
        """What goes into the memory: bounded, and without what was told away long ago."""
        facts = [
            msgspec.structs.replace(f, confirmed_at=max(f.confirmed_at, self.discovery_answered_at))
            if not f.is_inactive
            else f
            for f in self.records.values()
            if not f.is_inactive or abs(now - f.confirmed_at) < KEPT_AWAY
        ]
        if len(facts) > MOST:
            facts = sorted(facts, key=lambda f: (f.is_inactive, -f.confirmed_at, f.name))[:MOST]
        return tuple(facts)


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
    lines: Iterable[ServerEntry], addresses: Iterable[tuple[str, str, int]]
) -> list[ServerRecord]:
    """The start-up file's list as facts. It may be old, and doesn't tell how old: nothing confirms it."""
    where = {name: (host, port) for name, host, port in addresses}
    return [
        ServerRecord(
            line.server, line.state, line.started_at, 0.0, *where.get(line.server, ("", 0)), line.zone,
            line.kind, line.cell, line.weight,
        )
        for line in lines
    ]  # fmt: skip


def restore(
    memory: Snapshot, known: Iterable[ServerRecord], fingerprint: str, now: float, run: str = ""
) -> RestoredState | None:
    """What holds by the memory and the start-up file together; None: it is another installation's.

    The start-up file's list adds servers, which are doubted, and brings none back. `run`: the machine's, now.
    """
    if memory.fingerprint != fingerprint:
        return None
    facts = merge(memory.servers, known)
    counts: Counter[str] = Counter()
    doubted: set[str] = set()
    warm: set[str] = set()
    lines: list[ServerEntry] = []
    addresses: list[tuple[str, str, int]] = []
    for fact in facts.values():
        how = record_status(fact, memory.lifetimes, now)
        counts[how.value] += 1
        if how is RecordStatus.STALE:
            doubted.add(fact.name)
        elif is_same_process(memory, fact, run, now):
            warm.add(fact.name)
        if not fact.host:
            continue
        lines.append(
            ServerEntry(fact.name, fact.state, fact.kind, fact.cell, fact.zone, fact.started_at, fact.weight)
        )
        addresses.append((fact.name, fact.host, fact.port))
    roster = MembershipView(
        dict(facts), memory.lifetimes, inactive_before_start={n: f for n, f in facts.items() if f.is_inactive}
    )
    return RestoredState(
        roster, tuple(lines), tuple(addresses), frozenset(doubted), memory.health, memory.learned,
        dict(counts), now - memory.written_at, memory.clean_stop, frozenset(warm),
    )  # fmt: skip


def rows(memory: Snapshot, now: float) -> list[dict[str, object]]:
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
            "trust": round(confidence(fact, memory.lifetimes, now), 3),
            "standing": record_status(fact, memory.lifetimes, now).value,
            "why": why[record_status(fact, memory.lifetimes, now)],
        }
        for fact in memory.servers
    ]  # fmt: skip
