"""How far an entry of the memory is believed, by its age. No I/O.

An entry's trust falls by half in each usual life of a server of this roster, as servers seen to end tell it;
before any has, `LIFE` is taken. Under `SURE` a server is doubted: nothing goes there until a probe was
answered, or, where nothing else is ready, one tunnel at a time. What was told away has none, whatever its
age.
"""

from __future__ import annotations

from enum import Enum

from pointgw.state.records import ServerLifetimes, ServerRecord, Snapshot

FRESH = 30.0  # seconds in which an entry is as good as live: what a restart takes
SURE = 0.5
LIFE = 86_400.0  # seconds that servers are taken to live, before any was seen to end
SEEN_ENDS = 8  # ends from which their own history counts alone
AHEAD = 1.0  # seconds that clocks may differ; an entry from further ahead has no age


class RecordStatus(Enum):
    """How an entry is used."""

    TRUSTED = "trusted"
    STALE = "doubted"
    INACTIVE = "refused"


def expected_lifetime(lives: ServerLifetimes) -> float:
    """The usual life of a server, in seconds: its own history, mixed with `LIFE` while that is short."""
    known = min(lives.ended_count, SEEN_ENDS)
    seen = lives.total_seconds / lives.ended_count if lives.ended_count else 0.0
    return max(FRESH, (known * seen + (SEEN_ENDS - known) * LIFE) / SEEN_ENDS)


def confidence(fact: ServerRecord, lives: ServerLifetimes, now: float) -> float:
    """From 0 to 1."""
    if fact.is_inactive:
        return 0.0
    age = now - max(fact.confirmed_at, fact.seen_at if fact.seen_at <= now + AHEAD else 0.0)
    if age < -AHEAD:
        return 0.0  # guards against a clock that has jumped back: its age is not known
    if age <= FRESH:
        return 1.0
    return float(2.0 ** -((age - FRESH) / expected_lifetime(lives)))


def record_status(fact: ServerRecord, lives: ServerLifetimes, now: float) -> RecordStatus:
    if fact.is_inactive:
        return RecordStatus.INACTIVE
    return RecordStatus.TRUSTED if confidence(fact, lives, now) >= SURE else RecordStatus.STALE


def is_same_process(memory: Snapshot, fact: ServerRecord, run: str, now: float) -> bool:
    """Whether a server may be taken for the process it was, and not for one started since.

    A name outlives an outage, warmth does not. It is believed where the memory is as fresh as a restart
    leaves it and this machine has run on: then the balancer alone was away. Where the machine was off, others
    may have been. A clean stop tells nothing of what came after it."""
    age = now - memory.written_at
    same = bool(run) and run == memory.boot_id
    return same and -AHEAD <= age <= FRESH and confidence(fact, memory.lifetimes, now) == 1.0
