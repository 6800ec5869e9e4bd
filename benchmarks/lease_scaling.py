"""What loans of cold room give, and whether they push a cold server over, by the size of the tier.

    python benchmarks/lease_scaling.py [--sizes 3:4,40:12,200:30] [--seeds 20]

Simulated: the real decisions and loans on a virtual clock (`tests/filling_world.py`), servers cold at first.
"few": tunnels come at one balancer in twelve, for four seconds; placed with loans and without. "all at once":
after three seconds of that five tunnels come at each balancer; the most that any server got within a tip
span, of what it could take then with two standard deviations of chance, over all seeds; a third of the words
lost, the others up to 1.5 s late. "liar": the same, where one balancer lends to all that may borrow of it and
spends all the same.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from filling_world import World
from pointgw.recovery.leases import Leases


class Liar(Leases):
    """Says yes to all that may borrow of it, and goes without nothing."""

    def receive_request(self, borrower: int, now: float) -> bool:
        return True

    def budget_share(self, now: float) -> float:
        return 1.0


def crowd(count: int, servers: int, seed: int, liar: bool = False) -> World:
    few = max(1, count // 12)
    world = World(count, servers, few, 15.0 * servers / few, seed, loss_rate=0.33, max_delay=1.5)
    if liar:
        last = world.leases[-1]
        world.leases[-1] = Liar(
            last.own_index, last.balancer_count, last.overload_window, last.rng, last.started_at
        )
    world.run(6.0, 3.0)
    return world


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--sizes", default="3:4,40:12,200:30")
    args.add_argument("--seeds", type=int, default=20)
    told = args.parse_args()
    print("| balancers x servers | few: without, with loans | all at once: fullest | liar: fullest | s |")
    print("|" + " --- |" * 5)
    for size in told.sizes.split(","):
        count, servers = map(int, size.split(":"))
        few, began = max(1, count // 12), time.monotonic()
        placed = []
        for on in (False, True):
            world = World(count, servers, few, 5.0 * servers / few, leases_enabled=on)
            world.run(4.0, 99.0)
            placed.append(world.count_placements())
        seeds = range(1, told.seeds + 1)
        fullest = max(crowd(count, servers, seed).max_overload_ratio() for seed in seeds)
        lied = max(crowd(count, servers, seed, liar=True).max_overload_ratio() for seed in seeds)
        cells = [f"{count} x {servers}", "{}, {}".format(*placed), f"{fullest:.2f}", f"{lied:.2f}"]
        print("| " + " | ".join([*cells, f"{time.monotonic() - began:.0f}"]) + " |", flush=True)


if __name__ == "__main__":
    main()
