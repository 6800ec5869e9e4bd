"""The checker reports each kind of violation, on hand-made records."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from soak.checker import Checker, ServerStart
from soak.deployment import Effect, RequestClass, draw_deployment
from soak.discovery import Change
from soak.records import Attempt, Request

SENT = 100.0
DUPLICATE = "duplicate"


def kind(effect: Effect, group: str = "all") -> RequestClass:
    return RequestClass("c", effect, group, 1.0, 0.3, 2.0)


def request(effect: Effect = Effect.SAFE, group: str = "all", **fields: Any) -> Request:
    record = Request("r", kind(effect, group), 0, 1, SENT, 2.0)
    record.answers.append((SENT + 0.1, b"UP r"))
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def attempt(server: str, at: float, **fields: Any) -> Attempt:
    return Attempt("r", server, 0, at, at, **fields)


def found(
    record: Request, changes: tuple[Change, ...] = (), starts: tuple[ServerStart, ...] = ()
) -> list[str]:
    deployment = draw_deployment(Random(1), 2, 3, 400)
    checker = Checker(deployment, {"a": 0, "b": 0, "c": 1}, {"a": 0, "b": 1, "c": 2}, 0.0)
    return [v.rule for v in checker.check([record], list(changes), [], list(starts), {0: [0.0]})]


@pytest.mark.parametrize(
    ("record", "rules"),
    [
        (request(), []),
        (request(answers=[], closed_at=SENT + 0.01), ["lost"]),
        (request(answers=[]), ["lost"]),
        (request(answers=[], exempt=True), []),
        (request(answers=[(SENT + 2.4, b"ERR")]), []),
        (request(answers=[(SENT + 2.6, b"ERR")]), ["lost"]),
        (request(answers=[(SENT, b"BUSY"), (SENT, b"UP r")]), ["second answer"]),
        (request(left_at=SENT, attempts=[attempt("a", SENT + 0.09)]), []),
        (request(left_at=SENT, attempts=[attempt("a", SENT + 0.11)]), ["attempt after leaving"]),
        (request(attempts=[attempt("a", SENT), attempt("b", SENT + 0.3)]), []),
        (request(attempts=[attempt("a", SENT, overlaps_earlier=True)]), ["two attempts out"]),
        (request(Effect.UNSAFE, attempts=[attempt("a", SENT), attempt("b", SENT + 0.3)]), [DUPLICATE]),
        (
            request(Effect.UNSAFE, attempts=[attempt("a", SENT, never_ran=True), attempt("b", SENT + 0.3)]),
            [],
        ),
        (request(Effect.KEYED, attempts=[attempt("a", SENT), attempt("c", SENT + 0.9)]), []),
        (request(Effect.KEYED, attempts=[attempt("a", SENT), attempt("c", SENT + 1.1)]), [DUPLICATE]),
        (request(Effect.KEYED, "zone", attempts=[attempt("a", SENT), attempt("c", SENT + 0.3)]), [DUPLICATE]),
        (request(Effect.KEYED, "zone", attempts=[attempt("a", SENT), attempt("b", SENT + 0.3)]), []),
        (
            request(Effect.UNSAFE, attempts=[attempt("a", SENT)], answers=[(SENT + 0.4, b"BUSY")]),
            [DUPLICATE],
        ),
    ],
)  # fmt: skip
def test_each_violation_by_a_request_is_reported(record: Request, rules: list[str]) -> None:
    assert found(record) == rules


def test_a_request_to_a_draining_server_is_reported_only_after_the_grace_time() -> None:
    grace = draw_deployment(Random(1), 2, 3, 400).drain_grace
    sent_change = Change(2, "a", "draining", SENT - 1.0, {0: SENT - 1.0})
    early = request(attempts=[attempt("a", SENT - 1.0 + grace)])
    late = request(attempts=[attempt("a", SENT - 0.9 + grace)])
    assert found(early, (sent_change,)) == [] and found(late, (sent_change,)) == ["drain"]
    unsent_change = Change(2, "a", "draining", SENT - 5.0)  # it counts as known six seconds after it was made
    assert found(request(attempts=[attempt("a", SENT + 0.9)]), (unsent_change,)) == []
    assert found(request(attempts=[attempt("a", SENT + 1.1 + grace)]), (unsent_change,)) == ["drain"]


def test_overload_of_a_server_in_slow_start_is_reported() -> None:
    many = [attempt("a", SENT + 0.01 * n) for n in range(60)]
    assert "slow start" in found(request(attempts=many), starts=(ServerStart("a", SENT),))
    assert "slow start" not in found(request(attempts=many[:5]), starts=(ServerStart("a", SENT),))
