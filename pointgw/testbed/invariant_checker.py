"""Judges a run by the four rules, tunnel by tunnel. It trusts nobody: what clients saw is joined with what
servers saw, and what discovery wrote. No I/O.

What can't be judged is counted as such: balancers that were dead or stopped in the middle, links that a box
disturbed, servers whose own clock stood still. Rules that were broken name the tunnel, the times and what is
known of it. Known limit: what a balancer sends to a server that was paused shows only when that one goes on.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise
from math import inf

import msgspec

from pointgw.testbed import records as rec
from pointgw.testbed.demand import mean_tunnel_work
from pointgw.testbed.meta import Meta
from pointgw.testbed.scenario import Profile
from pointgw.testbed.server_model import SETUP_BUDGET_SLACK as COLD_SLACK

TIMING_TOLERANCE_SECONDS = 0.05  # seconds beyond each limit that sockets and timers take
ASSUMED_NOTIFIED_SECONDS = 6.0  # seconds after which what discovery has to tell counts as told
OVERLAP_TOLERANCE_SECONDS = 0.05  # seconds that a setup given up may still be seen at its server
END_MARGIN_SECONDS = 0.5  # seconds before the last answers are waited for, in which a try is not judged
MAX_VIOLATIONS_SHOWN = 8  # breaches of a rule that are told in full


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken."""

    rule: int  # 1 to 4; 0: a balancer ended by itself
    at: float  # seconds from the scenario's start
    tunnel: str
    text: str
    history: tuple[str, ...] = ()  # all that is known of the tunnel, in order

    def format_lines(self) -> list[str]:
        name = f"rule {self.rule}" if self.rule else "crash"
        about = f" tunnel {self.tunnel}" if self.tunnel else ""
        first = f"{name} broken at {self.at:.3f}s{about}: {self.text}"
        return [first, *("    " + line for line in self.history)]


@dataclass(slots=True)
class CheckResult:
    tunnels_checked: int = 0  # tunnels
    tunnels_excluded: Counter[str] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        return not self.violations

    def violations_by_rule(self) -> dict[int, int]:
        return dict(Counter(breach.rule for breach in self.violations))


@dataclass(slots=True)
class TunnelRecords:
    """All that is known of one tunnel id."""

    asked: rec.Asked | None = None
    answers: list[rec.Answered] = field(default_factory=list)
    further: list[rec.Further] = field(default_factory=list)
    took: list[rec.Took] = field(default_factory=list)
    said: list[rec.Said] = field(default_factory=list)
    gone: list[rec.Gone] = field(default_factory=list)
    ended: list[rec.Ended] = field(default_factory=list)

    def history(self, began: float) -> tuple[str, ...]:
        all_records: list[rec.AnyRecord] = [
            *([self.asked] if self.asked else []), *self.took, *self.said, *self.gone, *self.answers,
            *self.further, *self.ended,
        ]  # fmt: skip
        return tuple(_format_record(record, began) for record in sorted(all_records, key=lambda r: r.t))


@dataclass(frozen=True, slots=True)
class Setup:
    """One setup as its server saw it."""

    server: str
    received_at: float
    answer: str  # its answer, or nothing
    ended_at: float  # when it was over there
    times_reliable: bool  # its server's word on times can be taken

    @property
    def may_have_run(self) -> bool:
        return self.answer != "BUSY"


def check_records(found: list[rec.AnyRecord], meta: Meta) -> CheckResult:
    """Raises nothing: a run without records has nothing judged, which the caller must not call kept."""
    return InvariantChecker(found, meta).check()


