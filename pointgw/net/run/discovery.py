"""Calls to discovery, one after another, on a connection that is kept while calls succeed."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, cast

from pointgw.net.memory.effects import Ask
from pointgw.net.memory.events import ListFailed, Told
from pointgw.net.wire import listing
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.node import Node

# Seconds after the wait of a call from which what it had to tell counts as told, as the operators say ("2 s
# after that wait is over"). Half of it may go until the call is given up; the other half is the next one's.
TOLD_AFTER = 2.0
SPARE = TOLD_AFTER / 2
# Seconds for an answer that does not wait. Discovery works through calls in turn and says so itself where one
# waited too long: given up before that, each call only joins the end of the queue. Silence counts after 6 s.
SILENT_AFTER = 6.0
ANSWER = SILENT_AFTER - TOLD_AFTER

_log = logging.getLogger("pointgw.discovery")


class DiscoverySide:
    """The one call that is out, on whose behalf, and the connection it goes out on."""

    __slots__ = ("address", "asked", "failing", "link", "names", "node", "task", "timer")

    def __init__(self, node: Node, address: tuple[str, int], names: listing.Names) -> None:
        self.node, self.address, self.names = node, address, names
        self.asked: Ask | None = None
        self.link: DiscoveryLink | None = None  # the one connection whose bytes count
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.failing = False  # the last call failed, and the log says so

    def ask(self, asked: Ask) -> None:
        self.asked = asked
        if asked.after:
            self.timer = self.node.loop.call_later(asked.after, self._go, asked)
        else:
            self._go(asked)

    def _go(self, asked: Ask) -> None:
        within = asked.hold + SPARE if asked.hold else ANSWER
        self.timer = self.node.loop.call_later(within, self.failed, "no answer")
        if self.link is not None:
            self.link.send(self._request(asked))
        else:
            self.link = link = DiscoveryLink(self)
            self.task = self.node.loop.create_task(self._connect(link))

    async def _connect(self, link: DiscoveryLink) -> None:
        try:
            await self.node.loop.create_connection(lambda: link, *self.address)
        except OSError as fault:
            if link is self.link:
                self.failed(f"no connection: {fault}")

    def _request(self, asked: Ask) -> bytes:
        host = f"{self.address[0]}:{self.address[1]}"
        return listing.request(host, asked.version, asked.hold)

    def up(self, link: DiscoveryLink) -> None:
        assert self.asked is not None
        link.send(self._request(self.asked))

    def answered(self, link: DiscoveryLink) -> None:
        """A whole answer has come on the connection that counts."""
        response = link.response
        if self.asked is None:
            self._close()  # nothing was asked
            return
        if response.status != 200:
            self.failed(f"status {response.status}")
            return
        try:
            told = listing.body(bytes(response.data), self.names)
        except Malformed as fault:
            self.failed(str(fault))
            return
        self.failing = False
        self.over(keep=response.keeps_alive)
        self.node.feed(Told(told))

    def failed(self, why: str) -> None:
        """Whatever was wrong, a call fails once, and its connection goes with it."""
        if self.asked is None:
            self._close()
            return
        silent = why == "no answer" and self.asked.hold > 0
        self.over(keep=False)
        (_log.debug if self.failing else _log.warning)("call failed", extra={"fields": {"why": why}})
        self.failing = True
        self.node.feed(ListFailed(silent))

    def over(self, keep: bool) -> None:
        """No call is out any more."""
        self.asked = None
        if self.timer is not None:
            self.timer.cancel()
        if not keep:
            self._close()

    def _close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        link, self.link = self.link, None
        if link is not None:
            link.close()


class DiscoveryLink(asyncio.Protocol):
    """One connection. Once its owner has let go of it, nothing that still happens to it counts."""

    __slots__ = ("owner", "response", "transport")

    def __init__(self, owner: DiscoverySide) -> None:
        self.owner, self.response = owner, listing.Response()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.owner.link is self:
            self.owner.up(self)
        else:
            self.transport.abort()  # a dial that was given up, and came up all the same

    def send(self, request: bytes) -> None:
        """Before it is up nothing goes out: `up` does so then."""
        if self.transport is not None:
            self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        if self.owner.link is not self:
            return
        try:
            self.response.feed(data)
        except Malformed as fault:
            self.owner.failed(str(fault))
            return
        if self.response.take_done():
            self.owner.answered(self)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.owner.link is self:
            self.owner.failed("connection ended")
