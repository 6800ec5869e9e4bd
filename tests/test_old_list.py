"""Requests and servers while the known list is empty or outdated and a newer one is on its way."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from cluster_world import SimulatedCluster
from helpers import RecordingHost, make_site
from pointgw.cluster.transport import ClusterTransport
from pointgw.interface import ServerEntry
from pointgw.net.core import effects
from pointgw.net.core import events as ev
from pointgw.net.core.reducer import Reducer
from pointgw.net.run.cluster import ClusterRunner
from pointgw.net.wire.lines import EndLine
from pointgw.net.wire.server_list import DeploymentNames, ServerList
from pointgw.policy import Balancer
from test_reducer import arrive, make_reducer

CLIENT_TIMEOUT = 3.0  # of the reducer's profile; half of it is the longest wait for a full server
NEW_PORT = 9009
NEW_SERVER = ServerList(
    8, True, (ServerEntry("s9", "active", 0, 9, 0, 0.0, 1.0),), (("s9", "127.0.0.9", NEW_PORT),)
)


def carry_out(reducer: Reducer, requested: list[effects.Effect], now: float) -> list[effects.Reply]:
    """Refuses each connection to a server of the old list; returns the answers to clients."""
    answers = []
    while requested:
        effect = requested.pop(0)
        if isinstance(effect, effects.Reply):
            answers.append(effect)
        elif isinstance(effect, effects.Connect) and effect.address[1] != NEW_PORT:
            refused = ev.SetupEnded(effect.client, effect.setup, EndLine("no-connection", {}), False)
            requested += reducer.dispatch(refused, now)
    return answers


def run_timers(reducer: Reducer, begin: float, end: float) -> list[effects.Reply]:
    """Fires a timer each 50 ms from `begin` to `end`; returns the answers to clients."""
    times = [begin + 0.05 * step for step in range(round((end - begin) / 0.05))]
    return [
        answer for now in times for answer in carry_out(reducer, reducer.dispatch(ev.TimerDue(), now), now)
    ]


@pytest.mark.parametrize("known", [0, 1, 2])
@pytest.mark.parametrize("retry_budget", [0.0, 9.0])
def test_a_request_waits_for_a_list_while_no_known_server_is_usable(known: int, retry_budget: float) -> None:
    # Guards against a refusal at half of the client's time, or once retries or setups are used up at servers
    # that have gone, although the list comes within that time.
    reducer = make_reducer(server_count=known)
    reducer.balancer.retry_budget = retry_budget
    assert carry_out(reducer, arrive(reducer), 100.0) == []
    assert run_timers(reducer, 100.0, 102.0) == []
    reducer.dispatch(ev.ListReceived(NEW_SERVER), 102.0)
    assert run_timers(reducer, 102.0, 102.3) == []
    assert reducer.clients[1].tunnel.setups[-1].server.name == "s9"


@pytest.mark.parametrize(
    ("event", "polled"),
    [
        (ev.ListRequestFailed(), True),
        (ev.ListRequestFailed(), False),
        (ev.ListRequestFailed(silent=True), True),
        (ev.SettingsReloaded(("127.0.0.1", 3), DeploymentNames(("a",), ("k",))), True),
    ],
)
def test_a_request_waits_for_a_list_after_a_failed_call_and_a_reload(event: ev.Event, polled: bool) -> None:
    reducer = make_reducer(server_count=0, list_is_polled=polled)
    reducer.dispatch(ev.ListReceived(ServerList(8, True, (), ())), 100.0)
    reducer.dispatch(event, 100.0)
    arrive(reducer)
    assert run_timers(reducer, 100.0, 102.0) == []
    reducer.dispatch(ev.ListReceived(NEW_SERVER), 102.0)
    assert run_timers(reducer, 102.0, 102.3) == [] and reducer.clients[1].tunnel.setups


def test_a_request_that_waits_for_a_list_is_refused_with_time_left() -> None:
    reducer = make_reducer(server_count=0)
    arrive(reducer)
    answers = run_timers(reducer, 100.0, 100.0 + CLIENT_TIMEOUT - 0.15)
    assert [type(answer) for answer in answers] == [effects.Reply] and not reducer.clients


def test_with_a_current_list_a_request_waits_for_half_of_its_time() -> None:
    reducer = make_reducer(server_count=0)
    reducer.dispatch(ev.ListReceived(ServerList(8, True, (), ())), 100.0)
    arrive(reducer)
    assert len(run_timers(reducer, 100.0, 100.0 + CLIENT_TIMEOUT / 2 + 0.2)) == 1


def entry(name: str) -> ServerEntry:
    """A server of cell 0 that started long ago."""
    return ServerEntry(name, "active", 0, 0, 0, 0.0, 1.0)


@pytest.mark.parametrize(
    ("confirmed", "still_listed", "cold"),
    [(False, False, False), (False, True, True), (True, False, True)],
)
def test_servers_that_have_gone_do_not_make_the_listed_ones_of_their_cell_cold(
    confirmed: bool, still_listed: bool, cold: bool
) -> None:
    # Guards against requests that are refused for a warm-up window after a start with an old list. Where the
    # servers without a process were confirmed before or are listed still, their cell may have lost power.
    old, new = [entry(f"o{i}") for i in range(3)], [entry(f"n{i}") for i in range(3)]
    balancer = Balancer(make_site(list_is_polled=True), RecordingHost(), Random(1), 100.0)
    balancer.update_servers(old, True, not confirmed, 100.0)
    for server in old:
        balancer.probe_ended(balancer.servers[server.server], "no-connection", {}, 100.1)
    balancer.update_servers([*new, *(old if still_listed else ())], True, False, 101.5)
    for server in new:
        balancer.probe_ended(balancer.servers[server.server], "ok", {"load": 0.0}, 101.6)
    assert all((balancer.servers[server.server].warm_at > 102.0) is cold for server in new)


def observing_runner(known: int) -> ClusterRunner:
    """A member of a cluster of six whose balancer has so many servers in its old list."""
    node = SimulatedCluster(6).nodes[0]
    runner = ClusterRunner(node.settings, node.keys, (), ("", 0), "", ("a", "b", "c"), ("x", "y"))
    unused_loop = asyncio.new_event_loop()
    runner.transport = ClusterTransport(node, (), unused_loop, lambda now: None, lambda now: None)
    unused_loop.close()
    runner.reducer = make_reducer(server_count=known)
    return runner


@pytest.mark.parametrize("known", [0, 2])
def test_a_list_that_is_not_confirmed_is_no_observation_of_a_zone_without_capacity(known: int) -> None:
    # Guards against zones that are closed by agreement as most balancers restart with an empty or old list.
    runner = observing_runner(known)
    assert runner.transport is not None and runner.reducer is not None
    for server in runner.reducer.balancer.servers.values():
        runner.reducer.balancer.probe_ended(server, "no-connection", {}, 100.0)
    runner._observe(100.0)
    assert not runner.transport.node.observations.entries
    runner.reducer.dispatch(ev.ListReceived(NEW_SERVER), 101.5)
    runner._observe(101.5)
    assert len(runner.transport.node.observations.entries) == 3
    runner.reducer.dispatch(ev.ListRequestFailed(), 102.0)
    runner._observe(103.0)
    assert runner.transport.node.observed_at == 103.0
