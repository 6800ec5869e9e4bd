from __future__ import annotations

import json
from typing import Any

import pytest

from pointgw.interface import UNKNOWN_PLACE, UNKNOWN_WEIGHT, ServerEntry
from pointgw.net.wire import lines
from pointgw.net.wire.server_list import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    UNKNOWN_START,
    DeploymentNames,
    InvalidField,
    Response,
    encode_list_request,
    parse_server_list_body,
)
from pointgw.net.wire.start_up import flatten, parse_start_up_file
from pointgw.site import MalformedInputError

OPEN = b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,again=1"
NAMES = DeploymentNames(("a", "b"), ("m1", "m2"))
ENTRY = {
    "name": "s-1", "address": "127.1.0.18:8443", "zone": "b", "type": "m2", "group": 3,
    "status": "draining", "weight": 1.5, "since_ms": 2500,
}  # fmt: skip


def test_a_first_line_is_decoded() -> None:
    request = lines.parse_client_line(OPEN)
    assert isinstance(request, lines.OpenRequest)
    got = (request.name, request.key, request.profile, request.tenant, request.group, request.current_server)
    assert got == ("9b1f", "7f3a", "chat", "acme", "5c0f", "")
    assert (request.remaining_time, request.is_returning) == (2.0, True)


@pytest.mark.parametrize(
    ("line", "timeout", "sent"),
    [
        (OPEN, 0.3, b"OPEN 9b1f 7f3a c=chat,t=acme,d=300,g=5c0f,again=1\r\n"),
        (OPEN, None, OPEN + b"\r\n"),
        (OPEN, 0.0001, OPEN.replace(b"d=2000", b"d=1") + b"\r\n"),
        (b"OPEN 1 2 d=50,c=d=9", 0.02, b"OPEN 1 2 d=20,c=d=9\r\n"),
        (b"OPEN 1 2 c=chat", 0.02, b"OPEN 1 2 c=chat\r\n"),
    ],
)
def test_a_server_gets_the_line_unchanged_but_for_the_deadline(
    line: bytes, timeout: float | None, sent: bytes
) -> None:
    request = lines.parse_client_line(line)
    assert isinstance(request, lines.OpenRequest)
    assert lines.encode_open_request(request, timeout) == sent


BAD_FIELDS = (b"", b"c", b"=a", b"c=a,,t=b", b"c=a,c=b", b" d=5", b"c=\x00", b"\xff")
BAD_TIMES = (b"x", b"", b"nan", b"-5", b"0", b"1_0", b"1e3", b"9" * 20, b"5,d=6")


@pytest.mark.parametrize(
    "line",
    [b"", b"GET / HTTP/1.1", b"OPEN 1", b"OPEN  2 c=a", b"OPEN 1  c=a"]
    + [b"OPEN 1 2 " + fields for fields in BAD_FIELDS]
    + [b"OPEN 1 2 d=" + time for time in BAD_TIMES],
)
def test_a_bad_first_line_is_refused(line: bytes) -> None:
    with pytest.raises(MalformedInputError):
        lines.parse_client_line(line)


@pytest.mark.parametrize(
    ("line", "message"),
    [
        (b"UP r-1", lines.Up(b"UP r-1\r\n")),
        (b"BUSY", lines.EndLine("full", {})),
        (b"ERR inflight=7,util=0.61", lines.EndLine("error", {"connections": 7.0, "util": 0.61})),
        (b"BYE x0=nonsense", lines.EndLine("ok", {}, True)),
        (b"MOVE", lines.EndLine("cancelled", {})),
        (b"LOAD 51078.5", lines.Load(51078.5)),
        (b"LOAD x", None),
        (b"LOAD nan", None),
        (b"LOAD -5", None),
        (b"BYE x0=-1", lines.EndLine("ok", {}, True)),
        (b"BYELAW", None),
    ],
)
def test_a_servers_line_is_decoded(line: bytes, message: object) -> None:
    assert lines.parse_server_line(line) == message


