"""The script of a fault proxy: rules in TOML, each with its connections, direction, moment and act."""

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
CONTINUOUS_ACTS = ("delay", "rate")  # from the moment on
LINE_ACTS = ("drop", "double", "garble", "replace")  # on `Rule.times` lines
CONNECTION_ACTS = ("end", "reset", "refuse")  # on both directions


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One rule: for which connections, in which direction, from which moment on, which act.

    The moment is a byte, a line or a time of the connection, counted from 0 in that direction. Bytes and
    lines are the same in each run; a time is only as exact as the machine's scheduling.
    """

    act: Act
    way: Literal["up", "down", "both"] = "both"  # up: from the client to the target
    first: Count = 0  # number of the first connection concerned
    every: Positive = 1  # each n-th connection from there on
    share: Share = 1.0  # share of these, chosen at random
    after_bytes: Count | None = None
    after_lines: Count | None = None
    after_seconds: Seconds | None = None
    seconds: Seconds = 0.0  # delay: of each line; stall: duration (0: for good)
    jitter: Seconds = 0.0  # delay: random addition, at most this
    grow: Seconds = 0.0  # delay: addition for each line before
    bytes_per_second: Positive | None = None  # rate
    times: Positive = 1  # drop, double, garble, replace: number of lines
    find: str = ""  # replace: start of the lines concerned
    put: str = ""  # replace: the new start

    def check(self) -> Iterator[tuple[str, object, str]]:
        """Problems across keys, for `validation`: key, value, what was expected."""
        moments = [self.after_bytes, self.after_lines, self.after_seconds]
        if sum(moment is not None for moment in moments) > 1:
            yield "after_bytes", self.after_bytes, "one of after_bytes, after_lines and after_seconds"
        if self.act == "rate" and self.bytes_per_second is None:
            yield "bytes_per_second", None, "a number of bytes, as act is 'rate'"
        if self.act == "delay" and not (self.seconds or self.jitter or self.grow):
            yield "seconds", self.seconds, "seconds, jitter or grow over 0, as act is 'delay'"
        if self.act == "replace" and not self.find:
            yield "find", self.find, "the start of a line, as act is 'replace'"
        if self.act in LINE_ACTS and self.after_bytes is not None:
            yield "after_bytes", self.after_bytes, f"after_lines or after_seconds, as act is {self.act!r}"


class Script(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All rules of a fault proxy."""

    rule: tuple[Rule, ...] = ()
    # What seeds the random choices of a connection: its number in order of arrival, or its first line, which
    # gives the same choices and trace for any order of arrival.
    known_by: Literal["order", "first-line"] = "order"

    def check(self) -> Iterator[tuple[str, object, str]]:
        """Problems across keys, for `validation`: key, value, what was expected."""
        for i, rule in enumerate(self.rule):
            if self.known_by == "first-line" and (rule.act == "refuse" or rule.first or rule.every > 1):
                yield f"rule[{i}].first", rule.first, "no number of a connection, as known_by is 'first-line'"
