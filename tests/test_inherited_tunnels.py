"""Tunnels that were open before this process started, while the list may be old: on a virtual clock."""

from __future__ import annotations

import pytest

from pointgw.interface import ServerEntry
from pointgw.net.core import effects
from pointgw.net.core import events as ev
from pointgw.net.core.inherited_tunnels import INHERITED_TIMEOUT_SECONDS
from pointgw.net.core.reducer import Reducer
from pointgw.net.wire.lines import EndLine, Failure
from pointgw.net.wire.server_list import DeploymentNames, ServerList
from test_reducer import make_reducer, open_request

NEW_SERVER = ServerEntry("s9", "active", 0, 9, 0, 0.0, 1.0)
WITH_NEW = ServerList(8, False, (NEW_SERVER,), (("s9", "127.0.0.9", 9009),))
WITHOUT_NEW = ServerList(8, False, (), ())
WITHOUT_ADDRESS = ServerList(8, False, (NEW_SERVER,), ())
OTHER_DISCOVERY = ev.SettingsReloaded(("127.0.0.1", 3), DeploymentNames(("a",), ("k",)))


def hand_in(
    reducer: Reducer, server: str = "s9", remaining_time: float | None = None
) -> list[effects.Effect]:
    """Client 1 hands in a tunnel that is open at the server."""
    return reducer.dispatch(ev.ClientArrived(1, open_request(server, remaining_time)), 100.0)


def awaiting_first_list() -> Reducer:
    return make_reducer()


def awaiting_list_after(event: ev.Event) -> Reducer:
    reducer = make_reducer()
    reducer.dispatch(ev.ListReceived(WITHOUT_NEW), 100.0)
    reducer.dispatch(event, 100.0)
    return reducer


STATES = [
    pytest.param(awaiting_first_list, id="start"),
    pytest.param(lambda: awaiting_list_after(OTHER_DISCOVERY), id="reload"),
    pytest.param(lambda: awaiting_list_after(ev.ListRequestFailed()), id="failed call"),
    pytest.param(lambda: awaiting_list_after(ev.ListRequestFailed(silent=True)), id="silent watch"),
]


@pytest.mark.parametrize("make", STATES)
def test_a_list_on_its_way_is_awaited_before_an_unknown_server_is_an_error(make: object) -> None:
    reducer: Reducer = make()  # type: ignore[operator]
    assert not any(isinstance(effect, effects.Reply) for effect in hand_in(reducer))
    connects = [
        effect
        for effect in reducer.dispatch(ev.ListReceived(WITH_NEW), 101.5)
        if isinstance(effect, effects.Connect)
    ]
    assert [connect.address for connect in connects] == [("127.0.0.9", 9009)]
    limit = INHERITED_TIMEOUT_SECONDS - reducer.balancer.answer_margin
    assert connects[0].timeout == pytest.approx(limit - 1.5)


@pytest.mark.parametrize("received", [WITHOUT_NEW, WITHOUT_ADDRESS])
def test_a_server_that_the_awaited_list_lacks_is_an_error_at_once(received: ServerList) -> None:
    reducer = awaiting_first_list()
    hand_in(reducer)
    assert effects.Reply(1, Failure()) in reducer.dispatch(ev.ListReceived(received), 101.5)
    assert not reducer.clients and not reducer.inherited.waiting


@pytest.mark.parametrize(("remaining_time", "limit"), [(None, 40.0), (4294967.0, 40.0), (3.0, 3.0)])
def test_a_request_that_waits_for_a_list_is_answered_once_before_its_deadline(
    remaining_time: float | None, limit: float
) -> None:
    # Guards against an answer at the deadline itself, which reaches its client after it has given up.
    reducer = awaiting_first_list()
    margin = reducer.balancer.answer_margin
    (timer,) = hand_in(reducer, "s9", remaining_time)
    assert isinstance(timer, effects.SetAnswerTimer) and margin > 0.0
    assert timer.delay == pytest.approx(limit - margin)
    reducer.dispatch(ev.ListRequestFailed(), 101.0)
    assert reducer.dispatch(ev.AnswerTimerDue(1), 100.0 + timer.delay) == [effects.Reply(1, Failure())]
    assert not any(
        isinstance(effect, effects.Connect | effects.Reply)
        for effect in reducer.dispatch(ev.ListReceived(WITH_NEW), 100.1 + limit)
    )


def test_an_attempt_at_a_silent_server_ends_at_the_deadline_of_the_request() -> None:
    reducer = make_reducer()
    hand_in(reducer, "s1")
    (again,) = reducer.dispatch(ev.SetupEnded(1, 0, EndLine("no-connection", {}), False), 130.0)
    assert isinstance(again, effects.Connect)
    limit = INHERITED_TIMEOUT_SECONDS - reducer.balancer.answer_margin
    assert 130.0 + again.delay + again.timeout == pytest.approx(100.0 + limit)


@pytest.mark.parametrize("is_up", [False, True])
def test_a_server_that_has_moved_is_dialled_where_the_new_list_says(is_up: bool) -> None:
    # Guards against a dial that hangs at an address of the old list until the request's time is over.
    reducer = make_reducer()
    hand_in(reducer, "s1")
    if is_up:
        reducer.dispatch(ev.SetupConnected(1, 0), 100.1)
    moved = ServerEntry("s1", "active", 0, 1, 0, 0.0, 1.0)
    requested = reducer.dispatch(
        ev.ListReceived(ServerList(8, False, (moved,), (("s1", "127.0.0.9", 9111),))), 101.5
    )
    dialled = [effect.address for effect in requested if isinstance(effect, effects.Connect)]
    abandoned = effects.AbandonSetup(1, 0) in requested
    assert (dialled, abandoned) == (([], False) if is_up else ([("127.0.0.9", 9111)], True))
