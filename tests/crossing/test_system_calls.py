"""System calls of a balancer, in its own process, that fail or hang for a while.

Guards against a server ejected for a local lack of sockets or routes, against a disk that blocks requests or
the stop, and against a snapshot that is not written again after a disk error.
"""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from pathlib import Path

import pytest

from crossing.daemon import Daemon, run_with_daemon
from crossing.world import World
from soak.syscall_faults import Call

REQUEST_INTERVAL = 0.025  # seconds
FAILURE_SECONDS = 0.6  # for which calls fail
RECOVERED_SECONDS = 1.5  # after the failure, in which every request has to be served
BUSY = b"BUSY\r\n"


async def send_requests(daemon: Daemon, name: str, duration: float) -> list[asyncio.Task[bytes]]:
    """Starts requests at a steady pace, without waiting for earlier ones."""
    requests: list[asyncio.Task[bytes]] = []
    end = time.monotonic() + duration
    while time.monotonic() < end:
        requests.append(asyncio.create_task(daemon.request(f"{name}-{len(requests)}")))
        await asyncio.sleep(REQUEST_INTERVAL)
    return requests


@pytest.mark.parametrize(
    ("call", "error_number"),
    [
        (Call.CONNECT, errno.ENETUNREACH),
        (Call.CONNECT, errno.EHOSTUNREACH),
        (Call.CONNECT, errno.EADDRNOTAVAIL),
        (Call.SOCKET, errno.ENOBUFS),
        (Call.SOCKET, errno.ENFILE),
    ],
    ids=lambda value: value.name.lower() if isinstance(value, Call) else errno.errorcode[value],
)
def test_a_short_local_failure_to_connect_ejects_no_server(
    call: Call, error_number: int, tmp_path: Path
) -> None:
    async def scenario(daemon: Daemon) -> None:
        for number in range(20):
            assert await daemon.request(f"before-{number}") == b"UP r-1\r\n"
        daemon.faults.fail(call, error_number)
        during = await send_requests(daemon, "during", FAILURE_SECONDS)
        daemon.faults.clear(call)
        await asyncio.sleep(0.1)
        after = await asyncio.gather(*await send_requests(daemon, "after", RECOVERED_SECONDS))
        assert after == [b"UP r-1\r\n"] * len(after), f"{after.count(BUSY)} of {len(after)} refused"
        answers = await asyncio.gather(*during)
        assert all(answer.startswith((b"UP ", b"BUSY")) for answer in answers), answers

    run_with_daemon(scenario, tmp_path, World(servers=8, probes=True))


def test_a_hanging_disk_delays_neither_requests_nor_the_stop(tmp_path: Path) -> None:
    operator = tmp_path / "operator.toml"
    operator.write_text(f'[state]\nfolder = "{tmp_path}/state"\n')

    async def scenario(daemon: Daemon) -> None:
        daemon.faults.fail(Call.FSYNC, 0, delay=20.0)
        calls, _ = daemon.faults.counts(Call.FSYNC)
        daemon.world.watch.send_list(2, daemon.world.list_entry(0, weight=2.0))
        await asyncio.sleep(1.5)
        assert await daemon.request("r1") == b"UP r-1\r\n"
        assert daemon.faults.counts(Call.FSYNC)[0] > calls
        started_at = time.monotonic()
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_for_exit(4.0) and time.monotonic() - started_at < 3.0
        assert daemon.process.returncode == 0

    run_with_daemon(scenario, tmp_path, environment={"GW_OPERATOR": str(operator)})


@pytest.mark.parametrize(
    ("call", "error_number"),
    [(Call.FSYNC, errno.EIO), (Call.OPEN, errno.ENOSPC), (Call.RENAME, errno.EIO)],
    ids=lambda value: value.name.lower() if isinstance(value, Call) else errno.errorcode[value],
)
def test_a_snapshot_is_written_after_a_disk_error_ends(call: Call, error_number: int, tmp_path: Path) -> None:
    folder = tmp_path / "state"
    operator = tmp_path / "operator.toml"
    operator.write_text(f'[state]\nfolder = "{folder}"\n')

    async def scenario(daemon: Daemon) -> None:
        daemon.faults.fail(call, error_number)
        daemon.world.watch.send_list(2, daemon.world.list_entry(0, status="draining"))
        await asyncio.sleep(2.5)
        assert await daemon.request("r1") == b"UP r-1\r\n"
        daemon.faults.clear(call)
        end = time.monotonic() + 5.0
        while not any(
            b"draining" in f.read_bytes() or b"leaving" in f.read_bytes() for f in snapshot_files(folder)
        ):
            assert time.monotonic() < end, "the drain was not written in time"
            await asyncio.sleep(0.1)
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_for_exit(4.0) and daemon.process.returncode == 0
        assert daemon.read_log().count(b"not written") <= 1

    run_with_daemon(scenario, tmp_path, environment={"GW_OPERATOR": str(operator)})


def snapshot_files(folder: Path) -> list[Path]:
    """The stored snapshots."""
    return [path for path in folder.glob("state.*") if path.is_file()] if folder.exists() else []
