"""A log that nobody reads: the balancer goes on, and says how much of its log is missing."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import uvloop

from crossing.world import Conn, World, opening

REQUESTS = 400  # each leaves over 1 KiB in a debug log: far more than a pipe holds
PORT = 8443


def with_log(
    scene: Callable[[World, subprocess.Popen[bytes]], Awaitable[None]], folder: Path, number: int
) -> None:
    """Runs `scene` beside a balancer process whose standard error is a pipe that nobody reads."""
    world = World()
    host = f"127.79.{os.getpid() % 250}.{number}"

    async def answers() -> None:
        async with asyncio.TaskGroup() as group:
            for peer in world.servers:

                async def taking(peer=peer) -> None:  # type: ignore[no-untyped-def]
                    while True:
                        conn = await peer.taken.get()
                        group.create_task(up(conn))

                group.create_task(taking())

    async def up(conn: Conn) -> None:
        with suppress(Exception):
            await conn.reader.readline()
            conn.say(b"UP r-1\r\n")

    async def main() -> None:
        await world.stand()
        config = folder / "config.json"
        config.write_text(json.dumps(json.loads(world.told()) | {"listen": f"{host}:{PORT}"}))
        serving = asyncio.create_task(answers())
        process = subprocess.Popen(
            [sys.executable, "-O", "-m", "pointgw"],
            env=os.environ | {"GW_CONFIG": str(config), "POINTGW_LOG": "debug"}, stderr=subprocess.PIPE,
        )  # fmt: skip
        try:
            call = await world.discovery.call()
            call.answer(1)
            world.watch = await world.discovery.call(call.conn)
            world.host = host  # type: ignore[attr-defined]
            await scene(world, process)
        finally:
            process.kill()
            process.wait()
            serving.cancel()
            world.stop()

    uvloop.run(main())


async def served(host: str, name: str) -> bool:
    conn = Conn(*await asyncio.open_connection(host, PORT))
    conn.say(opening(name))
    try:
        return await asyncio.wait_for(conn.reader.readline(), 2.0) == b"UP r-1\r\n"
    except TimeoutError:
        return False
    finally:
        conn.close()


def test_a_log_that_nobody_reads_holds_nobody_up(tmp_path: Path) -> None:
    async def scene(world: World, process: subprocess.Popen[bytes]) -> None:
        host = world.host  # type: ignore[attr-defined]
        await asyncio.sleep(0.5)
        for number in range(REQUESTS):
            assert await served(host, f"r{number}"), f"request {number} had no answer"
        began = time.monotonic()
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, 5.0)
        assert time.monotonic() - began < 3.0 and process.returncode == 0
        assert process.stderr is not None
        assert b"event=serving" in process.stderr.read()

    with_log(scene, tmp_path, 1)
