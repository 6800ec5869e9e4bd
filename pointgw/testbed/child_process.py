"""Main loop of the testbed's own processes: commands on standard input, readiness on standard output.

The first input line holds the start values, each further line a command, all as JSON. End of file on standard
input ends the process, so none outlives the process that started it.
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

LAG_SAMPLE_SECONDS = 0.05  # seconds between two samples of the event loop's lag

Message = dict[str, Any]  # the start values or a command
CommandHandler = Callable[[Message], None]
ComponentStart = Callable[[Message, Writer], Awaitable[CommandHandler]]


def run(start: ComponentStart) -> int:
    """Runs a component until end of file: `start` gets the start values and returns the command handler."""
    uvloop.run(_main(start))
    return 0


async def _main(start: ComponentStart) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    start_values: Message = msgspec.json.decode(await reader.readline())
    writer = Writer(start_values["records"])
    handle_command = await start(start_values, writer)
    strain_task = asyncio.create_task(_record_strain(start_values["who"], writer))
    print("ready", flush=True)
    while line := await reader.readline():
        handle_command(msgspec.json.decode(line))
    strain_task.cancel()


async def _record_strain(who: str, writer: Writer) -> None:
    """Records each second the largest lag of this event loop and the share of a core that it used."""
    while True:
        began, cpu_before, max_lag = time.monotonic(), time.process_time(), 0.0
        while time.monotonic() - began < 1.0:
            due = time.monotonic() + LAG_SAMPLE_SECONDS
            await asyncio.sleep(LAG_SAMPLE_SECONDS)
            max_lag = max(max_lag, time.monotonic() - due)
        now = time.monotonic()
        writer.write(Strain(now, who, max_lag, (time.process_time() - cpu_before) / (now - began)))
