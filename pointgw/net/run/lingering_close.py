"""Lingering close: closes a connection in order while discarding what the peer still sends."""

from __future__ import annotations

import asyncio

from pointgw.net.run import tcp

DEFAULT_TIMEOUT = 0.25  # seconds that the peer has to close its side, unless given otherwise
FLOOD_READ_INTERVAL = 0.01  # seconds between two buffers of a flood that is discarded


class LingeringClose:
    """Sends what is buffered and an EOF, then discards input until the peer closes too. Aborts the connection
    after `timeout` seconds.

    Closing at once with unread input resets the connection, and the peer may lose the last line. A flood is
    read at a limited rate: that costs little CPU, and its sender still reads its answer.
    """

    __slots__ = ("discarded_bytes", "loop", "timer", "transport")

    def __init__(self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop, timeout: float) -> None:
        self.transport, self.loop, self.discarded_bytes = transport, loop, 0
        self.timer = loop.call_later(timeout, transport.abort)
        if not transport.is_closing():
            transport.resume_reading()
            transport.write_eof()

    def count_discarded(self, size: int) -> None:
        """Counts received bytes that were discarded, and limits their rate."""
        self.discarded_bytes += size
        if self.discarded_bytes > tcp.BUFFER_LIMIT:
            self.discarded_bytes = 0
            tcp.pause_reading(self.transport)
            self.loop.call_later(FLOOD_READ_INTERVAL, tcp.resume_reading, self.transport)

    def cancel_timer(self) -> None:
        """For a connection that has closed before its timeout."""
        self.timer.cancel()


def close_gracefully(transport: asyncio.Transport, timeout: float = DEFAULT_TIMEOUT) -> None:
    """Closes in order, for a caller that does not count discarded input. `timeout`: seconds."""
    if not transport.is_closing():
        LingeringClose(transport, asyncio.get_running_loop(), timeout)
