"""Decides what happens to each byte of a connection from the script and a seed alone. No I/O, no clock.

A `Schedule` handles one direction of one connection: it takes bytes, with the time since the connection
began, and returns steps. Choices depend on line and byte numbers, not on how the bytes were split into reads,
so the same seed gives the same choices and the same trace.

Known limits: a line to be doubled, replaced or garbled is held until its end, up to `MAX_HELD_BYTES`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from pointgw.fault_proxy.script import CONNECTION_ACTS, CONTINUOUS_ACTS, LINE_ACTS, Rule, Script

MAX_HELD_BYTES = 64 * 1024  # of a line to be modified; a longer one is forwarded unchanged
NEWLINE = 10  # value of b"\n"


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward bytes `delay` seconds after they came, at most `rate` bytes per second (None: unlimited)."""

    data: bytes
    delay: float
    rate: int | None


@dataclass(frozen=True, slots=True)
class Stall:
    """Forward nothing in this direction for `seconds` (0: for good)."""

    seconds: float


@dataclass(frozen=True, slots=True)
class HalfClose:
    """End this direction; the other goes on."""


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection at once, by a TCP reset if `reset`."""

    reset: bool


Step = Forward | Stall | HalfClose | Close


@dataclass(frozen=True, slots=True)
class TraceEntry:
    """One line of the trace: an act of a rule, and the byte and line of the direction where it began."""

    direction: str
    rule: int
    act: str
    byte: int
    line: int
    detail: str = ""

    def text(self, connection: str) -> str:
        """The line of the trace; `connection` is the connection's name."""
        tail = f" {self.detail}" if self.detail else ""
        return (
            f"{connection} {self.direction} rule={self.rule} {self.act}"
            f" byte={self.byte} line={self.line}{tail}"
        )


class RulePhase(Enum):
    """Phase of a rule within one direction of a connection."""

    WAITING = "waiting"  # its moment is still to come
    ACTIVE = "acting"
    EXHAUSTED = "spent"


class RuleState:
    """State of one rule within one direction of one connection."""

    __slots__ = ("delayed_lines", "number", "phase", "remaining_times", "rng", "rule")

    def __init__(self, rule: Rule, number: int, rng: Random) -> None:
        self.rule, self.number, self.rng = rule, number, rng
        self.phase = RulePhase.WAITING
        self.remaining_times = rule.times
        self.delayed_lines = 0  # lines delayed so far

    def change_phase(self, phase: RulePhase) -> None:
        """Changes the phase. Raises ValueError if the rule is exhausted."""
        if self.phase is RulePhase.EXHAUSTED:
            raise ValueError(f"rule {self.number} is exhausted")
        self.phase = phase


def applies_to(rule: Rule, number: int | None, rng: Random) -> bool:
    """Whether a rule applies to a connection; `number` is None if it is known by its first line."""
    # The generator is the rule's own, so that its draw does not shift those of other rules.
    selected = rng.random() < rule.share
    if number is None:
        return selected
    return selected and number >= rule.first and (number - rule.first) % rule.every == 0


def select_rules(script: Script, seed: int, name: str, number: int | None) -> list[int]:
    """Numbers of the rules that apply to a connection."""
    return [i for i, rule in enumerate(script.rule) if applies_to(rule, number, Random(f"{seed}/{name}/{i}"))]


