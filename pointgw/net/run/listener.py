"""Takes clients' connections, and leaves those it can't take yet in the backlog.

The event loop's own accept is not used: on a lack of descriptors it closes all connections that wait.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

BACKLOG = 1024  # connections that may wait in the system
ACCEPT_BATCH = 64  # connections taken in one turn of the loop, so that room can be made between them
RETRY_DELAY = 0.01  # seconds until the next try where the system has no room
# A lack of ours: the connection still waits and can be taken later.
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

_log = logging.getLogger("pointgw.listener")


class Listener:
    """One listening socket. `factory` makes the protocol of a connection, `make_room` frees a descriptor."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        factory: Callable[[], asyncio.Protocol],
        free_descriptor: Callable[[], object],
    ) -> None:
        self.loop, self.factory, self.free_descriptor = loop, factory, free_descriptor
        self.socket: socket.socket | None = None
        self.retry_timer: asyncio.TimerHandle | None = None
        self.connecting: set[asyncio.Task[None]] = set()  # taken, and not yet made into transports
        self.failures = 0  # calls of accept that failed by a lack of ours

    def open(self, address: tuple[str, int]) -> None:
        """Raises OSError where the address can't be had."""
        self.socket = socket.create_server(address, backlog=BACKLOG)
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket.fileno(), self._readable)

    def _readable(self) -> None:
        if not self._accept():
            self._pause()

    def _accept(self, limit: int = ACCEPT_BATCH) -> bool:
        """Takes connections that wait; False: the system has no room for the next one, or each try failed."""
        failed = 0
        for _ in range(limit):
            if self.socket is None:
                return True
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as fault:
                if fault.errno in RESOURCE_ERRORS:
                    self.failures += 1
                    return False
                failed += 1  # a fault of that one connection, which is gone with it: the next one
                continue
            self._start_connect(connection)
        return failed < limit

    def _start_connect(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        task = self.loop.create_task(self._connect(connection))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.factory, connection)
        except OSError as fault:
            connection.close()
            _log.debug("connection lost", extra={"fields": {"why": fault}})

    def _pause(self) -> None:
        """Not asked again at once: it would only spend the processor until there is room."""
        if self.socket is None:
            return
        _log.debug("no room to accept", extra={"fields": {"failures": self.failures}})
        self.loop.remove_reader(self.socket.fileno())
        self.retry_timer = self.loop.call_later(RETRY_DELAY, self._resume)
        self.free_descriptor()

    def _resume(self) -> None:
        self.retry_timer = None
        if self.socket is not None:
            self.loop.add_reader(self.socket.fileno(), self._readable)

    def close(self, force: bool = False) -> bool:
        """Takes what still waits and stops listening. Guards clients whose connection the system has taken:
        closing the socket resets them. False: there was no room for all of them, and nothing was closed,
        unless by `force`."""
        if self.socket is None:
            return True
        if not self._accept(BACKLOG) and not force:
            self.free_descriptor()
            return False
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.loop.remove_reader(self.socket.fileno())
        self.socket.close()
        self.socket = None
        return True
