"""Restarts all balancers while discovery is silent, shortly after two servers were drained.

Measures the setups that the drained servers get and the share of credit served in the first ten seconds: with
a snapshot, without one, and without one but with discovery reachable.

    python benchmarks/restart_without_discovery.py [--seeds 20] [--beside 5] [--plot docs/design/blind.png]
    python benchmarks/restart_without_discovery.py --ages [--seeds 5]

4 balancers x 12 servers, scenario `starting-blind`; `--beside` runs at a time. `--ages`: a third of the
servers is gone when the balancers restart, and the snapshot is made ten seconds, an hour, a day and a week
old; "without ageing" is the same snapshot with its original times, so that all its entries are trusted.
"""

from __future__ import annotations

import argparse
import asyncio
import os
from collections.abc import Callable
from pathlib import Path

import msgspec

from pointgw.state.snapshot_format import encode
from pointgw.state.snapshot_store import SnapshotStore
from pointgw.testbed import records
from pointgw.testbed.invariant_checker import check_records
from pointgw.testbed.meta import Meta
from pointgw.testbed.results import Result, compare, compute_result, spread
from pointgw.testbed.run import ScenarioRun
from pointgw.testbed.scenario import Scenario, Trouble, read

FIRST_SECONDS = 10.0  # seconds after the restart that are measured


def variants() -> dict[str, Scenario]:
    """The scenario with and without snapshots, by name of the row."""
    scenario = read("starting-blind")
    without_snapshots = msgspec.structs.replace(scenario.fleet, remembers=False)
    without_silence = tuple(t for t in scenario.trouble if t.what != "discovery-silent")
    return {
        "snapshot": scenario,
        "no snapshot": msgspec.structs.replace(scenario, fleet=without_snapshots),
        "no snapshot, discovery up": msgspec.structs.replace(
            scenario, fleet=without_snapshots, trouble=without_silence
        ),
    }


class RunMeasures(msgspec.Struct):
    """Measures of one run."""

    result: Result
    drained_setups: int  # setups that drained servers read after the restart
    first_share: float  # share of credit served in `FIRST_SECONDS`


AGES = {"10 s": 10.0, "1 hour": 3600.0, "1 day": 86_400.0, "1 week": 7 * 86_400.0}


def third_lost_scenario() -> Scenario:
    """Four of twelve servers are killed for good while discovery is silent, before the balancers restart."""
    scenario = read("starting-blind")
    dead = Trouble(9.0, "server-kill", which=(1, 5, 8, 10), late=60.0)
    silent = Trouble(7.0, "discovery-silent", 18.0)
    kill = next(t for t in scenario.trouble if t.what == "balancer-kill")
    return msgspec.structs.replace(scenario, trouble=(silent, dead, kill))


def age_snapshot(age: float) -> Callable[[Path], None]:
    """Returns a function that makes the snapshot in a folder `age` seconds older."""

    def between(folder: Path) -> None:
        store = SnapshotStore(str(folder))
        store.claim("benchmark")
        found = store.load().snapshot
        assert found is not None
        records_aged = tuple(
            msgspec.structs.replace(
                record,
                confirmed_at=record.confirmed_at - age,
                seen_at=max(0.0, record.seen_at - age),
                started_at=record.started_at and record.started_at - age,
            )
            for record in found.servers
        )
        store.save(
            encode(msgspec.structs.replace(found, servers=records_aged, written_at=found.written_at - age))
        )
        store.release()

    return between


async def run_one(
    scenario: Scenario,
    seed: int,
    folder: Path,
    run: int,
    gate: asyncio.Semaphore,
    between: Callable[[Path], None] | None = None,
) -> RunMeasures:
    async with gate:
        seeded = msgspec.structs.replace(scenario, seed=seed)
        meta = await ScenarioRun(seeded, folder, run_number=run, on_balancer_down=between).execute()
        found = records.read(folder)
        return RunMeasures(compute_result(found, meta, check_records(found, meta)), *measure(found, meta))


