"""Starts new requests a few at a time, so that those already started go on meanwhile.

The time limit of an attempt runs from its start. Hundreds of requests that are read in one iteration of the
event loop, and started there, would keep it busy for longer than that limit: it would pass for all of them
before any answer of a server is read, and the servers would seem to have failed.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from pointgw.net.core.events import ClientArrived
from pointgw.net.run.connection_state import ConnectionState

if TYPE_CHECKING:
    from pointgw.net.run.client import ClientConnection

ITERATION_SECONDS = 0.005  # spent on starting requests in one iteration of the event loop


class RequestAdmission:
    """The requests that were read and are not started yet, in the order in which they came.

    `submit` is called with the event that starts a request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, submit: Callable[[ClientArrived], None]) -> None:
        self.loop, self.submit = loop, submit
        self.waiting: deque[tuple[ClientConnection, ClientArrived]] = deque()

    def add(self, client: ClientConnection, arrival: ClientArrived) -> None:
        """Starts the request once those before it have been started, unless its client leaves before."""
        if not self.waiting:
            self.loop.call_soon(self._start_some)
        self.waiting.append((client, arrival))

    def _start_some(self) -> None:
        slice_ends_at = time.monotonic() + ITERATION_SECONDS
        while self.waiting and time.monotonic() < slice_ends_at:
            client, arrival = self.waiting.popleft()
            if client.lifecycle.state is ConnectionState.REQUESTED:
                self.submit(arrival)
        if self.waiting:
            self.loop.call_soon(self._start_some)
