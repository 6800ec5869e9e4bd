"""What must hold: asserted in debug runs, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

violations: Counter[str] = Counter()
_log = logging.getLogger("pointgw.invariant")


def check_invariant(holds: bool, what: str) -> bool:
    """True if it holds. `what` names the fault in a few fixed words, so that it can be counted."""
    if holds:
        return True
    if __debug__:
        raise AssertionError(what)
    violations[what] += 1
    if violations[what] <= 10:
        _log.error("broken", extra={"fields": {"what": what, "count": violations[what]}})
    return False
