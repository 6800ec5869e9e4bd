"""Checks the records of a run against the four rules, tunnel by tunnel. No I/O.

Joins what clients recorded with what servers recorded and what discovery wrote to balancers; balancers' own
statements are not used.

What can't be checked is left out: tunnels at balancers that were killed or paused in the middle, links
behind a fault proxy, times of servers that were themselves late. A violation names the rule, the tunnel and
the times, and shows all records of the tunnel. Known limit: what a balancer sends to a paused server is
recorded only when the server resumes.
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

TIMING_TOLERANCE_SECONDS = 0.05  # time beyond each limit that sockets and timers take
ASSUMED_NOTIFIED_SECONDS = 6.0  # after a change at discovery, when a balancer counts as notified of it
OVERLAP_TOLERANCE_SECONDS = 0.05  # time for which a cancelled setup may still be open at its server
END_MARGIN_SECONDS = 0.5  # a tunnel due within this time of the last record need not have an answer
MAX_VIOLATIONS_SHOWN = 8  # violations of a rule that are shown in full


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule."""

    rule: int  # 1 to 4; 0: a balancer process ended unexpectedly
    at: float  # seconds from the scenario's start
    tunnel: str  # its id; empty where no tunnel is concerned
    text: str
    history: tuple[str, ...] = ()  # all records of the tunnel, formatted, in order of time

    def format_lines(self) -> list[str]:
        """Formats the violation: a line for itself, then one for each record of the tunnel."""
        name = f"rule {self.rule}" if self.rule else "crash"
        tunnel = f" tunnel {self.tunnel}" if self.tunnel else ""
        first = f"{name} broken at {self.at:.3f}s{tunnel}: {self.text}"
        return [first, *("    " + line for line in self.history)]


@dataclass(slots=True)
class CheckResult:
    """Result of checking a run."""

    tunnels_checked: int = 0
    tunnels_excluded: Counter[str] = field(default_factory=Counter)  # by reason
    violations: list[Violation] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether there is no violation, which holds too where nothing was checked."""
        return not self.violations

    def violations_by_rule(self) -> dict[int, int]:
        """Numbers of violations, by rule."""
        return dict(Counter(violation.rule for violation in self.violations))


@dataclass(slots=True)
class TunnelRecords:
    """All records of one tunnel id, by class of record."""

    asked: rec.Asked | None = None
    answers: list[rec.Answered] = field(default_factory=list)
    further: list[rec.Further] = field(default_factory=list)
    took: list[rec.Took] = field(default_factory=list)
    said: list[rec.Said] = field(default_factory=list)
    gone: list[rec.Gone] = field(default_factory=list)
    ended: list[rec.Ended] = field(default_factory=list)

    def history(self, began: float) -> tuple[str, ...]:
        """Formats the records in order of time, in seconds from `began`."""
        all_records: list[rec.AnyRecord] = [
            *([self.asked] if self.asked else []), *self.took, *self.said, *self.gone, *self.answers,
            *self.further, *self.ended,
        ]  # fmt: skip
        return tuple(_format_record(record, began) for record in sorted(all_records, key=lambda r: r.t))


@dataclass(frozen=True, slots=True)
class Setup:
    """One setup as its server recorded it. Times: the machine's monotonic clock."""

    server: str
    received_at: float
    answer: str  # first word of its answer: UP, BUSY or ERR; empty: none
    ended_at: float  # when it ended at the server; infinite: not recorded
    times_reliable: bool  # whether the server's times can be relied on

    @property
    def may_have_run(self) -> bool:
        """Whether it may have had an effect at the server."""
        return self.answer != "BUSY"


def check_records(records: list[rec.AnyRecord], meta: Meta) -> CheckResult:
    """Checks a run's records, which are in order of time.

    Raises nothing. A run without records has no violation and no tunnel checked, which callers must not take
    as a pass.
    """
    return InvariantChecker(records, meta).check()


