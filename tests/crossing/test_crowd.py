"""Idle clients use up the descriptors of a balancer, in its own process, while discovery is down.

Guards against a balancer that has no descriptors left for discovery, for its servers or for clients that send
requests.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import pytest
import uvloop

from crossing.world import Connection, World, open_line
from pointgw.net.core.list_requests import LIST_DEADLINE_SECONDS

DESCRIPTOR_LIMIT = 128  # of the process
IDLE_CLIENTS = 6 * DESCRIPTOR_LIMIT


def connect_idle(port: int) -> socket.socket:
    """A client that connects and sends nothing; with a full backlog it may not connect."""
    sock = socket.socket()
    sock.setblocking(False)
    with suppress(BlockingIOError):
        sock.connect(("127.0.0.1", port))
    return sock


async def is_served(port: int, request_id: str, timeout: float) -> bool:
    """Whether a request is answered in time; a client closed without an answer tries again."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        with suppress(OSError):
            connection = Connection(*await asyncio.open_connection("127.0.0.1", port))
            connection.send(open_line(request_id))
            if await connection.read_line() == b"UP r-1\r\n":
                return True
        await asyncio.sleep(0.02)
    return False


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_idle_clients_leave_descriptors_for_discovery_and_servers(mode: str, tmp_path: Path) -> None:
    # With so long a client timeout no idle client times out during the test.
    world = World(mode=mode, probes=True, profile={"clientTimeout": 40000.0})
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))

    async def answer_lines(connection: Connection) -> None:
        with suppress(Exception):
            while line := await connection.reader.readline():
                connection.send(b"PONG x0=0.1\r\n" if line.startswith(b"STATS") else b"UP r-1\r\n")

    async def serve_all() -> None:
        async with asyncio.TaskGroup() as group:
            for stand_in in world.servers:

                async def serve(stand_in=stand_in) -> None:  # type: ignore[no-untyped-def]
                    while True:
                        group.create_task(answer_lines(await stand_in.accepted.get()))

                group.create_task(serve())

    async def main() -> None:
        await world.start()
        content = json.loads(world.start_up_file()) | {
            "listen": f"127.0.0.1:{port}",
            "limits": {"sockets": DESCRIPTOR_LIMIT},
        }
        config = tmp_path / "config.json"
        config.write_text(json.dumps(content))
        serving = asyncio.create_task(serve_all())
        process = subprocess.Popen(
            [sys.executable, "-m", "pointgw"], env=os.environ | {"GW_CONFIG": str(config)},
            preexec_fn=limit_descriptors, stderr=subprocess.DEVNULL,
        )  # fmt: skip
        idle_clients: list[socket.socket] = []
        try:
            request = await world.discovery.next_request()
            request.send_list(1)
            await world.discovery.next_request(request.connection)
            assert await is_served(port, "first", 5)
            discovery_port = world.discovery.port
            world.discovery.stop()  # its connections are closed, new ones refused
            for _ in range(3):  # bursts, each within one iteration of the balancer's loop
                idle_clients += [connect_idle(port) for _ in range(IDLE_CLIENTS // 3)]
                await asyncio.sleep(0.4)
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= DESCRIPTOR_LIMIT
            assert await is_served(port, "second", 5)
            world.discovery.server = await asyncio.start_server(
                world.discovery._accept, "127.0.0.1", discovery_port
            )
            reachable_at = time.monotonic()
            request = await world.discovery.next_request()
            assert time.monotonic() - reachable_at < LIST_DEADLINE_SECONDS
            request.send_list(2)
            assert await is_served(port, "third", 5)
            assert process.poll() is None
        finally:
            process.kill()
            process.wait()
            serving.cancel()
            for sock in idle_clients:
                sock.close()
            world.stop()

    uvloop.run(main())
