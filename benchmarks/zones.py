"""Measures the loss of a zone with its servers and balancers, with the cluster (`[tier]`) and without it:
service, locality, and traffic between balancers.

    python benchmarks/zones.py [--seeds 5] [--beside 3] [--plot docs/design/zones.png]

Scenario `zone-lost` (6 balancers x 24 servers, 3 zones, 2 regions) at two loads: three quarters and half of
the fleet's capacity. The same seeds with and without `[tier]` run at the same time. Lost credit is counted in
the 15 s from the loss, in seconds of all requested credit; "of which later" from 3.5 s after it, because the
front sends clients to the dead balancers for 2 s, whatever the others do, and they retry 1.6 s later.
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

MEASURED_SECONDS = 15.0  # seconds from the loss that are measured
MAX_ZONE_LOAD = 0.85  # highest load that a zone is filled to, as operate/tier.md states
FAILOVER_SECONDS = 3.5  # seconds from the loss after which only the balancers determine the service
LOSSY_VARIANT = "tier, 30% of messages lost, others 0.3 s late"
LOADS = {"three quarters": (54.0, 720), "half": (36.0, 480)}  # arrivals a second, tunnels open at the start


class RunMeasures(msgspec.Struct):
    """Measures of one run."""

    result: Result
    lost: float  # seconds of credit in `MEASURED_SECONDS`
    later: float  # of these, from `FAILOVER_SECONDS` on
    served: list[float]  # share of credit by profile, in `MEASURED_SECONDS`
    local: float  # share of setups in the balancer's zone, outside `MEASURED_SECONDS`
    bytes_per_second: float  # sent to other balancers by the one that sent most
    closed_times: list[float]  # seconds from the loss until each live balancer regarded the zone as closed
    highest: float  # highest mean load of a remaining zone in one second
    overload_seconds: int  # longest time that such a zone was over `MAX_ZONE_LOAD`


def variants() -> dict[str, Scenario]:
    """The scenario at each load, without and with the cluster, by name of the row."""
    scenario = read("zone-lost")
    found = {}
    for name, (arrivals, standing) in LOADS.items():
        demand = msgspec.structs.replace(scenario.demand, arrivals=arrivals, standing=standing)
        for word, cluster_enabled in (("alone", False), ("tier", True), (LOSSY_VARIANT, True)):
            fleet = msgspec.structs.replace(scenario.fleet, talks=cluster_enabled)
            lossy = Trouble(4.0, "peers-lossy", scenario.seconds - 5.0, (0,), size=0.3, late=0.3)
            trouble = (*scenario.trouble, *(lossy,) * (word == LOSSY_VARIANT))
            found[f"{name}, {word}"] = msgspec.structs.replace(
                scenario, fleet=fleet, demand=demand, trouble=trouble
            )
    return found


async def run_one(scenario: Scenario, seed: int, number: int, folder: Path) -> RunMeasures:
    seeded = msgspec.structs.replace(scenario, seed=seed)
    meta = await ScenarioRun(seeded, folder, run_number=os.getpid() + number).execute()
    found = rec.read(folder)
    measured = compute_result(found, meta, check_records(found, meta))
    at = min(t.at for t in scenario.trouble if t.target == "server")
    begin, end = meta.began + at, meta.began + at + MEASURED_SECONDS
    seconds = [r for r in found if isinstance(r, rec.Second) and begin < r.t <= end]
    asked = [sum(r.asked[p] for r in seconds) for p in range(len(scenario.profile))]
    served = [sum(r.served[p] for r in seconds) for p in range(len(scenario.profile))]
    late = [r for r in seconds if r.t > begin + FAILOVER_SECONDS]
    later = 1.0 - sum(sum(r.served) for r in late) / sum(sum(r.asked) for r in late)
    zones = len(scenario.fleet.zones)
    undisturbed = [
        r for r in found if isinstance(r, rec.Took) and not begin <= r.t <= end and r.t > meta.began + 4.0
    ]
    local = sum(meta.zones[r.server] == r.balancer % zones for r in undisturbed) / max(1, len(undisturbed))
    traffic = [r for r in found if isinstance(r, rec.Talk) and r.t > meta.began + 3.0]
    return RunMeasures(
        measured, (1.0 - sum(served) / sum(asked)) * MEASURED_SECONDS,
        later * (MEASURED_SECONDS - FAILOVER_SECONDS),
        [s / a for s, a in zip(served, asked, strict=True)],
        local, max((r.size for r in traffic), default=0),
        _zone_closed_times(folder, len(scenario.fleet.zones), begin),
        *_zone_overload(found, meta.zones, begin, end),
    )  # fmt: skip


def _zone_closed_times(folder: Path, zones: int, begin: float) -> list[float]:
    """From the balancers' logs, whose times are of the wall clock."""
    found, clock_offset = [], time.time() - time.monotonic()
    for path in sorted(folder.glob("n*.log")):
        lines = [line for line in path.read_text().splitlines() if "closed=a" in line]
        if lines and int(path.stem[1:]) % zones:
            found.append(float(lines[0].split()[0].removeprefix("at=")) - clock_offset - begin)
    return found


