"""A connection that its owner dials and keeps, one call at a time on it: probes and calls to discovery."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast


class LinkOwner(Protocol):
    """Who dials. What happens to another connection than its `link` does not count."""

    @property
    def link(self) -> Link | None: ...

    def on_connected(self) -> None:
        """The link is up, and nothing was written to it."""

    def on_data(self, data: bytes) -> None: ...

    def on_lost(self) -> None:
        """The link has ended, and not by `close`."""


class Link(asyncio.Protocol):
    """One connection, never reused for the next."""

    __slots__ = ("owner", "transport")

    def __init__(self, owner: LinkOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None

    @property
    def is_connected(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.owner.link is self:
            self.owner.on_connected()
        else:
            self.transport.abort()  # a dial that was given up, and came up all the same

    def send(self, data: bytes) -> None:
        """Before it is up nothing goes out: `up` sees to that then."""
        if self.transport is not None:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.owner.link is self:
            self.owner.on_data(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.owner.link is self:
            self.owner.on_lost()
