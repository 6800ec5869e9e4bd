"""Runs the cases of a test file concurrently, and returns the records of each."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from pointgw.testbed import records as rec
from pointgw.testbed.invariant_checker import CheckResult, check_records
from pointgw.testbed.meta import Meta
from pointgw.testbed.results import Result, compute_result
from pointgw.testbed.run import ScenarioRun
from pointgw.testbed.scenario import Demand, Fleet, Kind, Scenario, Trouble

MAX_CONCURRENT_CASES = 1  # the cases measure service in real time: none may lack processors for another
START_INTERVAL = 1.5  # seconds, so that the cases don't all start processes at once
KINDS = (Kind("old", 2.0, 0.2), Kind("new", 1.0, 0.4))
DEMAND = Demand(arrivals=15.0, standing=190)  # about half the capacity of nine such servers
BALANCERS, SERVERS = 3, 9


@dataclass(frozen=True, slots=True)
class Case:
    """One run of the testbed."""

    troubles: tuple[Trouble, ...]
    seconds: float = 14.0
    keeps_snapshots: bool = True
    probes: bool = True
    # Called with a balancer's state folder while it is down.
    while_down: Callable[[Path], None] | None = None
    balancers: int = BALANCERS
    servers: int = SERVERS
    zones: tuple[str, ...] = ("a", "b")
    regions: dict[str, tuple[str, ...]] | None = None  # zones by region; None: balancers don't form a cluster
    demand: Demand = DEMAND
    has_recovery: bool = False

    def scenario(self, name: str) -> Scenario:
        """The scenario for the testbed."""
        fleet = Fleet(
            self.balancers, self.servers, zones=self.zones, kinds=KINDS, remembers=self.keeps_snapshots,
            probes=self.probes, talks=self.regions is not None, regions=self.regions or {},
            recovers=self.has_recovery,
        )  # fmt: skip
        return Scenario(name, "a case", self.seconds, fleet=fleet, demand=self.demand, trouble=self.troubles)


@dataclass(frozen=True, slots=True)
class CaseRun:
    """The records of a case, and what they amount to."""

    meta: Meta
    records: list[rec.AnyRecord]
    check_result: CheckResult
    result: Result

    def check(self, judged: int) -> None:
        """Asserts that no rule was violated and no cold server overloaded, judged by more than so many
        tunnels."""
        assert self.check_result.passed and not self.overloaded_servers(), self.result.verdict
        assert self.check_result.tunnels_checked > judged

    def overloaded_servers(self) -> list[str]:
        """Cold servers that were overloaded."""
        return [r.server for r in self.records if isinstance(r, rec.Fell)]

    def count_setups(self, servers: set[str], begin: float, end: float) -> int:
        """Number of setups that these servers received between two times, in seconds of the run."""
        a, b = self.meta.began + begin, self.meta.began + end
        return sum(isinstance(r, rec.Took) and r.server in servers and a <= r.t < b for r in self.records)

    def setups_of_balancer(self, balancer: int, begin: float, end: float) -> list[rec.Took]:
        """Setups that a balancer sent between two times."""
        a, b = self.meta.began + begin, self.meta.began + end
        return [
            r for r in self.records if isinstance(r, rec.Took) and r.balancer == balancer and a <= r.t < b
        ]

    def setups_by_server_zone(self, zone: int, begin: float, end: float) -> Counter[int]:
        """Setups that balancers of a zone sent between two times, counted by the server's zone."""
        a, b, zones = self.meta.began + begin, self.meta.began + end, len(self.meta.scenario.fleet.zones)
        return Counter(
            self.meta.zones[r.server]
            for r in self.records
            if isinstance(r, rec.Took) and r.balancer % zones == zone and a <= r.t < b
        )

    def credit_share(self, profile: int, begin: float, end: float) -> float:
        """Share of a profile's credit that was earned between two times."""
        a, b = self.meta.began + begin, self.meta.began + end
        seconds = [r for r in self.records if isinstance(r, rec.Second) and a <= r.t < b]
        return sum(r.served[profile] for r in seconds) / sum(r.asked[profile] for r in seconds)

    def processes_back_at(self) -> float:
        """When the last killed process was started again, in seconds of the run."""
        return max(end for _, end, kind in self.result.marks if kind.endswith("kill"))

    def balancers_serving_at(self) -> float:
        """When the last balancer that was started began to serve, in seconds of the run."""
        starts = [r.t for r in self.records if isinstance(r, rec.Balancer) and r.what == "serving"]
        return max(starts) - self.meta.began

    def open_tunnels_at(self, second: int) -> int:
        """Open tunnels in a second of the run."""
        return self.result.open[second]


def run_cases(cases: dict[str, Case], folder: Path) -> dict[str, CaseRun]:
    """Runs all cases, a few at a time."""

    async def run_all() -> dict[str, CaseRun]:
        slots = asyncio.Semaphore(MAX_CONCURRENT_CASES)

        async def run_one(index: int, name: str, case: Case) -> tuple[str, CaseRun]:
            async with slots:
                await asyncio.sleep(START_INTERVAL * (index % MAX_CONCURRENT_CASES))
                case_folder = folder / name.replace(" ", "-")
                scenario = case.scenario(name)
                meta = await ScenarioRun(
                    scenario, case_folder, run_number=os.getpid() + index, on_balancer_down=case.while_down
                ).execute()
                records = rec.read(case_folder)
                check_result = check_records(records, meta)
                return name, CaseRun(meta, records, check_result, compute_result(records, meta, check_result))

        return dict(await asyncio.gather(*(run_one(i, *item) for i, item in enumerate(cases.items()))))

    return asyncio.run(run_all())
