"""Stand-in servers and discovery in one process, for a balancer that is started by hand."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from pointgw.rig.demand import median_work
from pointgw.rig.discovery import Discovery
from pointgw.rig.layout import Address, shown
from pointgw.rig.machine import Make
from pointgw.rig.records import Writer
from pointgw.rig.scenario import Fleet, Kind, Scenario, settings
from pointgw.rig.server import Server


def make(fleet: Fleet, capacity: float, work: float) -> Make:
    """A server of the fleet; `work`: of a tunnel in its life."""
    return Make(
        capacity, fleet.holds, fleet.group_cost, fleet.setup_work, fleet.message_work, fleet.cold_from,
        fleet.cold_seconds, fleet.tip_multiple, fleet.tip_seconds, fleet.thrash, fleet.drops_after, work,
    )  # fmt: skip


class Alone:
    """`servers` servers on ports from `listen`'s on (0: free ones), and discovery."""

    def __init__(
        self,
        listen: Address,
        discovery: Address,
        servers: int,
        capacity: float,
        config: str | None,
        balancer: Address,
        fleet: Fleet | None = None,
    ) -> None:
        self.listen, self.discovery, self.config, self.balancer = listen, discovery, config, balancer
        fleet = fleet or Fleet(kinds=(Kind("m", 1.0, capacity),))
        changes: dict[str, Any] = {"servers": servers, "balancers": 1}
        self.scenario = Scenario("alone", "by hand", fleet=msgspec.structs.replace(fleet, **changes))
        self.capacity = capacity

    async def start(self) -> None:
        """Starts all, and writes the balancer's start-up file where one was asked for."""
        loop = asyncio.get_running_loop()
        fleet, writer = self.scenario.fleet, Writer(os.devnull)
        made = msgspec.to_builtins(make(fleet, self.capacity, median_work(self.scenario.demand)))
        lines: list[dict[str, Any]] = []
        addresses: dict[str, str] = {}
        self.servers: list[Server] = []
        for i in range(fleet.servers):
            at = (self.listen[0], self.listen[1] + i if self.listen[1] else _free(self.listen[0]))
            name = f"s-{i}"
            told = {
                "who": name, "seed": 1, "start": 1, "since": 0.0, "make": made, "listen": [at],
                "tells_load": fleet.tells_load, "report_every": fleet.report_every,
                "report_late": fleet.report_late, "report_noise": fleet.report_noise,
            }  # fmt: skip
            server = Server(told, writer)
            await server.serve()
            self.servers.append(server)
            addresses[name] = shown(at)
            zone = fleet.zones[i % len(fleet.zones)]
            lines.append(
                {"name": name, "zone": zone, "kind": "m", "cell": 0, "status": "up", "since_ms": 0}
            )
        if not self.discovery[1]:
            self.discovery = (self.discovery[0], _free(self.discovery[0]))
        told = {"seed": 1, "addresses": [addresses], "listen": [self.discovery], "lines": lines}
        self.roster = Discovery(told, writer)
        await self.roster.serve()
        self.loop = loop
        if self.config is not None:
            Path(self.config).write_text(json.dumps(self.start_up(addresses, lines), indent=1))

    def start_up(self, addresses: dict[str, str], lines: list[dict[str, Any]]) -> dict[str, Any]:
        """What a balancer in front of these is told."""
        known = [
            {
                "name": line["name"], "address": addresses[line["name"]], "zone": line["zone"],
                "type": "m", "group": 0, "status": "up", "weight": 1.0, "since_ms": 0,
            }
            for line in lines
        ]  # fmt: skip
        return {
            "name": "n0", "listen": shown(self.balancer), "discovery": shown(self.discovery), "seed": "1",
            "limits": {"sockets": 60_000}, "known": {"index": 0, "snapshot": True, "endpoints": known},
            "settings": settings(self.scenario, 0),
        }  # fmt: skip

    async def run(self) -> None:
        """Until it is cancelled."""
        if self.config is None:
            self.config = str(Path(tempfile.mkdtemp(prefix="pointgw-")) / "config.json")
        await self.start()
        print(f"{len(self.servers)} servers from {shown(self.listen)}, discovery {shown(self.discovery)}")
        print(f"a balancer in front of them: GW_CONFIG={self.config} pointgw", flush=True)
        await asyncio.Event().wait()


def _free(host: str) -> int:
    import socket

    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])
