"""Clients' connections without a request: those that are idle, and those that are being closed."""

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

ACCEPT_GRACE = 0.1  # seconds in which the line of one that was just accepted may still come, at a stop


class ClientConnections:
    """`linger_within`: seconds that the other side has to end a connection after its last line."""

    def __init__(self, loop: asyncio.AbstractEventLoop, linger_timeout: float) -> None:
        self.loop, self.linger_timeout = loop, linger_timeout
        self.idle: dict[ClientConnection, None] = {}  # those that have asked for no tunnel, oldest first
        # Those that are ended in order, and whose other side has not ended them yet; oldest first.
        self.lingering: dict[ClientConnection | ServerConnection, LingeringClose] = {}
        self.listener: Listener | None = None

    # Accepting.

    def listen(
        self,
        address: tuple[str, int],
        factory: Callable[[], ClientConnection],
        make_room: Callable[[], object],
    ) -> None:
        """Raises OSError where the address can't be had."""
        self.listener = Listener(self.loop, factory, make_room)
        self.listener.open(address)

    def stop_listening(self, force: bool = False) -> bool:
        """No connection is taken any more; False: some still wait, and there was no room for them."""
        return self.listener is None or self.listener.close(force)

    # Idle.

    def add_idle(self, side: ClientConnection) -> None:
        self.idle[side] = None

    def remove_idle(self, side: ClientConnection) -> None:
        self.idle.pop(side, None)

    def remove(self, side: ClientConnection | ServerConnection) -> None:
        """Its connection has ended."""
        if isinstance(side, ClientConnection):
            self.idle.pop(side, None)
        if side in self.lingering:
            self.lingering.pop(side).cancel_timer()

    def evict_one(self) -> ClientConnection | None:
        """Gives up a connection for others: one that was answered and does not end, else the one that has
        been idle longest, which is given. One whose line has come but was not read yet stays."""
        if self.lingering:
            next(iter(self.lingering.values())).transport.abort()
            return None
        oldest = next((side for side in self.idle if not tcp.unread_bytes(side.transport)), None)
        if oldest is not None:
            del self.idle[oldest]
            oldest.evict()
        return oldest

    def close_idle(self, now: float, age: float = 0.0) -> None:
        """What has come on one is read and answered first. What crosses our end is not sent on, and the line
        before that end tells its client that another try is harmless."""
        for side in list(self.idle):
            if now - side.accepted_at >= age and not tcp.unread_bytes(side.transport):
                side.answer(Decline(0.0))

    # Closing.

    def linger(self, side: ClientConnection | ServerConnection, transport: asyncio.Transport) -> None:
        if isinstance(side, ClientConnection):
            self.idle.pop(side, None)
        if not transport.is_closing():
            self.lingering[side] = LingeringClose(transport, self.loop, self.linger_timeout)

    def count_discarded(self, side: ClientConnection | ServerConnection, size: int) -> None:
        """So many bytes came on one that is being ended."""
        if side in self.lingering:
            self.lingering[side].count_discarded(size)

    def close_remaining(self, now: float, over: bool) -> bool:
        """While the balancer leaves: whether nobody is left here. `over`: there is no more time."""
        closed = self.stop_listening(force=over)
        self.close_idle(now, 0.0 if over else ACCEPT_GRACE)
        connecting = self.listener is not None and self.listener.connecting
        return closed and not (self.idle or self.lingering or connecting)
