"""Tunnels that were open at a server before this process started, until they are open here. No I/O, no clock.

The client names the server (`at=ID`), so the policy has nothing to decide: the request goes to that server
alone, again after each failure, up to its deadline. A server without a known address may be on a list that
was not received yet; the request waits for it unless the list is current.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from pointgw.net.core import effects
from pointgw.net.wire.lines import OpenRequest

INHERITED_TIMEOUT_SECONDS = 40.0  # limit for opening such a tunnel here, by the protocol
INHERITED_RETRY_SECONDS = 0.25  # until the next try after one failed
ATTEMPT = 0  # number of its only setup


class Rejection(Enum):
    """Why such a tunnel is answered unopened; the values appear in the log."""

    UNKNOWN_SERVER = "unknown_server"  # a current list lacks its server
    TOO_MANY_WAITING = "too_many_waiting"
    TOO_LATE = "standing_lost"


def inherited_timeout(request: OpenRequest) -> float:
    """Seconds within which such a request has to be open or answered: its client may wait for less."""
    if request.remaining_time is None:
        return INHERITED_TIMEOUT_SECONDS
    return min(request.remaining_time, INHERITED_TIMEOUT_SECONDS)


@dataclass(slots=True)
class InheritedRequest:
    """A request that is not open here yet; `deadline`: time in seconds by which it is answered."""

    client: int
    request: OpenRequest
    deadline: float
    dialled: effects.Address | None = None  # where a connection is being established


class InheritedTunnels:
    """The requests for such tunnels. `addresses`: of the servers, by name; changed by the owner.

    `answer_margin`: seconds before a client's timeout at which it is answered, or the answer would be late.
    """

    def __init__(
        self, addresses: Mapping[str, effects.Address], max_waiting: int, answer_margin: float
    ) -> None:
        self.addresses, self.answer_margin = addresses, answer_margin
        self.max_waiting = max_waiting  # requests that may wait for a list at one time
        self.requests: dict[int, InheritedRequest] = {}  # by client
        self.waiting: dict[int, None] = {}  # clients whose request waits for a list, oldest first

    def __contains__(self, client: int) -> bool:
        return client in self.requests

    def add(self, client: int, request: OpenRequest, received_at: float) -> None:
        """Adds a request that has arrived; `next_step` says what to do for it."""
        deadline = received_at + inherited_timeout(request) - self.answer_margin
        self.requests[client] = InheritedRequest(client, request, deadline)

    def remove(self, client: int) -> InheritedRequest | None:
        """Removes the request of a client, as it is open, answered, or its client has left."""
        self.waiting.pop(client, None)
        return self.requests.pop(client, None)

    def next_step(
        self, client: int, now: float, list_is_current: bool, delay: float = 0.0
    ) -> effects.Connect | effects.SetAnswerTimer | Rejection | None:
        """What to do for a request: connect after `delay`, wait (None: it already does), or reject it."""
        inherited = self.requests[client]
        address = self.addresses.get(inherited.request.current_server)
        remaining = inherited.deadline - now
        if remaining <= delay:
            return Rejection.TOO_LATE
        if address is None:
            return self._wait(inherited, remaining, list_is_current)
        self.waiting.pop(client, None)
        inherited.dialled = address
        timeout = remaining - delay
        return effects.Connect(client, ATTEMPT, address, inherited.request, None, timeout, timeout, delay)

    def connected(self, client: int) -> None:
        """The connection to the server is up: a later list does not change where the request goes."""
        self.requests[client].dialled = None

    def relocated(self) -> list[int]:
        """Clients whose server has another address by now than the one that is being dialled."""
        return [
            client
            for client, inherited in self.requests.items()
            if inherited.dialled is not None
            and self.addresses.get(inherited.request.current_server) != inherited.dialled
        ]

    def _wait(
        self, inherited: InheritedRequest, remaining: float, list_is_current: bool
    ) -> effects.SetAnswerTimer | Rejection | None:
        if list_is_current:
            return Rejection.UNKNOWN_SERVER
        if inherited.client in self.waiting:
            return None
        if len(self.waiting) >= self.max_waiting:
            return Rejection.TOO_MANY_WAITING
        self.waiting[inherited.client] = None
        return effects.SetAnswerTimer(inherited.client, remaining)
