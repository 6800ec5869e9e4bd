"""Events: the reducer's input. Clients are identified by numbers that the process assigns."""

from __future__ import annotations

from dataclasses import dataclass

from pointgw.interface import Ending, Report
from pointgw.net.wire.lines import EndLine, Load, OpenRequest
from pointgw.net.wire.server_list import DeploymentNames, ServerList


@dataclass(frozen=True, slots=True)
class ClientArrived:
    """A client has sent its request for a tunnel, which was read at `received_at` (None: just now)."""

    client: int
    request: OpenRequest
    received_at: float | None = None


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """A client has closed or reset its connection."""

    client: int
    reset: bool


@dataclass(frozen=True, slots=True)
class SetupConnected:
    """The connection of a setup is established; nothing was written to it yet."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class SetupOpened:
    """A server has accepted a tunnel."""

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
    """A server reports the load of a tunnel."""

    client: int
    load: Load


@dataclass(frozen=True, slots=True)
class ServerSlow:
    """On an open tunnel a server took `duration` seconds to respond; `silent`: it has not responded yet."""

    client: int
    duration: float
    silent: bool


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended; `report` is empty without an answer."""

    server: str
    ending: Ending
    report: Report


@dataclass(frozen=True, slots=True)
class ListReceived:
    """Discovery has answered. `wall_clock`: Unix seconds at that time; None: equal to the process's clock."""

    server_list: ServerList
    wall_clock: float | None = None


@dataclass(frozen=True, slots=True)
class ListRequestFailed:
    """A list request has failed. `silent`: a watch without any answer well after its wait."""

    silent: bool = False


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The start-up file was read again, with these settings of discovery."""

    discovery: tuple[str, int]
    names: DeploymentNames


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The timer set last has fired."""


@dataclass(frozen=True, slots=True)
class AnswerTimerDue:
    """A client that has waited for a list since its `SetAnswerTimer` has to be answered now."""

    client: int


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The stop signal has come, or the next round of the stop is due."""


Event = (
    ClientArrived | ClientLeft | SetupConnected | SetupOpened | SetupEnded | LoadReported | ServerSlow
    | ProbeEnded | ListReceived | ListRequestFailed | SettingsReloaded | TimerDue | AnswerTimerDue
    | StopRequested
)  # fmt: skip
