"""How far an entry of the memory is believed, by its age. No I/O.

An entry's trust falls by half in each usual life of a server of this roster, as servers seen to end tell it;
before any has, `LIFE` is taken. Under `SURE` a server is doubted: nothing goes there until a probe was
answered, or, where nothing else is ready, one tunnel at a time. What was told away has none, whatever its
age.
"""

from __future__ import annotations

from enum import Enum

from pointgw.state.records import ServerLifetimes, ServerRecord, Snapshot

FRESH_SECONDS = 30.0  # seconds in which an entry is as good as live: what a restart takes
TRUSTED_CONFIDENCE = 0.5
DEFAULT_LIFETIME_SECONDS = 86_400.0  # seconds that servers are taken to live, before any was seen to end
FULL_HISTORY_COUNT = 8  # ends from which their own history counts alone
MAX_CLOCK_SKEW_SECONDS = 1.0  # seconds that clocks may differ; an entry from further ahead has no age


class RecordStatus(Enum):
    """How an entry is used."""

    TRUSTED = "trusted"
    STALE = "doubted"
    INACTIVE = "refused"


def expected_lifetime(lifetimes: ServerLifetimes) -> float:
    """The usual life of a server, in seconds: its own history, mixed with `LIFE` while that is short."""
    observed_count = min(lifetimes.ended_count, FULL_HISTORY_COUNT)
    observed_mean = lifetimes.total_seconds / lifetimes.ended_count if lifetimes.ended_count else 0.0
    return max(
        FRESH_SECONDS,
        (observed_count * observed_mean + (FULL_HISTORY_COUNT - observed_count) * DEFAULT_LIFETIME_SECONDS)
        / FULL_HISTORY_COUNT,
    )


def confidence(record: ServerRecord, lifetimes: ServerLifetimes, now: float) -> float:
    """From 0 to 1."""
    if record.is_inactive:
        return 0.0
    age = now - max(
        record.confirmed_at, record.seen_at if record.seen_at <= now + MAX_CLOCK_SKEW_SECONDS else 0.0
    )
    if age < -MAX_CLOCK_SKEW_SECONDS:
        return 0.0  # guards against a clock that has jumped back: its age is not known
    if age <= FRESH_SECONDS:
        return 1.0
    return float(2.0 ** -((age - FRESH_SECONDS) / expected_lifetime(lifetimes)))


def record_status(record: ServerRecord, lifetimes: ServerLifetimes, now: float) -> RecordStatus:
    if record.is_inactive:
        return RecordStatus.INACTIVE
    return (
        RecordStatus.TRUSTED
        if confidence(record, lifetimes, now) >= TRUSTED_CONFIDENCE
        else RecordStatus.STALE
    )


def is_same_process(snapshot: Snapshot, record: ServerRecord, boot_id: str, now: float) -> bool:
    """Whether a server may be taken for the process it was, and not for one started since.

    A name outlives an outage, warmth does not. It is believed where the memory is as fresh as a restart
    leaves it and this machine has run on: then the balancer alone was away. Where the machine was off, others
    may have been. A clean stop tells nothing of what came after it."""
    age = now - snapshot.written_at
    same_boot = bool(boot_id) and boot_id == snapshot.boot_id
    return (
        same_boot
        and -MAX_CLOCK_SKEW_SECONDS <= age <= FRESH_SECONDS
        and confidence(record, snapshot.lifetimes, now) == 1.0
    )
