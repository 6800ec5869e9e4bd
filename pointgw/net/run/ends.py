"""Ways to end a TCP connection."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import socket
import struct
import termios

from pointgw.interface import Ending

FULL_BUFFER = 16 * 1024  # bytes waiting for one side after which the other is not read
LINGER = 0.25  # seconds that the other side has to end once it got its last line
OUR_OWN = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
NO_LINGER = struct.pack("ii", 1, 0)


def no_connection(fault: OSError) -> Ending:
    """Guards against a server that is held to be at fault where we have no descriptor to reach it by."""
    return "moot" if fault.errno in OUR_OWN else "no-connection"


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


def pause(transport: asyncio.Transport | None) -> None:
    if transport is not None and not transport.is_closing():
        transport.pause_reading()


def resume(transport: asyncio.Transport | None) -> None:
    if transport is not None and not transport.is_closing():
        transport.resume_reading()


def finish(transport: asyncio.Transport) -> None:
    """Ends it in order: what was written arrives, and what the other side still says is read and dropped.

    Closing at once with something unread resets the connection, and the last line may be lost with it.
    """
    if transport.is_closing():
        return
    transport.resume_reading()
    transport.write_eof()
    asyncio.get_running_loop().call_later(LINGER, transport.abort)
