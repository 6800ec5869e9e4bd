"""Merges server records of several sources. No I/O.

Of two records of one server, that of the later process wins. For the same process, `left` wins over `leaving`
and `leaving` over `active`, as no merge may bring a drained server back; otherwise the one confirmed later
wins. This is a join (idempotent, commutative, associative), so the order of arrival doesn't matter.
"""

from __future__ import annotations

from collections.abc import Iterable

from pointgw.state.records import ServerRecord

STATE_RANK = {"active": 0, "leaving": 1, "left": 2}


def join_records(one: ServerRecord, other: ServerRecord) -> ServerRecord:
    """The join of two records of the same server."""
    winner = max(one, other, key=_precedence)
    seen_at = max(one.seen_at, other.seen_at) if one.started_at == other.started_at else winner.seen_at
    return _with_seen_at(winner, seen_at)


def _precedence(record: ServerRecord) -> tuple[object, ...]:
    """Sort key of a record; the fields after `confirmed_at` only make ties independent of the order."""
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
    """The join of all records of each server, by name; sorted, so that equal contents have equal order."""
    merged: dict[str, ServerRecord] = {}
    for source in sources:
        for record in source:
            known = merged.get(record.name)
            merged[record.name] = record if known is None else join_records(known, record)
    return dict(sorted(merged.items()))
