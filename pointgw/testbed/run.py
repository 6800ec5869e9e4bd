"""Runs a scenario: starts all processes, carries out the timeline, ends all processes.

It only writes records; `invariant_checker` and `results` evaluate them.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
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
from pointgw.testbed.records import Balancer, InternalError, Machine, Mark, Writer
from pointgw.testbed.registry import Line
from pointgw.testbed.scenario import Fleet, Scenario
from pointgw.testbed.timeline import TimelineEvent, timeline_events

READY_TIMEOUT_SECONDS = 20.0  # for a process to be ready
LAST_ANSWER_SECONDS = 2.5  # from the end, for the last answers
# A balancer's log line of an invariant violation or an internal error.
INTERNAL_ERROR_LINE = re.compile(rb'event=(broken|fault|"closed without answer")| last_error=')
# What a balancer logs of requests whose deadline passed while it was paused, and the state lines after that.
OVERDUE_LINE = re.compile(rb"event=broken what=answer_overdue .* late=([\d.]+)")
LAST_OVERDUE = re.compile(rb' last_error="?answer_overdue\b')
MAX_LINE_SHOWN = 400  # characters of such a line that are kept
# Files that a run writes, as patterns.
RUN_FILES = ("*.jsonl", "*.log", "n*.json", "n*.toml", "n*.boot", "n*.status", "meta.json", "state-n*")
MACHINE_SAMPLE_SECONDS = 1.0  # between two samples of the processor times
BEGIN_DELAY_SECONDS = 0.3  # from all processes ready to the scenario's start
STOP_TIMEOUT_SECONDS = 6.0  # for a balancer to end after SIGTERM

BalancerEvent = Literal["killed", "stopping", "ended", "reloaded", "paused", "resumed"]


class InvalidRunError(Exception):
    """The run is void, as the testbed itself failed. The message says where."""


@dataclass(slots=True, eq=False)
class Component:
    """A process of the run, with its standard input and output."""

    name: str
    process: asyncio.subprocess.Process
    end_expected: bool = False  # whether its end was requested
    output_lines: asyncio.Queue[str] = field(default_factory=asyncio.Queue)
    watcher: asyncio.Task[None] | None = None

    def send_command(self, command: dict[str, Any]) -> None:
        """Writes a command as a line of JSON to its standard input, if that is still open."""
        if self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")


class ScenarioRun:
    """One run of a scenario, which leaves its records in a folder.

    `run_number` (default: the process id) selects the addresses, so that runs side by side don't share any.
    `on_progress` is called each second with the seconds from the scenario's start, `on_balancer_down` with
    the state folder of a balancer that was ended, before it starts again.

    Raises ValueError on an unknown policy.
    """

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
        # By balancer: when it was last paused; the longest of its pauses that have ended, in seconds.
        self.paused_at: dict[int, float] = {}
        self.longest_pauses: dict[int, float] = {}
        self.on_balancer_down = on_balancer_down
        self.address_plan = AddressPlan(os.getpid() if run_number is None else run_number)
        self.fleet: Fleet = scenario.fleet
        self.events = timeline_events(scenario)
        self.components: dict[str, Component] = {}
        self.reaper: asyncio.subprocess.Process | None = None
        self.failure: asyncio.Future[None] | None = None
        self.server_starts: dict[int, int] = {}  # number of starts of each server so far
        self.power_cycles: dict[int, int] = {}  # of each balancer's machine
        self.began = 0.0  # the scenario's start, on the monotonic clock
        self.tasks: set[asyncio.Task[None]] = set()
        link_events = [event for event in self.events if event.trouble.what == "links"]
        self.boxed_clients = any(event.trouble.side == "clients" for event in link_events)
        proxied = {n for event in link_events if event.trouble.side == "servers" for n in event.which}
        self.boxed_servers = tuple(sorted(proxied))
        total = sum(kind.share for kind in self.fleet.kinds)
        self.kinds = []
        for i in range(self.fleet.servers + self.fleet.spare_servers):
            position, upper_bound = (i + 0.5) / self.fleet.servers % 1.0 * total, 0.0
            for kind in self.fleet.kinds:
                upper_bound += kind.share
                if position < upper_bound:
                    break
            self.kinds.append(kind)

    # The whole run.

    async def execute(self) -> Meta:
        """Runs the scenario and returns its metadata. No process is left running, however it ends.

        Raises InvalidRunError if a process of the testbed failed.
        """
        self._remove_old_files()
        self.writer = Writer(str(self.folder / "rig.jsonl"))
        self.failure = asyncio.get_running_loop().create_future()
        try:
            run_task = asyncio.create_task(self._run_scenario())
            awaited: list[asyncio.Future[Any]] = [run_task, self.failure]
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if not run_task.done():
                run_task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await run_task
                self.failure.result()
            meta = run_task.result()
        finally:
            await self._stop_all()
            self._record_internal_errors()
            self.writer.close()
        (self.folder / "meta.json").write_bytes(msgspec.json.encode(meta))
        return meta

    def _remove_old_files(self) -> None:
        """Guards a run against records and snapshots of an earlier one in the same folder."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for pattern in RUN_FILES:
            for path in self.folder.glob(pattern):
                if path.is_dir():
                    shutil.rmtree(path)
                else:
                    path.unlink()

    async def _run_scenario(self) -> Meta:
        """Starts all processes, carries out the timeline and waits for the last answers."""
        self.reaper = await asyncio.create_subprocess_exec(
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
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while await clients.output_lines.get() != "all in":
                    pass
        except TimeoutError:
            raise InvalidRunError("the balancers did not all answer PING; see their logs") from None
        for number in range(self.fleet.balancers):
            self.writer.write(Balancer(time.monotonic(), number, "serving"))
        self.began = time.monotonic() + BEGIN_DELAY_SECONDS
        clients.send_command({"what": "begin", "at": self.began})
        self._start_task(self._sample_machine())
        for event in self.events:
            await self._sleep_until(event.at)
            self._record_trouble(event)
            self._start_task(self._carry_out(event))
        await self._sleep_until(self.scenario.seconds)
        ended = time.monotonic()
        clients.send_command({"what": "end"})
        await asyncio.sleep(
            max(LAST_ANSWER_SECONDS, max(p.client_timeout for p in self.scenario.profile) + 0.5)
        )
        return Meta(
            self.scenario, self.policy, self.began, ended, self.boxed_clients, self.boxed_servers,
            {self._server_name(i): self._server_zone(i) for i in range(len(self.kinds))},
            {self._server_name(i): self._server_cell(i) for i in range(len(self.kinds))},
        )  # fmt: skip

    async def _sleep_until(self, at: float) -> None:
        """Sleeps until a time in seconds from the scenario's start."""
        await asyncio.sleep(max(0.0, self.began + at - time.monotonic()))

    def _start_task(self, work: Any) -> None:
        """Runs work in the background; its failure makes the run void."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self.tasks.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self._fail(InvalidRunError(f"the testbed failed: {task.exception()!r}"))

        task.add_done_callback(done)

    def _fail(self, error: InvalidRunError) -> None:
        if self.failure is not None and not self.failure.done():
            self.failure.set_exception(error)

    # Names, zones and addresses.

    @staticmethod
    def _server_name(server: int) -> str:
        return f"s-{server}"

    def _server_zone(self, server: int) -> int:
        return server % len(self.fleet.zones)

    @staticmethod
    def _server_cell(server: int) -> int:
        return server // 4

    def _balancer_zone(self, balancer: int) -> int:
        return balancer % len(self.fleet.zones)

    def _list_entry(self, server: int, status: str, since: float) -> Line:
        zone, kind = self.fleet.zones[self._server_zone(server)], self.kinds[server].name
        return Line(
            self._server_name(server), zone, kind, self._server_cell(server), status, round(since * 1e3)
        )

    def _peer_addresses(self, balancer: int) -> tuple[list[Address], Address]:
        """Addresses at which this balancer reaches each one, itself included, and its own."""
        own = self.address_plan.peer(balancer)
        balancers = range(self.fleet.balancers)
        return [own if b == balancer else self.address_plan.peer_proxy(balancer, b) for b in balancers], own

    def _server_addresses(self, balancer: int) -> dict[str, str]:
        """Address at which this balancer reaches each server, by the server's name."""
        return {
            self._server_name(i): format_address(
                self.address_plan.server_proxy(i, balancer)
                if i in self.boxed_servers
                else self.address_plan.server(i, balancer)
            )
            for i in range(len(self.kinds))
        }

    # Processes.

    async def _start_process(self, name: str, command: list[str], log: str, env: dict[str, str]) -> Component:
        """Starts a process that the reaper ends if this one dies."""
        with open(self.folder / log, "ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                *command, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log_file,
                start_new_session=True, env=os.environ | env,
            )  # fmt: skip
        assert self.reaper is not None and self.reaper.stdin is not None
        self.reaper.stdin.write(f"+{process.pid}\n".encode())
        component = self.components[name] = Component(name, process)
        component.watcher = asyncio.ensure_future(self._watch_output(component))
        return component

    async def _watch_output(self, component: Component) -> None:
        """Reads a process's output. An unexpected end is recorded for a balancer, else makes the run void."""
        assert component.process.stdout is not None
        while line := await component.process.stdout.readline():
            component.output_lines.put_nowait(line.decode().strip())
        code = await component.process.wait()
        if self.reaper is not None and self.reaper.stdin is not None:
            self.reaper.stdin.write(f"-{component.process.pid}\n".encode())
        if component.end_expected:
            return
        if component.name.startswith("n"):
            self.writer.write(Balancer(time.monotonic(), int(component.name[1:]), "died"))
            component.end_expected = True
        else:
            self._fail(
                InvalidRunError(
                    f"{component.name} of the testbed ended unexpectedly (exit {code}); see {self.folder}"
                )
            )

    async def _start_component(self, name: str, module: str, start_values: dict[str, Any]) -> Component:
        """Starts a process of the testbed and waits until it is ready; else raises InvalidRunError."""
        command = [sys.executable, "-O", "-m", f"pointgw.testbed.{module}"]
        component = await self._start_process(name, command, f"{name}.log", {})
        records = str(self.folder / f"{name}.jsonl")
        component.send_command({"who": name, "seed": self.scenario.seed, "records": records} | start_values)
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while await component.output_lines.get() != "ready":
                    pass
        except TimeoutError:
            raise InvalidRunError(
                f"{name} was not ready within {READY_TIMEOUT_SECONDS:g} s; see {self.folder}/{name}.log"
            ) from None
        return component

    async def _start_server(self, server: int, since: float) -> None:
        """`since`: wall-clock time of its start as discovery gives it; 0: long ago, so that it is warm."""
        self.server_starts[server] = self.server_starts.get(server, 0) + 1
        listen = [self.address_plan.server(server, b) for b in range(self.fleet.balancers)]
        capacity, start_number = self.kinds[server].capacity, self.server_starts[server]
        start_values = start_up.server_start_values(self.scenario, capacity, start_number, since, listen)
        await self._start_component(self._server_name(server), "server", start_values)

    async def _start_discovery(self) -> None:
        start_values = {
            "listen": [self.address_plan.discovery(b) for b in range(self.fleet.balancers)],
            "addresses": [self._server_addresses(b) for b in range(self.fleet.balancers)],
            "lines": [asdict(self._list_entry(i, "up", 0.0)) for i in range(self.fleet.servers)],
        }
        await self._start_component("discovery", "discovery", start_values)

    async def _start_links(self) -> None:
        links: list[tuple[str, Address, Address]] = []
        for balancer in range(self.fleet.balancers):
            links += [
                (
                    f"{self._server_name(i)}/{balancer}",
                    self.address_plan.server_proxy(i, balancer),
                    self.address_plan.server(i, balancer),
                )
                for i in self.boxed_servers
            ]
            if self.boxed_clients:
                links.append(
                    (
                        f"clients/{balancer}",
                        self.address_plan.balancer_proxy(balancer),
                        self.address_plan.balancer(balancer),
                    )
                )
        if links:
            await self._start_component("links", "links", {"links": links})

    async def _start_peers(self) -> None:
        balancers = range(self.fleet.balancers)
        links = [
            (a, b, self.address_plan.peer_proxy(a, b), self.address_plan.peer(b))
            for a in balancers
            for b in balancers
            if a != b
        ]
        await self._start_component("peers", "peers", {"ways": links})

    async def _start_balancer(self, number: int) -> None:
        name = f"n{number}"
        start_file = start_up.balancer_start_file(
            self.scenario, name, self._balancer_zone(number), self.scenario.seed * 1000 + number,
            self.address_plan.balancer(number), self.address_plan.discovery(number),
            [self._list_entry(i, "up", 0.0) for i in range(self.fleet.servers)],
            self._server_addresses(number),
            *(self._peer_addresses(number) if self.fleet.has_peers else ()),
        )  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(start_file, indent=1))
        module = ["pointgw"] if self.policy == "srlb" else ["pointgw.testbed.baseline", self.policy]
        command = [sys.executable, "-O", "-m", *module]
        env = {"GW_CONFIG": str(path)}
        sections = ""
        if self.fleet.remembers:
            folder = self.folder / f"state-{name}"
            boot = self.folder / f"{name}.boot"
            boot.write_text(f"run {self.power_cycles.get(number, 0)}\n")
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
        await self._start_process(name, command, f"{name}.log", env)
        self.writer.write(Balancer(time.monotonic(), number, "started"))

    async def _start_clients(self) -> Component:
        addresses = [
            self.address_plan.balancer_proxy(b) if self.boxed_clients else self.address_plan.balancer(b)
            for b in range(self.fleet.balancers)
        ]
        start_values = {
            "scenario": msgspec.to_builtins(self.scenario), "balancers": addresses,
            "pings": [self.address_plan.balancer(b) for b in range(self.fleet.balancers)],
            "zones": [self._balancer_zone(b) for b in range(self.fleet.balancers)],
        }  # fmt: skip
        return await self._start_component("clients", "clients", start_values)

    # The timeline.

    def _record_trouble(self, event: TimelineEvent) -> None:
        which = list(event.which)
        self.writer.write(Mark(time.monotonic(), event.number, event.trouble.what, which, event.ends))

    async def _carry_out(self, event: TimelineEvent) -> None:
        """Begins or ends a trouble."""
        trouble = event.trouble
        kind, _, act = trouble.what.partition("-")
        if kind == "balancer":
            await asyncio.gather(*(self._disturb_balancer(number, event) for number in event.which))
        elif trouble.target == "server":
            await asyncio.gather(*(self._disturb_server(number, event, act) for number in event.which))
        elif kind == "discovery":
            self._disturb_discovery(event, act)
        elif trouble.what == "clients-dropped" and not event.ends:
            self.components["clients"].send_command({"what": "drop", "size": trouble.size})
        elif trouble.what == "slow-readers" and not event.ends:
            self.components["clients"].send_command({"what": "slow", "size": trouble.size})
        elif kind == "peers":
            command = {"what": trouble.what, "which": list(event.which), "size": trouble.size}
            self.components["peers"].send_command(command | {"late": trouble.late, "on": not event.ends})
        elif trouble.what == "links":
            rules = [] if event.ends else [msgspec.to_builtins(rule) for rule in trouble.rule]
            names = [
                f"{self._server_name(n)}/{b}" if trouble.side == "servers" else f"clients/{n}"
                for n in event.which
                for b in (trouble.of or range(self.fleet.balancers) if trouble.side == "servers" else (0,))
            ]
            self.components["links"].send_command({"names": names, "rule": rules})

    def _send_signal(self, name: str, signal_number: signal.Signals) -> None:
        process = self.components[name].process
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal_number)

    async def _kill(self, name: str) -> None:
        component = self.components[name]
        component.end_expected = True
        self._send_signal(name, signal.SIGKILL)
        await component.process.wait()

    def _record_internal_errors(self) -> None:
        """Records the first internal error in the log of each balancer that no pause of it explains."""
        for log in sorted(self.folder.glob("n*.log")):
            number = int(log.stem[1:])
            pause = self.longest_pauses.get(number, 0.0)
            with log.open("rb") as lines:
                found = next((line for line in lines if _is_internal_error(line, pause)), None)
            if found is not None:
                text = found.decode("utf-8", "replace").strip()[:MAX_LINE_SHOWN]
                self.writer.write(InternalError(time.monotonic(), number, text))

    def _record_balancer(self, number: int, what: BalancerEvent) -> None:
        self.writer.write(Balancer(time.monotonic(), number, what))

    async def _disturb_balancer(self, number: int, event: TimelineEvent) -> None:
        name, what = f"n{number}", event.trouble.what
        if event.ends:
            if what == "balancer-pause":
                self._send_signal(name, signal.SIGCONT)
                pause = time.monotonic() - self.paused_at[number]
                self.longest_pauses[number] = max(pause, self.longest_pauses.get(number, 0.0))
                self._record_balancer(number, "resumed")
            elif what in ("balancer-kill", "balancer-stop"):
                await self.components[name].process.wait()
                if self.on_balancer_down is not None:
                    self.on_balancer_down(self.folder / f"state-{name}")
                await self._start_balancer(number)
                await self._wait_until_serving(number)
            return
        match what:
            case "balancer-kill":
                self._record_balancer(number, "killed")
                self.power_cycles[number] = self.power_cycles.get(number, 0) + event.trouble.power
                await self._kill(name)
            case "balancer-stop":
                self._record_balancer(number, "stopping")
                self.components[name].end_expected = True
                self._send_signal(name, signal.SIGTERM)
                try:
                    async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                        await self.components[name].process.wait()
                    self._record_balancer(number, "ended")
                except TimeoutError:
                    self._record_balancer(number, "killed")
                    await self._kill(name)
            case "balancer-reload":
                self._record_balancer(number, "reloaded")
                self._send_signal(name, signal.SIGHUP)
            case "balancer-pause":
                self._record_balancer(number, "paused")
                self.paused_at[number] = time.monotonic()
                self._send_signal(name, signal.SIGSTOP)

    async def _wait_until_serving(self, number: int) -> None:
        """Waits until a started balancer answers PING, and records that; gives up without an error."""
        for _ in range(int(READY_TIMEOUT_SECONDS / 0.1)):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.5):
                    reader, writer = await asyncio.open_connection(*self.address_plan.balancer(number))
                    writer.write(b"PING\r\n")
                    answer = await reader.readline()
                    writer.close()
                    if answer == b"PONG\r\n":
                        self.writer.write(Balancer(time.monotonic(), number, "serving"))
                        return
            await asyncio.sleep(0.1)

    async def _disturb_server(self, server: int, event: TimelineEvent, act: str) -> None:
        name, trouble = self._server_name(server), event.trouble
        if trouble.what == "server-start" or (event.ends and act in ("kill", "drain")):
            if event.ends and trouble.what == "server-start":
                return
            if name in self.components and self.components[name].process.returncode is None:
                await self._kill(name)
            since = time.time()
            await self._start_server(server, since)
            await asyncio.sleep(0.2)
            self._update_list(self._list_entry(server, "up", since))
        elif act == "kill":
            await self._kill(name)
            await asyncio.sleep(trouble.late)
            if self.components[name].process.returncode is not None:
                self._update_list(self._list_entry(server, "removed", 0.0))
        elif act == "drain":
            self._update_list(self._list_entry(server, "draining", 0.0))
            # The server itself declines setups only when the balancers' grace is over.
            await asyncio.sleep(self.fleet.drain_grace)
            self.components[name].send_command({"what": "drain", "seconds": max(1.0, trouble.seconds - 1.0)})
            if trouble.seconds:
                await asyncio.sleep(max(0.0, trouble.seconds - self.fleet.drain_grace - 0.8))
                self._update_list(self._list_entry(server, "removed", 0.0))
        elif act == "pause":
            self._send_signal(name, signal.SIGCONT if event.ends else signal.SIGSTOP)
        elif event.ends:
            self.components[name].send_command({"what": "well"})
        else:
            self.components[name].send_command({"what": act, "size": trouble.size})

    def _update_list(self, entry: Line) -> None:
        self.components["discovery"].send_command({"what": "change", "line": asdict(entry)})

    def _disturb_discovery(self, event: TimelineEvent, act: str) -> None:
        if act == "lower":
            if not event.ends:
                self.components["discovery"].send_command({"what": "lower"})
        else:
            self.components["discovery"].send_command({"what": "serve", "how": "well" if event.ends else act})

    # Machine load, and the end.

    async def _sample_machine(self) -> None:
        """Records the idle share of the machine's processors and reports the progress of the run."""
        before = _processor_times()
        while True:
            await asyncio.sleep(MACHINE_SAMPLE_SECONDS)
            after = _processor_times()
            total, idle = sum(after) - sum(before), after[3] - before[3]
            before = after
            self.writer.write(Machine(time.monotonic(), idle / total if total else 1.0))
            if self.on_progress is not None:
                self.on_progress(time.monotonic() - self.began)

    async def _stop_all(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for name, component in self.components.items():
            component.end_expected = True
            self._send_signal(name, signal.SIGKILL)
        for component in self.components.values():
            await component.process.wait()
            if component.watcher is not None:
                await component.watcher
        if self.reaper is not None:
            assert self.reaper.stdin is not None
            self.reaper.stdin.close()
            await self.reaper.wait()


def _processor_times() -> list[int]:
    """The machine's processor times in clock ticks: user, nice, system, idle, ..."""
    with open("/proc/stat") as stat:
        return [int(figure) for figure in stat.readline().split()[1:9]]


def _is_internal_error(line: bytes, pause: float) -> bool:
    """Whether a log line tells of an internal error that a pause of the balancer (seconds) does not explain.

    Only answers overdue by less than the pause are explained; any other error has a line of its own.
    """
    if not INTERNAL_ERROR_LINE.search(line):
        return False
    overdue = OVERDUE_LINE.search(line)
    if overdue is not None:
        return float(overdue[1]) >= pause
    return not (pause and LAST_OVERDUE.search(line))
