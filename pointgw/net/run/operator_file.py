"""The operators' file as the daemon holds it: read at the start and again at SIGHUP."""

from __future__ import annotations

import logging
import os
import sys

import msgspec

from pointgw import operators, validation

_log = logging.getLogger("pointgw.operators")


class OperatorFile:
    """The sections in force. A file with a fault changes nothing."""

    def __init__(self, path: str, settings: operators.OperatorSettings) -> None:
        self.path, self.settings = path, settings
        self._apply_log_level()

    @classmethod
    def load(cls, path: str) -> OperatorFile | None:
        """None, and a line for each fault on standard error, where the file can't be used."""
        try:
            return cls(path, operators.read(path))
        except validation.InvalidFileError as faulty:
            for fault in faulty.problems:
                print(f"pointgw: {fault.message(path)}", file=sys.stderr)
            return None

    def reload(self) -> None:
        before = self._restart_only()
        try:
            self.settings = operators.read(self.path)
        except validation.InvalidFileError as faulty:
            for fault in faulty.problems:
                _log.error("operators' file refused", extra={"fields": {"why": fault.message(self.path)}})
            return
        self._apply_log_level()
        now = self._restart_only()
        restart = ",".join(name for name, was in before.items() if now[name] != was) or "-"
        _log.info("operators' file read", extra={"fields": {"path": self.path, "need_restart": restart}})

    def _restart_only(self) -> dict[str, object]:
        """What a change of needs a restart."""
        return {
            "state": self.settings.state,
            "tier": _without_evacuation(self.settings.tier),
            "recovery": self.settings.recovery,
        }

    def _apply_log_level(self) -> None:
        if self.settings.log is not None:
            logging.getLogger().setLevel(self.settings.log.level.upper())
        else:
            logging.getLogger().setLevel(os.environ.get("POINTGW_LOG", "info").upper())

    @property
    def state_every(self) -> float | None:
        """Seconds between two state lines; None: as always."""
        return self.settings.log.state_every if self.settings.log is not None else None


def _without_evacuation(tier: operators.TierSection | None) -> operators.TierSection | None:
    """What of it needs a restart: all but the zones to be emptied."""
    return msgspec.structs.replace(tier, evacuate=()) if tier is not None else None
