"""Records of requests, attempts and violations in a soak run. Times in seconds of the monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from soak.deployment import RequestClass


@dataclass(slots=True)
class Attempt:
    """One OPEN line that a server has read."""

    request: str
    server: str
    balancer: int
    first_byte_at: float  # when its first byte was read
    read_at: float  # when its last byte was read
    never_ran: bool = False  # the server declined it without processing
    overlaps_earlier: bool = False  # an earlier attempt of the request was still pending
    answered_at: float | None = None
    ended_at: float | None = None  # when its connection, or the sending side of it, was closed


@dataclass(slots=True)
class Request:
    """One request of a well-behaved client."""

    name: str
    request_class: RequestClass
    balancer: int
    process_start: int  # start count of that balancer
    sent_at: float  # when its last byte was passed to the system; 0: not sent
    timeout: float  # seconds that the client states in its request
    left_at: float | None = None  # when its client cancelled
    answers: list[tuple[float, bytes]] = field(default_factory=list)
    closed_at: float | None = None  # when the balancer closed the connection
    exempt: bool = False  # the balancer was sent SIGKILL before the request was finished
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Violation:
    """One violation of an invariant."""

    rule: str
    request: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.request}: {self.detail}"
