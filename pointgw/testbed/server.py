"""A stand-in server process: the balancers' protocol on sockets, with a `ServerModel` behind it."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from enum import Enum
from functools import partial
from math import ceil
from random import Random
from typing import cast

import msgspec

from pointgw.net.run import tcp
from pointgw.net.run.lingering_close import close_gracefully
from pointgw.net.wire.lines import LINE_END, MOVE, pop_line
from pointgw.site import MalformedInputError
from pointgw.testbed import child_process
from pointgw.testbed.records import Fell, Gone, Said, Started, State, Took, Writer
from pointgw.testbed.server_model import Health, Make, ServedTunnel, ServerModel

MODEL_STEP_SECONDS = 0.02  # seconds between two steps of the model
DRAIN_STEP_SECONDS = 0.25  # seconds between two rounds of MOVE while draining
LOAD_CHANGE_PROBABILITY = 0.1  # probability that a tunnel's load changes in a second


class ConnectionState(Enum):
    """State of a connection to a server."""

    NEW = "new"  # nothing received but probes
    SETTING_UP = "setting up"
    OPEN = "open"
    CLOSED = "closed"


TRANSITIONS = {
    ConnectionState.NEW: (ConnectionState.SETTING_UP, ConnectionState.CLOSED),
    ConnectionState.SETTING_UP: (ConnectionState.OPEN, ConnectionState.CLOSED),
    ConnectionState.OPEN: (ConnectionState.CLOSED,),
    ConnectionState.CLOSED: (),
}


class Connection(asyncio.Protocol):
    """A balancer's connection: probes, or one setup and its tunnel."""

    __slots__ = (
        "balancer",
        "buffer",
        "connected_at",
        "fields",
        "last_answer_due",
        "server",
        "state",
        "transport",
        "tunnel_id",
    )

    def __init__(self, server: Server, balancer: int) -> None:
        self.server, self.balancer = server, balancer
        self.buffer = bytearray()
        self.state = ConnectionState.NEW
        self.tunnel_id = ""
        self.fields: dict[str, str] = {}
        self.last_answer_due = 0.0  # loop time of the latest answer; keeps answers in order

    def change_state(self, state: ConnectionState) -> None:
        """Moves to a state; raises ValueError for a transition that is not allowed."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"{self.state.value} cannot become {state.value}")
        self.state = state

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connected_at = time.monotonic()
        if self.server.model.health is Health.OVERLOADED:
            tcp.abort_with_reset(self.transport)

    def data_received(self, data: bytes) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self.buffer += data
        try:
            while (line := pop_line(self.buffer)) is not None:
                self._handle_line(line)
        except MalformedInputError:
            self.send(b"SYNTAX")
            self.close("server")

    def _handle_line(self, line: bytes) -> None:
        server = self.server
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.OPEN:
            self.send_later(server.model.answer_delay(), line)
        elif self.state is ConnectionState.SETTING_UP:
            raise MalformedInputError("expected nothing before the answer")
        elif line in (b"PING", b"STATS"):
            if server.model.health is not Health.HANGING:
                report = b"" if line == b"PING" or not server.sends_reports else b" " + server.latest_report()
                self.send(b"PONG" + report)
        else:
            self._begin_setup(line)

    def _begin_setup(self, line: bytes) -> None:
        words = line.split(b" ")
        if len(words) != 4 or words[0] != b"OPEN":
            raise MalformedInputError("expected OPEN ID KEY PAIRS")
        self.tunnel_id = words[1].decode()
        pairs = (pair.partition("=") for pair in words[3].decode().split(","))
        self.fields = {name: value for name, _, value in pairs}
        self.change_state(ConnectionState.SETTING_UP)
        self.server.setup_received(self)

    def send_later(self, wait: float, line: bytes) -> None:
        """Sends a line after `wait` seconds, but not before lines that wait already."""
        loop = self.server.loop
        self.last_answer_due = max(self.last_answer_due, loop.time() + wait)
        loop.call_at(self.last_answer_due, self.send, line)

    def send(self, line: bytes) -> None:
        """Sends a line now; ignored once the connection is closed."""
        if self.state is not ConnectionState.CLOSED:
            self.transport.write(line + LINE_END)

    def answer_setup(self, line: bytes) -> None:
        """Answers the setup: UP opens the tunnel, any other line closes the connection."""
        if self.state is ConnectionState.SETTING_UP:
            server = self.server
            server.writer.write(Said(time.monotonic(), server.name, self.tunnel_id, line.decode()))
            self.send(line)
            if line.startswith(b"UP"):
                self.change_state(ConnectionState.OPEN)
            else:
                self.close("server")

    def close(self, by: str, reset: bool = False) -> None:
        """Closes the connection; `by`: the side that ends it, "server" or "balancer"."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.tunnel_id:
            self.server.connection_ended(self, by)
        self.change_state(ConnectionState.CLOSED)
        if reset:
            tcp.abort_with_reset(self.transport)
        elif by == "server":
            close_gracefully(self.transport)
        else:
            self.transport.close()

    def eof_received(self) -> None:
        self.close("balancer")

    def connection_lost(self, exc: Exception | None) -> None:
        self.close("balancer")


