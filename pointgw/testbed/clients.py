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
from pointgw.testbed import child_process
from pointgw.testbed.demand import ClientArrival, client_arrivals, retry_delay
from pointgw.testbed.frontend import BalancerHealth, HealthState, pick_balancer
from pointgw.testbed.records import Answered, Asked, Ended, Further, Second, Writer
from pointgw.testbed.scenario import Scenario

PING_INTERVAL_SECONDS = 0.4  # seconds between two PINGs of the front end to a balancer
PING_TIMEOUT_SECONDS = 0.5  # seconds until a PING counts as failed
SERVICE_CHECK_SECONDS = 0.25  # seconds between two looks at who is served well
REJOIN_DELAY_SECONDS = (0.07, 0.6)  # seconds until one whose tunnel broke or was moved comes again
SLOW_READER_LINES = 200  # lines that a slow reader asks for in a second
SLOW_READ_SECONDS = 0.5  # seconds between two reads of a slow reader
ANSWER_SLACK_SECONDS = 0.05  # seconds that an answer may be late
AFTER_ANSWER_SECONDS = 0.3  # seconds that what comes after the last answer is watched


class ClientState(Enum):
    """Where a client stands."""

    WAITING = "away"  # comes, or comes again, by the clock
    SETTING_UP = "asking"
    OPEN = "open"
    DONE = "done"


TRANSITIONS = {
    ClientState.WAITING: (ClientState.SETTING_UP, ClientState.DONE),
    ClientState.SETTING_UP: (ClientState.OPEN, ClientState.WAITING, ClientState.DONE),
    ClientState.OPEN: (ClientState.WAITING, ClientState.DONE),
    ClientState.DONE: (),
}


class Client:
    """One who wants a tunnel for a time."""

    __slots__ = (
        "answer_delay",
        "arrival",
        "clients",
        "connection",
        "due_at",
        "opened",
        "returning",
        "state",
        "tries",
    )

    def __init__(self, here: Clients, wish: ClientArrival) -> None:
        self.clients, self.arrival = here, wish
        self.state = ClientState.WAITING
        self.tries, self.opened = 0, 0
        self.returning = False
        self.due_at = 0.0  # when this try was to come
        self.answer_delay = 0.0  # of the latest answered line
        self.connection: ClientConnection | None = None

    def change_state(self, mood: ClientState) -> None:
        """The one place where a client changes state."""
        if mood not in TRANSITIONS[self.state]:
            raise ValueError(f"client {self.arrival.number}: {self.state.value} cannot become {mood.value}")
        self.state = mood

    def leaves_at(self) -> float:
        return self.clients.began_at + self.arrival.at + self.arrival.lifetime

    def request_tunnel(self) -> None:
        """It is time to ask, or to ask again."""
        now = time.monotonic()
        if self.state is not ClientState.WAITING or self.clients.ended:
            return
        if now >= self.leaves_at():
            self.change_state(ClientState.DONE)
            self.clients.remove(self)
            return
        number = pick_balancer(self.clients.balancer_healths, self.arrival.zone, self.clients.rng)
        self.change_state(ClientState.SETTING_UP)
        if number is None:
            self.retry_after(retry_delay(self.clients.demand, self.tries, self.clients.rng))
        else:
            self.connection = ClientConnection(self, number)

    def retry_after(self, wait: float) -> None:
        """Comes again later; one that was turned away too often stays away."""
        self.change_state(ClientState.WAITING)
        self.connection = None
        self.tries += 1
        if self.tries >= self.clients.demand.tries:
            wait, self.tries = max(wait, 5 * self.clients.demand.retry_last), 0
        self.due_at = time.monotonic() + wait
        self.clients.call_at(self.due_at, self.request_tunnel)

    def rejoin(self) -> None:
        """Its tunnel is gone before its time."""
        self.returning, self.tries = True, -1
        self.retry_after(self.clients.rng.uniform(*REJOIN_DELAY_SECONDS))

    def is_served(self, now: float) -> bool:
        """Its lines are answered within the setup goal."""
        if self.state is not ClientState.OPEN or self.connection is None:
            return False
        goal = self.clients.scenario.profile[self.arrival.profile].setup_goal
        asked = self.connection.line_sent_at
        return self.answer_delay <= goal and (asked is None or now - asked <= goal)


