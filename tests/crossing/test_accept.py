"""accept fails for a moment, while clients with whole requests wait in the backlog."""

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
SHORT_SPAN = 0.1  # seconds
# accept(2): a lack of our own, and faults of one connection that are passed on by accept
FAULTS = (
    errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EINTR, errno.EPROTO,
    errno.ENETDOWN, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EPERM,
)  # fmt: skip


async def requests_in_the_backlog(daemon: Daemon) -> list[asyncio.Task[bytes]]:
    """Requests that the system has taken for the process, which stands still."""
    daemon.process.send_signal(signal.SIGSTOP)
    waiting = [asyncio.create_task(daemon.request(f"r{number}")) for number in range(CLIENTS)]
    await asyncio.sleep(0.2)
    return waiting


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: errno.errorcode[fault])
@pytest.mark.parametrize("once", [True, False], ids=["once", "for a while"])
def test_clients_in_the_backlog_are_served_once_accept_works_again(
    fault: int, once: bool, tmp_path: Path
) -> None:
    async def scenario(daemon: Daemon) -> None:
        waiting = await requests_in_the_backlog(daemon)
        calls, _ = daemon.faults.counts(Call.ACCEPT)
        # A fault of one connection is never for all of them.
        lacking = fault in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
        if once or not lacking:
            daemon.faults.fail(Call.ACCEPT, fault, nth=calls + 1)
        else:
            daemon.faults.fail(Call.ACCEPT, fault)
        daemon.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(SHORT_SPAN)
        assert daemon.faults.counts(Call.ACCEPT)[1] >= 1
        daemon.faults.clear(Call.ACCEPT)
        assert await asyncio.gather(*waiting) == [b"UP r-1\r\n"] * CLIENTS

    run_with_daemon(scenario, tmp_path)


@pytest.mark.parametrize(
    "fault", [errno.ENFILE, errno.ECONNABORTED], ids=lambda fault: errno.errorcode[fault]
)
def test_clients_in_the_backlog_of_a_stop_are_answered_though_accept_fails(
    fault: int, tmp_path: Path
) -> None:
    async def scenario(daemon: Daemon) -> None:
        waiting = await requests_in_the_backlog(daemon)
        calls, _ = daemon.faults.counts(Call.ACCEPT)
        daemon.faults.fail(Call.ACCEPT, fault, nth=calls + 1)
        daemon.process.send_signal(signal.SIGTERM)
        daemon.process.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*waiting)
        assert all(answer.startswith((b"UP ", b"BUSY")) for answer in answers), answers
        assert await daemon.wait_for_exit(4.0) and daemon.process.returncode == 0

    run_with_daemon(scenario, tmp_path)


@pytest.mark.parametrize(
    "fault", [errno.ENFILE, errno.ECONNABORTED], ids=lambda fault: errno.errorcode[fault]
)
def test_accept_that_fails_for_long_spends_no_processor(fault: int, tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        daemon.faults.fail(Call.ACCEPT, fault)
        waits = asyncio.create_task(daemon.request("r1", timeout=4.0))
        await asyncio.sleep(0.5)
        assert daemon.faults.counts(Call.ACCEPT)[1] < 100 * ACCEPT_BATCH
        daemon.faults.clear(Call.ACCEPT)
        assert await waits == b"UP r-1\r\n"

    run_with_daemon(scenario, tmp_path)
