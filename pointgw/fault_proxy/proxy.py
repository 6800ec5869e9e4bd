"""Moves bytes between two sockets as the schedules say. It decides nothing.

Reading stops while `FULL` bytes wait in a direction, so a reader that stalls holds the writer.
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

FULL = 64 * 1024  # bytes that wait in one direction after which its sender is not read
SLICE = 0.05  # seconds of a limited rate that are written at a time
LONGEST_NAME = 4096  # bytes of a first line by which a connection is known
TRACED = 1_000_000  # lines of trace that are kept

Address = tuple[str, int]


class Link(Enum):
    """Where a connection through the box stands."""

    NAMING = "naming"  # its first line has not come yet
    OPENING = "opening"  # the far side is being reached
    PASSING = "passing"
    ENDED = "ended"


NEXT = {
    Link.NAMING: (Link.OPENING, Link.ENDED),
    Link.OPENING: (Link.PASSING, Link.ENDED),
    Link.PASSING: (Link.ENDED,),
    Link.ENDED: (),
}


@dataclass(slots=True)
class Waiting:
    """One piece on its way; no bytes: the direction's end, or a cut."""

    due: float
    data: bytes
    end: HalfClose | Close | None = None


class Endpoint(asyncio.Protocol):
    """One of the two sockets of a connection."""

    __slots__ = ("link", "out", "transport")

    def __init__(self, link: Connection) -> None:
        self.link = link
        self.transport: asyncio.Transport | None = None
        self.out: Flow | None = None  # what comes in here goes there

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(FULL)
        self.link.made(self)

    def data_received(self, data: bytes) -> None:
        self.link.received(self, data)

    def eof_received(self) -> bool:
        self.link.finished(self)
        return True  # the other direction may go on

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.lost(exc is not None)

    def pause_writing(self) -> None:
        self.link.direction_into(self).blocked = True

    def resume_writing(self) -> None:
        flow = self.link.direction_into(self)
        flow.blocked = False
        flow.pump()


