"""Start and reload while the balancer's address or its start-up file is not ready yet.

Guards against a balancer that exits because its predecessor still holds the address, that loses a reload
because the file was still being written, and that fails without a message on limits out of range.
"""

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
from pointgw.site import MalformedInputError


def test_a_start_waits_for_an_address_in_use(tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        second = Daemon(daemon.world, tmp_path)
        with socket.create_server((second.host, PORT)):
            second.start({})
            await asyncio.sleep(1.5)
            assert second.process.poll() is None
        try:
            deadline = time.monotonic() + 3.0
            while await second.request("r1", timeout=0.5) != b"UP r-1\r\n":
                assert time.monotonic() < deadline
        finally:
            second.close()

    run_with_daemon(scenario, tmp_path)


def test_a_file_half_written_at_the_signal_is_read_again(tmp_path: Path) -> None:
    async def scenario(daemon: Daemon) -> None:
        new_discovery = Discovery()
        await new_discovery.start()
        content = json.dumps(daemon.start_up_content(discovery=f"127.0.0.1:{new_discovery.port}"))
        daemon.config.write_text(content[: len(content) // 2])
        daemon.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        daemon.config.write_text(content)
        request = await asyncio.wait_for(new_discovery.next_request(), 2.0)
        assert b"from=" not in request.head
        new_discovery.stop()

    run_with_daemon(scenario, tmp_path, World())


@pytest.mark.parametrize("sockets", ["-5", "0", "1e999", '"x"', "null", "[]"])
def test_limits_out_of_range_are_bounded_or_refused_with_a_message(sockets: str) -> None:
    world = World(servers=0)
    world.discovery.port = 1
    content = world.start_up_file().decode()[:-1] + f', "limits": {{"sockets": {sockets}}}}}'
    try:
        assert parse_start_up_file(content.encode()).descriptors >= 0
    except MalformedInputError as error:
        assert str(error).startswith("expected the start-up JSON")
