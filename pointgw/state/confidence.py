"""Confidence in a stored server record, by its age. No I/O.

Confidence halves with each expected server lifetime, which is estimated from servers of this list that have
left (`DEFAULT_LIFETIME_SECONDS` before any has). Below `TRUSTED_CONFIDENCE` a record is stale: its server
gets no tunnel until it has answered a probe or, where no other server is available, one tunnel at a time. A
server reported as leaving or left has no confidence, whatever the age of its record.
"""

from __future__ import annotations

from enum import Enum

from pointgw.state.records import ServerLifetimes, ServerRecord, Snapshot

FRESH_SECONDS = 30.0  # age up to which a record has full confidence: the time that a restart takes
TRUSTED_CONFIDENCE = 0.5  # lowest confidence of a trusted record
DEFAULT_LIFETIME_SECONDS = 86_400.0  # expected lifetime of a server before any was observed
FULL_HISTORY_COUNT = 8  # observed lifetimes from which the default no longer counts
MAX_CLOCK_SKEW_SECONDS = 1.0  # a record from further in the future has no known age


class RecordStatus(Enum):
    """How a record is used after a restart."""

    TRUSTED = "trusted"
    STALE = "doubted"
    INACTIVE = "refused"


def expected_lifetime(lifetimes: ServerLifetimes) -> float:
    """Expected lifetime of a server in seconds: the observed mean, at least `FRESH_SECONDS`.

    With fewer than `FULL_HISTORY_COUNT` observations the default makes up for the missing ones."""
    observed_count = min(lifetimes.ended_count, FULL_HISTORY_COUNT)
    observed_mean = lifetimes.total_seconds / lifetimes.ended_count if lifetimes.ended_count else 0.0
    return max(
        FRESH_SECONDS,
        (observed_count * observed_mean + (FULL_HISTORY_COUNT - observed_count) * DEFAULT_LIFETIME_SECONDS)
        / FULL_HISTORY_COUNT,
    )


def confidence(record: ServerRecord, lifetimes: ServerLifetimes, now: float) -> float:
    """Confidence in a record at time `now`, from 0 to 1."""
    if record.is_inactive:
        return 0.0
    age = now - max(
        record.confirmed_at, record.seen_at if record.seen_at <= now + MAX_CLOCK_SKEW_SECONDS else 0.0
    )
    if age < -MAX_CLOCK_SKEW_SECONDS:
        return 0.0  # guards against a clock that was set back: the age is not known
    if age <= FRESH_SECONDS:
        return 1.0
    return float(2.0 ** -((age - FRESH_SECONDS) / expected_lifetime(lifetimes)))


def record_status(record: ServerRecord, lifetimes: ServerLifetimes, now: float) -> RecordStatus:
    """How a record is used at time `now`."""
    if record.is_inactive:
        return RecordStatus.INACTIVE
    return (
        RecordStatus.TRUSTED
        if confidence(record, lifetimes, now) >= TRUSTED_CONFIDENCE
        else RecordStatus.STALE
    )


def is_same_process(snapshot: Snapshot, record: ServerRecord, boot_id: str, now: float) -> bool:
    """Whether a server is presumed to be the recorded process, not one started since.

    A restarted server keeps its name but is cold. The process is presumed the same if the snapshot is at most
    `FRESH_SECONDS` old and this machine has not rebooted, as then only the balancer was down. If the machine
    was off, servers may have been off too. A clean stop tells nothing about what followed it."""
    age = now - snapshot.written_at
    same_boot = bool(boot_id) and boot_id == snapshot.boot_id
    return (
        same_boot
        and -MAX_CLOCK_SKEW_SECONDS <= age <= FRESH_SECONDS
        and confidence(record, snapshot.lifetimes, now) == 1.0
    )
