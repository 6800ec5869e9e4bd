"""The operators' file in a running daemon: read at the start and again at SIGHUP."""

from __future__ import annotations

import logging
import os
import sys

import msgspec

from pointgw import operators, validation

_log = logging.getLogger("pointgw.operators")


class OperatorFile:
    """The settings in force. A file that is invalid changes nothing."""

    def __init__(self, path: str, settings: operators.OperatorSettings) -> None:
        self.path, self.settings = path, settings
        self._apply_log_level()

    @classmethod
    def load(cls, path: str) -> OperatorFile | None:
        """Reads the file. None, after a line for each problem on standard error, where it is invalid."""
        try:
            return cls(path, operators.read(path))
        except validation.InvalidFileError as error:
            for problem in error.problems:
                print(f"pointgw: {problem.message(path)}", file=sys.stderr)
            return None

    def reload(self) -> None:
        """Reads the file again; logs problems, or which sections need a restart."""
        before = self._restart_only()
        try:
            self.settings = operators.read(self.path)
        except validation.InvalidFileError as error:
            for problem in error.problems:
                _log.error("operators' file refused", extra={"fields": {"why": problem.message(self.path)}})
            return
        self._apply_log_level()
        after = self._restart_only()
        restart = ",".join(name for name, section in before.items() if after[name] != section) or "-"
        _log.info("operators' file read", extra={"fields": {"path": self.path, "need_restart": restart}})

    def _restart_only(self) -> dict[str, object]:
        """The sections whose changes take effect at a restart only."""
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
        """Seconds between two state lines; None: the default."""
        return self.settings.log.state_every if self.settings.log is not None else None


def _without_evacuation(tier: operators.TierSection | None) -> operators.TierSection | None:
    """The section without the zones to evacuate, which need no restart."""
    return msgspec.structs.replace(tier, evacuate=()) if tier is not None else None
