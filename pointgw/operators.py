"""The operators' own file: one section a subsystem, each absent = off and not imported.

Named by `--operator` or `$GW_OPERATOR`; without it nothing here is loaded. SIGHUP reads it again.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from pointgw import validation


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the log says."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    state_every: Annotated[float, msgspec.Meta(ge=0.1, le=3600.0)] = 10.0  # seconds between two state lines


class StateSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A memory that outlives the balancer."""

    folder: Annotated[str, msgspec.Meta(min_length=1)]  # this balancer's own, on a disk that lasts
    boot: str = "/proc/sys/kernel/random/boot_id"  # a file that is another after each power-on


class LinkSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is between two regions."""

    between: Annotated[tuple[str, ...], msgspec.Meta(min_length=2, max_length=2)]
    cost: Annotated[float, msgspec.Meta(ge=0.0, le=1000.0)] = 1.0  # nearer ones are used first
    delay: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 0.0  # seconds that a setup takes longer over it


class TierSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Balancers that know of each other, and decide together where a zone's traffic goes."""

    peers: tuple[str, ...] = ()  # HOST:PORT of all balancers by number; none: the start-up file's
    listen: str = ""  # HOST:PORT; nothing: the start-up file's
    key_file: str = ""  # one or two keys in hex, a line each, mode 600; nothing: unsigned, on loopback alone
    regions: dict[str, tuple[str, ...]] = {}  # zones by region; those that none names are one more
    ways: tuple[LinkSection, ...] = ()  # between regions; those that none names cost 1
    evacuate: tuple[str, ...] = ()  # zones that are to be emptied
    period: Annotated[float, msgspec.Meta(ge=0.05, le=60.0)] = 0.25  # seconds between two pings
    datagrams: Annotated[float, msgspec.Meta(ge=10.0, le=1e6)] = 80.0  # sent a second, at most
    bytes: Annotated[float, msgspec.Meta(ge=2560.0, le=1e9)] = 16_000.0  # sent a second, at most
    status: str = ""  # a file that tells how things stand, for `pointgw tier show`


class RecoverySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a fleet fills again. Nothing is taken over from `[tier]`, but its socket where that is on."""

    peers: tuple[str, ...] = ()  # HOST:PORT of all balancers by number; none: the start-up file's
    listen: str = ""  # HOST:PORT; nothing: the start-up file's
    key_file: str = ""  # in the form of `[tier]`'s; nothing: unsigned, on loopback alone
    loans: bool = True  # parts of the cold servers' budget go to those that have tunnels waiting
    order: bool = True  # who waits is served by credit while the fleet fills


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections. A subsystem adds its own here."""

    log: LogSection | None = None
    state: StateSection | None = None
    tier: TierSection | None = None
    recovery: RecoverySection | None = None


def read(path: str) -> OperatorSettings:
    """Raises `validation.InvalidFileError` with all that is wrong."""
    return validation.read(Path(path), OperatorSettings)
