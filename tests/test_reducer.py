from __future__ import annotations

from typing import Any

import pytest

from helpers import make_site
from pointgw.interface import Profile, ServerEntry
from pointgw.net.core import effects
from pointgw.net.core import events as ev
from pointgw.net.core.inherited_tunnels import INHERITED_TIMEOUT_SECONDS
from pointgw.net.core.list_requests import (
    FIRST_RETRY_PAUSE_SECONDS,
    LIST_DEADLINE_SECONDS,
    LIST_RESPONSE_SECONDS,
    MAX_ANSWER_SECONDS,
    NEXT_REQUEST_SECONDS,
    SOCKET_SLACK_SECONDS,
    WATCH_RESPONSE_SECONDS,
)
from pointgw.net.core.reducer import STOP_ACCEPT_SECONDS, STOP_SETTLE_SECONDS, Reducer
from pointgw.net.wire.lines import Decline, EndLine, Failure, Load, OpenRequest
from pointgw.net.wire.server_list import DeploymentNames, ServerList
from pointgw.net.wire.start_up import StartUpSettings


def make_reducer(seed: int = 5, server_count: int = 2, **changes: Any) -> Reducer:
    """A reducer at time 100 with two warm servers, without probes by default; its first effects are read."""
    lines = tuple(ServerEntry(f"s{i}", "active", 0, i, 0, 0.0, 1.0) for i in range(server_count))
    known = ServerList(7, True, lines, tuple((f"s{i}", "127.0.0.9", 9000 + i) for i in range(server_count)))
    settings = make_site(**({"may_probe": False, "list_is_polled": True} | changes))
    start = StartUpSettings(
        "n0", ("127.0.0.1", 1), ("127.0.0.1", 2), seed, settings,
        DeploymentNames(("a",), ("k",)), ("chat",), ("acme",), 0.12, 256, known,
    )  # fmt: skip
    reducer = Reducer(start, 100.0)
    reducer.pop_effects()
    for server in reducer.balancer.servers.values():
        reducer.balancer.confirm_process(server)
    return reducer


def open_request(server_name: str = "", remaining_time: float | None = 3.0, name: str = "id") -> OpenRequest:
    return OpenRequest(name, "key", "chat", "acme", "", remaining_time, False, server_name, b"OPEN", b"")


def arrive(
    reducer: Reducer, client: int = 1, now: float = 100.0, server_name: str = ""
) -> list[effects.Effect]:
    return reducer.dispatch(ev.ClientArrived(client, open_request(server_name, name=f"id{client}")), now)


def opened(reducer: Reducer, client: int = 1) -> None:
    arrive(reducer, client)
    assert reducer.dispatch(ev.SetupOpened(client, 0), 100.1) == [effects.RelayTunnel(client, 0)]


def test_an_arriving_tunnel_is_set_up_within_the_attempt_timeout() -> None:
    (connect,) = arrive(make_reducer())
    assert isinstance(connect, effects.Connect)
    assert (connect.client, connect.setup, connect.remaining_time, connect.timeout) == (1, 0, 0.5, 0.5)
    assert connect.connect_timeout == 0.12


def test_a_failed_setup_is_retried_at_another_server() -> None:
    reducer = make_reducer()
    (first,) = arrive(reducer)
    (second,) = reducer.dispatch(ev.SetupEnded(1, 0, EndLine("no-connection", {}), False), 100.2)
    assert isinstance(first, effects.Connect) and isinstance(second, effects.Connect)
    assert second.setup == 1 and second.address != first.address


def test_a_once_only_tunnel_that_may_have_run_is_closed_with_error() -> None:
    # Guards rule 2 on sockets: a reset after the line's last byte may have run.
    reducer = make_reducer(profiles=(Profile("once-only", "all", 5.0, 0.5, 3.0, 1.0),))
    arrive(reducer)
    assert reducer.dispatch(ev.SetupEnded(1, 0, EndLine("reset", {}), True), 100.2) == [
        effects.Reply(1, Failure())
    ]
    assert not reducer.clients and not reducer.client_of


