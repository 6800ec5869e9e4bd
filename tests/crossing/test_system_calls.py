"""connect, socket and fsync fail or hang for a moment, in a balancer of its own process."""

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

APART = 0.025  # seconds between two requests
SPAN = 0.6  # seconds for which calls fail
AFTER = 1.5  # seconds after that in which all are served
REFUSED = b"BUSY\r\n"


async def requests(daemon: Daemon, name: str, span: float) -> list[asyncio.Task[bytes]]:
    """Requests that begin at a steady pace, whatever becomes of those before."""
    begun: list[asyncio.Task[bytes]] = []
    end = time.monotonic() + span
    while time.monotonic() < end:
        begun.append(asyncio.create_task(daemon.request(f"{name}-{len(begun)}")))
        await asyncio.sleep(APART)
    return begun


@pytest.mark.parametrize(
    ("call", "fault"),
    [
        (Call.CONNECT, errno.ENETUNREACH),
        (Call.CONNECT, errno.EHOSTUNREACH),
        (Call.CONNECT, errno.EADDRNOTAVAIL),
        (Call.SOCKET, errno.ENOBUFS),
        (Call.SOCKET, errno.ENFILE),
    ],
    ids=lambda told: told.name.lower() if isinstance(told, Call) else errno.errorcode[told],
)
def test_a_moment_without_connections_ejects_no_server(call: Call, fault: int, tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        for number in range(20):
            assert await daemon.request(f"before-{number}") == b"UP r-1\r\n"
        daemon.faults.fail(call, fault)
        during = await requests(daemon, "during", SPAN)
        daemon.faults.clear(call)
        await asyncio.sleep(0.1)
        after = await asyncio.gather(*await requests(daemon, "after", AFTER))
        assert after == [b"UP r-1\r\n"] * len(after), f"{after.count(REFUSED)} of {len(after)} refused"
        answers = await asyncio.gather(*during)
        assert all(answer.startswith((b"UP ", b"BUSY")) for answer in answers), answers

    run_with_daemon(scenario, tmp_path, World(servers=8, probes=True))


def test_a_disk_that_hangs_holds_up_neither_service_nor_the_stop(tmp_path: Path) -> None:
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
    ("call", "fault"),
    [(Call.FSYNC, errno.EIO), (Call.OPEN, errno.ENOSPC), (Call.RENAME, errno.EIO)],
    ids=lambda told: told.name.lower() if isinstance(told, Call) else errno.errorcode[told],
)
def test_a_disk_that_fails_for_a_while_is_written_again(call: Call, fault: int, tmp_path: Path) -> None:
    folder = tmp_path / "state"
    operator = tmp_path / "operator.toml"
    operator.write_text(f'[state]\nfolder = "{folder}"\n')

    async def scenario(daemon: Daemon) -> None:
        daemon.faults.fail(call, fault)
        daemon.world.watch.send_list(2, daemon.world.list_entry(0, status="draining"))
        await asyncio.sleep(2.5)
        assert await daemon.request("r1") == b"UP r-1\r\n"
        daemon.faults.clear(call)
        end = time.monotonic() + 5.0
        while not any(b"draining" in f.read_bytes() or b"leaving" in f.read_bytes() for f in states(folder)):
            assert time.monotonic() < end, "the drain was never written"
            await asyncio.sleep(0.1)
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_for_exit(4.0) and daemon.process.returncode == 0
        assert daemon.read_log().count(b"not written") <= 1

    run_with_daemon(scenario, tmp_path, environment={"GW_OPERATOR": str(operator)})


def states(folder: Path) -> list[Path]:
    """The generations on disk."""
    return [path for path in folder.glob("state.*") if path.is_file()] if folder.exists() else []
