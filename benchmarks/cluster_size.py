"""Measures the traffic of the cluster and the time until its members agree, by cluster size.

    python benchmarks/cluster_size.py [--sizes 3,40,200,1000] [--zones 10] [--loss 0,0.3]

Simulation on a virtual clock: datagrams take 2 to 10 ms, nothing else takes time. All balancers start at
the same time; later a zone loses its servers and its balancers. For each size: bytes and datagrams a second
of the balancer that sends most, time until all live balancers regard the zone as closed and its balancers as
dead, false deaths, the largest difference between two plans then, and CPU time of a balancer for each second.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from cluster_world import SimulatedCluster

CHECK_INTERVAL = 0.25  # seconds of virtual time between two checks
MAX_WAIT = 40.0  # seconds of virtual time to wait for a condition


def seconds_until(world: SimulatedCluster, done: object) -> float | None:
    """Runs the world until a condition holds; its seconds of virtual time, None after `MAX_WAIT`."""
    assert callable(done)
    began = world.now
    while not done():
        if world.now - began > MAX_WAIT:
            return None
        world.run(CHECK_INTERVAL)
    return world.now - began


def measure(size: int, zones: int, loss: float) -> list[str]:
    """Runs one size with one datagram loss; the cells of its row."""
    world = SimulatedCluster(size, zones=zones)
    world.loss = loss
    all_joined = seconds_until(world, lambda: all(len(members) == size for members in world.live_members()))
    world.run(5.0)
    for node in world.nodes.values():
        node.counters.clear()
        node.members.false_deaths = 0
    cpu = time.process_time()
    world.run(10.0)
    cpu = (time.process_time() - cpu) / 10.0 / size
    bytes_per_second = max(node.counters["sent bytes"] for node in world.nodes.values()) / 10.0
    datagrams_per_second = max(node.counters["sent"] for node in world.nodes.values()) / 10.0
    over_limit = sum(node.counters["over the ceiling"] for node in world.nodes.values())
    false_deaths = sum(node.members.false_deaths for node in world.nodes.values())
    lost = {n for n in world.nodes if n % zones == 0}
    for number in lost:
        del world.nodes[number]
    world.capacity[0] = 0.0
    began = world.now
    closed_after = seconds_until(world, lambda: world.closed_zones() == {1})
    dead_after = seconds_until(
        world, lambda: all(not lost & set(members) for members in world.live_members())
    )
    dead_after = None if dead_after is None else world.now - began
    world.run(5.0)
    plans = [node.plan for node in world.nodes.values()]
    plan_difference = max(plans[0].max_difference(other) for other in plans)

    def format_seconds(seconds: float | None) -> str:
        return f"over {MAX_WAIT:.0f}" if seconds is None else f"{seconds:.1f}"

    return [
        str(size), f"{loss:g}", format_seconds(all_joined), f"{bytes_per_second:.0f}",
        f"{datagrams_per_second:.1f}", str(over_limit), format_seconds(closed_after),
        format_seconds(dead_after), str(false_deaths), f"{plan_difference:.3f}", f"{cpu * 1e3:.1f}",
    ]  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3,40,200")
    parser.add_argument("--zones", type=int, default=10)
    parser.add_argument("--loss", default="0,0.3")
    options = parser.parse_args()
    headings = (
        "balancers", "loss", "all joined, s", "bytes a s", "datagrams a s", "over the ceiling",
        "closed at all, s", "dead at all, s", "false deaths in 10 s", "plan difference", "CPU ms a s",
    )  # fmt: skip
    print("| " + " | ".join(headings) + " |")
    print("|" + " --- |" * len(headings))
    for size in (int(word) for word in options.sizes.split(",")):
        for loss in (float(word) for word in options.loss.split(",")):
            print("| " + " | ".join(measure(size, min(options.zones, size), loss)) + " |", flush=True)


if __name__ == "__main__":
    main()
