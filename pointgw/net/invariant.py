"""What must hold: asserted in debug runs, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

broken: Counter[str] = Counter()
_log = logging.getLogger("pointgw.invariant")


def invariant(holds: bool, what: str) -> bool:
    """True if it holds. `what` names the fault in a few fixed words, so that it can be counted."""
    if holds:
        return True
    if __debug__:
        raise AssertionError(what)
    broken[what] += 1
    if broken[what] <= 10:
        _log.error("broken", extra={"fields": {"what": what, "count": broken[what]}})
    return False
