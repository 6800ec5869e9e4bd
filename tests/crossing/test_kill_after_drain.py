"""A balancer that is killed after it was told of a drain, with discovery down at its restart.

Guards against setups at a drained server because the drain was not on disk yet, or its snapshot was damaged.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from crossing.daemon import Daemon, run_with_daemon
from crossing.world import World
from pointgw.net.core.effects import Connect, Effect
from pointgw.net.core.events import ClientArrived
from pointgw.net.core.reducer import Reducer
from pointgw.net.run.snapshots import SnapshotRunner, restore_learned_state
from pointgw.net.wire.lines import OpenRequest, parse_client_line
from pointgw.net.wire.start_up import StartUpSettings, parse_start_up_file
from pointgw.operators import StateSection

FIRST_SNAPSHOT_SECONDS = 0.6  # until the first snapshot is on disk
DRAIN_SNAPSHOT_SECONDS = 1.6  # until the drain is in a snapshot, beside the older one
BOOT_FILE = StateSection("unused").boot
REQUESTS = 40
DAMAGED_PLACES = 10  # in each file, evenly spread


def kill_after_drain(
    tmp_path: Path, delay: float, first_snapshot: float = FIRST_SNAPSHOT_SECONDS
) -> tuple[Path, StartUpSettings]:
    """Runs a balancer that is killed `delay` seconds after discovery knows that it was told of a drain."""
    folder, operator = tmp_path / "state", tmp_path / "operator.toml"
    operator.write_text(f'[state]\nfolder = "{folder}"\n')
    start_up: list[StartUpSettings] = []

    async def scenario(daemon: Daemon) -> None:
        await asyncio.sleep(first_snapshot)
        watch = daemon.world.watch
        watch.send_list(2, daemon.world.list_entry(0, status="draining"))
        await daemon.world.discovery.next_request(watch.connection)
        await asyncio.sleep(delay)
        daemon.process.kill()
        daemon.process.wait()
        start_up.append(parse_start_up_file(daemon.config.read_bytes()))

    run_with_daemon(scenario, tmp_path, World(servers=3), environment={"GW_OPERATOR": str(operator)})
    return folder, start_up[0]


def restarted_reducer(folder: Path, start_up: StartUpSettings) -> Reducer:
    """The reducer of a balancer that starts from these files."""
    runner = SnapshotRunner.create(str(folder), start_up, BOOT_FILE)
    assert runner is not None
    runner.store.release()
    now = time.time()
    reducer = Reducer(start_up, now, membership=runner.membership, restored=runner.restored)
    if runner.restored is not None:
        restore_learned_state(reducer.balancer, runner.restored, now)
    return reducer


def connected_ports(reducer: Reducer) -> set[int]:
    """Ports of the servers that get the first requests."""
    effects: list[Effect] = []
    for number in range(REQUESTS):
        request = parse_client_line(b"OPEN %d 7f3a c=chat,d=1500" % number)
        assert isinstance(request, OpenRequest)
        effects += reducer.dispatch(ClientArrived(number, request), time.time())
    return {effect.address[1] for effect in effects if isinstance(effect, Connect)}


def drained_port(start_up: StartUpSettings) -> int:
    """Port of the drained server, the first one."""
    return start_up.known_list.addresses[0][2]


@pytest.mark.parametrize("delay", [0.0, 0.01, 0.05, 0.1, 0.5])
def test_a_drain_that_was_told_outlasts_a_kill(tmp_path: Path, delay: float) -> None:
    folder, start_up = kill_after_drain(tmp_path, delay)
    ports = connected_ports(restarted_reducer(folder, start_up))
    assert ports and drained_port(start_up) not in ports


def damaged_copies(folder: Path, target: Path) -> Iterator[tuple[str, Path]]:
    """Copies of a folder, each with one bit flipped in one of its files."""
    for file in sorted(path for path in folder.iterdir() if path.stat().st_size):
        size = file.stat().st_size
        for place in range(DAMAGED_PLACES):
            copy = target / f"{file.name}-{place}"
            shutil.copytree(folder, copy)
            data = bytearray(file.read_bytes())
            data[size * place // DAMAGED_PLACES] ^= 1 << place % 8
            (copy / file.name).write_bytes(data)
            yield copy.name, copy


@pytest.mark.parametrize("delay", [0.05, DRAIN_SNAPSHOT_SECONDS])
def test_a_drain_outlasts_one_damaged_bit_in_any_file(tmp_path: Path, delay: float) -> None:
    folder, start_up = kill_after_drain(tmp_path, delay)
    assert len(os.listdir(folder)) >= 3
    drained = drained_port(start_up)
    for name, copy in damaged_copies(folder, tmp_path / "damaged"):
        assert drained not in connected_ports(restarted_reducer(copy, start_up)), name


def test_a_kill_before_the_first_snapshot_leaves_the_other_servers_in_use(tmp_path: Path) -> None:
    folder, start_up = kill_after_drain(tmp_path, 0.0, first_snapshot=0.0)
    shutil.copytree(folder, tmp_path / "copy", ignore=shutil.ignore_patterns("state*"))
    servers = restarted_reducer(tmp_path / "copy", start_up).balancer.servers
    assert {name: server.active and not server.stale for name, server in servers.items()} == {
        "s-0": False, "s-1": True, "s-2": True
    }  # fmt: skip
