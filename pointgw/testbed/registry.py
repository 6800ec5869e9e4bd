"""What the stand-in discovery knows: servers, versions, and what each watch must be told. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

KEPT_CHANGES = 200  # changes after which an old version is answered with the whole list


class AnswerMode(Enum):
    """How discovery answers."""

    NORMAL = "well"
    SILENT = "silent"  # takes calls and says nothing
    BUSY = "503"
    RESET = "reset"
    LATE = "late"  # answers after some seconds
    STALE = "stale"  # answers, and holds changes back


@dataclass(slots=True)
class Line:
    """A server's line, without the address, which each balancer is told its own of."""

    name: str
    zone: str
    kind: str
    cell: int
    status: str
    since_ms: int


@dataclass(slots=True)
class Registry:
    index: int = 1
    lines: dict[str, Line] = field(default_factory=dict)
    changes: list[tuple[int, Line]] = field(default_factory=list)
    answer_mode: AnswerMode = AnswerMode.NORMAL
    held_back: list[Line] = field(default_factory=list)  # changes while stale

    def apply(self, line: Line) -> bool:
        """Takes a change; False where it is held back."""
        if self.answer_mode is AnswerMode.STALE:
            self.held_back.append(line)
            return False
        self.index += 1
        if line.status == "removed":
            self.lines.pop(line.name, None)
        else:
            self.lines[line.name] = line
        self.changes = [*self.changes, (self.index, line)][-KEPT_CHANGES:]
        return True

    def set_answer_mode(self, serving: AnswerMode) -> list[Line]:
        """Turns to another way of answering; gives what was held back and is told now."""
        self.answer_mode = serving
        told, self.held_back = ([], self.held_back) if serving is AnswerMode.STALE else (self.held_back, [])
        for line in told:
            self.apply(line)
        return told

    def reset_index(self) -> None:
        """A discovery that lost its memory counts its versions anew."""
        self.index, self.changes = 1, []

    def answer(self, after: int | None, addresses: dict[str, str]) -> dict[str, Any] | None:
        """The whole list, or what came after a version; None where a watch has nothing to tell yet."""
        oldest = self.changes[0][0] if self.changes else self.index + 1
        if after is None or after > self.index or (after < self.index and after + 1 < oldest):
            return self._answer_body(True, list(self.lines.values()), addresses)
        if after == self.index:
            return None
        latest = {line.name: line for index, line in self.changes if index > after}
        return self._answer_body(False, list(latest.values()), addresses)

    def unchanged_answer(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": False, "endpoints": []}

    def _answer_body(self, whole: bool, lines: list[Line], addresses: dict[str, str]) -> dict[str, Any]:
        return {
            "index": self.index,
            "snapshot": whole,
            "endpoints": [endpoint_entry(x, addresses) for x in lines],
        }


def endpoint_entry(line: Line, addresses: dict[str, str]) -> dict[str, Any]:
    """A server's line as discovery writes it."""
    return {
        "name": line.name, "address": addresses[line.name], "zone": line.zone, "type": line.kind,
        "group": line.cell, "status": line.status, "weight": 1.0, "since_ms": line.since_ms,
    }  # fmt: skip
