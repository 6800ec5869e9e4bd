"""Runs the fault proxy as a process."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import uvloop

from pointgw import validation
from pointgw.fault_proxy.proxy import Address, FaultProxy
from pointgw.fault_proxy.script import Script


def serve_fault_proxy(listen: Address, to: Address, script: str | None, seed: int, trace: str | None) -> int:
    """Runs until SIGINT or SIGTERM, then writes the trace; returns the exit code.

    Raises `validation.InvalidFileError`."""
    rules = validation.read(Path(script), Script) if script else Script()

    async def serve() -> int:
        proxy = FaultProxy(rules, seed, to, listen)
        try:
            host, port = await proxy.start()
        except OSError as error:
            print(f"pointgw fault-box: {listen[0]}:{listen[1]}: {error.strerror}", file=sys.stderr)
            return 1
        stopped = asyncio.Event()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
        print(f"listening on {host}:{port}, to {to[0]}:{to[1]}", flush=True)
        await stopped.wait()
        await proxy.stop()
        if trace is not None:
            Path(trace).write_text(proxy.trace())
        print(f"{proxy.stats.connections} connections, {proxy.stats.traced_lines} choices", flush=True)
        return 0

    return uvloop.run(serve())
