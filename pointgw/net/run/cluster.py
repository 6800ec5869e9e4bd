"""The tier (`pointgw.cluster`) beside a balancer: what it sees goes out, the plan in force comes in.

Only loaded where the operators' file has `[tier]`.
"""

from __future__ import annotations

import asyncio
import logging
import os
import sys
import tempfile
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

import msgspec

from pointgw import operators, validation
from pointgw.cluster import settings
from pointgw.cluster.node import ClusterNode, ClusterSettings
from pointgw.cluster.observations import ZoneObservation
from pointgw.cluster.transport import ClusterTransport
from pointgw.cluster.wire import Keys
from pointgw.interface import Profile
from pointgw.net.core.reducer import Reducer
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer, Server, State, Tunnel

DECLINED_COUNTED_FOR = 1.0  # seconds for which a client that was turned away counts as there: it comes again
MAX_DECLINED = 100_000  # of them that are remembered
STATUS_INTERVAL = 1.0  # seconds

Address = tuple[str, int]
_log = logging.getLogger("pointgw.tier")


@dataclass(slots=True)
class ClusterRunner:
    """What is told of the tier, and what speaks for this balancer."""

    settings: ClusterSettings
    keys: Keys
    peers: tuple[Address, ...]
    listen: Address
    status: str
    zones: tuple[str, ...]
    profiles: tuple[str, ...]
    transport: ClusterTransport | None = None
    reducer: Reducer | None = None
    declined_clients: dict[str, tuple[float, Profile]] = field(
        default_factory=dict
    )  # by the client's key, oldest first
    status_written_at: float = 0.0
    status_write: asyncio.Future[None] | None = None
    last_logged: tuple[object, ...] = ()
    evacuation_refused: bool = False  # the log says so of an evacuation

    @classmethod
    def create(cls, section: operators.TierSection, start: StartUpSettings) -> ClusterRunner | None:
        """None, and a line for each fault on standard error, where it can't be."""
        try:
            return cls._create(section, start)
        except validation.InvalidFileError as faulty:
            for fault in faulty.problems:
                print(f"pointgw: {fault.message(faulty.file)}", file=sys.stderr)
            return None

    @classmethod
    def _create(cls, section: operators.TierSection, start: StartUpSettings) -> ClusterRunner:
        peers, listen, me = settings.endpoints(
            "tier", section, start.peers, start.peer_listen, start.balancer_index
        )
        names = start.names.zones
        told = settings.cluster_settings(section, names, start.site.zone, start.site.profiles, me, len(peers))
        keys = settings.read_keys(section.key_file)
        return cls(told, keys, peers, listen, section.status, names, start.profiles)

    async def start(self, reducer: Reducer, loop: asyncio.AbstractEventLoop, seed: int) -> None:
        """Guards against an address that can't be had: the balancer serves on without the tier."""
        self.reducer = reducer
        tier = ClusterNode(
            self.settings, self.keys, Random(f"{seed}/tier/{os.urandom(8).hex()}"), loop.time()
        )
        voice = ClusterTransport(tier, self.peers, loop, self._observe, self._apply_plan)
        try:
            await voice.listen(self.listen)
        except OSError as fault:
            _log.error("no tier", extra={"fields": {"why": f"{type(fault).__name__} {fault}"}})
            return
        self.transport = voice
        reducer.on_declined = self._record_declined

    def reload(self, section: operators.TierSection | None) -> None:
        """SIGHUP: which zones are to be emptied is taken over; what else changed needs a restart."""
        known = section is not None and set(section.evacuate) < set(self.zones)
        if section is None or not known:
            why = "no [tier], or zones to evacuate that are not there"
            _log.error("tier not read again", extra={"fields": {"why": why}})
            return
        evacuate = sum(1 << self.zones.index(name) for name in section.evacuate)
        if evacuate != self.settings.evacuated_zones:
            self.settings = replace(self.settings, evacuated_zones=evacuate)
            if self.transport is not None:
                self.transport.node.settings = self.settings
            _log.info("tier", extra={"fields": {"evacuate": ",".join(section.evacuate) or "-"}})

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.stop()

    def _record_declined(self, tun: Tunnel) -> None:
        """Guards against a need that grows with each try of the same client: who is turned away comes again
        sooner than one that is served, and the plan would turn away ever more."""
        assert self.transport is not None
        self.declined_clients.pop(tun.key, None)
        if len(self.declined_clients) < MAX_DECLINED:
            self.declined_clients[tun.key] = (self.transport.loop.time(), tun.profile)

    def _observe(self, now: float) -> None:
        if self.transport is None or self.reducer is None or not self.transport.node.observation_is_due(now):
            return
        while (
            self.declined_clients
            and next(iter(self.declined_clients.values()))[0] < now - DECLINED_COUNTED_FOR
        ):
            del self.declined_clients[next(iter(self.declined_clients))]
        self.transport.node.observe(
            observe_zones(
                self.reducer, self.settings.zone_count, [p for _, p in self.declined_clients.values()]
            ),
            now,
        )

    def _apply_plan(self, now: float) -> None:
        if self.transport is None or self.reducer is None:
            return
        tier, balancer = self.transport.node, self.reducer.balancer
        mine = tier.plan.shares[self.settings.zone]
        near = all(share[self.settings.zone] == 1.0 for share in mine)
        balancer.zone_shares = {} if near else dict(zip(balancer.profiles, mine, strict=True))
        agreed = tier.agreement.agreed_vote
        said = (len(tier.members.live_members()), agreed, tier.map_mismatch())
        if said != self.last_logged:
            self.last_logged = said
            _log.info("tier", extra={"fields": self._status_fields(now)})
        if (tier.refused_evacuation is not None) is not self.evacuation_refused:
            self.evacuation_refused = tier.refused_evacuation is not None
            if tier.refused_evacuation is not None:
                need, room = tier.refused_evacuation
                figures = {"need": round(need, 2), "rest_bears": round(room, 2)}
                _log.warning("evacuation refused", extra={"fields": figures})
        if self.status and self.status_write is None and now >= self.status_written_at + STATUS_INTERVAL:
            self.status_written_at = now
            self._write_status(now)

    def _status_fields(self, now: float) -> dict[str, object]:
        assert self.transport is not None
        tier = self.transport.node
        agreed = tier.agreement.agreed_vote
        closed = [name for z, name in enumerate(self.zones) if tier.agreement.closed_zones >> z & 1]
        return {
            "there": len(tier.members.live_members()), "of": self.settings.member_count,
            "term": agreed.term if agreed is not None else 0, "closed": ",".join(closed) or "-",
            "other_maps": len(tier.members.map_mismatches), "doubt": tier.members.health_score,
        }  # fmt: skip

    def _write_status(self, now: float) -> None:
        """How things stand, whole or not at all, for the owner's eyes."""
        assert self.transport is not None
        tier = self.transport.node
        shares = {
            profile: {zone: round(share, 3) for zone, share in zip(self.zones, row, strict=True)}
            for profile, row in zip(self.profiles, tier.plan.shares[self.settings.zone], strict=True)
        }
        zones = {
            name: {
                "room": round(z.capacity, 2),
                "warm": round(z.warm_capacity, 2),
                "need": round(sum(z.demand), 2),
            }
            for name, z in zip(self.zones, tier.zone_estimates(now), strict=True)
        }
        members = {str(m.index): m.state.name.lower() for m in tier.members.peers.values()}
        told = self._status_fields(now) | {
            "me": self.settings.own_index, "members": members, "zones": zones, "shares": shares,
            "figures": dict(tier.counters),
        }  # fmt: skip
        data = msgspec.json.encode(told)
        self.status_write = self.transport.loop.run_in_executor(None, replace_file, self.status, data)
        self.status_write.add_done_callback(self._status_written)

    def _status_written(self, writing: asyncio.Future[None]) -> None:
        self.status_write = None
        fault = None if writing.cancelled() else writing.exception()
        if fault is not None:
            _log.error("status not written", extra={"fields": {"why": str(fault)}})
            self.status = ""  # said once


