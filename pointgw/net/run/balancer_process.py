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
from pointgw.net.run.client import ClientSide
from pointgw.net.run.client_connections import ClientConnections
from pointgw.net.run.connection_state import ConnectionState
from pointgw.net.run.discovery import DiscoverySide
from pointgw.net.run.periodic import Periodic, count_fault
from pointgw.net.run.probe_pool import ProbePool
from pointgw.net.run.request_log import RequestLog
from pointgw.net.run.server import ServerSide
from pointgw.net.wire.lines import Decline, EndLine, OpenRequest
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.cluster import ClusterRunner
    from pointgw.net.run.operator_file import OperatorFile
    from pointgw.net.run.recovery import RecoveryRunner
    from pointgw.net.run.snapshots import SnapshotRunner

LOOK = 0.25  # seconds between two looks for connections that bring nothing back
REPORT = 10.0  # seconds between two lines of the log on how things stand
FIRST_LINE = 0.5  # of the longest client timeout: how long a client may say nothing that can be used
BAD_CLIENT_OWED = 3.0  # seconds from its connection within which a bad client has an error or a close
SPARE = 1 / 8  # of the descriptors that are kept free of clients that say nothing
OWN_FILES = 16  # descriptors of the process itself
LEAST = 0.001  # seconds: what the loop's clock can tell apart
LEAVE = 0.01  # seconds between two looks whether the last connections have ended
BIND_WITHIN, BIND_AGAIN = 8.0, 0.25  # seconds for which an address that is taken is tried; between two tries
READ_AGAIN, READ_TRIES = 0.25, 8  # seconds until a start-up file that was refused is read again; how often
ANSWER_SLACK = 0.25  # seconds after its deadline from which a request without an answer is a fault
AGAIN = 0.1  # seconds until a step of the stop that failed is tried again

_log = logging.getLogger("pointgw.node")
_trace = logging.getLogger("pointgw.trace")  # every event and its effects, for debug runs


