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

WRONG = """
[log]
level = "loud"
state_evry = 3
[lgo]
"""


@pytest.mark.parametrize(
    ("arguments", "names"),
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
def test_a_wrong_argument_is_one_line_and_2(arguments: list[str], names: str, capfd: Any) -> None:
    assert main(arguments) == 2
    told = capfd.readouterr().err.strip()
    assert names in told and "\n" not in told and "Traceback" not in told


def test_check_tells_all_faults_at_once(tmp_path: Path, capfd: Any) -> None:
    path = tmp_path / "pointgw.toml"
    path.write_text(WRONG)
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


def test_a_faulty_operators_file_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "pointgw.toml"
    path.write_text('[log]\nlevel = "warning"\nstate_every = 2.5\n')
    level = logging.getLogger().level
    try:
        held = OperatorFile.load(str(path))
        assert held is not None and held.state_every == 2.5
        path.write_text(WRONG)
        held.reload()
        assert held.state_every == 2.5 and logging.getLogger().level == logging.WARNING
        path.write_text("")
        held.reload()
        assert held.state_every is None
    finally:
        logging.getLogger().setLevel(level)
    path.write_text(WRONG)
    assert OperatorFile.load(str(path)) is None


def test_the_daemon_loads_neither_commands_nor_rig() -> None:
    look = (
        "import sys; sys.argv = ['pointgw']; import pointgw.__main__ as m, pointgw.net.run.daemon\n"
        "names = ('click', 'msgspec', 'pointgw.testbed', 'pointgw.command', 'pointgw.fault_proxy',"
        " 'pointgw.operators')\n"
        "print([n for n in names if n in sys.modules])"
    )
    told = subprocess.run([sys.executable, "-c", look], capture_output=True, text=True, check=True)
    assert told.stdout.strip() == "[]"


def test_the_fault_box_as_a_process_ends_on_a_signal_and_writes_its_trace(tmp_path: Path) -> None:
    script, trace = tmp_path / "f.toml", tmp_path / "trace"
    script.write_text('[[rule]]\nact = "refuse"\n')
    arguments = ["fault-box", "--to", "127.0.0.1:9", "--script", str(script), "--trace", str(trace)]
    box = subprocess.Popen(
        [sys.executable, "-m", "pointgw", *arguments], stdout=subprocess.PIPE, text=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )  # fmt: skip
    assert box.stdout is not None
    first = box.stdout.readline()
    assert first.startswith("listening on 127.0.0.1:")
    box.send_signal(signal.SIGINT)
    assert box.wait(5) == 0 and trace.read_text() == ""
    box.stdout.close()
