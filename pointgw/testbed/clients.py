"""The clients of a rig as a process, with the front that deals them out."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from enum import Enum
from random import Random
from typing import Literal, cast

import msgspec

from pointgw.net.run import tcp
from pointgw.net.run.lingering_close import close_gracefully
from pointgw.net.wire.lines import LINE_END, pop_line
from pointgw.site import Malformed
from pointgw.testbed import child
from pointgw.testbed.demand import Wish, back_off, wishes
from pointgw.testbed.front import Door, Seen, deal
from pointgw.testbed.records import Answered, Asked, Ended, Further, Second, Writer
from pointgw.testbed.scenario import Scenario

PING_EVERY, PING_WITHIN = 0.4, 0.5  # seconds
LOOK = 0.25  # seconds between two looks at who is served well
REJOIN = (0.07, 0.6)  # seconds until one whose tunnel broke or was moved comes again
FLOOD = 200  # lines that a slow reader asks for in a second
SIP = 0.5  # seconds between two reads of a slow reader
SLACK = 0.05  # seconds that an answer may be late
REST = 0.3  # seconds that what comes after the last answer is watched


class Mood(Enum):
    """Where a client stands."""

    AWAY = "away"  # comes, or comes again, by the clock
    ASKING = "asking"
    OPEN = "open"
    DONE = "done"


NEXT = {
    Mood.AWAY: (Mood.ASKING, Mood.DONE),
    Mood.ASKING: (Mood.OPEN, Mood.AWAY, Mood.DONE),
    Mood.OPEN: (Mood.AWAY, Mood.DONE),
    Mood.DONE: (),
}


class Client:
    """One who wants a tunnel for a time."""

    __slots__ = ("back", "delay", "due", "here", "mood", "opened", "side", "tries", "wish")

    def __init__(self, here: Clients, wish: Wish) -> None:
        self.here, self.wish = here, wish
        self.mood = Mood.AWAY
        self.tries, self.opened = 0, 0
        self.back = False
        self.due = 0.0  # when this try was to come
        self.delay = 0.0  # of the latest answered line
        self.side: Side | None = None

    def to(self, mood: Mood) -> None:
        """The one place where a client changes state."""
        if mood not in NEXT[self.mood]:
            raise ValueError(f"client {self.wish.number}: {self.mood.value} cannot become {mood.value}")
        self.mood = mood

    def leaves_at(self) -> float:
        return self.here.began + self.wish.at + self.wish.life

    def come(self) -> None:
        """It is time to ask, or to ask again."""
        now = time.monotonic()
        if self.mood is not Mood.AWAY or self.here.over:
            return
        if now >= self.leaves_at():
            self.to(Mood.DONE)
            self.here.leave(self)
            return
        number = deal(self.here.doors, self.wish.zone, self.here.rng)
        self.to(Mood.ASKING)
        if number is None:
            self.again(back_off(self.here.demand, self.tries, self.here.rng))
        else:
            self.side = Side(self, number)

    def again(self, wait: float) -> None:
        """Comes again later; one that was turned away too often stays away."""
        self.to(Mood.AWAY)
        self.side = None
        self.tries += 1
        if self.tries >= self.here.demand.tries:
            wait, self.tries = max(wait, 5 * self.here.demand.retry_last), 0
        self.due = time.monotonic() + wait
        self.here.at(self.due, self.come)

    def broke(self) -> None:
        """Its tunnel is gone before its time."""
        self.back, self.tries = True, -1
        self.again(self.here.rng.uniform(*REJOIN))

    def well(self, now: float) -> bool:
        """Its lines are answered within the setup goal."""
        if self.mood is not Mood.OPEN or self.side is None:
            return False
        goal = self.here.scenario.profile[self.wish.profile].setup_goal
        asked = self.side.asked
        return self.delay <= goal and (asked is None or now - asked <= goal)


class Side(asyncio.Protocol):
    """A client's connection, from its first line to its end."""

    __slots__ = ("answered", "asked", "buffer", "client", "name", "number", "number_of", "sent", "transport")

    def __init__(self, client: Client, number: int) -> None:
        self.client, self.number = client, number
        here = client.here
        here.names += 1
        self.name = f"{here.seed & 0xFFFF:04x}{here.names:012x}"
        self.buffer = bytearray()
        self.answered = False
        self.asked: float | None = None  # when the line went out that has brought nothing back yet
        self.number_of = 0  # of that line
        self.transport: asyncio.Transport | None = None
        self.sent = False
        here.spawn(self._connect())

    async def _connect(self) -> None:
        here = self.client.here
        try:
            async with asyncio.timeout(1.0):
                await here.loop.create_connection(lambda: self, *here.balancers[self.number])
        except (OSError, TimeoutError):
            if self.client.side is self and self.client.mood is Mood.ASKING:
                self.client.again(back_off(here.demand, max(0, self.client.tries), here.rng))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        client, here = self.client, self.client.here
        self.transport = cast(asyncio.Transport, transport)
        if client.side is not self:
            self.transport.abort()
            return
        wish = client.wish
        profile = here.scenario.profile[wish.profile]
        patience = profile.client_timeout
        group = f",g={wish.group}" if wish.group else ""
        line = (
            f"OPEN {self.name} k{wish.number:x} c={profile.name},t=all,d={round(patience * 1e3)}{group}"
            f",w={round(wish.load * 1e6)},s={here.demand.swing:g}{',again=1' if client.back else ''}"
        )
        self.transport.write(line.encode() + LINE_END)
        self.sent = True
        now = time.monotonic()
        here.writer.write(
            Asked(
                now, self.name, wish.number, client.due, self.number, wish.profile, patience,
                max(0, client.tries), client.back,
            )
        )  # fmt: skip
        here.loop.call_later(patience + SLACK, self._late)
        if wish.slow:
            self._sip()

    def _sip(self) -> None:
        """A slow reader takes a little now and then, and asks for much."""
        if self.transport is None or self.transport.is_closing() or self.client.side is not self:
            return
        tcp.resume_reading(self.transport)
        if self.answered and self.client.mood is Mood.OPEN:
            self.transport.write(b"".join(b"f%06d%s" % (i, b"x" * 90 + LINE_END) for i in range(FLOOD)))
        self.client.here.loop.call_later(SIP, self._sip)

    def _late(self) -> None:
        if not self.answered and self.client.side is self:
            self._answer("none", "")
            self._drop()
            self._retry()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if self.client.wish.slow and self.answered:
            tcp.pause_reading(self.transport)
        try:
            while (line := pop_line(self.buffer)) is not None:
                self._line(line)
        except Malformed:
            self._further(b"over-long line")

    def _line(self, line: bytes) -> None:
        client = self.client
        if not self.answered:
            if line.startswith(b"UP "):
                self._answer("opened", line.decode("ascii", "replace"))
                self._open()
            elif line.split(b" ")[0] == b"BUSY":
                self._answer("declined", line.decode())
                self._retry(line)
            else:
                self._answer("failed", line[:80].decode("ascii", "replace"))
                self._retry()
        elif client.side is not self or client.mood is not Mood.OPEN:
            if not line.startswith((b"m", b"f", b"LOAD", b"BYE", b"MOVE")):
                self._further(line)
        elif line == b"MOVE" or line.startswith(b"BYE"):
            self._ended("moved" if line == b"MOVE" else "bye")
            self._drop(politely=True)
            client.broke()
        elif line.startswith(b"m"):
            if self.asked is not None and line == b"m%d" % self.number_of:
                client.delay, self.asked = time.monotonic() - self.asked, None
        elif not line.startswith((b"LOAD ", b"f")):
            self._further(line)

    def _answer(self, how: Literal["opened", "declined", "failed", "none", "lost"], line: str) -> None:
        self.answered = True
        self.client.here.writer.write(Answered(time.monotonic(), self.name, how, line))

    def _further(self, line: bytes) -> None:
        shown = line[:80].decode("ascii", "replace")
        self.client.here.writer.write(Further(time.monotonic(), self.name, shown))

    def _open(self) -> None:
        client, here = self.client, self.client.here
        client.to(Mood.OPEN)
        client.tries, client.back, client.delay = 0, False, 0.0
        here.loop.call_later(here.rng.uniform(0.0, here.demand.message_every), self._beat)
        here.at(client.leaves_at(), self._leave)

    def _beat(self) -> None:
        if self.client.side is self and self.client.mood is Mood.OPEN and self.transport is not None:
            if self.asked is None:
                self.number_of += 1
                self.asked = time.monotonic()
                self.transport.write(b"m%d" % self.number_of + LINE_END)
            here = self.client.here
            here.loop.call_later(here.demand.message_every, self._beat)

    def _leave(self) -> None:
        """It has had what it came for."""
        if self.client.side is self and self.client.mood is Mood.OPEN:
            self._ended("own")
            self._drop(politely=True)
            self.client.to(Mood.DONE)
            self.client.here.leave(self.client)

    def cut_off(self) -> None:
        """Its network fails: a reset, and it comes again."""
        if self.client.mood is Mood.OPEN:
            self._ended("own")
            if self.transport is not None:
                tcp.abort_with_reset(self.transport)
            self.client.broke()

    def _ended(self, how: Literal["own", "moved", "bye", "lost"]) -> None:
        self.client.here.writer.write(Ended(time.monotonic(), self.name, how))

    def _retry(self, line: bytes = b"") -> None:
        """Turned away or failed: it comes again, later each time."""
        here, client = self.client.here, self.client
        told = line.split(b" ")[1:]
        wait = back_off(here.demand, max(0, client.tries), here.rng)
        if told and told[0].isdigit():
            wait = max(wait, int(told[0]) / 1e3)
        client.again(wait)

    def _drop(self, politely: bool = False) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if politely:
            close_gracefully(self.transport)
        else:
            self.transport.abort()

    def eof_received(self) -> bool:
        self._gone()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone()

    def _gone(self) -> None:
        """The balancer has ended it, with or without an answer."""
        client = self.client
        if client.side is not self:
            return
        if not self.answered:
            self._answer("lost", "")
            self._retry()
        elif client.mood is Mood.OPEN:
            self._ended("lost")
            client.broke()