def test_a_client_that_leaves_before_its_answer_is_cancelled_at_once() -> None:
    reducer = make_reducer()
    arrive(reducer)
    assert reducer.dispatch(ev.ClientLeft(1, False), 100.1) == [effects.AbandonSetup(1, 0)]
    assert not reducer.clients
    # Guards against a server's answer that arrives after the client has left.
    assert reducer.dispatch(ev.SetupOpened(1, 0), 100.2) == [effects.AbandonSetup(1, 0)]


def test_a_queued_tunnel_gets_one_answer_before_its_client_gives_up() -> None:
    reducer = make_reducer()
    reducer.dispatch(ev.ListReceived(ServerList(8, True, (), ())), 100.0)
    arrive(reducer)
    answers: list[effects.Effect] = []
    for i in range(40):
        answers += [
            e for e in reducer.dispatch(ev.TimerDue(), 100.1 + i * 0.1) if isinstance(e, effects.Reply)
        ]
    assert answers == [effects.Reply(1, Decline(1.0))] and not reducer.clients


def test_an_open_tunnel_ends_as_its_server_ends_it() -> None:
    reducer = make_reducer()
    opened(reducer)
    assert reducer.dispatch(ev.SetupEnded(1, 0, EndLine("reset", {}), True), 101.0) == [
        effects.CloseClient(1, True)
    ]
    assert not reducer.clients and reducer.dispatch(ev.ClientLeft(1, False), 101.1) == []


def test_an_open_tunnel_ends_as_its_client_ends_it() -> None:
    reducer = make_reducer()
    opened(reducer)
    assert reducer.dispatch(ev.ClientLeft(1, True), 101.0) == [effects.AbandonSetup(1, 0, True)]
    assert not reducer.clients and not any(server.tunnels for server in reducer.balancer.servers.values())


def test_tunnels_of_a_silent_server_are_migrated() -> None:
    # Guards against machines that vanish: their connections stay open and deliver nothing.
    reducer = make_reducer()
    opened(reducer)
    assert reducer.dispatch(ev.ServerSlow(1, 3.9, True), 104.0) == []
    assert reducer.dispatch(ev.ServerSlow(1, 4.1, True), 104.2) == [effects.MigrateClient(1, 0)]
    assert not reducer.clients


def test_a_tunnel_from_before_the_start_goes_to_its_server() -> None:
    reducer = make_reducer()
    (connect,) = arrive(reducer, server_name="s1")
    assert isinstance(connect, effects.Connect)
    assert connect.address == ("127.0.0.9", 9001) and connect.remaining_time is None
    (again,) = reducer.dispatch(ev.SetupEnded(1, 0, EndLine("no-connection", {}), False), 101.0)
    assert isinstance(again, effects.Connect) and again.delay > 0
    assert reducer.dispatch(ev.SetupOpened(1, 0), 102.0) == [effects.RelayTunnel(1, 0)]
    assert list(reducer.balancer.servers["s1"].tunnels) == [reducer.clients[1].tunnel]
    arrive(reducer, 2, server_name="s1")
    assert reducer.dispatch(
        ev.SetupEnded(2, 0, EndLine("full", {}), False), 101 + INHERITED_TIMEOUT_SECONDS
    ) == [effects.Reply(2, Failure())]


@pytest.mark.parametrize(
    "line",
    [
        open_request(server_name="s9"),
        OpenRequest("id", "key", "other", "acme", "", 3.0, False, "", b"OPEN", b""),
    ],
)
def test_a_profile_or_server_that_a_current_list_lacks_is_closed_with_error(line: OpenRequest) -> None:
    reducer = make_reducer()
    reducer.dispatch(ev.ListReceived(ServerList(8, False, (), ())), 100.0)
    assert reducer.dispatch(ev.ClientArrived(1, line), 100.0) == [effects.Reply(1, Failure())]
    assert not reducer.clients


def test_a_tunnel_name_in_use_is_closed_with_error() -> None:
    # Guards against ejected servers: each fails such a tunnel, and all would be ejected.
    reducer = make_reducer()
    opened(reducer)
    assert reducer.dispatch(ev.ClientArrived(2, open_request(name="id1")), 100.2) == [
        effects.Reply(2, Failure())
    ]
    reducer.dispatch(ev.ClientLeft(1, False), 100.3)
    assert isinstance(
        reducer.dispatch(ev.ClientArrived(3, open_request(name="id1")), 100.4)[0], effects.Connect
    )


