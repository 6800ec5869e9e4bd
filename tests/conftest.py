from __future__ import annotations

from pathlib import Path

import pytest

import known_red

FILE = "KNOWN-RED.txt"


def _listed(config: pytest.Config) -> tuple[known_red.KnownRedTest, ...]:
    try:
        return known_red.read(Path(config.rootpath) / FILE)
    except ValueError as fault:
        raise pytest.UsageError(str(fault)) from None


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in _listed(config):
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """A listed test may fail and may not pass. One that is not there is an error of the whole run, where the
    file that it names was collected."""
    by_name = {item.nodeid: item for item in items}
    files = {item.nodeid.split("::")[0] for item in items}
    for red in _listed(config):
        if red.test in by_name:
            reason = f"{red.cause} ({red.issue})"
            by_name[red.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif red.test.split("::")[0] in files and not config.option.keyword:
            raise pytest.UsageError(f"{FILE}: there is no test {red.test}")
