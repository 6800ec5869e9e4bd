"""What is kept. Times are seconds of the time of day, as all machines read one clock."""

from __future__ import annotations

from hashlib import blake2b
from typing import Literal

import msgspec

State = Literal["active", "leaving", "left"]


class Struct(msgspec.Struct, frozen=True, array_like=True):
    """Written as an array: short, and later fields may be added at the end."""


class ServerRecord(Struct, frozen=True, array_like=True):
    """What was told of one server, and when that was last confirmed."""

    name: str
    state: State
    started: float  # of its process, as told; 0: long ago
    at: float  # when discovery last confirmed it, or told it away
    host: str = ""
    port: int = 0
    zone: int = -1
    kind: int = -1
    cell: int = 0
    weight: float = 1.0
    seen: float = 0.0  # when own traffic last showed it alive; 0: never

    @property
    def is_away(self) -> bool:
        return self.state != "active"


class ServerHealth(Struct, frozen=True, array_like=True):
    """What own traffic taught of one server."""

    name: str
    started: float  # of the process that it is about
    strikes: int
    out_until: float  # suspended until then
    budget: float  # tunnels that it might still get while cold
    budget_at: float


class LearnedFigures(Struct, frozen=True, array_like=True):
    """What the decisions learned of the whole."""

    c: float
    load_unit: float
    rate: float
    unused_time: float  # of forms written before; they told what a tunnel's life is
    unused_count: int
    cold_gain: float


class ServerLifetimes(Struct, frozen=True, array_like=True):
    """How long servers of this roster have lived: what their entries' age is weighed against."""

    ended: int = 0
    total: float = 0.0  # seconds


class Snapshot(Struct, frozen=True, array_like=True):
    """All of it, as one generation holds it."""

    fingerprint: str  # of the installation
    written: float
    index: int | None  # the list's version, and
    discovery: str  # which discovery it belongs to
    clean: bool  # written at a stop in order
    facts: tuple[ServerRecord, ...]
    health: tuple[ServerHealth, ...] = ()
    figures: LearnedFigures | None = None
    lives: ServerLifetimes = ServerLifetimes()
    run: str = ""  # of the machine, from one power-on to the next; nothing: not known


def fingerprint(zones: tuple[str, ...], profiles: tuple[str, ...]) -> str:
    """Tells one installation's memory from another's."""
    text = "\n".join(("zones", *zones, "profiles", *profiles))
    return blake2b(text.encode(), digest_size=8).hexdigest()
