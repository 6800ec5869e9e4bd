"""Ends a connection in order, and reads and drops what the other side still says meanwhile."""

from __future__ import annotations

import asyncio

from pointgw.net.run import tcp

DEFAULT_TIMEOUT = 0.25  # seconds for the other side to end it, where nothing else is said
FLOOD_READ_INTERVAL = 0.01  # seconds between two buffers of a flood that is read and dropped


class LingeringClose:
    """What was written goes out, then our end; what the other side still says is read and dropped until it
    ends too. By force once `within` seconds are over.

    Closing at once with something unread resets the connection, and the last line may be lost with it. A
    flood is read at a bounded pace: it costs little, and its sender still reads its answer.
    """

    __slots__ = ("discarded_bytes", "loop", "timer", "transport")

    def __init__(self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop, timeout: float) -> None:
        self.transport, self.loop, self.discarded_bytes = transport, loop, 0
        self.timer = loop.call_later(timeout, transport.abort)
        if not transport.is_closing():
            transport.resume_reading()
            transport.write_eof()

    def count_discarded(self, size: int) -> None:
        """So many bytes have come and were dropped."""
        self.discarded_bytes += size
        if self.discarded_bytes > tcp.BUFFER_LIMIT:
            self.discarded_bytes = 0
            tcp.pause_reading(self.transport)
            self.loop.call_later(FLOOD_READ_INTERVAL, tcp.resume_reading, self.transport)

    def cancel_timer(self) -> None:
        self.timer.cancel()


def close_gracefully(transport: asyncio.Transport, timeout: float = DEFAULT_TIMEOUT) -> None:
    """Ends it in order, where nobody counts what still comes. `within`: seconds."""
    if not transport.is_closing():
        LingeringClose(transport, asyncio.get_running_loop(), timeout)