@pytest.mark.parametrize(("remaining_time", "expected"), [(1e17, 3.0), (2.0, 2.0), (None, 3.0)])
def test_no_tunnel_waits_longer_than_its_profile_says(remaining_time: float | None, expected: float) -> None:
    # Guards against a client that would be queued forever.
    reducer = make_reducer()
    reducer.dispatch(ev.ClientArrived(1, open_request(remaining_time=remaining_time)), 100.0)
    assert reducer.clients[1].tunnel.deadline == pytest.approx(100.0 + expected, abs=0.05)


def test_the_time_that_a_request_waited_to_be_started_is_not_given_again() -> None:
    # Guards against an answer after the client's deadline where requests come faster than they are started.
    reducer = make_reducer()
    reducer.dispatch(ev.ClientArrived(1, open_request(remaining_time=2.0), received_at=99.5), 100.0)
    assert reducer.clients[1].tunnel.deadline == pytest.approx(101.5, abs=0.05)
    reducer.dispatch(ev.ClientArrived(2, open_request("s-0", 2.0, "inherited"), received_at=98.5), 100.0)
    assert reducer.inherited.requests[2].deadline == pytest.approx(100.5, abs=0.05)
    late = reducer.dispatch(ev.ClientArrived(3, open_request("", 2.0, "late"), received_at=98.9), 100.0)
    assert late == [effects.Reply(3, Decline(1.0), "started_late")]


def test_a_reload_requests_the_full_list_from_another_discovery() -> None:
    # Guards against a list that is never updated again, as another discovery numbers its versions anew.
    reducer = make_reducer()
    names = DeploymentNames(("a",), ("k",))
    # Same address: the watch continues.
    assert reducer.dispatch(ev.SettingsReloaded(("127.0.0.1", 2), names), 100.5) == []
    other = ("127.0.0.1", 3)
    assert reducer.dispatch(ev.SettingsReloaded(other, names), 101.0) == [
        effects.SwitchDiscovery(other, names),
        effects.RequestList(None, 0.0),
    ]
    forgotten = [effects.ForgetServer(server.name) for server in reducer.balancer.active_servers]
    assert len(forgotten) == 2
    assert reducer.dispatch(ev.ListReceived(ServerList(2, True, (), ())), 101.1) == [
        effects.RequestList(2, reducer.list_requests.watch_wait),
        *forgotten,
    ]


def test_the_watch_continues_after_each_answer_with_one_request_at_a_time() -> None:
    reducer = make_reducer()
    reducer.watch_list()  # the first request is still in progress
    assert reducer.pop_effects() == []
    requested = reducer.dispatch(ev.ListReceived(ServerList(9, False, (), ())), 100.5)
    assert requested == [effects.RequestList(9, reducer.list_requests.watch_wait)]
    failed = reducer.dispatch(ev.ListRequestFailed(), 101.0)
    again = failed + [e for i in range(30) for e in reducer.dispatch(ev.TimerDue(), 101 + i * 0.2)]
    assert [(e.version, e.wait) for e in again if isinstance(e, effects.RequestList)] == [(9, 0.0)]


