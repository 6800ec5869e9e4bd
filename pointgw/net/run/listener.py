"""Accepts clients' connections, and leaves those that can't be accepted yet in the backlog.

The event loop's own accept is not used: when descriptors run out it closes all pending connections.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

BACKLOG = 1024  # pending connections in the operating system
ACCEPT_BATCH = 64  # connections accepted in one loop iteration, so that descriptors can be freed in between
RETRY_DELAY = 0.01  # seconds until the next accept after one failed for lack of resources
# Resources are lacking: the connection stays pending and can be accepted later.
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

_log = logging.getLogger("pointgw.listener")


class Listener:
    """One listening socket.

    `factory` makes the protocol of a connection; `free_descriptor` closes some connection to make room.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        factory: Callable[[], asyncio.BaseProtocol],
        free_descriptor: Callable[[], object],
    ) -> None:
        self.loop, self.factory, self.free_descriptor = loop, factory, free_descriptor
        self.socket: socket.socket | None = None
        self.retry_timer: asyncio.TimerHandle | None = None
        self.connecting: set[asyncio.Task[None]] = set()  # accepted, without a transport yet
        self.failures = 0  # accept calls that failed for lack of resources

    def open(self, address: tuple[str, int]) -> None:
        """Raises OSError where the address can't be bound."""
        self.socket = socket.create_server(address, backlog=BACKLOG)
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket.fileno(), self._readable)

    def _readable(self) -> None:
        if not self._accept():
            self._pause()

    def _accept(self, limit: int = ACCEPT_BATCH) -> bool:
        """Accepts pending connections. False: resources are lacking for the next, or every call failed."""
        failed = 0
        for _ in range(limit):
            if self.socket is None:
                return True
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in RESOURCE_ERRORS:
                    self.failures += 1
                    return False
                failed += 1  # concerns this connection only, which is no longer pending
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
        except OSError as error:
            connection.close()
            _log.debug("connection lost", extra={"fields": {"why": error}})

    def _pause(self) -> None:
        """Stops accepting for RETRY_DELAY: trying without a pause would only use CPU."""
        if self.socket is None:
            return
        _log.debug("accept paused", extra={"fields": {"failures": self.failures}})
        self.loop.remove_reader(self.socket.fileno())
        self.retry_timer = self.loop.call_later(RETRY_DELAY, self._resume)
        self.free_descriptor()

    def _resume(self) -> None:
        self.retry_timer = None
        if self.socket is not None:
            self.loop.add_reader(self.socket.fileno(), self._readable)

    def close(self, force: bool = False) -> bool:
        """Accepts pending connections and stops listening. Guards pending clients: closing the socket resets
        them. False: resources were lacking for some of them, and the socket stays open, unless by `force`."""
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
