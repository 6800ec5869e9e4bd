"""Measures the gain of leases of slow-start budget, and whether they overload cold servers, by cluster size.

    python benchmarks/lease_scaling.py [--sizes 3:4,40:12,200:30] [--seeds 20]

Simulation: the real decisions and leases on a virtual clock (`tests/slow_start_world.py`), all servers cold
at first. "few": for four seconds tunnels arrive at one balancer in twelve; tunnels placed without leases and
with them. "all at once": after three seconds of that, five tunnels arrive at each balancer; the most that any
server got within an overload window, as a share of its budget plus two standard deviations, over all seeds; a
third of the messages is lost, the others are up to 1.5 s late. "false lessor": the same, with one balancer
that grants every lease and still uses its whole budget.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from pointgw.recovery.leases import Leases
from slow_start_world import World


class FalseLessor(Leases):
    """Grants every lease, and still uses its whole budget."""

    def receive_request(self, lessee: int, now: float) -> bool:
        return True

    def budget_share(self, now: float) -> float:
        return 1.0


def run_concurrent_demand(count: int, servers: int, seed: int, false_lessor: bool = False) -> World:
    """Runs "all at once" and returns the world. `false_lessor`: the last balancer is one."""
    few = max(1, count // 12)
    world = World(count, servers, few, 15.0 * servers / few, seed, loss_rate=0.33, max_delay=1.5)
    if false_lessor:
        last = world.leases[-1]
        world.leases[-1] = FalseLessor(
            last.own_index, last.balancer_count, last.overload_window, last.rng, last.started_at
        )
    world.run(6.0, 3.0)
    return world


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3:4,40:12,200:30")
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args()
    print("| balancers x servers | few: without, with leases | all at once: most | false lessor: most | s |")
    print("|" + " --- |" * 5)
    for size in options.sizes.split(","):
        count, servers = map(int, size.split(":"))
        few, began = max(1, count // 12), time.monotonic()
        placed = []
        for leases_enabled in (False, True):
            world = World(count, servers, few, 5.0 * servers / few, leases_enabled=leases_enabled)
            world.run(4.0, 99.0)
            placed.append(world.count_placements())
        seeds = range(1, options.seeds + 1)
        max_ratio = max(run_concurrent_demand(count, servers, seed).max_overload_ratio() for seed in seeds)
        with_false_lessor = max(
            run_concurrent_demand(count, servers, seed, false_lessor=True).max_overload_ratio()
            for seed in seeds
        )
        cells = [
            f"{count} x {servers}",
            "{}, {}".format(*placed),
            f"{max_ratio:.2f}",
            f"{with_false_lessor:.2f}",
        ]
        print("| " + " | ".join([*cells, f"{time.monotonic() - began:.0f}"]) + " |", flush=True)


if __name__ == "__main__":
    main()
