"""An open-loop load generator for one address; each tunnel is timed from its scheduled arrival."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random
from typing import cast

from hdrh.histogram import HdrHistogram

from pointgw.net.run.lingering_close import close_gracefully
from pointgw.net.wire.lines import LINE_END

LAST_ANSWER_SECONDS = 0.2  # seconds after the client timeout in which the last answers arrive


class Tunnel(asyncio.Protocol):
    """One tunnel: sends its OPEN line, records the answer, closes after its lifetime."""

    __slots__ = ("answered", "due", "generator", "number", "transport")

    def __init__(self, generator: LoadGenerator, number: int, due: float) -> None:
        self.generator, self.number, self.due = generator, number, due
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        generator = self.generator
        line = f"OPEN {generator.rng.getrandbits(64):016x} k{self.number:x} c={generator.profile},t=all"
        self.transport.write(f"{line},d={round(generator.timeout * 1e3)}".encode() + LINE_END)
        generator.loop.call_later(generator.timeout, self._time_out)

    def data_received(self, data: bytes) -> None:
        if not self.answered:
            word = data.split(b" ", 1)[0].strip()
            self._record_answer({b"UP": "opened", b"BUSY": "declined"}.get(word, "failed"))
            if word == b"UP":
                self.generator.loop.call_later(self.generator.lifetime, close_gracefully, self.transport)
            else:
                self.transport.close()

    def _record_answer(self, outcome: str) -> None:
        self.answered = True
        self.generator.answers[outcome] += 1
        if outcome == "opened":
            self.generator.setup_times.record_value(max(1, round((time.monotonic() - self.due) * 1e6)))

    def _time_out(self) -> None:
        if not self.answered:
            self._record_answer("none")
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.answered:
            self._record_answer("lost")


class LoadGenerator:
    """Opens `rate` tunnels a second for `seconds`, each held open for its lifetime; all times in seconds."""

    def __init__(
        self,
        address: tuple[str, int],
        rate: float,
        seconds: float,
        lifetime: float,
        profile: str,
        timeout: float,
        seed: int,
    ) -> None:
        self.address, self.rate, self.seconds, self.lifetime = address, rate, seconds, lifetime
        self.profile, self.timeout, self.rng = profile, timeout, Random(seed)
        self.answers: Counter[str] = Counter()
        self.setup_times = HdrHistogram(1, 120_000_000, 3)
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> dict[str, float]:
        """Runs the load; returns its figures by name, times in milliseconds."""
        self.loop = asyncio.get_running_loop()
        began, offset, number = time.monotonic(), 0.0, 0
        while offset < self.seconds:
            wait = began + offset - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            task = self.loop.create_task(self._open(number, began + offset))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            number += 1
            offset += self.rng.expovariate(self.rate)
        elapsed = time.monotonic() - began
        await asyncio.sleep(self.timeout + LAST_ANSWER_SECONDS)
        figures: dict[str, float] = {"asked": number, "seconds": round(elapsed, 3)}
        figures |= {
            outcome: self.answers[outcome] for outcome in ("opened", "declined", "failed", "none", "lost")
        }
        for quantile in (50.0, 99.0, 100.0):
            figures[f"p{quantile:g}_ms"] = self.setup_times.get_value_at_percentile(quantile) / 1e3
        return figures

    async def _open(self, number: int, due: float) -> None:
        try:
            await self.loop.create_connection(lambda: Tunnel(self, number, due), *self.address)
        except OSError:
            self.answers["lost"] += 1
