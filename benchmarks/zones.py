"""A zone is lost with its servers and balancers: who is served, how near, and what is told between balancers,
with the tier and without it.

    python benchmarks/zones.py [--seeds 5] [--beside 3] [--plot docs/design/zones.png]

The `zone-lost` of the library (6 balancers x 24 servers, 3 zones, 2 regions) at two loads: three quarters
of what the fleet bears, and half. The same seeds with and without `[tier]`, side by side. Credit lost counts
in the 15 s from the loss, in seconds' worth of all that was asked; "of which later" from 3.5 s after it:
the front deals clients to the dead balancers for 2 s, whatever the others do, and they come again 1.6 s on.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import time
from pathlib import Path

import msgspec

from pointgw.testbed import records as rec
from pointgw.testbed.invariant_checker import check_records
from pointgw.testbed.results import Result, compare, compute_result, spread
from pointgw.testbed.run import ScenarioRun
from pointgw.testbed.scenario import Scenario, Trouble, read

AFTER = 15.0  # seconds from the loss that are looked at
BEARS = 0.85  # load that a zone is filled to at most, as operate/tier.md states
LATER = 3.5  # the same, from which on it is the balancers that decide who is served
LOSSY = "tier, 30% of words lost, others 0.3 s late"
LOADS = {"three quarters": (54.0, 720), "half": (36.0, 480)}  # arrivals a second, standing from the start


class Seen(msgspec.Struct):
    """One run."""

    result: Result
    lost: float  # seconds' worth of credit in `AFTER`
    later: float  # of these, from `LATER` on
    served: list[float]  # by profile, in `AFTER`
    near: float  # share of setups that stayed in their zone, before the loss and after `AFTER`
    sent: float  # bytes a second that a balancer sent to others, the highest of all
    held: list[float]  # seconds from the loss until each balancer that lives held the zone to be closed
    highest: float  # load of a server of the zones that are left, the highest mean second of a zone
    over: int  # seconds in a row that such a zone was over `BEARS`


def variants() -> dict[str, Scenario]:
    told = read("zone-lost")
    found = {}
    for name, (arrivals, standing) in LOADS.items():
        demand = msgspec.structs.replace(told.demand, arrivals=arrivals, standing=standing)
        for word, talks in (("alone", False), ("tier", True), (LOSSY, True)):
            fleet = msgspec.structs.replace(told.fleet, talks=talks)
            lossy = Trouble(4.0, "peers-lossy", told.seconds - 5.0, (0,), size=0.3, late=0.3)
            trouble = (*told.trouble, *(lossy,) * (word == LOSSY))
            found[f"{name}, {word}"] = msgspec.structs.replace(
                told, fleet=fleet, demand=demand, trouble=trouble
            )
    return found


async def one(scenario: Scenario, seed: int, number: int, folder: Path) -> Seen:
    seeded = msgspec.structs.replace(scenario, seed=seed)
    meta = await ScenarioRun(seeded, folder, run_number=os.getpid() + number).execute()
    found = rec.read(folder)
    told = compute_result(found, meta, check_records(found, meta))
    at = min(t.at for t in scenario.trouble if t.target == "server")
    begin, end = meta.began + at, meta.began + at + AFTER
    seconds = [r for r in found if isinstance(r, rec.Second) and begin < r.t <= end]
    asked = [sum(r.asked[p] for r in seconds) for p in range(len(scenario.profile))]
    served = [sum(r.served[p] for r in seconds) for p in range(len(scenario.profile))]
    late = [r for r in seconds if r.t > begin + LATER]
    later = 1.0 - sum(sum(r.served) for r in late) / sum(sum(r.asked) for r in late)
    zones = len(scenario.fleet.zones)
    quiet = [
        r for r in found if isinstance(r, rec.Took) and not begin <= r.t <= end and r.t > meta.began + 4.0
    ]
    near = sum(meta.zones[r.server] == r.balancer % zones for r in quiet) / max(1, len(quiet))
    talk = [r for r in found if isinstance(r, rec.Talk) and r.t > meta.began + 3.0]
    return Seen(
        told, (1.0 - sum(served) / sum(asked)) * AFTER, later * (AFTER - LATER),
        [s / a for s, a in zip(served, asked, strict=True)],
        near, max((r.size for r in talk), default=0), _held(folder, len(scenario.fleet.zones), begin),
        *_highest(found, meta.zones, begin, end),
    )  # fmt: skip


def _held(folder: Path, zones: int, begin: float) -> list[float]:
    """By the balancers' logs, which tell the machine's other clock."""
    found, apart = [], time.time() - time.monotonic()
    for path in sorted(folder.glob("n*.log")):
        lines = [line for line in path.read_text().splitlines() if "closed=a" in line]
        if lines and int(path.stem[1:]) % zones:
            found.append(float(lines[0].split()[0].removeprefix("at=")) - apart - begin)
    return found


def _highest(
    found: list[rec.AnyRecord], zones: dict[str, int], begin: float, end: float
) -> tuple[float, int]:
    """The load of a zone that has all its servers, in its highest second; how many in a row were over."""
    loads: dict[tuple[int, int], list[float]] = {}
    for record in found:
        if isinstance(record, rec.State) and begin < record.t <= end:
            loads.setdefault((zones[record.server], int(record.t)), []).append(record.load)
    whole = max((len(each) for each in loads.values()), default=0)
    means = {at: sum(x) / len(x) for at, x in sorted(loads.items()) if len(x) == whole}
    longest = 0
    for zone, second in means:
        row = 0
        while means.get((zone, second + row), 0.0) > BEARS:
            row += 1
        longest = max(longest, row)
    return max(means.values(), default=0.0), longest


async def all_of_them(seeds: int, beside: int, folder: Path) -> dict[str, list[Seen]]:
    free = asyncio.Semaphore(beside)
    found: dict[str, list[Seen]] = {name: [] for name in variants()}

    async def play(number: int, name: str, scenario: Scenario, seed: int) -> None:
        async with free:
            await asyncio.sleep(1.5 * (number % beside))
            place = folder / f"{name.replace(', ', '-').replace(' ', '-').replace('%', '')}-{seed}"
            found[name].append(await one(scenario, seed, number, place))

    runs = [(name, told, seed) for seed in range(1, seeds + 1) for name, told in variants().items()]
    await asyncio.gather(*(play(i, *run) for i, run in enumerate(runs)))
    return found


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--seeds", type=int, default=5)
    args.add_argument("--beside", type=int, default=3)
    args.add_argument("--folder", type=Path, default=Path("found/zones"))
    args.add_argument("--plot", type=Path)
    told = args.parse_args()
    found = asyncio.run(all_of_them(told.seeds, told.beside, told.folder))
    print(
        "| load | service | lost in 15 s | of which later | credit 2 | credit 1 | near "
        "| highest zone, s over | closed at, s: p50, p95, last | bytes a s | rules |"
    )
    print("|" + " --- |" * 11)
    for name, runs in found.items():
        cells = [
            name, spread([r.result.service for r in runs]).text(), spread([r.lost for r in runs]).text(2),
            spread([r.later for r in runs]).text(2),
            *(spread([r.served[p] for r in runs]).text() for p in (0, 1)),
            spread([r.near for r in runs]).text(),
            f"{max(r.highest for r in runs):.2f}, {max(r.over for r in runs)}",
            _latest([each for r in runs for each in r.held]), f"{max(r.sent for r in runs):.0f}",
            f"kept in {sum(r.result.kept for r in runs)} of {len(runs)}"
            + (", STRAINED" if any(r.result.strain for r in runs) else ""),
        ]  # fmt: skip
        print("| " + " | ".join(cells) + " |")
    for load in LOADS:
        for what in ("lost", "later"):
            pair = [
                {r.result.seed: getattr(r, what) for r in found[f"{load}, {word}"]}
                for word in ("alone", "tier")
            ]
            compared = compare(*pair)
            part = sum(pair[1].values()) / sum(pair[0].values())
            told_apart = f"{compared.difference.text(2)} {compared.verdict}"
            print(f"\n{load}: {what} with the tier {part:.2f} of alone, {told_apart}")
    if told.plot is not None:
        _draw(found, told.plot)


def _latest(held: list[float]) -> str:
    held = sorted(held)
    return ", ".join(f"{held[int(q * (len(held) - 1))]:.1f}" for q in (0.5, 0.95, 1.0)) if held else "-"


def _draw(found: dict[str, list[Seen]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(len(LOADS), 1, figsize=(9, 3.2 * len(LOADS)), sharex=True)
    for ax, load in zip(axes, LOADS, strict=True):
        for word in ("alone", "tier"):
            runs = [r.result.seconds for r in found[f"{load}, {word}"]]
            length = min(len(run) for run in runs)
            ax.plot([sum(run[i] for run in runs) / len(runs) for i in range(length)], label=word)
        ax.set_title(f"zone-lost, {load} of the load")
        ax.set_ylabel("share of credit")
        ax.set_ylim(0.0, 1.05)
        ax.legend()
    axes[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()
