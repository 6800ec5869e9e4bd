"""Logs as key=value lines on standard error."""

from __future__ import annotations

import logging
import sys


class KeyValue(logging.Formatter):
    """`at=... level=... from=... event=...` and what the caller gave as `extra={"fields": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "from": record.name,
            "event": record.getMessage(),
        }
        pairs |= getattr(record, "fields", {})
        if record.exc_info:
            pairs["fault"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={self._shown(value)}" for name, value in pairs.items())

    @staticmethod
    def _shown(value: object) -> str:
        text = f"{value:.4g}" if isinstance(value, float) else str(value)
        if text and not any(mark in text for mark in ' "=\n'):
            return text
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def begin(level: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level, handlers=[handler], force=True)
