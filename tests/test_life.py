from __future__ import annotations

import pytest

from pointgw.net.run.connection_state import TRANSITIONS, ConnectionLifecycle, ConnectionState, DeliveryState


def walk(*stages: ConnectionState) -> ConnectionLifecycle:
    life = ConnectionLifecycle(stages[0])
    for stage in stages[1:]:
        life.transition_to(stage)
    return life


@pytest.mark.parametrize(
    ("stages", "known", "late", "broken"),
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
    stages: tuple[ConnectionState, ...], known: DeliveryState, late: str, broken: str
) -> None:
    life = walk(*stages)
    assert (life.delivery, life.timeout_ending(), life.disconnect_ending()) == (known, late, broken)
    life.transition_to(ConnectionState.CLOSED)  # and stays known afterwards
    assert life.is_closing and life.delivery is known


def test_nothing_follows_an_end_and_no_step_is_left_out() -> None:
    assert TRANSITIONS[ConnectionState.CLOSED] == () and TRANSITIONS[ConnectionState.HALF_CLOSED] == (
        ConnectionState.CLOSED,
    )
    assert set(TRANSITIONS) == set(ConnectionState)
    for stage, stages in TRANSITIONS.items():
        for other in ConnectionState:
            if other not in stages:
                with pytest.raises(ValueError, match="cannot become"):
                    ConnectionLifecycle(stage).transition_to(other)


def test_only_the_write_makes_a_request_one_that_may_have_run() -> None:
    before = [stage for stage, stages in TRANSITIONS.items() if ConnectionState.REQUEST_SENT in stages]
    assert before == [ConnectionState.CONNECTING]
    for stage in ConnectionState:
        assert ConnectionLifecycle(stage).delivery is DeliveryState.NOT_SENT
