"""Runs the cluster (`pointgw.cluster`) for a balancer: supplies its observations and applies the agreed plan.

Loaded only where the operators' file has `[tier]`.
"""

from __future__ import annotations

import asyncio
import logging
import math
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
from pointgw.cluster.plan import MIN_LOAD
from pointgw.cluster.transport import ClusterTransport
from pointgw.cluster.wire import Keys
from pointgw.interface import Profile
from pointgw.net.core.list_requests import ListStatus
from pointgw.net.core.reducer import Reducer
from pointgw.net.wire.start_up import StartUpSettings
from pointgw.policy import Balancer, Server, State, Tunnel

DECLINED_COUNTED_FOR = 1.0  # seconds for which a declined client counts as demand: it will retry
MAX_DECLINED = 100_000  # declined clients that are counted at most
STATUS_INTERVAL = 1.0  # seconds between two writes of the status file

Address = tuple[str, int]
_log = logging.getLogger("pointgw.tier")


@dataclass(slots=True)
class ClusterRunner:
    """The cluster settings, this balancer's member of the cluster, and its status file."""

    settings: ClusterSettings
    keys: Keys
    peers: tuple[Address, ...]
    listen: Address
    status_file: str  # path; empty: none is written
    zones: tuple[str, ...]
    profiles: tuple[str, ...]
    transport: ClusterTransport | None = None
    reducer: Reducer | None = None
    # By client key, oldest first: when a client was last declined, and its profile.
    declined_clients: dict[str, tuple[float, Profile]] = field(default_factory=dict)
    status_written_at: float = 0.0
    status_write: asyncio.Future[None] | None = None
    last_logged: tuple[object, ...] = ()
    evacuation_refused: bool = False  # as last logged

    @classmethod
    def create(cls, section: operators.TierSection, start_up: StartUpSettings) -> ClusterRunner | None:
        """None, after a line for each problem on standard error, where the settings are invalid."""
        try:
            return cls._create(section, start_up)
        except validation.InvalidFileError as error:
            for problem in error.problems:
                print(f"pointgw: {problem.message(error.file)}", file=sys.stderr)
            return None

    @classmethod
    def _create(cls, section: operators.TierSection, start_up: StartUpSettings) -> ClusterRunner:
        peers, listen, own_index = settings.endpoints(
            "tier", section, start_up.peers, start_up.peer_listen, start_up.balancer_index
        )
        zones = start_up.names.zones
        cluster_settings = settings.cluster_settings(
            section, zones, start_up.site.zone, start_up.site.profiles, own_index, len(peers)
        )
        keys = settings.read_keys(section.key_file)
        return cls(cluster_settings, keys, peers, listen, section.status, zones, start_up.profiles)

    async def start(self, reducer: Reducer, loop: asyncio.AbstractEventLoop, seed: int) -> None:
        """Joins the cluster; the balancer serves without it where the address can't be bound."""
        self.reducer = reducer
        node = ClusterNode(
            self.settings, self.keys, Random(f"{seed}/tier/{os.urandom(8).hex()}"), loop.time()
        )
        transport = ClusterTransport(node, self.peers, loop, self._observe, self._apply_plan)
        try:
            await transport.listen(self.listen)
        except OSError as error:
            _log.error("cluster disabled", extra={"fields": {"why": f"{type(error).__name__} {error}"}})
            return
        self.transport = transport
        reducer.on_declined = self._record_declined

    def reload(self, section: operators.TierSection | None) -> None:
        """Applies a change of the zones to evacuate; other changes need a restart."""
        valid = section is not None and set(section.evacuate) < set(self.zones)
        if section is None or not valid:
            why = "no [tier] section, or zones to evacuate that are unknown or all zones"
            _log.error("cluster settings not reloaded", extra={"fields": {"why": why}})
            return
        evacuated_zones = sum(1 << self.zones.index(name) for name in section.evacuate)
        if evacuated_zones != self.settings.evacuated_zones:
            self.settings = replace(self.settings, evacuated_zones=evacuated_zones)
            if self.transport is not None:
                self.transport.node.settings = self.settings
            _log.info("tier", extra={"fields": {"evacuate": ",".join(section.evacuate) or "-"}})

    def stop(self) -> None:
        """Leaves the cluster."""
        if self.transport is not None:
            self.transport.stop()

    def _record_declined(self, tunnel: Tunnel) -> None:
        """Counts a declined client once, however often it retries. Guards against a feedback loop: declined
        clients come again sooner than served ones, and the plan would decline ever more."""
        assert self.transport is not None
        self.declined_clients.pop(tunnel.key, None)
        if len(self.declined_clients) < MAX_DECLINED:
            self.declined_clients[tunnel.key] = (self.transport.loop.time(), tunnel.profile)

    def _observe(self, now: float) -> None:
        if self.transport is None or self.reducer is None or not self.transport.node.observation_is_due(now):
            return
        if not has_evidence(self.reducer):
            return
        while (
            self.declined_clients
            and next(iter(self.declined_clients.values()))[0] < now - DECLINED_COUNTED_FOR
        ):
            del self.declined_clients[next(iter(self.declined_clients))]
        self.transport.node.observe(
            observe_zones(
                self.reducer,
                self.settings.zone_count,
                [profile for _, profile in self.declined_clients.values()],
            ),
            now,
        )

    def _apply_plan(self, now: float) -> None:
        if self.transport is None or self.reducer is None:
            return
        node, balancer = self.transport.node, self.reducer.balancer
        own_shares = node.plan.shares[self.settings.zone]
        all_local = all(share[self.settings.zone] > 1.0 - MIN_LOAD for share in own_shares)
        balancer.zone_shares = {} if all_local else dict(zip(balancer.profiles, own_shares, strict=True))
        agreed = node.agreement.agreed_vote
        to_log = (len(node.members.live_members()), agreed, node.has_map_mismatch(), all_local)
        if to_log != self.last_logged:
            self.last_logged = to_log
            fields = self._status_fields(now) | self._plan_fields(now)
            _log.info("tier", extra={"fields": fields})
        if (node.refused_evacuation is not None) is not self.evacuation_refused:
            self.evacuation_refused = node.refused_evacuation is not None
            if node.refused_evacuation is not None:
                demand, capacity = node.refused_evacuation
                fields = {"need": round(demand, 2), "rest_bears": round(capacity, 2)}
                _log.warning("evacuation refused", extra={"fields": fields})
        if self.status_file and self.status_write is None and now >= self.status_written_at + STATUS_INTERVAL:
            self.status_written_at = now
            self._write_status(now)

    def _status_fields(self, now: float) -> dict[str, object]:
        """Fields of the log line, which are also the head of the status file."""
        assert self.transport is not None
        node = self.transport.node
        agreed = node.agreement.agreed_vote
        closed = [name for zone, name in enumerate(self.zones) if node.agreement.closed_zones >> zone & 1]
        return {
            "there": len(node.members.live_members()), "of": self.settings.member_count,
            "term": agreed.term if agreed is not None else 0, "closed": ",".join(closed) or "-",
            "other_maps": len(node.members.map_mismatches), "doubt": node.members.health_score,
        }  # fmt: skip

    def _plan_fields(self, now: float) -> dict[str, object]:
        """Fields of the log line that tell why traffic leaves the own zone: suspects, and by zone the lowest
        share of a profile, the capacity and the demand."""
        assert self.transport is not None
        node = self.transport.node
        estimates = node.zone_estimates(now)
        rows = zip(*node.plan.shares[self.settings.zone], strict=True)
        return {
            "suspects": len(node.members.live_members()) - len(node.members.unsuspected_members()),
            "shares": ",".join(f"{min(column):.2f}" for column in rows),
            "room": ",".join(f"{estimate.capacity:.2f}" for estimate in estimates),
            "need": ",".join(f"{sum(estimate.demand):.2f}" for estimate in estimates),
        }

    def _write_status(self, now: float) -> None:
        """Starts to replace the status file, which operators read."""
        assert self.transport is not None
        node = self.transport.node
        shares = {
            profile: {zone: round(share, 3) for zone, share in zip(self.zones, row, strict=True)}
            for profile, row in zip(self.profiles, node.plan.shares[self.settings.zone], strict=True)
        }
        zones = {
            name: {
                "room": round(estimate.capacity, 2),
                "warm": round(estimate.warm_capacity, 2),
                "need": round(sum(estimate.demand), 2),
            }
            for name, estimate in zip(self.zones, node.zone_estimates(now), strict=True)
        }
        members = {str(member.index): member.state.name.lower() for member in node.members.peers.values()}
        status = self._status_fields(now) | {
            "me": self.settings.own_index, "members": members, "zones": zones, "shares": shares,
            "figures": dict(node.counters),
        }  # fmt: skip
        data = msgspec.json.encode(status)
        self.status_write = self.transport.loop.run_in_executor(None, replace_file, self.status_file, data)
        self.status_write.add_done_callback(self._status_written)

    def _status_written(self, write: asyncio.Future[None]) -> None:
        self.status_write = None
        error = None if write.cancelled() else write.exception()
        if error is not None:
            _log.error("status not written", extra={"fields": {"why": str(error)}})
            self.status_file = ""  # no further writes, so that this is logged once


