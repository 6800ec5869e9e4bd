"""Calls to discovery, one at a time, on a connection that is kept while calls succeed."""

from __future__ import annotations

import asyncio
import logging
import time
from functools import partial
from typing import TYPE_CHECKING

from pointgw.net.core.effects import RequestList
from pointgw.net.core.events import ListReceived, ListRequestFailed
from pointgw.net.core.list_requests import LIST_RESPONSE_SECONDS, WATCH_RESPONSE_SECONDS
from pointgw.net.run.input_first_timer import InputFirstTimer
from pointgw.net.run.link import Link
from pointgw.net.wire import server_list
from pointgw.site import MalformedInputError

if TYPE_CHECKING:
    from pointgw.net.run.balancer_process import BalancerProcess

_log = logging.getLogger("pointgw.discovery")


class DiscoveryClient:
    """The call in progress, if any, and the connection to discovery."""

    __slots__ = ("address", "failing", "link", "names", "process", "request", "response", "task", "timer")

    def __init__(
        self, process: BalancerProcess, address: tuple[str, int], names: server_list.DeploymentNames
    ) -> None:
        self.process, self.address, self.names = process, address, names
        self.request: RequestList | None = None
        self.link: Link | None = None  # the current connection; data on others is ignored
        self.response = server_list.Response()  # being received on it
        self.timer: asyncio.TimerHandle | InputFirstTimer | None = None
        self.task: asyncio.Task[None] | None = None
        self.failing = False  # the last call failed, and that was logged

    def request_list(self, request: RequestList) -> None:
        """Starts a call for the server list, after its delay, once the changes so far are durable.

        The version that it names tells discovery that this balancer knows them."""
        self.request = request
        start = partial(self._start_call, request)
        if request.delay:
            self.timer = self.process.loop.call_later(request.delay, start)
        elif self.process.snapshots is not None:
            self.process.snapshots.when_changes_durable(start)
        else:
            start()

    def _start_call(self, request: RequestList) -> None:
        if request is not self.request:  # given up while it waited
            return
        timeout = request.wait + WATCH_RESPONSE_SECONDS if request.wait else LIST_RESPONSE_SECONDS
        on_timeout = partial(self.fail, "no answer", request.wait > 0)
        self.timer = InputFirstTimer(self.process.loop, timeout, on_timeout)
        if self.link is not None:
            self.on_connected()
        else:
            self.response = server_list.Response()
            self.link = link = Link(self)
            self.task = self.process.loop.create_task(self._connect(link))

    async def _connect(self, link: Link) -> None:
        try:
            await self.process.loop.create_connection(lambda: link, *self.address)
        except OSError as error:
            if link is self.link:
                self.fail(f"no connection: {error}")

    def on_connected(self) -> None:
        assert self.request is not None and self.link is not None
        host = f"{self.address[0]}:{self.address[1]}"
        self.link.send(server_list.encode_list_request(host, self.request.version, self.request.wait))

    def on_data(self, data: bytes) -> None:
        try:
            self.response.feed(data)
        except MalformedInputError as error:
            self.fail(str(error))
            return
        if self.response.pop_complete():
            self._handle_response(self.response)

    def on_lost(self) -> None:
        if self.request is not None and self.response.stream_ended():
            self._handle_response(self.response)
        else:
            self.fail("connection ended")

    def _handle_response(self, response: server_list.Response) -> None:
        if self.request is None:
            self._close()  # unsolicited response
            return
        if response.status != 200:
            self.fail(f"status {response.status}")
            return
        try:
            received = server_list.parse_server_list_body(bytes(response.body), self.names)
        except MalformedInputError as error:
            self.fail(str(error))
            return
        self.failing = False
        if invalid_count := self.process.invalid_field_log.record(received):
            self.process.count_refusal("list entry", f"{invalid_count} unusable values")
        self.end_call(keep=response.keep_alive)
        self.process.submit(ListReceived(received, time.time()))

    def fail(self, why: str, silent: bool = False) -> None:
        """Ends the call as failed, once, and closes its connection. `silent`: a watch had no answer."""
        if self.request is None:
            self._close()
            return
        self.end_call(keep=False)
        (_log.debug if self.failing else _log.warning)("call failed", extra={"fields": {"why": why}})
        self.failing = True
        self.process.submit(ListRequestFailed(silent))

    def end_call(self, keep: bool) -> None:
        """Ends the call in progress, if any; the connection stays open if `keep`."""
        self.request = None
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
