"""One real balancer: feeds events to the reducer, in order, and carries out the effects it asks for."""

from __future__ import annotations

import asyncio
import logging
import resource
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
    ListRequestFailed,
    SettingsReloaded,
    SetupConnected,
    SetupEnded,
    SetupOpened,
    StopRequested,
    TimerDue,
)
from pointgw.net.core.reducer import INHERITED_TIMEOUT_SECONDS, Reducer
from pointgw.net.core.route import RouteEvidence
from pointgw.net.invariant import violations
from pointgw.net.run import tcp
from pointgw.net.run.client import ClientConnection
from pointgw.net.run.client_connections import ClientConnections
from pointgw.net.run.connection_state import ConnectionState
from pointgw.net.run.discovery import DiscoveryClient
from pointgw.net.run.periodic import PeriodicTimer, count_exception
from pointgw.net.run.probe_pool import ProbePool
from pointgw.net.run.request_log import RequestLog
from pointgw.net.run.server import ServerConnection
from pointgw.net.wire.lines import Decline, EndLine, OpenRequest
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.cluster import ClusterRunner
    from pointgw.net.run.operator_file import OperatorFile
    from pointgw.net.run.recovery import RecoveryRunner
    from pointgw.net.run.snapshots import SnapshotRunner

CHECK_INTERVAL = 0.25  # seconds between two checks for silent connections and overdue answers
STATE_LOG_INTERVAL = 10.0  # seconds between two state lines of the log
FIRST_LINE_SHARE = 0.5  # share of the longest client timeout within which a client must begin its request
BAD_CLIENT_TIMEOUT = 3.0  # seconds after accept by which a misbehaving client gets an error or a close
SPARE_DESCRIPTOR_SHARE = 1 / 8  # share of the descriptors in reserve; idle connections are closed for it
OWN_DESCRIPTORS = 16  # descriptors that the process itself uses
CLOCK_RESOLUTION = 0.001  # seconds, resolution of the event loop's clock
EXIT_CHECK_INTERVAL = 0.01  # seconds between two checks whether the last connections have closed
BIND_TIMEOUT = 8.0  # seconds for which binding to an address in use is retried
BIND_RETRY_DELAY = 0.25  # seconds between two attempts to bind
REREAD_DELAY = 0.25  # seconds until a rejected start-up file is read again
MAX_REREADS = 8  # times that a rejected start-up file is read again after one SIGHUP
ANSWER_SLACK = 0.25  # seconds after its deadline from which a request without an answer counts as an error
STOP_RETRY_DELAY = 0.1  # seconds until a failed stop is tried again

_log = logging.getLogger("pointgw.node")
_trace = logging.getLogger("pointgw.trace")  # every event and its effects, for debug runs


