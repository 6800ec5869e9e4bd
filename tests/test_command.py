"""The command line and the operators' file."""

from __future__ import annotations

import json
import logging
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from pointgw.__main__ import main
from pointgw.net.run.operator_file import OperatorFile

INVALID_FILE = """
[log]
level = "loud"
state_evry = 3
[lgo]
"""


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        (["fault-box", "--to", "10.0.0.1:80"], "127.0.0.0/8"),
        (["fault-box", "--to", "127.0.0.1:x"], "HOST:PORT"),
        (["fault-box"], "--to"),
        (["fault-bax"], "fault-bax"),
        (["check", "--what"], "--what"),
        (["serve", "--config", "/nowhere/at/all"], "/nowhere/at/all"),
        (["fault-box", "--to", "127.0.0.1:1", "--script", "/nowhere"], "/nowhere"),
    ],
)
def test_a_wrong_argument_prints_one_line_and_exits_with_2(
    arguments: list[str], named: str, capfd: Any
) -> None:
    assert main(arguments) == 2
    error = capfd.readouterr().err.strip()
    assert named in error and "\n" not in error and "Traceback" not in error


def test_check_lists_the_allowed_values(tmp_path: Path, capfd: Any) -> None:
    path = tmp_path / "pointgw.toml"
    path.write_text('[log]\nlevel = "loud"\n')
    assert main(["check", str(path)]) == 1
    assert "log.level = 'loud': expected one of debug, info, warning, error" in capfd.readouterr().err


@pytest.mark.parametrize("command", ["stand-in", "load", "rig"])
def test_a_missing_extra_is_named_in_one_line(command: str, monkeypatch: Any, capfd: Any) -> None:
    for module in [
        name for name in sys.modules if name.startswith(("pointgw.testbed", "pointgw.command.rig"))
    ]:
        monkeypatch.delitem(sys.modules, module)
    monkeypatch.setitem(sys.modules, "hdrh", None)
    monkeypatch.setitem(sys.modules, "hdrh.histogram", None)
    arguments = {"load": ["--to", "127.0.0.1:1"], "rig": ["run", "quiet"]}.get(command, [])
    assert main([command, *arguments]) == 2
    error = capfd.readouterr().err.strip()
    assert "pointgw[rig]" in error and "\n" not in error


def test_check_reports_all_problems_at_once(tmp_path: Path, capfd: Any) -> None:
    path = tmp_path / "pointgw.toml"
    path.write_text(INVALID_FILE)
    assert main(["check", str(path)]) == 1
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) == 3 and all(line.startswith(f"{path}: ") for line in lines)
    assert "log.level = 'loud'" in lines[0]
    assert "log.state_evry" in lines[1] and "'state_every'" in lines[1]
    assert "lgo" in lines[2] and "'log'" in lines[2]
    assert main(["check", "--json", str(path)]) == 1
    assert len(json.loads(capfd.readouterr().out)["faults"]) == 3
    path.write_text('[log]\nlevel = "warning"\n')
    assert main(["check", str(path)]) == 0


def test_an_invalid_operators_file_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "pointgw.toml"
    path.write_text('[log]\nlevel = "warning"\nstate_every = 2.5\n')
    level = logging.getLogger().level
    try:
        operator_file = OperatorFile.load(str(path))
        assert operator_file is not None and operator_file.state_every == 2.5
        path.write_text(INVALID_FILE)
        operator_file.reload()
        assert operator_file.state_every == 2.5 and logging.getLogger().level == logging.WARNING
        path.write_text("")
        operator_file.reload()
        assert operator_file.state_every is None
    finally:
        logging.getLogger().setLevel(level)
    path.write_text(INVALID_FILE)
    assert OperatorFile.load(str(path)) is None


def test_the_daemon_imports_neither_commands_nor_testbed() -> None:
    code = (
        "import sys; sys.argv = ['pointgw']; import pointgw.__main__ as m, pointgw.net.run.daemon\n"
        "names = ('click', 'msgspec', 'pointgw.testbed', 'pointgw.command', 'pointgw.fault_proxy',"
        " 'pointgw.operators')\n"
        "print([n for n in names if n in sys.modules])"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"


def test_the_fault_proxy_process_ends_on_a_signal_and_writes_its_trace(tmp_path: Path) -> None:
    script, trace = tmp_path / "f.toml", tmp_path / "trace"
    script.write_text('[[rule]]\nact = "refuse"\n')
    arguments = ["fault-box", "--to", "127.0.0.1:9", "--script", str(script), "--trace", str(trace)]
    process = subprocess.Popen(
        [sys.executable, "-m", "pointgw", *arguments], stdout=subprocess.PIPE, text=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )  # fmt: skip
    assert process.stdout is not None
    first = process.stdout.readline()
    assert first.startswith("listening on 127.0.0.1:")
    process.send_signal(signal.SIGINT)
    assert process.wait(5) == 0 and trace.read_text() == ""
    process.stdout.close()
