"""What happens to each byte of a connection, decided from the script and a seed alone. No I/O, no clock.

One `Schedule` stands for one direction of one connection. Bytes go in as they come, with the time since the
connection began, and steps come out. How the bytes were cut into reads decides nothing: a choice hangs on the
number of a line or a byte, so the same seed gives the same choices and the same trace.

Known limits: a line that `double` or `replace` may act on is held until its end, up to `LONGEST_HELD`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from pointgw.fault_proxy.script import LASTING, ON_BOTH, ON_LINES, Rule, Script

LONGEST_HELD = 64 * 1024  # bytes of a line that is held to be doubled or replaced
NEWLINE = 10


@dataclass(frozen=True, slots=True)
class Forward:
    """These bytes go on, so many seconds after they came, at no more than so many bytes a second."""

    data: bytes
    delay: float
    rate: int | None


@dataclass(frozen=True, slots=True)
class Stall:
    """Nothing more goes on in this direction, for a time (0: for good)."""

    seconds: float


@dataclass(frozen=True, slots=True)
class HalfClose:
    """This direction ends; the other goes on."""


@dataclass(frozen=True, slots=True)
class Close:
    """Both directions end at once: in order, or by a reset."""

    reset: bool


Step = Forward | Stall | HalfClose | Close


@dataclass(frozen=True, slots=True)
class TraceEntry:
    """One line of the trace: what was decided, and at which byte and line of the direction."""

    way: str
    rule: int
    act: str
    byte: int
    line: int
    detail: str = ""

    def text(self, connection: str) -> str:
        tail = f" {self.detail}" if self.detail else ""
        return f"{connection} {self.way} rule={self.rule} {self.act} byte={self.byte} line={self.line}{tail}"


class Phase(Enum):
    """Where a rule stands within one direction of a connection."""

    WAITING = "waiting"  # its moment has not come
    ACTING = "acting"
    SPENT = "spent"


class Standing:
    """One rule within one direction of one connection."""

    __slots__ = ("left", "number", "phase", "rng", "rule", "units")

    def __init__(self, rule: Rule, number: int, rng: Random) -> None:
        self.rule, self.number, self.rng = rule, number, rng
        self.phase = Phase.WAITING
        self.left = rule.times
        self.units = 0  # lines that a delay was drawn for

    def to(self, phase: Phase) -> None:
        if self.phase is Phase.SPENT:
            raise ValueError(f"rule {self.number} is spent")
        self.phase = phase


def concerns(rule: Rule, number: int | None, rng: Random) -> bool:
    """Whether a rule is for this connection; `number` is None where the first line tells it."""
    drawn = rng.random() < rule.share  # drawn for each rule, so that one doesn't move the next
    if number is None:
        return drawn
    return drawn and number >= rule.first and (number - rule.first) % rule.every == 0


def select_rules(script: Script, seed: int, name: str, number: int | None) -> list[int]:
    """The numbers of the rules that hold for a connection."""
    return [i for i, rule in enumerate(script.rule) if concerns(rule, number, Random(f"{seed}/{name}/{i}"))]


class Schedule:
    """One direction of one connection."""

    def __init__(self, script: Script, rules: list[int], seed: int, name: str, way: str) -> None:
        self.way = way
        self.rules = [
            Standing(script.rule[i], i, Random(f"{seed}/{name}/{i}/{way}"))
            for i in rules
            if script.rule[i].way in (way, "both") and script.rule[i].act != "refuse"
        ]
        self.trace: list[TraceEntry] = []
        self.byte = self.line = 0  # of what has come in
        self.fresh = True  # the next byte begins a line
        self.delay = 0.0
        self.over = False
        self.held = bytearray()  # the line that may be doubled or replaced
        self.holding = self.dropping = False
        self.now = 0.0

    def due(self) -> float | None:
        """When the next rule acts by time alone, in seconds of the connection; None: none does."""
        times = [s.rule.after_seconds for s in self.rules if s.phase is Phase.WAITING]
        return min((at for at in times if at is not None), default=None)

    def at(self, now: float) -> list[Step]:
        """By the clock: cuts and stalls need no byte to pass."""
        self.now = now
        steps: list[Step] = []
        self._begin(steps)
        return steps

    def feed(self, data: bytes, now: float) -> list[Step]:
        """Bytes that have come in this direction."""
        self.now = now
        steps: list[Step] = []
        at = 0
        while at < len(data) and not self.over:
            self._begin(steps)
            if self.over:
                break
            if self.fresh:
                self._begin_line()
            end = self._until(data, at)
            self._take(data[at:end], steps)
            at = end
        if not self.over:
            self._begin(steps)
        return _joined(steps)

    def release(self) -> list[Step]:
        """What is held of a line goes on as it is."""
        steps: list[Step] = []
        self._give(bytes(self.held), steps)
        self.held.clear()
        return steps

    def finish(self) -> list[Step]:
        """The sender has ended: what is held goes on, and then the end."""
        steps: list[Step] = []
        if not self.over:
            steps += self.release()
            self.over = True
            steps.append(HalfClose())
        return _joined(steps)

    def _until(self, data: bytes, at: int) -> int:
        """Where the run of bytes ends that nothing can change within: a line's end or a rule's byte."""
        newline = data.find(b"\n", at)
        end = len(data) if newline < 0 else newline + 1
        for standing in self.rules:
            moment = standing.rule.after_bytes
            if standing.phase is Phase.WAITING and moment is not None and self.byte < moment:
                end = min(end, at + moment - self.byte)
        return end

    def _begin(self, steps: list[Step]) -> None:
        """Rules whose moment has come."""
        for standing in self.rules:
            if self.over or standing.phase is not Phase.WAITING or not self._has_come(standing.rule):
                continue
            rule = standing.rule
            standing.to(Phase.ACTING)
            if rule.act in (*ON_LINES, *LASTING):
                if rule.act == "rate":
                    self._note(standing, f"bytes_per_second={rule.bytes_per_second}")
                continue
            self._note(standing, f"seconds={rule.seconds:g}" if rule.act == "stall" else "")
            standing.to(Phase.SPENT)
            if rule.act == "stall":
                steps.append(Stall(rule.seconds))
            elif rule.act == "half-close":
                self._give(bytes(self.held), steps)
                self.over = True
                steps.append(HalfClose())
            elif rule.act in ON_BOTH:
                self._give(bytes(self.held), steps)
                self.over = True
                steps.append(Close(rule.act == "reset"))

    def _has_come(self, rule: Rule) -> bool:
        if rule.after_seconds is not None:
            return self.now >= rule.after_seconds
        if rule.after_lines is not None:
            return self.line >= rule.after_lines
        return self.byte >= (rule.after_bytes or 0)

    def _begin_line(self) -> None:
        """What is decided once for a line: its delay, and whether it is changed."""
        self.fresh, self.delay = False, 0.0
        self.holding = self.dropping = False
        for standing in self.rules:
            if standing.phase is not Phase.ACTING:
                continue
            rule = standing.rule
            if rule.act == "delay":
                delay = rule.seconds + rule.grow * standing.units + rule.jitter * standing.rng.random()
                standing.units += 1
                self.delay += delay
                self._note(standing, f"seconds={delay:.6f}")
            elif rule.act == "drop":
                self.dropping = True
                self._use(standing)
            elif rule.act in ("double", "replace", "garble"):
                self.holding = True

    def _use(self, standing: Standing, detail: str = "") -> None:
        self._note(standing, detail)
        standing.left -= 1
        if not standing.left:
            standing.to(Phase.SPENT)

    def _take(self, run: bytes, steps: list[Step]) -> None:
        self.byte += len(run)
        ends = run[-1] == NEWLINE
        if self.holding and not self.dropping:
            self.held += run
            if ends or len(self.held) > LONGEST_HELD:
                line = self._changed(bytes(self.held)) if ends else bytes(self.held)
                self.held.clear()
                self.holding = False
                self._give(line, steps)
        elif not self.dropping:
            self._give(run, steps)
        if ends:
            self.line += 1
            self.fresh = True

    def _changed(self, line: bytes) -> bytes:
        for standing in self.rules:
            rule = standing.rule
            if standing.phase is not Phase.ACTING:
                continue
            if rule.act == "replace" and line.startswith(rule.find.encode()):
                line = rule.put.encode() + line[len(rule.find.encode()) :]
                self._use(standing, f"find={rule.find} put={rule.put}")
            elif rule.act == "garble":
                body = line.rstrip(b"\r\n")
                place = standing.rng.randrange(max(1, len(body)))
                value = standing.rng.randrange(1, 256)
                mixed = bytes([body[place] ^ value]) if body else b"?"
                line = body[:place] + mixed + body[place + 1 :] + line[len(body) :]
                self._use(standing, f"place={place} by={value}")
            elif rule.act == "double":
                line += line
                self._use(standing)
        return line

    def _give(self, data: bytes, steps: list[Step]) -> None:
        if data:
            rates = [
                s.rule.bytes_per_second
                for s in self.rules
                if s.phase is Phase.ACTING and s.rule.bytes_per_second is not None
            ]
            steps.append(Forward(data, self.delay, min(rates, default=None)))

    def _note(self, standing: Standing, detail: str) -> None:
        self.trace.append(
            TraceEntry(self.way, standing.number, standing.rule.act, self.byte, self.line, detail)
        )


def _joined(steps: list[Step]) -> list[Step]:
    """Runs that go on alike, as one step."""
    out: list[Step] = []
    for step in steps:
        last = out[-1] if out else None
        if isinstance(step, Forward) and isinstance(last, Forward) and _alike(step, last):
            out[-1] = Forward(last.data + step.data, last.delay, last.rate)
        else:
            out.append(step)
    return out


def _alike(one: Forward, other: Forward) -> bool:
    return (one.delay, one.rate) == (other.delay, other.rate)
