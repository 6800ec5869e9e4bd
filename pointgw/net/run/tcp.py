"""What is asked of a TCP connection, and the ways to end it at once."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios

BUFFER_LIMIT = 16 * 1024  # bytes waiting for one side after which the other is not read
NO_LINGER = struct.pack("ii", 1, 0)


def abort_with_reset(transport: asyncio.Transport) -> None:
    """Ends it so that the other side sees it broken."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def unread_bytes(transport: asyncio.Transport) -> int:
    """Bytes that have come and were not read yet."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    waiting: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))[0]
    return waiting


def peer_close_events(transport: asyncio.Transport) -> int:
    """The system's word that the other side has ended or broken it, read already or not; 0: neither."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return next((event for _, event in poll.poll(0)), 0)


def pause_reading(transport: asyncio.Transport | None) -> None:
    if transport is not None and not transport.is_closing():
        transport.pause_reading()


def resume_reading(transport: asyncio.Transport | None) -> None:
    if transport is not None and not transport.is_closing():
        transport.resume_reading()


def write_and_close(transport: asyncio.Transport, line: bytes) -> None:
    """A last line, and then the end at once: where its descriptor is needed for others."""
    if not transport.is_closing():
        transport.write(line)
        transport.close()