class Schedule:
    """The rules' effect on one direction of one connection."""

    def __init__(self, script: Script, rules: list[int], seed: int, name: str, direction: str) -> None:
        self.direction = direction
        self.rules = [
            RuleState(script.rule[i], i, Random(f"{seed}/{name}/{i}/{direction}"))
            for i in rules
            if script.rule[i].way in (direction, "both") and script.rule[i].act != "refuse"
        ]
        self.trace: list[TraceEntry] = []
        self.byte = self.line = 0  # bytes and lines received so far
        self.at_line_start = True  # the next byte begins a line
        self.delay = 0.0
        self.is_finished = False
        self.held_line = bytearray()  # start of a line to be modified
        self.is_holding = self.is_dropping = False
        self.now = 0.0

    def next_time(self) -> float | None:
        """Time of the next rule with `after_seconds`, in seconds since the connection began; None if none."""
        times = [s.rule.after_seconds for s in self.rules if s.phase is RulePhase.WAITING]
        return min((time for time in times if time is not None), default=None)

    def advance(self, now: float) -> list[Step]:
        """Steps that are due by time, without any byte received."""
        self.now = now
        steps: list[Step] = []
        self._start_due_rules(steps)
        return steps

    def feed(self, data: bytes, now: float) -> list[Step]:
        """Steps for bytes received in this direction at time `now`."""
        self.now = now
        steps: list[Step] = []
        position = 0
        while position < len(data) and not self.is_finished:
            self._start_due_rules(steps)
            if self.is_finished:
                break
            if self.at_line_start:
                self._start_line()
            end = self._run_end(data, position)
            self._process(data[position:end], steps)
            position = end
        if not self.is_finished:
            self._start_due_rules(steps)
        return _coalesced(steps)

    def release(self) -> list[Step]:
        """Steps that forward the held part of a line unchanged."""
        steps: list[Step] = []
        self._forward(bytes(self.held_line), steps)
        self.held_line.clear()
        return steps

    def finish(self) -> list[Step]:
        """Steps for the end of input: the held part of a line, then the half-close."""
        steps: list[Step] = []
        if not self.is_finished:
            steps += self.release()
            self.is_finished = True
            steps.append(HalfClose())
        return _coalesced(steps)

    def _run_end(self, data: bytes, start: int) -> int:
        """End of the bytes from `start` that are treated alike: a line's end or the next rule's byte."""
        newline = data.find(b"\n", start)
        end = len(data) if newline < 0 else newline + 1
        for state in self.rules:
            moment = state.rule.after_bytes
            if state.phase is RulePhase.WAITING and moment is not None and self.byte < moment:
                end = min(end, start + moment - self.byte)
        return end

    def _start_due_rules(self, steps: list[Step]) -> None:
        """Starts the rules whose moment has come."""
        for state in self.rules:
            if self.is_finished or state.phase is not RulePhase.WAITING or not self._is_due(state.rule):
                continue
            rule = state.rule
            state.change_phase(RulePhase.ACTIVE)
            if rule.act in (*LINE_ACTS, *CONTINUOUS_ACTS):
                if rule.act == "rate":
                    self._add_trace(state, f"bytes_per_second={rule.bytes_per_second}")
                continue
            self._add_trace(state, f"seconds={rule.seconds:g}" if rule.act == "stall" else "")
            state.change_phase(RulePhase.EXHAUSTED)
            if rule.act == "stall":
                steps.append(Stall(rule.seconds))
            elif rule.act == "half-close":
                self._forward(bytes(self.held_line), steps)
                self.is_finished = True
                steps.append(HalfClose())
            elif rule.act in CONNECTION_ACTS:
                self._forward(bytes(self.held_line), steps)
                self.is_finished = True
                steps.append(Close(rule.act == "reset"))

    def _is_due(self, rule: Rule) -> bool:
        if rule.after_seconds is not None:
            return self.now >= rule.after_seconds
        if rule.after_lines is not None:
            return self.line >= rule.after_lines
        return self.byte >= (rule.after_bytes or 0)

    def _start_line(self) -> None:
        """Decides a line's delay, and whether it is to be modified or dropped."""
        self.at_line_start, self.delay = False, 0.0
        self.is_holding = self.is_dropping = False
        for state in self.rules:
            if state.phase is not RulePhase.ACTIVE:
                continue
            rule = state.rule
            if rule.act == "delay":
                delay = rule.seconds + rule.grow * state.delayed_lines + rule.jitter * state.rng.random()
                state.delayed_lines += 1
                self.delay += delay
                self._add_trace(state, f"seconds={delay:.6f}")
            elif rule.act == "drop":
                self.is_dropping = True
                self._use_once(state)
            elif rule.act in ("double", "replace", "garble"):
                self.is_holding = True

    def _use_once(self, state: RuleState, detail: str = "") -> None:
        """Counts one use of a rule that acts `Rule.times` times."""
        self._add_trace(state, detail)
        state.remaining_times -= 1
        if not state.remaining_times:
            state.change_phase(RulePhase.EXHAUSTED)

    def _process(self, data: bytes, steps: list[Step]) -> None:
        """Forwards, holds or drops bytes of one line."""
        self.byte += len(data)
        ends_line = data[-1] == NEWLINE
        if self.is_holding and not self.is_dropping:
            self.held_line += data
            if ends_line or len(self.held_line) > MAX_HELD_BYTES:
                line = self._modified(bytes(self.held_line)) if ends_line else bytes(self.held_line)
                self.held_line.clear()
                self.is_holding = False
                self._forward(line, steps)
        elif not self.is_dropping:
            self._forward(data, steps)
        if ends_line:
            self.line += 1
            self.at_line_start = True

    def _modified(self, line: bytes) -> bytes:
        """A whole line after the active rules that modify lines."""
        for state in self.rules:
            rule = state.rule
            if state.phase is not RulePhase.ACTIVE:
                continue
            if rule.act == "replace" and line.startswith(rule.find.encode()):
                line = rule.put.encode() + line[len(rule.find.encode()) :]
                self._use_once(state, f"find={rule.find} put={rule.put}")
            elif rule.act == "garble":
                body = line.rstrip(b"\r\n")
                position = state.rng.randrange(max(1, len(body)))
                value = state.rng.randrange(1, 256)
                garbled = bytes([body[position] ^ value]) if body else b"?"
                line = body[:position] + garbled + body[position + 1 :] + line[len(body) :]
                self._use_once(state, f"place={position} by={value}")
            elif rule.act == "double":
                line += line
                self._use_once(state)
        return line

    def _forward(self, data: bytes, steps: list[Step]) -> None:
        if data:
            rates = [
                s.rule.bytes_per_second
                for s in self.rules
                if s.phase is RulePhase.ACTIVE and s.rule.bytes_per_second is not None
            ]
            steps.append(Forward(data, self.delay, min(rates, default=None)))

    def _add_trace(self, state: RuleState, detail: str) -> None:
        self.trace.append(
            TraceEntry(self.direction, state.number, state.rule.act, self.byte, self.line, detail)
        )


def _coalesced(steps: list[Step]) -> list[Step]:
    """Joins adjacent `Forward` steps of equal delay and rate."""
    out: list[Step] = []
    for step in steps:
        last = out[-1] if out else None
        if isinstance(step, Forward) and isinstance(last, Forward) and _is_mergeable(step, last):
            out[-1] = Forward(last.data + step.data, last.delay, last.rate)
        else:
            out.append(step)
    return out


def _is_mergeable(one: Forward, other: Forward) -> bool:
    return (one.delay, one.rate) == (other.delay, other.rate)
