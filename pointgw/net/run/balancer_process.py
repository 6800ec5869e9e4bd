"""The balancer process: passes events to the reducer, in order, and executes the effects that it returns."""

from __future__ import annotations

import asyncio
import logging
import signal
import time
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

import uvloop

from pointgw import early_signals
from pointgw.net.core import effects
from pointgw.net.core.events import (
    ClientArrived,
    ClientLeft,
    Event,
    ListReceived,
    SettingsReloaded,
    SetupConnected,
    SetupEnded,
    SetupOpened,
    StopRequested,
    TimerDue,
)
from pointgw.net.core.inherited_tunnels import inherited_timeout
from pointgw.net.core.reducer import Reducer
from pointgw.net.core.route import RouteEvidence
from pointgw.net.invariant import violations
from pointgw.net.run import resource_limits, tcp
from pointgw.net.run.client import ClientConnection
from pointgw.net.run.client_connections import ClientConnections
from pointgw.net.run.connection_state import ConnectionState
from pointgw.net.run.discovery import DiscoveryClient
from pointgw.net.run.invalid_fields import InvalidFieldLog
from pointgw.net.run.periodic import PeriodicTimer, count_exception, count_loop_exception
from pointgw.net.run.probe_pool import ProbePool
from pointgw.net.run.request_admission import RequestAdmission
from pointgw.net.run.request_log import RequestLog
from pointgw.net.run.server import ServerConnection
from pointgw.net.wire.lines import Decline, EndLine, OpenRequest
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer
from pointgw.site import MalformedInputError

if TYPE_CHECKING:
    from pointgw.net.run.cluster import ClusterRunner
    from pointgw.net.run.operator_file import OperatorFile
    from pointgw.net.run.recovery import RecoveryRunner
    from pointgw.net.run.snapshots import SnapshotRunner

CHECK_INTERVAL = 0.25  # seconds between two checks for silent connections and overdue answers
STATE_LOG_INTERVAL = 10.0  # seconds between two state lines of the log
FIRST_LINE_SHARE = 0.5  # share of the longest client timeout within which a client must begin its request
BAD_CLIENT_TIMEOUT = 3.0  # seconds after accept by which a misbehaving client gets an error or a close
DESCRIPTORS_PER_TUNNEL = 2  # its client's and its server's
CLOCK_RESOLUTION = 0.001  # seconds, resolution of the event loop's clock
EXIT_CHECK_INTERVAL = 0.01  # seconds between two checks whether the last connections have closed
# From the start, in which a pushed list is awaited before clients are accepted. Nearly all processes have to
# be ready within 10 s.
FIRST_LIST_SECONDS = 8.5
BIND_TIMEOUT = 8.0  # seconds for which binding to an address in use is retried
BIND_RETRY_DELAY = 0.25  # seconds between two attempts to bind
REREAD_DELAY = 0.25  # seconds until a rejected start-up file is read again
MAX_REREADS = 8  # times that a rejected start-up file is read again after one SIGHUP
ANSWER_SLACK = 0.25  # seconds after its deadline from which a request without an answer counts as an error
STOP_RETRY_DELAY = 0.1  # seconds until a failed stop is tried again

_log = logging.getLogger("pointgw.node")
_trace = logging.getLogger("pointgw.trace")  # every event and its effects, for debug runs


