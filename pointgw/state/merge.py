"""What holds when several sources tell of the same servers: one pure join, whatever their order. No I/O.

For one server, of two facts: the one of the later process wins; of the same process the one that tells it
away, as no merge may bring a drained server back; else the one confirmed later. `left` goes before `leaving`.
It is a join (idempotent, commutative, associative), so the order of arrival changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

from pointgw.state.records import ServerRecord

RANK = {"active": 0, "leaving": 1, "left": 2}


def join_records(one: ServerRecord, other: ServerRecord) -> ServerRecord:
    """The fact that holds of two about the same server."""
    won = max(one, other, key=_key)
    seen = max(one.seen_at, other.seen_at) if one.started_at == other.started_at else won.seen_at
    return _with_seen(won, seen)


def _key(fact: ServerRecord) -> tuple[object, ...]:
    """The rest of the fields only decide where all else is equal, so that the order never does."""
    return (
        fact.started_at, RANK[fact.state], fact.confirmed_at, fact.host, fact.port, fact.zone, fact.kind,
        fact.cell, fact.weight,
    )  # fmt: skip


def _with_seen(fact: ServerRecord, seen: float) -> ServerRecord:
    if fact.seen_at == seen:
        return fact
    return ServerRecord(
        fact.name, fact.state, fact.started_at, fact.confirmed_at, fact.host, fact.port, fact.zone, fact.kind,
        fact.cell, fact.weight, seen,
    )  # fmt: skip


def merge(*sources: Iterable[ServerRecord]) -> dict[str, ServerRecord]:
    """What holds of each server, by name; sorted, so that equal contents are equal in order too."""
    found: dict[str, ServerRecord] = {}
    for source in sources:
        for fact in source:
            known = found.get(fact.name)
            found[fact.name] = fact if known is None else join_records(known, fact)
    return dict(sorted(found.items()))
