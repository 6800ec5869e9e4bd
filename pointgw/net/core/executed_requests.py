"""Requests that have ended and may have run: their ids must not bring about a second run. No I/O, no clock.

A client gives each connection a new id. Guards rule 2 against one that sends its id again on another
connection, as after it has left before the answer.
"""

from __future__ import annotations

from pointgw.interface import Profile

MAX_REMEMBERED = 16_384  # the oldest are forgotten first


class ExecutedRequests:
    """The ids of the latest such requests that can't simply be repeated."""

    def __init__(self) -> None:
        self.sent_at: dict[int, float] = {}  # when the first attempt was sent, by the id's hash; oldest first

    def record(self, name: str, profile: Profile, sent_at: float) -> None:
        """A request has ended that may have run; its first such attempt was sent at `sent_at` (seconds)."""
        if profile.semantics == "repeatable":
            return
        self.sent_at.setdefault(hash(name), sent_at)
        if len(self.sent_at) > MAX_REMEMBERED:
            del self.sent_at[next(iter(self.sent_at))]

    def may_run(self, name: str, profile: Profile, now: float) -> bool:
        """Whether a request that arrives with this id can be sent to any server without a second effect."""
        sent_at = self.sent_at.get(hash(name))
        if sent_at is None or profile.semantics == "repeatable":
            return True
        return (
            profile.semantics == "referenced"
            and profile.dedup_scope == "all"
            and now + profile.client_timeout < sent_at + profile.dedup_window
        )