@pytest.mark.parametrize(
    ("line", "closing"),
    [
        (b"PONG busy=0.5,x0=0.4", lines.EndLine("ok", {"util": 0.5, "load": 0.4})),
        (b"ERR", lines.EndLine("error", {})),
        (b"PONG x0=inf", lines.EndLine("ok", {}, True)),
        (b"PONG x0=-0.5", lines.EndLine("ok", {}, True)),
        (b"NO", lines.EndLine("error", {})),
    ],
)
def test_the_answer_to_a_probe_is_decoded(line: bytes, closing: lines.EndLine) -> None:
    assert lines.parse_probe_line(line) == closing


@pytest.mark.parametrize(
    ("answer", "sent"),
    [(lines.Failure(), b"ERR\r\n"), (lines.Decline(0.0), b"BUSY\r\n"), (lines.Decline(0.6), b"BUSY 600\r\n")],
)
def test_a_final_answer_is_one_line(answer: lines.Answer, sent: bytes) -> None:
    assert lines.encode_answer(answer) == sent


def test_lines_are_split_at_their_ends() -> None:
    buffer = bytearray(b"PING\r\nOPEN")
    assert lines.pop_line(buffer) == b"PING" and lines.pop_line(buffer) is None and buffer == b"OPEN"
    # Guards against a peer that fills the memory with an endless line.
    for too_long in (b"x" * lines.MAX_LINE_BYTES, b"x" * 5000 + b"\r\n"):
        with pytest.raises(MalformedInputError):
            lines.pop_line(bytearray(too_long))


def test_a_list_is_decoded() -> None:
    server_list = parse_server_list_body(
        json.dumps({"index": 43, "snapshot": False, "endpoints": [ENTRY]}).encode(), NAMES
    )
    assert (server_list.version, server_list.is_complete, server_list.addresses) == (
        43,
        False,
        (("s-1", "127.1.0.18", 8443),),
    )
    assert server_list.servers[0] == ("s-1", "leaving", 1, 3, 1, 2.5, 1.5)
    changed = [ENTRY | {"status": "resting"}, ENTRY | {"zone": "z", "type": "m9", "more": 1}]
    server_list = parse_server_list_body(
        json.dumps({"index": 44, "snapshot": True, "endpoints": changed}).encode(), NAMES
    )
    assert [(s.state, s.zone, s.kind) for s in server_list.servers] == [
        ("leaving", 1, 1),
        ("leaving", -1, -1),
    ]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b'{"index":1}',
        b'{"index":1,"snapshot":true,"endpoints":3}',
        b'{"index":1e999}',
        b"[" * 5000,
    ],
)
def test_a_bad_list_is_refused(data: bytes) -> None:
    with pytest.raises(MalformedInputError):
        parse_server_list_body(data, NAMES)