class Clients:
    """All clients, and the front."""

    def __init__(self, told: child.Told, writer: Writer) -> None:
        self.writer, self.loop = writer, asyncio.get_running_loop()
        self.scenario = msgspec.convert(told["scenario"], Scenario)
        self.demand = self.scenario.demand
        self.seed = self.scenario.seed
        self.rng = Random(f"{self.seed}/clients")
        self.balancers: list[tuple[str, int]] = [tuple(address) for address in told["balancers"]]
        self.doors = [Door(i, zone) for i, zone in enumerate(told["zones"])]
        self.pings: list[tuple[str, int]] = [tuple(address) for address in told["pings"]]
        self.names = 0
        self.began = 0.0
        self.over = self.front_ready = False
        self.here: dict[Client, None] = {}  # those that have come and not left
        self.tasks: set[asyncio.Task[None]] = set()
        self.asked = [0.0] * len(self.scenario.profile)
        self.served = [0.0] * len(self.scenario.profile)
        for door in self.doors:
            self.spawn(self._ping(door))

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def at(self, when: float, call: Callable[[], None]) -> None:
        """By the machine's clock, which the loop's follows."""
        self.loop.call_later(max(0.0, when - time.monotonic()), call)

    def leave(self, client: Client) -> None:
        self.here.pop(client, None)

    async def _ping(self, door: Door) -> None:
        """The front asks each balancer whether it is there."""
        while not self.over:
            well = False
            try:
                async with asyncio.timeout(PING_WITHIN):
                    reader, writer = await asyncio.open_connection(*self.pings[door.number])
                    writer.write(b"PING" + LINE_END)
                    well = await reader.readline() == b"PONG" + LINE_END
                    writer.close()
            except (OSError, TimeoutError):
                pass
            door.pinged(well, time.monotonic())
            if not self.front_ready and all(door.seen is Seen.IN for door in self.doors):
                self.front_ready = True
                print("all in", flush=True)
            await asyncio.sleep(PING_EVERY)

    def begin(self, at: float) -> None:
        self.began = at
        self._arrivals(wishes(self.scenario))
        self.at(at, self._look)
        self.at(at + 1.0, self._second)

    def _arrivals(self, coming: Iterator[Wish]) -> None:
        """The next one's time is set when the one before has come, so that few timers are out."""
        wish = next(coming, None)
        if wish is None:
            return

        def come() -> None:
            client = Client(self, wish)
            client.due = self.began + wish.at
            self.here[client] = None
            client.come()
            self._arrivals(coming)

        self.at(self.began + wish.at, come)

    def _look(self) -> None:
        now = time.monotonic()
        for client in self.here:
            if not client.wish.slow and now < client.leaves_at():
                credit = self.scenario.profile[client.wish.profile].credit * LOOK
                self.asked[client.wish.profile] += credit
                if client.well(now):
                    self.served[client.wish.profile] += credit
        if not self.over:
            self.loop.call_later(LOOK, self._look)

    def _second(self) -> None:
        number = sum(client.mood is Mood.OPEN for client in self.here)
        self.writer.write(Second(time.monotonic(), self.asked, self.served, number))
        self.asked, self.served = [0.0] * len(self.asked), [0.0] * len(self.served)
        if not self.over:
            self.loop.call_later(1.0, self._second)

    def take(self, command: child.Told) -> None:
        match command["what"]:
            case "begin":
                self.begin(float(command["at"]))
            case "drop":
                share = float(command["size"])
                for client in [c for c in self.here if c.mood is Mood.OPEN and self.rng.random() < share]:
                    if client.side is not None:
                        client.side.cut_off()
            case "slow":
                share = float(command["size"])
                for client in [c for c in self.here if c.mood is Mood.OPEN and self.rng.random() < share]:
                    if client.side is not None and not client.wish.slow:
                        client.wish = replace(client.wish, slow=True)
                        client.side._sip()
            case "end":
                self.over = True
            case what:
                raise ValueError(f"unknown command {what!r}")


async def part(told: child.Told, writer: Writer) -> child.Take:
    return Clients(told, writer).take


if __name__ == "__main__":
    sys.exit(child.run(part))
