"""Each rule of the delivery guard, violated once."""

from __future__ import annotations

from typing import Any

import pytest

from pointgw.interface import Profile, ServerEntry
from pointgw.net.core.guard import DeliveryGuard, Violation

SAFE = Profile("repeatable", "all", 0.0, 0.3, 2.0, 1.0)
KEYED = Profile("referenced", "zone", 1.0, 0.3, 2.0, 1.0)
ONCE = Profile("once-only", "cell", 0.0, 0.3, 2.0, 1.0)


def entry(name: str, state: Any = "active", zone: int = 0, cell: int = 0) -> ServerEntry:
    return ServerEntry(name, state, 0, cell, zone, 0.0, 1.0)


def make_guard(profile: Profile, **settings: Any) -> DeliveryGuard:
    """Request 1 arrived at time 10 with two seconds left; three servers, the last in another zone."""
    guard = DeliveryGuard(**({"only_draining_excludes": False} | settings))
    guard.update_servers([entry("a"), entry("b", cell=1), entry("c", zone=1)], True)
    guard.request_arrived(1, profile, 12.0)
    return guard


def violation(guard: DeliveryGuard, attempt: int, server: str, now: float) -> str:
    """The violation that the guard reports for an attempt it refuses."""
    with pytest.raises(AssertionError) as raised:
        guard.may_send(1, attempt, server, now)
    return str(raised.value)


@pytest.mark.parametrize("profile", [SAFE, KEYED, ONCE])
def test_a_first_attempt_is_allowed(profile: Profile) -> None:
    assert make_guard(profile).may_send(1, 0, "a", 10.0)


def test_nothing_is_sent_for_a_finished_request() -> None:
    answered, left, late = make_guard(SAFE), make_guard(SAFE), make_guard(SAFE)
    answered.request_answered(1)
    left.client_left(1)
    assert violation(answered, 0, "a", 10.0) == Violation.AFTER_ANSWER.value
    assert violation(left, 0, "a", 10.0) == Violation.AFTER_CLIENT_LEFT.value
    assert violation(late, 0, "a", 12.0) == Violation.AFTER_DEADLINE.value
    late.forget(1)
    assert violation(late, 0, "a", 10.0) == Violation.UNKNOWN_REQUEST.value


def test_nothing_is_sent_by_an_unconfirmed_list() -> None:
    guard = make_guard(SAFE)
    guard.list_valid_until = 11.0
    assert violation(guard, 0, "a", 11.0) == Violation.UNCONFIRMED_LIST.value
    assert guard.may_send(1, 0, "a", 10.9)


def test_two_attempts_are_never_in_progress() -> None:
    guard = make_guard(SAFE)
    assert guard.may_send(1, 0, "a", 10.0)
    assert violation(guard, 1, "b", 10.1) == Violation.TWO_IN_PROGRESS.value
    guard.attempt_ended(1, 0, "timeout")
    assert guard.may_send(1, 1, "b", 10.4)


@pytest.mark.parametrize("ending", ["timeout", "error", "reset", "cancelled"])
def test_an_attempt_that_may_have_run_is_repeated_only_where_harmless(ending: Any) -> None:
    once, keyed = make_guard(ONCE), make_guard(KEYED)
    for guard in (once, keyed):
        assert guard.may_send(1, 0, "a", 10.0)
        guard.attempt_ended(1, 0, ending)
    assert violation(once, 1, "a", 10.3) == Violation.UNSAFE_REPEAT.value
    # Another zone does not know the key, nor does its own after the window.
    assert violation(keyed, 1, "c", 10.3) == Violation.UNSAFE_REPEAT.value
    assert violation(keyed, 1, "b", 11.0) == Violation.UNSAFE_REPEAT.value
    assert keyed.may_send(1, 1, "b", 10.9)
    for guard in (once, keyed):
        with pytest.raises(AssertionError, match=Violation.REFUSED_AFTER_RUN.value):
            guard.may_refuse(1)


@pytest.mark.parametrize("ending", ["full", "no-connection", "moot"])
def test_an_attempt_that_never_ran_may_be_repeated_or_refused(ending: Any) -> None:
    guard = make_guard(ONCE)
    assert guard.may_send(1, 0, "a", 10.0)
    guard.attempt_ended(1, 0, ending)
    assert guard.may_refuse(1) and guard.may_send(1, 1, "c", 10.3)


def test_a_draining_or_removed_server_gets_nothing() -> None:
    guard = make_guard(SAFE)
    guard.update_servers([entry("a", "leaving")], False)
    assert violation(guard, 0, "a", 10.0) == Violation.DRAINING.value
    guard.update_servers([entry("a"), entry("c")], True)  # the second server is not listed any more
    assert violation(guard, 0, "b", 10.0) == Violation.DRAINING.value
    assert guard.may_send(1, 0, "a", 10.0)


def test_where_only_draining_excludes_a_removed_server_may_still_get_requests() -> None:
    guard = make_guard(SAFE, only_draining_excludes=True)
    guard.update_servers([entry("a", "left")], False)
    guard.update_servers([entry("a", "left"), entry("c", "leaving")], True)
    assert violation(guard, 0, "c", 10.0) == Violation.DRAINING.value
    assert guard.may_send(1, 0, "a", 10.0)