def test_a_response_of_discovery_may_arrive_in_pieces() -> None:
    response = Response()
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}":
        response.feed(bytes([byte]))
    assert response.pop_complete() and response.status == 200 and response.body == b"{}"
    response.feed(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    assert response.status == 503 and response.pop_complete() and not response.pop_complete()
    with pytest.raises(MalformedInputError):
        response.feed(b"nonsense\r\n\r\n")
    # Guards the memory limit against an endless response.
    with pytest.raises(MalformedInputError):
        Response().feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n" + b" " * (MAX_BODY_BYTES + 1))
    # Guards a watch against an unrequested response: it would be taken for the response to the next request.
    response_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    with pytest.raises(MalformedInputError):
        Response().feed(response_bytes + response_bytes)
    endless = Response()
    endless.feed(b"HTTP/1.1 200 OK\r\n")
    with pytest.raises(MalformedInputError):
        for _ in range(MAX_HEAD_BYTES // 100 + 1):
            endless.feed(b"X-More: " + b"y" * 100 + b"\r\n")


READABLE = {
    "name": "s",
    "status": "up",
    "zone": "a",
    "type": "m",
    "group": 2,
    "since_ms": 2500,
    "weight": 0.5,
}


@pytest.mark.parametrize(
    ("field", "value", "read", "unknown"),
    [
        ("status", None, "state", "leaving"),
        ("status", "resting", "state", "leaving"),
        ("status", [], "state", "leaving"),
        ("weight", float("nan"), "weight", UNKNOWN_WEIGHT),
        ("weight", -1, "weight", UNKNOWN_WEIGHT),
        ("weight", True, "weight", UNKNOWN_WEIGHT),
        ("since_ms", float("inf"), "started_at", UNKNOWN_START),
        ("since_ms", -5, "started_at", UNKNOWN_START),
        ("since_ms", None, "started_at", UNKNOWN_START),
        ("group", "x", "cell", UNKNOWN_PLACE),
        ("group", None, "cell", UNKNOWN_PLACE),
        ("group", 1.5, "cell", UNKNOWN_PLACE),
        ("zone", "nowhere", "zone", UNKNOWN_PLACE),
        ("type", 7, "kind", UNKNOWN_PLACE),
        ("address", "127.0.0.1:99999", None, None),
        ("address", "127.0.0.1:0", None, None),
        ("name", 7, None, None),
        (None, None, None, None),
    ],
)
def test_an_invalid_field_is_read_as_unknown_and_named_and_hides_no_other(
    field: str | None, value: Any, read: str | None, unknown: Any
) -> None:
    entry: Any = None if field is None else READABLE | {field: value}
    valid = {"name": "t", "status": "draining", "address": "127.0.0.1:7"}
    body = json.dumps({"index": 1, "snapshot": True, "endpoints": [entry, valid]}).encode()
    server_list = parse_server_list_body(body, DeploymentNames(("a",), ("m",)))
    assert server_list.addresses == (("t", "127.0.0.1", 7),)
    assert server_list.servers[-1].state == "leaving" and server_list.servers[-1].server == "t"
    (invalid,) = server_list.invalid_fields
    if field in (None, "name"):
        assert len(server_list.servers) == 1 and invalid == InvalidField.create("", "name", entry)
        return
    assert invalid == InvalidField.create("s", str(field), value)
    readable = ServerEntry("s", "active", 0, 2, 0, 2.5, 0.5)
    assert server_list.servers[0] == (readable if read is None else readable._replace(**{read: unknown}))


def test_a_missing_field_is_unknown() -> None:
    body = b'{"index":1,"snapshot":true,"endpoints":[{"name":"s","status":"up"}]}'
    server_list = parse_server_list_body(body, DeploymentNames(("a",), ("m",)))
    unknown = ServerEntry(
        "s", "active", UNKNOWN_PLACE, UNKNOWN_PLACE, UNKNOWN_PLACE, UNKNOWN_START, UNKNOWN_WEIGHT
    )
    assert server_list.servers == (unknown,) and not server_list.invalid_fields


@pytest.mark.parametrize(
    ("version", "path"), [(None, "/registry/instances"), (41, "/registry/instances?from=41&hold_ms=20000")]
)
def test_a_request_to_discovery(version: int | None, path: str) -> None:
    assert encode_list_request("127.0.0.1:8500", version, 20.0).startswith(
        f"GET {path} HTTP/1.1\r\nHost: ".encode()
    )


def test_nested_settings_become_flat_fields() -> None:
    value = {"a": {"b": [1, 2.5], "c": None, "d": True}, "e": [{"f": "x"}, {"f": "y"}], "g": []}
    fields = {"a.b": "1,2.5", "a.c": "null", "a.d": "true", "e.count": "2", "e.0.f": "x", "e.1.f": "y"}
    assert flatten(value) == fields | {"g": ""}


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("listen", None),
        ("listen", 5),
        ("discovery", "here"),
        ("seed", "xyz"),
        ("known", None),
        ("settings", 1),
    ],
)
def test_a_bad_start_up_file_is_refused_with_its_key(key: str, value: object) -> None:
    start = {"name": "n0", "seed": "1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
    settings = {"zones": ["a"], "kinds": ["m"], "profiles": [{"name": "chat", "semantics": "pure"}]}
    known = {"index": 1, "snapshot": True, "endpoints": []}
    document = start | {"settings": settings, "known": known, key: value}
    got = "nothing" if value is None else repr(value)
    with pytest.raises(MalformedInputError, match=f"^expected {key} as .*, got {got}$"):
        parse_start_up_file(json.dumps(document).encode())


@pytest.mark.parametrize("data", [b"", b"{}", b'{"settings":{}}'])
def test_a_bad_start_up_file_is_refused(data: bytes) -> None:
    with pytest.raises(MalformedInputError):
        parse_start_up_file(data)
