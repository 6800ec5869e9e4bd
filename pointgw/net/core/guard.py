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
    AFTER_LEAVING = "guard_attempt_after_client_left"
    AFTER_DEADLINE = "guard_attempt_after_deadline"
    TWO_OUT = "guard_two_attempts_out"
    REPEATED = "guard_repeat_may_run_twice"
    DRAINING = "guard_attempt_at_draining_server"
    REFUSED_AFTER_RUN = "guard_refusal_after_run"


@dataclass(slots=True)
class SentAttempt:
    """A request line that was written."""

    server: str
    at: float
    out: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class GuardedRequest:
    """One request, from its arrival until nothing of it is out."""

    profile: Profile
    deadline: float
    answered: bool = False
    left: bool = False
    sent: dict[int, SentAttempt] = field(default_factory=dict)


class DeliveryGuard:
    """`drain_binds_alone`: a server that is gone without having drained may still be sent to."""

    def __init__(self, drain_binds_alone: bool) -> None:
        self.drain_binds_alone = drain_binds_alone
        self.requests: dict[int, GuardedRequest] = {}
        self.binding: set[str] = set()  # servers that are to get nothing new
        self.groups: dict[str, tuple[int, int]] = {}  # by server: its zone and its cell

    # What has happened.

    def listed(self, lines: Iterable[ServerEntry], whole: bool) -> None:
        """A list, or changes to it."""
        named = set()
        for line in lines:
            named.add(line.server)
            self.groups[line.server] = line.zone, line.cell
            if line.state == "active":
                self.binding.discard(line.server)
            elif line.state == "leaving" or not self.drain_binds_alone:
                self.binding.add(line.server)
        if whole and not self.drain_binds_alone:
            self.binding.update(self.groups.keys() - named)

    def arrived(self, request: int, profile: Profile, deadline: float) -> None:
        self.requests[request] = GuardedRequest(profile, deadline)

    def left(self, request: int) -> None:
        """Its client has gone."""
        if request in self.requests:
            self.requests[request].left = True

    def answered(self, request: int) -> None:
        """Its client has its final answer, or a server's."""
        if request in self.requests:
            self.requests[request].answered = True

    def ended(self, request: int, attempt: int, ending: Ending) -> None:
        """An attempt is over, or was given up."""
        known = self.requests.get(request)
        if known is not None and attempt in known.sent:
            sent = known.sent[attempt]
            sent.out, sent.may_have_run = False, ending not in NEVER_RAN

    def forget(self, request: int) -> None:
        self.requests.pop(request, None)

    # What is about to be done.

    def may_send(self, request: int, attempt: int, server: str, now: float) -> bool:
        """Whether a request line may be written; if so it counts as sent."""
        known = self.requests.get(request)
        if not self._holds(known is not None, Violation.UNKNOWN_REQUEST) or known is None:
            return False
        sound = (
            self._holds(not known.answered, Violation.AFTER_ANSWER)
            and self._holds(not known.left, Violation.AFTER_LEAVING)
            and self._holds(now < known.deadline, Violation.AFTER_DEADLINE)
            and self._holds(not any(sent.out for sent in known.sent.values()), Violation.TWO_OUT)
            and self._holds(self._may_repeat(known, server, now), Violation.REPEATED)
            and self._holds(server not in self.binding, Violation.DRAINING)
        )
        if sound:
            known.sent[attempt] = SentAttempt(server, now)
        return sound

    def may_refuse(self, request: int) -> bool:
        """Whether its client may be told that another try is harmless."""
        known = self.requests.get(request)
        return known is None or self._holds(self._may_refuse(known), Violation.REFUSED_AFTER_RUN)

    def _may_repeat(self, known: GuardedRequest, server: str, now: float) -> bool:
        profile = known.profile
        first = next((sent for sent in known.sent.values() if sent.may_have_run), None)
        if first is None or profile.semantics == "repeatable":
            return True
        if profile.semantics == "once-only" or now >= first.at + profile.dedup_window:
            return False
        (zone, cell), (first_zone, first_cell) = self.groups[server], self.groups[first.server]
        return {"all": True, "zone": zone == first_zone, "cell": cell == first_cell}[profile.dedup_scope]

    @staticmethod
    def _may_refuse(known: GuardedRequest) -> bool:
        profile = known.profile
        if not any(sent.may_have_run for sent in known.sent.values()):
            return True
        return profile.semantics == "repeatable" or (
            profile.semantics == "referenced" and profile.dedup_scope == "all"
        )

    @staticmethod
    def _holds(condition: bool, violation: Violation) -> bool:
        return check_invariant(condition, violation.value)
