"""What the reducer asks of the sockets' side."""

from __future__ import annotations

from dataclasses import dataclass, field

from pointgw.net.wire.lines import Answer, Opening
from pointgw.net.wire.listing import Names

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Connect:
    """Sets a tunnel up: dials a new connection. Its request is written once `Write` asks for it."""

    client: int
    setup: int
    address: Address
    opening: Opening
    patience: float | None  # told to the server; None: the line goes on as it came
    within: float  # for all of it
    connect_within: float
    after: float = 0.0


@dataclass(frozen=True, slots=True)
class Write:
    """The request of a setup whose connection is up."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class Drop:
    """Gives up a setup, or ends an open tunnel at its server."""

    client: int
    setup: int
    reset: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """The final answer to a client that was not opened; its connection ends with it. `why`: for the log."""

    client: int
    answer: Answer
    why: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Join:
    """Passes the server's answer on, and then all lines both ways."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class End:
    """Ends a client's connection in the way its server did."""

    client: int
    reset: bool


@dataclass(frozen=True, slots=True)
class Move:
    """Sends a client away politely and ends both sides."""

    client: int
    setup: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: str
    address: Address
    within: float
    connect_within: float


@dataclass(frozen=True, slots=True)
class ForgetServer:
    """A server drains or is gone: a probe that waits for it is given up, its idle connection is closed."""

    server: str


@dataclass(frozen=True, slots=True)
class Turn:
    """Discovery has another address; a call that is out is given up."""

    address: Address
    names: Names


@dataclass(frozen=True, slots=True)
class Ask:
    """A call to discovery; `version`: the one known, `hold`: its longest wait, `after`: until it goes out."""

    version: int | None
    hold: float
    after: float = 0.0


@dataclass(frozen=True, slots=True)
class Wake:
    """A `Tick` after a time."""

    delay: float


@dataclass(frozen=True, slots=True)
class StopIn:
    """Another `Stopping` after a time."""

    delay: float


@dataclass(frozen=True, slots=True)
class EndIdle:
    """Ends the clients' connections on which nothing was asked for: this balancer stops."""


@dataclass(frozen=True, slots=True)
class Exit:
    """All tunnels are over: no connection is taken any more, and the process ends once those that are left
    have ended, or after a time."""

    within: float


Effect = (
    Connect | Write | Drop | Reply | Join | End | Move | Probe | ForgetServer | Turn | Ask | Wake | StopIn
    | EndIdle | Exit
)  # fmt: skip
