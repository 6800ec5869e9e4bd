"""Stand-in discovery service of a soak run: the list over HTTP/1.1, with switchable faults."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from random import Random
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

MAX_HOLD = 60.0  # seconds that a watch is held at most


class Behaviour(Enum):
    """How requests are answered."""

    NORMAL = "normal"
    DOWN = "down"  # aborts all connections, new ones too
    SILENT = "silent"  # accepts requests without answering
    BUSY = "busy"  # answers 503
    SLOW = "slow"  # answers after a delay
    RESETS = "resets"  # aborts the connection of each request


SILENT_BEHAVIOURS = (Behaviour.SILENT, Behaviour.SLOW)


class ResponseForm(Enum):
    """How a response is framed and formatted."""

    PLAIN = "plain"
    CHUNKED = "chunked"
    INDENTED = "indented"
    PIECES = "pieces"
    UNTIL_CLOSE = "until close"  # without length: the end of the connection ends the body


@dataclass(slots=True)
class Change:
    """One change of the list, and when it was sent to each balancer."""

    version: int
    server: str
    status: str
    changed_at: float
    notified_at: dict[int, float] = field(default_factory=dict)


class DiscoveryConnection(asyncio.Protocol):
    """One connection of a balancer."""

    def __init__(self, service: Discovery, balancer: int) -> None:
        self.service, self.balancer = service, balancer
        self.buffer = b""
        self.waiting_version: int | None = None  # version that a held watch has; None: no watch is held
        self.hold_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.service.connections[self] = None
        if self.service.behaviour is Behaviour.DOWN:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            self._handle_request(parse_qs(urlsplit(target).query))

    def _handle_request(self, query: dict[str, list[str]]) -> None:
        service = self.service
        service.request_count += 1
        match service.behaviour:
            case Behaviour.RESETS | Behaviour.DOWN:
                self.transport.abort()
                return
            case Behaviour.SILENT:
                return
            case Behaviour.BUSY:
                self.transport.write(b"HTTP/1.1 503 busy\r\nContent-Length: 0\r\n\r\n")
                return
        delay = (
            service.rng.uniform(0.3, service.max_slow_delay) if service.behaviour is Behaviour.SLOW else 0.002
        )
        version = int(query["from"][0]) if "from" in query else None
        hold = min(MAX_HOLD, float(query.get("hold_ms", ["0"])[0]) / 1e3)
        service.loop.call_later(delay, self._respond, version, hold)

    def _respond(self, version: int | None, hold: float) -> None:
        if self.transport.is_closing() or self.service.behaviour in (Behaviour.SILENT, Behaviour.DOWN):
            return
        if version is not None and version >= self.service.version:
            self.waiting_version = version
            self.hold_timer = self.service.loop.call_later(hold, self._hold_expired)
        else:
            self.send_list(version)

    def _hold_expired(self) -> None:
        if self.waiting_version is not None and self.service.behaviour is not Behaviour.SILENT:
            self.send_list(self.waiting_version)

    def send_list(self, version: int | None) -> None:
        """Sends the whole list, or the entries changed after `version`."""
        if self.transport.is_closing():
            return
        self.waiting_version = None
        if self.hold_timer is not None:
            self.hold_timer.cancel()
        service = self.service
        entries = [
            line for name, line in service.entries.items()
            if version is None or service.changed_in_version[name] > version
        ]  # fmt: skip
        if version is None:
            entries = [line for line in entries if line["status"] != "removed"]
        message = {"index": service.version, "snapshot": version is None, "endpoints": entries}
        service.record_notified(self.balancer, version)
        self._write_response(message)

    def _write_response(self, message: dict[str, Any]) -> None:
        form = self.service.rng.choice(self.service.response_forms)
        body = json.dumps(message, indent=4 if form is ResponseForm.INDENTED else None).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        if form is ResponseForm.CHUNKED:
            half = len(body) // 2
            parts = [part for part in (body[:half], body[half:]) if part]
            chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
            self.transport.write(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
        elif form is ResponseForm.UNTIL_CLOSE:
            self.transport.write(head + b"Connection: close\r\n\r\n" + body)
            self.transport.close()
        else:
            data = head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            if form is ResponseForm.PIECES:
                at = self.service.rng.randrange(1, len(data))
                self.transport.write(data[:at])
                self.service.loop.call_later(0.02, self._write_rest, data[at:])
            else:
                self.transport.write(data)

    def _write_rest(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.waiting_version = None
        if self.hold_timer is not None:
            self.hold_timer.cancel()
        self.service.connections.pop(self, None)


class Discovery:
    """The server list, and the listeners that serve it."""

    def __init__(self, rng: Random, balancers: int, agent_pushes: bool) -> None:
        self.rng, self.balancers, self.agent_pushes = rng, balancers, agent_pushes
        self.loop = asyncio.get_running_loop()
        self.behaviour = Behaviour.NORMAL
        self.response_forms: tuple[ResponseForm, ...] = (ResponseForm.PLAIN,)
        self.max_slow_delay = 1.0
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in_version: dict[str, int] = {}
        self.changes: list[Change] = []
        self.connections: dict[DiscoveryConnection, None] = {}
        self.request_count = 0
        self.unreachable_spans: list[tuple[float, float]] = []  # spans without access
        self.silent_spans: list[tuple[float, float]] = []  # spans in which answers were withheld or late

    async def listen(self, host: str, port: int) -> list[int]:
        """Listens on two ports for each balancer, so that a reload can switch ports; returns all ports."""
        self.ports: list[tuple[int, int]] = []
        self.servers: list[asyncio.Server] = []
        for balancer in range(self.balancers):
            pair = []
            for _ in range(2):
                server = await self.loop.create_server(
                    partial(DiscoveryConnection, self, balancer), host, 0, backlog=256
                )
                self.servers.append(server)
                pair.append(int(server.sockets[0].getsockname()[1]))
            self.ports.append((pair[0], pair[1]))
        return [port for pair in self.ports for port in pair]

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Switches the behaviour; held watches are aborted or answered as it requires."""
        now = time.monotonic()
        previous, self.behaviour = self.behaviour, behaviour
        answering = (Behaviour.NORMAL, Behaviour.SLOW)
        if previous not in SILENT_BEHAVIOURS and behaviour in SILENT_BEHAVIOURS:
            self.silent_spans.append((now, float("inf")))
        elif previous in SILENT_BEHAVIOURS and behaviour not in SILENT_BEHAVIOURS:
            self.silent_spans[-1] = (self.silent_spans[-1][0], now)
        if self._is_reachable(previous) and not self._is_reachable(behaviour):
            self.unreachable_spans.append((now, float("inf")))
        elif not self._is_reachable(previous) and self._is_reachable(behaviour):
            self.unreachable_spans[-1] = (self.unreachable_spans[-1][0], now)
        if behaviour in (Behaviour.DOWN, Behaviour.RESETS):
            for call in list(self.connections):
                call.transport.abort()
        elif behaviour in answering:
            self._answer_watches()

    def _is_reachable(self, behaviour: Behaviour) -> bool:
        """Whether balancers can get the list. A slow agent that pushes the list counts as silent."""
        return behaviour is Behaviour.NORMAL or (behaviour is Behaviour.SLOW and not self.agent_pushes)

    def change_entry(self, name: str, now: float, **fields: Any) -> None:
        """Sets fields of a server's entry and answers the watches."""
        self.version += 1
        self.entries[name] = self.entries.get(name, {}) | fields | {"name": name}
        self.changed_in_version[name] = self.version
        self.changes.append(Change(self.version, name, self.entries[name]["status"], now))
        if self.behaviour in (Behaviour.NORMAL, Behaviour.SLOW):
            self._answer_watches()

    def _answer_watches(self) -> None:
        for call in list(self.connections):
            if call.waiting_version is not None and call.waiting_version < self.version:
                call.send_list(call.waiting_version)

    def record_notified(self, balancer: int, version: int | None) -> None:
        """Records that the changes after `version` were sent to a balancer."""
        now = time.monotonic()
        for change in self.changes:
            if version is None or change.version > version:
                change.notified_at.setdefault(balancer, now)

    def start_up_list(self) -> dict[str, Any]:
        """The list in the form of the start-up file."""
        entries = [line for line in self.entries.values() if line["status"] == "up"]
        return {"index": self.version, "snapshot": True, "endpoints": entries}
