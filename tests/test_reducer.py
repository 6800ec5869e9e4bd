from __future__ import annotations

from typing import Any

import pytest

from helpers import make_site
from pointgw.interface import Profile, ServerEntry
from pointgw.net.core import effects
from pointgw.net.core import events as ev
from pointgw.net.core.reducer import (
    FIRST_RETRY_PAUSE_SECONDS,
    INHERITED_TIMEOUT_SECONDS,
    LIST_DEADLINE_SECONDS,
    LIST_RESPONSE_SECONDS,
    STOP_ACCEPT_SECONDS,
    STOP_SETTLE_SECONDS,
    WATCH_RESPONSE_SECONDS,
    Reducer,
)
from pointgw.net.wire.lines import Decline, EndLine, Failure, Load, OpenRequest
from pointgw.net.wire.server_list import Names, ServerList
from pointgw.net.wire.start_up import StartUpSettings


def reducer(seed: int = 5, **changes: Any) -> Reducer:
    """At time 100, with two servers, known to be warm, and no probes unless asked for; its first effects are
    read."""
    lines = tuple(ServerEntry(f"s{i}", "active", 0, i, 0, 0.0, 1.0) for i in range(2))
    known = ServerList(7, True, lines, tuple((f"s{i}", "127.0.0.9", 9000 + i) for i in range(2)))
    settings = make_site(**({"may_probe": False, "list_is_polled": True} | changes))
    told = StartUpSettings(
        "n0", ("127.0.0.1", 1), ("127.0.0.1", 2), seed, settings,
        Names(("a",), ("k",)), ("chat",), ("acme",), 0.12, 256, known,
    )  # fmt: skip
    red = Reducer(told, 100.0)
    red.pop_effects()
    for ep in red.balancer.servers.values():
        red.balancer.confirm_process(ep)
    return red


def opening(at: str = "", patience: float | None = 3.0, name: str = "id") -> OpenRequest:
    return OpenRequest(name, "key", "chat", "acme", "", patience, False, at, b"OPEN", b"")


def arrive(red: Reducer, client: int = 1, now: float = 100.0, at: str = "") -> list[effects.Effect]:
    return red.dispatch(ev.ClientArrived(client, opening(at, name=f"id{client}")), now)


def opened(red: Reducer, client: int = 1) -> None:
    arrive(red, client)
    assert red.dispatch(ev.SetupOpened(client, 0), 100.1) == [effects.RelayTunnel(client, 0)]


def test_an_arrival_is_set_up_within_its_setup_goal() -> None:
    (connect,) = arrive(reducer())
    assert isinstance(connect, effects.Connect)
    assert (connect.client, connect.setup, connect.remaining_time, connect.timeout) == (1, 0, 0.5, 0.5)
    assert connect.connect_timeout == 0.12


def test_a_setup_that_fails_is_made_elsewhere() -> None:
    red = reducer()
    (first,) = arrive(red)
    (second,) = red.dispatch(ev.SetupEnded(1, 0, EndLine("no-connection", {}), False), 100.2)
    assert isinstance(first, effects.Connect) and isinstance(second, effects.Connect)
    assert second.setup == 1 and second.address != first.address


def test_a_once_only_tunnel_that_may_have_run_is_closed_with_error() -> None:
    # Guards rule 2 on sockets: a reset after the line's last byte may have run.
    red = reducer(profiles=(Profile("once-only", "all", 5.0, 0.5, 3.0, 1.0),))
    arrive(red)
    assert red.dispatch(ev.SetupEnded(1, 0, EndLine("reset", {}), True), 100.2) == [
        effects.Reply(1, Failure())
    ]
    assert not red.clients and not red.client_of


def test_one_that_leaves_before_its_answer_is_cancelled_at_once() -> None:
    red = reducer()
    arrive(red)
    assert red.dispatch(ev.ClientLeft(1, False), 100.1) == [effects.AbandonSetup(1, 0)]
    assert not red.clients
    # Guards against a server's answer that crossed the client's end.
    assert red.dispatch(ev.SetupOpened(1, 0), 100.2) == [effects.AbandonSetup(1, 0)]


def test_one_that_is_held_gets_one_answer_before_its_client_gives_up() -> None:
    red = reducer()
    red.dispatch(ev.ListReceived(ServerList(8, True, (), ())), 100.0)
    arrive(red)
    answers: list[effects.Effect] = []
    for i in range(40):
        answers += [e for e in red.dispatch(ev.TimerDue(), 100.1 + i * 0.1) if isinstance(e, effects.Reply)]
    assert answers == [effects.Reply(1, Decline(1.0))] and not red.clients


