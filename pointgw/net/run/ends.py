"""Ways to end a TCP connection."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios

FULL_BUFFER = 16 * 1024  # bytes waiting for one side after which the other is not read
LINGER = 0.25  # seconds that the other side has to end once it got its last line, where nothing else is said
PACE = 0.01  # seconds between two buffers of a flood that is read and dropped
NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Ends it so that the other side sees it broken."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def unread(transport: asyncio.Transport) -> int:
    """Bytes that have come and were not read yet."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    waiting: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))[0]
    return waiting


def ended(transport: asyncio.Transport) -> int:
    """The system's word that the other side has ended or broken it, read already or not; 0: neither."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return next((event for _, event in poll.poll(0)), 0)


def pause(transport: asyncio.Transport | None) -> None:
    if transport is not None and not transport.is_closing():
        transport.pause_reading()


def resume(transport: asyncio.Transport | None) -> None:
    if transport is not None and not transport.is_closing():
        transport.resume_reading()


class Farewell:
    """Ends a connection in order: what was written goes out, then our end; what the other side still says is
    read and dropped until it ends too. By force once `within` seconds are over.

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
        if self.spilt > FULL_BUFFER:
            self.spilt = 0
            pause(self.transport)
            self.loop.call_later(PACE, resume, self.transport)

    def over(self) -> None:
        self.timer.cancel()


def finish(transport: asyncio.Transport, within: float = LINGER) -> None:
    """Ends it in order, where nobody counts what still comes."""
    if not transport.is_closing():
        Farewell(transport, asyncio.get_running_loop(), within)


def close(transport: asyncio.Transport, line: bytes) -> None:
    """A last line, and then the end at once: where its descriptor is needed for others."""
    if not transport.is_closing():
        transport.write(line)
        transport.close()
