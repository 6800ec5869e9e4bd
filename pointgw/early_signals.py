"""A SIGHUP that comes before the daemon can take it: it would end the process, or be lost.

Nothing heavy is imported here: it is the first that the program loads.
"""

from __future__ import annotations

import signal
from types import FrameType

_noted = False


def _note(number: int, frame: FrameType | None) -> None:
    global _noted
    _noted = True


def install_handler() -> None:
    """From now on one is remembered, until the loop has a handler of its own for it."""
    signal.signal(signal.SIGHUP, _note)


def pop_sighup() -> bool:
    """Whether one came since; asked for once, when the handler stands."""
    global _noted
    was, _noted = _noted, False
    return was
