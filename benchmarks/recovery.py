"""Measures how a fleet recovers from a power loss, with `[recovery]` and without it: service by credit.

    python benchmarks/recovery.py [--seeds 3]

Runs the scenario `power-loss` (6 balancers x 24 servers) with and without it at the same time, on the same
seeds. Prints a row for each run, then the share of credit by second. "first" and "second": when the profile
of higher credit first got 0.9 of the credit it requests, and that of lower credit 0.5, in seconds from the
loss.
"""

from __future__ import annotations

import argparse
import asyncio
import os
from pathlib import Path

import msgspec

from pointgw.testbed import records as rec
from pointgw.testbed.invariant_checker import check_records
from pointgw.testbed.results import Result, compute_result
from pointgw.testbed.run import ScenarioRun
from pointgw.testbed.scenario import read

SCENARIO = "power-loss"
LOSS_AT = 10.0  # seconds from the start of the scenario to the power loss
TARGET_SHARES = (0.9, 0.5)  # share of requested credit of the profiles with higher and lower credit


async def run_one(recovery_enabled: bool, seed: int, folder: Path, number: int) -> tuple[Result, list[float]]:
    scenario = read(SCENARIO)
    fleet = msgspec.structs.replace(scenario.fleet, recovers=recovery_enabled)
    seeded = msgspec.structs.replace(scenario, fleet=fleet, seed=seed)
    place = folder / f"{SCENARIO}-{'recovers' if recovery_enabled else 'alone'}-{seed}"
    meta = await ScenarioRun(seeded, place, run_number=os.getpid() + number).execute()
    found = rec.read(place)
    seconds = [r for r in found if isinstance(r, rec.Second) and r.t > meta.began + LOSS_AT + 1.0]
    target_times = []
    for profile, target in enumerate(TARGET_SHARES):
        at = next((r.t for r in seconds if r.served[profile] >= target * max(r.asked[profile], 1e-9)), None)
        target_times.append(at - meta.began - LOSS_AT if at is not None else float("nan"))
    return compute_result(found, meta, check_records(found, meta)), target_times


async def run_all(seeds: int, folder: Path) -> None:
    print("| seed | recovery | service | credit 2 | credit 1 | first to 0.9, s | second to 0.5, s | rules |")
    print("|" + " --- |" * 8)
    runs: dict[bool, list[Result]] = {False: [], True: []}
    for seed in range(1, seeds + 1):
        both = await asyncio.gather(*(run_one(on, seed, folder, 2 * seed + on) for on in (False, True)))
        for on, (measured, target_times) in enumerate(both):
            runs[bool(on)].append(measured)
            credit = " | ".join(f"{share:.3f}" for share in measured.by_profile.values())
            times = " | ".join(f"{at:.0f}" for at in target_times)
            kept = "kept" if measured.kept else "BROKEN"
            word = "on" if on else "off"
            print(f"| {seed} | {word} | {measured.service:.3f} | {credit} | {times} | {kept} |", flush=True)
    for is_on, each in runs.items():
        mean = [sum(second) / len(each) for second in zip(*(r.seconds for r in each), strict=False)]
        print(f"\n{'on' if is_on else 'off'}: " + " ".join(f"{share:.2f}" for share in mean[int(LOSS_AT) :]))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--folder", type=Path, default=Path("found/filling"))
    options = parser.parse_args()
    asyncio.run(run_all(options.seeds, options.folder))


if __name__ == "__main__":
    main()
