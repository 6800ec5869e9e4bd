"""What a run gave: service, times from the intended moment, answers, moves, recovery, and what was strained.

No I/O. Times come from an open loop: a balancer that stalls pays for all who were to come meanwhile (what
Tene's "coordinated omission" would hide). Source of the histograms: HdrHistogram.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from math import sqrt
from statistics import mean, stdev
from typing import Literal

import msgspec
from hdrh.histogram import HdrHistogram

from pointgw.testbed import records as rec
from pointgw.testbed.invariant_checker import CheckResult, format_result
from pointgw.testbed.meta import Meta

FILL_UP_SECONDS = 5.0  # seconds from the start that count as filling up
RECOVERED_SHARE = 0.97  # of the service before a trouble at which it counts as over
RECOVERED_SECONDS = 3  # seconds in a row that it must hold
LATE_ANSWER_SHARE = 0.1  # of the client timeout left: an answer given then was kept long
MAX_LAG_SECONDS = 0.05  # seconds a stand-in may be late before its figures are its own
BUSY_CORE_SHARE = 0.9  # of a core, from which a part of the rig is the bottleneck
MIN_IDLE_SHARE = 0.1  # share of the machine's cores below which a run is not to be trusted
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Student's t for 95% by degrees of freedom; beyond: the normal's.
STUDENT_T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13)


class Recovery(msgspec.Struct, frozen=True):
    """How service fared after one trouble."""

    what: str
    at: float
    lowest: float  # share of credit in its worst second
    seconds: float | None  # from its beginning until service is back; None: not within the run


class Result(msgspec.Struct, frozen=True):
    """One run."""

    scenario: str
    policy: str
    seed: int
    service: float  # credit of well-served seconds over credit asked, from SETTLED on
    by_profile: dict[str, float]
    kept: bool
    breaches: dict[int, int]
    verdict: list[str]
    judged: int
    excused: dict[str, int]
    setups: dict[str, float]  # seconds from the intended time to UP, by quantile
    answers: dict[str, int]
    kept_long: int  # declines and failures in the last tenth of the client timeout
    tries: float  # setups that servers got for each tunnel opened
    moves: int
    lost: int  # open tunnels that broke
    retries: int
    recovery: list[Recovery]
    strain: list[str]  # what of the rig or machine was itself the limit, so that the balancer isn't blamed
    seconds: list[float]  # share of credit in each second, for the plot
    open: list[int]
    loads: dict[str, list[float | None]]  # of each server, by second; None: it did not run
    marks: list[tuple[float, float, str]]  # of troubles: begin, end, what


def compute_result(found: list[rec.AnyRecord], meta: Meta, verdict: CheckResult) -> Result:
    per_second = [r for r in found if isinstance(r, rec.Second)]
    names = [profile.name for profile in meta.scenario.profile]
    settled = [r for r in per_second if r.t > meta.began + FILL_UP_SECONDS and r.t <= meta.ended + 0.5]
    asked = [sum(r.asked[i] for r in settled) for i in range(len(names))]
    served = [sum(r.served[i] for r in settled) for i in range(len(names))]
    tries = {r.name: r for r in found if isinstance(r, rec.Asked)}
    answers = [r for r in found if isinstance(r, rec.Answered)]
    histogram = HdrHistogram(1, 60_000_000, 3)
    kept_long = 0
    for answer in answers:
        asked_at = tries.get(answer.name)
        if asked_at is None:
            continue
        if answer.how == "opened":
            histogram.record_value(max(1, round((answer.t - asked_at.intended) * 1e6)))
        elif answer.how in ("declined", "failed"):
            kept_long += answer.t - asked_at.t > (1 - LATE_ANSWER_SHARE) * asked_at.patience
    opened = sum(answer.how == "opened" for answer in answers)
    took = sum(isinstance(r, rec.Took) for r in found)
    ends = Counter(r.how for r in found if isinstance(r, rec.Ended))
    shares = [sum(r.served) / sum(r.asked) if sum(r.asked) else 1.0 for r in per_second]
    marks = _trouble_spans(found, meta)
    loads: dict[str, list[float | None]] = defaultdict(lambda: [None] * len(per_second))
    for record in found:
        if isinstance(record, rec.State) and 0 <= int(record.t - meta.began) < len(per_second):
            loads[record.server][int(record.t - meta.began)] = round(record.load, 3)
    return Result(
        scenario=meta.scenario.name,
        policy=meta.policy,
        seed=meta.scenario.seed,
        service=sum(served) / sum(asked) if sum(asked) else 0.0,
        by_profile={n: s / a for n, s, a in zip(names, served, asked, strict=True) if a},
        kept=verdict.passed and verdict.tunnels_checked > 0,
        breaches=verdict.violations_by_rule(),
        verdict=format_result(verdict),
        judged=verdict.tunnels_checked,
        excused=dict(verdict.tunnels_excluded),
        setups={f"p{q:g}": histogram.get_value_at_percentile(q) / 1e6 for q in PERCENTILES} if opened else {},
        answers=dict(Counter(answer.how for answer in answers)),
        kept_long=kept_long,
        tries=took / opened if opened else 0.0,
        moves=ends["moved"],
        lost=ends["lost"],
        retries=sum(r.tries > 0 for r in tries.values()),
        recovery=[_measure_recovery(shares, begin, end, what) for begin, end, what in marks],
        strain=find_strain(found, meta),
        seconds=[round(share, 4) for share in shares],
        open=[r.open for r in per_second],
        loads=dict(loads),
        marks=marks,
    )


def _trouble_spans(found: list[rec.AnyRecord], meta: Meta) -> list[tuple[float, float, str]]:
    begun: dict[int, rec.Mark] = {}
    out: list[tuple[float, float, str]] = []
    for record in found:
        if isinstance(record, rec.Mark) and not record.ends:
            begun[record.number] = record
        elif isinstance(record, rec.Mark) and record.number in begun:
            first = begun.pop(record.number)
            out.append((first.t - meta.began, record.t - meta.began, first.what))
    for number in sorted(begun):
        at = begun[number].t - meta.began
        out.append((at, at, begun[number].what))
    return sorted(out)


def _measure_recovery(shares: list[float], begin: float, end: float, what: str) -> Recovery:
    """The shares of seconds tell when service was back where it stood before."""
    first = max(1, int(begin))
    before = mean(shares[max(0, first - 5) : first] or [1.0])
    after = shares[first:]
    back = None
    fell = next((i for i, share in enumerate(after) if share < RECOVERED_SHARE * before), None)
    if fell is None:
        back = 0.0
    else:
        for i in range(fell, len(after) - RECOVERED_SECONDS + 1):
            if all(share >= RECOVERED_SHARE * before for share in after[i : i + RECOVERED_SECONDS]):
                back = first + i - begin
                break
    lasts = end - begin if back is None else back
    lowest = min(after[: max(3, int(lasts) + 1)] or [1.0])
    return Recovery(what, round(begin, 2), round(lowest, 3), back)


def find_strain(found: list[rec.AnyRecord], meta: Meta) -> list[str]:
    """What was itself the limit in this run, so that it is not blamed on the balancer."""
    lags: dict[str, list[float]] = defaultdict(list)
    cpus: dict[str, list[float]] = defaultdict(list)
    idle: list[float] = []
    for record in found:
        if record.t < meta.began or record.t > meta.ended:
            continue
        if isinstance(record, rec.Strain):
            lags[record.who].append(record.lag)
            cpus[record.who].append(record.cpu)
        elif isinstance(record, rec.Machine):
            idle.append(record.idle)
    pauses = [r for r in found if isinstance(r, rec.Mark) and r.what == "server-pause"]
    paused = {f"s-{number}" for record in pauses for number in record.which}
    told: list[str] = []
    for who in sorted(lags):
        late = sum(lag > MAX_LAG_SECONDS for lag in lags[who])
        if late > max(1, 0.05 * len(lags[who])) and who not in paused:
            told.append(f"{who} of the rig was late in {late} of {len(lags[who])} seconds")
        busy = sum(cpu > BUSY_CORE_SHARE for cpu in cpus[who])
        if busy > max(1, 0.05 * len(cpus[who])):
            told.append(f"{who} of the rig took a whole core in {busy} of {len(cpus[who])} seconds")
    short = sum(share < MIN_IDLE_SHARE for share in idle)
    if short > max(1, 0.1 * len(idle)):
        told.append(f"the machine had no core to spare in {short} of {len(idle)} seconds")
    return told


class Spread(msgspec.Struct, frozen=True):
    """A figure over several seeds: its mean and the half width of its 95% interval."""

    mean: float
    half: float | None  # None: one run tells no spread
    runs: int

    def text(self, digits: int = 3) -> str:
        half = "" if self.half is None else f" ± {self.half:.{digits}f}"
        return f"{self.mean:.{digits}f}{half}"


def spread(figures: list[float]) -> Spread:
    if len(figures) < 2:
        return Spread(figures[0] if figures else 0.0, None, len(figures))
    return Spread(
        mean(figures), _student_t(len(figures) - 1) * stdev(figures) / sqrt(len(figures)), len(figures)
    )


def _student_t(degrees: int) -> float:
    return STUDENT_T_95[degrees - 1] if degrees <= len(STUDENT_T_95) else 1.96


class Compared(msgspec.Struct, frozen=True):
    """Two figures side by side."""

    difference: Spread
    verdict: Literal["higher", "lower", "within the noise", "not told apart by one run"]


def compare(first: dict[int, float], second: dict[int, float]) -> Compared:
    """By seed: the same seed has the same demand and troubles, so the differences are paired."""
    both = sorted(set(first) & set(second))
    difference = spread([second[seed] - first[seed] for seed in both])
    if difference.half is None:
        return Compared(difference, "not told apart by one run")
    if abs(difference.mean) <= difference.half:
        return Compared(difference, "within the noise")
    return Compared(difference, "higher" if difference.mean > 0 else "lower")
