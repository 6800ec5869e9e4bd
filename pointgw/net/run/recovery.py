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

from pointgw import operators, validation
from pointgw.cluster import settings
from pointgw.cluster.transport import ClusterTransport as TierVoice
from pointgw.cluster.wire import MAX_MEMBERS, Keys
from pointgw.net.core.reducer import Reducer
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer, Tunnel
from pointgw.recovery import messages, phase
from pointgw.recovery.leases import LEASE_DURATION, LESSOR_MARGIN, Leases
from pointgw.recovery.phase import Phase, RecoveryPhaseTracker
from pointgw.recovery.transport import Address, LeaseTransport

CHECK_SHARE = (
    0.5  # of the time that a lender's end lies after the borrower's: between two looks at what waits
)

_log = logging.getLogger("pointgw.recovery")


@dataclass(slots=True)
class RecoveryRunner:
    section: operators.RecoverySection
    keys: Keys
    peers: tuple[Address, ...]
    listen: Address
    own_index: int
    transport: LeaseTransport | None = None
    reducer: Reducer | None = None
    phase_tracker: RecoveryPhaseTracker | None = None
    timer: asyncio.TimerHandle | None = None
    clock: Callable[[], float] = time.time  # the decisions'
    check_interval: float = 0.0  # seconds between two looks
    owns_socket: bool = False  # the socket is this one's, and not the tier's

    @classmethod
    def create(cls, section: operators.RecoverySection, start: StartUpSettings) -> RecoveryRunner | None:
        """None, and a line for each fault on standard error, where it can't be."""
        try:
            peers, listen, me = settings.endpoints(
                "recovery", section, start.peers, start.peer_listen, start.balancer_index
            )
            if not 0 <= me < len(peers) <= MAX_MEMBERS:
                what = f"a list of at most {MAX_MEMBERS} with this balancer's own address in it"
                fault = validation.InvalidValue("recovery.peers", str(len(peers)), what)
                raise validation.InvalidFileError("operators' file", [fault])
            return cls(section, settings.read_keys(section.key_file), peers, listen, me)
        except validation.InvalidFileError as faulty:
            for fault in faulty.problems:
                print(f"pointgw: {fault.message(faulty.file)}", file=sys.stderr)
            return None

    async def start(
        self,
        reducer: Reducer,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        seed: int,
        tier: TierVoice | None,
    ) -> None:
        """Guards against an address that can't be had: the balancer serves on by its own part."""
        balancer, now = reducer.balancer, loop.time()
        self.check_interval = CHECK_SHARE * LESSOR_MARGIN * LEASE_DURATION * balancer.overload_window
        self.reducer, self.clock, self.phase_tracker = (
            reducer, clock, RecoveryPhaseTracker(balancer.warm_up_window, now)
        )  # fmt: skip
        if self.section.loans and len(self.peers) > 1:
            rng = Random(f"{seed}/recovery/{os.urandom(8).hex()}")
            loans = Leases(self.own_index, len(self.peers), balancer.overload_window, rng, now)
            voice = LeaseTransport(loans, self.keys, self.peers, loop, self._update_budget_share)
            if tier is not None and tier.transport is not None:
                voice.transport = tier.transport
                tier.handlers_by_magic[messages.MAGIC] = voice.datagram_received
            else:
                try:
                    await voice.listen(self.listen)
                except OSError as fault:
                    _log.error("no loans", extra={"fields": {"why": f"{type(fault).__name__} {fault}"}})
                    voice.transport = None
                self.owns_socket = True
            self.transport = voice if voice.transport is not None else None
        self._check()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None and self.owns_socket:
            self.transport.stop()

    def _check(self) -> None:
        assert self.reducer is not None and self.phase_tracker is not None
        loop, balancer, now = asyncio.get_running_loop(), self.reducer.balancer, self.clock()
        waits = bool(balancer.queue) or now < balancer.no_room_until
        seen = count_servers(balancer, waits, now)
        if self.transport is not None:
            self.transport.send_requests(waits and seen.cold > 0, not waits)
            self._update_budget_share(loop.time())
        was, stands = self.phase_tracker.phase, self.phase_tracker.update(seen, loop.time())
        balancer.queue_priority = _queue_priority if self.section.order and stands is Phase.FILLING else None
        if stands is not was:
            fields: dict[str, object] = {
                "phase": stands.value, "servers": seen.in_use, "heard": seen.answered, "cold": seen.cold,
            }  # fmt: skip
            if self.transport is not None:
                fields |= {
                    "borrowed": self.transport.leases.borrowed_count,
                    "lent": self.transport.leases.granted_count,
                }
            _log.info("recovery", extra={"fields": fields})
        self.timer = loop.call_later(self.check_interval, self._check)

    def _update_budget_share(self, now: float) -> None:
        """A loan has come, was given, or is over: the part is another from now on."""
        assert self.transport is not None and self.reducer is not None
        part = self.transport.leases.budget_share(now)
        if part != self.reducer.balancer.budget_share:
            self.reducer.balancer.set_budget_share(part, self.clock())


def _queue_priority(tun: Tunnel) -> float:
    return phase.queue_priority(tun.profile, tun.is_returning)


def count_servers(balancer: Balancer, waits: bool, now: float) -> phase.ServerCounts:
    live = balancer.active_servers
    heard = sum(ep.reported_busy is not None or ep.process_missing for ep in live)
    cold = sum(ep.process_missing or ep.warm_at > now for ep in live)
    return phase.ServerCounts(len(live), heard, cold, waits)
