"""Measures setups and lines a second and memory a tunnel, through one balancer and directly to a server.

    python benchmarks/throughput.py [--seconds 6] [--clients 64] [--most 9000]

Four idle stand-in servers (one process), one balancer, two client processes in a closed loop: each client
opens a tunnel, waits for UP, closes it and starts again. "shares reported" and "shares not reported" differ
in one key of the settings. Lines: each of 200 tunnels has 8 lines in flight. Memory: the balancer's resident
size before the tunnels and with them open.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, cast

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from pointgw.testbed.scenario import Fleet, Kind
from pointgw.testbed.stand_in import StandIn

LINE_END = b"\r\n"


class LoopClient(asyncio.Protocol):
    """One client in a closed loop."""

    def __init__(self, run: ClientRun) -> None:
        self.run, self.started_at, self.answered = run, time.monotonic(), False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(b"OPEN %s k c=tally-sync,t=all,d=1800" % os.urandom(8).hex().encode() + LINE_END)

    def data_received(self, data: bytes) -> None:
        run = self.run
        if not self.answered:
            self.answered = True
            answer = data.split(b" ", 1)[0].strip().decode()
            run.answers[answer] += 1
            run.setup_times.record_value(max(1, round((time.monotonic() - self.started_at) * 1e6)))
            if answer == "UP" and run.kind != "setups":
                run.open_tunnels += 1
                if run.kind == "lines":
                    self.transport.write(b"x" * 60 + LINE_END + (b"y" * 60 + LINE_END) * 7)
            else:
                self.transport.close()
        elif run.kind == "lines":
            count = data.count(b"\n")
            run.lines += count
            self.transport.write((b"z" * 60 + LINE_END) * count)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.answered:
            self.run.answers["lost"] += 1
        if self.run.kind == "setups" and time.monotonic() < self.run.ends_at:
            self.run.start_client()


class ClientRun:
    """The clients of one process and their figures. `kind`: setups, lines or memory."""

    def __init__(self, address: tuple[str, int], kind: str, clients: int, seconds: float) -> None:
        self.address, self.kind, self.clients, self.seconds = address, kind, clients, seconds
        self.answers: Counter[str] = Counter()
        self.setup_times = HdrHistogram(1, 60_000_000, 3)
        self.open_tunnels = self.lines = 0
        self.tasks: set[asyncio.Task[Any]] = set()

    def start_client(self) -> None:
        task = asyncio.get_running_loop().create_task(self._connect())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: LoopClient(self), *self.address)
        except OSError:
            self.answers["refused"] += 1

    async def run(self) -> dict[str, Any]:
        self.ends_at = time.monotonic() + self.seconds
        for i in range(self.clients):
            self.start_client()
            if self.kind != "setups" and i % 20 == 19:
                await asyncio.sleep(0.01)  # the open tunnels arrive at 2,000 a second
        await asyncio.sleep(max(0.0, self.ends_at - time.monotonic()))
        p99 = self.setup_times.get_value_at_percentile(99.0) / 1e3
        return {
            "answers": dict(self.answers),
            "p99": p99,
            "lines": self.lines,
            "open_tunnels": self.open_tunnels,
        }


def run_clients(address: tuple[str, int], kind: str, clients: int, seconds: float, out: Any) -> None:
    out.put(uvloop.run(ClientRun(address, kind, clients, seconds).run()))


def run_servers(
    config: str, listen: tuple[str, int], balancer: tuple[str, int], shares_reported: bool
) -> None:
    """Four large, idle servers."""
    fleet = Fleet(kinds=(Kind("m", 1.0, 1e4),), holds=10**6, tells_shares=shares_reported, report_noise=0.0)
    fleet = msgspec.structs.replace(fleet, setup_work=0.001, message_work=0.001)
    uvloop.run(StandIn(listen, ("127.0.0.1", 0), 4, 1e4, config, balancer, fleet).run())


def measure_clients(
    address: tuple[str, int], kind: str, clients: int, seconds: float, memory_pid: int | None
) -> dict[str, Any]:
    """Sums the figures of two client processes. `memory_pid`: a process whose memory is read near the end."""
    out: Any = multiprocessing.Queue()
    processes = [
        multiprocessing.Process(target=run_clients, args=(address, kind, clients // 2, seconds, out))
        for _ in range(2)
    ]
    for process in processes:
        process.start()
    memory = 0
    if memory_pid is not None:
        time.sleep(seconds - 0.5)
        memory = resident_bytes(memory_pid)
    results = [out.get(timeout=seconds + 30) for _ in processes]
    for process in processes:
        process.join()
    answers: Counter[str] = Counter()
    for result in results:
        answers.update(result["answers"])
    return {
        "opened": answers.pop("UP", 0), "others": dict(answers),
        "p99": max(result["p99"] for result in results),
        "lines": sum(result["lines"] for result in results),
        "open_tunnels": sum(result["open_tunnels"] for result in results), "memory": memory,
    }  # fmt: skip


def resident_bytes(pid: int) -> int:
    """Resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure(shares_reported: bool, seconds: float, clients: int, max_tunnels: int) -> list[str]:
    """Runs all measurements of one setting; the rows."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        config = f"{folder}/config.json"
        host = f"127.{10 + os.getpid() % 40}.0."
        server_address, balancer_address = (host + "1", 9000), (host + "2", 8443)
        server_process = multiprocessing.Process(
            target=run_servers, args=(config, server_address, balancer_address, shares_reported), daemon=True
        )
        server_process.start()
        while not Path(config).exists():
            if not server_process.is_alive():
                raise SystemExit("the stand-in servers could not start")
            time.sleep(0.05)
        time.sleep(0.3)
        log = open(f"{folder}/log", "wb")  # noqa: SIM115
        balancer = subprocess.Popen(
            [sys.executable, "-O", "-m", "pointgw"], env=os.environ | {"GW_CONFIG": config}, stderr=log
        )
        time.sleep(0.7)
        name = "shares reported" if shares_reported else "shares not reported"

        def add_setups_row(label: str, address: tuple[str, int]) -> None:
            figures = measure_clients(address, "setups", clients, seconds, None)
            rate = figures["opened"] / seconds
            rows.append(
                f"| setups, {label} | {rate:.0f} /s | {figures['p99']:.0f} ms | {figures['others'] or '-'} |"
            )

        try:
            add_setups_row(f"through the balancer, {name}", balancer_address)
            if shares_reported:
                add_setups_row("direct", server_address)
                for label, address in (
                    ("through the balancer", balancer_address),
                    ("direct", server_address),
                ):
                    figures = measure_clients(address, "lines", 200, seconds, None)
                    rate = figures["lines"] / seconds
                    rows.append(f"| lines, {label} | {rate:.0f} /s | {figures['open_tunnels']} tunnels | - |")
                time.sleep(1.0)
                for count in (2000, max_tunnels):
                    before = resident_bytes(balancer.pid)
                    figures = measure_clients(
                        balancer_address, "memory", count, 4.0 + count / 1500, balancer.pid
                    )
                    kilobytes_each = (figures["memory"] - before) / max(1, figures["open_tunnels"]) / 1e3
                    rows.append(
                        f"| memory, {figures['open_tunnels']} tunnels | {kilobytes_each:.1f} kB each |"
                        f" {figures['memory'] / 1e6:.0f} MB in all | {figures['others'] or '-'} |"
                    )
                    time.sleep(1.0)
        finally:
            balancer.terminate()
            balancer.wait(10)
            log.close()
            server_process.terminate()
            server_process.join()
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--most", type=int, default=9000)
    parser.add_argument("--only-setups", action="store_true")
    args = parser.parse_args()
    print("| what | figure | | other answers |\n| --- | --- | --- | --- |")
    for shares_reported in (False,) if args.only_setups else (False, True):
        print("\n".join(measure(shares_reported, args.seconds, args.clients, args.most)), flush=True)


if __name__ == "__main__":
    main()