def replace_file(file: str, data: bytes) -> None:
    """Raises OSError. Guards against a slow disk, where a rename waits for what was written: off the loop's
    thread, or no tunnel would be answered meanwhile."""
    handle, path = tempfile.mkstemp(dir=Path(file).parent, prefix=".tier-")
    with os.fdopen(handle, "wb") as out:
        out.write(data)
    os.replace(path, file)


def observe_zones(reducer: Reducer, zones: int, away: list[Profile]) -> tuple[ZoneObservation, ...]:
    """What this balancer sees of each zone, in mean, warm servers."""
    balancer, now = reducer.balancer, reducer.now
    room, warm, used = [0.0] * zones, [0.0] * zones, [0.0] * zones
    for ep in balancer.active_servers:
        if 0 <= ep.zone < zones:
            size = ep.relative_size / balancer.mean_relative_size
            warm[ep.zone] += size
            part = _usable_share(balancer, ep, now)
            room[ep.zone] += size * part
            load = ep.reported_load if ep.reported_busy is not None else balancer.mean_load or 0.0
            used[ep.zone] += size * part * load
    count, opened = dict.fromkeys(balancer.profiles, 0), 0
    for client in reducer.clients.values():
        if client.tunnel.state is not State.ENDED:
            count[client.tunnel.profile] += 1
            opened += client.tunnel.state is State.OPEN
    for profile in away:
        count[profile] += 1
    need = tuple(count[profile] for profile in balancer.profiles)
    own = balancer.zone
    return tuple(
        ZoneObservation(room[z], warm[z], used[z], opened if z == own else 0, need if z == own else ())
        for z in range(zones)
    )


def _usable_share(balancer: Balancer, ep: Server, now: float) -> float:
    """Of its full capacity, what it can do now by what this balancer saw of it."""
    if ep.process_missing or max(ep.ejected_until, ep.unstable_until) > now:
        return 0.0
    if ep.warm_at <= now:
        return 1.0
    age = max(0.0, now - (ep.warm_at - balancer.warm_up_window)) / balancer.warm_up_window
    return balancer.slow_start_share + (1 - balancer.slow_start_share) * age