def _zone_overload(
    found: list[rec.AnyRecord], zones: dict[str, int], begin: float, end: float
) -> tuple[float, int]:
    """Highest mean load of a zone with all its servers in a second; longest seconds over `MAX_ZONE_LOAD`."""
    loads: dict[tuple[int, int], list[float]] = {}
    for record in found:
        if isinstance(record, rec.State) and begin < record.t <= end:
            loads.setdefault((zones[record.server], int(record.t)), []).append(record.load)
    full_count = max((len(each) for each in loads.values()), default=0)
    means = {at: sum(x) / len(x) for at, x in sorted(loads.items()) if len(x) == full_count}
    longest = 0
    for zone, second in means:
        length = 0
        while means.get((zone, second + length), 0.0) > MAX_ZONE_LOAD:
            length += 1
        longest = max(longest, length)
    return max(means.values(), default=0.0), longest


async def run_all(seeds: int, beside: int, folder: Path) -> dict[str, list[RunMeasures]]:
    gate = asyncio.Semaphore(beside)
    found: dict[str, list[RunMeasures]] = {name: [] for name in variants()}

    async def run_gated(number: int, name: str, scenario: Scenario, seed: int) -> None:
        async with gate:
            await asyncio.sleep(1.5 * (number % beside))
            place = folder / f"{name.replace(', ', '-').replace(' ', '-').replace('%', '')}-{seed}"
            found[name].append(await run_one(scenario, seed, number, place))

    runs = [(name, variant, seed) for seed in range(1, seeds + 1) for name, variant in variants().items()]
    await asyncio.gather(*(run_gated(i, *run) for i, run in enumerate(runs)))
    return found


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--beside", type=int, default=3)
    parser.add_argument("--folder", type=Path, default=Path("found/zones"))
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    found = asyncio.run(run_all(options.seeds, options.beside, options.folder))
    print(
        "| load | service | lost in 15 s | of which later | credit 2 | credit 1 | in zone "
        "| highest zone, s over | closed at, s: p50, p95, last | bytes a s | rules |"
    )
    print("|" + " --- |" * 11)
    for name, runs in found.items():
        cells = [
            name, spread([r.result.service for r in runs]).text(), spread([r.lost for r in runs]).text(2),
            spread([r.later for r in runs]).text(2),
            *(spread([r.served[p] for r in runs]).text() for p in (0, 1)),
            spread([r.local for r in runs]).text(),
            f"{max(r.highest for r in runs):.2f}, {max(r.overload_seconds for r in runs)}",
            _closed_quantiles([each for r in runs for each in r.closed_times]),
            f"{max(r.bytes_per_second for r in runs):.0f}",
            f"kept in {sum(r.result.kept for r in runs)} of {len(runs)}"
            + (", STRAINED" if any(r.result.strain for r in runs) else ""),
        ]  # fmt: skip
        print("| " + " | ".join(cells) + " |")
    for load in LOADS:
        for measure in ("lost", "later"):
            pair = [
                {r.result.seed: getattr(r, measure) for r in found[f"{load}, {word}"]}
                for word in ("alone", "tier")
            ]
            compared = compare(*pair)
            ratio = sum(pair[1].values()) / sum(pair[0].values())
            comparison = f"{compared.difference.text(2)} {compared.verdict}"
            print(f"\n{load}: {measure} with the tier {ratio:.2f} of alone, {comparison}")
    if options.plot is not None:
        _plot(found, options.plot)


def _closed_quantiles(closed_times: list[float]) -> str:
    closed_times = sorted(closed_times)
    return (
        ", ".join(f"{closed_times[int(q * (len(closed_times) - 1))]:.1f}" for q in (0.5, 0.95, 1.0))
        if closed_times
        else "-"
    )


def _plot(found: dict[str, list[RunMeasures]], path: Path) -> None:
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
