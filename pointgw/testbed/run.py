"""Plays a scenario: starts all parts, carries out the timeline, ends all parts. It judges nothing."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Literal

import msgspec

from pointgw.testbed import start_up
from pointgw.testbed.address_plan import Address, AddressPlan, format_address
from pointgw.testbed.baseline import POLICIES
from pointgw.testbed.meta import Meta
from pointgw.testbed.records import Balancer, Machine, Mark, Writer
from pointgw.testbed.registry import Line
from pointgw.testbed.scenario import Fleet, Scenario
from pointgw.testbed.timeline import TimelineEvent, timeline_events

READY = 20.0  # seconds that a part has to be ready
AFTER = 2.5  # seconds after the end in which last answers still come
# What a run writes.
LEFT = ("*.jsonl", "*.log", "n*.json", "n*.toml", "n*.boot", "n*.status", "meta.json", "state-n*")
LOOK = 1.0  # seconds between two looks at the machine
BEGIN = 0.3  # seconds from all parts ready to the first client
ENDS = 6.0  # seconds that a balancer told to stop has

Noted = Literal["killed", "stopping", "ended", "reloaded", "paused", "resumed"]


class InvalidRunError(Exception):
    """The run can't be judged: a part of the rig itself failed. Its text names it."""


@dataclass(slots=True, eq=False)
class Part:
    """A process of the run."""

    who: str
    process: asyncio.subprocess.Process
    expected: bool = False  # its end was asked for
    said: asyncio.Queue[str] = field(default_factory=asyncio.Queue)
    watch: asyncio.Task[None] | None = None

    def tell(self, command: dict[str, Any]) -> None:
        if self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")


