"""Idle clients fill the descriptors of a balancer, in a process of its own, while discovery is down."""

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
from pointgw.net.core.reducer import LIST_DEADLINE_SECONDS

ALLOWED = 128  # descriptors of the process
CROWD = 6 * ALLOWED


def idle(port: int) -> socket.socket:
    """A client that comes and says nothing; where the backlog is full it may be left out."""
    sock = socket.socket()
    sock.setblocking(False)
    with suppress(BlockingIOError):
        sock.connect(("127.0.0.1", port))
    return sock


async def served(port: int, name: str, timeout: float) -> bool:
    """A client that is shut unread comes again, as a crowd may have it."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        with suppress(OSError):
            connection = Connection(*await asyncio.open_connection("127.0.0.1", port))
            connection.send(open_line(name))
            if await connection.read_line() == b"UP r-1\r\n":
                return True
        await asyncio.sleep(0.02)
    return False


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_idle_clients_that_fill_the_descriptors_keep_neither_discovery_nor_servers_out(
    mode: str, tmp_path: Path
) -> None:
    # Clients that wait so long are not ended for saying nothing while this lasts.
    world = World(mode=mode, probes=True, profile={"clientTimeout": 40000.0})
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]

    def limited() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (ALLOWED, ALLOWED))

    async def answers(connection: Connection) -> None:
        with suppress(Exception):
            while line := await connection.reader.readline():
                connection.send(b"PONG x0=0.1\r\n" if line.startswith(b"STATS") else b"UP r-1\r\n")

    async def serve() -> None:
        async with asyncio.TaskGroup() as group:
            for stand_in in world.servers:

                async def taking(stand_in=stand_in) -> None:  # type: ignore[no-untyped-def]
                    while True:
                        group.create_task(answers(await stand_in.accepted.get()))

                group.create_task(taking())

    async def main() -> None:
        await world.start()
        told = json.loads(world.start_up_file()) | {
            "listen": f"127.0.0.1:{port}",
            "limits": {"sockets": ALLOWED},
        }
        config = tmp_path / "config.json"
        config.write_text(json.dumps(told))
        serving = asyncio.create_task(serve())
        process = subprocess.Popen(
            [sys.executable, "-m", "pointgw"], env=os.environ | {"GW_CONFIG": str(config)},
            preexec_fn=limited, stderr=subprocess.DEVNULL,
        )  # fmt: skip
        crowd: list[socket.socket] = []
        try:
            request = await world.discovery.next_request()
            request.send_list(1)
            await world.discovery.next_request(request.connection)
            assert await served(port, "first", 5)
            at = world.discovery.port
            world.discovery.stop()  # down: its connections break, new ones are refused
            for _ in range(3):  # each of them a burst that comes in one turn of the balancer's loop
                crowd += [idle(port) for _ in range(CROWD // 3)]
                await asyncio.sleep(0.4)
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= ALLOWED
            assert await served(port, "second", 5)
            world.discovery.server = await asyncio.start_server(world.discovery._accept, "127.0.0.1", at)
            back = time.monotonic()
            request = await world.discovery.next_request()
            assert time.monotonic() - back < LIST_DEADLINE_SECONDS
            request.send_list(2)
            assert await served(port, "third", 5)
            assert process.poll() is None
        finally:
            process.kill()
            process.wait()
            serving.cancel()
            for sock in crowd:
                sock.close()
            world.stop()

    uvloop.run(main())
