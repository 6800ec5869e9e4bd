"""Idle client connections, and client and server connections in lingering close."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from pointgw.net.run import tcp
from pointgw.net.run.client import ClientConnection
from pointgw.net.run.lingering_close import LingeringClose
from pointgw.net.run.listener import Listener
from pointgw.net.wire.lines import Decline

if TYPE_CHECKING:
    from pointgw.net.run.server import ServerConnection

ACCEPT_GRACE = 0.1  # seconds that a connection just accepted has for its request while the balancer stops


class ClientConnections:
    """The listener, the idle and the lingering connections.

    `linger_timeout`: seconds that the peer has to close a connection after its last line.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, linger_timeout: float) -> None:
        self.loop, self.linger_timeout = loop, linger_timeout
        self.idle: dict[ClientConnection, None] = {}  # without a request, oldest first
        # Closed in order by this process and not yet by the peer, oldest first.
        self.lingering: dict[ClientConnection | ServerConnection, LingeringClose] = {}
        self.listener: Listener | None = None

    # Accepting.

    def listen(
        self,
        address: tuple[str, int],
        factory: Callable[[], ClientConnection],
        free_descriptor: Callable[[], object],
    ) -> None:
        """Raises OSError where the address can't be bound."""
        self.listener = Listener(self.loop, factory, free_descriptor)
        self.listener.open(address)

    def stop_listening(self, force: bool = False) -> bool:
        """Accepts what is pending and stops listening. False: descriptors ran out first; still listening."""
        return self.listener is None or self.listener.close(force)

    # Idle.

    def add_idle(self, client: ClientConnection) -> None:
        """Adds a connection that was just accepted."""
        self.idle[client] = None

    def remove_idle(self, client: ClientConnection) -> None:
        """Removes a connection whose request has come."""
        self.idle.pop(client, None)

    def remove(self, connection: ClientConnection | ServerConnection) -> None:
        """Drops a connection that has closed."""
        if isinstance(connection, ClientConnection):
            self.idle.pop(connection, None)
        if connection in self.lingering:
            self.lingering.pop(connection).cancel_timer()

    def evict_one(self) -> ClientConnection | None:
        """Closes a connection to free its descriptor: the oldest lingering one, or else the oldest idle one,
        which is returned. An idle one with unread input stays, as its request may have come."""
        if self.lingering:
            next(iter(self.lingering.values())).transport.abort()
            return None
        oldest = next((client for client in self.idle if not tcp.unread_bytes(client.transport)), None)
        if oldest is not None:
            del self.idle[oldest]
            oldest.evict()
        return oldest

    def close_idle(self, now: float, min_age: float = 0.0) -> None:
        """Declines idle connections of at least `min_age` seconds, except those with unread input, which is
        answered first. A request that crosses the decline is not forwarded, so its client may retry."""
        for client in list(self.idle):
            if now - client.accepted_at >= min_age and not tcp.unread_bytes(client.transport):
                client.answer(Decline(0.0))

    # Closing.

    def linger(self, connection: ClientConnection | ServerConnection, transport: asyncio.Transport) -> None:
        """Begins the lingering close of a connection."""
        if isinstance(connection, ClientConnection):
            self.idle.pop(connection, None)
        if not transport.is_closing():
            self.lingering[connection] = LingeringClose(transport, self.loop, self.linger_timeout)

    def count_discarded(self, connection: ClientConnection | ServerConnection, size: int) -> None:
        """Counts bytes received on a connection that is being closed."""
        if connection in self.lingering:
            self.lingering[connection].count_discarded(size)

    def close_remaining(self, now: float, expired: bool) -> bool:
        """Closes idle connections before the process exits; True: none are left. `expired`: time is over."""
        closed = self.stop_listening(force=expired)
        self.close_idle(now, 0.0 if expired else ACCEPT_GRACE)
        connecting = self.listener is not None and self.listener.connecting
        return closed and not (self.idle or self.lingering or connecting)