class ScenarioRun:
    """One run of a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        policy: str = "srlb",
        on_progress: Callable[[float], None] | None = None,
        run_number: int | None = None,
        on_balancer_down: Callable[[Path], None] | None = None,
    ) -> None:
        if policy not in POLICIES:
            raise ValueError(f"expected one of {', '.join(POLICIES)}, got {policy!r}")
        self.scenario, self.folder, self.policy, self.on_progress = scenario, folder, policy, on_progress
        self.on_balancer_down = on_balancer_down  # called with a balancer's memory while it is down
        self.layout = AddressPlan(os.getpid() if run_number is None else run_number)
        self.fleet: Fleet = scenario.fleet
        self.events = timeline_events(scenario)
        self.components: dict[str, Part] = {}
        self.keeper: asyncio.subprocess.Process | None = None
        self.failed: asyncio.Future[None] | None = None
        self.starts: dict[int, int] = {}  # of each server so far
        self.runs: dict[int, int] = {}  # of each balancer's machine: how often its power came back
        self.began = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        links = [m for m in self.events if m.trouble.what == "links"]
        self.boxed_clients = any(m.trouble.side == "clients" for m in links)
        boxed = {n for m in links if m.trouble.side == "servers" for n in m.which}
        self.boxed_servers = tuple(sorted(boxed))
        total = sum(kind.share for kind in self.fleet.kinds)
        self.kinds = []
        for i in range(self.fleet.servers + self.fleet.spare_servers):
            place, at = (i + 0.5) / self.fleet.servers % 1.0 * total, 0.0
            for kind in self.fleet.kinds:
                at += kind.share
                if place < at:
                    break
            self.kinds.append(kind)

    # The whole run.

    async def execute(self) -> Meta:
        """Raises `Void` where a part of the rig failed. Nothing is left running, however it ends."""
        self._remove_old_files()
        self.writer = Writer(str(self.folder / "rig.jsonl"))
        self.failed = asyncio.get_running_loop().create_future()
        try:
            played = asyncio.create_task(self._play())
            both: list[asyncio.Future[Any]] = [played, self.failed]
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not played.done():
                played.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await played
                self.failed.result()
            meta = played.result()
        finally:
            await self._end_all()
            self.writer.close()
        (self.folder / "meta.json").write_bytes(msgspec.json.encode(meta))
        return meta

    def _remove_old_files(self) -> None:
        """Guards a run from the records and memories of an earlier one in the same folder."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for pattern in LEFT:
            for path in self.folder.glob(pattern):
                if path.is_dir():
                    shutil.rmtree(path)
                else:
                    path.unlink()

    async def _play(self) -> Meta:
        self.keeper = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pointgw.testbed.process_reaper",
            stdin=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        await asyncio.gather(*(self._start_server(i, 0.0) for i in range(self.fleet.servers)))
        await self._start_discovery()
        await self._start_links()
        if self.fleet.has_peers:
            await self._start_peers()
        for number in range(self.fleet.balancers):
            await self._start_balancer(number)
        clients = await self._start_clients()
        try:
            async with asyncio.timeout(READY):
                while await clients.said.get() != "all in":
                    pass
        except TimeoutError:
            raise InvalidRunError("the balancers did not all answer PING; see their logs") from None
        for number in range(self.fleet.balancers):
            self.writer.write(Balancer(time.monotonic(), number, "serving"))
        self.began = time.monotonic() + BEGIN
        clients.tell({"what": "begin", "at": self.began})
        self._spawn(self._look())
        for moment in self.events:
            await self._until(moment.at)
            self._mark(moment)
            self._spawn(self._do(moment))
        await self._until(self.scenario.seconds)
        ended = time.monotonic()
        clients.tell({"what": "end"})
        await asyncio.sleep(max(AFTER, max(p.client_timeout for p in self.scenario.profile) + 0.5))
        return Meta(
            self.scenario, self.policy, self.began, ended, self.boxed_clients, self.boxed_servers,
            {self._name(i): self._zone(i) for i in range(len(self.kinds))},
            {self._name(i): self._cell(i) for i in range(len(self.kinds))},
        )  # fmt: skip

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.began + at - time.monotonic()))

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self.tasks.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self._fail(InvalidRunError(f"the rig failed: {task.exception()!r}"))

        task.add_done_callback(done)

    def _fail(self, fault: InvalidRunError) -> None:
        if self.failed is not None and not self.failed.done():
            self.failed.set_exception(fault)

    # Names and places.

    @staticmethod
    def _name(server: int) -> str:
        return f"s-{server}"

    def _zone(self, server: int) -> int:
        return server % len(self.fleet.zones)

    @staticmethod
    def _cell(server: int) -> int:
        return server // 4

    def _zone_of(self, balancer: int) -> int:
        return balancer % len(self.fleet.zones)

    def _line(self, server: int, status: str, since: float) -> Line:
        zone, kind = self.fleet.zones[self._zone(server)], self.kinds[server].name
        return Line(self._name(server), zone, kind, self._cell(server), status, round(since * 1e3))

    def _peers(self, balancer: int) -> tuple[list[Address], Address]:
        """Where this balancer finds each, itself among them, and where it listens."""
        own = self.layout.peer(balancer)
        others = range(self.fleet.balancers)
        return [own if b == balancer else self.layout.peer_proxy(balancer, b) for b in others], own

    def _addresses(self, balancer: int) -> dict[str, str]:
        """Of each server, as this balancer is told them."""
        return {
            self._name(i): format_address(
                self.layout.server_proxy(i, balancer)
                if i in self.boxed_servers
                else self.layout.server(i, balancer)
            )
            for i in range(len(self.kinds))
        }

    # Parts.

    async def _spawn_part(self, who: str, command: list[str], log: str, env: dict[str, str]) -> Part:
        with open(self.folder / log, "ab") as out:
            process = await asyncio.create_subprocess_exec(
                *command, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=out,
                start_new_session=True, env=os.environ | env,
            )  # fmt: skip
        assert self.keeper is not None and self.keeper.stdin is not None
        self.keeper.stdin.write(f"+{process.pid}\n".encode())
        part = self.components[who] = Part(who, process)
        part.watch = asyncio.ensure_future(self._watch(part))
        return part

    async def _watch(self, part: Part) -> None:
        """Reads what a part says; its end, where nobody asked for it, is a fault."""
        assert part.process.stdout is not None
        while line := await part.process.stdout.readline():
            part.said.put_nowait(line.decode().strip())
        code = await part.process.wait()
        if self.keeper is not None and self.keeper.stdin is not None:
            self.keeper.stdin.write(f"-{part.process.pid}\n".encode())
        if part.expected:
            return
        if part.who.startswith("n"):
            self.writer.write(Balancer(time.monotonic(), int(part.who[1:]), "died"))
            part.expected = True
        else:
            self._fail(
                InvalidRunError(f"{part.who} of the rig ended by itself (exit {code}); see {self.folder}")
            )

    async def _part(self, who: str, module: str, told: dict[str, Any]) -> Part:
        command = [sys.executable, "-O", "-m", f"pointgw.testbed.{module}"]
        part = await self._spawn_part(who, command, f"{who}.log", {})
        records = str(self.folder / f"{who}.jsonl")
        part.tell({"who": who, "seed": self.scenario.seed, "records": records} | told)
        try:
            async with asyncio.timeout(READY):
                while await part.said.get() != "ready":
                    pass
        except TimeoutError:
            raise InvalidRunError(
                f"{who} was not ready within {READY:g} s; see {self.folder}/{who}.log"
            ) from None
        return part

    async def _start_server(self, server: int, since: float) -> None:
        """`since`: when it starts, as discovery will tell; 0: long ago, so that it is warm."""
        self.starts[server] = self.starts.get(server, 0) + 1
        listen = [self.layout.server(server, b) for b in range(self.fleet.balancers)]
        capacity, start = self.kinds[server].capacity, self.starts[server]
        told = start_up.server_start_values(self.scenario, capacity, start, since, listen)
        await self._part(self._name(server), "server", told)

    async def _start_discovery(self) -> None:
        told = {
            "listen": [self.layout.discovery(b) for b in range(self.fleet.balancers)],
            "addresses": [self._addresses(b) for b in range(self.fleet.balancers)],
            "lines": [asdict(self._line(i, "up", 0.0)) for i in range(self.fleet.servers)],
        }
        await self._part("discovery", "discovery", told)

    async def _start_links(self) -> None:
        links: list[tuple[str, Address, Address]] = []
        for b in range(self.fleet.balancers):
            links += [
                (f"{self._name(i)}/{b}", self.layout.server_proxy(i, b), self.layout.server(i, b))
                for i in self.boxed_servers
            ]
            if self.boxed_clients:
                links.append((f"clients/{b}", self.layout.balancer_proxy(b), self.layout.balancer(b)))
        if links:
            await self._part("links", "links", {"links": links})

    async def _start_peers(self) -> None:
        all_of_them = range(self.fleet.balancers)
        ways = [
            (a, b, self.layout.peer_proxy(a, b), self.layout.peer(b))
            for a in all_of_them
            for b in all_of_them
            if a != b
        ]
        await self._part("peers", "peers", {"ways": ways})

    async def _start_balancer(self, number: int) -> None:
        name = f"n{number}"
        told = start_up.balancer_start_file(
            self.scenario, name, self._zone_of(number), self.scenario.seed * 1000 + number,
            self.layout.balancer(number), self.layout.discovery(number),
            [self._line(i, "up", 0.0) for i in range(self.fleet.servers)], self._addresses(number),
            *(self._peers(number) if self.fleet.has_peers else ()),
        )  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(told, indent=1))
        module = ["pointgw"] if self.policy == "srlb" else ["pointgw.testbed.baseline", self.policy]
        command = [sys.executable, "-O", "-m", *module]
        env = {"GW_CONFIG": str(path)}
        sections = ""
        if self.fleet.remembers:
            folder = self.folder / f"state-{name}"
            boot = self.folder / f"{name}.boot"
            boot.write_text(f"run {self.runs.get(number, 0)}\n")
            sections += f'[state]\nfolder = "{folder}"\nboot = "{boot}"\n'
        if self.fleet.talks:
            regions = "".join(f"{r} = {json.dumps(zones)}\n" for r, zones in self.fleet.regions.items())
            status = self.folder / f"{name}.status"
            sections += f'[tier]\nstatus = "{status}"\n[tier.regions]\n{regions}'
        if self.fleet.recovers:
            sections += "[recovery]\n"
        if sections:
            (self.folder / f"{name}.toml").write_text(sections)
            env["GW_OPERATOR"] = str(self.folder / f"{name}.toml")
        await self._spawn_part(name, command, f"{name}.log", env)
        self.writer.write(Balancer(time.monotonic(), number, "started"))

    async def _start_clients(self) -> Part:
        doors = [
            self.layout.balancer_proxy(b) if self.boxed_clients else self.layout.balancer(b)
            for b in range(self.fleet.balancers)
        ]
        told = {
            "scenario": msgspec.to_builtins(self.scenario), "balancers": doors,
            "pings": [self.layout.balancer(b) for b in range(self.fleet.balancers)],
            "zones": [self._zone_of(b) for b in range(self.fleet.balancers)],
        }  # fmt: skip
        return await self._part("clients", "clients", told)

    # The timeline.

    def _mark(self, moment: TimelineEvent) -> None:
        which = list(moment.which)
        self.writer.write(Mark(time.monotonic(), moment.number, moment.trouble.what, which, moment.ends))

    async def _do(self, moment: TimelineEvent) -> None:
        trouble = moment.trouble
        kind, _, act = trouble.what.partition("-")
        if kind == "balancer":
            await asyncio.gather(*(self._balancer(number, moment) for number in moment.which))
        elif trouble.target == "server":
            await asyncio.gather(*(self._server(number, moment, act) for number in moment.which))
        elif kind == "discovery":
            self._discovery(moment, act)
        elif trouble.what == "clients-dropped" and not moment.ends:
            self.components["clients"].tell({"what": "drop", "size": trouble.size})
        elif trouble.what == "slow-readers" and not moment.ends:
            self.components["clients"].tell({"what": "slow", "size": trouble.size})
        elif kind == "peers":
            told = {"what": trouble.what, "which": list(moment.which), "size": trouble.size}
            self.components["peers"].tell(told | {"late": trouble.late, "on": not moment.ends})
        elif trouble.what == "links":
            rules = [] if moment.ends else [msgspec.to_builtins(rule) for rule in trouble.rule]
            names = [
                f"{self._name(n)}/{b}" if trouble.side == "servers" else f"clients/{n}"
                for n in moment.which
                for b in (trouble.of or range(self.fleet.balancers) if trouble.side == "servers" else (0,))
            ]
            self.components["links"].tell({"names": names, "rule": rules})

    def _signal(self, who: str, name: signal.Signals) -> None:
        process = self.components[who].process
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(name)

    async def _kill(self, who: str) -> None:
        part = self.components[who]
        part.expected = True
        self._signal(who, signal.SIGKILL)
        await part.process.wait()

    def _noted(self, number: int, what: Noted) -> None:
        self.writer.write(Balancer(time.monotonic(), number, what))

    async def _balancer(self, number: int, moment: TimelineEvent) -> None:
        who, what = f"n{number}", moment.trouble.what
        if moment.ends:
            if what == "balancer-pause":
                self._signal(who, signal.SIGCONT)
                self._noted(number, "resumed")
            elif what in ("balancer-kill", "balancer-stop"):
                await self.components[who].process.wait()
                if self.on_balancer_down is not None:
                    self.on_balancer_down(self.folder / f"state-{who}")
                await self._start_balancer(number)
                await self._answers(number)
            return
        match what:
            case "balancer-kill":
                self._noted(number, "killed")
                self.runs[number] = self.runs.get(number, 0) + moment.trouble.power
                await self._kill(who)
            case "balancer-stop":
                self._noted(number, "stopping")
                self.components[who].expected = True
                self._signal(who, signal.SIGTERM)
                try:
                    async with asyncio.timeout(ENDS):
                        await self.components[who].process.wait()
                    self._noted(number, "ended")
                except TimeoutError:
                    self._noted(number, "killed")
                    await self._kill(who)
            case "balancer-reload":
                self._noted(number, "reloaded")
                self._signal(who, signal.SIGHUP)
            case "balancer-pause":
                self._noted(number, "paused")
                self._signal(who, signal.SIGSTOP)

    async def _answers(self, number: int) -> None:
        """Waits until a balancer that was started answers PING."""
        for _ in range(int(READY / 0.1)):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.5):
                    reader, writer = await asyncio.open_connection(*self.layout.balancer(number))
                    writer.write(b"PING\r\n")
                    answer = await reader.readline()
                    writer.close()
                    if answer == b"PONG\r\n":
                        self.writer.write(Balancer(time.monotonic(), number, "serving"))
                        return
            await asyncio.sleep(0.1)

    async def _server(self, server: int, moment: TimelineEvent, act: str) -> None:
        who, trouble = self._name(server), moment.trouble
        if trouble.what == "server-start" or (moment.ends and act in ("kill", "drain")):
            if moment.ends and trouble.what == "server-start":
                return
            if who in self.components and self.components[who].process.returncode is None:
                await self._kill(who)
            since = time.time()
            await self._start_server(server, since)
            await asyncio.sleep(0.2)
            self._list(self._line(server, "up", since))
        elif act == "kill":
            await self._kill(who)
            await asyncio.sleep(trouble.late)
            if self.components[who].process.returncode is not None:
                self._list(self._line(server, "removed", 0.0))
        elif act == "drain":
            self._list(self._line(server, "draining", 0.0))
            # Told first: the server itself turns new ones away once the grace is over.
            await asyncio.sleep(self.fleet.drain_grace)
            self.components[who].tell({"what": "drain", "seconds": max(1.0, trouble.seconds - 1.0)})
            if trouble.seconds:
                await asyncio.sleep(max(0.0, trouble.seconds - self.fleet.drain_grace - 0.8))
                self._list(self._line(server, "removed", 0.0))
        elif act == "pause":
            self._signal(who, signal.SIGCONT if moment.ends else signal.SIGSTOP)
        elif moment.ends:
            self.components[who].tell({"what": "well"})
        else:
            self.components[who].tell({"what": act, "size": trouble.size})

    def _list(self, line: Line) -> None:
        self.components["discovery"].tell({"what": "change", "line": asdict(line)})

    def _discovery(self, moment: TimelineEvent, act: str) -> None:
        if act == "lower":
            if not moment.ends:
                self.components["discovery"].tell({"what": "lower"})
        else:
            self.components["discovery"].tell({"what": "serve", "how": "well" if moment.ends else act})

    # The machine, and the end.

    async def _look(self) -> None:
        """Writes down how busy the machine is, and shows how far the run is."""
        before = _times()
        while True:
            await asyncio.sleep(LOOK)
            after = _times()
            spent, idle = sum(after) - sum(before), after[3] - before[3]
            before = after
            self.writer.write(Machine(time.monotonic(), idle / spent if spent else 1.0))
            if self.on_progress is not None:
                self.on_progress(time.monotonic() - self.began)

    async def _end_all(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for who, part in self.components.items():
            part.expected = True
            self._signal(who, signal.SIGKILL)
        for part in self.components.values():
            await part.process.wait()
            if part.watch is not None:
                await part.watch
        if self.keeper is not None:
            assert self.keeper.stdin is not None
            self.keeper.stdin.close()
            await self.keeper.wait()


def _times() -> list[int]:
    """The machine's processor times: user, nice, system, idle, ..."""
    with open("/proc/stat") as stat:
        return [int(figure) for figure in stat.readline().split()[1:9]]
