"""A stand-in server as a process: our protocol on sockets round a `Machine`."""

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
from pointgw.site import Malformed
from pointgw.testbed import child
from pointgw.testbed.machine import Health, Held, Machine, Make
from pointgw.testbed.records import Fell, Gone, Said, Started, State, Took, Writer

TURN = 0.02  # seconds between two turns of the machine
DRAIN_STEP = 0.25  # seconds between two rounds of MOVE while draining
SWINGS = 0.1  # of its tunnels whose load changes in a second


class Stage(Enum):
    """Where a connection to a server stands."""

    FRESH = "fresh"  # probes, or the first line
    SETTING_UP = "setting up"
    UP = "up"
    OVER = "over"


NEXT = {
    Stage.FRESH: (Stage.SETTING_UP, Stage.OVER),
    Stage.SETTING_UP: (Stage.UP, Stage.OVER),
    Stage.UP: (Stage.OVER,),
    Stage.OVER: (),
}


class Connection(asyncio.Protocol):
    __slots__ = ("balancer", "began", "buffer", "due", "fields", "name", "server", "stage", "transport")

    def __init__(self, server: Server, balancer: int) -> None:
        self.server, self.balancer = server, balancer
        self.buffer = bytearray()
        self.stage = Stage.FRESH
        self.name = ""
        self.fields: dict[str, str] = {}
        self.due = 0.0  # when the latest answer goes out: none overtakes another

    def to(self, stage: Stage) -> None:
        """The one place where a connection changes state."""
        if stage not in NEXT[self.stage]:
            raise ValueError(f"{self.stage.value} cannot become {stage.value}")
        self.stage = stage

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.began = time.monotonic()
        if self.server.machine.health is Health.FALLEN:
            tcp.abort_with_reset(self.transport)

    def data_received(self, data: bytes) -> None:
        if self.stage is Stage.OVER:
            return
        self.buffer += data
        try:
            while (line := pop_line(self.buffer)) is not None:
                self._line(line)
        except Malformed:
            self.say(b"SYNTAX")
            self.end("server")

    def _line(self, line: bytes) -> None:
        server = self.server
        if self.stage is Stage.OVER:
            return
        if self.stage is Stage.UP:
            self.later(server.machine.wait(), line)
        elif self.stage is Stage.SETTING_UP:
            raise Malformed("expected nothing before the answer")
        elif line in (b"PING", b"STATS"):
            if server.machine.health is not Health.HANGING:
                told = b"" if line == b"PING" or not server.reports else b" " + server.report()
                self.say(b"PONG" + told)
        else:
            self._open(line)

    def _open(self, line: bytes) -> None:
        words = line.split(b" ")
        if len(words) != 4 or words[0] != b"OPEN":
            raise Malformed("expected OPEN ID KEY PAIRS")
        self.name = words[1].decode()
        pairs = (pair.partition("=") for pair in words[3].decode().split(","))
        self.fields = {name: value for name, _, value in pairs}
        self.to(Stage.SETTING_UP)
        self.server.took(self)

    def later(self, wait: float, line: bytes) -> None:
        loop = self.server.loop
        self.due = max(self.due, loop.time() + wait)
        loop.call_at(self.due, self.say, line)

    def say(self, line: bytes) -> None:
        if self.stage is not Stage.OVER:
            self.transport.write(line + LINE_END)

    def answer(self, line: bytes) -> None:
        """The answer to a setup."""
        if self.stage is Stage.SETTING_UP:
            server = self.server
            server.writer.write(Said(time.monotonic(), server.name, self.name, line.decode()))
            self.say(line)
            if line.startswith(b"UP"):
                self.to(Stage.UP)
            else:
                self.end("server")

    def end(self, by: str, reset: bool = False) -> None:
        if self.stage is Stage.OVER:
            return
        if self.name:
            self.server.gone(self, by)
        self.to(Stage.OVER)
        if reset:
            tcp.abort_with_reset(self.transport)
        elif by == "server":
            close_gracefully(self.transport)
        else:
            self.transport.close()

    def eof_received(self) -> None:
        self.end("balancer")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("balancer")


