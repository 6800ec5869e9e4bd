"""Expects the tests listed in KNOWN-RED.txt to fail, and prints them."""

from __future__ import annotations

from pathlib import Path

import pytest

import known_red

FILE = "KNOWN-RED.txt"


def _listed(config: pytest.Config) -> tuple[known_red.KnownRedTest, ...]:
    try:
        return known_red.read(Path(config.rootpath) / FILE)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for listed in _listed(config):
        terminalreporter.write_line(f"known red: {listed.test}: {listed.cause} ({listed.issue})")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks listed tests as strict expected failures. A listed test that is missing from a collected file is
    an error of the whole run."""
    by_name = {item.nodeid: item for item in items}
    files = {item.nodeid.split("::")[0] for item in items}
    for listed in _listed(config):
        if listed.test in by_name:
            reason = f"{listed.cause} ({listed.issue})"
            by_name[listed.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif listed.test.split("::")[0] in files and not config.option.keyword:
            raise pytest.UsageError(f"{FILE}: there is no test {listed.test}")
