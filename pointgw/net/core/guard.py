"""Checks the rules of delivery for each request against what was really sent. No I/O, no clock.

The policy follows these rules by its own state. The guard keeps an independent record of requests sent,
answers given and servers listed, and is consulted again before each request line and each final answer.
What it refuses is not done but counted; a count above zero means a fault of this program.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from pointgw.interface import Ending, Location, Profile, ServerEntry
from pointgw.net.invariant import check_invariant

NOT_EXECUTED_ENDINGS: frozenset[Ending] = frozenset(("full", "no-connection", "moot"))


class Violation(Enum):
    """A rule that an action would have violated; the value is the name of its counter."""

    UNKNOWN_REQUEST = "guard_unknown_request"
    AFTER_ANSWER = "guard_attempt_after_answer"
    AFTER_CLIENT_LEFT = "guard_attempt_after_client_left"
    AFTER_DEADLINE = "guard_attempt_after_deadline"
    TWO_IN_PROGRESS = "guard_two_attempts_out"
    UNSAFE_REPEAT = "guard_repeat_may_run_twice"
    DRAINING = "guard_attempt_at_draining_server"
    UNCONFIRMED_LIST = "guard_attempt_by_unconfirmed_list"
    REFUSED_AFTER_RUN = "guard_refusal_after_run"


@dataclass(slots=True)
class SentAttempt:
    """An attempt whose request line was written."""

    location: Location  # of the server, as it was listed then
    sent_at: float
    in_progress: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class GuardedRequest:
    """A request, from its arrival until no attempt of it is in progress."""

    profile: Profile
    deadline: float
    answered: bool = False
    client_left: bool = False
    attempts: dict[int, SentAttempt] = field(default_factory=dict)

    def first_execution(self) -> SentAttempt | None:
        """The first attempt that may have run."""
        return next((sent for sent in self.attempts.values() if sent.may_have_run), None)


class DeliveryGuard:
    """Record of requests, and of the servers that rule 3 excludes.

    `only_draining_excludes`: a server that left the list without draining may still get requests.
    """

    def __init__(self, only_draining_excludes: bool) -> None:
        self.only_draining_excludes = only_draining_excludes
        self.requests: dict[int, GuardedRequest] = {}
        self.excluded: set[str] = set()  # servers that must get nothing new
        self.list_valid_until = inf  # no server may get anything new from then on
        self.locations: dict[str, Location] = {}  # by server

    # Events.

    def update_servers(self, entries: Iterable[ServerEntry], is_complete: bool) -> None:
        """Records a complete list or changes to it."""
        listed = set()
        for entry in entries:
            listed.add(entry.server)
            self.locations[entry.server] = entry.location
            if entry.state == "active":
                self.excluded.discard(entry.server)
            elif entry.state == "leaving" or not self.only_draining_excludes:
                self.excluded.add(entry.server)
        if is_complete and not self.only_draining_excludes:
            self.excluded.update(self.locations.keys() - listed)

    def request_arrived(self, request: int, profile: Profile, deadline: float) -> None:
        """A client has sent a request, to be answered before `deadline`."""
        self.requests[request] = GuardedRequest(profile, deadline)

    def client_left(self, request: int) -> None:
        """The client has closed its connection."""
        if request in self.requests:
            self.requests[request].client_left = True

    def request_answered(self, request: int) -> None:
        """The client has its final answer, from this balancer or from a server."""
        if request in self.requests:
            self.requests[request].answered = True

    def attempt_ended(self, request: int, attempt: int, ending: Ending) -> None:
        """An attempt has ended or was abandoned."""
        guarded = self.requests.get(request)
        if guarded is not None and attempt in guarded.attempts:
            sent = guarded.attempts[attempt]
            sent.in_progress, sent.may_have_run = False, ending not in NOT_EXECUTED_ENDINGS

    def forget(self, request: int) -> SentAttempt | None:
        """Drops the record of a request; returns its first attempt that may have run, if any."""
        guarded = self.requests.pop(request, None)
        return None if guarded is None else guarded.first_execution()

    # Checks before an action.

    def may_send(self, request: int, attempt: int, server: str, now: float) -> bool:
        """Whether a request line may be written; if so, records it as sent."""
        guarded = self.requests.get(request)
        if not self._check(guarded is not None, Violation.UNKNOWN_REQUEST) or guarded is None:
            return False
        allowed = (
            self._check(not guarded.answered, Violation.AFTER_ANSWER)
            and self._check(not guarded.client_left, Violation.AFTER_CLIENT_LEFT)
            and self._check(now < guarded.deadline, Violation.AFTER_DEADLINE)
            and self._check(
                not any(sent.in_progress for sent in guarded.attempts.values()), Violation.TWO_IN_PROGRESS
            )
            and self._check(self._may_repeat(guarded, server, now), Violation.UNSAFE_REPEAT)
            and self._check(server not in self.excluded, Violation.DRAINING)
            and self._check(now < self.list_valid_until, Violation.UNCONFIRMED_LIST)
        )
        if allowed:
            guarded.attempts[attempt] = SentAttempt(self.locations[server], now)
        return allowed

    def may_refuse(self, request: int) -> bool:
        """Whether the client may be answered that it can safely retry."""
        guarded = self.requests.get(request)
        return guarded is None or self._check(
            self._is_harmless_to_refuse(guarded), Violation.REFUSED_AFTER_RUN
        )

    def _may_repeat(self, guarded: GuardedRequest, server: str, now: float) -> bool:
        profile = guarded.profile
        first = guarded.first_execution()
        if first is None or profile.semantics == "repeatable":
            return True
        if profile.semantics == "once-only" or now >= first.sent_at + profile.dedup_window:
            return False
        return self.locations[server].recognises(first.location, profile.dedup_scope)

    @staticmethod
    def _is_harmless_to_refuse(guarded: GuardedRequest) -> bool:
        profile = guarded.profile
        if guarded.first_execution() is None:
            return True
        return profile.semantics == "repeatable" or (
            profile.semantics == "referenced" and profile.dedup_scope == "all"
        )

    @staticmethod
    def _check(condition: bool, violation: Violation) -> bool:
        return check_invariant(condition, violation.value)
