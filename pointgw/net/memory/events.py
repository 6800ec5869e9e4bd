"""What the reducer is told. Clients are known by numbers that the sockets' side gives out."""

from __future__ import annotations

from dataclasses import dataclass

from pointgw.interface import Ending, Report
from pointgw.net.wire.lines import Closing, Load, Opening
from pointgw.net.wire.listing import Listing, Names


@dataclass(frozen=True, slots=True)
class Arrived:
    """A client has sent its first line."""

    client: int
    opening: Opening


@dataclass(frozen=True, slots=True)
class Left:
    """A client has ended its connection."""

    client: int
    reset: bool


@dataclass(frozen=True, slots=True)
class Dialled:
    """The connection of a setup is up, and nothing was written to it."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class Opened:
    """A server has taken a tunnel."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A setup, or an open tunnel at its server, has ended."""

    client: int
    setup: int
    closing: Closing
    reset: bool


@dataclass(frozen=True, slots=True)
class Weighed:
    """A server tells what a tunnel asks of it."""

    client: int
    load: Load


@dataclass(frozen=True, slots=True)
class Slow:
    """A server took so long to bring something back on an open tunnel, or has brought nothing so far."""

    client: int
    span: float
    silent: bool


@dataclass(frozen=True, slots=True)
class Probed:
    server: str
    ending: Ending
    report: Report


@dataclass(frozen=True, slots=True)
class Told:
    """Discovery has answered. `wall`: the wall clock then, in Unix seconds; None: as the process's clock."""

    listing: Listing
    wall: float | None = None


@dataclass(frozen=True, slots=True)
class ListFailed:
    """A call to discovery has failed. `silent`: a watch of which nothing came, its wait long over."""

    silent: bool = False


@dataclass(frozen=True, slots=True)
class Reloaded:
    """The start-up file was read again."""

    discovery: tuple[str, int]
    names: Names


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer is due."""


@dataclass(frozen=True, slots=True)
class Stopping:
    """This balancer is to stop, or goes on stopping."""


Event = (
    Arrived | Left | Dialled | Opened | Ended | Weighed | Slow | Probed | Told | ListFailed | Reloaded | Tick
    | Stopping
)  # fmt: skip
