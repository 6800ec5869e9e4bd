"""Entries of the server list whose figures can't be used, beside entries that tell of a drain."""

from __future__ import annotations

from typing import Any

from crossing.world import HeldLoop, World, play, turns, until
from pointgw.net.run.node import Node

ODD: tuple[dict[str, Any], ...] = (
    {"weight": None},
    {"weight": -2.0},
    {"weight": "heavy"},
    {"weight": float("inf")},
    {"since_ms": -1},
    {"since_ms": "yesterday"},
    {"since_ms": 10**400},
    {"group": "x"},
    {"type": 7},
    {"zone": None},
    {"address": "nowhere"},
    {"address": "127.0.0.1:99999"},
    {"status": None},
)


def test_an_entry_that_cannot_be_used_does_not_hide_another_servers_drain() -> None:
    async def scene(node: Node, world: World, loop: HeldLoop) -> None:
        for version, odd in enumerate(ODD, start=2):
            drains = version % 2
            states = {drains: "draining", 1 - drains: "up"}
            lines = [world.line(2, **odd), world.line(0, status=states[0]), world.line(1, status=states[1])]
            world.watch.answer(version, *lines)
            await until(lambda version=version: node.reducer.index == version)  # type: ignore[misc]
            world.watch = await world.discovery.call(world.watch.conn)
            assert not node.reducer.balancer.servers[f"s-{drains}"].active, odd
            assert node.reducer.balancer.servers[f"s-{1 - drains}"].active, odd
            await turns(2)
        assert node.discovery.failing is False

    play(scene, World(servers=3))
