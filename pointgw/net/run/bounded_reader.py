"""Base of client and server connections: reads in small portions, and lets other connections have their turn.

The event loop reads a connection whose peer sends at full speed in portions of 256 KiB, many of them in one
iteration. Each is kept until the other side of a tunnel has taken it, and no other connection is read
meanwhile.
"""

from __future__ import annotations

import asyncio

from pointgw.net.run import tcp

ITERATION_BYTES = 64 * 1024  # read from one connection in one iteration of the event loop

# Shared by all connections: what was read is copied before anything else is.
_read_buffer = memoryview(bytearray(tcp.BUFFER_LIMIT))


class BoundedReader(asyncio.BufferedProtocol):
    """A connection that calls `data_received` with at most `buffer_limit` bytes (`tcp.BUFFER_LIMIT` at most).

    While the other side does not read, twice as many are kept for it.
    """

    __slots__ = ("buffer_limit", "is_held", "iteration_bytes", "iteration_time", "loop", "transport")

    transport: asyncio.Transport | None  # set by the subclass

    def __init__(self, loop: asyncio.AbstractEventLoop, buffer_limit: int) -> None:
        self.loop, self.buffer_limit = loop, buffer_limit
        self.is_held = False  # the other side is slow to read
        self.iteration_time, self.iteration_bytes = 0.0, 0

    def data_received(self, data: bytes) -> None:
        """Handles received bytes."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer[: self.buffer_limit]

    def buffer_updated(self, nbytes: int) -> None:
        self._count_bytes(nbytes)
        self.data_received(bytes(_read_buffer[:nbytes]))

    def _count_bytes(self, size: int) -> None:
        """Stops reading until the next iteration of the loop, once this one has read enough."""
        now = self.loop.time()  # the loop's time is the same throughout an iteration
        if now != self.iteration_time:
            self.iteration_time, self.iteration_bytes = now, 0
        self.iteration_bytes += size
        if self.iteration_bytes >= ITERATION_BYTES:
            self.iteration_bytes = 0
            tcp.pause_reading(self.transport)
            self.loop.call_soon(self._continue_reading)

    def _continue_reading(self) -> None:
        if not self.is_held:
            tcp.resume_reading(self.transport)

    def hold_reading(self) -> None:
        """Stops reading while the other side is slow to read."""
        self.is_held = True
        tcp.pause_reading(self.transport)

    def release_reading(self) -> None:
        """Reads again."""
        self.is_held = False
        tcp.resume_reading(self.transport)