class ClientConnection(asyncio.Protocol):
    """A client's connection, from its first line to its end."""

    __slots__ = (
        "answered",
        "balancer",
        "buffer",
        "client",
        "line_number",
        "line_sent_at",
        "sent",
        "transport",
        "tunnel_id",
    )

    def __init__(self, client: Client, number: int) -> None:
        self.client, self.balancer = client, number
        here = client.clients
        here.tunnel_count += 1
        self.tunnel_id = f"{here.seed & 0xFFFF:04x}{here.tunnel_count:012x}"
        self.buffer = bytearray()
        self.answered = False
        self.line_sent_at: float | None = None  # when the line went out that has brought nothing back yet
        self.line_number = 0  # of that line
        self.transport: asyncio.Transport | None = None
        self.sent = False
        here.spawn(self._connect())

    async def _connect(self) -> None:
        here = self.client.clients
        try:
            async with asyncio.timeout(1.0):
                await here.loop.create_connection(lambda: self, *here.balancers[self.balancer])
        except (OSError, TimeoutError):
            if self.client.connection is self and self.client.state is ClientState.SETTING_UP:
                self.client.retry_after(retry_delay(here.demand, max(0, self.client.tries), here.rng))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        client, here = self.client, self.client.clients
        self.transport = cast(asyncio.Transport, transport)
        if client.connection is not self:
            self.transport.abort()
            return
        wish = client.arrival
        profile = here.scenario.profile[wish.profile]
        patience = profile.client_timeout
        group = f",g={wish.group}" if wish.group else ""
        line = (
            f"OPEN {self.tunnel_id} k{wish.number:x} c={profile.name},t=all,d={round(patience * 1e3)}{group}"
            f",w={round(wish.load * 1e6)},s={here.demand.swing:g}{',again=1' if client.returning else ''}"
        )
        self.transport.write(line.encode() + LINE_END)
        self.sent = True
        now = time.monotonic()
        here.writer.write(
            Asked(
                now, self.tunnel_id, wish.number, client.due_at, self.balancer, wish.profile, patience,
                max(0, client.tries), client.returning,
            )
        )  # fmt: skip
        here.loop.call_later(patience + ANSWER_SLACK_SECONDS, self._time_out)
        if wish.slow_reader:
            self._read_slowly()

    def _read_slowly(self) -> None:
        """A slow reader takes a little now and then, and asks for much."""
        if self.transport is None or self.transport.is_closing() or self.client.connection is not self:
            return
        tcp.resume_reading(self.transport)
        if self.answered and self.client.state is ClientState.OPEN:
            self.transport.write(
                b"".join(b"f%06d%s" % (i, b"x" * 90 + LINE_END) for i in range(SLOW_READER_LINES))
            )
        self.client.clients.loop.call_later(SLOW_READ_SECONDS, self._read_slowly)

    def _time_out(self) -> None:
        if not self.answered and self.client.connection is self:
            self._record_answer("none", "")
            self._close()
            self._retry()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if self.client.arrival.slow_reader and self.answered:
            tcp.pause_reading(self.transport)
        try:
            while (line := pop_line(self.buffer)) is not None:
                self._handle_line(line)
        except Malformed:
            self._record_further(b"over-long line")

    def _handle_line(self, line: bytes) -> None:
        client = self.client
        if not self.answered:
            if line.startswith(b"UP "):
                self._record_answer("opened", line.decode("ascii", "replace"))
                self._begin_tunnel()
            elif line.split(b" ")[0] == b"BUSY":
                self._record_answer("declined", line.decode())
                self._retry(line)
            else:
                self._record_answer("failed", line[:80].decode("ascii", "replace"))
                self._retry()
        elif client.connection is not self or client.state is not ClientState.OPEN:
            if not line.startswith((b"m", b"f", b"LOAD", b"BYE", b"MOVE")):
                self._record_further(line)
        elif line == b"MOVE" or line.startswith(b"BYE"):
            self._record_end("moved" if line == b"MOVE" else "bye")
            self._close(politely=True)
            client.rejoin()
        elif line.startswith(b"m"):
            if self.line_sent_at is not None and line == b"m%d" % self.line_number:
                client.answer_delay, self.line_sent_at = time.monotonic() - self.line_sent_at, None
        elif not line.startswith((b"LOAD ", b"f")):
            self._record_further(line)

    def _record_answer(self, how: Literal["opened", "declined", "failed", "none", "lost"], line: str) -> None:
        self.answered = True
        self.client.clients.writer.write(Answered(time.monotonic(), self.tunnel_id, how, line))

    def _record_further(self, line: bytes) -> None:
        shown = line[:80].decode("ascii", "replace")
        self.client.clients.writer.write(Further(time.monotonic(), self.tunnel_id, shown))

    def _begin_tunnel(self) -> None:
        client, here = self.client, self.client.clients
        client.change_state(ClientState.OPEN)
        client.tries, client.returning, client.answer_delay = 0, False, 0.0
        here.loop.call_later(here.rng.uniform(0.0, here.demand.message_every), self._send_line)
        here.call_at(client.leaves_at(), self._leave)

    def _send_line(self) -> None:
        if (
            self.client.connection is self
            and self.client.state is ClientState.OPEN
            and self.transport is not None
        ):
            if self.line_sent_at is None:
                self.line_number += 1
                self.line_sent_at = time.monotonic()
                self.transport.write(b"m%d" % self.line_number + LINE_END)
            here = self.client.clients
            here.loop.call_later(here.demand.message_every, self._send_line)

    def _leave(self) -> None:
        """It has had what it came for."""
        if self.client.connection is self and self.client.state is ClientState.OPEN:
            self._record_end("own")
            self._close(politely=True)
            self.client.change_state(ClientState.DONE)
            self.client.clients.remove(self.client)

    def fail_network(self) -> None:
        """Its network fails: a reset, and it comes again."""
        if self.client.state is ClientState.OPEN:
            self._record_end("own")
            if self.transport is not None:
                tcp.abort_with_reset(self.transport)
            self.client.rejoin()

    def _record_end(self, how: Literal["own", "moved", "bye", "lost"]) -> None:
        self.client.clients.writer.write(Ended(time.monotonic(), self.tunnel_id, how))

    def _retry(self, line: bytes = b"") -> None:
        """Turned away or failed: it comes again, later each time."""
        here, client = self.client.clients, self.client
        told = line.split(b" ")[1:]
        wait = retry_delay(here.demand, max(0, client.tries), here.rng)
        if told and told[0].isdigit():
            wait = max(wait, int(told[0]) / 1e3)
        client.retry_after(wait)

    def _close(self, politely: bool = False) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if politely:
            close_gracefully(self.transport)
        else:
            self.transport.abort()

    def eof_received(self) -> bool:
        self._connection_ended()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection_ended()

    def _connection_ended(self) -> None:
        """The balancer has ended it, with or without an answer."""
        client = self.client
        if client.connection is not self:
            return
        if not self.answered:
            self._record_answer("lost", "")
            self._retry()
        elif client.state is ClientState.OPEN:
            self._record_end("lost")
            client.rejoin()


