"""The server list as discovery tells it: JSON over HTTP/1.1."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Literal

import httptools

from pointgw.interface import Listed
from pointgw.site import Malformed

PATH = "/registry/instances"
LARGEST = 4 * 1024 * 1024  # bytes of an answer
LONGEST_HEAD = 64 * 1024  # bytes until its body begins, what came of that with it included
STATES: dict[str, Literal["active", "leaving", "left"]] = {
    "up": "active", "draining": "leaving", "removed": "left",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Names:
    """The deployment's zones and machine kinds, in the order of the settings."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Listing:
    """The list or what changed of it."""

    index: int
    whole: bool
    servers: tuple[Listed, ...]
    addresses: tuple[tuple[str, str, int], ...]  # a server's name, its host and port


def listing(value: Any, names: Names) -> Listing:
    servers: list[Listed] = []
    addresses: list[tuple[str, str, int]] = []
    try:
        for line in value["endpoints"]:
            servers.append(
                Listed(
                    server=str(line["name"]),
                    state=STATES.get(line["status"], "leaving"),  # an unknown word allows nothing new
                    kind=_place(line.get("type"), names.kinds),
                    cell=int(line.get("group") or 0),
                    zone=_place(line.get("zone"), names.zones),
                    started=_figure(line.get("since_ms") or 0) / 1e3,
                    weight=_figure(line.get("weight", 1.0)),
                )
            )
            if line.get("address"):
                host, _, told = str(line["address"]).rpartition(":")
                port = int(told)
                if not 0 < port < 2**16:
                    raise ValueError(f"port {port}")
                addresses.append((str(line["name"]), host, port))
        return Listing(int(value["index"]), bool(value["snapshot"]), tuple(servers), tuple(addresses))
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise Malformed(f"expected a list of servers: {type(fault).__name__} {fault}") from None


def _figure(told: Any) -> float:
    figure = float(told)
    if not 0.0 <= figure < math.inf:
        raise ValueError(f"a figure of {told}")
    return figure


def _place(name: object, names: Sequence[str]) -> int:
    return names.index(name) if isinstance(name, str) and name in names else -1


def body(data: bytes, names: Names) -> Listing:
    try:
        return listing(json.loads(data), names)
    except (ValueError, RecursionError) as fault:
        raise Malformed(f"expected JSON: {fault}") from None


def request(host: str, after: int | None, hold: float) -> bytes:
    """Asks for the whole list, or for what comes after a version, within so many seconds."""
    query = "" if after is None else f"?from={after}&hold_ms={round(hold * 1e3)}"
    return f"GET {PATH}{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()


class Response:
    """Reads one HTTP answer after another; `take_done` tells once of each that is whole.

    Raises `Malformed` on what is no answer, is too large, or goes on after an answer: calls go out one at a
    time, so what comes beside the answer to the one that is out was asked for by nobody.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()
        self.head = 0  # bytes that came since the answer began, until its body
        self.done = self.in_body = self.keeps_alive = False

    def feed(self, data: bytes) -> None:
        if not self.in_body:
            self.head += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as fault:
            raise Malformed(f"expected HTTP: {fault}") from None
        if not self.in_body and not self.done and self.head > LONGEST_HEAD:
            raise Malformed(f"expected the head of an answer within {LONGEST_HEAD} bytes")

    def on_message_begin(self) -> None:
        if self.done:
            raise ValueError("another answer after the one that was asked for")
        self.data.clear()
        self.in_body = False

    def on_headers_complete(self) -> None:
        self.in_body = True

    def on_body(self, data: bytes) -> None:
        if len(self.data) + len(data) > LARGEST:
            raise ValueError("too large")
        self.data += data

    def on_message_complete(self) -> None:
        self.done, self.in_body, self.head = True, False, 0
        self.keeps_alive = self.parser.should_keep_alive()  # told here only: afterwards it is always False

    def take_done(self) -> bool:
        done, self.done = self.done, False
        return done

    @property
    def status(self) -> int:
        return self.parser.get_status_code()
