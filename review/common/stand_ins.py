"""Stand-ins for the platform of a small deployment: discovery, servers and clients, on loopback addresses.

They do what the operators' protocol page says and nothing else. All run in the process of the case's script;
the balancers are processes of their own, started with the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
MAX_SECONDS = 110.0  # for a case, without the end of its processes


def free_port() -> int:
    """A TCP port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run: the file `record.txt` of the case's folder."""

    def __init__(self, path: Path) -> None:
        self.path, self.began = path, time.monotonic()
        self.path.write_text("", encoding="utf-8")

    def write(self, text: str) -> None:
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset, as a process that dies does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """One server: takes connections, answers probes, sets up and echoes lines."""

    def __init__(self, name: str, record: Record, capacity: float, setup_seconds: float = 0.01) -> None:
        self.name, self.record, self.capacity, self.setup_seconds = name, record, capacity, setup_seconds
        self.port = free_port()
        self.zone, self.kind, self.group = "a", "m", 0
        self.status = "up"
        self.since_ms = 0  # Unix time of its start; 0: long ago
        self.open: dict[str, asyncio.StreamWriter] = {}
        self.requests: list[tuple[float, str]] = []  # when the last byte of each OPEN line came, and its id
        self.probes = 0
        self.behaviour = "normal"  # or "hang", "error", "busy"
        self.listener: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    def entry(self) -> dict[str, object]:
        """Its entry in discovery's list."""
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
            "group": self.group, "status": self.status, "weight": 1.0, "since_ms": self.since_ms,
        }  # fmt: skip

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._serve, LOOPBACK, self.port, backlog=512)

    async def die(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.connections):
            reset(writer)
        self.open.clear()
        self.record.write(f"server {self.name} died")

    def count(self, name: str) -> None:
        """Counts a call whose last byte has come."""
        self.requests.append((time.monotonic(), name))

    def report(self) -> str:
        load = len(self.open) / self.capacity
        return f"inflight={len(self.open)},busy={min(1.0, load):.3f},rate=0.5,x0={load:.4f}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            await self._converse(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # cancelled: the case is over
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line = (await reader.readuntil(b"\n")).strip()
            if line in (b"PING", b"STATS"):
                self.probes += 1
                if self.behaviour == "hang":
                    continue
                tail = f" {self.report()}" if line == b"STATS" else ""
                writer.write(f"PONG{tail}\r\n".encode())
                continue
            break
        words = line.decode().split(" ")
        name = words[1]
        self.record.write(f"server {self.name} got {line.decode()}")
        self.count(name)
        if self.behaviour == "hang":
            await reader.read()
            return
        if self.behaviour in ("busy", "error"):
            writer.write(b"BUSY\r\n" if self.behaviour == "busy" else b"ERR\r\n")
            await writer.drain()
            return
        await asyncio.sleep(self.setup_seconds)
        writer.write(f"UP {self.name}-{len(self.requests)}\r\n".encode())
        self.record.write(f"server {self.name} up {name}")
        self.open[name] = writer
        try:
            while data := await reader.readline():
                if self.behaviour == "hang":
                    await reader.read()
                    return
                writer.write(data)
                await writer.drain()
        finally:
            self.open.pop(name, None)


class Discovery:
    """The registry over HTTP/1.1, with watches."""

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record = record
        self.lines: dict[str, dict[str, object]] = {server.name: server.entry() for server in servers}
        self.index = 1
        # Every entry with the version that brought it.
        self.changes: list[tuple[int, dict[str, object]]] = [(1, line) for line in self.lines.values()]
        self.port = free_port()
        self.mode = "normal"  # or "503"
        self.delay = 0.0  # seconds that the first answer takes
        self.changed = asyncio.Condition()
        self.listener: asyncio.Server | None = None
        self.written: list[tuple[float, dict[str, object]]] = []  # when each changed entry was written
        self.connections: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    def known(self) -> dict[str, object]:
        """The whole list as it is now, for a start-up file."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.lines.values())}

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    async def stop(self) -> None:
        """Discovery goes down: watches end, new calls are refused."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.connections):
            reset(writer)
        self.record.write("discovery down")

    async def change(self, entry: dict[str, object]) -> None:
        async with self.changed:
            self.index += 1
            if entry["status"] == "removed":
                self.lines.pop(str(entry["name"]), None)
            else:
                self.lines[str(entry["name"])] = entry
            self.changes.append((self.index, entry))
            self.record.write(f"discovery has {entry['name']} {entry['status']} since {entry['since_ms']}")
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await self._answer(head.split(" ")[1], writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled: the case is over
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(target).query)
        delay, self.delay = self.delay, 0.0
        await asyncio.sleep(delay)
        if self.mode == "503":
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            self.record.write("discovery answered 503")
            return
        after = int(query["from"][0]) if "from" in query else None
        hold = min(60.0, float(query.get("hold_ms", ["0"])[0]) / 1e3)
        if after is not None and hold and after == self.index:
            async with self.changed:
                try:
                    async with asyncio.timeout(hold):
                        await self.changed.wait_for(lambda: self.index != after)
                except TimeoutError:
                    pass
        if after is None or after > self.index:
            entries, whole = list(self.lines.values()), True
        else:
            entries, whole = [entry for index, entry in self.changes if index > after], False
        body = json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        now = time.monotonic()
        self.written.extend((now, entry) for entry in entries)
        self.record.write(f"discovery wrote {self.index} to {target}: {len(entries)} entries, whole {whole}")
        await writer.drain()


