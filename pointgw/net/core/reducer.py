"""The one place where state changes: an event at a time goes in, the effects it asks for come out.

The decisions are the module's (`pointgw.policy`). This file keeps who is connected, turns events into
calls of the module, and what the module asks of its `Host` into effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from math import inf
from random import Random
from typing import TYPE_CHECKING

from pointgw.interface import Ending, Report, ServerEntry
from pointgw.net.core import effects
from pointgw.net.core.events import (
    ClientArrived,
    ClientLeft,
    Event,
    ListReceived,
    ListRequestFailed,
    LoadReported,
    ProbeEnded,
    ServerSlow,
    SettingsReloaded,
    SetupConnected,
    SetupEnded,
    SetupOpened,
    StopRequested,
    TimerDue,
)
from pointgw.net.core.guard import DeliveryGuard
from pointgw.net.core.start_times import StartTimes
from pointgw.net.invariant import check_invariant
from pointgw.net.wire.lines import Decline, Failure, OpenRequest
from pointgw.net.wire.server_list import ServerList
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer, Server, State, Tunnel

if TYPE_CHECKING:
    from pointgw.state.restore import MembershipView, RestoredState

# Where the list is pushed, the pause after a failed request, as a share of the drain grace.
PUSHED_RETRY_SHARE = 0.25
# Rule 3: the list of a reachable discovery counts as known after this time, whatever failed before.
LIST_DEADLINE_SECONDS = 6.0
# The same, in seconds after the wait of a watch (a request that discovery holds until the list changes).
WATCH_DEADLINE_SECONDS = 2.0
WATCH_RESPONSE_SECONDS = WATCH_DEADLINE_SECONDS / 2  # a reachable discovery answers within this
# Timeout of a request that does not wait. Discovery serves requests in turn and reports by itself one that
# waited too long: giving up earlier would only put each request at the end of the queue.
LIST_RESPONSE_SECONDS = LIST_DEADLINE_SECONDS - WATCH_DEADLINE_SECONDS
# Longest time from sending a request that fails to sending the next: discovery may become reachable right
# after the first, and the answer to the next has to come before the deadline. Requests that fail at once
# thus leave long pauses, which spare an overloaded discovery.
NEXT_REQUEST_SECONDS = LIST_DEADLINE_SECONDS - WATCH_RESPONSE_SECONDS
# Pause after the first failure; doubled after each further one, and randomly cut by up to half.
FIRST_RETRY_PAUSE_SECONDS = NEXT_REQUEST_SECONDS / 8
# Wait of a watch, as a share of the list poll interval (after which a balancer that does not ask counts as
# informed).
WATCH_WAIT_SHARE = 0.5
INHERITED_RETRY_SECONDS = 0.25  # until the next try for a tunnel that was open before this process started
MIN_PUSHED_RETRY_SECONDS = 0.01  # shortest pause after a failed request, where the list is pushed
INHERITED_TIMEOUT_SECONDS = 40.0  # limit for setting up a tunnel that was open before this process started
STOP_ACCEPT_SECONDS = 0.5  # new connections still arrive for this long after the stop signal
STOP_ROUND_SECONDS = 0.1  # between two rounds of migrations while stopping
STOP_SETTLE_SECONDS = 0.3  # for the last migrations to reach their clients
EXIT_MARGIN_SECONDS = 0.1  # left for the end of the process
# The process is killed this long after the longest client timeout, of which at most the cap counts.
KILL_DELAY_SECONDS = 0.7
CLIENT_TIMEOUT_CAP_SECONDS = 3.0


@dataclass(slots=True, eq=False)
class Client:
    """One client connection that has asked for a tunnel."""

    number: int
    request: OpenRequest
    tunnel: Tunnel
    arrived_at: float
    previous_server: Server | None = None  # where its tunnel stood before the run, until it is up
    answered: bool = False  # it got its final answer, or is gone


class Reducer:
    """All that this balancer keeps."""

    def __init__(
        self,
        start: StartUpSettings,
        now: float,
        policy: type[Balancer] = Balancer,
        membership: MembershipView | None = None,
        recalled: RestoredState | None = None,
    ) -> None:
        self.membership = membership  # what a memory keeps; None: nothing is kept
        self.on_declined: Callable[[Tunnel], None] | None = None  # the tier counts them
        self.effects: list[effects.Effect] = []
        self.pending_endings: list[
            tuple[Tunnel, int, Ending]
        ] = []  # ends that follow from what was asked for
        self.clients: dict[int, Client] = {}
        self.client_of: dict[Tunnel, Client] = {}
        self.addresses: dict[str, effects.Address] = {}
        self.list_version: int | None = start.known_list.version
        self.discovery = start.discovery
        self.tunnel_names: set[str] = set()  # the names of those in `clients`
        self.list_requested = False
        self.timer_due_at = inf
        self.now = now
        self.stop_requested_at = inf  # when the signal to stop came
        self.last_migration_at = -inf  # when tunnels were last moved off since
        self.exiting = False  # the last of it was asked for
        self.profiles = {name: i for i, name in enumerate(start.profiles)}
        self.tenants = {name: i for i, name in enumerate(start.tenants)}
        self.connect_timeout = start.connect_timeout
        self.watch_wait = WATCH_WAIT_SHARE * start.site.list_poll_interval
        self.retry_pause = FIRST_RETRY_PAUSE_SECONDS  # after the next call that fails
        self.request_is_watch, self.request_sent_at = (
            False,
            now,
        )  # whether the last call may wait; when it went out
        # Rule 3: what a list that is pushed has to tell counts at once, so it is asked for without a pause.
        self.list_is_pushed = not start.site.list_is_polled
        self.pushed_retry_pause = max(
            PUSHED_RETRY_SHARE * start.drain_grace, start.site.timer_resolution, MIN_PUSHED_RETRY_SECONDS
        )
        self.max_client_timeout = max(p.client_timeout for p in start.site.profiles)
        self.stop_time_limit = (
            min(self.max_client_timeout, CLIENT_TIMEOUT_CAP_SECONDS)
            + KILL_DELAY_SECONDS
            - EXIT_MARGIN_SECONDS
        )
        rng = Random(start.seed)
        self.uniform = rng.uniform
        self.balancer = policy(replace(start.site, list_is_polled=True), self, rng, now)
        self.probe_timeout = self.balancer.attempt_timeout / 2
        self.start_times = StartTimes(start.site.warm_up_window)
        self.guard = DeliveryGuard(start.site.only_draining_excludes)
        if recalled is None:
            self._update_list(start.known_list, True, now)
        else:
            self.list_version = None  # the whole list is asked for: who else counts its versions is not known
            self._update_list(ServerList(0, True, recalled.entries, recalled.addresses), True, now)

    def dispatch(self, event: Event, now: float) -> list[effects.Effect]:
        """The one entry: changes the state and gives the effects, in order."""
        self.now = now
        match event:
            case ClientArrived():
                self._client_arrived(event)
            case ClientLeft():
                self._client_left(event)
            case SetupConnected():
                self._setup_connected(event)
            case SetupOpened():
                self._setup_opened(event)
            case SetupEnded():
                self._setup_ended(event)
            case LoadReported():
                if event.client in self.clients:
                    self.balancer.record_load(self.clients[event.client].tunnel, event.load.load / 1e6, now)
            case ServerSlow():
                self._server_slow(event)
            case ProbeEnded():
                if self.membership is not None and event.ending == "ok":
                    self.membership.confirm_alive(event.server, now)
                self.balancer.probe_ended(
                    self.balancer.servers[event.server], event.ending, event.report, now
                )
            case ListReceived():
                self._list_received(event)
            case ListRequestFailed():
                self._list_request_failed(event)
            case SettingsReloaded():
                self._settings_reloaded(event)
            case TimerDue():
                self._timer_due()
            case StopRequested():
                self._stop_requested()
        while self.pending_endings:
            tun, number, ending = self.pending_endings.pop(0)
            self._end_setup(tun, number, ending, True, {})
        return self.pop_effects()

    def pop_effects(self) -> list[effects.Effect]:
        requested, self.effects = self.effects, []
        return requested

    # Clients.

    def _client_arrived(self, event: ClientArrived) -> None:
        opening, now = event.request, self.now
        profile = self.profiles.get(opening.profile)
        if not check_invariant(event.client not in self.clients, "a client arrives once"):
            return
        # Guards against the name of another client's tunnel: servers fail it, and would seem to be at fault.
        taken = opening.name in self.tunnel_names
        if (
            profile is None
            or taken
            or (opening.current_server and opening.current_server not in self.balancer.servers)
        ):
            why = "unknown_class" if profile is None else "id_in_use" if taken else "unknown_server"
            self.effects.append(effects.Reply(event.client, Failure(), why))
            return
        if now >= self.stop_requested_at + STOP_ACCEPT_SECONDS or self.exiting:
            self.effects.append(effects.Reply(event.client, Decline(0.0), "stopping"))
            return
        patience = opening.remaining_time
        timeout = self.balancer.profiles[profile].client_timeout
        patience = timeout if patience is None else min(patience, timeout)
        tun = self.balancer.new_tunnel(
            opening.name, profile, self.tenants.get(opening.tenant, 0), opening.key, opening.group,
            now + patience, opening.is_returning,
        )  # fmt: skip
        client = Client(event.client, opening, tun, now)
        self.clients[event.client] = self.client_of[tun] = client
        self.tunnel_names.add(opening.name)
        if opening.current_server:
            client.previous_server = self.balancer.servers[opening.current_server]
            self._connect_to_previous(client, 0.0)
        else:
            self.guard.request_arrived(event.client, tun.profile, now + patience)
            self.balancer.tunnel_arrived(tun, False, now)

    def _connect_to_previous(self, client: Client, after: float) -> None:
        """A tunnel that stood before the run goes to its server, whatever the module would choose."""
        assert client.previous_server is not None
        address = self.addresses[client.previous_server.name]
        self.effects.append(
            effects.Connect(
                client.number,
                0,
                address,
                client.request,
                None,
                INHERITED_TIMEOUT_SECONDS,
                INHERITED_TIMEOUT_SECONDS,
                after,
            )
        )

    def _client_left(self, event: ClientLeft) -> None:
        client = self.clients.get(event.client)
        if client is None:
            return
        client.answered = True
        self.guard.client_left(event.client)
        tun = client.tunnel
        was_open = tun.state is State.OPEN
        self.balancer.client_left(tun, self.now)
        if client.previous_server is not None:
            self.effects.append(effects.AbandonSetup(client.number, 0, event.reset))
            client.previous_server = None
        elif was_open:
            number = len(tun.setups) - 1
            self.effects.append(effects.AbandonSetup(client.number, number, event.reset))
            self.pending_endings.append((tun, number, "cancelled"))
        self._forget_if_finished(client)

    def _forget_if_finished(self, client: Client) -> None:
        if client.tunnel.is_finished and client.previous_server is None:
            check_invariant(client.answered, "a tunnel ends with a final answer")
            self.clients.pop(client.number, None)
            self.client_of.pop(client.tunnel, None)
            self.guard.forget(client.number)
            self.tunnel_names.discard(client.request.name)

    # Setups.

    def _setup_connected(self, event: SetupConnected) -> None:
        """What was decided before the dial is looked at again: the client, the list and the clock went on."""
        client = self.clients.get(event.client)
        if client is not None and client.previous_server is None:
            tun, number = client.tunnel, event.setup
            server = tun.setups[number].server.name
            may_write = self.balancer.may_write_request(tun, number, self.now)
            if not may_write or not self.guard.may_send(event.client, number, server, self.now):
                self.effects.append(effects.AbandonSetup(event.client, number))
                if tun.setups[number].in_progress:
                    self._end_setup(tun, number, "moot", False, {})
                return
        elif client is None:
            self.effects.append(effects.AbandonSetup(event.client, event.setup))
            return
        self.effects.append(effects.WriteRequest(event.client, event.setup))

    def _setup_opened(self, event: SetupOpened) -> None:
        client = self.clients.get(event.client)
        if client is None:
            self.effects.append(effects.AbandonSetup(event.client, event.setup))
            return
        tun = client.tunnel
        if client.previous_server is not None:
            ep, client.previous_server = client.previous_server, None
            self.balancer.tunnel_inherited(tun, ep, self.now)
        else:
            self.balancer.setup_opened(tun, event.setup, self.now)
        if tun.state is State.OPEN and event.setup == len(tun.setups) - 1:
            client.answered = True
            self.guard.request_answered(client.number)
            self.effects.append(effects.RelayTunnel(client.number, event.setup))
        else:  # given up meanwhile
            self.effects.append(effects.AbandonSetup(client.number, event.setup))
            self.pending_endings.append((tun, event.setup, "cancelled"))

    def _setup_ended(self, event: SetupEnded) -> None:
        client = self.clients.get(event.client)
        if client is None:
            return
        tun, ending = client.tunnel, event.end_line.ending
        if client.previous_server is not None:
            if self.now - client.arrived_at < INHERITED_TIMEOUT_SECONDS:
                self._connect_to_previous(client, INHERITED_RETRY_SECONDS)
            else:
                client.previous_server = None
                self.balancer.client_left(tun, self.now)
                self._answer(client, Failure(), "standing_lost")
            return
        was_open = tun.state is State.OPEN
        if was_open:
            self.effects.append(effects.CloseClient(client.number, event.reset))
        self._end_setup(tun, event.setup, ending, was_open, event.end_line.report)

    def _end_setup(self, tun: Tunnel, number: int, ending: Ending, closed: bool, report: Report) -> None:
        client = self.client_of.get(tun)
        if client is None:
            return
        if not check_invariant(
            number < len(tun.setups) and tun.setups[number].in_progress, "a setup ends once"
        ):
            return
        self.guard.attempt_ended(client.number, number, ending)
        self.balancer.setup_ended(tun, number, ending, closed, report, self.now)
        self._forget_if_finished(client)

    def _server_slow(self, event: ServerSlow) -> None:
        client = self.clients.get(event.client)
        if client is None or client.tunnel.state is not State.OPEN:
            return
        if event.silent:
            self.balancer.record_silence(client.tunnel, event.duration, self.now)
        else:
            self.balancer.record_delay(client.tunnel, event.duration, self.now)

    # The list and the clock.

    def _list_received(self, event: ListReceived) -> None:
        self.list_requested, self.list_version, self.retry_pause = (
            False,
            event.server_list.version,
            FIRST_RETRY_PAUSE_SECONDS,
        )
        self._request_list(self.watch_wait)  # first, so that the watch goes on whatever the list holds
        self._update_list(
            event.server_list, False, self.now if event.wall_clock is None else event.wall_clock
        )

    def _list_request_failed(self, event: ListRequestFailed) -> None:
        """Rule 3: asked again before what discovery has counts as told, apart from the others by chance."""
        self.list_requested = False
        if self.list_is_pushed:
            self._request_list(0.0, self.pushed_retry_pause)
        elif event.silent:  # what it missed soon counts as told, so at once
            self._request_list(0.0)
        else:
            self.balancer.list_request_failed(self.now)
            began = (
                self.now if self.request_is_watch else self.request_sent_at
            )  # a watch had told all until it broke
            left = max(0.0, began + NEXT_REQUEST_SECONDS - self.now)
            self._request_list(0.0, min(self.retry_pause, left) * self.uniform(0.5, 1.0))
            self.retry_pause = min(2 * self.retry_pause, NEXT_REQUEST_SECONDS)

    def _settings_reloaded(self, event: SettingsReloaded) -> None:
        """Another discovery may count its versions anew, so the whole list is asked for."""
        if event.discovery != self.discovery:
            self.discovery, self.list_version, self.list_requested = event.discovery, None, False
            self.retry_pause = (
                FIRST_RETRY_PAUSE_SECONDS  # that the one before was out of reach says nothing of this one
            )
            self.effects.append(effects.SwitchDiscovery(event.discovery, event.names))
            self._request_list(0.0)

    def _update_list(self, listing: ServerList, cached: bool, wall: float) -> None:
        for name, host, port in listing.addresses:
            self.addresses[name] = (host, port)
        lines: Iterable[ServerEntry] = listing.servers
        if self.membership is not None and not cached:
            lines = self.membership.apply_list(lines, listing.addresses, listing.is_full, self.now)
        before = self.balancer.active_servers
        lines = self.start_times.translate(lines, self.now, wall, not cached)
        lines = [line if line.server in self.addresses else line._replace(state="leaving") for line in lines]
        self.guard.update_servers(lines, listing.is_full)
        self.balancer.update_servers(lines, listing.is_full, cached, self.now)
        if before is not self.balancer.active_servers:
            self.effects.extend(effects.ForgetServer(server.name) for server in before if not server.active)

    def _request_list(self, hold: float, after: float = 0.0) -> None:
        if not self.list_requested:
            self.list_requested, self.request_is_watch, self.request_sent_at = (
                True,
                hold > 0.0,
                self.now + after,
            )
            self.effects.append(effects.RequestList(self.list_version, hold, after))

    def _timer_due(self) -> None:
        if self.now < self.timer_due_at:
            if self.timer_due_at < inf:
                self.effects.append(effects.SetTimer(self.timer_due_at - self.now))
            return
        self.timer_due_at = inf
        self.balancer.timer_due(self.now)

    def _stop_requested(self) -> None:
        """Moves all tunnels off, once no new connections come, evenly over the time that is left; then
        answers the rest. However late it is called, the last round is not left out. Guards the servers, and
        what all of them ask at a setup, against a part of the fleet that stops at one moment, each with few
        tunnels: these moved in the first rounds. It hurts nobody but by an end that comes later."""
        self.stop_requested_at = min(self.stop_requested_at, self.now)
        left = self.stop_requested_at + self.stop_time_limit - self.now
        rounds = max(1, int((left - STOP_SETTLE_SECONDS) / STOP_ROUND_SECONDS))
        if self.exiting:
            return
        if self.now < self.stop_requested_at + STOP_ACCEPT_SECONDS and rounds > 1:
            self.effects.append(effects.ScheduleStop(STOP_ROUND_SECONDS))
            return
        self.effects.append(effects.CloseIdleClients())
        standing = [c for c in self.clients.values() if c.tunnel.state is State.OPEN]
        for client in standing[: self._round_randomly(len(standing) / rounds)]:
            self.balancer.client_left(client.tunnel, self.now)
            self.migrate(client.tunnel)
            self.last_migration_at = self.now
        if rounds == 1:
            for client in [c for c in self.clients.values() if c.tunnel.state is not State.OPEN]:
                self._answer_stopping(client)
        quiet = (
            self.now
            >= max(self.stop_requested_at + STOP_ACCEPT_SECONDS, self.last_migration_at) + STOP_SETTLE_SECONDS
        )
        if rounds == 1 or (quiet and all(c.tunnel.state is State.ENDED for c in self.clients.values())):
            self.exiting = True
            self.effects.append(effects.ExitProcess(max(left, 0.0)))
        else:
            self.effects.append(effects.ScheduleStop(STOP_ROUND_SECONDS))

    def _round_randomly(self, mean: float) -> int:
        """The whole number under `mean`, or the one over it, so that it is that on the mean."""
        return int(mean + self.uniform(0.0, 1.0))

    def _answer_stopping(self, client: Client) -> None:
        """The final answer of a tunnel that this balancer has no time left for."""
        harmless = self.balancer.may_decline(client.tunnel)
        if client.previous_server is not None:
            client.previous_server = None
            self.effects.append(effects.AbandonSetup(client.number, 0))
        self.balancer.client_left(client.tunnel, self.now)
        if not client.answered:
            self._answer(client, Decline(0.0) if harmless else Failure(), "stopping")

    # What the module asks for (`pointgw.interface.Host`).

    def setup(self, tun: Tunnel, ep: Server, patience: float) -> None:
        client, number, address = self.client_of[tun], len(tun.setups) - 1, self.addresses[ep.name]
        tun.setups[number].may_have_run = False  # until it is written: `may_write_request`
        within = min(self.connect_timeout, patience)
        self.effects.append(
            effects.Connect(client.number, number, address, client.request, patience, patience, within)
        )

    def cancel(self, tun: Tunnel, number: int) -> None:
        self.effects.append(effects.AbandonSetup(self.client_of[tun].number, number))
        self.pending_endings.append((tun, number, "cancelled" if tun.setups[number].may_have_run else "moot"))

    def decline(self, tun: Tunnel, come_back: float) -> None:
        if self.on_declined is not None:
            self.on_declined(tun)
        self._answer(self.client_of[tun], Decline(come_back), tun.refusal_reason)

    def close_with_error(self, tun: Tunnel) -> None:
        self._answer(self.client_of[tun], Failure(), tun.refusal_reason)

    def _answer(self, client: Client, answer: Decline | Failure, why: str) -> None:
        if check_invariant(not client.answered, "a tunnel gets one final answer"):
            client.answered = True
            if isinstance(answer, Decline) and not self.guard.may_refuse(client.number):
                answer = Failure()
            self.guard.request_answered(client.number)
            self.effects.append(effects.Reply(client.number, answer, why))
            self._forget_if_finished(client)

    def migrate(self, tun: Tunnel) -> None:
        number = len(tun.setups) - 1
        self.effects.append(effects.MigrateClient(self.client_of[tun].number, number))
        self.pending_endings.append((tun, number, "cancelled"))

    def probe(self, ep: Server) -> None:
        address = self.addresses[ep.name]
        self.effects.append(effects.Probe(ep.name, address, self.probe_timeout, self.connect_timeout))

    def watch_list(self) -> None:
        self._request_list(0.0)

    def set_timer(self, delay: float) -> None:
        if self.now + delay < self.timer_due_at:
            self.timer_due_at = self.now + delay
            self.effects.append(effects.SetTimer(delay))

    # For the log.

    def figures(self) -> dict[str, object]:
        """How things stand."""
        states = [client.tunnel.state for client in self.clients.values()]
        live = self.balancer.active_servers
        declined = {f"declined_{why}": count for why, count in self.balancer.declined.items()}
        return declined | {
            "open": states.count(State.OPEN),
            "setting_up": states.count(State.SETTING_UP),
            "held": states.count(State.QUEUED) + states.count(State.PROBING),
            "servers": len(live),
            "suspended": sum(ep.ejected_until > self.now for ep in live),
            "cold": sum(ep.warm_at > self.now for ep in live),
            "c": float(self.balancer.c),
            "watching": self.balancer.is_watching_list,
        }
