"""A log pipe that nobody reads.

Guards against a balancer that blocks on writing its log once the pipe is full: it has to serve and to stop in
time.
"""

from __future__ import annotations

import signal
import time
from pathlib import Path

from crossing.daemon import Daemon, run_with_daemon

REQUESTS = 400  # each logs over 1 KiB at debug level: far more than a pipe holds


def test_an_unread_log_blocks_neither_requests_nor_the_stop(tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        for number in range(REQUESTS):
            assert await daemon.request(f"r{number}") == b"UP r-1\r\n", f"request {number}"
        started_at = time.monotonic()
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_for_exit(5.0) and daemon.process.returncode == 0
        assert time.monotonic() - started_at < 3.0
        assert b"event=serving" in daemon.read_log()

    run_with_daemon(scenario, tmp_path, environment={"POINTGW_LOG": "debug"})
