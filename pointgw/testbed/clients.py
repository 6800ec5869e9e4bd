"""The process of the testbed's clients, with the front end that assigns them to balancers."""

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
from pointgw.site import MalformedInputError
from pointgw.testbed import child_process
from pointgw.testbed.demand import ClientArrival, client_arrivals, retry_delay
from pointgw.testbed.frontend import BalancerHealth, HealthState, pick_balancer
from pointgw.testbed.records import Answered, Asked, Ended, Further, Second, Writer
from pointgw.testbed.scenario import Scenario

PING_INTERVAL_SECONDS = 0.4  # seconds between two PINGs of the front end to a balancer
PING_TIMEOUT_SECONDS = 0.5  # seconds until a PING counts as failed
SERVICE_CHECK_SECONDS = 0.25  # seconds between two counts of the credit served
REJOIN_DELAY_SECONDS = (0.07, 0.6)  # range of seconds until a client whose tunnel ended or was moved retries
SLOW_READER_LINES = 200  # lines to be echoed that a slow reader sends at each read
SLOW_READ_SECONDS = 0.5  # seconds between two reads of a slow reader
ANSWER_SLACK_SECONDS = 0.05  # seconds beyond its timeout that a client waits for an answer


class ClientState(Enum):
    """State of a client."""

    WAITING = "waiting"  # until its first or next try
    SETTING_UP = "setting up"
    OPEN = "open"
    DONE = "done"


TRANSITIONS = {
    ClientState.WAITING: (ClientState.SETTING_UP, ClientState.DONE),
    ClientState.SETTING_UP: (ClientState.OPEN, ClientState.WAITING, ClientState.DONE),
    ClientState.OPEN: (ClientState.WAITING, ClientState.DONE),
    ClientState.DONE: (),
}


class Client:
    """A client that keeps a tunnel open for its lifetime, with retries; each try is a `ClientConnection`."""

    __slots__ = (
        "answer_delay",
        "arrival",
        "clients",
        "connection",
        "due_at",
        "returning",
        "state",
        "tries",
    )

    def __init__(self, clients: Clients, arrival: ClientArrival) -> None:
        self.clients, self.arrival = clients, arrival
        self.state = ClientState.WAITING
        self.tries = 0
        self.returning = False
        self.due_at = 0.0  # scheduled time of this try
        self.answer_delay = 0.0  # seconds, of the latest echoed line
        self.connection: ClientConnection | None = None

    def change_state(self, state: ClientState) -> None:
        """Moves to a state; raises ValueError for a transition that is not allowed."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"client {self.arrival.number}: {self.state.value} cannot become {state.value}")
        self.state = state

    def leaves_at(self) -> float:
        """When the client's lifetime ends, on the monotonic clock."""
        return self.clients.began_at + self.arrival.at + self.arrival.lifetime

    def request_tunnel(self) -> None:
        """Starts a try, or ends the client if its lifetime is over."""
        now = time.monotonic()
        if self.state is not ClientState.WAITING or self.clients.ended:
            return
        if now >= self.leaves_at():
            self.change_state(ClientState.DONE)
            self.clients.remove(self)
            return
        balancer = pick_balancer(self.clients.balancer_healths, self.arrival.zone, self.clients.rng)
        self.change_state(ClientState.SETTING_UP)
        if balancer is None:
            self.retry_after(retry_delay(self.clients.demand, self.tries, self.clients.rng))
        else:
            self.connection = ClientConnection(self, balancer)

    def retry_after(self, wait: float) -> None:
        """Schedules the next try; after `Demand.tries` of them in a row, with a longer wait."""
        self.change_state(ClientState.WAITING)
        self.connection = None
        self.tries += 1
        if self.tries >= self.clients.demand.tries:
            wait, self.tries = max(wait, 5 * self.clients.demand.retry_last), 0
        self.due_at = time.monotonic() + wait
        self.clients.call_at(self.due_at, self.request_tunnel)

    def rejoin(self) -> None:
        """Schedules a try as a returning client, after its tunnel ended early."""
        self.returning, self.tries = True, -1
        self.retry_after(self.clients.rng.uniform(*REJOIN_DELAY_SECONDS))

    def is_served(self, now: float) -> bool:
        """Whether its tunnel is open and its lines are answered within the attempt timeout."""
        if self.state is not ClientState.OPEN or self.connection is None:
            return False
        attempt_timeout = self.clients.scenario.profile[self.arrival.profile].setup_goal
        line_sent_at = self.connection.line_sent_at
        return self.answer_delay <= attempt_timeout and (
            line_sent_at is None or now - line_sent_at <= attempt_timeout
        )


