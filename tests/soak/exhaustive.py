"""Repeats one fixed scenario for each system call that it makes, with only that call failing.

`python -m soak.exhaustive` from `tests/`. The scenario: a start, a watch, ten requests, a drain, a reload, a
snapshot, a stop; for each effect of requests. A first run counts the calls; then one run follows for each
call and each error that is documented for it. Exit status 1: a request was lost or ran twice, or the process
did not end with status 0 in time.
"""

from __future__ import annotations

import argparse
import asyncio
import errno
import shutil
import signal
import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import mkdtemp

from crossing.daemon import Daemon, run_with_daemon
from crossing.world import World
from soak.syscall_faults import SHORTENED, Call

EFFECTS = ("pure", "token", "side_effect")
REQUESTS = 10
STOP_TIMEOUT = 4.0  # seconds from SIGTERM
ERRORS: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EINTR, errno.EPROTO),
    Call.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.CONNECT: (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.EADDRNOTAVAIL, errno.ETIMEDOUT),
    Call.READ: (SHORTENED, errno.EINTR, errno.ETIMEDOUT, errno.ECONNRESET),
    Call.WRITE: (SHORTENED, errno.EINTR, errno.ENOSPC, errno.EIO),
    Call.OPEN: (errno.ENOSPC, errno.EIO, errno.EMFILE),
    Call.FSYNC: (errno.EIO, errno.ENOSPC),
    Call.RENAME: (errno.EIO, errno.ENOSPC),
}  # fmt: skip


@dataclass(slots=True)
class Run:
    """One run: the failing call and the results."""

    effect: str  # a value of `semantics` in the settings
    call: Call | None = None
    fault: int = 0  # errno or SHORTENED
    nth: int = 0
    answers: list[bytes] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    call_counts: dict[Call, int] = field(default_factory=dict)
    fault_hit: bool = False

    def __str__(self) -> str:
        name = errno.errorcode.get(self.fault, "short")
        call = self.call.name if self.call is not None else "none"
        return f"{self.effect} {call} {name} call {self.nth}: {self.violations}"


def run_with_fault(effect: str, call: Call | None = None, fault: int = 0, nth: int = 0) -> Run:
    """Runs the scenario; the `nth` call of a kind fails."""
    run = Run(effect, call, fault, nth)
    folder = Path(mkdtemp(prefix="pointgw-day-"))
    operator_path = folder / "operator.toml"
    operator_path.write_text(f'[state]\nfolder = "{folder}/state"\n')
    profile = {"semantics": effect, "dedupWindow": 1000.0}
    try:
        run_with_daemon(
            lambda daemon: _scenario(daemon, run), folder, World(servers=4, probes=True, profile=profile),
            {"GW_OPERATOR": str(operator_path)}, lambda daemon: _set_fault(daemon, run),
        )  # fmt: skip
    except Exception as error:
        run.violations.append(f"{type(error).__name__} {error}")
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return run


def _set_fault(daemon: Daemon, run: Run) -> None:
    """Sets the fault before the process starts, because the start makes calls too."""
    if run.call is not None:
        daemon.faults.fail(run.call, run.fault, nth=run.nth)


async def _scenario(daemon: Daemon, run: Run) -> None:
    requests = [asyncio.create_task(daemon.request(f"r{number}")) for number in range(REQUESTS // 2)]
    await asyncio.sleep(0.1)
    daemon.world.watch.send_list(2, daemon.world.list_entry(3, status="draining"))
    daemon.process.send_signal(signal.SIGHUP)
    later = range(REQUESTS // 2, REQUESTS)
    requests += [asyncio.create_task(daemon.request(f"r{number}")) for number in later]
    run.answers = list(await asyncio.gather(*requests))
    await asyncio.sleep(0.9)  # time to write a snapshot of the drain
    daemon.process.send_signal(signal.SIGTERM)
    if not await daemon.wait_for_exit(STOP_TIMEOUT):
        run.violations.append("did not end")
    elif daemon.process.returncode != 0:
        run.violations.append(f"exit {daemon.process.returncode}")
    run.call_counts = {call: daemon.faults.counts(call)[0] for call in Call}
    run.fault_hit = run.call is not None and daemon.faults.counts(run.call)[1] > 0
    _check(daemon, run)


def _check(daemon: Daemon, run: Run) -> None:
    for number, answer in enumerate(run.answers):
        if not answer.startswith((b"UP ", b"BUSY", b"ERR")):
            run.violations.append(f"r{number} had no answer")
    if run.effect == "side_effect":
        twice = [name for name, count in Counter(daemon.served_requests).items() if count > 1]
        run.violations.extend(f"{name} ran twice" for name in twice)
    log = daemon.read_log()
    for mark in (b"event=broken", b"event=fault", b"Traceback", b"closed without answer"):
        if mark in log:
            run.violations.append(f"the log has {mark.decode()}")


def cases(baselines: dict[str, Run], every: int) -> Iterator[tuple[str, Call, int, int]]:
    """Each call of each baseline with each error; `every`: only each `every`-th call."""
    for effect, run in baselines.items():
        for call, errors in ERRORS.items():
            for fault in errors:
                for nth in range(1, run.call_counts[call] + 1, every):
                    yield effect, call, fault, nth


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--at-once", type=int, default=6)
    parser.add_argument("--every", type=int, default=1, help="fail only each EVERY-th call of a kind")
    parser.add_argument("--effects", default=",".join(EFFECTS))
    options = parser.parse_args()
    baselines = {effect: run_with_fault(effect) for effect in options.effects.split(",")}
    for effect, run in baselines.items():
        print(
            effect,
            {call.name.lower(): count for call, count in run.call_counts.items()},
            run.violations,
            flush=True,
        )
    hit, failed = Counter[str](), []
    with ProcessPoolExecutor(options.at_once) as pool:
        futures = [pool.submit(run_with_fault, *case) for case in cases(baselines, options.every)]
        for number, future in enumerate(futures, 1):
            run = future.result()
            assert run.call is not None
            hit[run.call.name.lower()] += run.fault_hit
            if run.violations:
                failed.append(run)
                print(run, flush=True)
            if number % 100 == 0:
                print(f"{number} of {len(futures)}", flush=True)
    print(f"{len(futures)} runs, calls hit {dict(hit)}, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
