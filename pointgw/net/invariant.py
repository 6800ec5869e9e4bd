"""Checks of invariants: asserted in debug runs, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

MAX_LOGGED = 10  # violations of one kind that are logged, each with a line

_log = logging.getLogger("pointgw.invariant")


class ViolationCounter(Counter[str]):
    """Counts invariant violations and internal errors of this process, and names the last one."""

    last = ""  # empty: there was none

    def record(self, name: str, about: str = "") -> int:
        """Counts one, and returns how many of its name there were."""
        self[name] += 1
        self.last = f"{name}: {about}" if about else name
        return self[name]

    def figures(self) -> dict[str, object]:
        """Fields of the state line; none where nothing was counted."""
        return {**self, "last_error": self.last} if self.last else {}

    def clear(self) -> None:
        """Forgets all."""
        super().clear()
        self.last = ""


violations = ViolationCounter()


def check_invariant(holds: bool, violation: str) -> bool:
    """Returns `holds`. `violation` names what does not hold in a few fixed words, by which it is counted.

    Raises AssertionError on a violation, except under `python -O`.
    """
    if holds:
        return True
    if __debug__:
        raise AssertionError(violation)
    count = violations.record(violation)
    if count <= MAX_LOGGED:
        _log.error("broken", extra={"fields": {"what": violation, "count": count}})
    return False