class Server:
    """One stand-in server."""

    def __init__(self, told: child.Told, writer: Writer) -> None:
        now = time.monotonic()
        self.name, self.writer, self.told = told["who"], writer, told
        self.start = int(told["start"])
        self.rng = Random(f"{told['seed']}/{self.name}/{self.start}")
        # Cold from the moment that discovery tells as its start; 0: long ago.
        since = float(told["since"])
        began = now - (time.time() - since) if since else 0.0
        make = msgspec.convert(told["make"], Make)
        self.machine = Machine(make, began, now)
        self.loop = asyncio.get_running_loop()
        self.up: dict[str, Connection] = {}
        self.reports = True
        self.stuck = False
        self.looks: deque[tuple[float, bytes]] = deque(maxlen=16)  # reports, and when each was made
        self.made = 0  # receipts
        self.drain_by = 0.0
        self.opened: deque[float] = deque(maxlen=200)
        writer.write(Started(began or now, self.name, self.start, bool(since)))

    async def serve(self) -> None:
        for number, (host, port) in enumerate(self.told["listen"]):
            await self.loop.create_server(partial(Connection, self, number), host, port, backlog=1024)
        self.loop.call_soon(self._turn)
        self.loop.call_soon(self._look)
        self.loop.call_soon(self._each_second)

    # Setups and tunnels.

    def took(self, connection: Connection) -> None:
        now, machine = time.monotonic(), self.machine
        self.writer.write(
            Took(now, self.name, connection.balancer, connection.name, connection.began, self.start)
        )
        if machine.health is Health.HANGING:
            return
        if machine.health in (Health.DRAINING, Health.FULL) or machine.full():
            connection.answer(b"BUSY")
        elif machine.health is Health.ERRORS and self.rng.random() < machine.errors:
            connection.answer(b"ERR")
        else:
            wait = machine.setup(now)
            if machine.health is Health.FALLEN:
                self._fall(now)
            else:
                self.loop.call_later(wait, self._stands, connection)

    def _stands(self, connection: Connection) -> None:
        if connection.stage is not Stage.SETTING_UP or connection.name in self.up:
            return
        fields = connection.fields
        load, swing = float(fields.get("w", "4000")) / 1e6, float(fields.get("s", "0"))
        self.machine.turn(time.monotonic())
        self.machine.take(Held(connection.name, fields.get("g", ""), load, swing))
        self.up[connection.name] = connection
        self.opened.append(time.monotonic())
        self.made += 1
        connection.answer(b"UP %s-%d-%d" % (self.name.encode(), self.start, self.made))
        self._tell_load(connection, load)

    def _tell_load(self, connection: Connection, load: float) -> None:
        if self.told["tells_load"]:
            connection.say(b"LOAD %d" % round(load * 1e6))

    def gone(self, connection: Connection, by: str) -> None:
        now = time.monotonic()
        if self.up.get(connection.name) is connection:
            del self.up[connection.name]
            self.machine.turn(now)
            self.machine.drop(connection.name)
        self.writer.write(Gone(now, self.name, connection.name, by))  # type: ignore[arg-type]

    def _fall(self, now: float) -> None:
        self.writer.write(Fell(now, self.name, len(self.machine.came), self.machine.budget(now)))
        for connection in list(self.up.values()):
            connection.end("server", reset=True)

    # By the clock.

    def _turn(self) -> None:
        self.machine.turn(time.monotonic())
        heaviest = self.machine.heaviest()
        if heaviest is not None and heaviest in self.up:
            self.up[heaviest].end("server", reset=True)
        self.loop.call_later(TURN, self._turn)

    def _look(self) -> None:
        """Reports show what was so a little while ago."""
        if not self.stuck:
            noise = 1 + self.rng.uniform(-1, 1) * self.told["report_noise"]
            load, now = self.machine.load() * noise, time.monotonic()
            rate = sum(at > now - 2.0 for at in self.opened) / 2.0
            report = b"util=%.3f,qps=%.2f,x0=%.4f" % (min(1.0, load), rate, load)
            self.looks.append((now + self.told["report_late"], report))
        self.loop.call_later(self.told["report_every"], self._look)

    def report(self) -> bytes:
        now = time.monotonic()
        shown = [report for at, report in self.looks if at <= now]
        return shown[-1] if shown else b""

    def _each_second(self) -> None:
        now, machine = time.monotonic(), self.machine
        for name in list(self.up):
            if self.rng.random() < SWINGS:
                self._tell_load(self.up[name], machine.swing(name, self.rng))
        health, warmth = machine.health.value, machine.warmth()
        self.writer.write(State(now, self.name, machine.load(), len(self.up), machine.piled, health, warmth))
        self.loop.call_later(1.0, self._each_second)

    def _drain(self) -> None:
        """Sends its clients away bit by bit until its time is up."""
        if self.machine.health is not Health.DRAINING:
            return
        left = max(1, int((self.drain_by - time.monotonic()) / DRAIN_STEP))
        for name in list(self.up)[: ceil(len(self.up) / left)]:
            connection = self.up[name]
            connection.say(MOVE)
            connection.end("server")
        self.loop.call_later(DRAIN_STEP, self._drain)

    def take(self, command: child.Told) -> None:
        """A command of the rig."""
        machine, what = self.machine, command["what"]
        if machine.health is Health.FALLEN:
            return
        machine.turn(time.monotonic())
        match what:
            case "well":
                machine.to(Health.WELL)
                machine.slowed, machine.errors = 1.0, 0.0
                self.stuck, self.reports = False, True
            case "errors":
                machine.to(Health.ERRORS)
                machine.errors = float(command["size"])
            case "hang":
                machine.to(Health.HANGING)
            case "full":
                machine.to(Health.FULL)
            case "slow":
                machine.slowed = float(command["size"])
            case "stuck":
                self.stuck = True
            case "absent":
                self.reports = False
            case "drain":
                machine.to(Health.DRAINING)
                self.drain_by = time.monotonic() + float(command["seconds"])
                self._drain()
            case _:
                raise ValueError(f"unknown command {what!r}")


async def part(told: child.Told, writer: Writer) -> child.Take:
    server = Server(told, writer)
    await server.serve()
    return server.take


if __name__ == "__main__":
    sys.exit(child.run(part))
