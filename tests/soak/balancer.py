"""A balancer process of a soak run: its files, starts and signals."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import IO, Any

from soak.syscall_faults import SyscallFaults

ROOT = Path(__file__).parents[2]
READY_TIMEOUT = 10.0  # seconds; slower restarts count as late, and as failed after three times that
PORT = 8443  # of all balancers, each at its own address; below the range of outgoing ports


class BalancerProcess:
    """One balancer, with the same name and address over all its starts."""

    def __init__(self, number: int, host: str, folder: Path, seed: int, descriptors: int) -> None:
        self.number, self.host, self.folder, self.descriptors = number, host, folder, descriptors
        self.name = f"n{number}"
        self.config_path = folder / f"{self.name}.json"
        self.operator_path = folder / f"{self.name}.toml"
        self.log_path = folder / f"{self.name}.log"
        self.faults = SyscallFaults(folder / f"{self.name}.faults", seed)
        self.process: subprocess.Popen[bytes] | None = None
        self.log: IO[bytes] | None = None
        self.start_count = 0
        self.ready = False
        self.stopping_at: float | None = None
        self.started_at = 0.0
        self.ready_times: list[float] = []
        self.unexpected_ends: list[str] = []
        self.discovery_port = 0
        self.killed_at: dict[int, float] = {}  # by start count: when it was sent SIGKILL

    def write_config(self, config: dict[str, Any]) -> None:
        """Replaces the start-up file atomically."""
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(config))
        new_path.rename(self.config_path)

    def enable_snapshots(self) -> None:
        """Stores snapshots from the next start on, in a folder that persists over restarts."""
        self.operator_path.write_text(f'[state]\nfolder = "{self.folder / self.name}-state"\n')

    def start(self) -> None:
        """Starts the process with the current files and the descriptor limit."""
        self.start_count += 1
        self.ready, self.stopping_at, self.started_at = False, None, time.monotonic()
        if self.log is None:
            self.log = self.log_path.open("ab")
        environment = os.environ | self.faults.environment() | {"GW_CONFIG": str(self.config_path)}
        if self.operator_path.exists():
            environment["GW_OPERATOR"] = str(self.operator_path)
        limit = self.descriptors
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "pointgw"], env=environment, cwd=ROOT, stderr=self.log,
            stdout=subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
        )  # fmt: skip

    async def wait_until_ready(self) -> bool:
        """Sends PING as the front does; False if the process ends, restarts or is not ready in time."""
        starts, deadline = self.start_count, self.started_at + 3 * READY_TIMEOUT
        while time.monotonic() < deadline and self.start_count == starts and self.is_alive():
            if await self._answers_ping():
                self.ready = True
                self.ready_times.append(time.monotonic() - self.started_at)
                return True
            await asyncio.sleep(0.05)
        return False

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, PORT)
        except OSError:
            return False
        try:
            writer.write(b"PING\r\n")
            return (await asyncio.wait_for(reader.readline(), 1.0)).startswith(b"PONG")
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def is_alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Sends SIGTERM, for a graceful stop."""
        self.stopping_at = time.monotonic()
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Sends SIGKILL."""
        self.ready, self.stopping_at = False, time.monotonic()
        if self.is_alive():  # a process that ended by itself has to have answered its requests
            self.killed_at[self.start_count] = time.monotonic()
        self.send_signal(signal.SIGKILL)

    async def wait_until_ended(self, timeout: float) -> bool:
        """Waits for the end of the process; False after `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if not self.is_alive():
                return True
            await asyncio.sleep(0.01)
        return False

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()
        self.faults.close()
