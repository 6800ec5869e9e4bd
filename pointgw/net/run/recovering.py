"""How a fleet fills again (`pointgw.recovery`) beside a balancer: what it sees goes in, its part of the cold
servers' budget and the order of those that wait come out.

Only loaded where the operators' file has `[recovery]`.
"""

from __future__ import annotations

import asyncio
import logging
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from pointgw import checked, operators
from pointgw.net.memory.reducer import Reducer
from pointgw.net.wire.start import Start
from pointgw.policy import Balancer, Tunnel
from pointgw.recovery import phase, words
from pointgw.recovery.loans import LEASE, RIM, Loans
from pointgw.recovery.phase import Phase, Standing
from pointgw.recovery.voice import Address, Voice
from pointgw.tier import given
from pointgw.tier.run import Voice as TierVoice
from pointgw.tier.wire import MOST_MEMBERS, Keys

LOOK = 0.5  # of the time that a lender's end lies after the borrower's: between two looks at what waits

_log = logging.getLogger("pointgw.recovery")


@dataclass(slots=True)
class Recovering:
    section: operators.Recovery
    keys: Keys
    peers: tuple[Address, ...]
    listen: Address
    me: int
    voice: Voice | None = None
    reducer: Reducer | None = None
    standing: Standing | None = None
    timer: asyncio.TimerHandle | None = None
    clock: Callable[[], float] = time.time  # the decisions'
    every: float = 0.0  # seconds between two looks
    own: bool = False  # the socket is this one's, and not the tier's

    @classmethod
    def begin(cls, section: operators.Recovery, start: Start) -> Recovering | None:
        """None, and a line for each fault on standard error, where it can't be."""
        try:
            peers, listen, me = given.ends(
                "recovery", section, start.peers, start.peer_listen, start.number
            )
            if not 0 <= me < len(peers) <= MOST_MEMBERS:
                what = f"a list of at most {MOST_MEMBERS} with this balancer's own address in it"
                fault = checked.Fault("recovery.peers", str(len(peers)), what)
                raise checked.Faulty("operators' file", [fault])
            return cls(section, given.keys(section.key_file), peers, listen, me)
        except checked.Faulty as faulty:
            for fault in faulty.faults:
                print(f"pointgw: {fault.line(faulty.file)}", file=sys.stderr)
            return None

    async def speak(
        self,
        reducer: Reducer,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        seed: int,
        tier: TierVoice | None,
    ) -> None:
        """Guards against an address that can't be had: the balancer serves on by its own part."""
        balancer, now = reducer.balancer, loop.time()
        self.every = LOOK * RIM * LEASE * balancer.tip_span
        self.reducer, self.clock, self.standing = reducer, clock, Standing(balancer.cold_time, now)
        if self.section.loans and len(self.peers) > 1:
            rng = Random(f"{seed}/recovery/{os.urandom(8).hex()}")
            loans = Loans(self.me, len(self.peers), balancer.tip_span, rng, now)
            voice = Voice(loans, self.keys, self.peers, loop, self._changed)
            if tier is not None and tier.transport is not None:
                voice.transport = tier.transport
                tier.others[words.MAGIC] = voice.datagram_received
            else:
                try:
                    await voice.listen(self.listen)
                except OSError as fault:
                    _log.error("no loans", extra={"fields": {"why": f"{type(fault).__name__} {fault}"}})
                    voice.transport = None
                self.own = True
            self.voice = voice if voice.transport is not None else None
        self._look()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.voice is not None and self.own:
            self.voice.stop()

    def _look(self) -> None:
        assert self.reducer is not None and self.standing is not None
        loop, balancer, now = asyncio.get_running_loop(), self.reducer.balancer, self.clock()
        waits = bool(balancer.held) or now < balancer.scarce_until
        seen = look(balancer, waits, now)
        if self.voice is not None:
            self.voice.ask(waits and seen.cold > 0, not waits)
            self._changed(loop.time())
        was, stands = self.standing.phase, self.standing.look(seen, loop.time())
        balancer.rank = _rank if self.section.order and stands is Phase.FILLING else None
        if stands is not was:
            fields: dict[str, object] = {
                "phase": stands.value, "servers": seen.servers, "heard": seen.heard, "cold": seen.cold,
            }  # fmt: skip
            if self.voice is not None:
                fields |= {"borrowed": self.voice.loans.borrowed, "lent": self.voice.loans.lent}
            _log.info("recovery", extra={"fields": fields})
        self.timer = loop.call_later(self.every, self._look)

    def _changed(self, now: float) -> None:
        """A loan has come, was given, or is over: the part is another from now on."""
        assert self.voice is not None and self.reducer is not None
        part = self.voice.loans.part(now)
        if part != self.reducer.balancer.cold_part:
            self.reducer.balancer.lent(part, self.clock())


def _rank(tun: Tunnel) -> float:
    return phase.rank(tun.profile, tun.back)


def look(balancer: Balancer, waits: bool, now: float) -> phase.Seen:
    live = balancer.live
    heard = sum(ep.busy is not None or ep.down for ep in live)
    cold = sum(ep.down or ep.warm_at > now for ep in live)
    return phase.Seen(len(live), heard, cold, waits)
