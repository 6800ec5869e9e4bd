"""One soak run: balancer processes with stand-in peers, under a seeded schedule of disturbances."""

from __future__ import annotations

import asyncio
import os
import re
import shutil
import signal
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Any

from soak import disturbances
from soak.balancer import PORT, READY_TIMEOUT, BalancerProcess
from soak.checker import Checker, ServerStart
from soak.client import BadClient, Client
from soak.deployment import CELLS, ZONES, draw_deployment
from soak.discovery import Discovery
from soak.records import Request, Violation
from soak.server import Connection, Server
from soak.syscall_faults import Call

HOST = "127.0.0.1"
DEFAULT_DESCRIPTORS = 400  # descriptor limit of each balancer
LAG_CHECK_INTERVAL = 0.01  # seconds between two measurements of the event loop lag
FRONT_REMOVAL_DELAY = 0.3  # seconds after SIGTERM in which the front still sends clients to a balancer
STOP_GRACE = 0.7  # seconds that a stop may take longer than the longest deadline
BAD_CLIENT_TIMEOUT = 3.0  # seconds within which a bad client gets an error or a close
QUIET_SECONDS = 4.0  # seconds without new disturbances at the end of the run
MAX_LOOP_LAG = 0.25  # seconds; a run with more event loop lag is not valid
VALID_LINE_END = b",g=g1\r\n"  # end of a valid request; bad clients that send one leave at once
VIOLATION_LOG_LINE = re.compile(
    rb'event=(broken|fault|"closed without answer")|(guard_\w+|\w+_failed|answer_overdue|last_error)="?[^ "]'
)


@dataclass(slots=True)
class Outcome:
    """Result of a run."""

    seed: int
    violations: list[Violation] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    schedule: list[str] = field(default_factory=list)
    folder: Path | None = None
    loop_late: bool = False  # the event loop lag exceeded `MAX_LOOP_LAG`; the result is not valid

    @property
    def passed(self) -> bool:
        return not self.violations


