"""What must hold of each request, checked against what was really asked of the sockets. No I/O, no clock.

The decisions keep these rules by their own state. The guard keeps a record of its own, of what was sent and
answered and of what lists have told, and is asked once more before each request line and each final answer.
What it refuses is not done, and counted: a count over nought is a fault of this program.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from pointgw.interface import Ending, Profile, ServerEntry
from pointgw.net.invariant import check_invariant

NEVER_RAN: frozenset[Ending] = frozenset(("full", "no-connection", "moot"))


class Violation(Enum):
    """A rule that would have been broken; its value is the name of the count."""

    UNKNOWN_REQUEST = "guard_unknown_request"
    AFTER_ANSWER = "guard_attempt_after_answer"
    AFTER_CLIENT_LEFT = "guard_attempt_after_client_left"
    AFTER_DEADLINE = "guard_attempt_after_deadline"
    TWO_IN_PROGRESS = "guard_two_attempts_out"
    UNSAFE_REPEAT = "guard_repeat_may_run_twice"
    DRAINING = "guard_attempt_at_draining_server"
    REFUSED_AFTER_RUN = "guard_refusal_after_run"


@dataclass(slots=True)
class SentAttempt:
    """A request line that was written."""

    server: str
    sent_at: float
    in_progress: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class GuardedRequest:
    """One request, from its arrival until nothing of it is out."""

    profile: Profile
    deadline: float
    answered: bool = False
    client_left: bool = False
    attempts: dict[int, SentAttempt] = field(default_factory=dict)


class DeliveryGuard:
    """`drain_binds_alone`: a server that is gone without having drained may still be sent to."""

    def __init__(self, drain_binds_alone: bool) -> None:
        self.only_draining_excludes = drain_binds_alone
        self.requests: dict[int, GuardedRequest] = {}
        self.excluded: set[str] = set()  # servers that are to get nothing new
        self.locations: dict[str, tuple[int, int]] = {}  # by server: its zone and its cell

    # What has happened.

    def update_servers(self, lines: Iterable[ServerEntry], whole: bool) -> None:
        """A list, or changes to it."""
        named = set()
        for line in lines:
            named.add(line.server)
            self.locations[line.server] = line.zone, line.cell
            if line.state == "active":
                self.excluded.discard(line.server)
            elif line.state == "leaving" or not self.only_draining_excludes:
                self.excluded.add(line.server)
        if whole and not self.only_draining_excludes:
            self.excluded.update(self.locations.keys() - named)

    def request_arrived(self, request: int, profile: Profile, deadline: float) -> None:
        self.requests[request] = GuardedRequest(profile, deadline)

    def client_left(self, request: int) -> None:
        """Its client has gone."""
        if request in self.requests:
            self.requests[request].client_left = True

    def request_answered(self, request: int) -> None:
        """Its client has its final answer, or a server's."""
        if request in self.requests:
            self.requests[request].answered = True

    def attempt_ended(self, request: int, attempt: int, ending: Ending) -> None:
        """An attempt is over, or was given up."""
        known = self.requests.get(request)
        if known is not None and attempt in known.attempts:
            sent = known.attempts[attempt]
            sent.in_progress, sent.may_have_run = False, ending not in NEVER_RAN

    def forget(self, request: int) -> None:
        self.requests.pop(request, None)

    # What is about to be done.

    def may_send(self, request: int, attempt: int, server: str, now: float) -> bool:
        """Whether a request line may be written; if so it counts as sent."""
        known = self.requests.get(request)
        if not self._check(known is not None, Violation.UNKNOWN_REQUEST) or known is None:
            return False
        sound = (
            self._check(not known.answered, Violation.AFTER_ANSWER)
            and self._check(not known.client_left, Violation.AFTER_CLIENT_LEFT)
            and self._check(now < known.deadline, Violation.AFTER_DEADLINE)
            and self._check(
                not any(sent.in_progress for sent in known.attempts.values()), Violation.TWO_IN_PROGRESS
            )
            and self._check(self._may_repeat(known, server, now), Violation.UNSAFE_REPEAT)
            and self._check(server not in self.excluded, Violation.DRAINING)
        )
        if sound:
            known.attempts[attempt] = SentAttempt(server, now)
        return sound

    def may_refuse(self, request: int) -> bool:
        """Whether its client may be told that another try is harmless."""
        known = self.requests.get(request)
        return known is None or self._check(self._is_harmless_to_refuse(known), Violation.REFUSED_AFTER_RUN)

    def _may_repeat(self, known: GuardedRequest, server: str, now: float) -> bool:
        profile = known.profile
        first = next((sent for sent in known.attempts.values() if sent.may_have_run), None)
        if first is None or profile.semantics == "repeatable":
            return True
        if profile.semantics == "once-only" or now >= first.sent_at + profile.dedup_window:
            return False
        (zone, cell), (first_zone, first_cell) = self.locations[server], self.locations[first.server]
        return {"all": True, "zone": zone == first_zone, "cell": cell == first_cell}[profile.dedup_scope]

    @staticmethod
    def _is_harmless_to_refuse(known: GuardedRequest) -> bool:
        profile = known.profile
        if not any(sent.may_have_run for sent in known.attempts.values()):
            return True
        return profile.semantics == "repeatable" or (
            profile.semantics == "referenced" and profile.dedup_scope == "all"
        )

    @staticmethod
    def _check(condition: bool, violation: Violation) -> bool:
        return check_invariant(condition, violation.value)