class BalancerProcess:
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
        self.wall_clock_offset = time.time() - time.monotonic()  # servers' starts are told in the time of day
        self.reducer = self._create_reducer(policy)
        self.slow_threshold = self.reducer.balancer.attempt_timeout / 3
        self.partial_line_timeout = min(
            self.reducer.max_client_timeout, BAD_CLIENT_TIMEOUT - 2 * CHECK_INTERVAL
        )
        self.first_line_timeout = min(
            FIRST_LINE_SHARE * self.reducer.max_client_timeout, self.partial_line_timeout
        )
        self.descriptor_limit = _descriptor_limit(start_up.descriptors)
        self.descriptor_budget = int(self.descriptor_limit * (1 - SPARE_DESCRIPTOR_SHARE)) - OWN_DESCRIPTORS
        self.connections = ClientConnections(loop, self.reducer.max_client_timeout)
        self.refusals: Counter[str] = Counter()
        self.clients: dict[int, ClientConnection] = {}
        self.servers: dict[tuple[int, int], ServerConnection] = {}
        self.probes = ProbePool(self, self.descriptor_budget)
        self.discovery = DiscoveryClient(self, start_up.discovery, start_up.names)
        self.request_numbers = count()
        self.event_queue: deque[Event] = deque()
        self.processing = False
        self.timer: asyncio.TimerHandle | None = None
        self.stopping = False
        self.reload_count = 0  # signals to read the files again
        self.request_log, self.route_evidence = RequestLog(), RouteEvidence()
        self.timeout_check = PeriodicTimer(loop, "look", lambda: CHECK_INTERVAL, self._check_timeouts)
        self.state_log = PeriodicTimer(loop, "report", self._state_log_interval, self._log_state)
        self.exit_check: PeriodicTimer | None = None
        self.discovery_answered: asyncio.Future[None] = (
            loop.create_future()
        )  # by discovery, or that it says nothing
        self.ended: asyncio.Future[None] = loop.create_future()

    def _create_reducer(self, policy: type[Balancer]) -> Reducer:
        if self.snapshots is None:
            return Reducer(self.start_up, self.now(), policy)
        from pointgw.net.run.snapshots import restore_learned_state

        recalled = self.snapshots.restored
        reducer = Reducer(self.start_up, self.now(), policy, self.snapshots.membership, recalled)
        if recalled is not None:
            restore_learned_state(reducer.balancer, recalled, self.now())
        return reducer

    def now(self) -> float:
        return time.monotonic() + self.wall_clock_offset

    def register_request(self, side: ClientConnection) -> int:
        number = next(self.request_numbers)
        self.connections.remove_idle(side)
        self.clients[number] = side
        self.request_log.record("arrived", side.request_id)
        return number

    def answer_deadline(self, opening: OpenRequest) -> float:
        """When its answer is due. One that stood before the run has longer."""
        if opening.current_server:
            return self.now() + INHERITED_TIMEOUT_SECONDS
        longest = self.reducer.max_client_timeout
        return self.now() + (
            longest if opening.remaining_time is None else min(opening.remaining_time, longest)
        )

    def request_id(self, client: int) -> str:
        """For the log."""
        return self.clients[client].request_id if client in self.clients else "-"

    def client_accepted(self, side: ClientConnection) -> None:
        """Guards against clients that hold descriptors and say nothing: the oldest make room for others."""
        self.connections.add_idle(side)
        door = len(self.connections.idle) + len(self.connections.lingering)
        held = door + len(self.clients) + len(self.servers) + len(self.probes)
        if held > self.descriptor_budget:
            self._free_descriptor()

    def _free_descriptor(self) -> None:
        """Frees a descriptor for a client: an idle probe's first, then that of one that says nothing."""
        if not self.probes.close_idle() and self.connections.evict_one() is not None:
            self.count_refusal("no descriptors", "others need its descriptor")

    def count_refusal(self, kind: str, why: object) -> None:
        self.refusals[kind] += 1
        _log.debug("refused", extra={"fields": {"kind": kind, "why": why}})

    def remove_client(self, side: ClientConnection) -> None:
        self.connections.remove(side)
        self.clients.pop(side.number, None)

    async def serve(self) -> None:
        for name in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(name, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._execute_all(self.reducer.pop_effects())
        if early_signals.pop_sighup():  # it came after the file was read, or may have
            self.reload()
        if self.reducer.list_is_pushed:  # rule 3: what the agent has counts as told from the first moment
            await self.discovery_answered
        await self._listen()
        self.timeout_check.start()
        self.state_log.run()
        on = ":".join(str(part) for part in self.start_up.listen)
        about = {"name": self.start_up.name, "on": on, "descriptors": self.descriptor_limit}
        _log.info("serving", extra={"fields": about})
        if self.snapshots is not None:
            self.snapshots.start(self.reducer, self.loop, self.now)
        if self.cluster is not None:
            await self.cluster.start(self.reducer, self.loop, self.start_up.seed)
        if self.recovery is not None:
            voice = self.cluster.transport if self.cluster is not None else None
            await self.recovery.start(self.reducer, self.loop, self.now, self.start_up.seed, voice)
        await self.ended
        self._stop_periodic()
        self.connections.stop_listening(force=True)
        unanswered = sum(side.lifecycle.state is ConnectionState.REQUESTED for side in self.clients.values())
        if unanswered:
            violations["closed_without_answer"] += unanswered
            _log.error("closed without answer", extra={"fields": {"requests": unanswered}})
        _log.info("ended", extra={"fields": dict(self.request_log.counts) | dict(violations)})
        if self.cluster is not None:
            self.cluster.stop()
        if self.recovery is not None:
            self.recovery.stop()
        if self.snapshots is not None:
            await self.snapshots.stop()

    async def _listen(self) -> None:
        """Raises OSError where the address stays taken, as by the process before or by a connection."""
        until = self.now() + BIND_TIMEOUT
        while True:
            try:
                self.connections.listen(
                    self.start_up.listen, lambda: ClientConnection(self), self._free_descriptor
                )
                return
            except OSError as fault:
                if self.now() >= until or self.stopping:
                    raise
                _log.warning("no address yet", extra={"fields": {"why": fault}})
            await asyncio.sleep(BIND_RETRY_DELAY)

    def _check_exit(self, until: float) -> None:
        """The last steps: ends once all clients' connections have ended, or when the time is over."""
        over = self.now() >= until
        if (self.connections.close_remaining(self.now(), over) and not self.clients) or over:
            self._set_ended()

    def _stop_periodic(self) -> None:
        for periodic in (self.timeout_check, self.state_log, self.exit_check):
            if periodic is not None:
                periodic.stop()

    def _force_end(self) -> None:
        """The stop's own steps have not ended it in their time: who waits is answered, and it ends."""
        if self.ended.done():
            return
        violations["stop_not_ended"] += 1
        for side in list(self.clients.values()):
            side.fail()
        self.loop.call_later(EXIT_CHECK_INTERVAL, self._set_ended)

    def _set_ended(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            _log.info("stopping", extra={"fields": {"clients": len(self.clients)} | self.reducer.figures()})
            if (
                not self.discovery_answered.done()
            ):  # a start that waits for the list goes on, and so to its end
                self.discovery_answered.set_result(None)
            self.loop.call_later(self.reducer.stop_time_limit + EXIT_CHECK_INTERVAL, self._force_end)
            self.submit(StopRequested())

    def reload(self) -> None:
        """Takes over what has changed in the files; what can't be read changes nothing."""
        if self.stopping:
            return
        self.reload_count += 1
        if self.operator_file is not None:
            self.operator_file.reload()
            if self.cluster is not None:
                self.cluster.reload(self.operator_file.settings.tier)
        self._read_start_up(self.reload_count, MAX_REREADS)

    def _read_start_up(self, reread: int, tries: int) -> None:
        """A file that is refused may still be being written: it is read again, until the next signal."""
        if self.stopping or reread != self.reload_count:
            return
        try:
            told = self.read_settings()
        except (OSError, Malformed) as fault:
            _log.error("reload refused", extra={"fields": {"why": fault, "tries_left": tries}})
            if tries:
                self.loop.call_later(REREAD_DELAY, self._read_start_up, reread, tries - 1)
            return
        fixed = ("name", "listen", "site")
        restart = [name for name in fixed if getattr(told, name) != getattr(self.start_up, name)]
        _log.info("reloaded", extra={"fields": {"need_restart": ",".join(restart) or "-"}})
        self.submit(SettingsReloaded(told.discovery, told.names))

    def submit(self, event: Event) -> None:
        """What is fed while effects are carried out waits for its turn."""
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
            if isinstance(event, StopRequested):  # guards the stop, which no other event brings on
                self.loop.call_later(STOP_RETRY_DELAY, self.submit, StopRequested())
            # Guards rule 1: whatever went wrong, the client gets an answer, and what was begun for it ends.
            if (
                isinstance(event, ClientArrived | SetupConnected | SetupOpened | SetupEnded)
                and event.client in self.clients
            ):
                self._execute_all(requested)
                self.clients[event.client].fail()
                requested = []
                self.event_queue.append(ClientLeft(event.client, False))
                for side in [side for (client, _), side in self.servers.items() if client == event.client]:
                    self.loop.call_soon(side.fail)
        if isinstance(event, ListReceived | ListRequestFailed) and not self.discovery_answered.done():
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
                if isinstance(effect, effects.Connect):  # guards rule 1: nothing else would end this attempt
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
                side = self.clients.get(effect.client)
                if side is not None and not side.detect_disconnect():
                    at = f"{effect.address[0]}:{effect.address[1]}"
                    self.request_log.record("attempt", side.request_id, attempt=effect.setup, server=at)
                    self.servers[effect.client, effect.setup] = ServerConnection(self, effect, side)
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
                    server.join()
            case effects.Reply():
                if effect.client in self.clients:
                    how = "refused" if isinstance(effect.answer, Decline) else "failed"
                    self.request_log.record(how, self.request_id(effect.client), effect.reason or "-")
                    self.clients[effect.client].answer(effect.answer)
            case effects.CloseClient():
                if effect.client in self.clients:
                    how = "server_reset" if effect.reset else "server_ended"
                    self.request_log.record("closed", self.request_id(effect.client), how)
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
                if self.timer is not None:  # an earlier one takes its place
                    self.timer.cancel()
                self.timer = self.loop.call_later(
                    max(effect.delay, CLOCK_RESOLUTION), self.submit, TimerDue()
                )
            case effects.ScheduleStop():
                self.loop.call_later(effect.delay, self.submit, StopRequested())
            case effects.CloseIdleClients():
                self.connections.close_idle(self.now())
            case effects.ExitProcess():
                self._begin_exit(self.now() + effect.time_limit)

    def _begin_exit(self, until: float) -> None:
        if self.exit_check is None:
            self.exit_check = PeriodicTimer(
                self.loop, "leave", lambda: EXIT_CHECK_INTERVAL, lambda: self._check_exit(until)
            )
            self.exit_check.run()

    def _check_timeouts(self) -> None:
        now = self.now()
        for side in list(self.clients.values()):
            if (
                side.lifecycle.state is ConnectionState.REQUESTED
                and now > side.answer_deadline + ANSWER_SLACK
            ):
                self._answer_overdue(side, now)
        for server in list(self.servers.values()):
            server.check_inactivity(now)
        for side in list(self.connections.idle):
            # One whose line has come and was not read yet is not silent; one amid its line has longer.
            within = self.partial_line_timeout if side.buffer else self.first_line_timeout
            if now - side.accepted_at > within and not tcp.unread_bytes(side.transport):
                side.refuse("silent", "expected a first line in time")

    def _answer_overdue(self, side: ClientConnection, now: float) -> None:
        """Guards rule 1 against whatever keeps the decisions from answering it."""
        violations["answer_overdue"] += 1
        late = {"what": "answer_overdue", "request": side.request_id, "late": now - side.answer_deadline}
        _log.error("broken", extra={"fields": late})
        self.request_log.record("failed", side.request_id, "overdue")
        self.submit(ClientLeft(side.number, False))
        side.fail()

    def _log_state(self) -> None:
        counts = dict(self.refusals) | dict(self.request_log.counts) | dict(violations)
        _log.info("state", extra={"fields": self.reducer.figures() | counts})

    def _state_log_interval(self) -> float:
        return (
            self.operator_file.state_every if self.operator_file is not None else None
        ) or STATE_LOG_INTERVAL


def _descriptor_limit(told: int) -> int:
    """Descriptors that this process may hold, by what it was told and by its own limit."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limit = limit if limit > 0 else 2**20  # -1: no limit
    return min(told or limit, limit)


def run(
    start_up: StartUpSettings,
    read_settings: Callable[[], StartUpSettings],
    operator_file: OperatorFile | None = None,
    policy: type[Balancer] = Balancer,
    snapshots: SnapshotRunner | None = None,
    cluster: ClusterRunner | None = None,
    recovery: RecoveryRunner | None = None,
) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        await BalancerProcess(
            start_up, loop, read_settings, operator_file, policy, snapshots, cluster, recovery
        ).serve()

    uvloop.run(main())
