"""Setups and lines a second, and memory a tunnel, through one balancer and straight to a server, in one run.

    python benchmarks/throughput.py [--seconds 6] [--clients 64] [--most 9000]

Four idle stand-in servers (one process), one balancer, two client processes in a closed loop: each client
opens a tunnel, waits for UP, ends it and begins anew. "shares told" and "not told" differ in one key of the
settings. Lines: each of 200 tunnels has 8 lines on the way at any time. Memory: the balancer's resident size
before and with the tunnels standing.
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

END = b"\r\n"


class Loop(asyncio.Protocol):
    """One client in a closed loop."""

    def __init__(self, run: Run) -> None:
        self.run, self.began, self.open = run, time.monotonic(), False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(b"OPEN %s k c=tally-sync,t=all,d=1800" % os.urandom(8).hex().encode() + END)

    def data_received(self, data: bytes) -> None:
        run = self.run
        if not self.open:
            self.open = True
            word = data.split(b" ", 1)[0].strip().decode()
            run.answers[word] += 1
            run.times.record_value(max(1, round((time.monotonic() - self.began) * 1e6)))
            if word == "UP" and run.kind != "setups":
                run.standing += 1
                if run.kind == "lines":
                    self.transport.write(b"x" * 60 + END + (b"y" * 60 + END) * 7)
            else:
                self.transport.close()
        elif run.kind == "lines":
            count = data.count(b"\n")
            run.lines += count
            self.transport.write((b"z" * 60 + END) * count)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.open:
            self.run.answers["lost"] += 1
        if self.run.kind == "setups" and time.monotonic() < self.run.until:
            self.run.begin()


class Run:
    """What one client process does."""

    def __init__(self, to: tuple[str, int], kind: str, clients: int, seconds: float) -> None:
        self.to, self.kind, self.clients, self.seconds = to, kind, clients, seconds
        self.answers: Counter[str] = Counter()
        self.times = HdrHistogram(1, 60_000_000, 3)
        self.standing = self.lines = 0
        self.tasks: set[asyncio.Task[Any]] = set()

    def begin(self) -> None:
        task = asyncio.get_running_loop().create_task(self._connect())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: Loop(self), *self.to)
        except OSError:
            self.answers["refused"] += 1

    async def play(self) -> dict[str, Any]:
        self.until = time.monotonic() + self.seconds
        for i in range(self.clients):
            self.begin()
            if self.kind != "setups" and i % 20 == 19:
                await asyncio.sleep(0.01)  # standing tunnels come at 2,000 a second
        await asyncio.sleep(max(0.0, self.until - time.monotonic()))
        p99 = self.times.get_value_at_percentile(99.0) / 1e3
        return {"answers": dict(self.answers), "p99": p99, "lines": self.lines, "standing": self.standing}


def client(to: tuple[str, int], kind: str, clients: int, seconds: float, out: Any) -> None:
    out.put(uvloop.run(Run(to, kind, clients, seconds).play()))


def servers(config: str, listen: tuple[str, int], balancer: tuple[str, int], told: bool) -> None:
    """Four large, idle servers."""
    fleet = Fleet(kinds=(Kind("m", 1.0, 1e4),), holds=10**6, tells_shares=told, report_noise=0.0)
    fleet = msgspec.structs.replace(fleet, setup_work=0.001, message_work=0.001)
    uvloop.run(StandIn(listen, ("127.0.0.1", 0), 4, 1e4, config, balancer, fleet).run())


def together(
    to: tuple[str, int], kind: str, clients: int, seconds: float, look: int | None
) -> dict[str, Any]:
    """Two client processes; their figures summed. `look`: a process whose memory is read near the end."""
    out: Any = multiprocessing.Queue()
    parts = [
        multiprocessing.Process(target=client, args=(to, kind, clients // 2, seconds, out)) for _ in range(2)
    ]
    for part in parts:
        part.start()
    memory = 0
    if look is not None:
        time.sleep(seconds - 0.5)
        memory = resident(look)
    told = [out.get(timeout=seconds + 30) for _ in parts]
    for part in parts:
        part.join()
    answers: Counter[str] = Counter()
    for one in told:
        answers.update(one["answers"])
    return {
        "opened": answers.pop("UP", 0), "others": dict(answers), "p99": max(one["p99"] for one in told),
        "lines": sum(one["lines"] for one in told), "standing": sum(one["standing"] for one in told),
        "memory": memory,
    }  # fmt: skip


def resident(pid: int) -> int:
    """Bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure(told: bool, seconds: float, clients: int, most: int) -> list[str]:
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        config = f"{folder}/config.json"
        host = f"127.{10 + os.getpid() % 40}.0."
        listen, door = (host + "1", 9000), (host + "2", 8443)
        stand_ins = multiprocessing.Process(target=servers, args=(config, listen, door, told), daemon=True)
        stand_ins.start()
        while not Path(config).exists():
            if not stand_ins.is_alive():
                raise SystemExit("the stand-in servers could not start")
            time.sleep(0.05)
        time.sleep(0.3)
        log = open(f"{folder}/log", "wb")  # noqa: SIM115
        balancer = subprocess.Popen(
            [sys.executable, "-O", "-m", "pointgw"], env=os.environ | {"GW_CONFIG": config}, stderr=log
        )
        time.sleep(0.7)
        name = "shares told" if told else "shares not told"

        def setups(label: str, to: tuple[str, int]) -> None:
            one = together(to, "setups", clients, seconds, None)
            rate = one["opened"] / seconds
            rows.append(f"| setups, {label} | {rate:.0f} /s | {one['p99']:.0f} ms | {one['others'] or '-'} |")

        try:
            setups(f"through the balancer, {name}", door)
            if told:
                setups("straight", listen)
                for label, to in (("through the balancer", door), ("straight", listen)):
                    one = together(to, "lines", 200, seconds, None)
                    rate = one["lines"] / seconds
                    rows.append(f"| lines, {label} | {rate:.0f} /s | {one['standing']} tunnels | - |")
                time.sleep(1.0)
                for count in (2000, most):
                    before = resident(balancer.pid)
                    one = together(door, "memory", count, 4.0 + count / 1500, balancer.pid)
                    each = (one["memory"] - before) / max(1, one["standing"]) / 1e3
                    rows.append(
                        f"| memory, {one['standing']} tunnels | {each:.1f} kB each |"
                        f" {one['memory'] / 1e6:.0f} MB in all | {one['others'] or '-'} |"
                    )
                    time.sleep(1.0)
        finally:
            balancer.terminate()
            balancer.wait(10)
            log.close()
            stand_ins.terminate()
            stand_ins.join()
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--most", type=int, default=9000)
    parser.add_argument("--only-setups", action="store_true")
    args = parser.parse_args()
    print("| what | figure | | other answers |\n| --- | --- | --- | --- |")
    for told in (False,) if args.only_setups else (False, True):
        print("\n".join(measure(told, args.seconds, args.clients, args.most)), flush=True)


if __name__ == "__main__":
    main()
