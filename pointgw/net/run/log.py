"""Logging as key=value lines on standard error, without ever blocking the process."""

from __future__ import annotations

import logging
import os
import select
import socket
import stat

STANDARD_ERROR = 2
# Bytes that a pipe which poll reports as writable takes without blocking (POSIX: 512 or more).
MAX_PIECE_BYTES = min(select.PIPE_BUF, 4096)


class KeyValueFormatter(logging.Formatter):
    """Formats `at=... level=... from=... event=...` and the caller's `extra={"fields": {...}}`."""

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
        if text and not any(char in text for char in ' "=\n'):
            return text
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


class NonBlockingHandler(logging.Handler):
    """Writes without blocking to a descriptor that other processes share, so that O_NONBLOCK can't be set.

    Guards all clients against a log that nobody reads: a write to a full pipe would block the event loop.
    A line that does not fit is dropped and counted; before the next line written, one line gives the count.
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
            self.descriptor = -1  # not open: all lines are dropped

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
        values = {"name": "pointgw.log", "msg": "lines dropped", "levelname": "WARNING", "fields": fields}
        return self.format(logging.makeLogRecord(values | {"created": record.created}))

    def _write(self, line: str) -> bool:
        """Writes a line. False: it was not written, or only a part of it."""
        data = (b"\n" if self.line_incomplete else b"") + line.encode("utf-8", "backslashreplace") + b"\n"
        written = 0
        try:
            while written < len(data):
                count = self._write_piece(data[written : written + MAX_PIECE_BYTES])
                if not count:
                    break
                written += count
        except OSError:
            pass  # the reader has gone: handled like a full pipe
        self.line_incomplete = 0 < written < len(data) or (self.line_incomplete and written == 0)
        return written == len(data)

    def _write_piece(self, piece: bytes) -> int:
        """Returns the number of bytes written, 0 where the descriptor is not writable."""
        if self.descriptor < 0 or not self.poll.poll(0):
            return 0
        if self.socket is not None:
            return self.socket.send(piece, socket.MSG_DONTWAIT)
        return os.write(self.descriptor, piece)


def configure(level: str) -> None:
    """Makes the root logger write to standard error, at `level` and above."""
    handler = NonBlockingHandler()
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
