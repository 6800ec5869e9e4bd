"""Merges server records of several sources. No I/O.

Of two records of one server, that of the later process wins. For the same process, `left` wins over `leaving`
and `leaving` over `active`, as no merge may bring a drained server back; otherwise the one confirmed later
wins. This is a join (idempotent, commutative, associative), so the order of arrival doesn't matter.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pointgw.state.records import ServerRecord

STATE_RANK = {"active": 0, "leaving": 1, "left": 2}


def join_records(one: ServerRecord, other: ServerRecord) -> ServerRecord:
    """The join of two records of the same server."""
    winner = max(one, other, key=_precedence)
    if one.started_at != other.started_at:
        return winner
    return msgspec.structs.replace(
        winner,
        seen_at=max(one.seen_at, other.seen_at),
        effective_start=max(one.effective_start, other.effective_start),
    )


def _precedence(record: ServerRecord) -> tuple[object, ...]:
    """Sort key of a record; the fields after `confirmed_at` only make ties independent of the order."""
    return (
        record.started_at, STATE_RANK[record.state], record.confirmed_at, record.host,
        record.port, record.zone, record.kind, record.cell, record.weight,
    )  # fmt: skip


def merge(*sources: Iterable[ServerRecord]) -> dict[str, ServerRecord]:
    """The join of all records of each server, by name; sorted, so that equal contents have equal order."""
    merged: dict[str, ServerRecord] = {}
    for source in sources:
        for record in source:
            known = merged.get(record.name)
            merged[record.name] = record if known is None else join_records(known, record)
    return dict(sorted(merged.items()))
