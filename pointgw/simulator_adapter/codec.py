"""Codec of the simulator's protocol: lines to fields, and its values to those of `pointgw.interface`."""

from __future__ import annotations

from typing import Any, cast

from pointgw.interface import Ending, Report, ServerEntry
from pointgw.site import (
    Fields,
    MalformedInputError,
    malformed_field,
    read_choice,
    read_float,
    read_int,
    read_seconds,
    read_text,
)
from pointgw.site import parse_report as parse_load_report

ENDINGS: dict[str, Ending] = {
    "GOOD": "ok", "BAD": "error", "FULL": "full", "LATE": "timeout", "NOCONN": "no-connection",
    "RST": "reset", "CXL": "cancelled", "NOP": "moot",
}  # fmt: skip
STATES = {"active": "active", "leaving": "leaving", "left": "left"}
LIST_FORMS = {"delta": "delta", "full": "full", "cached": "cached", "failed": "failed"}


def parse_line(line: str) -> tuple[str, Fields]:
    """A line's word and its fields. Raises MalformedInputError on a pair without '='."""
    word, *parts = line.split("\t")
    fields: Fields = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise MalformedInputError(f"expected name=value, got {part!r}")
        fields[name] = value
    return word, fields


def read_report(fields: Fields) -> Report:
    """The load report of a line; empty if it has none."""
    return parse_load_report(fields.get("telemetry", ""), ":")


def read_entry(fields: Fields) -> ServerEntry:
    """The entry of an `ENTRY` line."""
    return ServerEntry(
        server=read_text(fields, "server"),
        state=cast(Any, read_choice(fields, "availability", STATES)),
        kind=read_int(fields, "kind", 0),
        cell=read_int(fields, "stripe", 0),
        zone=read_int(fields, "locality", 0),
        started_at=read_seconds(fields, "startTime", 0.0),
        weight=read_float(fields, "nominal", 1.0),
    )


def read_payload(fields: Fields, name: str) -> bytes:
    """Bytes given as hex digits, or as "-" for none."""
    value = read_text(fields, name)
    try:
        return b"" if value == "-" else bytes.fromhex(value)
    except ValueError:
        raise malformed_field(name, value, "hex digits") from None
