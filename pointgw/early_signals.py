"""Records a SIGHUP that arrives before the daemon can handle it and would end the process or be lost.

Nothing heavy is imported here: this is the first module that the program loads.
"""

from __future__ import annotations

import signal
from types import FrameType

_received = False


def _record(number: int, frame: FrameType | None) -> None:
    global _received
    _received = True


def install_handler() -> None:
    """Records SIGHUP from now on, until the event loop installs its own handler."""
    signal.signal(signal.SIGHUP, _record)


def pop_sighup() -> bool:
    """Whether a SIGHUP was recorded, which this clears; called once, after the loop has its handler."""
    global _received
    received, _received = _received, False
    return received
