"""The lines that clients, balancers and servers send one another."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from pointgw.interface import Ending, Report
from pointgw.site import Malformed, parse_report

LINE_END = b"\r\n"
MAX_LINE_BYTES = 4096  # bytes of a line, its end included
PING, PONG, STATS, MOVE, ERR = b"PING", b"PONG", b"STATS", b"MOVE", b"ERR"
DEADLINE_PATTERN = re.compile(r"\d{1,9}(\.\d{1,6})?")  # milliseconds
ENDINGS: dict[bytes, Ending] = {b"BYE": "ok", b"ERR": "error", b"BUSY": "full", b"MOVE": "cancelled"}


@dataclass(frozen=True, slots=True)
class Ping:
    """The front asks whether this balancer is there."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A client asks for a tunnel."""

    name: str
    key: str
    profile: str
    tenant: str
    group: str
    remaining_time: float | None  # seconds until the client gives up; None: not told
    is_returning: bool
    current_server: str  # the server that has this tunnel already, or nothing
    line_before_deadline: bytes  # the line as it came, up to the value of `d`
    line_after_deadline: bytes  # and from there on


@dataclass(frozen=True, slots=True)
class Up:
    """A server has taken the tunnel. `line` is the client's answer."""

    line: bytes


@dataclass(frozen=True, slots=True)
class EndLine:
    """A server says that a setup, a tunnel or a probe ends, or how it fared."""

    ending: Ending
    report: Report
    has_invalid_report: bool = False  # it had a report that can't be used


@dataclass(frozen=True, slots=True)
class Load:
    """What a tunnel asks of its server now, as work a second."""

    load: float


@dataclass(frozen=True, slots=True)
class Decline:
    """The answer to a client that trying again is harmless."""

    retry_after: float  # seconds; 0: no advice


@dataclass(frozen=True, slots=True)
class Failure:
    """The answer to a client that promises nothing."""


Answer = Decline | Failure


def pop_line(buffer: bytearray) -> bytes | None:
    """Takes the first whole line off a buffer, without its end; None while there is none."""
    at = buffer.find(b"\n", 0, MAX_LINE_BYTES)
    if at < 0:
        if len(buffer) >= MAX_LINE_BYTES:
            raise Malformed(f"expected a line of at most {MAX_LINE_BYTES} bytes")
        return None
    line = bytes(buffer[:at])
    del buffer[: at + 1]
    return line.removesuffix(b"\r")


def parse_client_line(line: bytes) -> Ping | OpenRequest:
    """The first line of a client's connection."""
    if line == PING:
        return Ping()
    word, _, rest = line.partition(b" ")
    if word != b"OPEN":
        raise Malformed(f"expected OPEN or PING, got {line[:80]!r}")
    try:
        name, key, pairs = rest.decode("ascii").split(" ", 2)
    except ValueError:
        raise Malformed(f"expected OPEN ID KEY PAIRS, got {line[:80]!r}") from None
    items = [pair.partition("=") for pair in pairs.split(",")]
    fields = {word: value for word, _, value in items}
    # Guards against a line that this balancer and a server would read in two ways.
    plain = pairs.isprintable() and all(word.isidentifier() and found for word, found, _ in items)
    if not (name and key and plain and len(fields) == len(items)):
        raise Malformed(f"expected an id, a key and names with one value each, got {line[:80]!r}")
    patience: float | None = None
    before, after = line, b""
    if "d" in fields:
        if not DEADLINE_PATTERN.fullmatch(fields["d"]) or not float(fields["d"]):
            raise Malformed(f"expected d as milliseconds, got {fields['d'][:80]!r}")
        patience = float(fields["d"]) / 1e3
        start = len(line) - len(pairs) + (0 if pairs.startswith("d=") else pairs.index(",d=") + 1) + 2
        before, after = line[:start], line[start + len(fields["d"]) :]
    return OpenRequest(
        name=name,
        key="" if key == "-" else key,
        profile=fields.get("c", ""),
        tenant=fields.get("t", ""),
        group=fields.get("g", ""),
        remaining_time=patience,
        is_returning=fields.get("again", "0") not in ("", "0"),
        current_server=fields.get("at", ""),
        line_before_deadline=before,
        line_after_deadline=after,
    )


def encode_open_request(opening: OpenRequest, patience: float | None) -> bytes:
    """The line for a server: as it came, but for the time that this balancer will wait."""
    if opening.remaining_time is None or patience is None:
        told = b"" if opening.remaining_time is None else b"%d" % round(opening.remaining_time * 1e3)
    else:
        told = b"%d" % max(1, int(patience * 1e3))
    return opening.line_before_deadline + told + opening.line_after_deadline + LINE_END


def parse_server_line(line: bytes) -> Up | EndLine | Load | None:
    """A line of a server on a tunnel's connection; None: one that is the client's, or an `UP` without a
    receipt, which no server gives."""
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


def parse_probe_line(line: bytes) -> EndLine:
    """The answer to a probe."""
    word, _, rest = line.partition(b" ")
    return _parse_end_line("ok" if word == PONG else "error", rest)


def encode_answer(answer: Answer) -> bytes:
    if isinstance(answer, Failure):
        return ERR + LINE_END
    return (
        b"BUSY %d" % round(answer.retry_after * 1e3) + LINE_END if answer.retry_after else b"BUSY" + LINE_END
    )


def _parse_end_line(ending: Ending, rest: bytes) -> EndLine:
    """A report that can't be read, or has a figure under nought, is none: its line still says how it went."""
    try:
        told = parse_report(rest.decode("ascii").strip(), "=")
    except (Malformed, UnicodeDecodeError):
        return EndLine(ending, {}, True)
    sound = all(figure >= 0 for figure in told.values())
    return EndLine(ending, told if sound else {}, not sound)