@pytest.mark.parametrize("request_seconds", [0.0, 0.5, 2.0, 3.0, LIST_RESPONSE_SECONDS])
def test_a_reachable_discoverys_list_is_received_before_its_deadline_whatever_failed_before(
    request_seconds: float,
) -> None:
    # Discovery becomes reachable just after a request was sent that fails: the next answer is in time.
    reducer = make_reducer()
    now = 101.0
    pauses: list[float] = []
    for _ in range(9):
        (request,) = [
            e for e in reducer.dispatch(ev.ListRequestFailed(), now) if isinstance(e, effects.RequestList)
        ]
        assert request.wait == 0.0
        if pauses:  # the request before was sent `request_seconds` seconds ago
            answered_after = request_seconds + request.delay + MAX_ANSWER_SECONDS
            assert answered_after <= LIST_DEADLINE_SECONDS + SOCKET_SLACK_SECONDS + 1e-9
        pauses.append(request.delay)
        now += request.delay + request_seconds
    longest_pause = NEXT_REQUEST_SECONDS - request_seconds
    if longest_pause > 0.0:  # otherwise the deadline leaves no time for a pause
        assert len(set(pauses)) == len(pauses)
    if request_seconds < 1.0:  # a discovery that refuses requests at once is spared
        assert pauses[0] <= FIRST_RETRY_PAUSE_SECONDS and sum(pauses[-4:]) / 4 > 0.6 * longest_pause
    reducer.dispatch(ev.ListReceived(ServerList(9, False, (), ())), now)
    (request,) = [
        e for e in reducer.dispatch(ev.ListRequestFailed(), now + 60.0) if isinstance(e, effects.RequestList)
    ]
    # A broken watch: balancers must not all request again at once.
    assert 0.0 < request.delay <= FIRST_RETRY_PAUSE_SECONDS


def test_a_silent_watch_is_noticed_within_the_list_poll_interval() -> None:
    # Guards against a list that is stale for tens of seconds while discovery sends nothing.
    reducer = make_reducer()
    assert 0 < reducer.list_requests.watch_wait + WATCH_RESPONSE_SECONDS < reducer.balancer.list_poll_interval


def test_a_list_that_the_policy_fails_on_does_not_end_the_watch() -> None:
    reducer = make_reducer()
    bad = ServerList(9, False, (None,), ())  # type: ignore[arg-type]
    with pytest.raises(AttributeError):
        reducer.dispatch(ev.ListReceived(bad), 100.5)
    assert reducer.pop_effects() == [effects.RequestList(9, reducer.list_requests.watch_wait)]


def test_a_timer_that_fires_early_is_set_again() -> None:
    # Guards against a loop whose clock is coarser than ours: a lost timer would stop everything timed.
    reducer = make_reducer()
    due = reducer.timer_due_at
    (timer,) = reducer.dispatch(ev.TimerDue(), due - 0.001)
    assert isinstance(timer, effects.SetTimer) and timer.delay == pytest.approx(0.001)
    reducer.dispatch(ev.TimerDue(), due)
    assert reducer.timer_due_at > due


def test_loads_and_probes_reach_the_policy() -> None:
    reducer = make_reducer(may_probe=True)
    requested = arrive(reducer)
    assert isinstance(requested[0], effects.Probe)
    issued = reducer.dispatch(ev.ProbeEnded(requested[0].server, "ok", {"load": 0.2}), 100.1)
    assert isinstance(issued[0], effects.Probe | effects.Connect)
    reducer.dispatch(ev.LoadReported(1, Load(5e4)), 100.2)
    assert reducer.clients[1].tunnel.load == pytest.approx(0.05)
    reducer.dispatch(ev.ProbeEnded("s1", "ok", {"load": 0.3}), 100.3)
    assert reducer.balancer.servers["s1"].reported_load == 0.3


def test_a_planned_stop_migrates_all_tunnels_before_the_process_may_be_killed() -> None:
    reducer = make_reducer()
    for client in range(7):
        opened(reducer, client)
    now, migrated, late = 100.2, 0, None
    reducer.dispatch(ev.StopRequested(), now)
    for _ in range(60):
        now += 0.1
        issued = reducer.dispatch(ev.StopRequested(), now)
        migrations = sum(isinstance(e, effects.MigrateClient) for e in issued)
        # Guards against clients that come back to this balancer.
        assert not migrations or now - 100.2 >= STOP_ACCEPT_SECONDS - 0.01
        migrated += migrations
        if migrated and late is None:
            late = reducer.dispatch(ev.ClientArrived(99, open_request()), now)
        if any(isinstance(e, effects.ExitProcess) for e in issued):
            break
    assert migrated == 7 and late == [effects.Reply(99, Decline(0.0))]
    assert now - 100.2 < 3.0 + 0.7


