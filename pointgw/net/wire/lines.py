"""Codec of the line protocol between clients, balancers and servers."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from pointgw.interface import Ending, Report
from pointgw.site import MalformedInputError, parse_report

LINE_END = b"\r\n"
MAX_LINE_BYTES = 4096  # including its line end
PING, PONG, STATS, MOVE, ERR, BYE = b"PING", b"PONG", b"STATS", b"MOVE", b"ERR", b"BYE"
DEADLINE_PATTERN = re.compile(r"\d{1,9}(\.\d{1,6})?")  # milliseconds
ENDINGS: dict[bytes, Ending] = {BYE: "ok", b"ERR": "error", b"BUSY": "full", b"MOVE": "cancelled"}


@dataclass(frozen=True, slots=True)
class Ping:
    """A health check of this balancer by the front end."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A client requests a tunnel."""

    name: str
    key: str
    profile: str
    tenant: str
    group: str
    remaining_time: float | None  # seconds until the client gives up; None: not given
    is_returning: bool
    current_server: str  # the server that has this tunnel already; empty: none
    line_before_deadline: bytes  # the line as received, up to the value of `d`
    line_after_deadline: bytes  # the line as received, after that value


@dataclass(frozen=True, slots=True)
class Up:
    """A server has accepted the tunnel; `line` is passed on to the client."""

    line: bytes


@dataclass(frozen=True, slots=True)
class EndLine:
    """A server ends a setup or a tunnel, or answers a probe."""

    ending: Ending
    report: Report
    has_invalid_report: bool = False  # the line had a report that can't be used


@dataclass(frozen=True, slots=True)
class Load:
    """The current load of a tunnel on its server."""

    load: float  # as sent: millionths of the work per second that the policy counts in


@dataclass(frozen=True, slots=True)
class Decline:
    """The final answer that tells a client it can safely retry."""

    retry_after: float  # seconds; 0: no advice


@dataclass(frozen=True, slots=True)
class Failure:
    """The final answer that does not tell whether a retry is safe."""


Answer = Decline | Failure


def pop_line(buffer: bytearray) -> bytes | None:
    """Removes the first complete line from a buffer and returns it without its end; None: no complete line.

    Raises MalformedInputError on a line that is too long.
    """
    at = buffer.find(b"\n", 0, MAX_LINE_BYTES)
    if at < 0:
        if len(buffer) >= MAX_LINE_BYTES:
            raise MalformedInputError(f"expected a line of at most {MAX_LINE_BYTES} bytes")
        return None
    line = bytes(buffer[:at])
    del buffer[: at + 1]
    return line.removesuffix(b"\r")


def parse_client_line(line: bytes) -> Ping | OpenRequest:
    """Decodes the first line of a client's connection. Raises MalformedInputError."""
    if line == PING:
        return Ping()
    word, _, rest = line.partition(b" ")
    if word != b"OPEN":
        raise MalformedInputError(f"expected OPEN or PING, got {line[:80]!r}")
    try:
        name, key, pairs = rest.decode("ascii").split(" ", 2)
    except ValueError:
        raise MalformedInputError(f"expected OPEN ID KEY PAIRS, got {line[:80]!r}") from None
    items = [pair.partition("=") for pair in pairs.split(",")]
    fields = {word: value for word, _, value in items}
    # Guards against a line that this balancer and a server would read differently.
    is_unambiguous = pairs.isprintable() and all(word.isidentifier() and found for word, found, _ in items)
    if not (name and key and is_unambiguous and len(fields) == len(items)):
        raise MalformedInputError(f"expected an id, a key and names with one value each, got {line[:80]!r}")
    remaining_time: float | None = None
    before, after = line, b""
    if "d" in fields:
        if not DEADLINE_PATTERN.fullmatch(fields["d"]) or not float(fields["d"]):
            raise MalformedInputError(f"expected d as milliseconds, got {fields['d'][:80]!r}")
        remaining_time = float(fields["d"]) / 1e3
        start = len(line) - len(pairs) + (0 if pairs.startswith("d=") else pairs.index(",d=") + 1) + 2
        before, after = line[:start], line[start + len(fields["d"]) :]
    return OpenRequest(
        name=name,
        key="" if key == "-" else key,
        profile=fields.get("c", ""),
        tenant=fields.get("t", ""),
        group=fields.get("g", ""),
        remaining_time=remaining_time,
        is_returning=fields.get("again", "0") not in ("", "0"),
        current_server=fields.get("at", ""),
        line_before_deadline=before,
        line_after_deadline=after,
    )


def encode_open_request(request: OpenRequest, timeout: float | None) -> bytes:
    """The line for a server: as received, but for its deadline `d`, which is `timeout` (seconds)."""
    if request.remaining_time is None or timeout is None:
        deadline = b"" if request.remaining_time is None else b"%d" % round(request.remaining_time * 1e3)
    else:
        deadline = b"%d" % max(1, int(timeout * 1e3))
    return request.line_before_deadline + deadline + request.line_after_deadline + LINE_END


def parse_server_line(line: bytes) -> Up | EndLine | Load | None:
    """Decodes a server's line on a tunnel's connection; None: a line for the client, or an `UP` without the
    receipt that servers give."""
    word, _, rest = line.partition(b" ")
    if word == b"UP" and rest.strip():
        return Up(line + LINE_END)
    if word == b"LOAD":
        try:
            load = float(rest)
        except ValueError:
            return None
        return Load(load) if 0 <= load < math.inf else None
    ending = ENDINGS.get(word)
    return None if ending is None else _parse_end_line(ending, rest)


def parse_relayed_lines(whole_lines: bytes) -> tuple[Load | None, EndLine | None]:
    """The last load, and the last `BYE` or `MOVE`, in lines that a server sends on an open tunnel.

    Only those lines are decoded, whatever number of them there is.
    """
    load = parse_server_line(_last_line(whole_lines, b"LOAD "))
    ends = (parse_server_line(_last_line(whole_lines, word)) for word in (BYE, MOVE))
    return (
        load if isinstance(load, Load) else None,
        next((end for end in ends if isinstance(end, EndLine)), None),
    )


def _last_line(whole_lines: bytes, start: bytes) -> bytes:
    """The last line that begins with `start`, without its end; empty: none."""
    at = whole_lines.rfind(b"\n" + start) + 1
    if not at and not whole_lines.startswith(start):
        return b""
    return whole_lines[at : whole_lines.index(b"\n", at)].removesuffix(b"\r")


def parse_probe_line(line: bytes) -> EndLine:
    """Decodes the answer to a probe."""
    word, _, rest = line.partition(b" ")
    return _parse_end_line("ok" if word == PONG else "error", rest)


def encode_answer(answer: Answer) -> bytes:
    """The line of a final answer."""
    if isinstance(answer, Failure):
        return ERR + LINE_END
    return (
        b"BUSY %d" % round(answer.retry_after * 1e3) + LINE_END if answer.retry_after else b"BUSY" + LINE_END
    )


def _parse_end_line(ending: Ending, rest: bytes) -> EndLine:
    """A report that is unreadable or has a negative value is dropped; the ending of its line still counts."""
    try:
        report = parse_report(rest.decode("ascii").strip(), "=")
    except (MalformedInputError, UnicodeDecodeError):
        return EndLine(ending, {}, True)
    is_valid = all(value >= 0 for value in report.values())
    return EndLine(ending, report if is_valid else {}, not is_valid)
