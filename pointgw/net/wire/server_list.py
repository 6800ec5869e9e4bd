"""The server list as discovery tells it: JSON over HTTP/1.1."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Literal

import httptools

from pointgw.interface import ServerEntry
from pointgw.site import Malformed

LIST_PATH = "/registry/instances"
MAX_BODY_BYTES = 4 * 1024 * 1024  # bytes of an answer
MAX_HEAD_BYTES = 64 * 1024  # bytes until its body begins, what came of that with it included
INVALID_START = -1.0  # in place of a start that can't be read
UNKNOWN_CELL = -1  # of an entry whose group can't be read
STATES: dict[str, Literal["active", "leaving", "left"]] = {
    "up": "active", "draining": "leaving", "removed": "left",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Names:
    """The deployment's zones and machine kinds, in the order of the settings."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServerList:
    """The list or what changed of it."""

    version: int
    is_full: bool
    servers: tuple[ServerEntry, ...]
    addresses: tuple[tuple[str, str, int], ...]  # a server's name, its host and port
    invalid_entries: int = 0  # entries that were left out or read in part


def parse_server_list(value: Any, names: Names) -> ServerList:
    """The list of an answer. Raises Malformed where it is none.

    An entry that can't be used hides no other: guards rule 3, as all that the answer tells counts as told.
    One without a name is left out; a figure or a status out of range is replaced by what binds most.
    """
    servers: list[ServerEntry] = []
    addresses: list[tuple[str, str, int]] = []
    unusable = 0
    try:
        index, whole, entries = int(value["index"]), bool(value["snapshot"]), iter(value["endpoints"])
    except (KeyError, TypeError, ValueError, OverflowError) as fault:
        raise Malformed(f"expected a list of servers: {type(fault).__name__} {fault}") from None
    for entry in entries:
        if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
            unusable += 1
            continue
        line, sound = _parse_entry(entry, names)
        servers.append(line)
        address = _parse_address(entry.get("address"))
        if address is not None:
            addresses.append((line.server, *address))
        unusable += not sound or (address is None and bool(entry.get("address")))
    return ServerList(index, whole, tuple(servers), tuple(addresses), unusable)


def _parse_entry(entry: dict[str, Any], names: Names) -> tuple[ServerEntry, bool]:
    """One entry, and whether all of it could be read."""
    started, weight = (
        _parse_non_negative(entry.get("since_ms") or 0),
        _parse_non_negative(entry.get("weight", 1.0)),
    )
    cell, status = _parse_non_negative(entry.get("group") or 0), entry.get("status")
    state = STATES.get(status, "leaving") if isinstance(status, str) else "leaving"
    line = ServerEntry(
        server=entry["name"],
        state=state,  # an unknown word allows nothing new
        kind=_index_of(entry.get("type"), names.kinds),
        cell=int(cell) if cell is not None else UNKNOWN_CELL,
        zone=_index_of(entry.get("zone"), names.zones),
        started_at=started / 1e3 if started is not None else INVALID_START,
        weight=weight if weight is not None else 1.0,
    )
    return line, None not in (started, weight, cell) and isinstance(status, str)


def _parse_non_negative(told: Any) -> float | None:
    """A finite figure of nought or more; None: it is none."""
    try:
        figure = float(told)
    except (TypeError, ValueError, OverflowError):
        return None
    return figure if 0.0 <= figure < math.inf else None


def _parse_address(told: Any) -> tuple[str, int] | None:
    host, _, port = str(told).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 2**16:
        return None
    return host, int(port)


def _index_of(name: object, names: Sequence[str]) -> int:
    return names.index(name) if isinstance(name, str) and name in names else -1


def parse_server_list_body(data: bytes, names: Names) -> ServerList:
    try:
        return parse_server_list(json.loads(data), names)
    except (ValueError, RecursionError) as fault:
        raise Malformed(f"expected JSON: {fault}") from None


def encode_list_request(host: str, after: int | None, hold: float) -> bytes:
    """Asks for the whole list, or for what comes after a version, within so many seconds."""
    query = "" if after is None else f"?from={after}&hold_ms={round(hold * 1e3)}"
    return f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()


class Response:
    """Reads one HTTP answer after another; `take_done` tells once of each that is whole.

    Raises `Malformed` on what is no answer, is too large, or goes on after an answer: calls go out one at a
    time, so what comes beside the answer to the one that is out was asked for by nobody.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.head_bytes = 0  # bytes that came since the answer began, until its body
        self.is_complete = self.in_body = self.keep_alive = False
        self.has_declared_length = (
            False  # its head tells where the body ends; else the end of the connection does
        )

    def feed(self, data: bytes) -> None:
        if not self.in_body:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as fault:
            raise Malformed(f"expected HTTP: {fault}") from None
        if not self.in_body and not self.is_complete and self.head_bytes > MAX_HEAD_BYTES:
            raise Malformed(f"expected the head of an answer within {MAX_HEAD_BYTES} bytes")

    def on_message_begin(self) -> None:
        if self.is_complete:
            raise ValueError("another answer after the one that was asked for")
        self.body.clear()
        self.in_body = self.has_declared_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.has_declared_length = self.has_declared_length or name.lower() in (
            b"content-length",
            b"transfer-encoding",
        )

    def on_headers_complete(self) -> None:
        self.in_body = True

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > MAX_BODY_BYTES:
            raise ValueError("too large")
        self.body += data

    def on_message_complete(self) -> None:
        self.is_complete, self.in_body, self.head_bytes = True, False, 0
        self.keep_alive = self.parser.should_keep_alive()  # told here only: afterwards it is always False

    def stream_ended(self) -> bool:
        """The connection has ended; True: an answer was whole with that (RFC 9112, 6.3)."""
        self.keep_alive = False
        return self.in_body and not self.has_declared_length

    def pop_complete(self) -> bool:
        done, self.is_complete = self.is_complete, False
        return done

    @property
    def status(self) -> int:
        return self.parser.get_status_code()
