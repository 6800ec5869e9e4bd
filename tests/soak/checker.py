"""Checks the records of a soak run for violations of the balancers' invariants."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import inf, sqrt

from soak.deployment import Deployment, Effect
from soak.discovery import Change
from soak.records import Attempt, Request, Violation

ANSWER_GRACE = 0.5  # seconds; an answer later than that after its deadline counts as lost
SOCKET_SLACK = 0.05  # seconds added to each time limit for delays of sockets
LEAVING_GRACE = 0.1  # seconds after its client left in which an attempt may still start
MAX_LIST_DELAY = 6.0  # seconds after which a change counts as known while discovery is reachable
SMALL_BUDGET = 30.0  # requests below which the statistical slack is larger


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One cold start of a server."""

    server: str
    started_at: float


class Checker:
    """Checks one run. `loop_lag`: largest delay of the run's event loop; records are late by up to that."""

    def __init__(
        self, deployment: Deployment, zones: dict[str, int], cells: dict[str, int], loop_lag: float
    ) -> None:
        self.deployment, self.zones, self.cells, self.loop_lag = deployment, zones, cells, loop_lag
        self.violations: list[Violation] = []
        self.run_started_at = 0.0
        self.silent_spans: list[tuple[float, float]] = []
        self.worst: dict[str, float] = defaultdict(float)

    def check(
        self, requests: list[Request], changes: list[Change], unreachable_spans: list[tuple[float, float]],
        server_starts: list[ServerStart], balancer_starts: dict[int, list[float]],
    ) -> list[Violation]:  # fmt: skip
        """All violations in the records. `balancer_starts`: times by balancer number."""
        for request in requests:
            self._check_final_answer(request)
            self._check_repeats(request)
            self._check_attempts_after_leaving(request)
        self._check_drains(requests, changes, unreachable_spans, balancer_starts)
        self._check_slow_starts(requests, server_starts)
        return self.violations

    def _add_violation(self, rule: str, request: str, detail: str) -> None:
        self.violations.append(Violation(rule, request, detail))

    def _check_final_answer(self, request: Request) -> None:
        if request.exempt or request.left_at is not None or not request.sent_at:
            return
        answer_deadline = request.sent_at + request.timeout + ANSWER_GRACE + SOCKET_SLACK + self.loop_lag
        sent = f"sent at {request.sent_at - self.run_started_at:.2f} to n{request.balancer}"
        label, attempts = f"{request.name} ({sent})", len(request.attempts)
        if not request.answers:
            if request.closed_at is None:
                self._add_violation("lost", label, f"no answer, {attempts} attempts")
            else:
                after = request.closed_at - request.sent_at
                self._add_violation(
                    "lost", label, f"closed unanswered after {after:.3f} s, {attempts} attempts"
                )
            return
        at, line = request.answers[0]
        self.worst["answer_late"] = max(self.worst["answer_late"], at - request.sent_at - request.timeout)
        if at > answer_deadline:
            self._add_violation("lost", label, f"answered {at - request.sent_at:.3f} s after it was sent")
        if len(request.answers) > 1 and not line.startswith(b"UP "):
            self._add_violation("second answer", label, repr(request.answers[:3]))

    def _check_repeats(self, request: Request) -> None:
        request_class, earlier = request.request_class, list[Attempt]()
        for attempt in request.attempts:
            if attempt.overlaps_earlier:
                self._add_violation("two attempts out", request.name, f"at {attempt.server}")
            may_have_run = [previous for previous in earlier if not previous.never_ran]
            if may_have_run and request_class.effect is Effect.UNSAFE:
                self._add_violation("duplicate", request.name, f"unsafe, sent again to {attempt.server}")
            if may_have_run and request_class.effect is Effect.KEYED:
                self._check_keyed_repeat(request, may_have_run[0], attempt)
            earlier.append(attempt)
        if request.answers and request.answers[0][1].startswith(b"BUSY"):
            ran = any(not attempt.never_ran for attempt in request.attempts)
            refusable = request_class.effect is Effect.SAFE or (
                request_class.effect is Effect.KEYED and request_class.group == "all"
            )
            if ran and not refusable:
                self._add_violation(
                    "duplicate", request.name, f"{request_class.effect.name} refused after it may have run"
                )

    def _check_keyed_repeat(self, request: Request, first: Attempt, repeat: Attempt) -> None:
        request_class = request.request_class
        same_group = {
            "all": True,
            "zone": self.zones[first.server] == self.zones[repeat.server],
            "cell": self.cells[first.server] == self.cells[repeat.server],
        }[request_class.group]
        if not same_group:
            self._add_violation("duplicate", request.name, f"keyed, sent to another {request_class.group}")
        if repeat.read_at - first.read_at > request_class.dedup_window + SOCKET_SLACK + self.loop_lag:
            self._add_violation(
                "duplicate", request.name, f"keyed, {repeat.read_at - first.read_at:.3f} s after the first"
            )

    def _check_attempts_after_leaving(self, request: Request) -> None:
        if request.left_at is None:
            return
        for attempt in request.attempts:
            delay = attempt.first_byte_at - request.left_at
            self.worst["attempt_after_leaving"] = max(self.worst["attempt_after_leaving"], delay)
            if delay > LEAVING_GRACE + self.loop_lag:
                self._add_violation(
                    "attempt after leaving", request.name, f"{delay:.3f} s after its client left"
                )

    def _check_drains(
        self, requests: list[Request], changes: list[Change], unreachable_spans: list[tuple[float, float]],
        balancer_starts: dict[int, list[float]],
    ) -> None:  # fmt: skip
        by_server: dict[str, list[Change]] = defaultdict(list)
        for change in changes:
            by_server[change.server].append(change)
        for request in requests:
            for attempt in request.attempts:
                problem = self._drain_problem(
                    by_server[attempt.server], attempt, request, unreachable_spans, balancer_starts
                )
                if problem is not None:
                    self._add_violation("drain", request.name, f"{attempt.server}: {problem}")

    def _drain_problem(
        self, changes: list[Change], attempt: Attempt, request: Request,
        unreachable_spans: list[tuple[float, float]], balancer_starts: dict[int, list[float]],
    ) -> str | None:  # fmt: skip
        """The server's status, if the balancer had to know longer than the grace time that it was not up."""
        started_at = max(
            (at for at in balancer_starts.get(request.balancer, []) if at <= attempt.first_byte_at),
            default=-inf,
        )
        latest: tuple[float, str] | None = None
        for change in changes:
            known_at = change.notified_at.get(request.balancer, inf)
            known_at = known_at if known_at >= started_at else inf
            known_at = min(
                known_at, self._latest_known_at(max(change.changed_at, started_at), unreachable_spans)
            )
            if self.deployment.membership_mode == "automatic":
                known_at = min(
                    known_at, self._agent_known_at(max(change.changed_at, started_at), unreachable_spans)
                )
            if known_at <= attempt.first_byte_at:
                latest = (known_at, change.status)
        if latest is None or latest[1] == "up":
            return None
        delay = attempt.first_byte_at - latest[0]
        limit = self.deployment.drain_grace + SOCKET_SLACK + self.loop_lag
        self.worst["sent_after_drain"] = max(self.worst["sent_after_drain"], delay)
        return f"{latest[1]}, sent {delay:.3f} s after it was known" if delay > limit else None

    @staticmethod
    def _latest_known_at(changed_at: float, unreachable_spans: list[tuple[float, float]]) -> float:
        """When a change counts as known even if discovery has not sent it yet."""
        known_at = changed_at + MAX_LIST_DELAY
        for begin, end in unreachable_spans:
            if begin < known_at and end > changed_at:
                known_at = max(known_at, end + MAX_LIST_DELAY)
        return known_at

    def _agent_known_at(self, changed_at: float, unreachable_spans: list[tuple[float, float]]) -> float:
        """When the agent pushes a change to its balancer: at once, or when it is reachable again.

        The balancer detects silence by a single timer: a change made in a silent span, or up to
        `MAX_LIST_DELAY` after it, counts as known `MAX_LIST_DELAY` after the end of the span.
        """
        ends_of_silence = [
            end + MAX_LIST_DELAY
            for begin, end in self.silent_spans
            if begin <= changed_at < end + MAX_LIST_DELAY
        ]
        return max(
            [
                changed_at,
                *ends_of_silence,
                *(end for begin, end in unreachable_spans if begin <= changed_at < end),
            ]
        )

    def _check_slow_starts(self, requests: list[Request], server_starts: list[ServerStart]) -> None:
        deployment = self.deployment
        by_server: dict[str, list[float]] = defaultdict(list)
        for request in requests:
            for attempt in request.attempts:
                by_server[attempt.server].append(attempt.read_at)
        warm_rate = deployment.connections_per_server / deployment.warm_up
        for start in server_starts:
            arrivals = sorted(
                at
                for at in by_server[start.server]
                if start.started_at <= at <= start.started_at + deployment.warm_up
            )
            first = 0
            for last, at in enumerate(arrivals):
                while arrivals[first] < at - deployment.overload_window:
                    first += 1
                share = (
                    deployment.slow_start_share
                    + (1 - deployment.slow_start_share) * (at - start.started_at) / deployment.warm_up
                )
                allowed = deployment.overload_factor * warm_rate * share * deployment.overload_window
                slack = 3 if allowed < SMALL_BUDGET else 2
                limit = allowed + slack * sqrt(allowed) + slack
                count = last - first + 1
                self.worst["slow_start_used"] = max(self.worst["slow_start_used"], count / limit)
                if count > limit:
                    self._add_violation("slow start", start.server, f"{count} requests, {limit:.1f} allowed")
                    break
