"""What a soak run saw of its requests, attempts and list changes, on one monotonic clock (seconds)."""

from __future__ import annotations

from dataclasses import dataclass, field

from soak.deployment import RequestClass


@dataclass(slots=True)
class Attempt:
    """One request line that a server has read."""

    request: str
    server: str
    balancer: int
    first_byte_at: float  # its first byte was read
    read_at: float  # its last byte was read
    never_ran: bool = False  # the server turned it away unexamined
    overlaps_earlier: bool = False  # seen at once with an earlier one that was still out
    answered_at: float | None = None
    ended_at: float | None = None  # its connection ended, or its sender ended sending on it


@dataclass(slots=True)
class Request:
    """One request of a well-behaved client."""

    name: str
    request_class: RequestClass
    balancer: int
    process_start: int  # the start of that balancer, counted
    sent_at: float  # its last byte was handed to the system
    timeout: float
    left_at: float | None = None  # its client gave up
    answers: list[tuple[float, bytes]] = field(default_factory=list)
    closed_at: float | None = None  # by the balancer
    exempt: bool = False  # the balancer was killed, or stopped by force, under it
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Violation:
    """A promise that was not kept."""

    rule: str
    request: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.request}: {self.detail}"
