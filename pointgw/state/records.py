"""Stored types. Times are wall-clock seconds since the epoch, as all machines share one clock."""

from __future__ import annotations

from hashlib import blake2b
from typing import Literal

import msgspec

ServerState = Literal["active", "leaving", "left"]


class StoredStruct(msgspec.Struct, frozen=True, array_like=True):
    """Base of the stored types, encoded as an array: compact; new fields may be added at the end."""


class ServerRecord(StoredStruct, frozen=True, array_like=True):
    """What discovery reported about one server, and when this was last confirmed."""

    name: str
    state: ServerState
    started_at: float  # start of its process as reported; 0: long ago
    confirmed_at: float  # when discovery last confirmed it, or reported it leaving or left
    host: str = ""
    port: int = 0
    zone: int = -1
    kind: int = -1
    cell: int = 0
    weight: float = 1.0
    seen_at: float = 0.0  # when own traffic last showed it alive; 0: never
    effective_start: float = 0.0  # where it differs from `started_at`: from when on it counted as cold

    @property
    def is_inactive(self) -> bool:
        """Whether the server was reported as leaving or left."""
        return self.state != "active"


class ServerHealth(StoredStruct, frozen=True, array_like=True):
    """Ejection and slow-start state of one server, from own traffic."""

    name: str
    started_at: float  # start of the process that this describes
    recent_failures: int
    ejected_until: float  # end of its ejection
    slow_start_budget: float  # tunnels that it may still get while cold
    budget_updated_at: float


class LearnedFigures(StoredStruct, frozen=True, array_like=True):
    """Estimates that the policy has learned about all servers."""

    c: float
    load_per_tunnel: float
    arrival_rate: float
    unused_time: float  # `unused_*`: tunnel lifetimes in older snapshots; they keep the field order
    unused_count: int
    slow_start_rate: float


class ServerLifetimes(StoredStruct, frozen=True, array_like=True):
    """Observed lifetimes of servers of this list, to which the age of a record is compared."""

    ended_count: int = 0
    total_seconds: float = 0.0


class Snapshot(StoredStruct, frozen=True, array_like=True):
    """The contents of one generation."""

    fingerprint: str  # of the installation, see `installation_fingerprint`
    written_at: float
    index: int | None  # version of the server list
    discovery: str  # HOST:PORT of the discovery that `index` belongs to
    clean_stop: bool  # written at a regular stop
    servers: tuple[ServerRecord, ...]
    health: tuple[ServerHealth, ...] = ()
    learned: LearnedFigures | None = None
    lifetimes: ServerLifetimes = ServerLifetimes()
    boot_id: str = ""  # differs after each boot of the machine; empty: not known


def installation_fingerprint(zones: tuple[str, ...], profiles: tuple[str, ...]) -> str:
    """Identifies an installation by its zones and profiles, to reject snapshots of another one."""
    text = "\n".join(("zones", *zones, "profiles", *profiles))
    return blake2b(text.encode(), digest_size=8).hexdigest()
