"""A balancer in its own process with stand-ins, for tests of its signals and system calls."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count
from pathlib import Path
from typing import Any

import uvloop

from crossing.world import Connection, ListRequest, World, open_line
from pointgw.testbed.run import INTERNAL_ERROR_LINE
from soak.syscall_faults import SyscallFaults

PORT = 8443
_numbers = count(1)


class Daemon:
    """One balancer process, its address, and control over which of its system calls fail."""

    def __init__(self, world: World, folder: Path) -> None:
        number = next(_numbers)
        self.world, self.config = world, folder / f"config-{number}.json"
        self.host = f"127.79.{os.getpid() % 250}.{number}"
        self.faults = SyscallFaults(folder / f"faults-{number}")
        self.process: subprocess.Popen[bytes]
        self.served_requests: list[str] = []  # ids of requests that servers received

    def start_up_content(self, **changes: Any) -> dict[str, Any]:
        """Content of the start-up file, with top-level keys replaced by `changes`."""
        content: dict[str, Any] = json.loads(self.world.start_up_file())
        return content | {"listen": f"{self.host}:{PORT}"} | changes

    def start(self, environment: dict[str, str], **changes: Any) -> None:
        """Writes the start-up file and starts the process."""
        self.config.write_text(json.dumps(self.start_up_content(**changes)))
        variables = os.environ | self.faults.environment() | {"GW_CONFIG": str(self.config)} | environment
        command = [sys.executable, "-O", "-m", "pointgw"]
        self.process = subprocess.Popen(command, env=variables, stderr=subprocess.PIPE)

    async def connect(self) -> Connection:
        return Connection(*await asyncio.open_connection(self.host, PORT))

    async def request(self, request_id: str, timeout: float = 2.0) -> bytes:
        """Sends a request and returns the first line of the answer; empty if there was none."""
        try:
            connection = await self.connect()
        except OSError:
            return b""
        connection.send(open_line(request_id))
        try:
            return await asyncio.wait_for(connection.reader.readline(), timeout)
        except (TimeoutError, OSError):
            return b""
        finally:
            connection.close()

    async def wait_for_exit(self, timeout: float) -> bool:
        """Whether the process exits within `timeout` seconds."""
        with suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(self.process.wait, timeout)
        return self.process.poll() is not None

    def read_log(self) -> bytes:
        """The whole log; call it after the process has exited."""
        assert self.process.stderr is not None
        return self.process.stderr.read()

    def close(self) -> None:
        """Kills the process."""
        self.process.kill()
        self.process.wait()
        self.faults.close()


async def answer_requests(world: World, request_ids: list[str] | None = None) -> None:
    """Makes the servers accept every request, add its id to `request_ids`, and answer probes."""
    async with asyncio.TaskGroup() as group:
        for stand_in in world.servers:
            group.create_task(answer_connections(stand_in, group, request_ids))


async def answer_connections(stand_in: Any, group: asyncio.TaskGroup, request_ids: list[str] | None) -> None:
    while True:
        group.create_task(answer_lines(await stand_in.accepted.get(), request_ids))


async def answer_lines(connection: Connection, request_ids: list[str] | None) -> None:
    with suppress(Exception):
        while line := await connection.reader.readline():
            if line.startswith(b"OPEN ") and line.endswith(b"\n") and request_ids is not None:
                request_ids.append(line.split(b" ")[1].decode())
            connection.send(b"PONG x0=0.1,util=0.1\r\n" if line.startswith(b"STATS") else b"UP r-1\r\n")


def run_with_daemon(
    scenario: Callable[[Daemon], Awaitable[None]],
    folder: Path,
    world: World | None = None,
    environment: dict[str, str] | None = None,
    before_start: Callable[[Daemon], None] = lambda daemon: None,
    **changes: Any,
) -> None:
    """Runs `scenario` with a balancer process that serves: it has its list, and its watch is open.

    `before_start` is called before the process starts; `changes` replace top-level keys of its start-up file.
    """
    world = world or World()

    async def main() -> None:
        await world.start()
        daemon = Daemon(world, folder)
        serving = asyncio.create_task(answer_requests(world, daemon.served_requests))
        before_start(daemon)
        daemon.start(environment or {}, **changes)
        try:
            world.watch = await wait_for_watch(world)
            while not await is_listening(daemon):
                await asyncio.sleep(0.01)
            await scenario(daemon)
        finally:
            daemon.close()
            serving.cancel()
            world.stop()
        internal_errors = [
            line for line in daemon.read_log().splitlines() if INTERNAL_ERROR_LINE.search(line)
        ]
        assert not internal_errors, internal_errors[0]

    uvloop.run(main())


async def wait_for_watch(world: World) -> ListRequest:
    """Answers list requests, also on new connections after one breaks, until the first watch; returns it."""
    while True:
        request = await world.discovery.next_request()
        request.send_list(1)
        with suppress(Exception):
            return await world.discovery.next_request(request.connection)


async def is_listening(daemon: Daemon) -> bool:
    try:
        connection = await daemon.connect()
    except OSError:
        return False
    connection.close()
    return True
