"""Runs recovery after an outage (`pointgw.recovery`) for a balancer: from what the balancer sees of its
servers it sets the balancer's share of the slow-start budget and the order of its queue.

Loaded only where the operators' file has `[recovery]`.
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
from pointgw.cluster.transport import ClusterTransport as PeerTransport
from pointgw.cluster.wire import MAX_MEMBERS, Keys
from pointgw.net.core.reducer import Reducer
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer, Tunnel
from pointgw.recovery import messages, phase
from pointgw.recovery.leases import LEASE_DURATION, LESSOR_MARGIN, Leases
from pointgw.recovery.phase import Phase, RecoveryPhaseTracker
from pointgw.recovery.transport import Address, LeaseTransport

# Interval between two checks, as a share of the time by which a lease ends later at its lessor than at its
# lessee.
CHECK_SHARE = 0.5

_log = logging.getLogger("pointgw.recovery")


@dataclass(slots=True)
class RecoveryRunner:
    """The `[recovery]` settings, and the leases and the phase of one balancer."""

    section: operators.RecoverySection
    keys: Keys
    peers: tuple[Address, ...]
    listen: Address
    own_index: int
    transport: LeaseTransport | None = None
    reducer: Reducer | None = None
    phase_tracker: RecoveryPhaseTracker | None = None
    timer: asyncio.TimerHandle | None = None
    clock: Callable[[], float] = time.time  # the decisions' time, in seconds
    check_interval: float = 0.0  # seconds between two checks
    owns_socket: bool = False  # False: the cluster's socket is used

    @classmethod
    def create(cls, section: operators.RecoverySection, start_up: StartUpSettings) -> RecoveryRunner | None:
        """None, after a line for each problem on standard error, where the settings are invalid."""
        try:
            peers, listen, own_index = settings.endpoints(
                "recovery", section, start_up.peers, start_up.peer_listen, start_up.balancer_index
            )
            if not 0 <= own_index < len(peers) <= MAX_MEMBERS:
                expected = f"a list of at most {MAX_MEMBERS} with this balancer's own address in it"
                invalid = validation.InvalidValue("recovery.peers", str(len(peers)), expected)
                raise validation.InvalidFileError("operators' file", [invalid])
            return cls(section, settings.read_keys(section.key_file), peers, listen, own_index)
        except validation.InvalidFileError as error:
            for problem in error.problems:
                print(f"pointgw: {problem.message(error.file)}", file=sys.stderr)
            return None

    async def start(
        self,
        reducer: Reducer,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        seed: int,
        cluster_transport: PeerTransport | None,
    ) -> None:
        """Starts the checks; without leases, by its own share, where the address can't be bound."""
        balancer, now = reducer.balancer, loop.time()
        self.check_interval = CHECK_SHARE * LESSOR_MARGIN * LEASE_DURATION * balancer.overload_window
        self.reducer, self.clock, self.phase_tracker = (
            reducer, clock, RecoveryPhaseTracker(balancer.warm_up_window, now)
        )  # fmt: skip
        if self.section.loans and len(self.peers) > 1:
            rng = Random(f"{seed}/recovery/{os.urandom(8).hex()}")
            leases = Leases(self.own_index, len(self.peers), balancer.overload_window, rng, now)
            transport = LeaseTransport(leases, self.keys, self.peers, loop, self._update_budget_share)
            if cluster_transport is not None and cluster_transport.transport is not None:
                transport.transport = cluster_transport.transport
                cluster_transport.handlers_by_magic[messages.MAGIC] = transport.datagram_received
            else:
                try:
                    await transport.listen(self.listen)
                except OSError as error:
                    _log.error(
                        "leases disabled", extra={"fields": {"why": f"{type(error).__name__} {error}"}}
                    )
                    transport.transport = None
                self.owns_socket = True
            self.transport = transport if transport.transport is not None else None
        self._check()

    def stop(self) -> None:
        """Ends the checks, and closes the socket unless it is the cluster's."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None and self.owns_socket:
            self.transport.stop()

    def _check(self) -> None:
        assert self.reducer is not None and self.phase_tracker is not None
        loop, balancer, now = asyncio.get_running_loop(), self.reducer.balancer, self.clock()
        tunnels_waiting = bool(balancer.queue) or now < balancer.no_room_until
        counts = count_servers(balancer, tunnels_waiting, now)
        if self.transport is not None:
            self.transport.send_requests(tunnels_waiting and counts.cold > 0, not tunnels_waiting)
            self._update_budget_share(loop.time())
        previous, current = self.phase_tracker.phase, self.phase_tracker.update(counts, loop.time())
        balancer.queue_priority = _queue_priority if self.section.order and current is Phase.FILLING else None
        if current is not previous:
            fields: dict[str, object] = {
                "phase": current.value, "servers": counts.in_use, "heard": counts.answered,
                "cold": counts.cold,
            }  # fmt: skip
            if self.transport is not None:
                fields |= {
                    "borrowed": self.transport.leases.borrowed_count,
                    "lent": self.transport.leases.granted_count,
                }
            _log.info("recovery", extra={"fields": fields})
        self.timer = loop.call_later(self.check_interval, self._check)

    def _update_budget_share(self, now: float) -> None:
        """Applies the share after a lease was received or granted, or has ended."""
        assert self.transport is not None and self.reducer is not None
        share = self.transport.leases.budget_share(now)
        if share != self.reducer.balancer.budget_share:
            self.reducer.balancer.set_budget_share(share, self.clock())


def _queue_priority(tunnel: Tunnel) -> float:
    return phase.queue_priority(tunnel.profile, tunnel.is_returning)


def count_servers(balancer: Balancer, tunnels_waiting: bool, now: float) -> phase.ServerCounts:
    """Counts the active servers: all, those with a known state, and those cold or without a process."""
    active = balancer.active_servers
    answered = sum(server.reported_busy is not None or server.process_missing for server in active)
    cold = sum(server.process_missing or server.warm_at > now for server in active)
    return phase.ServerCounts(len(active), answered, cold, tunnels_waiting)
