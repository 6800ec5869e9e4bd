"""Plays soak runs: `python -m soak --seeds 1:9` from `tests/`. Exit 1: a promise was not kept."""

from __future__ import annotations

import argparse
import sys

import uvloop

from soak import disturbances
from soak.world import DESCRIPTORS, Outcome, World, clean


def play(seed: int, told: argparse.Namespace, only: tuple[str, ...]) -> Outcome:
    async def one() -> Outcome:
        world = World(seed, told.seconds, told.balancers, told.servers, only, told.descriptors)
        return await world.play()

    return uvloop.run(one())


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1:2", help="FIRST:END, the end not played")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--balancers", type=int, default=12)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--descriptors", type=int, default=DESCRIPTORS, help="that each balancer may hold")
    parser.add_argument("--only", default="", help="disturbances, by name: " + ", ".join(disturbances.ALL))
    parser.add_argument(
        "--keep", action="store_true", help="keep the folder with the logs also where all held"
    )
    told = parser.parse_args()
    first, _, end = told.seeds.partition(":")
    only = tuple(name for name in told.only.split(",") if name)
    broken = 0
    for seed in range(int(first), int(end)):
        outcome = play(seed, told, only)
        word = "late" if outcome.late else "kept" if outcome.kept else "BROKEN"
        print(f"seed {seed}: {word} {outcome.figures}", flush=True)
        broken += not outcome.kept
        if not outcome.kept:
            print(f"  logs: {outcome.folder}\n  schedule: {outcome.schedule}")
            for violation in outcome.violations[:12]:
                print(f"  {violation}")
        elif not told.keep:
            clean(outcome)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
