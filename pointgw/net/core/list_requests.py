"""Requests for the server list: when the next one is due, and how far the last list can be believed.

One request is in progress at a time. Each answer is followed by a watch, a request that discovery holds until
the list changes. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from math import inf

from pointgw.net.core.effects import RequestList
from pointgw.net.wire.start_up import StartUpSettings

# Where the list is pushed, the pause after a failed request, as a share of the drain grace.
PUSHED_RETRY_SHARE = 0.25
MIN_PUSHED_RETRY_SECONDS = 0.01  # shortest such pause
# Rule 3: the list of a reachable discovery counts as known after this time, whatever failed before.
LIST_DEADLINE_SECONDS = 6.0
# The same, in seconds after the wait of a watch (a request that discovery holds until the list changes).
WATCH_DEADLINE_SECONDS = 2.0
WATCH_RESPONSE_SECONDS = WATCH_DEADLINE_SECONDS / 2  # a reachable discovery answers within this
# Longest time in which a reachable discovery answers a request that does not wait. It serves requests in turn
# and itself reports one that has waited for longer. Two such times fit before the deadline: that of a request
# which fails, and that of the next.
MAX_ANSWER_SECONDS = LIST_DEADLINE_SECONDS / 2
SOCKET_SLACK_SECONDS = 0.05  # added to time limits where messages pass through sockets
# Timeout of a request that does not wait. Giving up earlier would only put the next request at the end of
# discovery's queue.
LIST_RESPONSE_SECONDS = MAX_ANSWER_SECONDS + SOCKET_SLACK_SECONDS
# Longest time from sending a request that fails to sending the next: discovery may become reachable right
# after the first, and the answer to the next has to come before the deadline. Requests that fail at once
# thus leave long pauses, which spare an overloaded discovery.
NEXT_REQUEST_SECONDS = LIST_DEADLINE_SECONDS - MAX_ANSWER_SECONDS
# Pause after the first failure; doubled after each further one, and randomly cut by up to half.
FIRST_RETRY_PAUSE_SECONDS = NEXT_REQUEST_SECONDS / 8
# Rule 3: what another agent of a pushed list has counts as known this long after a switch to it.
SWITCH_DEADLINE_SECONDS = 4.0
# Wait of a watch, as a share of the list poll interval (after which a balancer that does not ask counts as
# informed).
WATCH_WAIT_SHARE = 0.5


class ListStatus(Enum):
    """How far the server list can be believed; the values appear in the log.

    Unless it is current a newer list may be on its way: that a server is missing from it says nothing.
    """

    UNCONFIRMED = "unconfirmed"  # from the start-up file or a snapshot; discovery has not answered yet
    CURRENT = "current"  # discovery has answered, and its watch has not broken since
    OUTDATED = "outdated"  # the watch broke, a call failed, or discovery was switched


class ListRequests:
    """The request in progress, if any, and the version and status of the last list.

    `uniform`: draws a random number between two bounds. Methods return the request to send, None if one is
    in progress already.
    """

    def __init__(self, start: StartUpSettings, uniform: Callable[[float, float], float], now: float) -> None:
        self.uniform = uniform
        self.version: int | None = start.known_list.version  # None: the next request is for the complete list
        self.status = ListStatus.UNCONFIRMED
        self.in_progress = False
        self.is_watch, self.sent_at = False, now  # of the last request
        self.watch_wait = WATCH_WAIT_SHARE * start.site.list_poll_interval
        self.retry_pause = FIRST_RETRY_PAUSE_SECONDS  # after the next request that fails
        # Rule 3: a pushed list counts as known at once, so it is requested without a pause.
        self.is_pushed = not start.site.list_is_polled
        # Time from which on the last list must not be used, as discovery may have a newer one that counts as
        # known. What has been pushed to its agent counts from the start, before this process has any of it.
        self.valid_until = -inf if self.is_pushed else inf
        self.pushed_retry_pause = max(
            PUSHED_RETRY_SHARE * start.drain_grace, start.site.timer_resolution, MIN_PUSHED_RETRY_SECONDS
        )

    def request(self, now: float, wait: float = 0.0, delay: float = 0.0) -> RequestList | None:
        """Requests the list after `delay` seconds; discovery may hold the request for `wait` seconds."""
        if self.in_progress:
            return None
        self.in_progress, self.is_watch, self.sent_at = True, wait > 0.0, now + delay
        return RequestList(self.version, wait, delay)

    def received(self, version: int, now: float) -> RequestList | None:
        """Discovery has answered: goes on with a watch."""
        self.in_progress, self.version, self.status = False, version, ListStatus.CURRENT
        self.valid_until = inf
        self.retry_pause = FIRST_RETRY_PAUSE_SECONDS
        return self.request(now, self.watch_wait)

    def failed(self, silent: bool, now: float) -> RequestList | None:
        """Requests the list again before it counts as known (rule 3), at a random time to spread the load.

        `silent`: a watch without any answer well after its wait.
        """
        self.in_progress = False
        self._mark_outdated()
        if self.is_pushed:
            return self.request(now, delay=self.pushed_retry_pause)
        if silent:  # the changes it missed soon count as known
            return self.request(now)
        # A watch has delivered every change until it broke.
        began = now if self.is_watch else self.sent_at
        remaining = max(0.0, began + NEXT_REQUEST_SECONDS - now)
        delay = min(self.retry_pause, remaining) * self.uniform(0.5, 1.0)
        self.retry_pause = min(2 * self.retry_pause, NEXT_REQUEST_SECONDS)
        return self.request(now, delay=delay)

    def switched(self, now: float) -> RequestList | None:
        """Another discovery is asked, which may number its versions anew: requests the complete list.

        That the former discovery was unreachable says nothing about this one.
        """
        self.in_progress, self.version = False, None
        self.retry_pause = FIRST_RETRY_PAUSE_SECONDS
        self._mark_outdated()
        if self.is_pushed:
            self.valid_until = min(self.valid_until, now + SWITCH_DEADLINE_SECONDS)
        return self.request(now)

    def _mark_outdated(self) -> None:
        if self.status is ListStatus.CURRENT:
            self.status = ListStatus.OUTDATED