def measure(found: list[records.AnyRecord], meta: Meta) -> tuple[int, float]:
    """`drained_setups` and `first_share` of a run."""
    killed_at = [
        r.t for r in found if isinstance(r, records.Mark) and r.what == "balancer-kill" and not r.ends
    ]
    restarted_at = max(
        r.t for r in found if isinstance(r, records.Mark) and r.what == "balancer-kill" and r.ends
    )
    drained = {
        f"s-{number}"
        for r in found
        if isinstance(r, records.Mark) and r.what == "server-drain" and r.t < killed_at[0]
        for number in r.which
    }
    reached = sum(isinstance(r, records.Took) and r.server in drained and r.t > restarted_at for r in found)
    seconds = [
        r
        for r in found
        if isinstance(r, records.Second) and restarted_at < r.t - 0.5 <= restarted_at + FIRST_SECONDS
    ]
    asked = sum(sum(r.asked) for r in seconds)
    return reached, sum(sum(r.served) for r in seconds) / asked if asked else 0.0


Job = tuple[Scenario, Callable[[Path], None] | None]


def select_jobs(ages: bool) -> dict[str, Job]:
    """What to run, by name of the row."""
    if not ages:
        return {name: (scenario, None) for name, scenario in variants().items()}
    third_lost = third_lost_scenario()
    without_snapshots = msgspec.structs.replace(
        third_lost, fleet=msgspec.structs.replace(third_lost.fleet, remembers=False)
    )
    found: dict[str, Job] = {name: (third_lost, age_snapshot(age)) for name, age in AGES.items()}
    return found | {"without ageing": (third_lost, None), "no snapshot": (without_snapshots, None)}


async def run_all(
    wanted: dict[str, Job], seeds: int, beside: int, folder: Path
) -> dict[str, list[RunMeasures]]:
    gate = asyncio.Semaphore(beside)
    found: dict[str, list[RunMeasures]] = {}
    runs = iter(range(os.getpid(), os.getpid() + 10_000))
    jobs = {
        name: [
            run_one(scenario, seed, folder / name.replace(" ", "-") / str(seed), next(runs), gate, between)
            for seed in range(1, seeds + 1)
        ]
        for name, (scenario, between) in wanted.items()
    }
    results = await asyncio.gather(*(asyncio.gather(*work) for work in jobs.values()))
    for name, measured in zip(jobs, results, strict=True):
        found[name] = list(measured)
    return found


def draw(found: dict[str, list[RunMeasures]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(10, 4.5), constrained_layout=True)
    for number, (name, runs) in enumerate(found.items()):
        length = min(len(run.result.seconds) for run in runs)
        columns = [sorted(run.result.seconds[i] for run in runs) for i in range(length)]
        medians = [column[len(column) // 2] for column in columns]
        axis.plot(range(1, length + 1), medians, label=f"{name} (median of {len(runs)})", color=f"C{number}")
        low, high = [c[len(c) // 10] for c in columns], [c[-1 - len(c) // 10] for c in columns]
        axis.fill_between(range(1, length + 1), low, high, color=f"C{number}", alpha=0.15)
    for begin, end, what in next(iter(found.values()))[0].result.marks:
        axis.axvspan(begin, max(end, begin + 0.15), color="grey", alpha=0.12)
        axis.text(begin, 0.02 if "kill" in what else 0.08, what, fontsize=8)
    axis.set_xlabel("seconds")
    axis.set_ylabel("share of credit served well")
    axis.set_ylim(0, 1.05)
    axis.legend(fontsize=8, loc="lower left")
    figure.savefig(path, dpi=110)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--beside", type=int, default=5)
    parser.add_argument("--folder", type=Path, default=Path("found/blind"))
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--ages", action="store_true")
    options = parser.parse_args()
    found = asyncio.run(run_all(select_jobs(options.ages), options.seeds, options.beside, options.folder))
    print("| | setups at drained servers | served, first 10 s | service | rules |\n|" + " --- |" * 5)
    shares = {}
    for name, runs in found.items():
        shares[name] = {run.result.seed: run.first_share for run in runs}
        kept = sum(run.result.kept for run in runs)
        print(
            f"| {name} | {sum(run.drained_setups for run in runs)} |"
            f" {spread(list(shares[name].values())).text()} |"
            f" {spread([run.result.service for run in runs]).text()} | kept in {kept} of {len(runs)} |"
        )
        for run in runs:
            for line in run.result.strain:
                print(f"{name} seed {run.result.seed}: {line}")
    reference = list(shares)[-1] if options.ages else "snapshot"
    for name in shares:
        if name != reference:
            compared = compare(shares[reference], shares[name])
            print(
                f"first 10 s, {name} compared with {reference}: {compared.difference.text()},"
                f" {compared.verdict}"
            )
    if options.plot is not None:
        draw(found, options.plot)


if __name__ == "__main__":
    main()
