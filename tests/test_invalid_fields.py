"""The log of unusable values of the server list."""

from __future__ import annotations

import pytest

from pointgw.net.run import invalid_fields
from pointgw.net.run.invalid_fields import InvalidFieldLog
from pointgw.net.wire.server_list import DeploymentNames, ServerList, parse_server_list

NAMES = DeploymentNames(("a",), ("m",))


def listed(*groups: object) -> ServerList:
    entries = [{"name": f"s{i}", "status": "up", "group": group} for i, group in enumerate(groups)]
    return parse_server_list({"index": 1, "snapshot": True, "endpoints": entries}, NAMES)


def test_each_unusable_value_is_logged_once_with_its_key(caplog: pytest.LogCaptureFixture) -> None:
    log = InvalidFieldLog()
    assert [log.record(listed("x", 1, None)) for _ in range(3)] == [2, 2, 2]
    assert log.record(listed("y" * 500, 1, None)) == 2
    logged = [record.fields for record in caplog.records]  # type: ignore[attr-defined]
    assert [(fields["server"], fields["key"], fields["value"][:4]) for fields in logged] == [
        ("s0", "group", '"x"'),
        ("s2", "group", "null"),
        ("s0", "group", '"yyy'),
    ]
    assert all(len(fields["value"]) <= 80 for fields in logged)


def test_a_list_that_never_repeats_a_bad_value_fills_no_memory(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(invalid_fields, "MAX_REMEMBERED", 3)
    log = InvalidFieldLog()
    assert all(log.record(listed(f"x{i}")) == 1 for i in range(9))
    assert len(log.logged) == len(caplog.records) == 3
