"""Cold servers that nobody told of: the days on which servers start again while discovery is silent.

    python benchmarks/unreported_cold_servers.py [--seeds 10] [--beside 3] [--only NAME ...] [--plot FILE]

Plays `power-loss` and `three-at-once` of the library, seeds 1 to N. A row for each day: service, its
lowest seed, what fell, how long after the last start credit is over 0.9 for good, and the rules. The plot is
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

DAYS = ("power-loss", "three-at-once")
BACK = 0.9  # of the credit asked


async def one(name: str, seed: int, folder: Path, run: int) -> Result:
    meta = await ScenarioRun(msgspec.structs.replace(read(name), seed=seed), folder, run_number=run).execute()
    found = rec.read(folder)
    return compute_result(found, meta, check_records(found, meta))


async def all_of_them(days: list[str], seeds: int, beside: int, folder: Path) -> dict[str, list[Result]]:
    free = asyncio.Semaphore(beside)

    async def play(number: int, name: str, seed: int) -> Result:
        async with free:
            await asyncio.sleep(1.5 * (number % beside))
            return await one(name, seed, folder / f"{name}-{seed}", os.getpid() + number)

    runs = [(name, seed) for name in days for seed in range(1, seeds + 1)]
    results = await asyncio.gather(*(play(i, *run) for i, run in enumerate(runs)))
    return {name: [r for (day, _), r in zip(runs, results, strict=True) if day == name] for name in days}


def by_second(runs: list[Result]) -> list[float]:
    return [sum(run.seconds[i] for run in runs) / len(runs) for i in range(min(len(r.seconds) for r in runs))]


def back_for_good(seconds: list[float]) -> int:
    """The first second after which none is under `BACK`; the length where the day ends under it."""
    return max((i + 1 for i, part in enumerate(seconds[:-1]) if part < BACK), default=0)


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--seeds", type=int, default=10)
    args.add_argument("--beside", type=int, default=3)
    args.add_argument("--only", nargs="*", default=list(DAYS))
    args.add_argument("--folder", type=Path, default=Path("found/cold-untold"))
    args.add_argument("--plot", type=Path)
    told = args.parse_args()
    found = asyncio.run(all_of_them(told.only, told.seeds, told.beside, told.folder))
    print("| day | service | lowest | lost | over 0.9 for good, s | rules |\n" + "| --- " * 6 + "|")
    for name, runs in found.items():
        kept = sum(r.kept for r in runs)
        broken = "".join(f", seed {r.seed}: {r.breaches}" for r in runs if not r.kept)
        strained = "".join(f", seed {r.seed} STRAINED" for r in runs if r.strain)
        print(
            f"| {name} | {spread([r.service for r in runs]).text()} | {min(r.service for r in runs):.3f} "
            f"| {sum(r.answers.get('lost', 0) for r in runs)} | {back_for_good(by_second(runs))} "
            f"| kept on {kept} of {len(runs)}{broken}{strained} |"
        )
    for name, runs in found.items():
        print(f"\n{name} by second: " + " ".join(f"{part:.2f}" for part in by_second(runs)))
    if told.plot is not None:
        _draw(found, told.plot)


def _draw(found: dict[str, list[Result]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(len(found), 1, figsize=(9, 3.2 * len(found)), squeeze=False)
    for ax, (name, runs) in zip(axes[:, 0], found.items(), strict=True):
        for run in runs:
            ax.plot(run.seconds, color="0.8", linewidth=0.7)
        ax.plot(by_second(runs), label=f"mean of {len(runs)} seeds")
        ax.set(title=name, ylabel="share of credit", ylim=(0.0, 1.05), xlabel="seconds")
        ax.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()
