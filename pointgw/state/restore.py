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
from pointgw.state.confidence import RecordStanding, standing, still_warm, trust
from pointgw.state.merge import better, merge
from pointgw.state.records import LearnedFigures, ServerHealth, ServerLifetimes, ServerRecord, Snapshot

KEPT_AWAY = 7 * 86_400.0  # seconds that a server told away is remembered, if nothing was heard of it
MOST = 50_000  # facts that are kept; the oldest of those told away go first


@dataclass(slots=True)
class MembershipView:
    """What is known of each server, with its age."""

    facts: dict[str, ServerRecord] = field(default_factory=dict)
    lives: ServerLifetimes = field(default_factory=ServerLifetimes)
    change_count: int = 0  # changes so far
    before: dict[str, ServerRecord] = field(
        default_factory=dict
    )  # told away before this start, not up again since
    confirmed: float = 0.0  # when discovery last answered

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
        self.confirm(now)
        at = {name: (host, port) for name, host, port in addresses}
        taken: list[ServerEntry] = []
        listed: set[str] = set()
        for line in lines:
            known = self.facts.get(line.server)
            # A line that tells a server away may not tell when its process started: it is the one known.
            started = line.started_at
            if line.state != "active" and known is not None:
                started = max(started, known.started)
            host, port = at.get(line.server, (known.host, known.port) if known is not None else ("", 0))
            seen = known.seen if known is not None and known.started == started else 0.0
            fact = ServerRecord(
                line.server, line.state, started, now, host, port, line.zone, line.kind, line.cell,
                line.weight, seen,
            )  # fmt: skip
            told = self.before.get(line.server)
            if told is not None and line.state == "active":
                if line.started_at <= told.started:
                    line = line._replace(state="leaving")
                    fact = better(fact, told)
                else:
                    del self.before[line.server]
            self._put(fact, known, now)
            taken.append(line)
            listed.add(line.server)
        if whole:
            for name, fact in list(self.facts.items()):
                if name not in listed and not fact.is_away:
                    gone = msgspec.structs.replace(fact, state="left", at=now)
                    self._put(gone, fact, now)
        return taken

    def _put(self, fact: ServerRecord, known: ServerRecord | None, now: float) -> None:
        if known is None or (known.state, known.started) != (fact.state, fact.started):
            self.change_count += 1
            if known is not None and not known.is_away and known.started and fact.state == "left":
                life = max(0.0, now - known.started)
                self.lives = ServerLifetimes(self.lives.ended + 1, self.lives.total + life)
        self.facts[fact.name] = fact

    def confirm(self, now: float) -> None:
        """Discovery has told what is new, or that nothing is: all else that it listed stands."""
        self.confirmed = now

    def confirm_alive(self, name: str, now: float) -> None:
        """Own traffic has shown a server alive; told to the second."""
        fact = self.facts.get(name)
        if fact is not None and not fact.is_away and now - fact.seen > 1.0:
            self.facts[name] = msgspec.structs.replace(fact, seen=now)

    def kept(self, now: float) -> tuple[ServerRecord, ...]:
        """What goes into the memory: bounded, and without what was told away long ago."""
        facts = [
            msgspec.structs.replace(f, at=max(f.at, self.confirmed)) if not f.is_away else f
            for f in self.facts.values()
            if not f.is_away or abs(now - f.at) < KEPT_AWAY
        ]
        if len(facts) > MOST:
            facts = sorted(facts, key=lambda f: (f.is_away, -f.at, f.name))[:MOST]
        return tuple(facts)


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What a balancer starts with."""

    membership: MembershipView
    lines: tuple[ServerEntry, ...]
    addresses: tuple[tuple[str, str, int], ...]
    stale: frozenset[str]
    health: tuple[ServerHealth, ...]
    figures: LearnedFigures | None
    counts: dict[str, int]  # of each standing
    age: float  # seconds since it was written; under 0: from ahead of the clock
    clean: bool
    warm: frozenset[str] = frozenset()  # servers that are taken to be the processes they were


def records_of_list(
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
    facts = merge(memory.facts, known)
    counts: Counter[str] = Counter()
    doubted: set[str] = set()
    warm: set[str] = set()
    lines: list[ServerEntry] = []
    addresses: list[tuple[str, str, int]] = []
    for fact in facts.values():
        how = standing(fact, memory.lives, now)
        counts[how.value] += 1
        if how is RecordStanding.DOUBTED:
            doubted.add(fact.name)
        elif still_warm(memory, fact, run, now):
            warm.add(fact.name)
        if not fact.host:
            continue
        lines.append(
            ServerEntry(fact.name, fact.state, fact.kind, fact.cell, fact.zone, fact.started, fact.weight)
        )
        addresses.append((fact.name, fact.host, fact.port))
    roster = MembershipView(dict(facts), memory.lives, before={n: f for n, f in facts.items() if f.is_away})
    return RestoredState(
        roster, tuple(lines), tuple(addresses), frozenset(doubted), memory.health, memory.figures,
        dict(counts), now - memory.written, memory.clean, frozenset(warm),
    )  # fmt: skip


def rows(memory: Snapshot, now: float) -> list[dict[str, object]]:
    """Each entry, its age and trust, and why it would or would not be used."""
    why = {
        RecordStanding.TRUSTED: "used like a live one",
        RecordStanding.DOUBTED: "used once a probe has answered",
        RecordStanding.REFUSED: "told away: not used until discovery tells of a later start",
    }
    return [
        {
            "server": fact.name, "state": fact.state, "age": round(now - max(fact.at, fact.seen), 1),
            "trust": round(trust(fact, memory.lives, now), 3),
            "standing": standing(fact, memory.lives, now).value,
            "why": why[standing(fact, memory.lives, now)],
        }
        for fact in memory.facts
    ]  # fmt: skip
