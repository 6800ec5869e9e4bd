"""The end of a daemon's process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

CODE = """
import atexit, sys
from pointgw.__main__ import entry
atexit.register(print, "teardown")
print("flushed ", end="")
sys.argv = ["pointgw", *sys.argv[1:]]
sys.exit(entry())
"""


@pytest.mark.parametrize(
    ("arguments", "output"),
    [
        ([], "flushed"),
        (["serve", "--config", "CONFIG"], "flushed"),
        (["check", "CONFIG"], "flushed teardown"),
    ],
)
def test_a_daemon_ends_without_the_interpreters_teardown(
    arguments: list[str], output: str, tmp_path: Path
) -> None:
    # Guards the time of a planned stop: on a busy machine the teardown takes over half a second.
    config = tmp_path / "config.json"
    config.write_text("{}")
    command = [sys.executable, "-c", CODE, *(str(config) if word == "CONFIG" else word for word in arguments)]
    environment = os.environ | {"GW_CONFIG": str(config)}
    ended = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=30)
    assert ended.stdout.strip() == output and ended.returncode in (1, 2)
