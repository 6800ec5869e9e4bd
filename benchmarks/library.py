"""Plays scenarios of the library with the balancer and the baselines, several seeds side by side.

    python benchmarks/library.py [--seeds 3] [--only NAME ...] [--folder found/library]

Prints a row of Markdown for each scenario: service with the half width of its 95% interval over the seeds,
and the verdict. Runs whose stand-ins or machine were strained are named below. All runs of one scenario
go on at the same time: nine of them take about half of eight cores.
"""

from __future__ import annotations

import argparse
import asyncio
import os
from pathlib import Path

import msgspec

from pointgw.testbed import records
from pointgw.testbed.baseline import POLICIES
from pointgw.testbed.invariant_checker import check_records
from pointgw.testbed.results import Result, compare, compute_result, spread
from pointgw.testbed.run import ScenarioRun
from pointgw.testbed.scenario import Scenario, read, scenario_names


async def one(scenario: Scenario, seed: int, policy: str, folder: Path, run: int) -> Result:
    seeded = msgspec.structs.replace(scenario, seed=seed)
    place = folder / scenario.name / f"{policy}-{seed}"
    meta = await ScenarioRun(seeded, place, policy, run_number=run).execute()
    found = records.read(place)
    return compute_result(found, meta, check_records(found, meta))


async def scene(name: str, seeds: int, policies: list[str], folder: Path) -> list[Result]:
    scenario = read(name)
    runs = [(seed, policy) for policy in policies for seed in range(1, seeds + 1)]
    first = os.getpid()
    return await asyncio.gather(
        *(one(scenario, seed, policy, folder, first + i) for i, (seed, policy) in enumerate(runs))
    )


def row(results: list[Result], policies: list[str]) -> tuple[str, list[str]]:
    cells, notes = [results[0].scenario], []
    service = {p: {r.seed: r.service for r in results if r.policy == p} for p in policies}
    for policy in policies:
        own = [r for r in results if r.policy == policy]
        broken = sorted({rule for r in own for rule in r.breaches})
        rules = ", ".join(map(str, broken)) or "none judged"
        verdict = "" if all(r.kept for r in own) else f" (broken: {rules})"
        cells.append(spread(list(service[policy].values())).text() + verdict)
        notes += [f"{r.scenario} {policy} seed {r.seed}: {line}" for r in own for line in r.strain]
    own = [r for r in results if r.policy == policies[0]]
    cells.append(f"{1e3 * max(r.setups.get('p99', 0.0) for r in own):.0f}")
    cells.append(str(sum(r.answers.get("declined", 0) for r in own)))
    cells.append(str(sum(r.moves for r in own)))
    for policy in policies[1:]:
        cells.append(compare(service[policy], service[policies[0]]).verdict)
    return "| " + " | ".join(cells) + " |", notes


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", nargs="*", default=None)
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--folder", type=Path, default=Path("found/library"))
    told = parser.parse_args()
    heads = ["scenario", *told.policies, "p99 ms", "declined", "moves"]
    heads += [f"against {policy}" for policy in told.policies[1:]]
    print("| " + " | ".join(heads) + " |\n|" + " --- |" * len(heads), flush=True)
    notes: list[str] = []
    for name in told.only or scenario_names():
        results = asyncio.run(scene(name, told.seeds, told.policies, told.folder))
        place = told.folder / name
        (place / "result.json").write_bytes(msgspec.json.encode(results))
        line, found = row(results, told.policies)
        notes += found
        print(line, flush=True)
    print("\n".join(["", *notes]) if notes else "\nno run was strained")


if __name__ == "__main__":
    main()
