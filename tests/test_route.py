"""Attribution of failed connections to the server or to this machine."""

from __future__ import annotations

import errno

import pytest

from pointgw.net.core.route import FAILURE_MEMORY_SECONDS, LOCAL_FAULT_ERRNOS, ROUTE_ERRNOS, RouteEvidence

A, B, C = ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3)


def failure(
    route: RouteEvidence, address: tuple[str, int], now: float, number: int = errno.ENETUNREACH
) -> str:
    return route.failure_ending(OSError(number, ""), address, now)


@pytest.mark.parametrize("number", sorted(LOCAL_FAULT_ERRNOS))
def test_a_local_fault_is_never_attributed_to_a_server(number: int) -> None:
    route = RouteEvidence()
    for now in range(5):
        route.record_connected(B, float(now))
        assert failure(route, A, now + 0.5, number) == "moot"


@pytest.mark.parametrize("number", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.ECONNRESET])
def test_a_refused_or_lost_connection_is_attributed_to_the_server(number: int) -> None:
    assert failure(RouteEvidence(), A, 1.0, number) == "no-connection"


@pytest.mark.parametrize("number", sorted(ROUTE_ERRNOS))
def test_no_route_to_any_server_is_not_attributed_to_a_server(number: int) -> None:
    route = RouteEvidence()
    route.record_connected(A, 1.0)
    route.record_connected(B, 1.1)
    for now in (1.2, 1.4, 1.6):
        assert {failure(route, address, now, number) for address in (A, B, C)} == {"moot"}


def test_no_route_to_one_server_while_another_is_reached_is_attributed_to_it() -> None:
    route = RouteEvidence()
    assert failure(route, A, 1.0) == "moot"  # a first failure may be of either kind
    route.record_connected(A, 1.05)
    assert failure(route, A, 1.1) == "moot"  # only the server itself was reached since
    route.record_connected(B, 1.2)
    assert failure(route, A, 1.3) == "no-connection"
    assert failure(route, A, 1.4) == "moot"  # no server was reached since
    route.record_connected(C, 1.5)
    route.record_connected(A, 1.6)
    assert failure(route, A, 1.7) == "moot"
    route.record_connected(B, 1.8)
    assert failure(route, A, 1.7 + FAILURE_MEMORY_SECONDS + 0.2) == "moot"
