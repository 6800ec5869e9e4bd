"""What the reducer is told. Clients are known by numbers that the sockets' side gives out."""

from __future__ import annotations

from dataclasses import dataclass

from pointgw.interface import Ending, Report
from pointgw.net.wire.lines import EndLine, Load, OpenRequest
from pointgw.net.wire.server_list import Names, ServerList


@dataclass(frozen=True, slots=True)
class ClientArrived:
    """A client has sent its first line."""

    client: int
    request: OpenRequest


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """A client has ended its connection."""

    client: int
    reset: bool


@dataclass(frozen=True, slots=True)
class SetupConnected:
    """The connection of a setup is up, and nothing was written to it."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class SetupOpened:
    """A server has taken a tunnel."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class SetupEnded:
    """A setup, or an open tunnel at its server, has ended."""

    client: int
    setup: int
    end_line: EndLine
    reset: bool


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A server tells what a tunnel asks of it."""

    client: int
    load: Load


@dataclass(frozen=True, slots=True)
class ServerSlow:
    """A server took so long to bring something back on an open tunnel, or has brought nothing so far."""

    client: int
    duration: float
    silent: bool


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    server: str
    ending: Ending
    report: Report


@dataclass(frozen=True, slots=True)
class ListReceived:
    """Discovery has answered. `wall_clock`: the wall clock then, in Unix seconds; None: as the process's
    clock."""

    server_list: ServerList
    wall_clock: float | None = None


@dataclass(frozen=True, slots=True)
class ListRequestFailed:
    """A call to discovery has failed. `silent`: a watch of which nothing came, its wait long over."""

    silent: bool = False


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The start-up file was read again."""

    discovery: tuple[str, int]
    names: Names


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer is due."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """This balancer is to stop, or goes on stopping."""


Event = (
    ClientArrived | ClientLeft | SetupConnected | SetupOpened | SetupEnded | LoadReported | ServerSlow
    | ProbeEnded | ListReceived | ListRequestFailed | SettingsReloaded | TimerDue | StopRequested
)  # fmt: skip
