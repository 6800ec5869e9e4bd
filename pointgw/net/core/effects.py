"""What the reducer asks of the sockets' side."""

from __future__ import annotations

from dataclasses import dataclass, field

from pointgw.net.wire.lines import Answer, OpenRequest
from pointgw.net.wire.server_list import Names

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Connect:
    """Sets a tunnel up: dials a new connection. Its request is written once `WriteRequest` asks for it."""

    client: int
    setup: int
    address: Address
    request: OpenRequest
    remaining_time: float | None  # told to the server; None: the line goes on as it came
    timeout: float  # for all of it
    connect_timeout: float
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """The request of a setup whose connection is up."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class AbandonSetup:
    """Gives up a setup, or ends an open tunnel at its server."""

    client: int
    setup: int
    reset: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """The final answer to a client that was not opened; its connection ends with it. `why`: for the log."""

    client: int
    answer: Answer
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class RelayTunnel:
    """Passes the server's answer on, and then all lines both ways."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class CloseClient:
    """Ends a client's connection in the way its server did."""

    client: int
    reset: bool


@dataclass(frozen=True, slots=True)
class MigrateClient:
    """Sends a client away politely and ends both sides."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: str
    address: Address
    timeout: float
    connect_timeout: float


@dataclass(frozen=True, slots=True)
class ForgetServer:
    """A server drains or is gone: a probe that waits for it is given up, its idle connection is closed."""

    server: str


@dataclass(frozen=True, slots=True)
class SwitchDiscovery:
    """Discovery has another address; a call that is out is given up."""

    address: Address
    names: Names


@dataclass(frozen=True, slots=True)
class RequestList:
    """A call to discovery; `version`: the one known, `wait`: its longest wait, `delay`: until it goes out."""

    version: int | None
    wait: float
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """A `TimerDue` after a time."""

    delay: float


@dataclass(frozen=True, slots=True)
class ScheduleStop:
    """Another `StopRequested` after a time."""

    delay: float


@dataclass(frozen=True, slots=True)
class CloseIdleClients:
    """Ends the clients' connections on which nothing was asked for: this balancer stops."""


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """All tunnels are over: no connection is taken any more, and the process ends once those that are left
    have ended, or after a time."""

    time_limit: float


Effect = (
    Connect | WriteRequest | AbandonSetup | Reply | RelayTunnel | CloseClient | MigrateClient | Probe
    | ForgetServer | SwitchDiscovery | RequestList | SetTimer | ScheduleStop | CloseIdleClients | ExitProcess
)  # fmt: skip
