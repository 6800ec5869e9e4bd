"""A balancer's start and reload while its address or its file is not ready yet."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from pathlib import Path

import pytest

from crossing.daemon import PORT, Daemon, run_with_daemon
from crossing.world import Discovery, World
from pointgw.net.wire.start_up import parse_start_up_file
from pointgw.site import Malformed


def test_an_address_that_is_still_taken_is_waited_for(tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        other = Daemon(daemon.world, tmp_path)
        with socket.create_server((other.host, PORT)):
            other.start({})
            await asyncio.sleep(1.5)
            assert other.process.poll() is None
        try:
            end = time.monotonic() + 3.0
            while await other.request("r1", timeout=0.5) != b"UP r-1\r\n":
                assert time.monotonic() < end
        finally:
            other.close()

    run_with_daemon(scenario, tmp_path)


def test_a_file_that_is_half_written_as_the_signal_comes_is_read_again(tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        moved_to = Discovery()
        await moved_to.start()
        told = json.dumps(daemon.start_up_content(discovery=f"127.0.0.1:{moved_to.port}"))
        daemon.config.write_text(told[: len(told) // 2])
        daemon.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        daemon.config.write_text(told)
        call = await asyncio.wait_for(moved_to.next_request(), 2.0)
        assert b"from=" not in call.head
        moved_to.stop()

    run_with_daemon(scenario, tmp_path, World())


@pytest.mark.parametrize("sockets", ["-5", "0", "1e999", '"x"', "null", "[]"])
def test_limits_out_of_range_are_refused_in_words_or_bounded(sockets: str) -> None:
    world = World(servers=0)
    world.discovery.port = 1
    told = world.start_up_file().decode()[:-1] + f', "limits": {{"sockets": {sockets}}}}}'
    try:
        assert parse_start_up_file(told.encode()).descriptors >= 0
    except Malformed as fault:
        assert str(fault).startswith("expected the start-up JSON")
