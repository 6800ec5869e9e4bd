"""Tells whether a failed connection is the server's fault or a local one. No I/O, no clock.

Some error numbers prove a local fault, such as a lack of descriptors. A missing route may be either: it is
attributed to a server only if another server was reached since the server's last failure of that kind.
"""

from __future__ import annotations

import errno

from pointgw.interface import Ending

Address = tuple[str, int]

# Lack of a resource of this machine.
LOCAL_FAULT_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN)
)
# No route, either from this machine to all servers or to this one.
ROUTE_ERRNOS = frozenset((errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EACCES, errno.EPERM))
FAILURE_MEMORY_SECONDS = 30.0  # after this, a failure does not count as the previous one


class RouteEvidence:
    """Recent results of connecting to servers."""

    def __init__(self) -> None:
        self.failed_at: dict[Address, float] = {}  # last failure of each server for lack of a route
        self.last_connected: list[
            tuple[Address, float]
        ] = []  # the two servers last reached, the latest first

    def record_connected(self, address: Address, now: float) -> None:
        """Records that a connection was established."""
        others = [(other, at) for other, at in self.last_connected if other != address]
        self.last_connected = [(address, now), *others[:1]]
        self.failed_at.pop(address, None)

    def failure_ending(self, error: OSError, address: Address, now: float) -> Ending:
        """The ending of an attempt whose connection failed; "moot" is no evidence against the server."""
        if error.errno in LOCAL_FAULT_ERRNOS:
            return "moot"
        if error.errno not in ROUTE_ERRNOS:
            return "no-connection"
        before = self.failed_at.get(address)
        self.failed_at[address] = now
        if before is None or now - before > FAILURE_MEMORY_SECONDS:
            return "moot"
        reached_since = any(at > before for other, at in self.last_connected if other != address)
        return "no-connection" if reached_since else "moot"
