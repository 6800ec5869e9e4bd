"""Connections without a tunnel: how they are taken, those that rest, and those that are being ended."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from pointgw.net.run import ends
from pointgw.net.run.client import ClientSide
from pointgw.net.wire.lines import Decline

if TYPE_CHECKING:
    from pointgw.net.run.server import ServerSide

BACKLOG = 1024  # clients that may come at once
JUST_CAME = 0.1  # seconds in which the line of one that was just taken may still come, while leaving


class Door:
    """`linger`: seconds that the other side has to end a connection after its last line."""

    def __init__(self, loop: asyncio.AbstractEventLoop, linger: float) -> None:
        self.loop, self.linger = loop, linger
        self.resting: dict[ClientSide, None] = {}  # those that have asked for no tunnel, oldest first
        # Those that are ended in order, and whose other side has not ended them yet; oldest first.
        self.farewells: dict[ClientSide | ServerSide, ends.Farewell] = {}
        self.taking: set[asyncio.Task[None]] = set()  # those that were taken as listening ended
        self.factory: Callable[[], ClientSide] | None = None
        self.listener: asyncio.Server | None = None

    # Taking.

    async def open(self, address: tuple[str, int], factory: Callable[[], ClientSide]) -> None:
        """Raises OSError where the address can't be had."""
        self.factory = factory
        self.socket = socket.create_server(address, backlog=BACKLOG)
        self.socket.setblocking(False)
        self.listener = await self.loop.create_server(factory, sock=self.socket)

    def close(self) -> None:
        """Guards clients whose connection the system has taken for us and we have not: they would be reset
        with no answer. They are taken now, and answered like those before."""
        if self.listener is None:
            return
        listener, self.listener = self.listener, None
        taken: list[socket.socket] = []
        with suppress(OSError):  # none is left, or no descriptor
            while len(taken) < BACKLOG:
                taken.append(self.socket.accept()[0])
        listener.close()
        for sock in taken:
            sock.setblocking(False)
            self.taking.add(task := self.loop.create_task(self._take(sock)))
            task.add_done_callback(self.taking.discard)

    async def _take(self, sock: socket.socket) -> None:
        assert self.factory is not None
        with suppress(OSError):
            await self.loop.connect_accepted_socket(self.factory, sock)

    # Resting.

    def came(self, side: ClientSide) -> None:
        self.resting[side] = None

    def asked(self, side: ClientSide) -> None:
        self.resting.pop(side, None)

    def gone(self, side: ClientSide | ServerSide) -> None:
        """Its connection has ended."""
        if isinstance(side, ClientSide):
            self.resting.pop(side, None)
        if side in self.farewells:
            self.farewells.pop(side).over()

    def make_room(self) -> ClientSide | None:
        """Gives up a connection for others: one that was answered and does not end, else the one that has
        rested longest, which is given. One whose line has come but was not read yet stays."""
        if self.farewells:
            next(iter(self.farewells.values())).transport.abort()
            return None
        oldest = next((side for side in self.resting if not ends.unread(side.transport)), None)
        if oldest is not None:
            del self.resting[oldest]
            oldest.make_room()
        return oldest

    def end_resting(self, now: float, age: float = 0.0) -> None:
        """What has come on one is read and answered first. What crosses our end is not sent on, and the line
        before that end tells its client that another try is harmless."""
        for side in list(self.resting):
            if now - side.came >= age and not ends.unread(side.transport):
                side.answer(Decline(0.0))

    # Ending.

    def farewell(self, side: ClientSide | ServerSide, transport: asyncio.Transport) -> None:
        if isinstance(side, ClientSide):
            self.resting.pop(side, None)
        if not transport.is_closing():
            self.farewells[side] = ends.Farewell(transport, self.loop, self.linger)

    def dropped(self, side: ClientSide | ServerSide, size: int) -> None:
        """So many bytes came on one that is being ended."""
        if side in self.farewells:
            self.farewells[side].read(size)

    def empty(self, now: float, over: bool) -> bool:
        """While the balancer leaves: whether nobody is left here. `over`: there is no more time."""
        self.close()
        self.end_resting(now, 0.0 if over else JUST_CAME)
        return not (self.resting or self.farewells or self.taking)
