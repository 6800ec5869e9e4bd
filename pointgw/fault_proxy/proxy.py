"""Forwards bytes between two sockets as the schedules decide.

Reading pauses while more than `MAX_BUFFERED_BYTES` are queued in a direction, so that a slow reader slows the
writer down.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import cast

from pointgw.fault_proxy.schedule import Close, Forward, HalfClose, Schedule, Stall, Step, select_rules
from pointgw.fault_proxy.script import Script
from pointgw.net.run import tcp

MAX_BUFFERED_BYTES = 64 * 1024  # queued in one direction before reading pauses
RATE_SLICE_SECONDS = 0.05  # of a limited rate, written at once
MAX_FIRST_LINE_BYTES = 4096  # a longer first line is not awaited to the end
MAX_TRACE_LINES = 1_000_000  # further lines are only counted

Address = tuple[str, int]


class ProxyConnectionState(Enum):
    """State of a connection through the proxy."""

    READING_FIRST_LINE = "naming"  # the first line is not complete yet
    CONNECTING = "opening"  # to the target
    FORWARDING = "passing"
    CLOSED = "ended"


TRANSITIONS = {
    ProxyConnectionState.READING_FIRST_LINE: (ProxyConnectionState.CONNECTING, ProxyConnectionState.CLOSED),
    ProxyConnectionState.CONNECTING: (ProxyConnectionState.FORWARDING, ProxyConnectionState.CLOSED),
    ProxyConnectionState.FORWARDING: (ProxyConnectionState.CLOSED,),
    ProxyConnectionState.CLOSED: (),
}


@dataclass(slots=True)
class QueuedChunk:
    """Bytes to be forwarded at loop time `due`, or the end of the direction or of the connection."""

    due: float
    data: bytes
    end: HalfClose | Close | None = None


class Endpoint(asyncio.Protocol):
    """One of the two sockets of a connection."""

    __slots__ = ("connection", "transport")

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(MAX_BUFFERED_BYTES)
        self.connection.connected(self)

    def data_received(self, data: bytes) -> None:
        self.connection.received(self, data)

    def eof_received(self) -> bool:
        self.connection.end_of_input(self)
        return True  # keep the other direction open

    def connection_lost(self, exc: Exception | None) -> None:
        self.connection.endpoint_lost(exc is not None)

    def pause_writing(self) -> None:
        self.connection.direction_into(self).blocked = True

    def resume_writing(self) -> None:
        flow = self.connection.direction_into(self)
        flow.blocked = False
        flow.write_due()


class Flow:
    """One direction of a connection, with the bytes that are queued for the target socket."""

    __slots__ = (
        "blocked", "connection", "is_finished", "next_due", "queue", "queued_bytes", "schedule",
        "schedule_timer", "source", "stalled", "target", "write_timer",
    )  # fmt: skip

    def __init__(self, connection: Connection, source: Endpoint, target: Endpoint) -> None:
        self.connection, self.source, self.target = connection, source, target
        self.schedule: Schedule | None = None
        self.queue: deque[QueuedChunk] = deque()
        self.queued_bytes = 0
        self.next_due = 0.0  # earliest time of the next chunk, so that chunks stay in order
        self.blocked = self.stalled = self.is_finished = False
        self.write_timer: asyncio.TimerHandle | None = None
        self.schedule_timer: asyncio.TimerHandle | None = None

    def begin(self, schedule: Schedule) -> None:
        """Starts the direction, or restarts it with another schedule."""
        self.schedule = schedule
        self.apply_steps(schedule.advance(self.connection.age()))

    def schedule_due(self) -> None:
        """Applies the steps that are due by time."""
        assert self.schedule is not None
        if self.connection.state is not ProxyConnectionState.CLOSED and not self.schedule.is_finished:
            self.apply_steps(self.schedule.advance(self.connection.age()))

    def apply_steps(self, steps: list[Step]) -> None:
        """Queues what the schedule decided, and sets the timer of its next step."""
        now = self.connection.loop.time()
        for step in steps:
            if isinstance(step, Forward):
                self._enqueue(step, now)
            elif isinstance(step, Stall):
                self.stalled = self.stalled or not step.seconds
                self.next_due = max(self.next_due, now + step.seconds)
            else:
                self.queue.append(QueuedChunk(max(self.next_due, now), b"", step))
        if self.schedule is not None and not self.schedule.is_finished:
            due = self.schedule.next_time()
            if self.schedule_timer is not None:
                self.schedule_timer.cancel()
            if due is not None:
                wait = max(0.0, due - self.connection.age()) + 0.001
                self.schedule_timer = self.connection.loop.call_later(wait, self.schedule_due)
        self.write_due()

    def _enqueue(self, step: Forward, now: float) -> None:
        self.next_due = max(self.next_due, now + step.delay)
        size = len(step.data) if step.rate is None else max(1, int(step.rate * RATE_SLICE_SECONDS))
        for offset in range(0, len(step.data), size):
            chunk = step.data[offset : offset + size]
            if step.rate is not None:
                self.next_due += len(chunk) / step.rate
            self.queue.append(QueuedChunk(self.next_due, chunk))
        self.queued_bytes += len(step.data)
        if self.queued_bytes > MAX_BUFFERED_BYTES:
            tcp.pause_reading(self.source.transport)

    def write_due(self) -> None:
        """Writes the chunks that are due, and sets the timer of the next one."""
        transport = self.target.transport
        if transport is None or self.stalled or self.connection.state is not ProxyConnectionState.FORWARDING:
            return
        now = self.connection.loop.time()
        while self.queue and not self.blocked and self.queue[0].due <= now + 1e-4:
            chunk = self.queue.popleft()
            if chunk.end is not None:
                self.connection.finish_flow(self, chunk.end)
                return
            self.queued_bytes -= len(chunk.data)
            transport.write(chunk.data)
        if self.queued_bytes <= MAX_BUFFERED_BYTES and not self.is_finished:
            tcp.resume_reading(self.source.transport)
        if self.queue and not self.blocked:
            if self.write_timer is not None:
                self.write_timer.cancel()
            self.write_timer = self.connection.loop.call_later(
                max(0.0, self.queue[0].due - now), self.write_due
            )

    def cancel_timers(self) -> None:
        """Ends all that would still happen by time."""
        for timer in (self.write_timer, self.schedule_timer):
            if timer is not None:
                timer.cancel()


class Connection:
    """One connection through the proxy: two sockets and two directions."""

    def __init__(self, proxy: FaultProxy, number: int) -> None:
        self.proxy, self.number, self.loop = proxy, number, proxy.loop
        self.started_at = self.loop.time()
        self.name = ""
        self.first_bytes = bytearray()  # bytes received before it has a name
        self.client, self.target = Endpoint(self), Endpoint(self)
        self.up, self.down = Flow(self, self.client, self.target), Flow(self, self.target, self.client)
        self.state = ProxyConnectionState.READING_FIRST_LINE
        self.connect_task: asyncio.Task[None] | None = None

    def change_state(self, state: ProxyConnectionState) -> None:
        """Changes the state. Raises ValueError if `TRANSITIONS` doesn't allow it."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"{self.state.value} cannot become {state.value}")
        self.state = state

    def age(self) -> float:
        """Seconds since the connection began or the script was replaced."""
        return self.loop.time() - self.started_at

    def direction_into(self, endpoint: Endpoint) -> Flow:
        """The direction that writes to an endpoint."""
        return self.down if endpoint is self.client else self.up

    def connected(self, endpoint: Endpoint) -> None:
        """One of the two sockets is connected."""
        if endpoint is self.client:
            self.proxy.connections[self] = None
            if self.proxy.script.known_by == "order":
                self._identify(str(self.number))
        elif self.state is ProxyConnectionState.CLOSED and endpoint.transport is not None:
            endpoint.transport.abort()
        else:
            self.change_state(ProxyConnectionState.FORWARDING)
            self.up.write_due()

    def received(self, endpoint: Endpoint, data: bytes) -> None:
        """Data has come from a socket: it goes to the schedule, or is kept until the name is known."""
        if self.state is ProxyConnectionState.CLOSED:
            return
        flow = self.up if endpoint is self.client else self.down
        if flow.schedule is None:
            self.first_bytes += data
            if b"\n" in self.first_bytes or len(self.first_bytes) > MAX_FIRST_LINE_BYTES:
                self._identify(self.proxy.name_from_first_line(bytes(self.first_bytes)))
        elif not flow.schedule.is_finished:
            flow.apply_steps(flow.schedule.feed(data, self.age()))

    def end_of_input(self, endpoint: Endpoint) -> None:
        """A socket's peer sends nothing more."""
        if self.state is ProxyConnectionState.CLOSED:
            return
        flow = self.up if endpoint is self.client else self.down
        if flow.schedule is None:
            self._identify(self.proxy.name_from_first_line(bytes(self.first_bytes)))
        if flow.schedule is not None:
            flow.apply_steps(flow.schedule.finish())

    def _identify(self, name: str) -> None:
        """Sets the name, and starts both directions by the rules that apply, or refuses the connection."""
        self.name = name
        script, seed = self.proxy.script, self.proxy.seed
        number = self.number if script.known_by == "order" else None
        rules = select_rules(script, seed, name, number)
        refusing_rule = next((i for i in rules if script.rule[i].act == "refuse"), None)
        if refusing_rule is not None:
            self.proxy.add_trace(name, [f"{name} up rule={refusing_rule} refuse byte=0 line=0"])
            self._close(True)
            return
        self.change_state(ProxyConnectionState.CONNECTING)
        self.connect_task = self.loop.create_task(self._connect())
        for flow, direction in ((self.up, "up"), (self.down, "down")):
            if self.state is not ProxyConnectionState.CLOSED:
                flow.begin(Schedule(script, rules, seed, name, direction))
        if self.first_bytes:
            first_bytes, self.first_bytes = bytes(self.first_bytes), bytearray()
            self.received(self.client, first_bytes)

    def replace_script(self) -> None:
        """Restarts both directions with the proxy's new script."""
        rules = select_rules(self.proxy.script, self.proxy.seed, self.name, self.number)
        self.started_at = self.loop.time()
        for flow, direction in ((self.up, "up"), (self.down, "down")):
            if (
                flow.schedule is not None
                and not flow.schedule.is_finished
                and self.state is not ProxyConnectionState.CLOSED
            ):
                self.proxy.add_trace(self.name, [entry.text(self.name) for entry in flow.schedule.trace])
                flow.apply_steps(flow.schedule.release())
                flow.stalled, flow.next_due = False, self.loop.time()
                flow.begin(Schedule(self.proxy.script, rules, self.proxy.seed, self.name, direction))

    async def _connect(self) -> None:
        try:
            await self.loop.create_connection(lambda: self.target, *self.proxy.target)
        except OSError:
            self._close(True)

    def finish_flow(self, flow: Flow, ending: HalfClose | Close) -> None:
        """Ends a direction, or the connection, after the last byte."""
        if isinstance(ending, Close):
            self._close(ending.reset)
            return
        flow.is_finished = True
        transport = flow.target.transport
        if transport is not None and not transport.is_closing():
            transport.write_eof()
        if flow.source.transport is not None:
            tcp.resume_reading(flow.source.transport)  # further bytes are read and dropped
        if self.up.is_finished and self.down.is_finished:
            self._close(False)

    def endpoint_lost(self, reset: bool) -> None:
        """Closes the connection after one of its sockets was closed."""
        if self.state is not ProxyConnectionState.CLOSED:
            self._close(reset)

    def _close(self, reset: bool) -> None:
        if self.state is ProxyConnectionState.CLOSED:
            return
        self.change_state(ProxyConnectionState.CLOSED)
        if self.connect_task is not None and not self.connect_task.done():
            self.connect_task.cancel()
        lines: list[str] = []
        for flow in (self.up, self.down):
            flow.cancel_timers()
            if flow.schedule is not None:
                lines += [entry.text(self.name) for entry in flow.schedule.trace]
        for endpoint in (self.client, self.target):
            if endpoint.transport is not None and reset:
                tcp.abort_with_reset(endpoint.transport)
            elif endpoint.transport is not None:
                endpoint.transport.close()
        self.proxy.add_trace(self.name, lines)
        self.proxy.connections.pop(self, None)


