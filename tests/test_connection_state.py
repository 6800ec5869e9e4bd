from __future__ import annotations

import pytest

from pointgw.net.run.connection_state import TRANSITIONS, ConnectionLifecycle, ConnectionState, DeliveryState


def lifecycle_after(*states: ConnectionState) -> ConnectionLifecycle:
    lifecycle = ConnectionLifecycle(states[0])
    for state in states[1:]:
        lifecycle.transition_to(state)
    return lifecycle


@pytest.mark.parametrize(
    ("states", "delivery", "timeout_ending", "disconnect_ending"),
    [
        ((ConnectionState.CONNECTING,), DeliveryState.NOT_SENT, "no-connection", "no-connection"),
        (
            (ConnectionState.CONNECTING, ConnectionState.REQUEST_SENT),
            DeliveryState.MAY_HAVE_RUN,
            "timeout",
            "reset",
        ),
        (
            (ConnectionState.CONNECTING, ConnectionState.REQUEST_SENT, ConnectionState.ANSWERED),
            DeliveryState.RAN,
            "timeout",
            "reset",
        ),
        (
            (
                ConnectionState.CONNECTING,
                ConnectionState.REQUEST_SENT,
                ConnectionState.ANSWERED,
                ConnectionState.RELAYING,
            ),
            DeliveryState.RAN,
            "timeout",
            "reset",
        ),
    ],
)
def test_how_a_setup_ends_follows_from_what_was_written(
    states: tuple[ConnectionState, ...],
    delivery: DeliveryState,
    timeout_ending: str,
    disconnect_ending: str,
) -> None:
    lifecycle = lifecycle_after(*states)
    assert (lifecycle.delivery, lifecycle.timeout_ending(), lifecycle.disconnect_ending()) == (
        delivery,
        timeout_ending,
        disconnect_ending,
    )
    lifecycle.transition_to(ConnectionState.CLOSED)  # the delivery state is kept
    assert lifecycle.is_closing and lifecycle.delivery is delivery


def test_no_transition_follows_the_end_and_none_skips_a_state() -> None:
    assert TRANSITIONS[ConnectionState.CLOSED] == () and TRANSITIONS[ConnectionState.HALF_CLOSED] == (
        ConnectionState.CLOSED,
    )
    assert set(TRANSITIONS) == set(ConnectionState)
    for state, targets in TRANSITIONS.items():
        for other in ConnectionState:
            if other not in targets:
                with pytest.raises(ValueError, match="cannot become"):
                    ConnectionLifecycle(state).transition_to(other)


def test_only_writing_the_request_makes_it_one_that_may_have_run() -> None:
    before = [state for state, targets in TRANSITIONS.items() if ConnectionState.REQUEST_SENT in targets]
    assert before == [ConnectionState.CONNECTING]
    for state in ConnectionState:
        assert ConnectionLifecycle(state).delivery is DeliveryState.NOT_SENT
