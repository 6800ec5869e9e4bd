"""What a balancer process may use: descriptors and memory, by the start-up file and the system."""

from __future__ import annotations

import resource

from pointgw.net.run import tcp
from pointgw.net.wire.lines import MAX_LINE_BYTES

SPARE_DESCRIPTOR_SHARE = 1 / 8  # share of the descriptors that idle connections have to leave free
OWN_DESCRIPTORS = 16  # descriptors that the process itself uses
BUFFER_MEMORY_SHARE = 1 / 2  # share of the memory limit that connections' buffers may take
UNLIMITED_DESCRIPTORS = 2**20  # taken where the system sets no limit


def descriptor_limit(configured: int) -> int:
    """Descriptors that this process may hold: the configured number (0: none), or the system's if lower."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limit = limit if limit > 0 else UNLIMITED_DESCRIPTORS  # -1: no limit
    return min(configured or limit, limit)


def descriptor_budget(limit: int) -> int:
    """Descriptors of a limit that connections may use."""
    return int(limit * (1 - SPARE_DESCRIPTOR_SHARE)) - OWN_DESCRIPTORS


def buffer_limit(memory_bytes: int, connections: int) -> int:
    """Bytes that one connection may buffer, so that all of them need half of the memory (0: not limited).

    Each keeps what was read at one time, as much again, and a line without its end.
    """
    if not memory_bytes:
        return tcp.BUFFER_LIMIT
    share = int(BUFFER_MEMORY_SHARE * memory_bytes / connections)
    return min(max((share - MAX_LINE_BYTES) // 2, tcp.MIN_BUFFER_LIMIT), tcp.BUFFER_LIMIT)
