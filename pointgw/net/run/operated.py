"""The operators' file as the daemon holds it: read at the start and again at SIGHUP."""

from __future__ import annotations

import logging
import os
import sys

import msgspec

from pointgw import checked, operators

_log = logging.getLogger("pointgw.operators")


class Operated:
    """The sections in force. A file with a fault changes nothing."""

    def __init__(self, path: str, told: operators.Operators) -> None:
        self.path, self.told = path, told
        self._apply()

    @classmethod
    def begin(cls, path: str) -> Operated | None:
        """None, and a line for each fault on standard error, where the file can't be used."""
        try:
            return cls(path, operators.read(path))
        except checked.Faulty as faulty:
            for fault in faulty.faults:
                print(f"pointgw: {fault.line(path)}", file=sys.stderr)
            return None

    def again(self) -> None:
        before = self._fixed()
        try:
            self.told = operators.read(self.path)
        except checked.Faulty as faulty:
            for fault in faulty.faults:
                _log.error("operators' file refused", extra={"fields": {"why": fault.line(self.path)}})
            return
        self._apply()
        now = self._fixed()
        restart = ",".join(name for name, was in before.items() if now[name] != was) or "-"
        _log.info("operators' file read", extra={"fields": {"path": self.path, "need_restart": restart}})

    def _fixed(self) -> dict[str, object]:
        """What a change of needs a restart."""
        return {
            "state": self.told.state,
            "tier": _without(self.told.tier),
            "recovery": self.told.recovery,
        }

    def _apply(self) -> None:
        if self.told.log is not None:
            logging.getLogger().setLevel(self.told.log.level.upper())
        else:
            logging.getLogger().setLevel(os.environ.get("POINTGW_LOG", "info").upper())

    @property
    def state_every(self) -> float | None:
        """Seconds between two state lines; None: as always."""
        return self.told.log.state_every if self.told.log is not None else None


def _without(tier: operators.Tier | None) -> operators.Tier | None:
    """What of it needs a restart: all but the zones to be emptied."""
    return msgspec.structs.replace(tier, evacuate=()) if tier is not None else None
