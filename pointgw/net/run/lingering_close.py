"""Ends a connection in order, and reads and drops what the other side still says meanwhile."""

from __future__ import annotations

import asyncio

from pointgw.net.run import tcp

BRIEF = 0.25  # seconds for the other side to end it, where nothing else is said
PACE = 0.01  # seconds between two buffers of a flood that is read and dropped


class LingeringClose:
    """What was written goes out, then our end; what the other side still says is read and dropped until it
    ends too. By force once `within` seconds are over.

    Closing at once with something unread resets the connection, and the last line may be lost with it. A
    flood is read at a bounded pace: it costs little, and its sender still reads its answer.
    """

    __slots__ = ("loop", "spilt", "timer", "transport")

    def __init__(self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop, within: float) -> None:
        self.transport, self.loop, self.spilt = transport, loop, 0
        self.timer = loop.call_later(within, transport.abort)
        if not transport.is_closing():
            transport.resume_reading()
            transport.write_eof()

    def read(self, size: int) -> None:
        """So many bytes have come and were dropped."""
        self.spilt += size
        if self.spilt > tcp.FULL_BUFFER:
            self.spilt = 0
            tcp.pause(self.transport)
            self.loop.call_later(PACE, tcp.resume, self.transport)

    def over(self) -> None:
        self.timer.cancel()


def finish(transport: asyncio.Transport, within: float = BRIEF) -> None:
    """Ends it in order, where nobody counts what still comes. `within`: seconds."""
    if not transport.is_closing():
        LingeringClose(transport, asyncio.get_running_loop(), within)