class BalancerProcess:
    def __init__(
        self,
        start: StartUpSettings,
        loop: asyncio.AbstractEventLoop,
        again: Callable[[], StartUpSettings],
        operated: OperatorFile | None = None,
        policy: type[Balancer] = Balancer,
        remembering: SnapshotRunner | None = None,
        tiering: ClusterRunner | None = None,
        recovering: RecoveryRunner | None = None,
    ) -> None:
        self.snapshots, self.cluster, self.recovery = remembering, tiering, recovering
        self.loop, self.start, self.read_settings, self.operator_file = loop, start, again, operated
        self.shift = time.time() - time.monotonic()  # servers' starts are told in the time of day
        self.reducer = self._reducer(policy)
        self.slow_after = self.reducer.balancer.attempt_timeout / 3
        self.line_within = min(self.reducer.max_client_timeout, BAD_CLIENT_OWED - 2 * LOOK)
        self.first_within = min(FIRST_LINE * self.reducer.max_client_timeout, self.line_within)
        self.allowed = _allowed(start.descriptors)
        self.descriptors = int(self.allowed * (1 - SPARE)) - OWN_FILES
        self.connections = ClientConnections(loop, self.reducer.max_client_timeout)
        self.turned_away: Counter[str] = Counter()
        self.clients: dict[int, ClientSide] = {}
        self.servers: dict[tuple[int, int], ServerSide] = {}
        self.probes = ProbePool(self, self.descriptors)
        self.discovery = DiscoverySide(self, start.discovery, start.names)
        self.numbers = count()
        self.queue: deque[Event] = deque()
        self.feeding = False
        self.timer: asyncio.TimerHandle | None = None
        self.stopping = False
        self.rereads = 0  # signals to read the files again
        self.requests, self.route = RequestLog(), RouteEvidence()
        self.look = Periodic(loop, "look", lambda: LOOK, self._look)
        self.report = Periodic(loop, "report", self._report_interval, self._report)
        self.leave: Periodic | None = None
        self.heard: asyncio.Future[None] = loop.create_future()  # by discovery, or that it says nothing
        self.ended: asyncio.Future[None] = loop.create_future()

    def _reducer(self, policy: type[Balancer]) -> Reducer:
        if self.snapshots is None:
            return Reducer(self.start, self.now(), policy)
        from pointgw.net.run.snapshots import restore_learned_state

        recalled = self.snapshots.restored
        reducer = Reducer(self.start, self.now(), policy, self.snapshots.membership, recalled)
        if recalled is not None:
            restore_learned_state(reducer.balancer, recalled, self.now())
        return reducer

    def now(self) -> float:
        return time.monotonic() + self.shift

    def number(self, side: ClientSide) -> int:
        number = next(self.numbers)
        self.connections.requested(side)
        self.clients[number] = side
        self.requests.step("arrived", side.request)
        return number

    def answer_due(self, opening: OpenRequest) -> float:
        """When its answer is due. One that stood before the run has longer."""
        if opening.current_server:
            return self.now() + INHERITED_TIMEOUT_SECONDS
        longest = self.reducer.max_client_timeout
        return self.now() + (
            longest if opening.remaining_time is None else min(opening.remaining_time, longest)
        )

    def request_id(self, client: int) -> str:
        """For the log."""
        return self.clients[client].request if client in self.clients else "-"

    def accepted(self, side: ClientSide) -> None:
        """Guards against clients that hold descriptors and say nothing: the oldest make room for others."""
        self.connections.accepted(side)
        door = len(self.connections.idle) + len(self.connections.lingering)
        held = door + len(self.clients) + len(self.servers) + len(self.probes)
        if held > self.descriptors:
            self._make_room()

    def _make_room(self) -> None:
        """Frees a descriptor for a client: an idle probe's first, then that of one that says nothing."""
        if not self.probes.close_idle() and self.connections.make_room() is not None:
            self.refused("no descriptors", "others need its descriptor")

    def refused(self, kind: str, why: object) -> None:
        self.turned_away[kind] += 1
        _log.debug("refused", extra={"fields": {"kind": kind, "why": why}})

    def forget(self, side: ClientSide) -> None:
        self.connections.gone(side)
        self.clients.pop(side.number, None)

    async def serve(self) -> None:
        for name in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(name, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._carry_out(self.reducer.pop_effects())
        if early_signals.pop_sighup():  # it came after the file was read, or may have
            self.reload()
        if self.reducer.list_is_pushed:  # rule 3: what the agent has counts as told from the first moment
            await self.heard
        await self._listen()
        self.look.start()
        self.report.run()
        on = ":".join(str(part) for part in self.start.listen)
        about = {"name": self.start.name, "on": on, "descriptors": self.allowed}
        _log.info("serving", extra={"fields": about})
        if self.snapshots is not None:
            self.snapshots.start(self.reducer, self.loop, self.now)
        if self.cluster is not None:
            await self.cluster.start(self.reducer, self.loop, self.start.seed)
        if self.recovery is not None:
            voice = self.cluster.transport if self.cluster is not None else None
            await self.recovery.start(self.reducer, self.loop, self.now, self.start.seed, voice)
        await self.ended
        self._stop_periodic()
        self.connections.close(force=True)
        unanswered = sum(side.life.state is ConnectionState.ASKED for side in self.clients.values())
        if unanswered:
            violations["closed_without_answer"] += unanswered
            _log.error("closed without answer", extra={"fields": {"requests": unanswered}})
        _log.info("ended", extra={"fields": dict(self.requests.counts) | dict(violations)})
        if self.cluster is not None:
            self.cluster.stop()
        if self.recovery is not None:
            self.recovery.stop()
        if self.snapshots is not None:
            await self.snapshots.stop()

    async def _listen(self) -> None:
        """Raises OSError where the address stays taken, as by the process before or by a connection."""
        until = self.now() + BIND_WITHIN
        while True:
            try:
                self.connections.open(self.start.listen, lambda: ClientSide(self), self._make_room)
                return
            except OSError as fault:
                if self.now() >= until or self.stopping:
                    raise
                _log.warning("no address yet", extra={"fields": {"why": fault}})
            await asyncio.sleep(BIND_AGAIN)

    def _leave(self, until: float) -> None:
        """The last steps: ends once all clients' connections have ended, or when the time is over."""
        over = self.now() >= until
        if (self.connections.empty(self.now(), over) and not self.clients) or over:
            self._set_ended()

    def _stop_periodic(self) -> None:
        for periodic in (self.look, self.report, self.leave):
            if periodic is not None:
                periodic.stop()

    def _end_by_force(self) -> None:
        """The stop's own steps have not ended it in their time: who waits is answered, and it ends."""
        if self.ended.done():
            return
        violations["stop_not_ended"] += 1
        for side in list(self.clients.values()):
            side.fail()
        self.loop.call_later(LEAVE, self._set_ended)

    def _set_ended(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            _log.info("stopping", extra={"fields": {"clients": len(self.clients)} | self.reducer.figures()})
            if not self.heard.done():  # a start that waits for the list goes on, and so to its end
                self.heard.set_result(None)
            self.loop.call_later(self.reducer.stop_time_limit + LEAVE, self._end_by_force)
            self.feed(StopRequested())

    def reload(self) -> None:
        """Takes over what has changed in the files; what can't be read changes nothing."""
        if self.stopping:
            return
        self.rereads += 1
        if self.operator_file is not None:
            self.operator_file.reload()
            if self.cluster is not None:
                self.cluster.reload(self.operator_file.settings.tier)
        self._read_start_up(self.rereads, READ_TRIES)

    def _read_start_up(self, reread: int, tries: int) -> None:
        """A file that is refused may still be being written: it is read again, until the next signal."""
        if self.stopping or reread != self.rereads:
            return
        try:
            told = self.read_settings()
        except (OSError, Malformed) as fault:
            _log.error("reload refused", extra={"fields": {"why": fault, "tries_left": tries}})
            if tries:
                self.loop.call_later(READ_AGAIN, self._read_start_up, reread, tries - 1)
            return
        fixed = ("name", "listen", "site")
        restart = [name for name in fixed if getattr(told, name) != getattr(self.start, name)]
        _log.info("reloaded", extra={"fields": {"need_restart": ",".join(restart) or "-"}})
        self.feed(SettingsReloaded(told.discovery, told.names))

    def feed(self, event: Event) -> None:
        """What is fed while effects are carried out waits for its turn."""
        self.queue.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.queue:
                self._reduce(self.queue.popleft())
        finally:
            self.feeding = False

    def _reduce(self, event: Event) -> None:
        try:
            requested = self.reducer.dispatch(event, self.now())
        except Exception:
            count_fault("event_failed", type(event).__name__)
            requested = self.reducer.pop_effects()
            if isinstance(event, StopRequested):  # guards the stop, which no other event brings on
                self.loop.call_later(AGAIN, self.feed, StopRequested())
            # Guards rule 1: whatever went wrong, the client gets an answer, and what was begun for it ends.
            if (
                isinstance(event, ClientArrived | SetupConnected | SetupOpened | SetupEnded)
                and event.client in self.clients
            ):
                self._carry_out(requested)
                self.clients[event.client].fail()
                requested = []
                self.queue.append(ClientLeft(event.client, False))
                for side in [side for (client, _), side in self.servers.items() if client == event.client]:
                    self.loop.call_soon(side.give_up)
        if isinstance(event, ListReceived | ListRequestFailed) and not self.heard.done():
            self.heard.set_result(None)
        if _trace.isEnabledFor(logging.DEBUG):
            _trace.debug("step", extra={"fields": {"took": event, "asks": requested}})
        self._carry_out(requested)

    def _carry_out(self, requested: list[effects.Effect]) -> None:
        for effect in requested:
            try:
                self._do(effect)
            except Exception:
                count_fault("effect_failed", type(effect).__name__)
                if isinstance(effect, effects.Connect):  # guards rule 1: nothing else would end this attempt
                    self.servers.pop((effect.client, effect.setup), None)
                    self.queue.append(SetupEnded(effect.client, effect.setup, EndLine("moot", {}), False))

    def _server(
        self,
        effect: effects.WriteRequest | effects.AbandonSetup | effects.RelayTunnel | effects.MigrateClient,
    ) -> ServerSide | None:
        return self.servers.get((effect.client, effect.setup))

    def _do(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Connect():
                side = self.clients.get(effect.client)
                if side is not None and not side.found_gone():
                    at = f"{effect.address[0]}:{effect.address[1]}"
                    self.requests.step("attempt", side.request, attempt=effect.setup, server=at)
                    self.servers[effect.client, effect.setup] = ServerSide(self, effect, side)
            case effects.WriteRequest():
                if (server := self._server(effect)) is not None:
                    self.requests.step("sent", self.request_id(effect.client), attempt=effect.setup)
                    server.write()
            case effects.AbandonSetup():
                if (server := self._server(effect)) is not None:
                    server.drop(effect.reset)
            case effects.RelayTunnel():
                if (server := self._server(effect)) is not None:
                    self.requests.step("served", self.request_id(effect.client), attempt=effect.setup)
                    server.join()
            case effects.Reply():
                if effect.client in self.clients:
                    how = "refused" if isinstance(effect.answer, Decline) else "failed"
                    self.requests.step(how, self.request_id(effect.client), effect.reason or "-")
                    self.clients[effect.client].answer(effect.answer)
            case effects.CloseClient():
                if effect.client in self.clients:
                    how = "server_reset" if effect.reset else "server_ended"
                    self.requests.step("closed", self.request_id(effect.client), how)
                    self.clients[effect.client].end(effect.reset)
            case effects.MigrateClient():
                if effect.client in self.clients:
                    self.requests.step("closed", self.request_id(effect.client), "moved")
                    self.clients[effect.client].move()
                if (server := self._server(effect)) is not None:
                    server.drop(False)
            case effects.Probe():
                self.probes.ask(effect)
            case effects.ForgetServer():
                self.probes.forget(effect.server)
            case effects.SwitchDiscovery():
                self.discovery.over(keep=False)
                self.discovery = DiscoverySide(self, effect.address, effect.names)
            case effects.RequestList():
                self.discovery.ask(effect)
            case effects.SetTimer():
                if self.timer is not None:  # an earlier one takes its place
                    self.timer.cancel()
                self.timer = self.loop.call_later(max(effect.delay, LEAST), self.feed, TimerDue())
            case effects.ScheduleStop():
                self.loop.call_later(effect.delay, self.feed, StopRequested())
            case effects.CloseIdleClients():
                self.connections.end_idle(self.now())
            case effects.ExitProcess():
                self._begin_leaving(self.now() + effect.time_limit)

    def _begin_leaving(self, until: float) -> None:
        if self.leave is None:
            self.leave = Periodic(self.loop, "leave", lambda: LEAVE, lambda: self._leave(until))
            self.leave.run()

    def _look(self) -> None:
        now = self.now()
        for side in list(self.clients.values()):
            if side.life.state is ConnectionState.ASKED and now > side.due + ANSWER_SLACK:
                self._answer_overdue(side, now)
        for server in list(self.servers.values()):
            server.look(now)
        for side in list(self.connections.idle):
            # One whose line has come and was not read yet is not silent; one amid its line has longer.
            within = self.line_within if side.buffer else self.first_within
            if now - side.accepted_at > within and not tcp.unread(side.transport):
                side.refuse("silent", "expected a first line in time")

    def _answer_overdue(self, side: ClientSide, now: float) -> None:
        """Guards rule 1 against whatever keeps the decisions from answering it."""
        violations["answer_overdue"] += 1
        late = {"what": "answer_overdue", "request": side.request, "late": now - side.due}
        _log.error("broken", extra={"fields": late})
        self.requests.step("failed", side.request, "overdue")
        self.feed(ClientLeft(side.number, False))
        side.fail()

    def _report(self) -> None:
        counts = dict(self.turned_away) | dict(self.requests.counts) | dict(violations)
        _log.info("state", extra={"fields": self.reducer.figures() | counts})

    def _report_interval(self) -> float:
        return (self.operator_file.state_every if self.operator_file is not None else None) or REPORT


def _allowed(told: int) -> int:
    """Descriptors that this process may hold, by what it was told and by its own limit."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limit = limit if limit > 0 else 2**20  # -1: no limit
    return min(told or limit, limit)


def run(
    start: StartUpSettings,
    again: Callable[[], StartUpSettings],
    operated: OperatorFile | None = None,
    policy: type[Balancer] = Balancer,
    remembering: SnapshotRunner | None = None,
    tiering: ClusterRunner | None = None,
    recovering: RecoveryRunner | None = None,
) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        await BalancerProcess(start, loop, again, operated, policy, remembering, tiering, recovering).serve()

    uvloop.run(main())