class InvariantChecker:
    """Indexes the records of one run and checks each rule."""

    def __init__(self, records: list[rec.AnyRecord], meta: Meta) -> None:
        self.meta, self.records = meta, records
        self.proxied_servers = {f"s-{number}" for number in meta.boxed_servers}
        self.result = CheckResult()
        self.tunnels: dict[str, TunnelRecords] = defaultdict(TunnelRecords)
        self.receipts: set[tuple[str, str]] = set()
        # Spans (begin, end) in which a balancer could not act.
        self.balancer_outages: dict[int, list[tuple[float, float]]] = defaultdict(list)
        # Spans (begin, end) in which a server was paused.
        self.server_pauses: dict[str, list[tuple[float, float]]] = defaultdict(list)
        # Lags (time, seconds) of the testbed's own processes.
        self.lags: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.server_kills: dict[str, list[float]] = defaultdict(list)  # when its process was ended
        self.server_starts: dict[str, list[float]] = defaultdict(list)
        self.balancer_starts: dict[int, list[float]] = defaultdict(list)
        self._index_records()

    def _index_records(self) -> None:
        down_since: dict[int, float] = {}
        paused_since: dict[str, float] = {}
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
                    # A start ends the setups of the process before, for which there are no records.
                    self.server_starts[record.server].append(record.t)
                case rec.Balancer(what="started"):
                    self.balancer_starts[record.number].append(record.t)
                case rec.Balancer(what="killed" | "paused" | "died" | "ended"):
                    down_since.setdefault(record.number, record.t)
                case rec.Balancer(what="serving" | "resumed"):
                    if record.number in down_since:
                        self.balancer_outages[record.number].append((down_since.pop(record.number), record.t))
                case rec.Mark(what="server-kill" | "server-drain"):
                    for number in record.which:
                        self.server_kills[f"s-{number}"].append(record.t)
                case rec.Mark(what="server-pause"):
                    for number in record.which:
                        if not record.ends:
                            paused_since[f"s-{number}"] = record.t
                        elif f"s-{number}" in paused_since:
                            self.server_pauses[f"s-{number}"].append(
                                (paused_since.pop(f"s-{number}"), record.t)
                            )
                case rec.Strain() if record.lag > TIMING_TOLERANCE_SECONDS / 2:
                    self.lags[record.who].append((record.t, record.lag))
                case _:
                    pass
        for number, begin in down_since.items():
            self.balancer_outages[number].append((begin, inf))
        for name, begin in paused_since.items():
            self.server_pauses[name].append((begin, inf))

    def check(self) -> CheckResult:
        """Checks all rules; violations are ordered by rule, then time."""
        for name, tunnel in self.tunnels.items():
            self._check_answers(name, tunnel)
            self._check_effects(name, tunnel)
        self._check_drains()
        self._check_cold_servers()
        for record in self.records:
            if isinstance(record, rec.Balancer) and record.what == "died":
                self._add_violation(0, record.t, "", f"balancer n{record.number} ended unexpectedly")
            elif isinstance(record, rec.InternalError):
                self._add_violation(0, record.t, "", f"balancer n{record.number} logged: {record.line}")
        self.result.violations.sort(key=lambda violation: (violation.rule, violation.at))
        return self.result

    def _add_violation(
        self, rule: int, at: float, tunnel: str, text: str, history: tuple[str, ...] = ()
    ) -> None:
        self.result.violations.append(Violation(rule, at - self.meta.began, tunnel, text, history))

    # Rule 1.

    def _check_answers(self, name: str, tunnel: TunnelRecords) -> None:
        asked = tunnel.asked
        if asked is None:
            if tunnel.took:
                server = tunnel.took[0].server
                self._add_violation(
                    1, tunnel.took[0].t, name, f"{server} received a setup that no client requested"
                )
            return
        if self._is_excluded(asked):
            return
        deadline = asked.t + asked.patience + TIMING_TOLERANCE_SECONDS
        if not tunnel.answers:
            if deadline + END_MARGIN_SECONDS < self._last_record_time():
                text = "its client received neither an answer nor the end of its connection"
                self._add_violation(1, deadline, name, text, tunnel.history(self.meta.began))
            else:
                self.result.tunnels_excluded["asked at the very end"] += 1
            return
        self.result.tunnels_checked += 1
        first = tunnel.answers[0]
        late = first.t - deadline - self._lag_at("clients", first.t)
        if first.how == "none":
            text = f"no answer within {asked.patience:g} s"
        elif first.how == "lost":
            text = "its connection ended without an answer"
        elif late > 0:
            text = f"answered {late + TIMING_TOLERANCE_SECONDS:.3f} s after its client timeout"
        elif len(tunnel.answers) > 1:
            text = f"{len(tunnel.answers)} final answers"
        elif any(took.server in self.proxied_servers for took in tunnel.took):
            return  # later lines and the receipt may come from the fault proxy
        elif tunnel.further:
            text = f"a line after its final answer: {tunnel.further[0].line!r}"
        elif first.how == "opened" and (name, first.line) not in self.receipts:
            text = f"opened with {first.line!r}, a receipt that no server sent"
        else:
            return
        self._add_violation(1, first.t, name, text, tunnel.history(self.meta.began))

    def _last_record_time(self) -> float:
        return max((r.t for r in self.records), default=0.0)

    def _is_excluded(self, asked: rec.Asked) -> bool:
        """Whether its answers can't be checked; counts the reason."""
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

    def _lag_at(self, process: str, at: float) -> float:
        """Seconds that a process of the testbed may itself have been late at that time."""
        return max((lag for t, lag in self.lags[process] if t - 1.2 <= at <= t + 0.2), default=0.0)

    # Rule 2.

    def _setups_in_order(self, tunnel: TunnelRecords) -> list[Setup]:
        """The tunnel's setups, in the order in which servers received them."""
        setups = []
        for took in sorted(tunnel.took, key=lambda took: took.t):
            said = next((s for s in tunnel.said if s.server == took.server and s.t >= took.t), None)
            gone = next((g for g in tunnel.gone if g.server == took.server and g.t >= took.t), None)
            answer = said.line.split(" ")[0] if said is not None else ""
            ends = [inf if gone is None else gone.t]
            if said is not None and answer != "UP":
                ends.append(said.t)
            ends += [t for t in self.server_starts[took.server] if t > took.t][:1]
            reliable = not self._times_unreliable(took)
            setups.append(Setup(took.server, took.t, answer, min(ends), reliable))
        return setups

    def _times_unreliable(self, took: rec.Took) -> bool:
        """Whether its server may have recorded a setup, or its end, too late."""
        late = self._lag_at(took.server, took.t) > 0.0
        paused = any(b <= took.t <= e + TIMING_TOLERANCE_SECONDS for b, e in self.server_pauses[took.server])
        return late or paused or took.server in self.proxied_servers

    def _check_effects(self, name: str, tunnel: TunnelRecords) -> None:
        if tunnel.asked is None or len(tunnel.took) == 0:
            return
        profile = self.meta.scenario.profile[tunnel.asked.profile]
        setups = self._setups_in_order(tunnel)
        history = tunnel.history(self.meta.began)
        for earlier, later in pairwise(setup for setup in setups if setup.times_reliable):
            if (
                earlier.ended_at > later.received_at + OVERLAP_TOLERANCE_SECONDS
                and not self._server_was_killed(earlier, later.received_at)
            ):
                text = f"two setups at once: {earlier.server} still has one, {later.server} received another"
                self._add_violation(2, later.received_at, name, text, history)
        effective = [setup for setup in setups if setup.may_have_run]
        if profile.semantics == "side_effect" and effective:
            first = effective[0]
            in_order = all(setup.times_reliable for setup in setups)
            if len(effective) > 1 or (in_order and setups[-1] is not first):
                text = f"once-only, may have run at {first.server}, but was sent to {setups[-1].server}"
                self._add_violation(2, setups[-1].received_at, name, text, history)
            elif tunnel.answers and tunnel.answers[0].how == "declined":
                text = f"once-only, may have run at {first.server}, but was declined"
                self._add_violation(2, tunnel.answers[0].t, name, text, history)
        if profile.semantics == "token" and effective:
            self._check_referenced(name, profile, setups, effective[0], history)

    def _server_was_killed(self, setup: Setup, by: float) -> bool:
        """Whether its server's process was ended by then, so that there is no record of the setup's end."""
        return any(
            setup.received_at - TIMING_TOLERANCE_SECONDS <= t <= by + TIMING_TOLERANCE_SECONDS
            for t in self.server_kills[setup.server]
        )

    def _check_referenced(
        self, name: str, profile: Profile, setups: list[Setup], first: Setup, history: tuple[str, ...]
    ) -> None:
        """Checks that repeats stay in the first server's group of servers and within the dedup window."""
        domains = {"all": {}, "zone": self.meta.zones, "cell": self.meta.cells}[profile.group]
        for setup in setups:
            if setup.received_at <= first.received_at:
                continue
            if domains.get(setup.server) != domains.get(first.server):
                text = f"referenced within a {profile.group}, but sent to {first.server} and {setup.server}"
                self._add_violation(2, setup.received_at, name, text, history)
            elif setup.received_at > first.received_at + profile.window + TIMING_TOLERANCE_SECONDS:
                elapsed = setup.received_at - first.received_at
                text = f"referenced, dedup window {profile.window:g} s, but sent again after {elapsed:.3f} s"
                self._add_violation(2, setup.received_at, name, text, history)

    # Rule 3.

    def _check_drains(self) -> None:
        """Compares what a balancer was notified of, or counts as notified of, with the setups it began."""
        # Since when a balancer knows that a server drains or is removed.
        notified: dict[tuple[int, str], float] = {}
        changed: dict[str, float] = {}  # since when discovery knows it
        healthy_since = -inf
        setups = [(took.began, took, name) for name, tunnel in self.tunnels.items() for took in tunnel.took]
        events: list[tuple[float, int, object]] = [(began, 1, (took, name)) for began, took, name in setups]
        events += [(r.t, 0, r) for r in self.records if isinstance(r, rec.Wrote | rec.Changed | rec.Mark)]
        events += [(r.t, 0, r) for r in self.records if isinstance(r, rec.Balancer) and r.what == "started"]
        grace = self.meta.scenario.fleet.drain_grace + TIMING_TOLERANCE_SECONDS
        for at, _, event in sorted(events, key=lambda item: (item[0], item[1])):
            match event:
                case rec.Wrote():
                    self._apply_list_update(event, notified)
                case rec.Changed():
                    if event.status == "up":
                        changed.pop(event.server, None)
                    else:
                        changed.setdefault(event.server, at)
                case rec.Mark() if event.what.startswith("discovery"):
                    healthy_since = at if event.ends or event.what == "discovery-lower" else inf
                case rec.Balancer():
                    # A balancer process that starts is notified again.
                    for key in [key for key in notified if key[0] == event.number]:
                        del notified[key]
                case (rec.Took() as took, str() as name):
                    notified_at = notified.get((took.balancer, took.server), inf)
                    started = max((t for t in self.balancer_starts[took.balancer] if t <= at), default=-inf)
                    if took.server in changed:
                        notified_at = min(
                            notified_at,
                            max(changed[took.server], healthy_since, started) + ASSUMED_NOTIFIED_SECONDS,
                        )
                    if at > notified_at + grace and not self._send_time_unknown(took):
                        text = (
                            f"{took.server} got it {at - notified_at:.3f} s after n{took.balancer} was"
                            " notified"
                        )
                        self._add_violation(3, at, name, text, self.tunnels[name].history(self.meta.began))
                case _:
                    pass

    def _send_time_unknown(self, took: rec.Took) -> bool:
        """Whether its server or link was paused or late, so that the time of sending is not known."""
        return self._times_unreliable(took) or any(
            b <= took.began <= e + TIMING_TOLERANCE_SECONDS for b, e in self.server_pauses[took.server]
        )

    @staticmethod
    def _apply_list_update(event: rec.Wrote, notified: dict[tuple[int, str], float]) -> None:
        """Updates since when a balancer knows of each server that drains or is removed."""
        for server, status in event.statuses.items():
            if status == "up":
                notified.pop((event.balancer, server), None)
            else:
                notified.setdefault((event.balancer, server), event.t)

    # Rule 4.

    def _check_cold_servers(self) -> None:
        """Compares the setups of cold servers within each overload window with their budget."""
        fleet, demand = self.meta.scenario.fleet, self.meta.scenario.demand
        setup_times: dict[tuple[str, int], list[float]] = defaultdict(list)
        for tunnel in self.tunnels.values():
            for took in tunnel.took:
                setup_times[took.server, took.start].append(took.t)
        capacities = {kind.name: kind.capacity for kind in fleet.kinds}
        # Records don't name a server's kind, so the largest budget counts.
        capacity = max(capacities.values())
        for record in self.records:
            if isinstance(record, rec.Fell):
                text = (
                    f"{record.server} overloaded while cold: {record.came} setups, budget {record.budget:.1f}"
                )
                self._add_violation(4, record.t, "", text)
            if not isinstance(record, rec.Started) or not record.cold:
                continue
            times = sorted(setup_times[record.server, record.start])
            for i, at in enumerate(times):
                age = (at - record.t) / fleet.cold_seconds
                if age > 1.0:
                    break
                warm_share = fleet.cold_from + (1 - fleet.cold_from) * max(0.0, age)
                sustainable_rate = capacity * warm_share / mean_tunnel_work(demand)
                budget = fleet.tip_multiple * sustainable_rate * fleet.tip_seconds + COLD_SLACK
                received = i + 1 - bisect_left(times, at - fleet.tip_seconds)
                if received > budget:
                    window = f"{fleet.tip_seconds:g} s"
                    text = (
                        f"{record.server}, cold, received {received} setups in {window}, budget {budget:.1f}"
                    )
                    self._add_violation(4, at, "", text)
                    break


def _format_record(record: rec.AnyRecord, began: float) -> str:
    """Formats a record without its tunnel's id; its time in seconds from `began`."""
    fields = msgspec.to_builtins(record)
    kind, at = fields.pop("is"), fields.pop("t")
    fields.pop("name", None)
    return f"{at - began:9.3f}s {kind} " + " ".join(f"{name}={value}" for name, value in fields.items())


def format_result(result: CheckResult) -> list[str]:
    """Formats the result as lines of text: a summary, then the violations by rule."""
    lines = [
        f"rules: {'kept' if result.passed else 'BROKEN'}, {result.tunnels_checked} tunnels checked"
        + "".join(f", {count} {reason}" for reason, count in sorted(result.tunnels_excluded.items()))
    ]
    for rule, count in sorted(result.violations_by_rule().items()):
        for violation in [v for v in result.violations if v.rule == rule][:MAX_VIOLATIONS_SHOWN]:
            lines += violation.format_lines()
        if count > MAX_VIOLATIONS_SHOWN:
            lines.append(f"    and {count - MAX_VIOLATIONS_SHOWN} more of rule {rule}")
    return lines
