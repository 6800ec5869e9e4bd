"""Stand-ins for the cases of the second review: discovery, servers, clients, and the balancer as a process.

Standard library alone. All addresses are loopback addresses on ports that the system gives.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be played: exit code 2."""


class Record:
    """The record of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8", buffering=1)
        self.began = time.monotonic()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def write(self, what: str, **fields: object) -> float:
        """Writes a line and returns its time."""
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.3f} {what} {text}".rstrip() + "\n")
        return at

    def verdict(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        self.file.write(f"verdict: {text}\n")
        print(text, flush=True)


def free_port() -> int:
    """A port of TCP that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Discovery:
    """Discovery by the protocol page: whole list, changes after a version, watches."""

    def __init__(self, record: Record) -> None:
        self.record, self.index = record, 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # version of the last change of each server
        self.wake = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.back = asyncio.Event()  # set while discovery answers
        self.back.set()
        self.resets_calls = False  # while it is down: calls end with a reset, and not in silence
        self.failed_calls: list[float] = []  # times at which a call was reset
        self.answer_seconds = 0.0  # that a call waits for its turn

    async def start(self, port: int = 0) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, HOST, port or self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def go_down(self) -> None:
        """Ends the open watches; calls get no answer until `come_back`."""
        self.record.write("discovery-down")
        self.back.clear()
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self) -> None:
        """Answers again, also the calls that wait."""
        self.record.write("discovery-back")
        self.back.set()

    def put(self, name: str, **fields: Any) -> None:
        """Adds or changes an entry."""
        self.index += 1
        self.entries[name] = self.entries.get(name, {"name": name}) | fields
        self.changed_at[name] = self.index
        self.record.write("listed", server=name, index=self.index, **fields)
        self.wake.set()
        self.wake = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        there = [entry for entry in self.entries.values() if entry["status"] != "removed"]
        return {"index": self.index, "snapshot": True, "endpoints": there}

    def _changes(self, after: int) -> dict[str, Any]:
        names = [name for name, at in self.changed_at.items() if at > after]
        entries = [self.entries[name] for name in names]
        return {"index": self.index, "snapshot": False, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                if self.resets_calls and not self.back.is_set():
                    self.failed_calls.append(self.record.write("call-reset"))
                    reset(writer)
                    return
                await self.back.wait()
                if self.answer_seconds:
                    await asyncio.sleep(self.answer_seconds)
                query = parse_qs(urlsplit(head.split(" ")[1]).query)
                if "from" not in query:
                    body = self.whole()
                else:
                    after, hold = int(query["from"][0]), float(query.get("hold_ms", ["0"])[0]) / 1e3
                    ends = time.monotonic() + hold
                    while self.index <= after and (left := ends - time.monotonic()) > 0:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.wake.wait(), left)
                    body = self._changes(after)
                await self.back.wait()
                if writer.transport.is_closing():  # ended by the outage, or given up
                    return
                data = json.dumps(body).encode()
                head_out = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                writer.write(head_out + b"Content-Length: %d\r\n\r\n" % len(data) + data)
                told = ",".join(f"{e['name']}:{e['status']}" for e in body["endpoints"])
                self.record.write("told", index=body["index"], whole=body["snapshot"], entries=told or "-")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Server:
    """A sound server: answers OPEN with UP after its setup time, echoes lines, answers probes."""

    def __init__(self, record: Record, name: str, holds: float, zone: str, kind: str, setup: float) -> None:
        self.record, self.name, self.holds, self.zone, self.kind = record, name, holds, zone, kind
        self.setup = setup  # seconds that a setup takes
        self.slow = 1.0  # factor on it
        self.since_ms = 0
        self.port = 0
        self.open: dict[str, asyncio.StreamWriter] = {}
        self.setups: list[tuple[float, str]] = []  # time and id of each request line that arrived
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.answer: Callable[[Server, str], Awaitable[bytes | None]] = sound_answer
        self.extra_load = 0.0

    async def start(self) -> None:
        """Listens, on its former port if it had one."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """The process ends: its connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.record.write("server-ends", server=self.name, open=len(self.open))
        for writer in list(self.writers):
            reset(writer)
            writer.transport.abort()
        self.open.clear()

    def entry(self, status: str = "up") -> dict[str, Any]:
        """Its entry in the list, without the name."""
        return {
            "address": f"{HOST}:{self.port}", "zone": self.zone, "type": self.kind, "group": 0,
            "status": status, "weight": 1.0, "since_ms": self.since_ms,
        }  # fmt: skip

    def report(self) -> str:
        """Its load report."""
        load = len(self.open) / self.holds + self.extra_load
        return f"eps=0,queue=0,x0={load:.3f}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        request = ""
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode("ascii")[:-2]
                if line in ("PING", "STATS"):
                    writer.write(f"PONG{' ' + self.report() if line == 'STATS' else ''}\r\n".encode())
                elif line.startswith("OPEN ") and not request:
                    request = line.split(" ")[1]
                    at = self.record.write("ran", id=request, server=self.name)
                    self.setups.append((at, request))
                    answer = await self.answer(self, request)
                    if answer is None:
                        reset(writer)
                        break
                    writer.write(answer)
                    if not answer.startswith(b"UP "):
                        self.record.write("server-says", id=request, line=answer.decode().strip())
                        break
                    self.open[request] = writer
                elif request:
                    writer.write(f"ECHO {line}\r\n".encode())
                else:
                    writer.write(b"SYNTAX\r\n")
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            if self.open.get(request) is writer:
                del self.open[request]
            self.writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Makes the close of a connection reset it, as a process that ends does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