class World:
    """One run. `disturbance_names`: names of the disturbances to draw from; empty: all."""

    def __init__(
        self, seed: int, seconds: float, balancers: int, servers: int,
        disturbance_names: tuple[str, ...] = (), descriptors: int = DEFAULT_DESCRIPTORS,
    ) -> None:  # fmt: skip
        self.seed, self.seconds, self.disturbance_names = seed, seconds, disturbance_names
        self.rng = Random(f"soak/{seed}")
        self.deployment = draw_deployment(self.rng, balancers, servers, descriptors)
        self.folder = Path(mkdtemp(prefix=f"pointgw-soak-{seed}-"))
        self.arrival_rate = self.deployment.arrival_rate
        self.leaving_share = 0.05
        self.requests: dict[str, Request] = {}
        self.bad_clients: list[BadClient] = []
        self.server_starts: list[ServerStart] = []
        self.balancer_starts: dict[int, list[float]] = {}
        self.clients: dict[Client, None] = {}
        self.violations: list[Violation] = []
        self.schedule: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop_lag = 0.0
        self.disturbed_until = 0.0

    def now(self) -> float:
        return time.monotonic()

    def background(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task that ends with the run at the latest."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Set-up.

    async def run(self) -> Outcome:
        """Runs the test and checks its records."""
        self.loop = asyncio.get_running_loop()
        await self._set_up()
        try:
            self.started_at = self.now()
            lag_meter = asyncio.create_task(self._measure_lag())
            ready = [asyncio.create_task(b.wait_until_ready()) for b in self.balancers]
            await asyncio.gather(*ready)
            load = asyncio.create_task(self._send_requests())
            await self._start_disturbances()
            await asyncio.sleep(QUIET_SECONDS)
            load.cancel()
            await asyncio.sleep(max(entry.deadline for entry in self.deployment.classes) + 0.8)
            lag_meter.cancel()
            return self._check()
        finally:
            for task in list(self.tasks):
                task.cancel()
            for balancer in self.balancers:
                balancer.close()

    async def _set_up(self) -> None:
        deployment = self.deployment
        self.discovery = Discovery(
            Random(f"discovery/{self.seed}"), deployment.balancers, deployment.membership_mode == "automatic"
        )
        await self.discovery.listen(HOST, 0)
        self.servers = []
        self.zones, self.cells = dict[str, int](), dict[str, int]()
        for number in range(deployment.servers):
            name = f"s-{number}"
            server = Server(
                name,
                Random(f"server/{self.seed}/{number}"),
                deployment.connections_per_server,
                self._request_read,
                self._syntax_error_received,
            )
            await server.start(self._host(78, number))
            self.servers.append(server)
            self.zones[name], self.cells[name] = number % len(ZONES), number % CELLS
            self.discovery.entries[name] = {
                "name": name, "address": f"{server.host}:{server.port}", "zone": ZONES[self.zones[name]],
                "type": "m", "group": self.cells[name], "status": "up", "weight": 1.0, "since_ms": 0,
            }  # fmt: skip
            self.discovery.changed_in_version[name] = 1
        self.balancers = [
            BalancerProcess(
                number, self._host(77, number), self.folder, self.seed * 1000 + number, deployment.descriptors
            )
            for number in range(deployment.balancers)
        ]
        for balancer in self.balancers:
            balancer.discovery_port = self.discovery.ports[balancer.number][0]
            self._configure(balancer)
            if deployment.snapshots:
                balancer.enable_snapshots()
            self.balancer_starts[balancer.number] = [self.now()]
            balancer.start()

    @staticmethod
    def _host(net: int, number: int) -> str:
        """A loopback address that concurrent runs do not use."""
        return f"127.{net + number // 250}.{os.getpid() % 250}.{number % 250 + 1}"

    def _configure(self, balancer: BalancerProcess) -> None:
        config = {
            "name": balancer.name, "listen": f"{balancer.host}:{PORT}",
            "discovery": f"{HOST}:{balancer.discovery_port}", "seed": f"{self.rng.getrandbits(60):x}",
            "limits": {"sockets": balancer.descriptors}, "known": self.discovery.start_up_list(),
            "settings": self.deployment.settings(balancer.number),
        }  # fmt: skip
        balancer.write_config(config)

    async def _measure_lag(self) -> None:
        while True:
            before = self.now()
            await asyncio.sleep(LAG_CHECK_INTERVAL)
            self.loop_lag = max(self.loop_lag, self.now() - before - LAG_CHECK_INTERVAL)

    # Traffic.

    async def _send_requests(self) -> None:
        next_at, number = self.now(), 0
        while True:
            next_at += self.rng.expovariate(self.arrival_rate)
            await asyncio.sleep(max(0.0, next_at - self.now()))
            number += 1
            candidates = [b for b in self.balancers if self._receives_clients(b)]
            if candidates:
                self.background(self._run_client(number, self.rng.choice(candidates)))

    def _receives_clients(self, balancer: BalancerProcess) -> bool:
        if balancer.stopping_at is not None:
            return (
                balancer.is_alive()
                and self.now() < balancer.stopping_at + FRONT_REMOVAL_DELAY
                and balancer.ready
            )
        return balancer.ready

    async def _run_client(self, number: int, balancer: BalancerProcess) -> None:
        rng = self.rng
        request_class = rng.choice(self.deployment.classes)
        timeout = request_class.deadline * rng.choice((1.0, 1.0, 0.5, 0.05))
        name = f"r{self.seed}-{number}"
        line = (
            f"OPEN {name} k{number % 97} c={request_class.name},t=acme,"
            f"d={round(timeout * 1e3)},g=g{number % 31}\r\n"
        ).encode()
        leave_after = rng.uniform(0.0, 0.4) if rng.random() < self.leaving_share else None
        send_delay = rng.choice((0.0, 0.0, 0.0, rng.uniform(0.0, 1.0)))
        request = Request(name, request_class, balancer.number, balancer.start_count, 0.0, timeout)
        self.requests[name] = request
        client = Client(
            request,
            line,
            rng.uniform(0.5, 4.0),
            leave_after,
            rng.random() < 0.1,
            send_delay,
            self._client_ended,
        )
        try:
            await self.loop.create_connection(lambda: client, balancer.host, PORT)
        except OSError:
            return  # refused: the balancer is not responsible for the request
        self.clients[client] = None

    def _client_ended(self, client: Client) -> None:
        self.clients.pop(client, None)
        request = client.request
        if not client.opened or client.moved or client.closed_by_client:
            return
        answered_attempts = [attempt for attempt in request.attempts if attempt.answered_at is not None]
        server_ended = answered_attempts and answered_attempts[-1].ended_at is not None
        if not server_ended:
            self.background(self._check_cut(client))

    async def _check_cut(self, client: Client) -> None:
        """Reports an open tunnel that the balancer closed while its server did not.

        The end of the server's connection may be read later than that of the client's.
        """
        request, ended_at = client.request, self.now()
        await asyncio.sleep(0.2)
        last = next(
            (attempt for attempt in reversed(request.attempts) if attempt.answered_at is not None), None
        )
        balancer = self.balancers[request.balancer]
        killed = request.process_start in balancer.killed_at
        if last is None or killed:
            return
        if last.ended_at is None or last.ended_at > ended_at + 0.05:
            self.violations.append(
                Violation("cut", request.name, f"open connection to {last.server} cut off")
            )

    def _request_read(self, connection: Connection) -> None:
        """Records an attempt, and whether earlier attempts of its request are still pending."""
        attempt = connection.attempt
        assert attempt is not None
        request = self.requests.get(attempt.request)
        if request is None:
            return
        for server in self.servers:
            for other in server.connections:
                earlier = other.attempt
                if other is not connection and earlier is not None and earlier.request == attempt.request:
                    still_pending = earlier.answered_at is None and not other.sender_has_closed()
                    attempt.overlaps_earlier = attempt.overlaps_earlier or still_pending
        attempt.balancer = request.balancer
        request.attempts.append(attempt)

    def _syntax_error_received(self, line: bytes) -> None:
        self.violations.append(Violation("syntax", "-", repr(line[:80])))

    def start_bad_client(self, balancer: BalancerProcess, data: bytes, leave_after: float | None) -> None:
        self.background(self._run_bad_client(balancer, data, leave_after))

    async def _run_bad_client(
        self, balancer: BalancerProcess, data: bytes, leave_after: float | None
    ) -> None:
        client = BadClient(data, leave_after)
        try:
            await self.loop.create_connection(lambda: client, balancer.host, PORT)
        except OSError:
            return
        self.bad_clients.append(client)

    def draw_bad_data(self, rng: Random) -> tuple[bytes, float | None]:
        """The data that a bad client sends, and after how many seconds it leaves; None: it stays."""
        valid_line = b"OPEN bad-%d k c=view,t=acme,d=900%s" % (rng.randrange(10**9), VALID_LINE_END)
        return rng.choice(
            (
                (valid_line[:12], None), (valid_line[:20], None), (b"\x00\xff" * 300, None),
                (b"x" * 9000, None), (valid_line + b"more\r\n", None), (b"PING\r\n" * 50, None),
                (valid_line, 0.0), (valid_line, 0.01),
                (b"OPEN a b c=nothing,d=5\r\n", None), (b"OPEN a b c=view,d=-5\r\n", None),
                (b"GET / HTTP/1.1\r\n\r\n", None),
            )
        )  # fmt: skip

    # Actions of disturbances.

    async def _start_disturbances(self) -> None:
        names = self.disturbance_names or tuple(disturbances.DISTURBANCES)
        end = self.now() + self.seconds
        while self.now() < end:
            name = self.rng.choice(names)
            self.schedule.append(f"{self.now() - self.started_at:.2f} {name}")
            self.background(self._run_disturbance(name, Random(f"{self.seed}/{len(self.schedule)}")))
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))

    async def _run_disturbance(self, name: str, rng: Random) -> None:
        await disturbances.DISTURBANCES[name](self, rng)

    async def restart(self, balancer: BalancerProcess, signal_number: signal.Signals) -> None:
        """Stops a balancer and starts it again, as the platform does; SIGKILL follows a late stop."""
        if balancer.stopping_at is not None or not balancer.ready:
            return
        self.add_to_schedule(balancer, signal_number.name)
        if signal_number is signal.SIGTERM:
            balancer.terminate()
            max_deadline = min(3.0, max(entry.deadline for entry in self.deployment.classes))
            if not await balancer.wait_until_ended(max_deadline + STOP_GRACE):
                self.violations.append(Violation("stop", balancer.name, "still running at SIGKILL"))
        balancer.kill()
        await balancer.wait_until_ended(2.0)
        self.add_to_schedule(balancer, "ended")
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        self._configure(balancer)
        self.balancer_starts[balancer.number].append(self.now())
        balancer.start()
        if not await balancer.wait_until_ready() and balancer.is_alive():
            self.violations.append(Violation("ready", balancer.name, "not ready in time"))

    def add_to_schedule(self, balancer: BalancerProcess, event: str) -> None:
        self.schedule.append(f"{self.now() - self.started_at:.2f} {balancer.name} {event}")

    def move_discovery(self, balancer: BalancerProcess) -> None:
        """Switches the balancer to its other discovery port by a reload."""
        if balancer.stopping_at is not None or not balancer.ready:
            return
        first, second = self.discovery.ports[balancer.number]
        old = balancer.discovery_port
        balancer.discovery_port = second if old == first else first
        self._configure(balancer)
        balancer.send_signal(signal.SIGHUP)

    def drain(self, server: Server) -> None:
        """Drains a server in the list."""
        server.draining = True
        self.discovery.change_entry(server.name, self.now(), status="draining")

    def undrain(self, server: Server) -> None:
        """Sets a draining server up again."""
        server.draining = False
        self.discovery.change_entry(server.name, self.now(), status="up")

    async def restart_server(self, server: Server, down: float, listed_after: float) -> None:
        """Crashes a server; restarts it after `down` s, and updates the list `listed_after` s later."""
        if server.listener is None:
            return
        server.crash()
        await asyncio.sleep(down)
        await server.restart()
        self.server_starts.append(ServerStart(server.name, self.now()))
        await asyncio.sleep(listed_after)
        since = round((time.time() - (self.now() - server.started_at)) * 1e3)
        self.discovery.change_entry(server.name, self.now(), status="up", since_ms=since)

    # Checks.

    def _check(self) -> Outcome:
        outcome = Outcome(self.seed, schedule=self.schedule, folder=self.folder)
        outcome.loop_late = self.loop_lag > MAX_LOOP_LAG
        checker = Checker(self.deployment, self.zones, self.cells, self.loop_lag)
        requests = list(self.requests.values())
        for request in requests:
            killed_at = self.balancers[request.balancer].killed_at.get(request.process_start)
            if killed_at is not None:
                request.exempt = (request.closed_at or killed_at) >= killed_at - self.loop_lag
        checker.run_started_at, checker.silent_spans = self.started_at, self.discovery.silent_spans
        checker_violations = checker.check(
            requests,
            self.discovery.changes,
            self.discovery.unreachable_spans,
            self.server_starts,
            self.balancer_starts,
        )
        outcome.violations = (
            checker_violations + self.violations + self._check_bad_clients() + self._check_processes()
        )
        answers = Counter(
            request.answers[0][1].split(b" ")[0].decode("latin-1") if request.answers else "none"
            for request in requests
            if request.sent_at
        )
        outcome.figures = {
            "requests": len(requests), "answers": dict(answers), "lag": round(self.loop_lag, 3),
            "attempts": sum(len(request.attempts) for request in requests),
            "starts": sum(balancer.start_count for balancer in self.balancers),
            "worst": {name: round(value, 3) for name, value in checker.worst.items()},
            "failed_calls": {
                call.name.lower(): hits
                for call in Call
                if (hits := sum(balancer.faults.counts(call)[1] for balancer in self.balancers))
            },
            "snapshots": self.deployment.snapshots,
            "mode": self.deployment.membership_mode, "grace": self.deployment.drain_grace,
        }  # fmt: skip
        return outcome

    def _check_bad_clients(self) -> list[Violation]:
        found = []
        for client in self.bad_clients:
            took = (client.finished_at or self.now()) - client.connected_at
            if not client.left and took > BAD_CLIENT_TIMEOUT + self.loop_lag:
                found.append(Violation("bad client", repr(client.data[:30]), f"no answer for {took:.2f} s"))
            if client.answer.startswith(b"UP ") and not client.data.endswith(VALID_LINE_END):
                found.append(Violation("bad client", repr(client.data[-30:]), "served although invalid"))
        return found

    def _check_processes(self) -> list[Violation]:
        found = []
        slow = [took for b in self.balancers for took in b.ready_times[1:] if took > READY_TIMEOUT]
        if len(slow) * 10 > sum(len(b.ready_times[1:]) for b in self.balancers):
            found.append(Violation("ready", "-", f"{len(slow)} restarts over {READY_TIMEOUT} s"))
        for balancer in self.balancers:
            if not balancer.is_alive() and balancer.stopping_at is None:
                assert balancer.process is not None
                found.append(Violation("crash", balancer.name, f"exit {balancer.process.returncode}"))
            log = balancer.log_path.read_bytes()
            for line in log.splitlines():
                if VIOLATION_LOG_LINE.search(line):
                    found.append(Violation("log", balancer.name, line.decode("utf-8", "replace")[:1500]))
        return found


def remove_folder(outcome: Outcome) -> None:
    """Removes the run's folder with the logs."""
    if outcome.folder is not None:
        shutil.rmtree(outcome.folder, ignore_errors=True)
