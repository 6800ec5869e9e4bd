"""The bench's wire as text: its lines to fields, its words to ours."""

from __future__ import annotations

from typing import Any, cast

from pointgw.interface import Ending, Report, ServerEntry
from pointgw.site import Fields, Malformed, choice, number, seconds, text, wanted, whole
from pointgw.site import report as report_of

ENDINGS: dict[str, Ending] = {
    "GOOD": "ok", "BAD": "error", "FULL": "full", "LATE": "timeout", "NOCONN": "no-connection",
    "RST": "reset", "CXL": "cancelled", "NOP": "moot",
}  # fmt: skip
STATES = {"active": "active", "leaving": "leaving", "left": "left"}
FORMS = {"delta": "delta", "full": "full", "cached": "cached", "failed": "failed"}


def split(line: str) -> tuple[str, Fields]:
    """A line's word and its fields. A pair without '=' is refused."""
    word, *parts = line.split("\t")
    fields: Fields = {}
    for part in parts:
        name, sign, value = part.partition("=")
        if not sign or not name:
            raise Malformed(f"expected name=value, got {part!r}")
        fields[name] = value
    return word, fields


def report(fields: Fields) -> Report:
    return report_of(fields.get("telemetry", ""), ":")


def entry(fields: Fields) -> ServerEntry:
    return ServerEntry(
        server=text(fields, "server"),
        state=cast(Any, choice(fields, "availability", STATES)),
        kind=whole(fields, "kind", 0),
        cell=whole(fields, "stripe", 0),
        zone=whole(fields, "locality", 0),
        started_at=seconds(fields, "startTime", 0.0),
        weight=number(fields, "nominal", 1.0),
    )


def payload(fields: Fields, name: str) -> bytes:
    value = text(fields, name)
    try:
        return b"" if value == "-" else bytes.fromhex(value)
    except ValueError:
        raise wanted(name, value, "hex digits") from None
