"""Metadata of a run: what its evaluation needs besides the records."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from pointgw.testbed.scenario import Scenario


@dataclass(frozen=True, slots=True)
class Meta:
    """Metadata of a run. Times: the machine's monotonic clock."""

    scenario: Scenario
    policy: str
    began: float  # the scenario's start
    ended: float  # the scenario's end
    boxed_clients: bool  # fault proxies stood between clients and balancers
    boxed_servers: tuple[int, ...]  # numbers of the servers behind fault proxies
    zones: dict[str, int]  # number of each server's zone
    cells: dict[str, int]  # number of each server's cell


def read(folder: Path) -> Meta:
    """Reads the metadata of a run from its folder."""
    return msgspec.json.decode((folder / "meta.json").read_bytes(), type=Meta)
