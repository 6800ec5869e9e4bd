"""Runs soak tests: `python -m soak --seeds 1:9` from `tests/`. Exit status 1: an invariant was violated."""

from __future__ import annotations

import argparse
import sys

import uvloop

from soak import disturbances
from soak.world import DEFAULT_DESCRIPTORS, Outcome, World, remove_folder


def run_seed(seed: int, options: argparse.Namespace, only: tuple[str, ...]) -> Outcome:
    """Runs one seed in an event loop of its own."""

    async def run_world() -> Outcome:
        world = World(seed, options.seconds, options.balancers, options.servers, only, options.descriptors)
        return await world.run()

    return uvloop.run(run_world())


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1:2", help="FIRST:END, without END")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--balancers", type=int, default=12)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument(
        "--descriptors", type=int, default=DEFAULT_DESCRIPTORS, help="descriptor limit of each balancer"
    )
    parser.add_argument(
        "--only", default="", help="names of disturbances: " + ", ".join(disturbances.DISTURBANCES)
    )
    parser.add_argument(
        "--keep", action="store_true", help="keep the folder with the logs even if no invariant was violated"
    )
    options = parser.parse_args()
    first, _, end = options.seeds.partition(":")
    only = tuple(name for name in options.only.split(",") if name)
    failed = 0
    for seed in range(int(first), int(end)):
        outcome = run_seed(seed, options, only)
        outcome_text = "late" if outcome.loop_late else "passed" if outcome.passed else "FAILED"
        print(f"seed {seed}: {outcome_text} {outcome.figures}", flush=True)
        failed += not outcome.passed
        if not outcome.passed:
            print(f"  logs: {outcome.folder}\n  schedule: {outcome.schedule}")
            for violation in outcome.violations[:12]:
                print(f"  {violation}")
        elif not options.keep:
            remove_folder(outcome)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