class Balancer:
    """A balancer process, started as the deploy file says."""

    def __init__(self, record: Record, folder: Path, config: dict[str, object]) -> None:
        self.record, self.folder, self.config = record, folder, config
        self.name = str(config["name"])
        self.path = folder / f"{self.name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = str(self.config["listen"]).rpartition(":")
        return host, int(port)

    def write_config(self) -> None:
        """Replaces the start-up file as a whole."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        os.replace(new, self.path)

    async def start(self, **variables: str) -> None:
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.starts += 1
        temporary = self.folder / f"{self.name}-tmp-{self.starts}"
        temporary.mkdir()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ} | {
            "GW_NAME": self.name, "GW_LISTEN": str(self.config["listen"]), "TMPDIR": str(temporary),
            "GW_DISCOVERY": str(self.config["discovery"]), "GW_CONFIG": str(self.path), **variables,
        }  # fmt: skip
        with (self.folder / f"{self.name}-{self.starts}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
            )  # fmt: skip
        self.record.write(f"balancer {self.name} started, process {self.process.pid}")

    async def ready(self, seconds: float = 30.0) -> bool:
        """Waits until it answers PING with PONG."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"PING\r\n")
                async with asyncio.timeout(1.0):
                    line = await reader.readline()
                writer.close()
                if line.strip() == b"PONG":
                    self.record.write(f"balancer {self.name} ready")
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        return False

    def send(self, number: int) -> None:
        assert self.process is not None
        self.record.write(f"balancer {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> int:
        """Ends the process, if it runs, and returns its exit status."""
        assert self.process is not None
        if self.process.returncode is None:
            self.send(number)
        status = await self.process.wait()
        self.record.write(f"balancer {self.name} ended with {status}")
        return status

    def log_text(self) -> str:
        """The log of its last start."""
        return (self.folder / f"{self.name}-{self.starts}.log").read_text(errors="replace")


class Request:
    """What a client did and got."""

    def __init__(self, name: str, profile: str, limit: float) -> None:
        self.name, self.profile, self.limit = name, profile, limit
        self.sent_at = 0.0
        self.answer = ""  # first line; empty: none
        self.answered_at = 0.0
        self.end = ""  # how the connection ended, as the client saw it
        self.read = 0

    @property
    def lateness(self) -> float:
        """Seconds by which the answer came after the client's time."""
        return self.answered_at - self.sent_at - self.limit


class Clients:
    """Clients of one balancer or several."""

    def __init__(self, record: Record) -> None:
        self.record, self.count = record, 0
        self.requests: list[Request] = []

    async def one(
        self, address: tuple[str, int], profile: str, limit: float, stay: float, patience: float = 0.0,
        extra: str = "", tenant: str = "all",
    ) -> Request:  # fmt: skip
        """Asks for a connection, waits for its time and `patience` for the answer, and stays so long."""
        self.count += 1
        name = f"{os.getpid():x}{self.count:08x}"
        request = Request(name, profile, limit)
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError as error:
            request.end = f"not connected: {error}"
            self.record.write(f"client {name} {request.end}")
            return request
        self.requests.append(request)
        line = f"OPEN {name} {name[::-1]} c={profile},t={tenant},d={round(limit * 1e3)}{extra}\r\n"
        writer.write(line.encode())
        request.sent_at = time.monotonic()
        self.record.write(f"client {name} sent {line.strip()}")
        try:
            async with asyncio.timeout(limit + patience):
                answer = await reader.readline()
            request.answered_at = time.monotonic()
            request.answer = answer.decode().strip()
            if not answer:
                request.end = "closed without an answer"
        except TimeoutError:
            request.end = "gave up"
        except OSError as error:
            request.end = f"broken without an answer: {error}"
        late = round(max(0.0, request.lateness), 3) if request.answered_at else 0.0
        self.record.write(f"client {name} answer {request.answer or '-'} {request.end} late {late}")
        if request.answer.startswith("UP"):
            await self._use(request, reader, writer, stay)
        writer.close()
        return request

    async def _use(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stay: float
    ) -> None:
        """Sends a line every 2 s until its time is over or the other side ends."""
        ends = time.monotonic() + stay
        try:
            while time.monotonic() < ends:
                writer.write(b"tally %d\r\n" % request.read)
                next_line = time.monotonic() + min(2.0, max(0.0, ends - time.monotonic()))
                while (left := next_line - time.monotonic()) > 0:
                    try:
                        async with asyncio.timeout(left):
                            line = await reader.readline()
                    except TimeoutError:
                        break
                    if not line:
                        request.end = request.end or "ended by the balancer"
                        return
                    request.read += 1
                    if line.strip() in (b"MOVE", b"BYE"):
                        request.end = line.strip().decode()
        except OSError as error:
            request.end = request.end or f"broken: {error}"
        finally:
            self.record.write(f"client {request.name} over: {request.end or 'left'}")


def profile(name: str, goal: float, timeout: float) -> dict[str, object]:
    """A repeatable profile; times in milliseconds."""
    return {
        "name": name, "semantics": "pure", "group": "all", "dedupWindow": 5000.0, "setupGoal": goal,
        "clientTimeout": timeout, "credit": 1.0, "overdueCredit": 0.0, "streamed": True,
    }  # fmt: skip


def settings(**changes: object) -> dict[str, object]:
    """Settings of a small deployment, with the names of the wire page."""
    base: dict[str, object] = {
        "family": "conn", "instances": 1, "me": 0, "zone": 0, "zones": ["a"], "kinds": ["m"],
        "tier": 0, "tiers": ["servers"], "quantum": 5.0, "weights": "nominal", "membershipMode": "subscribe",
        "creditPer": "request", "surplusCredit": 0.1,
        "clients": {"marksRetry": False},
        "tenants": [{"name": "all", "quotaRps": 6.0, "share": 1.0}],
        "domain": {
            "groups": False, "mode": "proxy", "park": 0.0, "tellsDelay": False, "tellsLoad": False,
            "reportX0": "load asked of the server over what it can do", "messageAim": [100.0],
            "tenantQuotaConnections": [240.0],
        },
        "limits": {
            "connIdle": 30000.0, "connectTimeout": 120.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 8000,
            "maxRetryAfter": 1000.0, "maxSetups": 6, "maxStreams": 1048576, "mayCancel": True,
            "mayTell": False, "mostHeld": 1000000, "probes": True, "retryAfter": False, "secondCopies": False,
        },
        "prices": {"probe": 0.0058, "crossZone": 0.03, "lateFail": 0.086, "moves": 0.018, "waste": 0.25},
        "report": {"fields": ["busy", "rate", "x0"], "how": "on_probe"},
        "rules": {
            "askEvery": 10000.0, "cold": 23000.0, "coldFrom": 0.13, "fall": 2000.0, "graceToAnswer": 20.0,
            "stopSendingWithin": 500.0, "tipMultiple": 3.0,
        },
        "scoreParts": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.1},
        "profiles": [profile("tally-sync", 300.0, 1800.0)],
    }  # fmt: skip
    for path, value in changes.items():
        *folders, last = path.split("__")
        at = base
        for folder in folders:
            at = at[folder]  # type: ignore[assignment]
        at[last] = value
    return base


