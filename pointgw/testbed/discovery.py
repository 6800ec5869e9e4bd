"""The stand-in discovery as a process: HTTP/1.1 round a `Roster`, with an address for each balancer."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from functools import partial
from random import Random
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from pointgw.net.run import tcp
from pointgw.testbed import child
from pointgw.testbed.records import Changed, Writer, Wrote
from pointgw.testbed.roster import Line, Roster, Serving

LATE = 3.0  # seconds that an answer takes while late
LONGEST_HOLD = 60.0


class Call(asyncio.Protocol):
    """One balancer's connection."""

    __slots__ = ("after", "balancer", "here", "parser", "timer", "transport", "url", "waits")

    def __init__(self, here: Discovery, balancer: int) -> None:
        self.here, self.balancer = here, balancer
        self.url = b""
        self.waits = False  # a watch is held
        self.after: int | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.here.calls[self] = None

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        query = parse_qs(urlsplit(self.url.decode("ascii", "replace")).query)
        self.url = b""
        serving = self.here.roster.serving
        if serving is Serving.RESET:
            tcp.abort_with_reset(self.transport)
        elif serving is Serving.BUSY:
            self.write(503, b"busy")
        elif serving is not Serving.SILENT:
            self.after = int(query["from"][0]) if "from" in query else None
            hold = min(LONGEST_HOLD, float(query.get("hold_ms", ["0"])[0]) / 1e3)
            wait = LATE if serving is Serving.LATE else self.here.rng.uniform(0.0, 0.02)
            self.here.loop.call_later(wait, self._begin, hold)

    def _begin(self, hold: float) -> None:
        if not self.answer() and not self.transport.is_closing():
            self.waits = True
            self.timer = self.here.loop.call_later(hold, self._due)

    def _due(self) -> None:
        if self.waits:
            self.waits = False
            self.write(200, json.dumps(self.here.roster.nothing_new()).encode())

    def answer(self) -> bool:
        """Tells what is new; False where there is nothing."""
        told = self.here.roster.answer(self.after, self.here.addresses[self.balancer])
        if told is None or self.transport.is_closing():
            return False
        self.waits = False
        if self.timer is not None:
            self.timer.cancel()
        self.write(200, json.dumps(told).encode())
        statuses = {line["name"]: line["status"] for line in told["endpoints"]}
        self.here.writer.write(
            Wrote(time.monotonic(), self.balancer, told["index"], statuses, told["snapshot"])
        )
        return True

    def write(self, status: int, body: bytes) -> None:
        head = f"HTTP/1.1 {status} .\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.waits = False
        if self.timer is not None:
            self.timer.cancel()
        self.here.calls.pop(self, None)


class Discovery:
    def __init__(self, told: child.Told, writer: Writer) -> None:
        self.writer, self.loop = writer, asyncio.get_running_loop()
        self.rng = Random(f"{told['seed']}/discovery")
        self.addresses: list[dict[str, str]] = told["addresses"]
        self.listen: list[tuple[str, int]] = told["listen"]
        self.roster = Roster()
        for line in told["lines"]:
            self.roster.lines[line["name"]] = Line(**line)
        self.calls: dict[Call, None] = {}

    async def serve(self) -> None:
        for number, (host, port) in enumerate(self.listen):
            await self.loop.create_server(partial(Call, self, number), host, port)

    def take(self, command: dict[str, Any]) -> None:
        """A command of the rig: a change, or another way of answering."""
        match command["what"]:
            case "change":
                line = Line(**command["line"])
                if self.roster.change(line):
                    self._changed(line)
            case "serve":
                for line in self.roster.serve(Serving(command["how"])):
                    self._changed(line)
            case "lower":
                self.roster.restart_lower()
                for call in list(self.calls):
                    tcp.abort_with_reset(call.transport)
            case what:
                raise ValueError(f"unknown command {what!r}")
        if self.roster.serving in (Serving.RESET, Serving.BUSY):
            for call in list(self.calls):
                if call.waits:
                    tcp.abort_with_reset(call.transport)
        elif self.roster.serving is not Serving.SILENT:
            for call in list(self.calls):
                if call.waits:
                    call.answer()

    def _changed(self, line: Line) -> None:
        self.writer.write(Changed(time.monotonic(), line.name, line.status, self.roster.index))


async def part(told: child.Told, writer: Writer) -> child.Take:
    discovery = Discovery(told, writer)
    await discovery.serve()
    return discovery.take


if __name__ == "__main__":
    sys.exit(child.run(part))