def test_an_open_tunnel_ends_as_its_server_ends_it() -> None:
    red = reducer()
    opened(red)
    assert red.dispatch(ev.SetupEnded(1, 0, EndLine("reset", {}), True), 101.0) == [
        effects.CloseClient(1, True)
    ]
    assert not red.clients and red.dispatch(ev.ClientLeft(1, False), 101.1) == []


def test_an_open_tunnel_ends_as_its_client_ends_it() -> None:
    red = reducer()
    opened(red)
    assert red.dispatch(ev.ClientLeft(1, True), 101.0) == [effects.AbandonSetup(1, 0, True)]
    assert not red.clients and not any(ep.tunnels for ep in red.balancer.servers.values())


def test_a_silent_server_loses_its_tunnels() -> None:
    # Guards against machines that vanish: their connections stay open and bring nothing back.
    red = reducer()
    opened(red)
    assert red.dispatch(ev.ServerSlow(1, 3.9, True), 104.0) == []
    assert red.dispatch(ev.ServerSlow(1, 4.1, True), 104.2) == [effects.MigrateClient(1, 0)]
    assert not red.clients


def test_a_tunnel_that_stood_before_the_run_goes_to_its_server() -> None:
    red = reducer()
    (connect,) = arrive(red, at="s1")
    assert isinstance(connect, effects.Connect)
    assert connect.address == ("127.0.0.9", 9001) and connect.remaining_time is None
    (again,) = red.dispatch(ev.SetupEnded(1, 0, EndLine("no-connection", {}), False), 101.0)
    assert isinstance(again, effects.Connect) and again.delay > 0
    assert red.dispatch(ev.SetupOpened(1, 0), 102.0) == [effects.RelayTunnel(1, 0)]
    assert list(red.balancer.servers["s1"].tunnels) == [red.clients[1].tunnel]
    arrive(red, 2, at="s1")
    assert red.dispatch(ev.SetupEnded(2, 0, EndLine("full", {}), False), 101 + INHERITED_TIMEOUT_SECONDS) == [
        effects.Reply(2, Failure())
    ]


@pytest.mark.parametrize(
    "line", [opening(at="s9"), OpenRequest("id", "key", "other", "acme", "", 3.0, False, "", b"OPEN", b"")]
)
def test_what_names_nothing_known_is_closed_with_error(line: OpenRequest) -> None:
    assert reducer().dispatch(ev.ClientArrived(1, line), 100.0) == [effects.Reply(1, Failure())]


def test_the_name_of_another_clients_tunnel_is_closed_with_error() -> None:
    # Guards servers' standing: each fails such a tunnel, and all would be suspended.
    red = reducer()
    opened(red)
    assert red.dispatch(ev.ClientArrived(2, opening(name="id1")), 100.2) == [effects.Reply(2, Failure())]
    red.dispatch(ev.ClientLeft(1, False), 100.3)
    assert isinstance(red.dispatch(ev.ClientArrived(3, opening(name="id1")), 100.4)[0], effects.Connect)


@pytest.mark.parametrize(("told", "left"), [(1e17, 3.0), (2.0, 2.0), (None, 3.0)])
def test_no_tunnel_waits_longer_than_its_profile_says(told: float | None, left: float) -> None:
    # Guards against a client that would be held for good.
    red = reducer()
    red.dispatch(ev.ClientArrived(1, opening(patience=told)), 100.0)
    assert red.clients[1].tunnel.deadline == pytest.approx(100.0 + left, abs=0.05)


def test_a_reload_asks_another_discovery_for_the_whole_list() -> None:
    # Guards against a list that stays as it was, and against versions that another discovery counts anew.
    red = reducer()
    names = Names(("a",), ("k",))
    assert (
        red.dispatch(ev.SettingsReloaded(("127.0.0.1", 2), names), 100.5) == []
    )  # where it was: the watch goes on
    there = ("127.0.0.1", 3)
    assert red.dispatch(ev.SettingsReloaded(there, names), 101.0) == [
        effects.SwitchDiscovery(there, names),
        effects.RequestList(None, 0.0),
    ]
    gone = [effects.ForgetServer(server.name) for server in red.balancer.active_servers]
    assert len(gone) == 2
    assert red.dispatch(ev.ListReceived(ServerList(2, True, (), ())), 101.1) == [
        effects.RequestList(2, red.watch_wait),
        *gone,
    ]


