"""A kept connection for one call at a time, opened by its owner: probes and calls to discovery."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast


class LinkOwner(Protocol):
    """Opens and uses a link. Events on any connection but its current `link` are ignored."""

    @property
    def link(self) -> Link | None: ...

    def on_connected(self) -> None:
        """The link is up, and nothing was written to it yet."""

    def on_data(self, data: bytes) -> None:
        """Data has arrived on the link."""
        ...

    def on_lost(self) -> None:
        """The link has ended, and not by the owner's `close`."""


class Link(asyncio.Protocol):
    """One connection; the object is not reused for the next one."""

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
            self.transport.abort()  # connected after its owner had given it up

    def send(self, data: bytes) -> None:
        """Does nothing before the link is up; the owner's `on_connected` sends then."""
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
