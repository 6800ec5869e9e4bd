"""Timers of what a peer is waited for: input that is ready when they fall due is read before they act.

The event loop runs timers before it reads. Where it is late, as this process was short of processor time, a
timer of its own would count an answer that has come in time as missing, and blame the peer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

INPUT_ITERATIONS = 3  # of the event loop, in which ready input is read and a new connection is reported


class InputFirstTimer:
    """Calls `callback` after `delay` seconds and once the input that is ready by then has been read."""

    __slots__ = ("callback", "handle", "loop")

    def __init__(self, loop: asyncio.AbstractEventLoop, delay: float, callback: Callable[[], None]) -> None:
        self.loop, self.callback = loop, callback
        self.handle: asyncio.Handle = loop.call_later(delay, self._let_input_go_first, INPUT_ITERATIONS)

    def _let_input_go_first(self, iterations: int) -> None:
        if iterations:
            self.handle = self.loop.call_soon(self._let_input_go_first, iterations - 1)
        else:
            self.callback()

    def cancel(self) -> None:
        """Drops the call; does nothing after it."""
        self.handle.cancel()