class Clients:
    """All clients, and the front."""

    def __init__(self, told: child_process.Message, writer: Writer) -> None:
        self.writer, self.loop = writer, asyncio.get_running_loop()
        self.scenario = msgspec.convert(told["scenario"], Scenario)
        self.demand = self.scenario.demand
        self.seed = self.scenario.seed
        self.rng = Random(f"{self.seed}/clients")
        self.balancers: list[tuple[str, int]] = [tuple(address) for address in told["balancers"]]
        self.balancer_healths = [BalancerHealth(i, zone) for i, zone in enumerate(told["zones"])]
        self.ping_addresses: list[tuple[str, int]] = [tuple(address) for address in told["pings"]]
        self.tunnel_count = 0
        self.began_at = 0.0
        self.ended = self.front_ready = False
        self.present: dict[Client, None] = {}  # those that have come and not left
        self.tasks: set[asyncio.Task[None]] = set()
        self.credit_asked = [0.0] * len(self.scenario.profile)
        self.credit_served = [0.0] * len(self.scenario.profile)
        for door in self.balancer_healths:
            self.spawn(self._ping(door))

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """By the machine's clock, which the loop's follows."""
        self.loop.call_later(max(0.0, when - time.monotonic()), call)

    def remove(self, client: Client) -> None:
        self.present.pop(client, None)

    async def _ping(self, door: BalancerHealth) -> None:
        """The front asks each balancer whether it is there."""
        while not self.ended:
            well = False
            try:
                async with asyncio.timeout(PING_TIMEOUT_SECONDS):
                    reader, writer = await asyncio.open_connection(*self.ping_addresses[door.number])
                    writer.write(b"PING" + LINE_END)
                    well = await reader.readline() == b"PONG" + LINE_END
                    writer.close()
            except (OSError, TimeoutError):
                pass
            door.record_ping(well, time.monotonic())
            if not self.front_ready and all(door.state is HealthState.IN for door in self.balancer_healths):
                self.front_ready = True
                print("all in", flush=True)
            await asyncio.sleep(PING_INTERVAL_SECONDS)

    def begin(self, at: float) -> None:
        self.began_at = at
        self._schedule_arrivals(client_arrivals(self.scenario))
        self.call_at(at, self._count_credit)
        self.call_at(at + 1.0, self._record_second)

    def _schedule_arrivals(self, coming: Iterator[ClientArrival]) -> None:
        """The next one's time is set when the one before has come, so that few timers are out."""
        wish = next(coming, None)
        if wish is None:
            return

        def come() -> None:
            client = Client(self, wish)
            client.due_at = self.began_at + wish.at
            self.present[client] = None
            client.request_tunnel()
            self._schedule_arrivals(coming)

        self.call_at(self.began_at + wish.at, come)

    def _count_credit(self) -> None:
        now = time.monotonic()
        for client in self.present:
            if not client.arrival.slow_reader and now < client.leaves_at():
                credit = self.scenario.profile[client.arrival.profile].credit * SERVICE_CHECK_SECONDS
                self.credit_asked[client.arrival.profile] += credit
                if client.is_served(now):
                    self.credit_served[client.arrival.profile] += credit
        if not self.ended:
            self.loop.call_later(SERVICE_CHECK_SECONDS, self._count_credit)

    def _record_second(self) -> None:
        number = sum(client.state is ClientState.OPEN for client in self.present)
        self.writer.write(Second(time.monotonic(), self.credit_asked, self.credit_served, number))
        self.credit_asked, self.credit_served = (
            [0.0] * len(self.credit_asked),
            [0.0] * len(self.credit_served),
        )
        if not self.ended:
            self.loop.call_later(1.0, self._record_second)

    def handle_command(self, command: child_process.Message) -> None:
        match command["what"]:
            case "begin":
                self.begin(float(command["at"]))
            case "drop":
                share = float(command["size"])
                for client in [
                    c for c in self.present if c.state is ClientState.OPEN and self.rng.random() < share
                ]:
                    if client.connection is not None:
                        client.connection.fail_network()
            case "slow":
                share = float(command["size"])
                for client in [
                    c for c in self.present if c.state is ClientState.OPEN and self.rng.random() < share
                ]:
                    if client.connection is not None and not client.arrival.slow_reader:
                        client.arrival = replace(client.arrival, slow_reader=True)
                        client.connection._read_slowly()
            case "end":
                self.ended = True
            case what:
                raise ValueError(f"unknown command {what!r}")


async def start(told: child_process.Message, writer: Writer) -> child_process.CommandHandler:
    return Clients(told, writer).handle_command


if __name__ == "__main__":
    sys.exit(child_process.run(start))
