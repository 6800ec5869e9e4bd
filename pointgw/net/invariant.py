"""Checks of invariants: asserted in debug runs, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

violations: Counter[str] = Counter()
_log = logging.getLogger("pointgw.invariant")


def check_invariant(holds: bool, what: str) -> bool:
    """Returns `holds`. `what` names the violation in a few fixed words, by which it is counted.

    Raises AssertionError on a violation, except under `python -O`.
    """
    if holds:
        return True
    if __debug__:
        raise AssertionError(what)
    violations[what] += 1
    if violations[what] <= 10:
        _log.error("broken", extra={"fields": {"what": what, "count": violations[what]}})
    return False
