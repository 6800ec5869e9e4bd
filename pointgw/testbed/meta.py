"""What the judges must know of a run beside its records."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from pointgw.testbed.scenario import Scenario


@dataclass(frozen=True, slots=True)
class Meta:
    """What the judges must know of a run beside its records."""

    scenario: Scenario
    policy: str
    began: float  # on the machine's monotonic clock
    ended: float
    boxed_clients: bool  # a box stood between clients and balancers
    boxed_servers: tuple[int, ...]
    zones: dict[str, int]  # of servers
    cells: dict[str, int]


def read(folder: Path) -> Meta:
    """What a run left about itself."""
    return msgspec.json.decode((folder / "meta.json").read_bytes(), type=Meta)