class ClientConnection(asyncio.Protocol):
    """One try of a client: its connection, from the OPEN line to the end of the tunnel."""

    __slots__ = (
        "answered",
        "balancer",
        "buffer",
        "client",
        "line_number",
        "line_sent_at",
        "transport",
        "tunnel_id",
    )

    def __init__(self, client: Client, balancer: int) -> None:
        self.client, self.balancer = client, balancer
        clients = client.clients
        clients.tunnel_count += 1
        self.tunnel_id = f"{clients.seed & 0xFFFF:04x}{clients.tunnel_count:012x}"
        self.buffer = bytearray()
        self.answered = False
        self.line_sent_at: float | None = None  # when the line was sent that is not answered yet
        self.line_number = 0  # number of the latest line sent
        self.transport: asyncio.Transport | None = None
        clients.spawn(self._connect())

    async def _connect(self) -> None:
        clients = self.client.clients
        try:
            async with asyncio.timeout(1.0):
                await clients.loop.create_connection(lambda: self, *clients.balancers[self.balancer])
        except (OSError, TimeoutError):
            if self.client.connection is self and self.client.state is ClientState.SETTING_UP:
                self.client.retry_after(retry_delay(clients.demand, max(0, self.client.tries), clients.rng))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        client, clients = self.client, self.client.clients
        self.transport = cast(asyncio.Transport, transport)
        if client.connection is not self:
            self.transport.abort()
            return
        arrival = client.arrival
        profile = clients.scenario.profile[arrival.profile]
        answer_timeout = profile.client_timeout
        group = f",g={arrival.group}" if arrival.group else ""
        line = (
            f"OPEN {self.tunnel_id} k{arrival.number:x} c={profile.name},t=all"
            f",d={round(answer_timeout * 1e3)}{group},w={round(arrival.load * 1e6)}"
            f",s={clients.demand.swing:g}{',again=1' if client.returning else ''}"
        )
        self.transport.write(line.encode() + LINE_END)
        now = time.monotonic()
        clients.writer.write(
            Asked(
                now, self.tunnel_id, arrival.number, client.due_at, self.balancer, arrival.profile,
                answer_timeout, max(0, client.tries), client.returning,
            )
        )  # fmt: skip
        clients.loop.call_later(answer_timeout + ANSWER_SLACK_SECONDS, self._time_out)
        if arrival.slow_reader:
            self._read_slowly()

    def _read_slowly(self) -> None:
        """Resumes reading for a moment and sends many lines, so that answers accumulate at the balancer."""
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
        except MalformedInputError:
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
            self._close(graceful=True)
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
        text = line[:80].decode("ascii", "replace")
        self.client.clients.writer.write(Further(time.monotonic(), self.tunnel_id, text))

    def _begin_tunnel(self) -> None:
        client, clients = self.client, self.client.clients
        client.change_state(ClientState.OPEN)
        client.tries, client.returning, client.answer_delay = 0, False, 0.0
        clients.loop.call_later(clients.rng.uniform(0.0, clients.demand.message_every), self._send_line)
        clients.call_at(client.leaves_at(), self._leave)

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
            clients = self.client.clients
            clients.loop.call_later(clients.demand.message_every, self._send_line)

    def _leave(self) -> None:
        """Ends the tunnel at the end of the client's lifetime."""
        if self.client.connection is self and self.client.state is ClientState.OPEN:
            self._record_end("own")
            self._close(graceful=True)
            self.client.change_state(ClientState.DONE)
            self.client.clients.remove(self.client)

    def fail_network(self) -> None:
        """Simulates a failed network: resets the connection; the client retries."""
        if self.client.state is ClientState.OPEN:
            self._record_end("own")
            if self.transport is not None:
                tcp.abort_with_reset(self.transport)
            self.client.rejoin()

    def _record_end(self, how: Literal["own", "moved", "bye", "lost"]) -> None:
        self.client.clients.writer.write(Ended(time.monotonic(), self.tunnel_id, how))

    def _retry(self, line: bytes = b"") -> None:
        """Retries with backoff, and not before the time that a BUSY line asks for."""
        clients, client = self.client.clients, self.client
        parameters = line.split(b" ")[1:]
        wait = retry_delay(clients.demand, max(0, client.tries), clients.rng)
        if parameters and parameters[0].isdigit():
            wait = max(wait, int(parameters[0]) / 1e3)
        client.retry_after(wait)

    def _close(self, graceful: bool = False) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if graceful:
            close_gracefully(self.transport)
        else:
            self.transport.abort()

    def eof_received(self) -> bool:
        self._connection_ended()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection_ended()

    def _connection_ended(self) -> None:
        """Handles the end of the connection by the balancer, before or after the answer."""
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
    """All clients, and the front end's health checks."""

    def __init__(self, start_values: child_process.Message, writer: Writer) -> None:
        self.writer, self.loop = writer, asyncio.get_running_loop()
        self.scenario = msgspec.convert(start_values["scenario"], Scenario)
        self.demand = self.scenario.demand
        self.seed = self.scenario.seed
        self.rng = Random(f"{self.seed}/clients")
        self.balancers: list[tuple[str, int]] = [tuple(address) for address in start_values["balancers"]]
        self.balancer_healths = [BalancerHealth(i, zone) for i, zone in enumerate(start_values["zones"])]
        self.ping_addresses: list[tuple[str, int]] = [tuple(address) for address in start_values["pings"]]
        self.tunnel_count = 0
        self.began_at = 0.0
        self.ended = self.front_ready = False
        self.present: dict[Client, None] = {}  # clients that have arrived and not left
        self.tasks: set[asyncio.Task[None]] = set()
        self.credit_asked = [0.0] * len(self.scenario.profile)
        self.credit_served = [0.0] * len(self.scenario.profile)
        for balancer in self.balancer_healths:
            self.spawn(self._ping(balancer))

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Runs a coroutine as a task, which is kept referenced until it ends."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """Calls at a time of the monotonic clock."""
        self.loop.call_later(max(0.0, when - time.monotonic()), call)

    def remove(self, client: Client) -> None:
        """Removes a client that has left."""
        self.present.pop(client, None)

    async def _ping(self, balancer: BalancerHealth) -> None:
        """Health check of one balancer by PING; prints "all in" once all have answered."""
        while not self.ended:
            answered = False
            try:
                async with asyncio.timeout(PING_TIMEOUT_SECONDS):
                    reader, writer = await asyncio.open_connection(*self.ping_addresses[balancer.number])
                    writer.write(b"PING" + LINE_END)
                    answered = await reader.readline() == b"PONG" + LINE_END
                    writer.close()
            except (OSError, TimeoutError):
                pass
            balancer.record_ping(answered, time.monotonic())
            if not self.front_ready and all(
                balancer.state is HealthState.IN for balancer in self.balancer_healths
            ):
                self.front_ready = True
                print("all in", flush=True)
            await asyncio.sleep(PING_INTERVAL_SECONDS)

    def begin(self, begin_at: float) -> None:
        """Starts the scenario's arrivals at a time of the monotonic clock."""
        self.began_at = begin_at
        self._schedule_arrivals(client_arrivals(self.scenario))
        self.call_at(begin_at, self._count_credit)
        self.call_at(begin_at + 1.0, self._record_second)

    def _schedule_arrivals(self, arrivals: Iterator[ClientArrival]) -> None:
        """Schedules the next arrival only when the one before has come, so that few timers are pending."""
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def arrive() -> None:
            client = Client(self, arrival)
            client.due_at = self.began_at + arrival.at
            self.present[client] = None
            client.request_tunnel()
            self._schedule_arrivals(arrivals)

        self.call_at(self.began_at + arrival.at, arrive)

    def _count_credit(self) -> None:
        """Adds the credit of clients that have arrived; slow readers don't count."""
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
        open_count = sum(client.state is ClientState.OPEN for client in self.present)
        self.writer.write(Second(time.monotonic(), self.credit_asked, self.credit_served, open_count))
        self.credit_asked, self.credit_served = (
            [0.0] * len(self.credit_asked),
            [0.0] * len(self.credit_served),
        )
        if not self.ended:
            self.loop.call_later(1.0, self._record_second)

    def handle_command(self, command: child_process.Message) -> None:
        """A command of the run: begin, end, or a fault of some clients."""
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


async def start(start_values: child_process.Message, writer: Writer) -> child_process.CommandHandler:
    """Starts the health checks; the handler takes the run's commands."""
    return Clients(start_values, writer).handle_command


if __name__ == "__main__":
    sys.exit(child_process.run(start))
