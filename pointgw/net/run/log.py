"""Logs as key=value lines on standard error, which never hold the process up."""

from __future__ import annotations

import logging
import os
import select
import socket
import stat

STANDARD_ERROR = 2
# A pipe that poll calls writable takes so many bytes without blocking (POSIX asks for 512 at least).
MAX_PIECE_BYTES = min(select.PIPE_BUF, 4096)


class KeyValueFormatter(logging.Formatter):
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
        return " ".join(f"{name}={self._quote(value)}" for name, value in pairs.items())

    @staticmethod
    def _quote(value: object) -> str:
        text = f"{value:.4g}" if isinstance(value, float) else str(value)
        if text and not any(mark in text for mark in ' "=\n'):
            return text
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


class NonBlockingHandler(logging.Handler):
    """Writes to a descriptor that others share, so that it can't be made non-blocking itself.

    Guards all clients against a log that nobody reads: a write to a full pipe would stop the event loop.
    A line for which there is no room is dropped and counted; the next that goes out tells the count first.
    """

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        super().__init__()
        self.descriptor, self.dropped, self.line_incomplete = descriptor, 0, False
        self.socket: socket.socket | None = None
        self.poll = select.poll()
        try:
            if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
                self.socket = socket.socket(fileno=os.dup(descriptor))
            self.poll.register(descriptor, select.POLLOUT)
        except OSError:
            self.descriptor = -1  # there is none: all lines are dropped

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if self.dropped and self._write(self._format_dropped_count(record)):
            self.dropped = 0
        if self.dropped or not self._write(line):
            self.dropped += 1

    def _format_dropped_count(self, record: logging.LogRecord) -> str:
        fields = {"lines": self.dropped}
        told = {"name": "pointgw.log", "msg": "lines dropped", "levelname": "WARNING", "fields": fields}
        return self.format(logging.makeLogRecord(told | {"created": record.created}))

    def _write(self, line: str) -> bool:
        """False: there was no room for it, or not for all of it."""
        data = (b"\n" if self.line_incomplete else b"") + line.encode("utf-8", "backslashreplace") + b"\n"
        at = 0
        try:
            while at < len(data):
                written = self._write_piece(data[at : at + MAX_PIECE_BYTES])
                if not written:
                    break
                at += written
        except OSError:
            pass  # the reader has gone: as if there were no room
        self.line_incomplete = 0 < at < len(data) or (self.line_incomplete and at == 0)
        return at == len(data)

    def _write_piece(self, piece: bytes) -> int:
        if self.descriptor < 0 or not self.poll.poll(0):
            return 0
        if self.socket is not None:
            return self.socket.send(piece, socket.MSG_DONTWAIT)
        return os.write(self.descriptor, piece)


def configure(level: str) -> None:
    handler = NonBlockingHandler()
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
