"""A log that nobody reads: the balancer goes on serving, and ends in time."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from crossing.daemon import Daemon, run_with_daemon

REQUESTS = 400  # each leaves over 1 KiB in a debug log: far more than a pipe holds


def test_a_log_that_nobody_reads_holds_nobody_up(tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        for number in range(REQUESTS):
            assert await daemon.request(f"r{number}") == b"UP r-1\r\n", f"request {number}"
        started_at = time.monotonic()
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_for_exit(5.0) and daemon.process.returncode == 0
        assert time.monotonic() - started_at < 3.0
        assert b"event=serving" in daemon.read_log()

    run_with_daemon(scenario, tmp_path, environment={"POINTGW_LOG": "debug"})
