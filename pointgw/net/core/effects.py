"""Effects: what the reducer requests of the process's I/O. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from pointgw.net.wire.lines import Answer, OpenRequest
from pointgw.net.wire.server_list import DeploymentNames

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Connect:
    """Starts a setup by dialling a server; its request is written on `WriteRequest`."""

    client: int
    setup: int
    address: Address
    request: OpenRequest
    remaining_time: float | None  # sent to the server; None: the line is passed on unchanged
    timeout: float  # of the whole setup
    connect_timeout: float
    delay: float = 0.0  # until it is dialled


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Writes the request of a setup whose connection is established."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class AbandonSetup:
    """Abandons a setup, or closes an open tunnel's connection to its server."""

    client: int
    setup: int
    reset: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """Sends the final answer of a tunnel that was not opened, and closes the client; `reason` is logged."""

    client: int
    answer: Answer
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class RelayTunnel:
    """Passes on the server's answer, then all data in both directions."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class CloseClient:
    """Closes a client's connection in the way its server did."""

    client: int
    reset: bool


@dataclass(frozen=True, slots=True)
class MigrateClient:
    """Sends `MOVE` to a client and closes both connections of its tunnel."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probes a server; timeouts in seconds."""

    server: str
    address: Address
    timeout: float
    connect_timeout: float


@dataclass(frozen=True, slots=True)
class ForgetServer:
    """A server is draining or removed: abandons its pending probe and closes its idle connection."""

    server: str


@dataclass(frozen=True, slots=True)
class SwitchDiscovery:
    """Switches to another discovery; a request in progress is abandoned."""

    address: Address
    names: DeploymentNames


@dataclass(frozen=True, slots=True)
class RequestList:
    """Requests the list after `version` (None: all of it); `wait`: how long discovery may hold the request,
    `delay`: until it is sent, both in seconds."""

    version: int | None
    wait: float
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests a `TimerDue` after `delay` seconds."""

    delay: float


@dataclass(frozen=True, slots=True)
class SetAnswerTimer:
    """Requests an `AnswerTimerDue` after `delay` seconds, unless the client was answered or has left."""

    client: int
    delay: float


@dataclass(frozen=True, slots=True)
class ScheduleStop:
    """Requests another `StopRequested` after `delay` seconds."""

    delay: float


@dataclass(frozen=True, slots=True)
class CloseIdleClients:
    """Closes the client connections without a request: this balancer stops."""


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """All tunnels have ended: stops accepting, and ends the process once the remaining connections have
    ended, or after `time_limit` seconds."""

    time_limit: float


Effect = (
    Connect | WriteRequest | AbandonSetup | Reply | RelayTunnel | CloseClient | MigrateClient | Probe
    | ForgetServer | SwitchDiscovery | RequestList | SetTimer | SetAnswerTimer | ScheduleStop
    | CloseIdleClients | ExitProcess
)  # fmt: skip
