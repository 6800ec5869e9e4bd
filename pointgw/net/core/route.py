"""Whose fault it is that a connection can't be made: the server's, or this machine's way to all of them.

No I/O, no clock. An error number says of some faults that they are ours, as a lack of descriptors. A missing
route may be either: it is held against a server only if another one was reached since it last failed so.
"""

from __future__ import annotations

import errno

from pointgw.interface import Ending

Address = tuple[str, int]

# A lack of this machine's own.
LOCAL_FAULT_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN)
)
# The way there: this machine's to all, or the server's.
ROUTE_ERRNOS = frozenset((errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EACCES, errno.EPERM))
FAILURE_MEMORY_SECONDS = 30.0  # seconds for which a failure counts as the one before


class RouteEvidence:
    """What connections to servers have shown lately."""

    def __init__(self) -> None:
        self.failed_at: dict[Address, float] = {}  # by server: the last failure for want of a route
        self.last_connected: list[
            tuple[Address, float]
        ] = []  # the two servers reached last, the latest first

    def record_connected(self, address: Address, now: float) -> None:
        """A connection came up."""
        others = [(other, at) for other, at in self.last_connected if other != address]
        self.last_connected = [(address, now), *others[:1]]
        self.failed_at.pop(address, None)

    def failure_ending(self, fault: OSError, address: Address, now: float) -> Ending:
        """How an attempt ends whose connection failed: "moot" says nothing of the server."""
        if fault.errno in LOCAL_FAULT_ERRNOS:
            return "moot"
        if fault.errno not in ROUTE_ERRNOS:
            return "no-connection"
        before = self.failed_at.get(address)
        self.failed_at[address] = now
        if before is None or now - before > FAILURE_MEMORY_SECONDS:
            return "moot"
        reached_since = any(at > before for other, at in self.last_connected if other != address)
        return "no-connection" if reached_since else "moot"