def test_the_watch_goes_on_after_each_answer_and_one_call_is_out_at_a_time() -> None:
    red = reducer()
    red.watch_list()  # the call at the start is still out
    assert red.pop_effects() == []
    asked = red.dispatch(ev.ListReceived(ServerList(9, False, (), ())), 100.5)
    assert asked == [effects.RequestList(9, red.watch_wait)]
    failed = red.dispatch(ev.ListRequestFailed(), 101.0)
    again = failed + [e for i in range(30) for e in red.dispatch(ev.TimerDue(), 101 + i * 0.2)]
    assert [(e.version, e.wait) for e in again if isinstance(e, effects.RequestList)] == [(9, 0.0)]


@pytest.mark.parametrize("took", [0.0, 0.5, 3.0, LIST_RESPONSE_SECONDS])
def test_whatever_failed_before_what_discovery_has_is_known_before_it_counts_as_told(took: float) -> None:
    # Discovery is in reach from just after a call went out that fails: the next one's answer is in time.
    red = reducer()
    now = 101.0
    pauses: list[float] = []
    for _ in range(9):
        (call,) = [e for e in red.dispatch(ev.ListRequestFailed(), now) if isinstance(e, effects.RequestList)]
        assert call.wait == 0.0
        if pauses:  # the call before went out `took` seconds ago
            assert took + call.delay + WATCH_RESPONSE_SECONDS <= LIST_DEADLINE_SECONDS + 1e-9
        pauses.append(call.delay)
        now += call.delay + took
    assert len(set(pauses)) == len(pauses)
    if took < 1.0:  # discovery that turns calls away at once is spared
        assert pauses[0] <= FIRST_RETRY_PAUSE_SECONDS and sum(pauses[-4:]) / 4 > 2.0
    red.dispatch(ev.ListReceived(ServerList(9, False, (), ())), now)
    (call,) = [
        e for e in red.dispatch(ev.ListRequestFailed(), now + 60.0) if isinstance(e, effects.RequestList)
    ]
    assert 0.0 < call.delay <= FIRST_RETRY_PAUSE_SECONDS  # the watch broke: not all at one moment


def test_a_watch_that_falls_silent_is_noticed_within_the_ask_interval() -> None:
    # Guards against a list that stays as it was for tens of seconds while discovery says nothing.
    red = reducer()
    assert 0 < red.watch_wait + WATCH_RESPONSE_SECONDS < red.balancer.list_poll_interval


def test_a_list_that_the_module_cannot_take_does_not_end_the_watch() -> None:
    red = reducer()
    bad = ServerList(9, False, (None,), ())  # type: ignore[arg-type]
    with pytest.raises(AttributeError):
        red.dispatch(ev.ListReceived(bad), 100.5)
    assert red.pop_effects() == [effects.RequestList(9, red.watch_wait)]


def test_a_timer_that_comes_early_is_set_again() -> None:
    # Guards against a loop whose clock is coarser than ours: a lost tick would stop all that is timed.
    red = reducer()
    due = red.timer_due_at
    (wake,) = red.dispatch(ev.TimerDue(), due - 0.001)
    assert isinstance(wake, effects.SetTimer) and wake.delay == pytest.approx(0.001)
    red.dispatch(ev.TimerDue(), due)
    assert red.timer_due_at > due


def test_loads_and_probes_reach_the_module() -> None:
    red = reducer(may_probe=True)
    asked = arrive(red)
    assert isinstance(asked[0], effects.Probe)
    got = red.dispatch(ev.ProbeEnded(asked[0].server, "ok", {"load": 0.2}), 100.1)
    assert isinstance(got[0], effects.Probe | effects.Connect)
    red.dispatch(ev.LoadReported(1, Load(5e4)), 100.2)
    assert red.clients[1].tunnel.load == pytest.approx(0.05)
    red.dispatch(ev.ProbeEnded("s1", "ok", {"load": 0.3}), 100.3)
    assert red.balancer.servers["s1"].reported_load == 0.3


def test_a_planned_stop_moves_all_tunnels_before_the_process_may_be_killed() -> None:
    red = reducer()
    for client in range(7):
        opened(red, client)
    now, moved, late = 100.2, 0, None
    red.dispatch(ev.StopRequested(), now)
    for _ in range(60):
        now += 0.1
        got = red.dispatch(ev.StopRequested(), now)
        moves = sum(isinstance(e, effects.MigrateClient) for e in got)
        assert (
            not moves or now - 100.2 >= STOP_ACCEPT_SECONDS - 0.01
        )  # those that still come might be sent back here
        moved += moves
        if moved and late is None:
            late = red.dispatch(ev.ClientArrived(99, opening()), now)
        if any(isinstance(e, effects.ExitProcess) for e in got):
            break
    assert moved == 7 and late == [effects.Reply(99, Decline(0.0))]
    assert now - 100.2 < 3.0 + 0.7


