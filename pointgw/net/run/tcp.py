"""Operations on TCP transports: flow control, socket state, immediate close."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios

# Bytes buffered for one side from which the other side is not read, and bytes read at one time; fewer where
# memory is short.
BUFFER_LIMIT = 16 * 1024
MIN_BUFFER_LIMIT = 2 * 1024
TCP_INFO_BYTES = 64  # of Linux's struct tcp_info, up to the field that is read
LAST_DATA_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv, milliseconds
NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER of zero seconds: closing sends a reset


def abort_with_reset(transport: asyncio.Transport) -> None:
    """Closes the connection with a reset (RST), so that the peer sees it broken."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def unread_bytes(transport: asyncio.Transport) -> int:
    """Bytes in the socket's receive buffer."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    waiting: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))[0]
    return waiting


def seconds_since_received(transport: asyncio.Transport) -> float:
    """Time since the socket last received data, whether or not that has been read."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0.0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    milliseconds: int = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)[0]
    return milliseconds / 1e3


def peer_close_events(transport: asyncio.Transport) -> int:
    """Poll events of a peer that has closed or reset, even if earlier input is unread; 0: neither."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return next((event for _, event in poll.poll(0)), 0)


def pause_reading(transport: asyncio.Transport | None) -> None:
    """Stops reading from a connection, unless there is none or it is closing."""
    if transport is not None and not transport.is_closing():
        transport.pause_reading()


def resume_reading(transport: asyncio.Transport | None) -> None:
    """Reads from a connection again, unless there is none or it is closing."""
    if transport is not None and not transport.is_closing():
        transport.resume_reading()


def write_and_close(transport: asyncio.Transport, line: bytes) -> None:
    """Writes a last line and closes without a lingering close, to free the descriptor at once."""
    if not transport.is_closing():
        transport.write(line)
        transport.close()