class Server:
    """One stand-in server: its listeners, open tunnels and timers."""

    def __init__(self, start_values: child_process.Message, writer: Writer) -> None:
        now = time.monotonic()
        self.name, self.writer, self.start_values = start_values["who"], writer, start_values
        self.start_number = int(start_values["start"])
        self.rng = Random(f"{start_values['seed']}/{self.name}/{self.start_number}")
        # Slow start counts from the start time that discovery reports; 0: long ago.
        since = float(start_values["since"])
        began = now - (time.time() - since) if since else 0.0
        make = msgspec.convert(start_values["make"], Make)
        self.model = ServerModel(make, began, now)
        self.loop = asyncio.get_running_loop()
        self.open_tunnels: dict[str, Connection] = {}
        self.sends_reports = True
        self.reports_frozen = False
        self.report_history: deque[tuple[float, bytes]] = deque(
            maxlen=16
        )  # reports, and from when each is sent
        self.receipt_count = 0  # number of the latest receipt
        self.drain_deadline = 0.0
        self.recent_opens: deque[float] = deque(maxlen=200)
        writer.write(Started(began or now, self.name, self.start_number, bool(since)))

    async def serve(self) -> None:
        """Starts to listen, for each balancer on an address of its own, and starts the timers."""
        for number, (host, port) in enumerate(self.start_values["listen"]):
            await self.loop.create_server(partial(Connection, self, number), host, port, backlog=1024)
        self.loop.call_soon(self._step_model)
        self.loop.call_soon(self._make_report)
        self.loop.call_soon(self._record_state)

    # Setups and tunnels.

    def setup_received(self, connection: Connection) -> None:
        """Answers a setup as the server's health has it."""
        now, model = time.monotonic(), self.model
        self.writer.write(
            Took(
                now,
                self.name,
                connection.balancer,
                connection.tunnel_id,
                connection.connected_at,
                self.start_number,
            )
        )
        if model.health is Health.HANGING:
            return
        if model.health in (Health.DRAINING, Health.FULL) or model.is_full():
            connection.answer_setup(b"BUSY")
        elif model.health is Health.ERRORS and self.rng.random() < model.error_share:
            connection.answer_setup(b"ERR")
        else:
            wait = model.add_setup(now)
            if model.health is Health.OVERLOADED:
                self._reset_all_tunnels(now)
            else:
                self.loop.call_later(wait, self._finish_setup, connection)

    def _finish_setup(self, connection: Connection) -> None:
        if connection.state is not ConnectionState.SETTING_UP or connection.tunnel_id in self.open_tunnels:
            return
        fields = connection.fields
        load, swing = float(fields.get("w", "4000")) / 1e6, float(fields.get("s", "0"))
        self.model.advance(time.monotonic())
        self.model.add_tunnel(ServedTunnel(connection.tunnel_id, fields.get("g", ""), load, swing))
        self.open_tunnels[connection.tunnel_id] = connection
        self.recent_opens.append(time.monotonic())
        self.receipt_count += 1
        connection.answer_setup(b"UP %s-%d-%d" % (self.name.encode(), self.start_number, self.receipt_count))
        self._send_load(connection, load)

    def _send_load(self, connection: Connection, load: float) -> None:
        if self.start_values["tells_load"]:
            connection.send(b"LOAD %d" % round(load * 1e6))

    def connection_ended(self, connection: Connection, by: str) -> None:
        """Removes a connection's tunnel, if it was open, and records its end."""
        now = time.monotonic()
        if self.open_tunnels.get(connection.tunnel_id) is connection:
            del self.open_tunnels[connection.tunnel_id]
            self.model.advance(now)
            self.model.remove_tunnel(connection.tunnel_id)
        self.writer.write(Gone(now, self.name, connection.tunnel_id, by))  # type: ignore[arg-type]

    def _reset_all_tunnels(self, now: float) -> None:
        self.writer.write(Fell(now, self.name, len(self.model.recent_setups), self.model.setup_budget(now)))
        for connection in list(self.open_tunnels.values()):
            connection.close("server", reset=True)

    # Timers.

    def _step_model(self) -> None:
        self.model.advance(time.monotonic())
        dropped = self.model.tunnel_to_drop()
        if dropped is not None and dropped in self.open_tunnels:
            self.open_tunnels[dropped].close("server", reset=True)
        self.loop.call_later(MODEL_STEP_SECONDS, self._step_model)

    def _make_report(self) -> None:
        """Stores a report, which is sent from `report_late` seconds on."""
        if not self.reports_frozen:
            noise = 1 + self.rng.uniform(-1, 1) * self.start_values["report_noise"]
            load, now = self.model.load() * noise, time.monotonic()
            rate = sum(at > now - 2.0 for at in self.recent_opens) / 2.0
            report = b"util=%.3f,qps=%.2f,x0=%.4f" % (min(1.0, load), rate, load)
            self.report_history.append((now + self.start_values["report_late"], report))
        self.loop.call_later(self.start_values["report_every"], self._make_report)

    def latest_report(self) -> bytes:
        """The report that is due to be sent now; empty if there is none yet."""
        now = time.monotonic()
        due = [report for at, report in self.report_history if at <= now]
        return due[-1] if due else b""

    def _record_state(self) -> None:
        now, model = time.monotonic(), self.model
        for name in list(self.open_tunnels):
            if self.rng.random() < LOAD_CHANGE_PROBABILITY:
                self._send_load(self.open_tunnels[name], model.vary_load(name, self.rng))
        health, warmth = model.health.value, model.warm_share()
        self.writer.write(
            State(now, self.name, model.load(), len(self.open_tunnels), model.backlog, health, warmth)
        )
        self.loop.call_later(1.0, self._record_state)

    def _drain_step(self) -> None:
        """Sends MOVE to a share of the tunnels, so that all have left at the deadline."""
        if self.model.health is not Health.DRAINING:
            return
        steps_left = max(1, int((self.drain_deadline - time.monotonic()) / DRAIN_STEP_SECONDS))
        for name in list(self.open_tunnels)[: ceil(len(self.open_tunnels) / steps_left)]:
            connection = self.open_tunnels[name]
            connection.send(MOVE)
            connection.close("server")
        self.loop.call_later(DRAIN_STEP_SECONDS, self._drain_step)

    def handle_command(self, command: child_process.Message) -> None:
        """A command of the run: a fault or its end. Ignored once the server is overloaded."""
        model, what = self.model, command["what"]
        if model.health is Health.OVERLOADED:
            return
        model.advance(time.monotonic())
        match what:
            case "well":
                model.change_health(Health.HEALTHY)
                model.capacity_share, model.error_share = 1.0, 0.0
                self.reports_frozen, self.sends_reports = False, True
            case "errors":
                model.change_health(Health.ERRORS)
                model.error_share = float(command["size"])
            case "hang":
                model.change_health(Health.HANGING)
            case "full":
                model.change_health(Health.FULL)
            case "slow":
                model.capacity_share = float(command["size"])
            case "stuck":
                self.reports_frozen = True
            case "absent":
                self.sends_reports = False
            case "drain":
                model.change_health(Health.DRAINING)
                self.drain_deadline = time.monotonic() + float(command["seconds"])
                self._drain_step()
            case _:
                raise ValueError(f"unknown command {what!r}")


async def start(start_values: child_process.Message, writer: Writer) -> child_process.CommandHandler:
    """Starts a server; the handler takes the run's commands."""
    server = Server(start_values, writer)
    await server.serve()
    return server.handle_command


if __name__ == "__main__":
    sys.exit(child_process.run(start))