class BalancerProcess:
    """One balancer on an event loop: its connections, timers, signals and log."""

    def __init__(
        self,
        start_up: StartUpSettings,
        loop: asyncio.AbstractEventLoop,
        read_settings: Callable[[], StartUpSettings],
        operator_file: OperatorFile | None = None,
        policy: type[Balancer] = Balancer,
        snapshots: SnapshotRunner | None = None,
        cluster: ClusterRunner | None = None,
        recovery: RecoveryRunner | None = None,
    ) -> None:
        self.snapshots, self.cluster, self.recovery = snapshots, cluster, recovery
        self.loop, self.start_up, self.read_settings, self.operator_file = (
            loop,
            start_up,
            read_settings,
            operator_file,
        )
        self.wall_clock_offset = time.time() - time.monotonic()  # servers' start times are wall time
        self.reducer = self._create_reducer(policy)
        # Seconds without a reply from which a server is reported as slow.
        self.slow_threshold = self.reducer.balancer.attempt_timeout / 3
        self.partial_line_timeout = min(
            self.reducer.max_client_timeout, BAD_CLIENT_TIMEOUT - 2 * CHECK_INTERVAL
        )
        self.first_line_timeout = min(
            FIRST_LINE_SHARE * self.reducer.max_client_timeout, self.partial_line_timeout
        )
        self.descriptor_limit = resource_limits.descriptor_limit(start_up.descriptors)
        self.descriptor_budget = resource_limits.descriptor_budget(self.descriptor_limit)
        self.buffer_limit = resource_limits.buffer_limit(start_up.memory_bytes, self.descriptor_limit)
        self.reducer.inherited.max_waiting = self.descriptor_budget // DESCRIPTORS_PER_TUNNEL
        self.connections = ClientConnections(loop, self.reducer.max_client_timeout)
        self.refusals: Counter[str] = Counter()
        self.clients: dict[int, ClientConnection] = {}  # by request number
        self.servers: dict[tuple[int, int], ServerConnection] = {}  # by request and setup number
        self.probes = ProbePool(self, self.descriptor_budget)
        self.discovery = DiscoveryClient(self, start_up.discovery, start_up.names)
        self.request_numbers = count()
        self.event_queue: deque[Event] = deque()
        self.admission = RequestAdmission(loop, self.submit)
        self.processing = False
        self.timer: asyncio.TimerHandle | None = None
        self.stopping = False
        self.reload_count = 0  # signals to reload received so far
        self.request_log, self.route_evidence = RequestLog(), RouteEvidence()
        self.invalid_field_log = InvalidFieldLog()
        self.invalid_field_log.record(start_up.known_list)
        self.timeout_check = PeriodicTimer(loop, "look", lambda: CHECK_INTERVAL, self._check_timeouts)
        self.state_log = PeriodicTimer(loop, "report", self._state_log_interval, self._log_state)
        self.exit_check: PeriodicTimer | None = None
        # Set once discovery has answered, or the process stops.
        self.discovery_answered: asyncio.Future[None] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()

    def _create_reducer(self, policy: type[Balancer]) -> Reducer:
        if self.snapshots is None:
            return Reducer(self.start_up, self.now(), policy)
        from pointgw.net.run.snapshots import restore_learned_state

        restored = self.snapshots.restored
        reducer = Reducer(self.start_up, self.now(), policy, self.snapshots.membership, restored)
        if restored is not None:
            restore_learned_state(reducer.balancer, restored, self.now())
        return reducer

    def now(self) -> float:
        """Wall time in seconds as of the process's start, continued by the monotonic clock."""
        return time.monotonic() + self.wall_clock_offset

    def register_request(self, client: ClientConnection) -> int:
        """Returns the number by which the reducer's events and effects refer to this client."""
        number = next(self.request_numbers)
        self.connections.remove_idle(client)
        self.clients[number] = client
        self.request_log.record("arrived", client.request_id)
        return number

    def answer_deadline(self, request: OpenRequest) -> float:
        """When the client must be answered at the latest. Tunnels open before this process have longer."""
        if request.current_server:
            return self.now() + inherited_timeout(request)
        max_timeout = self.reducer.max_client_timeout
        return self.now() + (
            max_timeout if request.remaining_time is None else min(request.remaining_time, max_timeout)
        )

    def request_id(self, client: int) -> str:
        """The id of a client's request for the log; "-" once the client has gone."""
        return self.clients[client].request_id if client in self.clients else "-"

    def client_accepted(self, connection: ClientConnection) -> None:
        """Closes an idle connection where descriptors run short: guards against clients that send nothing."""
        self.connections.add_idle(connection)
        without_request = len(self.connections.idle) + len(self.connections.lingering)
        open_count = without_request + len(self.clients) + len(self.servers) + len(self.probes)
        if open_count > self.descriptor_budget:
            self._free_descriptor()

    def _free_descriptor(self) -> None:
        """Closes an idle probe connection, or else a lingering or idle client connection."""
        if not self.probes.close_idle() and self.connections.evict_one() is not None:
            self.count_refusal("no descriptors", "others need its descriptor")

    def count_refusal(self, kind: str, why: object) -> None:
        """Counts refused input or a refused connection for the state line; `why` goes to the debug log."""
        self.refusals[kind] += 1
        _log.debug("refused", extra={"fields": {"kind": kind, "why": why}})

    def remove_client(self, client: ClientConnection) -> None:
        """Forgets a client whose connection has closed."""
        self.connections.remove(client)
        self.clients.pop(client.number, None)

    async def serve(self) -> None:
        """Serves until a stop has finished. Raises OSError where the address can't be bound."""
        self.loop.set_exception_handler(count_loop_exception)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.snapshots is not None:
            self.snapshots.start(self.reducer, self.loop, self.now)
        self._execute_all(self.reducer.pop_effects())
        if early_signals.pop_sighup():  # a SIGHUP may have come after the file was read
            self.reload()
        if self.reducer.list_requests.is_pushed:
            await self._await_first_list()
        await self._listen()
        self.timeout_check.start()
        self.state_log.run()
        address = ":".join(str(part) for part in self.start_up.listen)
        fields = {"name": self.start_up.name, "on": address, "descriptors": self.descriptor_limit}
        _log.info("serving", extra={"fields": fields})
        if self.cluster is not None:
            await self.cluster.start(self.reducer, self.loop, self.start_up.seed)
        if self.recovery is not None:
            transport = self.cluster.transport if self.cluster is not None else None
            await self.recovery.start(self.reducer, self.loop, self.now, self.start_up.seed, transport)
        await self.ended
        self._stop_timers()
        self.connections.stop_listening(force=True)
        unanswered = sum(
            client.lifecycle.state is ConnectionState.REQUESTED for client in self.clients.values()
        )
        if unanswered:
            for _ in range(unanswered):
                violations.record("closed_without_answer")
            _log.error("closed without answer", extra={"fields": {"requests": unanswered}})
        _log.info("ended", extra={"fields": dict(self.request_log.counts) | violations.figures()})
        if self.cluster is not None:
            self.cluster.stop()
        if self.recovery is not None:
            self.recovery.stop()
        if self.snapshots is not None:
            await self.snapshots.stop()

    async def _await_first_list(self) -> None:
        """Waits for a pushed list, for at most `FIRST_LIST_SECONDS`; after that, requests wait for it."""
        await asyncio.wait([self.discovery_answered], timeout=FIRST_LIST_SECONDS)
        if not self.discovery_answered.done():
            _log.warning("no list yet: requests wait for it", extra={"fields": {"after": FIRST_LIST_SECONDS}})

    async def _listen(self) -> None:
        """Retries while the address is in use, as by the previous process or by an outgoing connection.

        Raises OSError once BIND_TIMEOUT is over.
        """
        deadline = self.now() + BIND_TIMEOUT
        while True:
            try:
                self.connections.listen(
                    self.start_up.listen, lambda: ClientConnection(self), self._free_descriptor
                )
                return
            except OSError as error:
                if self.now() >= deadline or self.stopping:
                    raise
                _log.warning("bind failed", extra={"fields": {"why": error}})
            await asyncio.sleep(BIND_RETRY_DELAY)

    def _check_exit(self, deadline: float) -> None:
        """Ends the process once all clients' connections have closed, or at the deadline."""
        expired = self.now() >= deadline
        if (self.connections.close_remaining(self.now(), expired) and not self.clients) or expired:
            self._set_ended()

    def _stop_timers(self) -> None:
        for timer in (self.timeout_check, self.state_log, self.exit_check):
            if timer is not None:
                timer.stop()

    def _force_end(self) -> None:
        """Ends a stop that has exceeded its time limit; clients that still wait are answered first.

        Once the exit has begun, this is no violation: only closes are left, and a busy machine may delay the
        last check past this call."""
        if self.ended.done():
            return
        if self.exit_check is None:
            violations.record("stop_not_ended")
        for client in list(self.clients.values()):
            client.fail()
        self.loop.call_later(EXIT_CHECK_INTERVAL, self._set_ended)

    def _set_ended(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def stop(self) -> None:
        """Begins an orderly stop; `serve` returns when it is finished. Later calls do nothing."""
        if not self.stopping:
            self.stopping = True
            _log.info("stopping", extra={"fields": {"clients": len(self.clients)} | self.reducer.figures()})
            if not self.discovery_answered.done():  # `serve` may still be waiting for the list
                self.discovery_answered.set_result(None)
            self.loop.call_later(self.reducer.stop_time_limit + EXIT_CHECK_INTERVAL, self._force_end)
            self.submit(StopRequested())

    def reload(self) -> None:
        """Reads the operators' and the start-up file again; a file that can't be read changes nothing."""
        if self.stopping:
            return
        self.reload_count += 1
        if self.operator_file is not None:
            self.operator_file.reload()
            if self.cluster is not None:
                self.cluster.reload(self.operator_file.settings.tier)
        self._read_start_up(self.reload_count, MAX_REREADS)

    def _read_start_up(self, reload_number: int, tries: int) -> None:
        """Reads an invalid file again, as it may still be being written; gives up at the next reload."""
        if self.stopping or reload_number != self.reload_count:
            return
        try:
            start_up = self.read_settings()
        except (OSError, MalformedInputError) as error:
            _log.error("reload failed", extra={"fields": {"why": error, "tries_left": tries}})
            if tries:
                self.loop.call_later(REREAD_DELAY, self._read_start_up, reload_number, tries - 1)
            return
        fixed = ("name", "listen", "site")
        need_restart = [name for name in fixed if getattr(start_up, name) != getattr(self.start_up, name)]
        _log.info("reloaded", extra={"fields": {"need_restart": ",".join(need_restart) or "-"}})
        self.submit(SettingsReloaded(start_up.discovery, start_up.names))

    def submit(self, event: Event) -> None:
        """Processes an event, or queues it where it arises while another one is being processed."""
        self.event_queue.append(event)
        if self.processing:
            return
        self.processing = True
        try:
            while self.event_queue:
                self._process_event(self.event_queue.popleft())
        finally:
            self.processing = False

    def _process_event(self, event: Event) -> None:
        try:
            requested = self.reducer.dispatch(event, self.now())
        except Exception:
            count_exception("event_failed", type(event).__name__)
            requested = self.reducer.pop_effects()
            if isinstance(event, StopRequested):  # no other event would start the stop again
                self.loop.call_later(STOP_RETRY_DELAY, self.submit, StopRequested())
            # Guards rule 1: the client is answered, or its tunnel broken, and its setups are ended.
            if (
                isinstance(event, ClientArrived | SetupConnected | SetupOpened | SetupEnded)
                and event.client in self.clients
            ):
                self._execute_all(requested)
                self.clients[event.client].fail()
                requested = []
                self.event_queue.append(ClientLeft(event.client, False))
                for server in [
                    server for (client, _), server in self.servers.items() if client == event.client
                ]:
                    self.loop.call_soon(server.fail)
        if isinstance(event, ListReceived) and not self.discovery_answered.done():
            self.discovery_answered.set_result(None)
        if _trace.isEnabledFor(logging.DEBUG):
            _trace.debug("step", extra={"fields": {"took": event, "asks": requested}})
        self._execute_all(requested)

    def _execute_all(self, requested: list[effects.Effect]) -> None:
        for effect in requested:
            try:
                self._execute(effect)
            except Exception:
                count_exception("effect_failed", type(effect).__name__)
                # Guards rule 1: no other event would end this attempt.
                if isinstance(effect, effects.Connect):
                    self.servers.pop((effect.client, effect.setup), None)
                    self.event_queue.append(
                        SetupEnded(effect.client, effect.setup, EndLine("moot", {}), False)
                    )

    def _server(
        self,
        effect: effects.WriteRequest | effects.AbandonSetup | effects.RelayTunnel | effects.MigrateClient,
    ) -> ServerConnection | None:
        return self.servers.get((effect.client, effect.setup))

    def _execute(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Connect():
                client = self.clients.get(effect.client)
                if client is not None and not client.detect_disconnect():
                    address = f"{effect.address[0]}:{effect.address[1]}"
                    self.request_log.record(
                        "attempt", client.request_id, attempt=effect.setup, server=address
                    )
                    self.servers[effect.client, effect.setup] = ServerConnection(self, effect, client)
            case effects.WriteRequest():
                if (server := self._server(effect)) is not None:
                    self.request_log.record("sent", self.request_id(effect.client), attempt=effect.setup)
                    server.write_request()
            case effects.AbandonSetup():
                if (server := self._server(effect)) is not None:
                    server.close(effect.reset)
            case effects.RelayTunnel():
                if (server := self._server(effect)) is not None:
                    self.request_log.record("served", self.request_id(effect.client), attempt=effect.setup)
                    server.start_relay()
            case effects.Reply():
                if effect.client in self.clients:
                    step = "refused" if isinstance(effect.answer, Decline) else "failed"
                    self.request_log.record(step, self.request_id(effect.client), effect.reason or "-")
                    self.clients[effect.client].answer(effect.answer)
            case effects.CloseClient():
                if effect.client in self.clients:
                    reason = "server_reset" if effect.reset else "server_ended"
                    self.request_log.record("closed", self.request_id(effect.client), reason)
                    self.clients[effect.client].end(effect.reset)
            case effects.MigrateClient():
                if effect.client in self.clients:
                    self.request_log.record("closed", self.request_id(effect.client), "moved")
                    self.clients[effect.client].send_move()
                if (server := self._server(effect)) is not None:
                    server.close(False)
            case effects.Probe():
                self.probes.send(effect)
            case effects.ForgetServer():
                self.probes.abandon(effect.server)
            case effects.SwitchDiscovery():
                self.discovery.end_call(keep=False)
                self.discovery = DiscoveryClient(self, effect.address, effect.names)
            case effects.RequestList():
                self.discovery.request_list(effect)
            case effects.SetTimer():
                if self.timer is not None:  # at most one timer is pending
                    self.timer.cancel()
                self.timer = self.loop.call_later(
                    max(effect.delay, CLOCK_RESOLUTION), self.submit, TimerDue()
                )
            case effects.SetAnswerTimer():
                if effect.client in self.clients:
                    self.clients[effect.client].set_answer_timer(effect.delay)
            case effects.ScheduleStop():
                self.loop.call_later(effect.delay, self.submit, StopRequested())
            case effects.CloseIdleClients():
                self.connections.close_idle(self.now())
            case effects.ExitProcess():
                self._begin_exit(self.now() + effect.time_limit)

    def _begin_exit(self, deadline: float) -> None:
        if self.exit_check is None:
            self.exit_check = PeriodicTimer(
                self.loop, "leave", lambda: EXIT_CHECK_INTERVAL, lambda: self._check_exit(deadline)
            )
            self.exit_check.run()

    def _check_timeouts(self) -> None:
        """Handles overdue answers, servers that do not respond, and clients that send no request in time."""
        now = self.now()
        for client in list(self.clients.values()):
            if (
                client.lifecycle.state is ConnectionState.REQUESTED
                and now > client.answer_deadline + ANSWER_SLACK
            ):
                self._answer_overdue(client, now)
            elif client.is_held:
                client.detect_reset()
        for server in list(self.servers.values()):
            server.check_inactivity(now)
        for idle in list(self.connections.idle):
            # Unread bytes may be its line; one that has sent part of its line has more time.
            timeout = self.partial_line_timeout if idle.buffer else self.first_line_timeout
            if now - idle.accepted_at > timeout and not tcp.unread_bytes(idle.transport):
                idle.refuse("silent", "no request in time")

    def _answer_overdue(self, client: ClientConnection, now: float) -> None:
        """Guards rule 1 where the reducer has not answered a client by its deadline."""
        violations.record("answer_overdue", client.request_id)
        fields = {
            "what": "answer_overdue",
            "request": client.request_id,
            "late": now - client.answer_deadline,
        }
        _log.error("broken", extra={"fields": fields})
        self.request_log.record("failed", client.request_id, "overdue")
        self.submit(ClientLeft(client.number, False))
        client.fail()

    def _log_state(self) -> None:
        """Logs the state line: the reducer's figures, and counts of refusals, requests and violations."""
        counts = dict(self.refusals) | dict(self.request_log.counts) | violations.figures()
        _log.info("state", extra={"fields": self.reducer.figures() | counts})

    def _state_log_interval(self) -> float:
        return (
            self.operator_file.state_every if self.operator_file is not None else None
        ) or STATE_LOG_INTERVAL


def run(
    start_up: StartUpSettings,
    read_settings: Callable[[], StartUpSettings],
    operator_file: OperatorFile | None = None,
    policy: type[Balancer] = Balancer,
    snapshots: SnapshotRunner | None = None,
    cluster: ClusterRunner | None = None,
    recovery: RecoveryRunner | None = None,
) -> None:
    """Runs a balancer until it has stopped. Raises OSError where the address can't be bound."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        await BalancerProcess(
            start_up, loop, read_settings, operator_file, policy, snapshots, cluster, recovery
        ).serve()

    uvloop.run(main())
