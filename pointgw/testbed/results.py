"""Result of a run: service, setup times, answers, moves, recovery, and what was itself overloaded. No I/O.

Setup times count from when a client was due (open loop): a stalled balancer is charged for all clients due
meanwhile, which Tene's "coordinated omission" would hide. Histograms: HdrHistogram.
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

FILL_UP_SECONDS = 5.0  # from the start, not counted as service
RECOVERED_SHARE = 0.97  # of the service before a trouble, from which on it counts as recovered
RECOVERED_SECONDS = 3  # consecutive seconds for which it must last
LATE_ANSWER_SHARE = 0.1  # last share of the client timeout, in which a decline or failure counts as late
MAX_LAG_SECONDS = 0.05  # lag of a process above which its figures are unreliable
BUSY_CORE_SHARE = 0.9  # of a core, above which a process of the testbed is the bottleneck
MIN_IDLE_SHARE = 0.1  # idle processor time of the machine, below which a run is unreliable
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Student's t for a 95% interval, by degrees of freedom; beyond these, the normal distribution's is used.
STUDENT_T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13)


class Recovery(msgspec.Struct, frozen=True):
    """Service during and after one trouble."""

    what: str
    at: float  # begin, in seconds from the scenario's start
    lowest: float  # share of credit in the worst second
    seconds: float | None  # from its begin until service has recovered; None: not within the run


class Result(msgspec.Struct, frozen=True):
    """Result of one run."""

    scenario: str
    policy: str
    seed: int
    service: float  # credit earned over credit asked for, from FILL_UP_SECONDS on
    by_profile: dict[str, float]  # service by profile
    kept: bool  # no rule was violated, and tunnels were checked
    breaches: dict[int, int]  # violations by rule
    verdict: list[str]  # what the invariant checker found, as text
    judged: int  # tunnels checked
    excused: dict[str, int]  # tunnels that could not be checked, by reason
    setups: dict[str, float]  # seconds from when a client was due to UP, by percentile
    answers: dict[str, int]  # final answers by kind
    kept_long: int  # declines and failures in the last tenth of the client timeout
    tries: float  # setups that servers received for each tunnel opened
    moves: int  # open tunnels that were moved
    lost: int  # open tunnels that broke
    retries: int  # attempts after a client's first
    recovery: list[Recovery]
    strain: list[str]  # what limited the run other than the balancer: processes of the testbed, the machine
    seconds: list[float]  # share of credit earned in each second, for the plot
    open: list[int]  # open tunnels in each second
    loads: dict[str, list[float | None]]  # load of each server in each second; None: it did not run
    marks: list[tuple[float, float, str]]  # troubles: begin, end, what


def compute_result(records: list[rec.AnyRecord], meta: Meta, check_result: CheckResult) -> Result:
    """Computes the result of a run from its records and the result of the invariant checker."""
    per_second = [r for r in records if isinstance(r, rec.Second)]
    names = [profile.name for profile in meta.scenario.profile]
    settled = [r for r in per_second if r.t > meta.began + FILL_UP_SECONDS and r.t <= meta.ended + 0.5]
    credit_asked = [sum(r.asked[i] for r in settled) for i in range(len(names))]
    credit_served = [sum(r.served[i] for r in settled) for i in range(len(names))]
    requests = {r.name: r for r in records if isinstance(r, rec.Asked)}
    answers = [r for r in records if isinstance(r, rec.Answered)]
    histogram = HdrHistogram(1, 60_000_000, 3)
    kept_long = 0
    for answer in answers:
        request = requests.get(answer.name)
        if request is None:
            continue
        if answer.how == "opened":
            histogram.record_value(max(1, round((answer.t - request.intended) * 1e6)))
        elif answer.how in ("declined", "failed"):
            kept_long += answer.t - request.t > (1 - LATE_ANSWER_SHARE) * request.patience
    opened_count = sum(answer.how == "opened" for answer in answers)
    setup_count = sum(isinstance(r, rec.Took) for r in records)
    end_counts = Counter(r.how for r in records if isinstance(r, rec.Ended))
    shares = [sum(r.served) / sum(r.asked) if sum(r.asked) else 1.0 for r in per_second]
    troubles = _trouble_spans(records, meta)
    loads: dict[str, list[float | None]] = defaultdict(lambda: [None] * len(per_second))
    for record in records:
        if isinstance(record, rec.State) and 0 <= int(record.t - meta.began) < len(per_second):
            loads[record.server][int(record.t - meta.began)] = round(record.load, 3)
    return Result(
        scenario=meta.scenario.name,
        policy=meta.policy,
        seed=meta.scenario.seed,
        service=sum(credit_served) / sum(credit_asked) if sum(credit_asked) else 0.0,
        by_profile={n: s / a for n, s, a in zip(names, credit_served, credit_asked, strict=True) if a},
        kept=check_result.passed and check_result.tunnels_checked > 0,
        breaches=check_result.violations_by_rule(),
        verdict=format_result(check_result),
        judged=check_result.tunnels_checked,
        excused=dict(check_result.tunnels_excluded),
        setups={f"p{q:g}": histogram.get_value_at_percentile(q) / 1e6 for q in PERCENTILES}
        if opened_count
        else {},
        answers=dict(Counter(answer.how for answer in answers)),
        kept_long=kept_long,
        tries=setup_count / opened_count if opened_count else 0.0,
        moves=end_counts["moved"],
        lost=end_counts["lost"],
        retries=sum(r.tries > 0 for r in requests.values()),
        recovery=[_measure_recovery(shares, begin, end, what) for begin, end, what in troubles],
        strain=find_strain(records, meta),
        seconds=[round(share, 4) for share in shares],
        open=[r.open for r in per_second],
        loads=dict(loads),
        marks=troubles,
    )


def _trouble_spans(records: list[rec.AnyRecord], meta: Meta) -> list[tuple[float, float, str]]:
    """Troubles in order of time: begin and end in seconds from the scenario's start, and what."""
    begun: dict[int, rec.Mark] = {}
    spans: list[tuple[float, float, str]] = []
    for record in records:
        if isinstance(record, rec.Mark) and not record.ends:
            begun[record.number] = record
        elif isinstance(record, rec.Mark) and record.number in begun:
            first = begun.pop(record.number)
            spans.append((first.t - meta.began, record.t - meta.began, first.what))
    for number in sorted(begun):
        at = begun[number].t - meta.began
        spans.append((at, at, begun[number].what))
    return sorted(spans)


