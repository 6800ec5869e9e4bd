"""Stand-in servers and discovery in one process, for a balancer that is started by hand."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec

from pointgw.testbed import start_up
from pointgw.testbed.address_plan import Address, format_address
from pointgw.testbed.discovery import Discovery
from pointgw.testbed.records import Writer
from pointgw.testbed.registry import Line
from pointgw.testbed.scenario import Fleet, Kind, Scenario
from pointgw.testbed.server import Server


class StandIn:
    """Stand-in servers and discovery for one balancer.

    `servers` servers listen on consecutive ports from that of `listen` (0: free ports). `config` is the path
    of the start-up file to write for a balancer that listens at `balancer`.
    """

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
        """Starts servers and discovery, and writes the balancer's start-up file if `config` is given."""
        fleet, writer = self.scenario.fleet, Writer(os.devnull)
        entries: list[Line] = []
        addresses: dict[str, str] = {}
        self.servers: list[Server] = []
        for i in range(fleet.servers):
            address = (self.listen[0], self.listen[1] + i if self.listen[1] else _free_port(self.listen[0]))
            name = f"s-{i}"
            start_values = {"who": name, "seed": 1} | start_up.server_start_values(
                self.scenario, self.capacity, 1, 0.0, [address]
            )
            server = Server(start_values, writer)
            await server.serve()
            self.servers.append(server)
            addresses[name] = format_address(address)
            entries.append(Line(name, fleet.zones[i % len(fleet.zones)], "m", 0, "up", 0))
        if not self.discovery[1]:
            self.discovery = (self.discovery[0], _free_port(self.discovery[0]))
        start_values = {"seed": 1, "addresses": [addresses], "listen": [self.discovery]}
        self.discovery_server = Discovery(
            start_values | {"lines": [asdict(line) for line in entries]}, writer
        )
        await self.discovery_server.serve()
        if self.config is not None:
            config = start_up.balancer_start_file(
                self.scenario, "n0", 0, 1, self.balancer, self.discovery, entries, addresses
            )
            Path(self.config).write_text(json.dumps(config, indent=1))

    async def run(self) -> None:
        """Starts all and serves until cancelled; prints the addresses and the start-up file's path."""
        if self.config is None:
            self.config = str(Path(tempfile.mkdtemp(prefix="pointgw-")) / "config.json")
        await self.start()
        print(
            f"{len(self.servers)} servers from {format_address(self.listen)}, "
            f"discovery {format_address(self.discovery)}"
        )
        print(f"a balancer in front of them: GW_CONFIG={self.config} pointgw", flush=True)
        await asyncio.Event().wait()


def _free_port(host: str) -> int:
    """A TCP port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])