def test_a_part_of_the_fleet_that_stops_at_one_moment_moves_its_tunnels_over_the_time_it_has() -> None:
    # Each has a few tunnels. One a round from each was all of them in the first three rounds, and what all
    # servers ask at a setup (a session store) was asked by a tenth of the fleet's clients at once.
    at: list[float] = []
    for seed in range(40):
        red = reducer(seed=seed)
        for client in range(3):
            opened(red, client)
        for step in range(60):
            got = red.dispatch(ev.StopRequested(), 100.2 + step * 0.1)
            at += [step * 0.1] * sum(isinstance(e, effects.MigrateClient) for e in got)
            if any(isinstance(e, effects.ExitProcess) for e in got):
                break
    assert (
        len(at) == 120 and min(at) >= STOP_ACCEPT_SECONDS - 0.01 and max(at) < 3.0 + 0.7 - STOP_SETTLE_SECONDS
    )
    span = max(at) - STOP_ACCEPT_SECONDS
    busiest = max(sum(begin <= t < begin + span / 4 for t in at) for begin in at)
    assert span > 0.8 * (3.0 + 0.7 - STOP_ACCEPT_SECONDS - STOP_SETTLE_SECONDS) and busiest <= 0.4 * len(
        at
    ), sorted(at)


def test_a_stop_answers_what_is_still_being_set_up() -> None:
    red = reducer()
    arrive(red)
    got = [e for i in range(60) for e in red.dispatch(ev.StopRequested(), 100.0 + i * 0.1)]
    assert [e for e in got if isinstance(e, effects.AbandonSetup | effects.Reply)] == [
        effects.AbandonSetup(1, 0),
        effects.Reply(1, Decline(0.0)),
    ]
    assert red.clients == {} and any(isinstance(e, effects.ExitProcess) for e in got)


def test_a_pushed_list_is_watched_from_the_start_and_asked_again_within_the_grace_of_a_telling() -> None:
    # Guards rule 3: what the agent has counts as told at once, whether or not a watch is open.
    lines = tuple(ServerEntry(f"s{i}", "active", 0, i, 0, 0.0, 1.0) for i in range(2))
    known = ServerList(7, True, lines, tuple((f"s{i}", "127.0.0.9", 9000 + i) for i in range(2)))
    told = StartUpSettings(
        "n0", ("127.0.0.1", 1), ("127.0.0.1", 2), 5, make_site(may_probe=False, list_is_polled=False),
        Names(("a",), ("k",)), ("chat",), ("acme",), 0.12, 256, known, drain_grace=0.4,
    )  # fmt: skip
    red = Reducer(told, 100.0)
    assert effects.RequestList(7, 0.0) in red.pop_effects()
    for _ in range(5):
        asks = [e for e in red.dispatch(ev.ListRequestFailed(), 101.0) if isinstance(e, effects.RequestList)]
        assert len(asks) == 1 and asks[0].delay < 0.4
    listing = ServerList(8, False, (lines[0]._replace(state="leaving"),), ())
    assert any(
        isinstance(e, effects.RequestList) and e.wait > 0
        for e in red.dispatch(ev.ListReceived(listing), 102.0)
    )
    (connect,) = [e for e in arrive(red, now=102.0) if isinstance(e, effects.Connect)]
    assert connect.address == ("127.0.0.9", 9001)


def test_after_a_reload_calls_that_fail_are_not_spaced_as_those_to_the_discovery_before() -> None:
    # What the new one has counts as told four seconds after the signal.
    red = reducer()
    for now in (100.1, 101.0, 103.0, 107.0, 113.0):
        red.dispatch(ev.ListRequestFailed(), now)
        red.list_requested = False
    red.dispatch(ev.SettingsReloaded(("127.0.0.1", 3), Names(("a",), ("k",))), 120.0)
    now, calls = 120.0, 0
    while now < 124.0:
        (ask,) = [e for e in red.dispatch(ev.ListRequestFailed(), now) if isinstance(e, effects.RequestList)]
        now, calls = now + ask.delay, calls + 1
    assert calls >= 4
