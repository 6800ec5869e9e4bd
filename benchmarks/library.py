"""Runs the library's scenarios with the balancer and the baselines, several seeds at the same time.

    python benchmarks/library.py [--seeds 3] [--only NAME ...] [--folder found/library]

Prints a Markdown row for each scenario: service with the half width of its 95% confidence interval over the
seeds, and violated rules. Runs whose stand-ins or machine were strained are listed below. All runs of a
scenario are concurrent: nine of them take about half of eight cores.
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


async def run_one(scenario: Scenario, seed: int, policy: str, folder: Path, run: int) -> Result:
    seeded = msgspec.structs.replace(scenario, seed=seed)
    place = folder / scenario.name / f"{policy}-{seed}"
    meta = await ScenarioRun(seeded, place, policy, run_number=run).execute()
    found = records.read(place)
    return compute_result(found, meta, check_records(found, meta))


async def run_scenario(name: str, seeds: int, policies: list[str], folder: Path) -> list[Result]:
    """Runs a scenario with all policies and seeds at the same time."""
    scenario = read(name)
    runs = [(seed, policy) for policy in policies for seed in range(1, seeds + 1)]
    first = os.getpid()
    return await asyncio.gather(
        *(run_one(scenario, seed, policy, folder, first + i) for i, (seed, policy) in enumerate(runs))
    )


def format_row(results: list[Result], policies: list[str]) -> tuple[str, list[str]]:
    """The row of a scenario, and a note for each strained run."""
    cells, notes = [results[0].scenario], []
    service = {p: {r.seed: r.service for r in results if r.policy == p} for p in policies}
    for policy in policies:
        policy_results = [r for r in results if r.policy == policy]
        broken = sorted({rule for r in policy_results for rule in r.breaches})
        rules = ", ".join(map(str, broken)) or "none judged"
        broken_text = "" if all(r.kept for r in policy_results) else f" (broken: {rules})"
        cells.append(spread(list(service[policy].values())).text() + broken_text)
        notes += [f"{r.scenario} {policy} seed {r.seed}: {line}" for r in policy_results for line in r.strain]
    policy_results = [r for r in results if r.policy == policies[0]]
    cells.append(f"{1e3 * max(r.setups.get('p99', 0.0) for r in policy_results):.0f}")
    cells.append(str(sum(r.answers.get("declined", 0) for r in policy_results)))
    cells.append(str(sum(r.moves for r in policy_results)))
    for policy in policies[1:]:
        cells.append(compare(service[policy], service[policies[0]]).verdict)
    return "| " + " | ".join(cells) + " |", notes


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", nargs="*", default=None)
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--folder", type=Path, default=Path("found/library"))
    options = parser.parse_args()
    headings = ["scenario", *options.policies, "p99 ms", "declined", "moves"]
    headings += [f"against {policy}" for policy in options.policies[1:]]
    print("| " + " | ".join(headings) + " |\n|" + " --- |" * len(headings), flush=True)
    notes: list[str] = []
    for name in options.only or scenario_names():
        results = asyncio.run(run_scenario(name, options.seeds, options.policies, options.folder))
        place = options.folder / name
        (place / "result.json").write_bytes(msgspec.json.encode(results))
        line, found = format_row(results, options.policies)
        notes += found
        print(line, flush=True)
    print("\n".join(["", *notes]) if notes else "\nno run was strained")


if __name__ == "__main__":
    main()