def config(
    name: str, discovery: Discovery, known: dict[str, object], conf: dict[str, object], sockets: int = 1024
) -> dict[str, object]:
    """A start-up file."""
    return {
        "name": name, "listen": f"{LOOPBACK}:{free_port()}", "discovery": discovery.address,
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": known, "settings": conf,
    }  # fmt: skip


Case = Callable[[Record, Path, list[Balancer]], Awaitable[int]]


def trouble() -> bool:
    """Whether the disruption is to be made; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(record_file: Path, case: Case) -> int:
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    `record_file` is the case's `record.txt`. All processes are ended and the temporary folder is removed,
    also where SIGTERM or SIGINT ends the script.
    """

    async def bounded() -> int:
        record = Record(record_file)
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        assert this is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        balancers: list[Balancer] = []
        try:
            with tempfile.TemporaryDirectory(prefix="review-") as temporary:
                try:
                    async with asyncio.timeout(MAX_SECONDS):
                        status = int(await case(record, Path(temporary), balancers))
                finally:
                    for balancer in balancers:
                        if balancer.process is not None:
                            await balancer.end()
        except (Exception, asyncio.CancelledError) as error:
            record.say(f"could not run: {type(error).__name__} {error}")
            return 2
        record.say("the rule was broken" if status else "the rule held")
        return status

    return asyncio.run(bounded())
