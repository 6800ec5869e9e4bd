"""Runs scenarios in which servers restart cold while discovery is silent, so that no list reports them.

    python benchmarks/unreported_cold_servers.py [--seeds 10] [--beside 3] [--only NAME ...] [--plot FILE]

Scenarios `power-loss` and `three-at-once`, seeds 1 to N. A row for each: service, mean and lowest seed, lost
tunnels, the second from which on the share of credit stays above 0.9, and the rules. The plot shows the share
of credit by second.
"""

from __future__ import annotations

import argparse
import asyncio
import os
from pathlib import Path

import msgspec

from pointgw.testbed import records as rec
from pointgw.testbed.invariant_checker import check_records
from pointgw.testbed.results import Result, compute_result, spread
from pointgw.testbed.run import ScenarioRun
from pointgw.testbed.scenario import read

SCENARIOS = ("power-loss", "three-at-once")
RECOVERED_SHARE = 0.9  # share of the credit requested


async def run_one(name: str, seed: int, folder: Path, run: int) -> Result:
    meta = await ScenarioRun(msgspec.structs.replace(read(name), seed=seed), folder, run_number=run).execute()
    found = rec.read(folder)
    return compute_result(found, meta, check_records(found, meta))


async def run_all(names: list[str], seeds: int, beside: int, folder: Path) -> dict[str, list[Result]]:
    gate = asyncio.Semaphore(beside)

    async def run_gated(number: int, name: str, seed: int) -> Result:
        async with gate:
            await asyncio.sleep(1.5 * (number % beside))
            return await run_one(name, seed, folder / f"{name}-{seed}", os.getpid() + number)

    runs = [(name, seed) for name in names for seed in range(1, seeds + 1)]
    results = await asyncio.gather(*(run_gated(i, *run) for i, run in enumerate(runs)))
    return {
        name: [r for (scenario, _), r in zip(runs, results, strict=True) if scenario == name]
        for name in names
    }


def mean_by_second(runs: list[Result]) -> list[float]:
    """Mean share of credit of the runs, by second."""
    return [sum(run.seconds[i] for run in runs) / len(runs) for i in range(min(len(r.seconds) for r in runs))]


def recovery_second(seconds: list[float]) -> int:
    """The second after which the share stays at `RECOVERED_SHARE` or more; the last one is ignored."""
    return max((i + 1 for i, share in enumerate(seconds[:-1]) if share < RECOVERED_SHARE), default=0)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--beside", type=int, default=3)
    parser.add_argument("--only", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--folder", type=Path, default=Path("found/cold-untold"))
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    found = asyncio.run(run_all(options.only, options.seeds, options.beside, options.folder))
    print("| scenario | service | lowest | lost | over 0.9 for good, s | rules |\n" + "| --- " * 6 + "|")
    for name, runs in found.items():
        kept = sum(r.kept for r in runs)
        violations = "".join(f", seed {r.seed}: {r.breaches}" for r in runs if not r.kept)
        strained = "".join(f", seed {r.seed} STRAINED" for r in runs if r.strain)
        print(
            f"| {name} | {spread([r.service for r in runs]).text()} | {min(r.service for r in runs):.3f} "
            f"| {sum(r.answers.get('lost', 0) for r in runs)} | {recovery_second(mean_by_second(runs))} "
            f"| kept on {kept} of {len(runs)}{violations}{strained} |"
        )
    for name, runs in found.items():
        print(f"\n{name} by second: " + " ".join(f"{share:.2f}" for share in mean_by_second(runs)))
    if options.plot is not None:
        _plot(found, options.plot)


def _plot(found: dict[str, list[Result]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(len(found), 1, figsize=(9, 3.2 * len(found)), squeeze=False)
    for ax, (name, runs) in zip(axes[:, 0], found.items(), strict=True):
        for run in runs:
            ax.plot(run.seconds, color="0.8", linewidth=0.7)
        ax.plot(mean_by_second(runs), label=f"mean of {len(runs)} seeds")
        ax.set(title=name, ylabel="share of credit", ylim=(0.0, 1.05), xlabel="seconds")
        ax.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()
