"""Checks of invariants: asserted in debug runs, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

violations: Counter[str] = Counter()
_log = logging.getLogger("pointgw.invariant")


def check_invariant(holds: bool, violation: str) -> bool:
    """Returns `holds`. `violation` names what does not hold in a few fixed words, by which it is counted.

    Raises AssertionError on a violation, except under `python -O`.
    """
    if holds:
        return True
    if __debug__:
        raise AssertionError(violation)
    violations[violation] += 1
    if violations[violation] <= 10:
        _log.error("broken", extra={"fields": {"what": violation, "count": violations[violation]}})
    return False