@dataclass(slots=True)
class ProxyStats:
    """Counters of a `FaultProxy`."""

    connections: int = 0
    traced_lines: int = 0
    dropped_lines: int = 0  # lines of trace beyond `MAX_TRACE_LINES`


@dataclass(slots=True, eq=False)
class FaultProxy:
    """Forwards each connection to the target, with the faults of a script.

    `async with FaultProxy(script, seed, target) as proxy:` listens on a free port of 127.0.0.1, which
    `proxy.address` gives.
    """

    script: Script
    seed: int
    target: Address
    listen: Address = ("127.0.0.1", 0)
    loop: asyncio.AbstractEventLoop = field(init=False)
    connections: dict[Connection, None] = field(default_factory=dict, init=False)
    stats: ProxyStats = field(default_factory=ProxyStats, init=False)
    _name_counts: Counter[str] = field(default_factory=Counter, init=False)
    _traces: dict[str, list[str]] = field(default_factory=dict, init=False)
    _server: asyncio.Server | None = field(default=None, init=False)

    async def start(self) -> Address:
        """Listens; returns the address. Raises OSError where it can't be bound."""
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(self._accept, *self.listen, backlog=1024)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.listen = (host, port)
        return self.listen

    @property
    def address(self) -> Address:
        """Where the proxy listens."""
        return self.listen

    def _accept(self) -> Endpoint:
        number = self.stats.connections
        self.stats.connections += 1
        return Connection(self, number).client

    def name_from_first_line(self, first_line: bytes) -> str:
        """A name from the first three words of the first line; repeated names are numbered."""
        words = first_line.split(b"\n", 1)[0].split()[:3]
        base = blake2b(b" ".join(words), digest_size=6).hexdigest()
        self._name_counts[base] += 1
        return base if self._name_counts[base] == 1 else f"{base}.{self._name_counts[base]}"

    def replace_script(self, script: Script) -> None:
        """Replaces the rules, also for open connections, whose moments count from now on.

        Raises ValueError unless both scripts know connections by order, as first lines have already passed.
        """
        if script.known_by != "order" or self.script.known_by != "order":
            raise ValueError("expected scripts with known_by = 'order'")
        self.script = script
        for connection in list(self.connections):
            connection.replace_script()

    def add_trace(self, name: str, lines: list[str]) -> None:
        """Appends to a connection's trace, up to `MAX_TRACE_LINES` in all."""
        remaining = max(0, MAX_TRACE_LINES - self.stats.traced_lines)
        self.stats.dropped_lines += max(0, len(lines) - remaining)
        self.stats.traced_lines += min(len(lines), remaining)
        if lines[:remaining]:
            self._traces.setdefault(name, []).extend(lines[:remaining])

    def trace(self) -> str:
        """The trace of all closed connections, sorted by connection: the same text for the same seed,
        whatever the order in time."""
        ordered = sorted(self._traces, key=lambda name: (len(name), name))
        return "".join(line + "\n" for name in ordered for line in self._traces[name])

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.endpoint_lost(False)
        if self._server is not None:
            await self._server.wait_closed()

    async def __aenter__(self) -> FaultProxy:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()
