"""Codec of the server list as discovery sends it: JSON over HTTP/1.1."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Literal

import httptools

from pointgw.interface import UNKNOWN_PLACE, UNKNOWN_WEIGHT, ServerEntry
from pointgw.site import MalformedInputError

LIST_PATH = "/registry/instances"
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_SHOWN_VALUE = 80  # characters of an unusable value in the log
MAX_HEAD_BYTES = 64 * 1024  # before the body, including what arrived of the body with the head
UNKNOWN_START = -1.0  # in place of a start time that is missing or unreadable
STATES: dict[str, Literal["active", "leaving", "left"]] = {
    "up": "active", "draining": "leaving", "removed": "left",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class DeploymentNames:
    """The deployment's zones and machine kinds, in the order of the settings."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class InvalidField:
    """A value of the list that can't be used; `server` is empty where the entry has no name."""

    server: str
    key: str
    value: str  # its JSON, cut to `MAX_SHOWN_VALUE` characters

    @classmethod
    def create(cls, server: str, key: str, value: object) -> InvalidField:
        """For a decoded JSON value."""
        return cls(server, key, json.dumps(value)[:MAX_SHOWN_VALUE])


@dataclass(frozen=True, slots=True)
class ServerList:
    """A complete list or changes to it."""

    version: int
    is_complete: bool
    servers: tuple[ServerEntry, ...]
    addresses: tuple[tuple[str, str, int], ...]  # server name, host, port
    invalid_fields: tuple[InvalidField, ...] = ()


def parse_server_list(value: Any, names: DeploymentNames) -> ServerList:
    """Reads the list in a decoded JSON value. Raises MalformedInputError if there is none.

    An invalid entry does not hide the others: guards rule 3, as every entry of an answer counts as known.
    An entry without a name is left out; an invalid status is replaced by the most restrictive one, another
    value by one that stands for unknown. A missing value is unknown, too.
    """
    servers: list[ServerEntry] = []
    addresses: list[tuple[str, str, int]] = []
    invalid_fields: list[InvalidField] = []
    try:
        version, is_complete, entries = int(value["index"]), bool(value["snapshot"]), iter(value["endpoints"])
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise MalformedInputError(f"expected a list of servers: {type(error).__name__} {error}") from None
    for entry in entries:
        if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
            invalid_fields.append(InvalidField.create("", "name", entry))
            continue
        parsed = _parse_entry(entry, names)
        servers.append(parsed)
        address = _parse_address(entry.get("address"))
        if address is not None:
            addresses.append((parsed.server, *address))
        invalid_fields += _find_invalid_fields(entry, parsed, names, address is not None)
    return ServerList(version, is_complete, tuple(servers), tuple(addresses), tuple(invalid_fields))


def _parse_entry(entry: dict[str, Any], names: DeploymentNames) -> ServerEntry:
    started, weight = _parse_non_negative(entry.get("since_ms")), _parse_non_negative(entry.get("weight"))
    cell, status = _parse_non_negative(entry.get("group")), entry.get("status")
    return ServerEntry(
        server=entry["name"],
        state=STATES.get(status, "leaving") if isinstance(status, str) else "leaving",
        kind=_index_of(entry.get("type"), names.kinds),
        cell=int(cell) if cell is not None and cell.is_integer() else UNKNOWN_PLACE,
        zone=_index_of(entry.get("zone"), names.zones),
        started_at=started / 1e3 if started is not None else UNKNOWN_START,
        weight=weight if weight is not None else UNKNOWN_WEIGHT,
    )


def _find_invalid_fields(
    entry: dict[str, Any], parsed: ServerEntry, names: DeploymentNames, has_address: bool
) -> list[InvalidField]:
    """The fields that the entry states, but not in a usable way; a status has to be there."""
    is_usable = {
        "status": isinstance(entry.get("status"), str) and entry["status"] in STATES,
        "type": parsed.kind != UNKNOWN_PLACE or not names.kinds,
        "group": parsed.cell != UNKNOWN_PLACE,
        "zone": parsed.zone != UNKNOWN_PLACE or not names.zones,
        "since_ms": parsed.started_at != UNKNOWN_START,
        "weight": parsed.weight != UNKNOWN_WEIGHT,
        "address": has_address,
    }
    return [
        InvalidField.create(parsed.server, key, entry.get(key))
        for key, usable in is_usable.items()
        if not usable and (key in entry or key == "status")
    ]


def _parse_non_negative(value: Any) -> float | None:
    """A finite number, zero or more; None: `value` is not one."""
    if isinstance(value, bool):
        return None
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return None
    return number if 0.0 <= number < math.inf else None


def _parse_address(value: Any) -> tuple[str, int] | None:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 2**16:
        return None
    return host, int(port)


def _index_of(name: object, names: Sequence[str]) -> int:
    return names.index(name) if isinstance(name, str) and name in names else UNKNOWN_PLACE


def parse_server_list_body(data: bytes, names: DeploymentNames) -> ServerList:
    """Reads the list in the body of an HTTP response. Raises MalformedInputError."""
    try:
        return parse_server_list(json.loads(data), names)
    except (ValueError, RecursionError) as error:
        raise MalformedInputError(f"expected JSON: {error}") from None


def encode_list_request(host: str, version: int | None, wait: float) -> bytes:
    """The request for the complete list (`version` None), or for changes after a version.

    Discovery holds the latter for up to `wait` seconds until there are changes.
    """
    query = "" if version is None else f"?from={version}&hold_ms={round(wait * 1e3)}"
    return f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()


class Response:
    """Parses successive HTTP responses on a connection; `pop_complete` is true once for each complete one.

    Raises MalformedInputError on a response that is invalid, too large, or followed by more data: requests
    are sent one at a time, so data beyond the response to the current one was not requested.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.head_bytes = 0  # received since the response began, until its body
        self.is_complete = self.in_body = self.keep_alive = False
        self.has_declared_length = False  # else the body lasts to the end of the connection

    def feed(self, data: bytes) -> None:
        """Parses received bytes. Raises MalformedInputError."""
        if not self.in_body:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise MalformedInputError(f"expected HTTP: {error}") from None
        if not self.in_body and not self.is_complete and self.head_bytes > MAX_HEAD_BYTES:
            raise MalformedInputError(f"expected the head of a response within {MAX_HEAD_BYTES} bytes")

    def on_message_begin(self) -> None:
        if self.is_complete:
            raise ValueError("a second response to one request")
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
        self.keep_alive = self.parser.should_keep_alive()  # valid only here: afterwards always False

    def stream_ended(self) -> bool:
        """Call when the connection has ended; True: that completes a response (RFC 9112, section 6.3)."""
        self.keep_alive = False
        return self.in_body and not self.has_declared_length

    def pop_complete(self) -> bool:
        """Whether a response is complete; True once for each."""
        was_complete, self.is_complete = self.is_complete, False
        return was_complete

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.parser.get_status_code()
