"""Whose fault a failed connection is."""

from __future__ import annotations

import errno

import pytest

from pointgw.net.core.route import FAILURE_MEMORY_SECONDS, LOCAL_FAULT_ERRNOS, ROUTE_ERRNOS, RouteEvidence

A, B, C = ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3)


def fails(route: RouteEvidence, address: tuple[str, int], now: float, number: int = errno.ENETUNREACH) -> str:
    return route.failure_ending(OSError(number, ""), address, now)


@pytest.mark.parametrize("number", sorted(LOCAL_FAULT_ERRNOS))
def test_a_lack_of_our_own_is_never_a_servers_fault(number: int) -> None:
    route = RouteEvidence()
    for now in range(5):
        route.record_connected(B, float(now))
        assert fails(route, A, now + 0.5, number) == "moot"


@pytest.mark.parametrize("number", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.ECONNRESET])
def test_what_a_server_says_is_its_own(number: int) -> None:
    assert fails(RouteEvidence(), A, 1.0, number) == "no-connection"


@pytest.mark.parametrize("number", sorted(ROUTE_ERRNOS))
def test_no_route_to_any_server_is_no_servers_fault(number: int) -> None:
    route = RouteEvidence()
    route.record_connected(A, 1.0)
    route.record_connected(B, 1.1)
    for now in (1.2, 1.4, 1.6):
        assert {fails(route, address, now, number) for address in (A, B, C)} == {"moot"}


def test_no_route_to_one_server_while_another_is_reached_is_held_against_it() -> None:
    route = RouteEvidence()
    assert fails(route, A, 1.0) == "moot"  # the first may be the beginning of either
    route.record_connected(A, 1.05)
    assert fails(route, A, 1.1) == "moot"  # it was reached itself since
    route.record_connected(B, 1.2)
    assert fails(route, A, 1.3) == "no-connection"
    assert fails(route, A, 1.4) == "moot"  # nobody was reached since
    route.record_connected(C, 1.5)
    route.record_connected(A, 1.6)
    assert fails(route, A, 1.7) == "moot"
    route.record_connected(B, 1.8)
    assert fails(route, A, 1.7 + FAILURE_MEMORY_SECONDS + 0.2) == "moot"