def _measure_recovery(shares: list[float], begin: float, end: float, what: str) -> Recovery:
    """Measures, from the credit share of each second, how long service took to recover from a trouble."""
    first_second = max(1, int(begin))
    before = mean(shares[max(0, first_second - 5) : first_second] or [1.0])
    after = shares[first_second:]
    recovered_after = None
    drop = next((i for i, share in enumerate(after) if share < RECOVERED_SHARE * before), None)
    if drop is None:
        recovered_after = 0.0
    else:
        for i in range(drop, len(after) - RECOVERED_SECONDS + 1):
            if all(share >= RECOVERED_SHARE * before for share in after[i : i + RECOVERED_SECONDS]):
                recovered_after = first_second + i - begin
                break
    duration = end - begin if recovered_after is None else recovered_after
    lowest = min(after[: max(3, int(duration) + 1)] or [1.0])
    return Recovery(what, round(begin, 2), round(lowest, 3), recovered_after)


def find_strain(records: list[rec.AnyRecord], meta: Meta) -> list[str]:
    """Names what limited this run other than the balancer: processes of the testbed, or the machine."""
    lags: dict[str, list[float]] = defaultdict(list)
    cpus: dict[str, list[float]] = defaultdict(list)
    idle: list[float] = []
    for record in records:
        if record.t < meta.began or record.t > meta.ended:
            continue
        if isinstance(record, rec.Strain):
            lags[record.who].append(record.lag)
            cpus[record.who].append(record.cpu)
        elif isinstance(record, rec.Machine):
            idle.append(record.idle)
    pause_marks = [r for r in records if isinstance(r, rec.Mark) and r.what == "server-pause"]
    paused = {f"s-{number}" for record in pause_marks for number in record.which}
    limits: list[str] = []
    for name in sorted(lags):
        late_seconds = sum(lag > MAX_LAG_SECONDS for lag in lags[name])
        if late_seconds > max(1, 0.05 * len(lags[name])) and name not in paused:
            limits.append(f"{name} of the testbed lagged in {late_seconds} of {len(lags[name])} seconds")
        busy_seconds = sum(cpu > BUSY_CORE_SHARE for cpu in cpus[name])
        if busy_seconds > max(1, 0.05 * len(cpus[name])):
            limits.append(
                f"{name} of the testbed used a whole core in {busy_seconds} of {len(cpus[name])} seconds"
            )
    short_seconds = sum(share < MIN_IDLE_SHARE for share in idle)
    if short_seconds > max(1, 0.1 * len(idle)):
        limits.append(f"the machine had no processor time to spare in {short_seconds} of {len(idle)} seconds")
    return limits


class Spread(msgspec.Struct, frozen=True):
    """A figure over several seeds: its mean and the half width of its 95% interval."""

    mean: float
    half: float | None  # None: unknown, as there is one run only
    runs: int

    def text(self, digits: int = 3) -> str:
        """Formats it as "mean ± half width"."""
        half = "" if self.half is None else f" ± {self.half:.{digits}f}"
        return f"{self.mean:.{digits}f}{half}"


def spread(figures: list[float]) -> Spread:
    """The spread of a figure over runs."""
    if len(figures) < 2:
        return Spread(figures[0] if figures else 0.0, None, len(figures))
    return Spread(
        mean(figures), _student_t(len(figures) - 1) * stdev(figures) / sqrt(len(figures)), len(figures)
    )


def _student_t(degrees: int) -> float:
    """Student's t for a 95% interval."""
    return STUDENT_T_95[degrees - 1] if degrees <= len(STUDENT_T_95) else 1.96


class Compared(msgspec.Struct, frozen=True):
    """Difference of a figure between two sets of runs."""

    difference: Spread
    verdict: Literal["higher", "lower", "within the noise", "not told apart by one run"]


def compare(first: dict[int, float], second: dict[int, float]) -> Compared:
    """Compares figures by seed: the same seed has the same demand and troubles, so differences are paired."""
    seeds = sorted(set(first) & set(second))
    difference = spread([second[seed] - first[seed] for seed in seeds])
    if difference.half is None:
        return Compared(difference, "not told apart by one run")
    if abs(difference.mean) <= difference.half:
        return Compared(difference, "within the noise")
    return Compared(difference, "higher" if difference.mean > 0 else "lower")
