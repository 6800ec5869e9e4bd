"""What a fault box is told to do: rules in TOML, each for some connections, a direction, a moment, an act."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec

Act = Literal[
    "delay", "rate", "stall", "end", "reset", "half-close", "drop", "double", "garble", "replace", "refuse"
]
Count = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
CONTINUOUS_ACTS = ("delay", "rate")
LINE_ACTS = ("drop", "double", "garble", "replace")
CONNECTION_ACTS = ("end", "reset", "refuse")


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One rule. Which connections, which way, from when on, what is done.

    A moment is a byte, a line or a time of the connection, counted from 0 in that direction. Bytes and lines
    decide the same at each run; a time does so only as far as the machine keeps it.
    """

    act: Act
    way: Literal["up", "down", "both"] = "both"  # up: from the one who connects
    first: Count = 0  # connections by number, from this one on
    every: Positive = 1  # of these each n-th
    share: Share = 1.0  # of these by chance
    after_bytes: Count | None = None
    after_lines: Count | None = None
    after_seconds: Seconds | None = None
    seconds: Seconds = 0.0  # delay: of each line; stall: how long (0: for good)
    jitter: Seconds = 0.0  # delay: up to this much more, by chance
    grow: Seconds = 0.0  # delay: more with each line
    bytes_per_second: Positive | None = None  # rate
    times: Positive = 1  # drop, double, garble, replace: how many lines
    find: str = ""  # replace: what a line begins with
    put: str = ""  # replace: what it begins with afterwards

    def check(self) -> Iterator[tuple[str, object, str]]:
        moments = [self.after_bytes, self.after_lines, self.after_seconds]
        if sum(moment is not None for moment in moments) > 1:
            yield "after_bytes", self.after_bytes, "one of after_bytes, after_lines and after_seconds"
        if self.act == "rate" and self.bytes_per_second is None:
            yield "bytes_per_second", None, "a number of bytes, as act is 'rate'"
        if self.act == "delay" and not (self.seconds or self.jitter or self.grow):
            yield "seconds", self.seconds, "seconds, jitter or grow over 0, as act is 'delay'"
        if self.act == "replace" and not self.find:
            yield "find", self.find, "what a line begins with, as act is 'replace'"
        if self.act in LINE_ACTS and self.after_bytes is not None:
            yield "after_bytes", self.after_bytes, f"after_lines or after_seconds, as act is {self.act!r}"


class Script(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All rules of a box."""

    rule: tuple[Rule, ...] = ()
    # How connections are told apart for chance: by the order they come in, or by their first line, which
    # gives the same choices and trace in whatever order they come.
    known_by: Literal["order", "first-line"] = "order"

    def check(self) -> Iterator[tuple[str, object, str]]:
        for i, rule in enumerate(self.rule):
            if self.known_by == "first-line" and (rule.act == "refuse" or rule.first or rule.every > 1):
                yield f"rule[{i}].first", rule.first, "no number of a connection, as known_by is 'first-line'"
