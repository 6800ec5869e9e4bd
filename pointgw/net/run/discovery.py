"""Calls to discovery, one after another, on a connection that is kept while calls succeed."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from pointgw.net.core.effects import RequestList
from pointgw.net.core.events import ListReceived, ListRequestFailed
from pointgw.net.core.reducer import LIST_RESPONSE_SECONDS, WATCH_RESPONSE_SECONDS
from pointgw.net.run.link import Link
from pointgw.net.wire import server_list
from pointgw.site import Malformed

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess

_log = logging.getLogger("pointgw.discovery")


class DiscoverySide:
    """The one call that is out, on whose behalf, and the connection it goes out on."""

    __slots__ = ("address", "asked", "failing", "link", "names", "node", "response", "task", "timer")

    def __init__(self, node: BalancerProcess, address: tuple[str, int], names: server_list.Names) -> None:
        self.node, self.address, self.names = node, address, names
        self.asked: RequestList | None = None
        self.link: Link | None = None  # the one connection whose bytes count
        self.response = server_list.Response()  # what comes on it
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.failing = False  # the last call failed, and the log says so

    def ask(self, asked: RequestList) -> None:
        self.asked = asked
        if asked.delay:
            self.timer = self.node.loop.call_later(asked.delay, self._go, asked)
        else:
            self._go(asked)

    def _go(self, asked: RequestList) -> None:
        within = asked.wait + WATCH_RESPONSE_SECONDS if asked.wait else LIST_RESPONSE_SECONDS
        self.timer = self.node.loop.call_later(within, self.failed, "no answer", asked.wait > 0)
        if self.link is not None:
            self.up()
        else:
            self.response = server_list.Response()
            self.link = link = Link(self)
            self.task = self.node.loop.create_task(self._connect(link))

    async def _connect(self, link: Link) -> None:
        try:
            await self.node.loop.create_connection(lambda: link, *self.address)
        except OSError as fault:
            if link is self.link:
                self.failed(f"no connection: {fault}")

    def up(self) -> None:
        assert self.asked is not None and self.link is not None
        host = f"{self.address[0]}:{self.address[1]}"
        self.link.send(server_list.encode_list_request(host, self.asked.version, self.asked.wait))

    def heard(self, data: bytes) -> None:
        try:
            self.response.feed(data)
        except Malformed as fault:
            self.failed(str(fault))
            return
        if self.response.pop_complete():
            self._answered(self.response)

    def lost(self) -> None:
        if self.asked is not None and self.response.stream_ended():
            self._answered(self.response)
        else:
            self.failed("connection ended")

    def _answered(self, response: server_list.Response) -> None:
        if self.asked is None:
            self._close()  # nothing was asked
            return
        if response.status != 200:
            self.failed(f"status {response.status}")
            return
        try:
            told = server_list.parse_server_list_body(bytes(response.body), self.names)
        except Malformed as fault:
            self.failed(str(fault))
            return
        self.failing = False
        if told.invalid_entries:
            self.node.refused("list entry", f"{told.invalid_entries} that can't be used")
        self.over(keep=response.keep_alive)
        self.node.feed(ListReceived(told, time.time()))

    def failed(self, why: str, silent: bool = False) -> None:
        """Whatever was wrong, a call fails once, and its connection goes with it. `silent`: a watch of which
        nothing came."""
        if self.asked is None:
            self._close()
            return
        self.over(keep=False)
        (_log.debug if self.failing else _log.warning)("call failed", extra={"fields": {"why": why}})
        self.failing = True
        self.node.feed(ListRequestFailed(silent))

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
