"""What the rig's own processes share: commands on standard input, readiness on standard output.

The first line is what the process is told at its start, each further one a command. The end of standard input
ends the process, so none outlives the one that started it.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import uvloop

from pointgw.testbed.records import Strain, Writer

LAG_SAMPLE_SECONDS = 0.05  # seconds between two looks at how late the loop is

Message = dict[str, Any]
CommandHandler = Callable[[Message], None]
ComponentStart = Callable[[Message, Writer], Awaitable[CommandHandler]]


def run(part: ComponentStart) -> int:
    """Runs a part: it gets what it is told and its writer, and gives what takes commands."""
    uvloop.run(_main(part))
    return 0


async def _main(part: ComponentStart) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    told: Message = msgspec.json.decode(await reader.readline())
    writer = Writer(told["records"])
    take = await part(told, writer)
    strain = asyncio.create_task(_record_strain(told["who"], writer))
    print("ready", flush=True)
    while line := await reader.readline():
        take(msgspec.json.decode(line))
    strain.cancel()


async def _record_strain(who: str, writer: Writer) -> None:
    """Writes down each second how late this loop was and how much of a core it took."""
    while True:
        began, cpu, lag = time.monotonic(), time.process_time(), 0.0
        while time.monotonic() - began < 1.0:
            due = time.monotonic() + LAG_SAMPLE_SECONDS
            await asyncio.sleep(LAG_SAMPLE_SECONDS)
            lag = max(lag, time.monotonic() - due)
        now = time.monotonic()
        writer.write(Strain(now, who, lag, (time.process_time() - cpu) / (now - began)))