_receipts = itertools.count(1)


async def sound_answer(server: Server, request: str) -> bytes | None:
    """UP after the time that a setup takes."""
    await asyncio.sleep(server.setup * server.slow)
    return f"UP r{next(_receipts)}-{server.name}\r\n".encode()


class Client:
    """One connection of a client, from its request to its end."""

    def __init__(self, record: Record, name: str, profile: str, timeout: float, tenant: str = "t") -> None:
        self.record, self.name, self.profile, self.timeout, self.tenant = (
            record, name, profile, timeout, tenant
        )  # fmt: skip
        self.sent_at = self.answered_at = self.ended_at = -1.0
        self.answer = ""  # the first line that came back
        self.moved = False
        self.end = ""  # how the connection ended: closed, reset, by us
        self.lines_sent = self.lines_back = 0
        self.leave = asyncio.Event()
        self.server = ""

    @property
    def is_up(self) -> bool:
        """Its request was served."""
        return self.answer.startswith("UP ")

    async def run(
        self, port: int, hold: float, group: str = "", again: bool = False, line_every: float = 2.0
    ) -> Client:
        """Sends the request; once served, a line each `line_every` seconds for `hold` seconds."""
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            extras = (f",g={group}" if group else "") + (",again=1" if again else "")
            d = round(self.timeout * 1e3)
            line = f"OPEN {self.name} k{self.name} c={self.profile},t={self.tenant},d={d}{extras}"
            writer.write(line.encode() + b"\r\n")
            self.sent_at = self.record.write("sent", id=self.name, profile=self.profile, d=d)
            first = await asyncio.wait_for(reader.readline(), self.timeout + 1.0)
            self.answered_at = self.record.now()
            self.answer = first.decode("ascii", "replace").strip()
            self.record.write("answered", id=self.name, line=self.answer or "(end)")
            if self.is_up:
                self.server = self.answer.rpartition("-")[2]
                await self._talk(reader, writer, hold, line_every)
        except TimeoutError:
            self.record.write("no-answer", id=self.name)
        except OSError as error:
            self.end = "reset" if self.sent_at >= 0 else "refused"
            self.record.write("client-end", id=self.name, how=self.end, why=type(error).__name__)
        finally:
            self.ended_at = self.record.now()
            if writer is not None:
                writer.close()
        return self

    async def _talk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold: float, line_every: float
    ) -> None:
        async def read() -> None:
            try:
                while line := await reader.readline():
                    if line.strip() == b"MOVE":
                        self.moved = True
                    elif line.startswith(b"ECHO"):
                        self.lines_back += 1
                self.end = "closed"
            except OSError:
                self.end = "reset"

        reading = asyncio.create_task(read())
        leaving = asyncio.create_task(self.leave.wait())
        ends = time.monotonic() + hold
        while not reading.done() and not self.leave.is_set() and (left := ends - time.monotonic()) > 0:
            with contextlib.suppress(OSError):
                writer.write(b"line %d\r\n" % self.lines_sent)
                self.lines_sent += 1
            await asyncio.wait(
                (reading, leaving), timeout=min(left, line_every), return_when=asyncio.FIRST_COMPLETED
            )
        leaving.cancel()
        if not reading.done():
            self.end = "by us"
            reading.cancel()
        self.record.write(
            "client-end", id=self.name, how=self.end.replace(" ", "-"), server=self.server, moved=self.moved,
            lines_sent=self.lines_sent, lines_back=self.lines_back,
        )  # fmt: skip


