"""What the tier's talk costs and how soon all agree, by its size: the modules on a virtual clock.

    python benchmarks/cluster_size.py [--sizes 3,40,200,1000] [--zones 10] [--loss 0,0.3]

Simulated: datagrams take 2 to 10 ms, nothing else costs time. All start at once; after a while a zone loses
its servers and its balancers. Told for each size: bytes and datagrams a second of the one that sends most,
time until all that live hold the zone closed and its balancers dead, false deaths, the largest difference of
two plans then, and processor time of a balancer for each second.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from cluster_world import SimulatedCluster

STEP = 0.25  # seconds between two looks
MOST = 40.0  # seconds waited for anything


def until(world: SimulatedCluster, done: object) -> float | None:
    assert callable(done)
    began = world.now
    while not done():
        if world.now - began > MOST:
            return None
        world.run(STEP)
    return world.now - began


def measure(size: int, zones: int, loss: float) -> list[str]:
    world = SimulatedCluster(size, zones=zones)
    world.loss = loss
    met = until(world, lambda: all(len(there) == size for there in world.live_members()))
    world.run(5.0)
    for node in world.nodes.values():
        node.counters.clear()
        node.members.false_deaths = 0
    cpu = time.process_time()
    world.run(10.0)
    cpu = (time.process_time() - cpu) / 10.0 / size
    sent = max(node.counters["sent bytes"] for node in world.nodes.values()) / 10.0
    count = max(node.counters["sent"] for node in world.nodes.values()) / 10.0
    over = sum(node.counters["over the ceiling"] for node in world.nodes.values())
    false = sum(node.members.false_deaths for node in world.nodes.values())
    gone = {n for n in world.nodes if n % zones == 0}
    for number in gone:
        del world.nodes[number]
    world.capacity[0] = 0.0
    began = world.now
    closed = until(world, lambda: world.closed_zones() == {1})
    dead = until(world, lambda: all(not gone & set(there) for there in world.live_members()))
    dead = None if dead is None else world.now - began
    world.run(5.0)
    plans = [node.plan for node in world.nodes.values()]
    apart = max(plans[0].max_difference(other) for other in plans)

    def shown(figure: float | None) -> str:
        return f"over {MOST:.0f}" if figure is None else f"{figure:.1f}"

    return [
        str(size), f"{loss:g}", shown(met), f"{sent:.0f}", f"{count:.1f}", str(over), shown(closed),
        shown(dead), str(false), f"{apart:.3f}", f"{cpu * 1e3:.1f}",
    ]  # fmt: skip


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("--sizes", default="3,40,200")
    args.add_argument("--zones", type=int, default=10)
    args.add_argument("--loss", default="0,0.3")
    told = args.parse_args()
    heads = (
        "balancers", "loss", "all met, s", "bytes a s", "datagrams a s", "over the ceiling",
        "closed at all, s", "dead at all, s", "false deaths in 10 s", "plans apart", "CPU ms a s",
    )  # fmt: skip
    print("| " + " | ".join(heads) + " |")
    print("|" + " --- |" * len(heads))
    for size in (int(word) for word in told.sizes.split(",")):
        for loss in (float(word) for word in told.loss.split(",")):
            print("| " + " | ".join(measure(size, min(told.zones, size), loss)) + " |", flush=True)


if __name__ == "__main__":
    main()
