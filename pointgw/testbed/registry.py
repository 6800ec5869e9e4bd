"""The registry of the stand-in discovery: servers, index, and the answer to each watch. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

KEPT_CHANGES = 200  # changes kept; a watch from an older index gets the whole list


class AnswerMode(Enum):
    """How discovery answers."""

    NORMAL = "well"
    SILENT = "silent"  # accepts requests and never answers
    BUSY = "503"  # HTTP status 503
    RESET = "reset"  # resets connections
    LATE = "late"  # answers after some seconds
    STALE = "stale"  # answers, but withholds changes


@dataclass(slots=True)
class Line:
    """A server's entry, without the address, which differs for each balancer."""

    name: str
    zone: str
    kind: str
    cell: int
    status: str
    since_ms: int  # start time, Unix milliseconds; 0: long ago


@dataclass(slots=True)
class Registry:
    """The servers that discovery lists, with an index that each change raises."""

    index: int = 1
    lines: dict[str, Line] = field(default_factory=dict)
    changes: list[tuple[int, Line]] = field(default_factory=list)
    answer_mode: AnswerMode = AnswerMode.NORMAL
    withheld: list[Line] = field(default_factory=list)  # changes withheld while answers are stale

    def apply(self, line: Line) -> bool:
        """Applies a change; False if it is withheld."""
        if self.answer_mode is AnswerMode.STALE:
            self.withheld.append(line)
            return False
        self.index += 1
        if line.status == "removed":
            self.lines.pop(line.name, None)
        else:
            self.lines[line.name] = line
        self.changes = [*self.changes, (self.index, line)][-KEPT_CHANGES:]
        return True

    def set_answer_mode(self, answer_mode: AnswerMode) -> list[Line]:
        """Changes the answer mode; returns the withheld changes, which are applied now."""
        self.answer_mode = answer_mode
        released, self.withheld = (
            ([], self.withheld) if answer_mode is AnswerMode.STALE else (self.withheld, [])
        )
        for line in released:
            self.apply(line)
        return released

    def reset_index(self) -> None:
        """Restarts the index at 1, as a discovery that lost its state does."""
        self.index, self.changes = 1, []

    def answer(self, after: int | None, addresses: dict[str, str]) -> dict[str, Any] | None:
        """The whole list, or the changes after index `after`; None if there are no changes yet."""
        oldest = self.changes[0][0] if self.changes else self.index + 1
        if after is None or after > self.index or (after < self.index and after + 1 < oldest):
            return self._answer_body(True, list(self.lines.values()), addresses)
        if after == self.index:
            return None
        latest = {line.name: line for index, line in self.changes if index > after}
        return self._answer_body(False, list(latest.values()), addresses)

    def unchanged_answer(self) -> dict[str, Any]:
        """The answer to a watch whose hold time ends without a change."""
        return {"index": self.index, "snapshot": False, "endpoints": []}

    def _answer_body(self, whole: bool, lines: list[Line], addresses: dict[str, str]) -> dict[str, Any]:
        return {
            "index": self.index,
            "snapshot": whole,
            "endpoints": [endpoint_entry(line, addresses) for line in lines],
        }


def endpoint_entry(line: Line, addresses: dict[str, str]) -> dict[str, Any]:
    """A server's entry as discovery writes it."""
    return {
        "name": line.name, "address": addresses[line.name], "zone": line.zone, "type": line.kind,
        "group": line.cell, "status": line.status, "weight": 1.0, "since_ms": line.since_ms,
    }  # fmt: skip
