"""The stand-in discovery process: a `Registry` served over HTTP/1.1, with an address for each balancer."""

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
from pointgw.testbed import child_process
from pointgw.testbed.records import Changed, Writer, Wrote
from pointgw.testbed.registry import AnswerMode, Line, Registry

LATE_ANSWER_SECONDS = 3.0  # seconds until an answer in mode LATE
MAX_HOLD_SECONDS = 60.0  # longest time that a watch is held without a change


class BalancerConnection(asyncio.Protocol):
    """One balancer's connection; each request is a watch."""

    __slots__ = (
        "balancer",
        "discovery",
        "known_index",
        "parser",
        "timer",
        "transport",
        "url",
        "watch_pending",
    )

    def __init__(self, discovery: Discovery, balancer: int) -> None:
        self.discovery, self.balancer = discovery, balancer
        self.url = b""
        self.watch_pending = False  # a watch waits for a change
        self.known_index: int | None = None  # the index in the balancer's request
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.discovery.connections[self] = None

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
        answer_mode = self.discovery.registry.answer_mode
        if answer_mode is AnswerMode.RESET:
            tcp.abort_with_reset(self.transport)
        elif answer_mode is AnswerMode.BUSY:
            self.write_response(503, b"busy")
        elif answer_mode is not AnswerMode.SILENT:
            self.known_index = int(query["from"][0]) if "from" in query else None
            hold = min(MAX_HOLD_SECONDS, float(query.get("hold_ms", ["0"])[0]) / 1e3)
            wait = (
                LATE_ANSWER_SECONDS
                if answer_mode is AnswerMode.LATE
                else self.discovery.rng.uniform(0.0, 0.02)
            )
            self.discovery.loop.call_later(wait, self._answer_or_hold, hold)

    def _answer_or_hold(self, hold: float) -> None:
        if not self.answer_if_changed() and not self.transport.is_closing():
            self.watch_pending = True
            self.timer = self.discovery.loop.call_later(hold, self._end_hold)

    def _end_hold(self) -> None:
        if self.watch_pending:
            self.watch_pending = False
            self.write_response(200, json.dumps(self.discovery.registry.unchanged_answer()).encode())

    def answer_if_changed(self) -> bool:
        """Answers the watch if there are changes; False if there are none."""
        answer = self.discovery.registry.answer(self.known_index, self.discovery.addresses[self.balancer])
        if answer is None or self.transport.is_closing():
            return False
        self.watch_pending = False
        if self.timer is not None:
            self.timer.cancel()
        self.write_response(200, json.dumps(answer).encode())
        statuses = {line["name"]: line["status"] for line in answer["endpoints"]}
        self.discovery.writer.write(
            Wrote(time.monotonic(), self.balancer, answer["index"], statuses, answer["snapshot"])
        )
        return True

    def write_response(self, status: int, body: bytes) -> None:
        """Writes an HTTP response with a JSON body."""
        head = f"HTTP/1.1 {status} .\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.watch_pending = False
        if self.timer is not None:
            self.timer.cancel()
        self.discovery.connections.pop(self, None)


class Discovery:
    """The registry and the connections of all balancers."""

    def __init__(self, start_values: child_process.Message, writer: Writer) -> None:
        self.writer, self.loop = writer, asyncio.get_running_loop()
        self.rng = Random(f"{start_values['seed']}/discovery")
        self.addresses: list[dict[str, str]] = start_values["addresses"]
        self.listen: list[tuple[str, int]] = start_values["listen"]
        self.registry = Registry()
        for line in start_values["lines"]:
            self.registry.lines[line["name"]] = Line(**line)
        self.connections: dict[BalancerConnection, None] = {}

    async def serve(self) -> None:
        """Starts to listen, for each balancer on an address of its own."""
        for number, (host, port) in enumerate(self.listen):
            await self.loop.create_server(partial(BalancerConnection, self, number), host, port)

    def handle_command(self, command: dict[str, Any]) -> None:
        """A command of the run: a change of a server, another answer mode, or a reset of the index."""
        match command["what"]:
            case "change":
                line = Line(**command["line"])
                if self.registry.apply(line):
                    self._record_change(line)
            case "serve":
                for line in self.registry.set_answer_mode(AnswerMode(command["how"])):
                    self._record_change(line)
            case "lower":
                self.registry.reset_index()
                for connection in list(self.connections):
                    tcp.abort_with_reset(connection.transport)
            case what:
                raise ValueError(f"unknown command {what!r}")
        if self.registry.answer_mode in (AnswerMode.RESET, AnswerMode.BUSY):
            for connection in list(self.connections):
                if connection.watch_pending:
                    tcp.abort_with_reset(connection.transport)
        elif self.registry.answer_mode is not AnswerMode.SILENT:
            for connection in list(self.connections):
                if connection.watch_pending:
                    connection.answer_if_changed()

    def _record_change(self, line: Line) -> None:
        self.writer.write(Changed(time.monotonic(), line.name, line.status, self.registry.index))


async def start(start_values: child_process.Message, writer: Writer) -> child_process.CommandHandler:
    """Starts discovery; the handler takes the run's commands."""
    discovery = Discovery(start_values, writer)
    await discovery.serve()
    return discovery.handle_command


if __name__ == "__main__":
    sys.exit(child_process.run(start))
