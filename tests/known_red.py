"""Reads KNOWN-RED.txt in the root folder: tests that fail for a real fault that is not fixed yet.

A line is `test | cause | issue`, `#` starts a comment, and there are at most `MAX_LISTED` lines. CI expects
these tests to fail and prints them; it fails if one of them passes or is missing, or the file can't be read.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

MAX_LISTED = 6


@dataclass(frozen=True, slots=True)
class KnownRedTest:
    """A listed test; `test` is its node id."""

    test: str
    cause: str
    issue: str


def read(path: Path) -> tuple[KnownRedTest, ...]:
    """The listed tests; none if there is no file. Raises ValueError on a malformed line or too many lines."""
    if not path.exists():
        return ()
    lines = [line.strip() for line in path.read_text("utf-8").splitlines()]
    listed = []
    for line in lines:
        if not line or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{path.name}: expected 'test | cause | issue', got {line!r}")
        listed.append(KnownRedTest(*parts))
    if len(listed) > MAX_LISTED:
        raise ValueError(f"{path.name}: expected at most {MAX_LISTED} lines, got {len(listed)}")
    return tuple(listed)
