"""Failures of accept while clients with complete requests wait in the listen backlog.

Guards against clients that are closed or forgotten because accept failed once or for a while, and against a
busy loop while it keeps failing.
"""

from __future__ import annotations

import asyncio
import errno
import signal
from pathlib import Path

import pytest

from crossing.daemon import Daemon, run_with_daemon
from pointgw.net.run.listener import ACCEPT_BATCH
from soak.syscall_faults import Call

CLIENTS = 20
FAILURE_SECONDS = 0.1
# accept(2): lack of resources, and errors of a single connection that accept reports
ACCEPT_ERRORS = (
    errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EINTR, errno.EPROTO,
    errno.ENETDOWN, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EPERM,
)  # fmt: skip


async def requests_in_the_backlog(daemon: Daemon) -> list[asyncio.Task[bytes]]:
    """Sends requests while the process is stopped by SIGSTOP, so that they wait in its backlog."""
    daemon.process.send_signal(signal.SIGSTOP)
    pending = [asyncio.create_task(daemon.request(f"r{number}")) for number in range(CLIENTS)]
    await asyncio.sleep(0.2)
    return pending


@pytest.mark.parametrize(
    "error_number", ACCEPT_ERRORS, ids=lambda error_number: errno.errorcode[error_number]
)
@pytest.mark.parametrize("once", [True, False], ids=["once", "for a while"])
def test_clients_in_the_backlog_are_served_once_accept_works_again(
    error_number: int, once: bool, tmp_path: Path
) -> None:
    async def scenario(daemon: Daemon) -> None:
        pending = await requests_in_the_backlog(daemon)
        calls, _ = daemon.faults.counts(Call.ACCEPT)
        # An error of a single connection concerns that one alone, never all of them.
        lacks_resources = error_number in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
        if once or not lacks_resources:
            daemon.faults.fail(Call.ACCEPT, error_number, nth=calls + 1)
        else:
            daemon.faults.fail(Call.ACCEPT, error_number)
        daemon.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(FAILURE_SECONDS)
        assert daemon.faults.counts(Call.ACCEPT)[1] >= 1
        daemon.faults.clear(Call.ACCEPT)
        assert await asyncio.gather(*pending) == [b"UP r-1\r\n"] * CLIENTS

    run_with_daemon(scenario, tmp_path)


@pytest.mark.parametrize(
    "error_number", [errno.ENFILE, errno.ECONNABORTED], ids=lambda error_number: errno.errorcode[error_number]
)
def test_clients_in_the_backlog_during_a_stop_are_answered_though_accept_fails(
    error_number: int, tmp_path: Path
) -> None:
    async def scenario(daemon: Daemon) -> None:
        pending = await requests_in_the_backlog(daemon)
        calls, _ = daemon.faults.counts(Call.ACCEPT)
        daemon.faults.fail(Call.ACCEPT, error_number, nth=calls + 1)
        daemon.process.send_signal(signal.SIGTERM)
        daemon.process.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*pending)
        assert all(answer.startswith((b"UP ", b"BUSY")) for answer in answers), answers
        assert await daemon.wait_for_exit(4.0) and daemon.process.returncode == 0

    run_with_daemon(scenario, tmp_path)


@pytest.mark.parametrize(
    "error_number", [errno.ENFILE, errno.ECONNABORTED], ids=lambda error_number: errno.errorcode[error_number]
)
def test_a_long_failure_of_accept_causes_no_busy_loop(error_number: int, tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        daemon.faults.fail(Call.ACCEPT, error_number)
        answer = asyncio.create_task(daemon.request("r1", timeout=4.0))
        await asyncio.sleep(0.5)
        assert daemon.faults.counts(Call.ACCEPT)[1] < 100 * ACCEPT_BATCH
        daemon.faults.clear(Call.ACCEPT)
        assert await answer == b"UP r-1\r\n"

    run_with_daemon(scenario, tmp_path)