def test_balancers_that_stop_at_once_spread_their_migrations_over_the_time_they_have() -> None:
    # Guards against balancers with few tunnels each that migrate one every 0.1 s: all were migrated in the
    # first 0.3 s, and a service that servers query at a setup (a session store) got a tenth of the fleet's
    # clients at once.
    migrated_at: list[float] = []
    for seed in range(40):
        reducer = make_reducer(seed=seed)
        for client in range(3):
            opened(reducer, client)
        for step in range(60):
            issued = reducer.dispatch(ev.StopRequested(), 100.2 + step * 0.1)
            migrated_at += [step * 0.1] * sum(isinstance(e, effects.MigrateClient) for e in issued)
            if any(isinstance(e, effects.ExitProcess) for e in issued):
                break
    assert (
        len(migrated_at) == 120
        and min(migrated_at) >= STOP_ACCEPT_SECONDS - 0.01
        and max(migrated_at) < 3.0 + 0.7 - STOP_SETTLE_SECONDS
    )
    span = max(migrated_at) - STOP_ACCEPT_SECONDS
    busiest = max(sum(begin <= t < begin + span / 4 for t in migrated_at) for begin in migrated_at)
    assert span > 0.8 * (3.0 + 0.7 - STOP_ACCEPT_SECONDS - STOP_SETTLE_SECONDS) and busiest <= 0.4 * len(
        migrated_at
    ), sorted(migrated_at)


def test_a_stop_answers_clients_still_being_set_up() -> None:
    reducer = make_reducer()
    arrive(reducer)
    issued = [e for i in range(60) for e in reducer.dispatch(ev.StopRequested(), 100.0 + i * 0.1)]
    assert [e for e in issued if isinstance(e, effects.AbandonSetup | effects.Reply)] == [
        effects.AbandonSetup(1, 0),
        effects.Reply(1, Decline(0.0)),
    ]
    assert reducer.clients == {} and any(isinstance(e, effects.ExitProcess) for e in issued)


def test_a_pushed_list_is_watched_from_the_start_and_requested_again_within_the_drain_grace() -> None:
    # Guards rule 3: what the agent has counts as known at once, whether or not a watch is open.
    lines = tuple(ServerEntry(f"s{i}", "active", 0, i, 0, 0.0, 1.0) for i in range(2))
    known = ServerList(7, True, lines, tuple((f"s{i}", "127.0.0.9", 9000 + i) for i in range(2)))
    start = StartUpSettings(
        "n0", ("127.0.0.1", 1), ("127.0.0.1", 2), 5, make_site(may_probe=False, list_is_polled=False),
        DeploymentNames(("a",), ("k",)), ("chat",), ("acme",), 0.12, 256, known, drain_grace=0.4,
    )  # fmt: skip
    reducer = Reducer(start, 100.0)
    assert effects.RequestList(7, 0.0) in reducer.pop_effects()
    for _ in range(5):
        requests = [
            e for e in reducer.dispatch(ev.ListRequestFailed(), 101.0) if isinstance(e, effects.RequestList)
        ]
        assert len(requests) == 1 and requests[0].delay < 0.4
    server_list = ServerList(8, False, (lines[0]._replace(state="leaving"),), ())
    assert any(
        isinstance(e, effects.RequestList) and e.wait > 0
        for e in reducer.dispatch(ev.ListReceived(server_list), 102.0)
    )
    (connect,) = [e for e in arrive(reducer, now=102.0) if isinstance(e, effects.Connect)]
    assert connect.address == ("127.0.0.9", 9001)


def test_after_a_reload_failed_requests_start_again_with_short_pauses() -> None:
    # Guards rule 3: the new discovery's list counts as known four seconds after the signal.
    reducer = make_reducer()
    for now in (100.1, 101.0, 103.0, 107.0, 113.0):
        reducer.dispatch(ev.ListRequestFailed(), now)
        reducer.list_requests.in_progress = False
    reducer.dispatch(ev.SettingsReloaded(("127.0.0.1", 3), DeploymentNames(("a",), ("k",))), 120.0)
    now, requests = 120.0, 0
    while now < 124.0:
        (request,) = [
            e for e in reducer.dispatch(ev.ListRequestFailed(), now) if isinstance(e, effects.RequestList)
        ]
        now, requests = now + request.delay, requests + 1
    assert requests >= 4
