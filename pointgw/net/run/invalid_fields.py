"""Logs each unusable value of the server list once."""

from __future__ import annotations

import logging

from pointgw.net.wire.server_list import InvalidField, ServerList

MAX_REMEMBERED = 4096  # values; further ones are counted in the state line only

_log = logging.getLogger("pointgw.discovery")


class InvalidFieldLog:
    """Remembers which unusable values were logged, however often lists repeat them."""

    def __init__(self) -> None:
        self.logged: set[InvalidField] = set()

    def record(self, received: ServerList) -> int:
        """Logs the unusable values that are new; returns how many the list has."""
        for invalid in received.invalid_fields:
            if invalid not in self.logged and len(self.logged) < MAX_REMEMBERED:
                self.logged.add(invalid)
                fields = {"server": invalid.server or "-", "key": invalid.key, "value": invalid.value}
                _log.warning("unusable list field", extra={"fields": fields})
        return len(received.invalid_fields)
