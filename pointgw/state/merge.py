"""What holds when several sources tell of the same servers: one pure join, whatever their order. No I/O.

For one server, of two facts: the one of the later process wins; of the same process the one that tells it
away, as no merge may bring a drained server back; else the one confirmed later. `left` goes before `leaving`.
It is a join (idempotent, commutative, associative), so the order of arrival changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

from pointgw.state.records import ServerRecord

STATE_RANK = {"active": 0, "leaving": 1, "left": 2}


def join_records(one: ServerRecord, other: ServerRecord) -> ServerRecord:
    """The fact that holds of two about the same server."""
    winner = max(one, other, key=_precedence)
    seen_at = max(one.seen_at, other.seen_at) if one.started_at == other.started_at else winner.seen_at
    return _with_seen_at(winner, seen_at)


def _precedence(record: ServerRecord) -> tuple[object, ...]:
    """The rest of the fields only decide where all else is equal, so that the order never does."""
    return (
        record.started_at, STATE_RANK[record.state], record.confirmed_at, record.host,
        record.port, record.zone, record.kind, record.cell, record.weight,
    )  # fmt: skip


def _with_seen_at(record: ServerRecord, seen_at: float) -> ServerRecord:
    if record.seen_at == seen_at:
        return record
    return ServerRecord(
        record.name, record.state, record.started_at, record.confirmed_at, record.host,
        record.port, record.zone, record.kind, record.cell, record.weight, seen_at,
    )  # fmt: skip


def merge(*sources: Iterable[ServerRecord]) -> dict[str, ServerRecord]:
    """What holds of each server, by name; sorted, so that equal contents are equal in order too."""
    merged: dict[str, ServerRecord] = {}
    for source in sources:
        for record in source:
            known = merged.get(record.name)
            merged[record.name] = record if known is None else join_records(known, record)
    return dict(sorted(merged.items()))
