"""The state of one balancer process: `Reducer.dispatch` applies an event and returns the effects it causes.

The decisions are made in `pointgw.policy`. This module tracks the connected clients, turns events into calls
of the policy and the policy's calls of its `Host` into effects. It does no I/O and reads no clock.
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
    AnswerTimerDue,
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
from pointgw.net.core.executed_requests import ExecutedRequests
from pointgw.net.core.guard import DeliveryGuard
from pointgw.net.core.inherited_tunnels import INHERITED_RETRY_SECONDS, InheritedTunnels, Rejection
from pointgw.net.core.list_requests import ListRequests, ListStatus
from pointgw.net.core.start_times import ProcessStart, StartTimes
from pointgw.net.invariant import check_invariant
from pointgw.net.wire.lines import Decline, Failure, OpenRequest
from pointgw.net.wire.server_list import ServerList
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer, Server, State, Tunnel

if TYPE_CHECKING:
    from pointgw.state.restore import MembershipView, RestoredState

DEFAULT_MAX_WAITING = 512  # requests that may wait for a list, where no limit of descriptors is known
MAX_START_DELAY_SHARE = 0.5  # share of its client's timeout after which a request is no longer started
STOP_ACCEPT_SECONDS = 0.5  # new connections still arrive for this long after the stop signal
STOP_ROUND_SECONDS = 0.1  # between two rounds of migrations while stopping
STOP_SETTLE_SECONDS = 0.3  # for the last migrations to reach their clients
EXIT_MARGIN_SECONDS = 0.1  # left for the end of the process
# The process is killed this long after the longest client timeout, of which at most the cap counts.
KILL_DELAY_SECONDS = 0.7
CLIENT_TIMEOUT_CAP_SECONDS = 3.0


@dataclass(slots=True, eq=False)
class Client:
    """A client connection that has requested a tunnel."""

    number: int
    request: OpenRequest
    tunnel: Tunnel
    answered: bool = False  # it has its final answer, or has left


class Reducer:
    """State of one balancer, changed by events.

    `membership` records the list for snapshots (None: no snapshots); `restored` is the state read from one.
    """

    def __init__(
        self,
        start: StartUpSettings,
        now: float,
        policy: type[Balancer] = Balancer,
        membership: MembershipView | None = None,
        restored: RestoredState | None = None,
    ) -> None:
        self.membership = membership  # what snapshots hold of the list; None: no snapshots
        self.on_declined: Callable[[Tunnel], None] | None = None  # called with declined tunnels
        self.effects: list[effects.Effect] = []
        # Setups ended by the effects of the current event: tunnel, setup number, ending.
        self.pending_endings: list[tuple[Tunnel, int, Ending]] = []
        self.clients: dict[int, Client] = {}
        self.client_of: dict[Tunnel, Client] = {}
        self.addresses: dict[str, effects.Address] = {}  # by server name
        self.discovery = start.discovery
        self.tunnel_names: set[str] = set()  # of the tunnels in `clients`
        self.executed_requests = ExecutedRequests()
        self.timer_due_at = inf
        self.now = now
        self.stop_requested_at = inf  # time of the stop signal
        self.last_migration_at = -inf  # time of the last migration since then
        self.exiting = False  # `ExitProcess` has been issued
        self.profiles = {name: i for i, name in enumerate(start.profiles)}
        self.tenants = {name: i for i, name in enumerate(start.tenants)}
        self.connect_timeout = start.connect_timeout
        self.max_client_timeout = max(p.client_timeout for p in start.site.profiles)
        self.stop_time_limit = (
            min(self.max_client_timeout, CLIENT_TIMEOUT_CAP_SECONDS)
            + KILL_DELAY_SECONDS
            - EXIT_MARGIN_SECONDS
        )
        rng = Random(start.seed)
        self.uniform = rng.uniform
        self.list_requests = ListRequests(start, rng.uniform, now)
        self.balancer = policy(replace(start.site, list_is_polled=True), self, rng, now)
        self.inherited = InheritedTunnels(self.addresses, DEFAULT_MAX_WAITING, self.balancer.answer_margin)
        self.probe_timeout = self.balancer.attempt_timeout / 2
        self.start_times = StartTimes(start.site.warm_up_window)
        self.guard = DeliveryGuard(start.site.only_draining_excludes)
        self._set_list_validity()
        if restored is None:
            self._update_list(start.known_list, True, now)
        else:
            # Requests the complete list: the snapshot's discovery may have numbered its versions differently.
            self.list_requests.version = None
            for record in restored.membership.records.values():
                if record.effective_start:
                    process_start = ProcessStart(record.started_at, record.effective_start)
                    self.start_times.restore(record.name, process_start, now)
            self._update_list(ServerList(0, True, restored.entries, restored.addresses), True, now)

    def dispatch(self, event: Event, now: float) -> list[effects.Effect]:
        """Applies an event and returns the effects to carry out, in order."""
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
            case AnswerTimerDue():
                if event.client in self.inherited.waiting:
                    self._reject_inherited(self.clients[event.client], Rejection.TOO_LATE)
            case StopRequested():
                self._stop_requested()
        while self.pending_endings:
            tunnel, number, ending = self.pending_endings.pop(0)
            self._end_setup(tunnel, number, ending, True, {})
        return self.pop_effects()

    def pop_effects(self) -> list[effects.Effect]:
        """Returns the effects issued since the last call, and clears them."""
        requested, self.effects = self.effects, []
        return requested

    # Clients.

    def _client_arrived(self, event: ClientArrived) -> None:
        request, now = event.request, self.now
        profile = self.profiles.get(request.profile)
        if not check_invariant(event.client not in self.clients, "a client arrives once"):
            return
        # Guards against the name of another client's tunnel: servers fail it, and would seem to be at fault.
        name_in_use = request.name in self.tunnel_names
        if profile is None or name_in_use:
            reason = "unknown_class" if profile is None else "id_in_use"
            self.effects.append(effects.Reply(event.client, Failure(), reason))
            return
        has_run = not self.executed_requests.may_run(request.name, self.balancer.profiles[profile], now)
        if has_run and not request.current_server:
            self.effects.append(effects.Reply(event.client, Failure(), "id_has_run"))
            return
        if now >= self.stop_requested_at + STOP_ACCEPT_SECONDS or self.exiting:
            self.effects.append(effects.Reply(event.client, Decline(0.0), "stopping"))
            return
        awaits_list = not request.current_server and now >= self.list_requests.valid_until
        if awaits_list and len(self.balancer.queue) >= self.inherited.max_waiting:
            self.effects.append(effects.Reply(event.client, Decline(0.0), "too_many_waiting"))
            return
        received_at = now if event.received_at is None else event.received_at
        timeout = self.balancer.profiles[profile].client_timeout
        if request.remaining_time is not None:
            timeout = min(request.remaining_time, timeout)
        deadline = received_at + timeout
        # Guards against late answers where requests come faster than they can be started.
        if not request.current_server and now - received_at > MAX_START_DELAY_SHARE * timeout:
            retry_after = self.balancer.retry_after(self.balancer.profiles[profile])
            self.effects.append(effects.Reply(event.client, Decline(retry_after), "started_late"))
            return
        tunnel = self.balancer.new_tunnel(
            request.name, profile, self.tenants.get(request.tenant, 0), request.key, request.group,
            deadline, request.is_returning,
        )  # fmt: skip
        client = Client(event.client, request, tunnel)
        self.clients[event.client] = self.client_of[tunnel] = client
        self.tunnel_names.add(request.name)
        if request.current_server:
            self.inherited.add(client.number, request, received_at)
            self._advance_inherited(client)
        else:
            self.guard.request_arrived(event.client, tunnel.profile, deadline)
            self.balancer.tunnel_arrived(tunnel, False, now)

    def _advance_inherited(self, client: Client, delay: float = 0.0) -> None:
        """Connects a tunnel from before this process started to its server, or waits for a list with it."""
        is_current = self.list_requests.status is ListStatus.CURRENT
        step = self.inherited.next_step(client.number, self.now, is_current, delay)
        if isinstance(step, Rejection):
            self._reject_inherited(client, step)
        elif step is not None:
            self.effects.append(step)

    def _reject_inherited(self, client: Client, rejection: Rejection) -> None:
        self.inherited.remove(client.number)
        self.balancer.client_left(client.tunnel, self.now)
        self._answer(client, Failure(), rejection.value)

    def _client_left(self, event: ClientLeft) -> None:
        client = self.clients.get(event.client)
        if client is None:
            return
        client.answered = True
        self.guard.client_left(event.client)
        tunnel = client.tunnel
        was_open = tunnel.state is State.OPEN
        self.balancer.client_left(tunnel, self.now)
        if self.inherited.remove(client.number) is not None:
            self.effects.append(effects.AbandonSetup(client.number, 0, event.reset))
        elif was_open:
            number = len(tunnel.setups) - 1
            self.effects.append(effects.AbandonSetup(client.number, number, event.reset))
            self.pending_endings.append((tunnel, number, "cancelled"))
        self._forget_if_finished(client)

    def _forget_if_finished(self, client: Client) -> None:
        if client.tunnel.is_finished and client.number not in self.inherited:
            check_invariant(client.answered, "a tunnel ends with a final answer")
            self.clients.pop(client.number, None)
            self.client_of.pop(client.tunnel, None)
            execution = self.guard.forget(client.number)
            if execution is not None:
                self.executed_requests.record(client.request.name, client.tunnel.profile, execution.sent_at)
            self.tunnel_names.discard(client.request.name)

    # Setups.

    def _setup_connected(self, event: SetupConnected) -> None:
        """Checks again whether the request may be sent: client, list and time have changed meanwhile."""
        client = self.clients.get(event.client)
        if event.client in self.inherited:
            self.inherited.connected(event.client)
        elif client is not None:
            tunnel, number = client.tunnel, event.setup
            server = tunnel.setups[number].server.name
            may_write = self.balancer.may_write_request(tunnel, number, self.now)
            if not may_write or not self.guard.may_send(event.client, number, server, self.now):
                self.effects.append(effects.AbandonSetup(event.client, number))
                if tunnel.setups[number].in_progress:
                    self._end_setup(tunnel, number, "moot", False, {})
                return
        else:
            self.effects.append(effects.AbandonSetup(event.client, event.setup))
            return
        self.effects.append(effects.WriteRequest(event.client, event.setup))

    def _setup_opened(self, event: SetupOpened) -> None:
        client = self.clients.get(event.client)
        if client is None:
            self.effects.append(effects.AbandonSetup(event.client, event.setup))
            return
        tunnel = client.tunnel
        inherited = self.inherited.remove(client.number)
        if inherited is not None:
            server = self.balancer.servers[inherited.request.current_server]
            self.balancer.tunnel_inherited(tunnel, server, self.now)
        else:
            self.balancer.setup_opened(tunnel, event.setup, self.now)
        if tunnel.state is State.OPEN and event.setup == len(tunnel.setups) - 1:
            client.answered = True
            self.guard.request_answered(client.number)
            self.effects.append(effects.RelayTunnel(client.number, event.setup))
        else:  # abandoned in the meantime
            self.effects.append(effects.AbandonSetup(client.number, event.setup))
            self.pending_endings.append((tunnel, event.setup, "cancelled"))

    def _setup_ended(self, event: SetupEnded) -> None:
        client = self.clients.get(event.client)
        if client is None:
            return
        tunnel, ending = client.tunnel, event.end_line.ending
        if client.number in self.inherited:
            self._advance_inherited(client, INHERITED_RETRY_SECONDS)
            return
        was_open = tunnel.state is State.OPEN
        if was_open:
            self.effects.append(effects.CloseClient(client.number, event.reset))
        self._end_setup(tunnel, event.setup, ending, was_open, event.end_line.report)

    def _end_setup(self, tunnel: Tunnel, number: int, ending: Ending, closed: bool, report: Report) -> None:
        client = self.client_of.get(tunnel)
        if client is None:
            return
        if not check_invariant(
            number < len(tunnel.setups) and tunnel.setups[number].in_progress, "a setup ends once"
        ):
            return
        self.guard.attempt_ended(client.number, number, ending)
        self.balancer.setup_ended(tunnel, number, ending, closed, report, self.now)
        self._forget_if_finished(client)

    def _server_slow(self, event: ServerSlow) -> None:
        client = self.clients.get(event.client)
        if client is None or client.tunnel.state is not State.OPEN:
            return
        if event.silent:
            self.balancer.record_silence(client.tunnel, event.duration, self.now)
        else:
            self.balancer.record_delay(client.tunnel, event.duration, self.now)

    # The server list, settings and timers.

    def _list_received(self, event: ListReceived) -> None:
        # First: the watch continues whatever the list holds.
        self._add_effect(self.list_requests.received(event.server_list.version, self.now))
        self._set_list_validity()
        self._update_list(
            event.server_list, False, self.now if event.wall_clock is None else event.wall_clock
        )
        self._reconnect_inherited()

    def _reconnect_inherited(self) -> None:
        """After a list: connects the requests that waited for it, and those whose server has moved."""
        relocated = self.inherited.relocated()
        for number in relocated:
            self.effects.append(effects.AbandonSetup(number, 0))
        for number in [*self.inherited.waiting, *relocated]:
            self._advance_inherited(self.clients[number])

    def _list_request_failed(self, event: ListRequestFailed) -> None:
        self.balancer.mark_list_outdated()
        if not self.list_requests.is_pushed and not event.silent:
            self.balancer.list_request_failed(self.now)
        self._add_effect(self.list_requests.failed(event.silent, self.now))

    def _settings_reloaded(self, event: SettingsReloaded) -> None:
        if event.discovery != self.discovery:
            self.discovery = event.discovery
            self.balancer.mark_list_outdated()
            self.effects.append(effects.SwitchDiscovery(event.discovery, event.names))
            self._add_effect(self.list_requests.switched(self.now))
            self._set_list_validity()

    def _set_list_validity(self) -> None:
        """Tells the policy and the guard until when the last list may be used."""
        self.balancer.list_valid_until = self.guard.list_valid_until = self.list_requests.valid_until

    def _add_effect(self, effect: effects.Effect | None) -> None:
        if effect is not None:
            self.effects.append(effect)

    def _update_list(self, received: ServerList, cached: bool, wall_clock: float) -> None:
        for name, host, port in received.addresses:
            self.addresses[name] = (host, port)
        entries: Iterable[ServerEntry] = received.servers
        if self.membership is not None and not cached:
            entries = self.membership.apply_list(entries, received.addresses, received.is_complete, self.now)
        before = self.balancer.active_servers
        entries = list(self.start_times.translate(entries, self.now, wall_clock, not cached))
        if self.membership is not None and not cached:
            for entry in entries:
                self.membership.record_start(entry.server, self.start_times.starts[entry.server])
        entries = [
            entry if entry.server in self.addresses else entry._replace(state="leaving") for entry in entries
        ]
        self.guard.update_servers(entries, received.is_complete)
        self.balancer.update_servers(entries, received.is_complete, cached, self.now)
        if before is not self.balancer.active_servers:
            self.effects.extend(effects.ForgetServer(server.name) for server in before if not server.active)

    def _timer_due(self) -> None:
        if self.now < self.timer_due_at:
            if self.timer_due_at < inf:
                self.effects.append(effects.SetTimer(self.timer_due_at - self.now))
            return
        self.timer_due_at = inf
        self.balancer.timer_due(self.now)

    def _stop_requested(self) -> None:
        """Migrates all tunnels evenly over the remaining time, once no new connections arrive; then answers
        the remaining clients. The last round runs however late this is called. Guards the servers, and a
        service that all of them query at a setup, against many balancers that stop at once with few tunnels
        each: rounded up, all of those would migrate in the first rounds. The only cost is a later exit."""
        self.stop_requested_at = min(self.stop_requested_at, self.now)
        remaining = self.stop_requested_at + self.stop_time_limit - self.now
        rounds = max(1, int((remaining - STOP_SETTLE_SECONDS) / STOP_ROUND_SECONDS))
        if self.exiting:
            return
        if self.now < self.stop_requested_at + STOP_ACCEPT_SECONDS and rounds > 1:
            self.effects.append(effects.ScheduleStop(STOP_ROUND_SECONDS))
            return
        self.effects.append(effects.CloseIdleClients())
        open_clients = [c for c in self.clients.values() if c.tunnel.state is State.OPEN]
        for client in open_clients[: self._round_randomly(len(open_clients) / rounds)]:
            self.balancer.client_left(client.tunnel, self.now)
            self.migrate(client.tunnel)
            self.last_migration_at = self.now
        if rounds == 1:
            for client in [c for c in self.clients.values() if c.tunnel.state is not State.OPEN]:
                self._answer_stopping(client)
        settled = (
            self.now
            >= max(self.stop_requested_at + STOP_ACCEPT_SECONDS, self.last_migration_at) + STOP_SETTLE_SECONDS
        )
        if rounds == 1 or (settled and all(c.tunnel.state is State.ENDED for c in self.clients.values())):
            self.exiting = True
            self.effects.append(effects.ExitProcess(max(remaining, 0.0)))
        else:
            self.effects.append(effects.ScheduleStop(STOP_ROUND_SECONDS))

    def _round_randomly(self, mean: float) -> int:
        """`mean` rounded up or down at random, so that the expected value is `mean`."""
        return int(mean + self.uniform(0.0, 1.0))

    def _answer_stopping(self, client: Client) -> None:
        """Gives a client its final answer because this balancer stops."""
        may_decline = self.balancer.may_decline(client.tunnel)
        if self.inherited.remove(client.number) is not None:
            self.effects.append(effects.AbandonSetup(client.number, 0))
        self.balancer.client_left(client.tunnel, self.now)
        if not client.answered:
            self._answer(client, Decline(0.0) if may_decline else Failure(), "stopping")

    # `pointgw.interface.Host`: what the policy requests.

    def setup(self, tunnel: Tunnel, server: Server, timeout: float) -> None:
        client, number, address = self.client_of[tunnel], len(tunnel.setups) - 1, self.addresses[server.name]
        tunnel.setups[number].may_have_run = False  # until the request is written, see `may_write_request`
        connect_timeout = min(self.connect_timeout, timeout)
        self.effects.append(
            effects.Connect(client.number, number, address, client.request, timeout, timeout, connect_timeout)
        )

    def cancel(self, tunnel: Tunnel, number: int) -> None:
        self.effects.append(effects.AbandonSetup(self.client_of[tunnel].number, number))
        self.pending_endings.append(
            (tunnel, number, "cancelled" if tunnel.setups[number].may_have_run else "moot")
        )

    def decline(self, tunnel: Tunnel, retry_after: float) -> None:
        if self.on_declined is not None:
            self.on_declined(tunnel)
        self._answer(self.client_of[tunnel], Decline(retry_after), tunnel.refusal_reason)

    def close_with_error(self, tunnel: Tunnel) -> None:
        self._answer(self.client_of[tunnel], Failure(), tunnel.refusal_reason)

    def _answer(self, client: Client, answer: Decline | Failure, reason: str) -> None:
        if check_invariant(not client.answered, "a tunnel gets one final answer"):
            client.answered = True
            if isinstance(answer, Decline) and not self.guard.may_refuse(client.number):
                answer = Failure()
            self.guard.request_answered(client.number)
            self.effects.append(effects.Reply(client.number, answer, reason))
            self._forget_if_finished(client)

    def migrate(self, tunnel: Tunnel) -> None:
        number = len(tunnel.setups) - 1
        self.effects.append(effects.MigrateClient(self.client_of[tunnel].number, number))
        self.pending_endings.append((tunnel, number, "cancelled"))

    def probe(self, server: Server) -> None:
        address = self.addresses[server.name]
        self.effects.append(effects.Probe(server.name, address, self.probe_timeout, self.connect_timeout))

    def watch_list(self) -> None:
        self._add_effect(self.list_requests.request(self.now))

    def set_timer(self, delay: float) -> None:
        if self.now + delay < self.timer_due_at:
            self.timer_due_at = self.now + delay
            self.effects.append(effects.SetTimer(delay))

    # For the log.

    def figures(self) -> dict[str, object]:
        """Values of the log's state line."""
        states = [client.tunnel.state for client in self.clients.values()]
        active = self.balancer.active_servers
        declined = {f"declined_{reason}": count for reason, count in self.balancer.declined.items()}
        return declined | {
            "open": states.count(State.OPEN),
            "setting_up": states.count(State.SETTING_UP),
            "held": states.count(State.QUEUED) + states.count(State.PROBING),
            "servers": len(active),
            "suspended": sum(server.ejected_until > self.now for server in active),
            "cold": sum(server.warm_at > self.now for server in active),
            "c": float(self.balancer.c),
            "watching": self.balancer.is_watching_list,
            "list": self.list_requests.status.value,
            "awaiting_list": len(self.inherited.waiting),
            "implausible_starts": self.start_times.implausible_count,
        }
