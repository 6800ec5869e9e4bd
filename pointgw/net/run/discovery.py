"""Calls to discovery, one after another on a connection that is kept."""

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

SPARE = 1.5  # seconds that an answer may take beyond the time the call may wait

_log = logging.getLogger("pointgw.discovery")


class DiscoverySide(asyncio.Protocol):
    __slots__ = ("address", "asked", "names", "node", "response", "task", "timer", "transport")

    def __init__(self, node: Node, address: tuple[str, int], names: listing.Names) -> None:
        self.node, self.address, self.names = node, address, names
        self.asked: Ask | None = None
        self.response = listing.Response()
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def ask(self, asked: Ask) -> None:
        self.asked = asked
        self.timer = self.node.loop.call_later(asked.hold + SPARE, self._fail, "no answer")
        if self.transport is not None:
            self._send()
        else:
            self.task = self.node.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self.node.loop.create_connection(lambda: self, *self.address)
        except OSError as fault:
            self._fail(f"no connection: {fault}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.asked is not None:
            self._send()

    def _send(self) -> None:
        assert self.transport is not None and self.asked is not None
        host = f"{self.address[0]}:{self.address[1]}"
        self.transport.write(listing.request(host, self.asked.after, self.asked.hold))

    def data_received(self, data: bytes) -> None:
        try:
            self.response.feed(data)
            if not self.response.done or self.asked is None:
                return
            self.response.done = False
            if self.response.status != 200:
                self._fail(f"status {self.response.status}")
                return
            told = listing.body(bytes(self.response.data), self.names)
        except Malformed as fault:
            self._fail(str(fault))
            return
        self.over(keep=self.response.keeps_alive)
        self.node.feed(Told(told))

    def _fail(self, why: str) -> None:
        if self.asked is not None:
            self.over(keep=False)
            _log.warning("call failed", extra={"fields": {"why": why}})
            self.node.feed(ListFailed())

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
        transport, self.transport = self.transport, None
        self.response = listing.Response()
        if transport is not None:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.transport = None
            self.response = listing.Response()
            self._fail("connection ended")
