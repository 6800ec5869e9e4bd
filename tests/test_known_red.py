"""The handling of KNOWN-RED.txt, in a separate run of pytest."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
def test_red():
    assert False

def test_green():
    assert True
"""


def run_pytest(tmp_path: Path, listed: str | None) -> subprocess.CompletedProcess[str]:
    here = Path(__file__).parent
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(here / name, tmp_path / name)
    (tmp_path / "pytest.ini").write_text("[pytest]\npythonpath = .\n")
    (tmp_path / "test_some.py").write_text(TESTS)
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir", str(tmp_path)]
    return subprocess.run([*command, str(tmp_path)], capture_output=True, text=True, cwd=tmp_path, timeout=60)


@pytest.mark.parametrize(
    ("listed", "code", "output"),
    [
        (None, 1, "1 failed, 1 passed"),  # without the file or without lines, no failure is expected
        ("# nothing is red\n", 1, "1 failed, 1 passed"),
        ("test_some.py::test_red | the sky | issue 7\n", 0, "1 passed, 1 xfailed"),
        ("test_some.py::test_green | the sky | issue 7\n", 1, "XPASS(strict)"),
        ("test_some.py::test_none | the sky | issue 7\n", 4, "there is no test"),
        ("test_some.py::test_red | the sky\n", 4, "expected 'test | cause | issue'"),
        ("a | b | c\n" * 7, 4, "at most 6 lines"),
    ],
)
def test_listed_tests_must_fail_and_others_must_pass(
    tmp_path: Path, listed: str | None, code: int, output: str
) -> None:
    done = run_pytest(tmp_path, listed)
    assert done.returncode == code and output in done.stdout + done.stderr, done.stdout + done.stderr


def test_listed_tests_are_printed(tmp_path: Path) -> None:
    assert (
        "test_some.py::test_red: the sky (issue 7)"
        in run_pytest(tmp_path, "test_some.py::test_red | the sky | issue 7\n").stdout
    )