class Flow:
    """One direction: what has come and waits to go on."""

    __slots__ = (
        "blocked", "done", "link", "pending", "queue", "ready", "schedule", "source", "stalled", "target",
        "timer", "wake",
    )  # fmt: skip

    def __init__(self, link: Connection, source: Endpoint, target: Endpoint) -> None:
        self.link, self.source, self.target = link, source, target
        self.schedule: Schedule | None = None
        self.queue: deque[Waiting] = deque()
        self.pending = 0  # bytes in the queue
        self.ready = 0.0  # when the latest piece may go: none overtakes another
        self.blocked = self.stalled = self.done = False
        self.timer: asyncio.TimerHandle | None = None
        self.wake: asyncio.TimerHandle | None = None

    def begin(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.take(schedule.at(self.link.age()))

    def by_the_clock(self) -> None:
        assert self.schedule is not None
        if self.link.state is not Link.ENDED and not self.schedule.over:
            self.take(self.schedule.at(self.link.age()))

    def take(self, steps: list[Step]) -> None:
        now = self.link.loop.time()
        for step in steps:
            if isinstance(step, Forward):
                self._queue(step, now)
            elif isinstance(step, Stall):
                self.stalled = self.stalled or not step.seconds
                self.ready = max(self.ready, now + step.seconds)
            else:
                self.queue.append(Waiting(max(self.ready, now), b"", step))
        if self.schedule is not None and not self.schedule.over:
            due = self.schedule.due()
            if self.wake is not None:
                self.wake.cancel()
            if due is not None:
                wait = max(0.0, due - self.link.age()) + 0.001
                self.wake = self.link.loop.call_later(wait, self.by_the_clock)
        self.pump()

    def _queue(self, step: Forward, now: float) -> None:
        self.ready = max(self.ready, now + step.delay)
        size = len(step.data) if step.rate is None else max(1, int(step.rate * SLICE))
        for at in range(0, len(step.data), size):
            piece = step.data[at : at + size]
            if step.rate is not None:
                self.ready += len(piece) / step.rate
            self.queue.append(Waiting(self.ready, piece))
        self.pending += len(step.data)
        if self.pending > FULL:
            tcp.pause_reading(self.source.transport)

    def pump(self) -> None:
        """Writes what is due."""
        transport = self.target.transport
        if transport is None or self.stalled or self.link.state is not Link.PASSING:
            return
        now = self.link.loop.time()
        while self.queue and not self.blocked and self.queue[0].due <= now + 1e-4:
            piece = self.queue.popleft()
            if piece.end is not None:
                self.link.end(self, piece.end)
                return
            self.pending -= len(piece.data)
            transport.write(piece.data)
        if self.pending <= FULL and not self.done:
            tcp.resume_reading(self.source.transport)
        if self.queue and not self.blocked:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.link.loop.call_later(max(0.0, self.queue[0].due - now), self.pump)

    def stop(self) -> None:
        for timer in (self.timer, self.wake):
            if timer is not None:
                timer.cancel()


class Connection:
    """One connection through the box: two sockets and two directions."""

    def __init__(self, box: FaultProxy, number: int) -> None:
        self.box, self.number, self.loop = box, number, box.loop
        self.began = self.loop.time()
        self.name = ""
        self.first = bytearray()  # what came while it had no name
        self.first_ended = False
        self.near, self.far = Endpoint(self), Endpoint(self)
        self.up, self.down = Flow(self, self.near, self.far), Flow(self, self.far, self.near)
        self.state = Link.NAMING
        self.task: asyncio.Task[None] | None = None

    def to(self, state: Link) -> None:
        """The one place where a connection changes state."""
        if state not in NEXT[self.state]:
            raise ValueError(f"{self.state.value} cannot become {state.value}")
        self.state = state

    def age(self) -> float:
        return self.loop.time() - self.began

    def direction_into(self, end: Endpoint) -> Flow:
        """The direction that is written to a socket."""
        return self.down if end is self.near else self.up

    def made(self, end: Endpoint) -> None:
        if end is self.near:
            self.box.connections[self] = None
            if self.box.script.known_by == "order":
                self._named(str(self.number))
        elif self.state is Link.ENDED and end.transport is not None:
            end.transport.abort()
        else:
            self.to(Link.PASSING)
            self.up.pump()

    def received(self, end: Endpoint, data: bytes) -> None:
        if self.state is Link.ENDED:
            return
        flow = self.up if end is self.near else self.down
        if flow.schedule is None:
            self.first += data
            if b"\n" in self.first or len(self.first) > LONGEST_NAME:
                self._named(self.box.name_of(bytes(self.first)))
        elif not flow.schedule.over:
            flow.take(flow.schedule.feed(data, self.age()))

    def finished(self, end: Endpoint) -> None:
        if self.state is Link.ENDED:
            return
        flow = self.up if end is self.near else self.down
        if flow.schedule is None:
            self._named(self.box.name_of(bytes(self.first)))
        if flow.schedule is not None:
            flow.take(flow.schedule.finish())

    def _named(self, name: str) -> None:
        self.name = name
        script, seed = self.box.script, self.box.seed
        number = self.number if script.known_by == "order" else None
        rules = select_rules(script, seed, name, number)
        refusing = next((i for i in rules if script.rule[i].act == "refuse"), None)
        if refusing is not None:
            self.box.traced(name, [f"{name} up rule={refusing} refuse byte=0 line=0"])
            self._stop(True)
            return
        self.to(Link.OPENING)
        self.task = self.loop.create_task(self._open())
        for flow, way in ((self.up, "up"), (self.down, "down")):
            if self.state is not Link.ENDED:
                flow.begin(Schedule(script, rules, seed, name, way))
        if self.first:
            first, self.first = bytes(self.first), bytearray()
            self.received(self.near, first)

    def turn(self) -> None:
        """The box has other rules: both directions begin anew by them."""
        rules = select_rules(self.box.script, self.box.seed, self.name, self.number)
        self.began = self.loop.time()
        for flow, way in ((self.up, "up"), (self.down, "down")):
            if flow.schedule is not None and not flow.schedule.over and self.state is not Link.ENDED:
                self.box.traced(self.name, [choice.text(self.name) for choice in flow.schedule.trace])
                flow.take(flow.schedule.release())
                flow.stalled, flow.ready = False, self.loop.time()
                flow.begin(Schedule(self.box.script, rules, self.box.seed, self.name, way))

    async def _open(self) -> None:
        try:
            await self.loop.create_connection(lambda: self.far, *self.box.target)
        except OSError:
            self._stop(True)

    def end(self, flow: Flow, how: HalfClose | Close) -> None:
        """A direction has passed its last byte."""
        if isinstance(how, Close):
            self._stop(how.reset)
            return
        flow.done = True
        transport = flow.target.transport
        if transport is not None and not transport.is_closing():
            transport.write_eof()
        if flow.source.transport is not None:
            tcp.resume_reading(flow.source.transport)  # what still comes is read and dropped
        if self.up.done and self.down.done:
            self._stop(False)

    def lost(self, reset: bool) -> None:
        """One of the sockets is gone."""
        if self.state is not Link.ENDED:
            self._stop(reset)

    def _stop(self, reset: bool) -> None:
        if self.state is Link.ENDED:
            return
        self.to(Link.ENDED)
        if self.task is not None and not self.task.done():
            self.task.cancel()
        lines: list[str] = []
        for flow in (self.up, self.down):
            flow.stop()
            if flow.schedule is not None:
                lines += [choice.text(self.name) for choice in flow.schedule.trace]
        for end in (self.near, self.far):
            if end.transport is not None and reset:
                tcp.abort_with_reset(end.transport)
            elif end.transport is not None:
                end.transport.close()
        self.box.traced(self.name, lines)
        self.box.connections.pop(self, None)


@dataclass(slots=True)
class ProxyStats:
    """What a box has seen."""

    connections: int = 0
    traced_lines: int = 0
    dropped_lines: int = 0  # lines of trace over `TRACED`


@dataclass(slots=True, eq=False)
class FaultProxy:
    """Listens, and stands between each that connects and the target.

    `async with Box(script, seed, target) as box:` listens on a free port of 127.0.0.1, `box.address`.
    """

    script: Script
    seed: int
    target: Address
    listen: Address = ("127.0.0.1", 0)
    loop: asyncio.AbstractEventLoop = field(init=False)
    connections: dict[Connection, None] = field(default_factory=dict, init=False)
    stats: ProxyStats = field(default_factory=ProxyStats, init=False)
    _names: Counter[str] = field(default_factory=Counter, init=False)
    _traces: dict[str, list[str]] = field(default_factory=dict, init=False)
    _server: asyncio.Server | None = field(default=None, init=False)

    async def start(self) -> Address:
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(self._accept, *self.listen, backlog=1024)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.listen = (host, port)
        return self.listen

    @property
    def address(self) -> Address:
        return self.listen

    def _accept(self) -> Endpoint:
        number = self.stats.connections
        self.stats.connections += 1
        return Connection(self, number).near

    def name_of(self, first: bytes) -> str:
        """By the first three words of the first line; what comes again is counted."""
        words = first.split(b"\n", 1)[0].split()[:3]
        base = blake2b(b" ".join(words), digest_size=6).hexdigest()
        self._names[base] += 1
        return base if self._names[base] == 1 else f"{base}.{self._names[base]}"

    def replace_script(self, script: Script) -> None:
        """Turns to other rules, for open connections too: their moments count from now on.

        Only where connections are known by order, as the first lines of open ones have passed.
        """
        if script.known_by != "order" or self.script.known_by != "order":
            raise ValueError("expected scripts whose connections are known by order")
        self.script = script
        for link in list(self.connections):
            link.turn()

    def traced(self, name: str, lines: list[str]) -> None:
        room = max(0, TRACED - self.stats.traced_lines)
        self.stats.dropped_lines += max(0, len(lines) - room)
        self.stats.traced_lines += min(len(lines), room)
        if lines[:room]:
            self._traces.setdefault(name, []).extend(lines[:room])

    def trace(self) -> str:
        """The choices made on all connections that have ended, by connection: the same text for the same
        seed, whatever the order in time."""
        ordered = sorted(self._traces, key=lambda name: (len(name), name))
        return "".join(line + "\n" for name in ordered for line in self._traces[name])

    async def stop(self) -> None:
        """No port and no connection is left."""
        if self._server is not None:
            self._server.close()
        for link in list(self.connections):
            link.lost(False)
        if self._server is not None:
            await self._server.wait_closed()

    async def __aenter__(self) -> FaultProxy:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()