class InvariantChecker:
    def __init__(self, found: list[rec.AnyRecord], meta: Meta) -> None:
        self.meta, self.records = meta, found
        self.proxied_servers = {f"s-{number}" for number in meta.boxed_servers}
        self.result = CheckResult()
        self.tunnels: dict[str, TunnelRecords] = defaultdict(TunnelRecords)
        self.receipts: set[tuple[str, str]] = set()
        self.balancer_outages: dict[int, list[tuple[float, float]]] = defaultdict(
            list
        )  # when a balancer could not act
        self.server_pauses: dict[str, list[tuple[float, float]]] = defaultdict(
            list
        )  # when a server was paused
        # When a part of the rig was late, and how much.
        self.lags: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.server_kills: dict[str, list[float]] = defaultdict(list)  # when a server's process was ended
        self.server_starts: dict[str, list[float]] = defaultdict(list)  # when one was started
        self.balancer_starts: dict[int, list[float]] = defaultdict(list)  # when a balancer's was
        self._index_records()

    def _index_records(self) -> None:
        since: dict[int, float] = {}
        paused: dict[str, float] = {}
        for record in self.records:
            match record:
                case rec.Asked():
                    self.tunnels[record.name].asked = record
                case rec.Answered():
                    self.tunnels[record.name].answers.append(record)
                case rec.Further():
                    self.tunnels[record.name].further.append(record)
                case rec.Took():
                    self.tunnels[record.name].took.append(record)
                case rec.Said():
                    self.tunnels[record.name].said.append(record)
                    self.receipts.add((record.name, record.line))
                case rec.Gone():
                    self.tunnels[record.name].gone.append(record)
                case rec.Ended():
                    self.tunnels[record.name].ended.append(record)
                case rec.Started():
                    # What its process before held is gone, which nobody there wrote down.
                    self.server_starts[record.server].append(record.t)
                case rec.Balancer(what="started"):
                    self.balancer_starts[record.number].append(record.t)
                case rec.Balancer(what="killed" | "paused" | "died" | "ended"):
                    since.setdefault(record.number, record.t)
                case rec.Balancer(what="serving" | "resumed"):
                    if record.number in since:
                        self.balancer_outages[record.number].append((since.pop(record.number), record.t))
                case rec.Mark(what="server-kill" | "server-drain"):
                    for number in record.which:
                        self.server_kills[f"s-{number}"].append(record.t)
                case rec.Mark(what="server-pause"):
                    for number in record.which:
                        if not record.ends:
                            paused[f"s-{number}"] = record.t
                        elif f"s-{number}" in paused:
                            self.server_pauses[f"s-{number}"].append((paused.pop(f"s-{number}"), record.t))
                case rec.Strain() if record.lag > TIMING_TOLERANCE_SECONDS / 2:
                    self.lags[record.who].append((record.t, record.lag))
                case _:
                    pass
        for number, at in since.items():
            self.balancer_outages[number].append((at, inf))
        for name, at in paused.items():
            self.server_pauses[name].append((at, inf))

    def check(self) -> CheckResult:
        for name, one in self.tunnels.items():
            self._check_answers(name, one)
            self._check_effects(name, one)
        self._check_drains()
        self._check_cold_servers()
        for record in self.records:
            if isinstance(record, rec.Balancer) and record.what == "died":
                self._add_violation(0, record.t, "", f"balancer n{record.number} ended by itself")
        self.result.violations.sort(key=lambda breach: (breach.rule, breach.at))
        return self.result

    def _add_violation(
        self, rule: int, at: float, tunnel: str, text: str, seen: tuple[str, ...] = ()
    ) -> None:
        self.result.violations.append(Violation(rule, at - self.meta.began, tunnel, text, seen))

    # Rule 1.

    def _check_answers(self, name: str, one: TunnelRecords) -> None:
        asked = one.asked
        if asked is None:
            if one.took:
                where = one.took[0].server
                self._add_violation(1, one.took[0].t, name, f"{where} got a tunnel that no client asked for")
            return
        if self._is_excluded(asked):
            return
        last = asked.t + asked.patience + TIMING_TOLERANCE_SECONDS
        if not one.answers:
            if last + END_MARGIN_SECONDS < self._last_record_time():
                text = "neither an answer nor an end reached its client"
                self._add_violation(1, last, name, text, one.history(self.meta.began))
            else:
                self.result.tunnels_excluded["asked at the very end"] += 1
            return
        self.result.tunnels_checked += 1
        first = one.answers[0]
        late = first.t - last - self._lag_at("clients", first.t)
        if first.how == "none":
            text = f"no answer within {asked.patience:g} s"
        elif first.how == "lost":
            text = "its connection ended without an answer"
        elif late > 0:
            text = f"answered {late + TIMING_TOLERANCE_SECONDS:.3f} s after its client timeout"
        elif len(one.answers) > 1:
            text = f"{len(one.answers)} final answers"
        elif any(took.server in self.proxied_servers for took in one.took):
            return  # what came after, and the receipt, may be the box's work
        elif one.further:
            text = f"something after its answer: {one.further[0].line!r}"
        elif first.how == "opened" and (name, first.line) not in self.receipts:
            text = f"opened with {first.line!r}, which no server gave"
        else:
            return
        self._add_violation(1, first.t, name, text, one.history(self.meta.began))

    def _last_record_time(self) -> float:
        return max((r.t for r in self.records), default=0.0)

    def _is_excluded(self, asked: rec.Asked) -> bool:
        if self.meta.boxed_clients:
            self.result.tunnels_excluded["behind a box between clients and balancers"] += 1
            return True
        until = asked.t + asked.patience + TIMING_TOLERANCE_SECONDS
        if any(
            begin <= until and end >= asked.t - TIMING_TOLERANCE_SECONDS
            for begin, end in self.balancer_outages[asked.balancer]
        ):
            self.result.tunnels_excluded["at a balancer that was killed or paused"] += 1
            return True
        return False

    def _lag_at(self, who: str, at: float) -> float:
        """How late a part of the rig may itself have been then."""
        return max((lag for t, lag in self.lags[who] if t - 1.2 <= at <= t + 0.2), default=0.0)

    # Rule 2.

    def _setups_in_order(self, one: TunnelRecords) -> list[Setup]:
        setups = []
        for took in sorted(one.took, key=lambda took: took.t):
            said = next((s for s in one.said if s.server == took.server and s.t >= took.t), None)
            gone = next((g for g in one.gone if g.server == took.server and g.t >= took.t), None)
            word = said.line.split(" ")[0] if said is not None else ""
            over = [inf if gone is None else gone.t]
            if said is not None and word != "UP":
                over.append(said.t)
            over += [t for t in self.server_starts[took.server] if t > took.t][:1]
            timed = not self._times_unreliable(took)
            setups.append(Setup(took.server, took.t, word, min(over), timed))
        return setups

    def _times_unreliable(self, took: rec.Took) -> bool:
        """Its server can't tell when a setup was given up."""
        late = self._lag_at(took.server, took.t) > 0.0
        stood = any(b <= took.t <= e + TIMING_TOLERANCE_SECONDS for b, e in self.server_pauses[took.server])
        return late or stood or took.server in self.proxied_servers

    def _check_effects(self, name: str, one: TunnelRecords) -> None:
        if one.asked is None or len(one.took) == 0:
            return
        profile = self.meta.scenario.profile[one.asked.profile]
        setups = self._setups_in_order(one)
        seen = one.history(self.meta.began)
        for earlier, later in pairwise(setup for setup in setups if setup.times_reliable):
            if (
                earlier.ended_at > later.received_at + OVERLAP_TOLERANCE_SECONDS
                and not self._server_was_killed(earlier, later.received_at)
            ):
                text = f"two setups out: {earlier.server} still has it, {later.server} got it too"
                self._add_violation(2, later.received_at, name, text, seen)
        ran = [setup for setup in setups if setup.may_have_run]
        if profile.semantics == "side_effect" and ran:
            first = ran[0]
            in_order = all(setup.times_reliable for setup in setups)
            if len(ran) > 1 or (in_order and setups[-1] is not first):
                text = f"once-only, may have run at {first.server}, and was sent on to {setups[-1].server}"
                self._add_violation(2, setups[-1].received_at, name, text, seen)
            elif one.answers and one.answers[0].how == "declined":
                text = f"once-only, may have run at {first.server}, and was declined"
                self._add_violation(2, one.answers[0].t, name, text, seen)
        if profile.semantics == "token" and ran:
            self._check_referenced(name, profile, setups, ran[0], seen)

    def _server_was_killed(self, setup: Setup, by: float) -> bool:
        """Its server's process had ended by then, which nobody there wrote down."""
        return any(
            setup.received_at - TIMING_TOLERANCE_SECONDS <= t <= by + TIMING_TOLERANCE_SECONDS
            for t in self.server_kills[setup.server]
        )

    def _check_referenced(
        self, name: str, profile: Profile, setups: list[Setup], first: Setup, seen: tuple[str, ...]
    ) -> None:
        places = {"all": {}, "zone": self.meta.zones, "cell": self.meta.cells}[profile.group]
        for setup in setups:
            if setup.received_at <= first.received_at:
                continue
            if places.get(setup.server) != places.get(first.server):
                text = f"referenced within its {profile.group}, sent to {first.server} and {setup.server}"
                self._add_violation(2, setup.received_at, name, text, seen)
            elif setup.received_at > first.received_at + profile.window + TIMING_TOLERANCE_SECONDS:
                span = setup.received_at - first.received_at
                text = f"referenced for {profile.window:g} s, sent again after {span:.3f} s"
                self._add_violation(2, setup.received_at, name, text, seen)

    # Rule 3.

    def _check_drains(self) -> None:
        """What was written to a balancer, or counts as told, against what it began to send."""
        told: dict[tuple[int, str], float] = {}  # since when a balancer knows a server as not to be used
        fact: dict[str, float] = {}  # since when discovery has it to tell
        well_since = -inf
        sends = [(took.began, took, name) for name, one in self.tunnels.items() for took in one.took]
        events: list[tuple[float, int, object]] = [(began, 1, (took, name)) for began, took, name in sends]
        events += [(r.t, 0, r) for r in self.records if isinstance(r, rec.Wrote | rec.Changed | rec.Mark)]
        events += [(r.t, 0, r) for r in self.records if isinstance(r, rec.Balancer) and r.what == "started"]
        grace = self.meta.scenario.fleet.drain_grace + TIMING_TOLERANCE_SECONDS
        for at, _, event in sorted(events, key=lambda item: (item[0], item[1])):
            match event:
                case rec.Wrote():
                    self._apply_list_update(event, told)
                case rec.Changed():
                    if event.status == "up":
                        fact.pop(event.server, None)
                    else:
                        fact.setdefault(event.server, at)
                case rec.Mark() if event.what.startswith("discovery"):
                    well_since = at if event.ends or event.what == "discovery-lower" else inf
                case rec.Balancer():
                    # A process that starts is told anew.
                    for key in [key for key in told if key[0] == event.number]:
                        del told[key]
                case (rec.Took() as took, str() as name):
                    known = told.get((took.balancer, took.server), inf)
                    started = max((t for t in self.balancer_starts[took.balancer] if t <= at), default=-inf)
                    if took.server in fact:
                        known = min(
                            known, max(fact[took.server], well_since, started) + ASSUMED_NOTIFIED_SECONDS
                        )
                    if at > known + grace and not self._send_time_unknown(took):
                        text = f"{took.server} got it {at - known:.3f} s after n{took.balancer} was told"
                        self._add_violation(3, at, name, text, self.tunnels[name].history(self.meta.began))
                case _:
                    pass

    def _send_time_unknown(self, took: rec.Took) -> bool:
        """Its server or its link stood still, so when it was sent is not known."""
        return self._times_unreliable(took) or any(
            b <= took.began <= e + TIMING_TOLERANCE_SECONDS for b, e in self.server_pauses[took.server]
        )

    @staticmethod
    def _apply_list_update(event: rec.Wrote, told: dict[tuple[int, str], float]) -> None:
        for server, status in event.statuses.items():
            if status == "up":
                told.pop((event.balancer, server), None)
            else:
                told.setdefault((event.balancer, server), event.t)

    # Rule 4.

    def _check_cold_servers(self) -> None:
        """Setups that cold servers got within any tip time, against what they could do then."""
        fleet, demand = self.meta.scenario.fleet, self.meta.scenario.demand
        took: dict[tuple[str, int], list[float]] = defaultdict(list)
        for one in self.tunnels.values():
            for each in one.took:
                took[each.server, each.start].append(each.t)
        shares = {kind.name: kind.capacity for kind in fleet.kinds}
        capacity = max(shares.values())  # its kind is not told here: the widest budget is used
        for record in self.records:
            if isinstance(record, rec.Fell):
                text = f"{record.server} fell over cold: {record.came} setups, room for {record.budget:.1f}"
                self._add_violation(4, record.t, "", text)
            if not isinstance(record, rec.Started) or not record.cold:
                continue
            times = sorted(took[record.server, record.start])
            for i, at in enumerate(times):
                age = (at - record.t) / fleet.cold_seconds
                if age > 1.0:
                    break
                share = fleet.cold_from + (1 - fleet.cold_from) * max(0.0, age)
                fills = capacity * share / mean_tunnel_work(demand)
                room = fleet.tip_multiple * fills * fleet.tip_seconds + COLD_SLACK
                came = i + 1 - bisect_left(times, at - fleet.tip_seconds)
                if came > room:
                    span = f"{fleet.tip_seconds:g} s"
                    text = f"{record.server}, cold, got {came} setups in {span}, room for {room:.1f}"
                    self._add_violation(4, at, "", text)
                    break


def _format_record(record: rec.AnyRecord, began: float) -> str:
    told = msgspec.to_builtins(record)
    kind, at = told.pop("is"), told.pop("t")
    told.pop("name", None)
    return f"{at - began:9.3f}s {kind} " + " ".join(f"{name}={value}" for name, value in told.items())


def format_result(verdict: CheckResult) -> list[str]:
    """The verdict in lines, as a person reads it."""
    lines = [
        f"rules: {'kept' if verdict.passed else 'BROKEN'}, {verdict.tunnels_checked} tunnels judged"
        + "".join(f", {count} {why}" for why, count in sorted(verdict.tunnels_excluded.items()))
    ]
    for rule, count in sorted(verdict.violations_by_rule().items()):
        for breach in [b for b in verdict.violations if b.rule == rule][:MAX_VIOLATIONS_SHOWN]:
            lines += breach.format_lines()
        if count > MAX_VIOLATIONS_SHOWN:
            lines.append(f"    and {count - MAX_VIOLATIONS_SHOWN} more of rule {rule}")
    return lines
