"""The guard's rules, each broken once."""

from __future__ import annotations

from typing import Any

import pytest

from pointgw.interface import Profile, ServerEntry
from pointgw.net.core.guard import DeliveryGuard, Violation

SAFE = Profile("repeatable", "all", 0.0, 0.3, 2.0, 1.0)
KEYED = Profile("referenced", "zone", 1.0, 0.3, 2.0, 1.0)
ONCE = Profile("once-only", "cell", 0.0, 0.3, 2.0, 1.0)


def line(name: str, state: Any = "active", zone: int = 0, cell: int = 0) -> ServerEntry:
    return ServerEntry(name, state, 0, cell, zone, 0.0, 1.0)


def guard(profile: Profile, **settings: Any) -> DeliveryGuard:
    """Request 1 has arrived at time 10 and has two seconds; three servers, the last in another zone."""
    made = DeliveryGuard(**({"drain_binds_alone": False} | settings))
    made.update_servers([line("a"), line("b", cell=1), line("c", zone=1)], True)
    made.request_arrived(1, profile, 12.0)
    return made


def refuses(made: DeliveryGuard, attempt: int, server: str, now: float) -> str:
    """What the guard says of an attempt that it does not allow."""
    with pytest.raises(AssertionError) as told:
        made.may_send(1, attempt, server, now)
    return str(told.value)


@pytest.mark.parametrize("profile", [SAFE, KEYED, ONCE])
def test_a_first_attempt_is_allowed(profile: Profile) -> None:
    assert guard(profile).may_send(1, 0, "a", 10.0)


def test_nothing_is_sent_for_a_request_that_is_over() -> None:
    answered, left, late = guard(SAFE), guard(SAFE), guard(SAFE)
    answered.request_answered(1)
    left.client_left(1)
    assert refuses(answered, 0, "a", 10.0) == Violation.AFTER_ANSWER.value
    assert refuses(left, 0, "a", 10.0) == Violation.AFTER_CLIENT_LEFT.value
    assert refuses(late, 0, "a", 12.0) == Violation.AFTER_DEADLINE.value
    late.forget(1)
    assert refuses(late, 0, "a", 10.0) == Violation.UNKNOWN_REQUEST.value


def test_two_attempts_are_never_out() -> None:
    made = guard(SAFE)
    assert made.may_send(1, 0, "a", 10.0)
    assert refuses(made, 1, "b", 10.1) == Violation.TWO_IN_PROGRESS.value
    made.attempt_ended(1, 0, "timeout")
    assert made.may_send(1, 1, "b", 10.4)


@pytest.mark.parametrize("ending", ["timeout", "error", "reset", "cancelled"])
def test_what_may_have_run_is_repeated_only_where_that_is_harmless(ending: Any) -> None:
    once, keyed = guard(ONCE), guard(KEYED)
    for made in (once, keyed):
        assert made.may_send(1, 0, "a", 10.0)
        made.attempt_ended(1, 0, ending)
    assert refuses(once, 1, "a", 10.3) == Violation.UNSAFE_REPEAT.value
    assert refuses(keyed, 1, "c", 10.3) == Violation.UNSAFE_REPEAT.value  # another zone forgets its key
    assert refuses(keyed, 1, "b", 11.0) == Violation.UNSAFE_REPEAT.value  # so does its own after the window
    assert keyed.may_send(1, 1, "b", 10.9)
    for made in (once, keyed):
        with pytest.raises(AssertionError, match=Violation.REFUSED_AFTER_RUN.value):
            made.may_refuse(1)


@pytest.mark.parametrize("ending", ["full", "no-connection", "moot"])
def test_what_never_ran_is_sent_again_and_may_be_refused(ending: Any) -> None:
    made = guard(ONCE)
    assert made.may_send(1, 0, "a", 10.0)
    made.attempt_ended(1, 0, ending)
    assert made.may_refuse(1) and made.may_send(1, 1, "c", 10.3)


def test_a_server_that_drains_or_is_gone_gets_nothing() -> None:
    made = guard(SAFE)
    made.update_servers([line("a", "leaving")], False)
    assert refuses(made, 0, "a", 10.0) == Violation.DRAINING.value
    made.update_servers([line("a"), line("c")], True)  # back; the second is not on it any more
    assert refuses(made, 0, "b", 10.0) == Violation.DRAINING.value
    assert made.may_send(1, 0, "a", 10.0)


def test_where_draining_binds_alone_one_that_is_gone_may_still_be_sent_to() -> None:
    made = guard(SAFE, drain_binds_alone=True)
    made.update_servers([line("a", "left")], False)
    made.update_servers([line("a", "left"), line("c", "leaving")], True)
    assert refuses(made, 0, "c", 10.0) == Violation.DRAINING.value
    assert made.may_send(1, 0, "a", 10.0)
