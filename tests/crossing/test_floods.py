"""Peers that send at full speed, or do not read: other clients are served in time, and memory stays bounded.

Guards against a process that is killed for its memory, and against clients that get their answers late
because another one, or its server, is read for too long at a time.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from crossing.daemon import PORT, Daemon, is_listening, wait_for_watch
from crossing.world import World

PEERS = Path(__file__).with_name("flood_peers.py")
DESCRIPTORS, MEMORY_MB = 1024, 192.0  # limits of the days that are scored
TUNNELS = 400  # as many as the descriptors allow, nearly
BAD_CLIENTS = 800  # that have no tunnel: one descriptor each
MANY_FIELDS = b"OPEN %d 7f3a c=chat,t=acme,d=1500" + b"".join(b",f%d=1" % i for i in range(560))
LATEST_ANSWER_SECONDS = 1.0  # a line that is held back for longer counts as lost
FLOOD_SECONDS = 4.0
STALL_SECONDS = 5.0


class Peers:
    """The processes of a test."""

    def __init__(self) -> None:
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self, *arguments: object) -> int:
        """Starts one and returns the number that it prints once it is ready."""
        command = [sys.executable, str(PEERS), *map(str, arguments)]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.processes.append(process)
        assert process.stdout is not None
        return int(process.stdout.readline())

    def stop(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()


def run_with_peers(
    folder: Path, server: str, scenario: Callable[[Daemon, Peers], Awaitable[None]], **changes: object
) -> None:
    """Runs `scenario` with a balancer whose only server is a peer of the kind `server`."""
    world, peers = World(servers=1, rules={"cold": 50.0}), Peers()
    limits = {"sockets": DESCRIPTORS, "memory_mb": MEMORY_MB} | changes

    async def main() -> None:
        await world.discovery.start()
        world.servers[0].port = peers.start("server", server)
        daemon = Daemon(world, folder)
        daemon.start({}, limits=limits)
        try:
            world.watch = await wait_for_watch(world)
            while not await is_listening(daemon):
                await asyncio.sleep(0.01)
            await scenario(daemon, peers)
            assert daemon.process.poll() is None
        finally:
            daemon.close()
            peers.stop()
            world.discovery.stop()

    uvloop.run(main())


def peak_memory_mb(daemon: Daemon) -> float:
    """The highest resident memory of the balancer so far."""
    status = Path(f"/proc/{daemon.process.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


async def latest_answer(daemon: Daemon, seconds: float) -> float:
    """The longest time in which one of the requests sent for so long was accepted."""
    ends_at, latest, number = time.monotonic() + seconds, 0.0, 0
    while time.monotonic() < ends_at:
        sent_at = time.monotonic()
        number += 1
        assert (await daemon.request(f"other{number}")).startswith(b"UP ")
        latest = max(latest, time.monotonic() - sent_at)
        await asyncio.sleep(0.02)
    return latest


@pytest.mark.parametrize(
    ("server", "client_line"),
    [
        ("sink", "x"),
        ("sink", "PING"),
        ("echo", "x"),
        ("y", ""),
        ("LOAD 1", ""),
        ("LOAD", ""),
        ("BYE", ""),
        ("MOVED", ""),
    ],
)
def test_other_clients_are_answered_while_one_tunnel_is_flooded(
    tmp_path: Path, server: str, client_line: str
) -> None:
    async def scenario(daemon: Daemon, peers: Peers) -> None:
        await asyncio.to_thread(peers.start, "client", daemon.host, PORT, 1, client_line)
        assert await latest_answer(daemon, FLOOD_SECONDS) < LATEST_ANSWER_SECONDS
        assert peak_memory_mb(daemon) < MEMORY_MB / 2

    run_with_peers(tmp_path, server, scenario)


@pytest.mark.parametrize("memory_mb", [MEMORY_MB, MEMORY_MB / 2])
def test_tunnels_that_stall_both_ways_stay_within_the_memory_limit(tmp_path: Path, memory_mb: float) -> None:
    async def scenario(daemon: Daemon, peers: Peers) -> None:
        await asyncio.to_thread(peers.start, "client", daemon.host, PORT, TUNNELS, "y" * 1000)
        await asyncio.sleep(STALL_SECONDS)
        assert peak_memory_mb(daemon) < memory_mb

    run_with_peers(tmp_path, "stall", scenario, memory_mb=memory_mb)


@pytest.mark.parametrize(
    ("sent", "count"),
    [
        (MANY_FIELDS[:2000], BAD_CLIENTS),
        (MANY_FIELDS, BAD_CLIENTS),
        (MANY_FIELDS + b"\r\n", TUNNELS),
        (b"x" * 1_000_000, BAD_CLIENTS),
    ],
    ids=["half", "nearly whole", "many fields", "no line end"],
)
def test_hundreds_of_bad_clients_leave_memory_and_others_alone(
    tmp_path: Path, sent: bytes, count: int
) -> None:
    async def scenario(daemon: Daemon, peers: Peers) -> None:
        clients = []
        for number in range(count):
            client = await daemon.connect()
            clients.append(client)
            client.send(sent % number if b"%d" in sent else sent)
        assert await latest_answer(daemon, FLOOD_SECONDS / 2) < LATEST_ANSWER_SECONDS
        assert peak_memory_mb(daemon) < MEMORY_MB / 2
        assert len(os.listdir(f"/proc/{daemon.process.pid}/fd")) <= DESCRIPTORS
        for client in clients:
            client.writer.transport.abort()

    run_with_peers(tmp_path, "sink", scenario)


def test_requests_under_ever_new_names_leave_no_memory_behind(tmp_path: Path) -> None:
    async def send(daemon: Daemon, count: int, profile: str) -> None:
        for number in range(count):
            connection = await daemon.connect()
            name = f"{profile}{time.monotonic_ns()}-{number}"
            connection.send(f"OPEN {name} k{name} c={profile},t=t{name},d=1500,g=g{name}\r\n".encode())
            assert await asyncio.wait_for(connection.reader.readline(), 2.0)
            connection.close()

    async def scenario(daemon: Daemon, peers: Peers) -> None:
        await send(daemon, 3000, "chat")
        await send(daemon, 3000, "unknown")
        before = peak_memory_mb(daemon)
        await send(daemon, 3000, "chat")
        await send(daemon, 3000, "unknown")
        assert peak_memory_mb(daemon) < before + 1.0

    run_with_peers(tmp_path, "sink", scenario)