def replace_file(file: str, data: bytes) -> None:
    """Replaces a file as a whole or not at all. Raises OSError.

    Runs outside the event loop's thread: on a slow disk the rename waits for the data, and no tunnel would
    be answered meanwhile.
    """
    descriptor, path = tempfile.mkstemp(dir=Path(file).parent, prefix=".tier-")
    with os.fdopen(descriptor, "wb") as out:
        out.write(data)
    os.replace(path, file)


def has_evidence(reducer: Reducer) -> bool:
    """Whether discovery has answered since the start, or a server has reported or opened a tunnel.

    Guards against the closing of zones because many balancers start with an empty or outdated list: servers
    that are not known yet are no lack of capacity.
    """
    return reducer.list_requests.status is not ListStatus.UNCONFIRMED or any(
        server.reported_at > -math.inf or server.tunnels for server in reducer.balancer.active_servers
    )


def observe_zones(reducer: Reducer, zone_count: int, declined: list[Profile]) -> tuple[ZoneObservation, ...]:
    """This balancer's observation of each zone; capacity and load in warm servers of mean size.

    `declined`: profiles of the clients declined lately.
    """
    balancer, now = reducer.balancer, reducer.now
    capacity, warm_capacity, used = [0.0] * zone_count, [0.0] * zone_count, [0.0] * zone_count
    for server in balancer.active_servers:
        zone = server.location.zone
        if 0 <= zone < zone_count:
            size = server.relative_size / balancer.mean_relative_size
            warm_capacity[zone] += size
            share = _usable_share(balancer, server, now)
            capacity[zone] += size * share
            load = server.reported_load if server.reported_busy is not None else balancer.mean_load or 0.0
            used[zone] += size * share * load
    count, open_tunnels = dict.fromkeys(balancer.profiles, 0), 0
    for client in reducer.clients.values():
        if client.tunnel.state is not State.ENDED:
            count[client.tunnel.profile] += 1
            open_tunnels += client.tunnel.state is State.OPEN
    for profile in declined:
        count[profile] += 1
    demand = tuple(count[profile] for profile in balancer.profiles)
    own_zone = balancer.zone
    return tuple(
        ZoneObservation(
            capacity[zone],
            warm_capacity[zone],
            used[zone],
            open_tunnels if zone == own_zone else 0,
            demand if zone == own_zone else (),
        )
        for zone in range(zone_count)
    )


def _usable_share(balancer: Balancer, server: Server, now: float) -> float:
    """The share of its full capacity that a server has now, as far as this balancer knows."""
    if server.process_missing or max(server.ejected_until, server.unstable_until) > now:
        return 0.0
    if server.warm_at <= now:
        return 1.0
    age = max(0.0, now - (server.warm_at - balancer.warm_up_window)) / balancer.warm_up_window
    return balancer.slow_start_share + (1 - balancer.slow_start_share) * age
