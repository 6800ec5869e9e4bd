"""All balancers restart while discovery is silent, shortly after two servers were drained: what reaches
those, and what share is served in the first ten seconds. With a memory, without one, and without one but with
discovery up.

    python benchmarks/restart_without_discovery.py [--seeds 20] [--beside 5] [--plot docs/design/blind.png]
    python benchmarks/restart_without_discovery.py --ages [--seeds 5]

4 balancers x 12 servers, the scenario `starting-blind`. Runs go `--beside` at a time. `--ages`: a third of
the servers is gone when the balancers come back, and the memory was made ten seconds, an hour, a day and a
week old; "without trust" is the same memory with its entries' times left as they were, so that all of it is
believed.
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

FIRST = 10.0  # seconds from the restart that are looked at


def variants() -> dict[str, Scenario]:
    told = read("starting-blind")
    blind = msgspec.structs.replace(told.fleet, remembers=False)
    seen = tuple(t for t in told.trouble if t.what != "discovery-silent")
    return {
        "memory": told,
        "none": msgspec.structs.replace(told, fleet=blind),
        "none, discovery up": msgspec.structs.replace(told, fleet=blind, trouble=seen),
    }


class Seen(msgspec.Struct):
    """One run."""

    result: Result
    drained: int  # setups that drained servers read after the restart
    first: float  # share of credit in the first seconds from the restart


AGES = {"10 s": 10.0, "1 hour": 3600.0, "1 day": 86_400.0, "1 week": 7 * 86_400.0}


def third_gone() -> Scenario:
    """Four of twelve servers die for good while discovery is silent, before the balancers come back."""
    told = read("starting-blind")
    dead = Trouble(9.0, "server-kill", which=(1, 5, 8, 10), late=60.0)
    silent = Trouble(7.0, "discovery-silent", 18.0)
    kill = next(t for t in told.trouble if t.what == "balancer-kill")
    return msgspec.structs.replace(told, trouble=(silent, dead, kill))


def aged(age: float) -> Callable[[Path], None]:
    """Makes a memory so many seconds older than it is."""

    def between(folder: Path) -> None:
        store = SnapshotStore(str(folder))
        store.claim("benchmark")
        found = store.load().snapshot
        assert found is not None
        facts = tuple(
            msgspec.structs.replace(
                f,
                confirmed_at=f.confirmed_at - age,
                seen_at=max(0.0, f.seen_at - age),
                started_at=f.started_at and f.started_at - age,
            )
            for f in found.servers
        )
        store.save(encode(msgspec.structs.replace(found, servers=facts, written_at=found.written_at - age)))
        store.release()

    return between


async def one(
    scenario: Scenario,
    seed: int,
    folder: Path,
    run: int,
    gate: asyncio.Semaphore,
    between: Callable[[Path], None] | None = None,
) -> Seen:
    async with gate:
        seeded = msgspec.structs.replace(scenario, seed=seed)
        meta = await ScenarioRun(seeded, folder, run_number=run, on_balancer_down=between).execute()
        found = records.read(folder)
        return Seen(compute_result(found, meta, check_records(found, meta)), *measured(found, meta))


def measured(found: list[records.AnyRecord], meta: Meta) -> tuple[int, float]:
    kills = [r.t for r in found if isinstance(r, records.Mark) and r.what == "balancer-kill" and not r.ends]
    back = max(r.t for r in found if isinstance(r, records.Mark) and r.what == "balancer-kill" and r.ends)
    drained = {
        f"s-{number}"
        for r in found
        if isinstance(r, records.Mark) and r.what == "server-drain" and r.t < kills[0]
        for number in r.which
    }
    reached = sum(isinstance(r, records.Took) and r.server in drained and r.t > back for r in found)
    seconds = [r for r in found if isinstance(r, records.Second) and back < r.t - 0.5 <= back + FIRST]
    asked = sum(sum(r.asked) for r in seconds)
    return reached, sum(sum(r.served) for r in seconds) / asked if asked else 0.0


Job = tuple[Scenario, Callable[[Path], None] | None]


def jobs_of(ages: bool) -> dict[str, Job]:
    if not ages:
        return {name: (scenario, None) for name, scenario in variants().items()}
    told = third_gone()
    blind = msgspec.structs.replace(told, fleet=msgspec.structs.replace(told.fleet, remembers=False))
    found: dict[str, Job] = {name: (told, aged(age)) for name, age in AGES.items()}
    return found | {"without trust": (told, None), "no memory": (blind, None)}


async def all_of(wanted: dict[str, Job], seeds: int, beside: int, folder: Path) -> dict[str, list[Seen]]:
    gate = asyncio.Semaphore(beside)
    found: dict[str, list[Seen]] = {}
    runs = iter(range(os.getpid(), os.getpid() + 10_000))
    jobs = {
        name: [
            one(scenario, seed, folder / name.replace(" ", "-") / str(seed), next(runs), gate, between)
            for seed in range(1, seeds + 1)
        ]
        for name, (scenario, between) in wanted.items()
    }
    results = await asyncio.gather(*(asyncio.gather(*work) for work in jobs.values()))
    for name, seen in zip(jobs, results, strict=True):
        found[name] = list(seen)
    return found


def draw(found: dict[str, list[Seen]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(10, 4.5), constrained_layout=True)
    for number, (name, seen) in enumerate(found.items()):
        length = min(len(one.result.seconds) for one in seen)
        columns = [sorted(one.result.seconds[i] for one in seen) for i in range(length)]
        middle = [column[len(column) // 2] for column in columns]
        axis.plot(range(1, length + 1), middle, label=f"{name} (median of {len(seen)})", color=f"C{number}")
        low, high = [c[len(c) // 10] for c in columns], [c[-1 - len(c) // 10] for c in columns]
        axis.fill_between(range(1, length + 1), low, high, color=f"C{number}", alpha=0.15)
    for begin, end, what in next(iter(found.values()))[0].result.marks:
        axis.axvspan(begin, max(end, begin + 0.15), color="grey", alpha=0.12)
        axis.text(begin, 0.02 if "kill" in what else 0.08, what, fontsize=8)
    axis.set_xlabel("seconds")
    axis.set_ylabel("served well, share of credit")
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
    told = parser.parse_args()
    found = asyncio.run(all_of(jobs_of(told.ages), told.seeds, told.beside, told.folder))
    print("| | setups at drained servers | served, first 10 s | service | rules |\n|" + " --- |" * 5)
    firsts = {}
    for name, seen in found.items():
        firsts[name] = {one.result.seed: one.first for one in seen}
        kept = sum(one.result.kept for one in seen)
        print(
            f"| {name} | {sum(one.drained for one in seen)} | {spread(list(firsts[name].values())).text()} |"
            f" {spread([one.result.service for one in seen]).text()} | kept in {kept} of {len(seen)} |"
        )
        for one in seen:
            for line in one.result.strain:
                print(f"{name} seed {one.result.seed}: {line}")
    last = list(firsts)[-1] if told.ages else "memory"
    for name in firsts:
        if name != last:
            compared = compare(firsts[last], firsts[name])
            print(f"first 10 s, {name} against {last}: {compared.difference.text()}, {compared.verdict}")
    if told.plot is not None:
        draw(found, told.plot)


if __name__ == "__main__":
    main()
