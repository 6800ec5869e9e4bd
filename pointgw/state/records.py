"""What is kept. Times are seconds of the time of day, as all machines read one clock."""

from __future__ import annotations

from hashlib import blake2b
from typing import Literal

import msgspec

ServerState = Literal["active", "leaving", "left"]


class Struct(msgspec.Struct, frozen=True, array_like=True):
    """Written as an array: short, and later fields may be added at the end."""


class ServerRecord(Struct, frozen=True, array_like=True):
    """What was told of one server, and when that was last confirmed."""

    name: str
    state: ServerState
    started_at: float  # of its process, as told; 0: long ago
    confirmed_at: float  # when discovery last confirmed it, or told it away
    host: str = ""
    port: int = 0
    zone: int = -1
    kind: int = -1
    cell: int = 0
    weight: float = 1.0
    seen_at: float = 0.0  # when own traffic last showed it alive; 0: never

    @property
    def is_inactive(self) -> bool:
        return self.state != "active"


class ServerHealth(Struct, frozen=True, array_like=True):
    """What own traffic taught of one server."""

    name: str
    started_at: float  # of the process that it is about
    recent_failures: int
    ejected_until: float  # suspended until then
    slow_start_budget: float  # tunnels that it might still get while cold
    budget_updated_at: float


class LearnedFigures(Struct, frozen=True, array_like=True):
    """What the decisions learned of the whole."""

    c: float
    load_per_tunnel: float
    arrival_rate: float
    unused_time: float  # of forms written before; they told what a tunnel's life is
    unused_count: int
    slow_start_rate: float


class ServerLifetimes(Struct, frozen=True, array_like=True):
    """How long servers of this roster have lived: what their entries' age is weighed against."""

    ended_count: int = 0
    total_seconds: float = 0.0  # seconds


class Snapshot(Struct, frozen=True, array_like=True):
    """All of it, as one generation holds it."""

    fingerprint: str  # of the installation
    written_at: float
    index: int | None  # the list's version, and
    discovery: str  # which discovery it belongs to
    clean_stop: bool  # written at a stop in order
    servers: tuple[ServerRecord, ...]
    health: tuple[ServerHealth, ...] = ()
    learned: LearnedFigures | None = None
    lifetimes: ServerLifetimes = ServerLifetimes()
    boot_id: str = ""  # of the machine, from one power-on to the next; nothing: not known


def installation_fingerprint(zones: tuple[str, ...], profiles: tuple[str, ...]) -> str:
    """Tells one installation's memory from another's."""
    text = "\n".join(("zones", *zones, "profiles", *profiles))
    return blake2b(text.encode(), digest_size=8).hexdigest()
