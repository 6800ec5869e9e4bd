"""The operators' file, in TOML. Each section enables a subsystem; one without its section isn't imported.

The file is named by `--operator` or `$GW_OPERATOR`; without it this module isn't imported. SIGHUP reloads it.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from pointgw import validation


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the log."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    state_every: Annotated[float, msgspec.Meta(ge=0.1, le=3600.0)] = 10.0  # seconds between state lines


class StateSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Snapshots on disk, from which a balancer restores its state after a restart."""

    folder: Annotated[str, msgspec.Meta(min_length=1)]  # of this balancer alone, on a persistent disk
    boot: str = "/proc/sys/kernel/random/boot_id"  # a file whose content differs after each boot


class LinkSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The connection between two regions."""

    between: Annotated[tuple[str, ...], msgspec.Meta(min_length=2, max_length=2)]
    cost: Annotated[float, msgspec.Meta(ge=0.0, le=1000.0)] = 1.0  # regions of lower cost are used first
    delay: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 0.0  # seconds that it adds to a setup


class TierSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cluster of balancers that decide together where a zone's traffic goes."""

    peers: tuple[str, ...] = ()  # HOST:PORT of all balancers by number; empty: those of the start-up file
    listen: str = ""  # HOST:PORT; empty: that of the start-up file
    key_file: str = ""  # one or two keys in hex, one a line, mode 600; empty: unsigned, loopback only
    regions: dict[str, tuple[str, ...]] = {}  # zones by region; unnamed zones form another region
    ways: tuple[LinkSection, ...] = ()  # connections between regions; unnamed ones cost 1
    evacuate: tuple[str, ...] = ()  # zones from which all traffic is to be moved
    period: Annotated[float, msgspec.Meta(ge=0.05, le=60.0)] = 0.25  # seconds between pings
    datagrams: Annotated[float, msgspec.Meta(ge=10.0, le=1e6)] = 80.0  # sent per second at most
    bytes: Annotated[float, msgspec.Meta(ge=2560.0, le=1e9)] = 16_000.0  # sent per second at most
    status: str = ""  # path of the status file for `pointgw tier show`; empty: none


class RecoverySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Slow start of the whole fleet after an outage.

    Takes nothing from `[tier]`, except that it uses the socket of `[tier]` if that section is present."""

    peers: tuple[str, ...] = ()  # HOST:PORT of all balancers by number; empty: those of the start-up file
    listen: str = ""  # HOST:PORT; empty: that of the start-up file
    key_file: str = ""  # same format as in `[tier]`; empty: unsigned, loopback only
    loans: bool = True  # lease slow-start budget of cold servers to balancers with queued tunnels
    order: bool = True  # serve queued tunnels by credit during recovery


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of the file, one for each subsystem."""

    log: LogSection | None = None
    state: StateSection | None = None
    tier: TierSection | None = None
    recovery: RecoverySection | None = None


def read(path: str) -> OperatorSettings:
    """Reads the file. Raises `validation.InvalidFileError` with every problem in it."""
    return validation.read(Path(path), OperatorSettings)