class Balancer:
    """One balancer, started by the run command of the deploy file."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], operator: str = "") -> None:
        self.record, self.config = record, config
        self.name = config["name"]
        self.folder = folder / self.name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: asyncio.subprocess.Process | None = None
        self.operator = operator
        self.starts = 0
        self.is_stopping = False  # it was told to end

    def write_config(self) -> None:
        """Writes the start-up file."""
        file = self.folder / "config.json"
        file.with_suffix(".new").write_text(json.dumps(self.config))
        file.with_suffix(".new").replace(file)

    async def start(self, ready_within: float = 30.0) -> None:
        """Starts it and waits until it answers PING."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        self.starts += 1
        self.is_stopping = False
        self.config["seed"] = f"{int.from_bytes(os.urandom(7), 'big'):x}"
        self.write_config()
        temporary = self.folder / f"tmp-{self.starts}"
        temporary.mkdir()
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment |= {
            "GW_NAME": self.name, "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"], "GW_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(temporary), "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        if self.operator:
            environment["GW_OPERATOR"] = self.operator
        log = (self.folder / f"log-{self.starts}.txt").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
        )
        log.close()
        self.record.write("balancer-starts", name=self.name, pid=self.process.pid)
        deadline = time.monotonic() + ready_within
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise CouldNotRunError(f"balancer {self.name} ended: {self.log_tail()}")
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line.strip() == b"PONG":
                    self.record.write("balancer-ready", name=self.name)
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"balancer {self.name} is not ready: {self.log_tail()}")

    def log_tail(self) -> str:
        """The end of its log."""
        text = (self.folder / f"log-{self.starts}.txt").read_text(errors="replace")
        return text[-600:]

    async def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program that run started."""
        self.is_stopping |= number == signal.SIGTERM
        if self.process is not None and self.process.returncode is None:
            self.record.write("signal", name=self.name, signal=number.name)
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills it and waits for its end."""
        self.is_stopping = True
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
            self.record.write("balancer-killed", name=self.name)

    @property
    def has_crashed(self) -> bool:
        """It has ended by itself."""
        return not self.is_stopping and self.process is not None and self.process.returncode is not None


def known_list(discovery: Discovery) -> dict[str, Any]:
    """The list as a balancer last had it."""
    return json.loads(json.dumps(discovery.whole()))


Case = Callable[[Record, Path, bool], Awaitable[int]]
EXIT_BASE = 10  # run.sh takes this off, so that a failing interpreter is not taken for a broken rule
_balancers: list[Balancer] = []


def balancer(record: Record, folder: Path, config: dict[str, Any], operator: str = "") -> Balancer:
    """A balancer that is killed at the end of the case, whatever happens."""
    made = Balancer(record, folder, config, operator)
    _balancers.append(made)
    return made


def main(case: Case, folder: Path, seconds: float = 110.0) -> None:
    """Plays a case and exits with its code. `TROUBLE=0`: without the disruption."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.file.write(f"# TROUBLE={int(trouble)}; times in seconds since the case began\n")
    code = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="pointgw-review-") as temporary:
        try:
            code = asyncio.run(_play(case, record, Path(temporary), trouble, seconds))
        except (Exception, asyncio.CancelledError) as error:
            record.verdict(f"could not run: {type(error).__name__} {error}")
    record.file.close()
    sys.exit(EXIT_BASE + code)


async def _play(case: Case, record: Record, folder: Path, trouble: bool, seconds: float) -> int:
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(seconds):
            code = await case(record, folder, trouble)
        crashed = [each.name for each in _balancers if each.has_crashed]
        if crashed:
            record.verdict(f"a balancer ended by itself: {crashed}")
            return BROKEN
        return code
    finally:
        for each in _balancers:
            await each.kill()
        tasks = asyncio.all_tasks() - {task}
        for other in tasks:
            other.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)  # closed connections end
