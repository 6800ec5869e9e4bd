"""Every decision of the balancer. No I/O, no clock, no words of any wire.

Hand the list in with `update_servers`, make each tunnel with `new_tunnel`, report it with
`tunnel_arrived` (or `tunnel_inherited`) and then what happens to it; `probe_ended`, `list_request_failed` and
`timer_due` (asked for by `Host.set_timer`) are the rest. Times: seconds of the host's clock. Actions,
settings, endings: `pointgw/interface.py`. docs/design.md tells why.

The ordinary path is SRLB's: `_draw` two ready servers, `_offer` the tunnel to the first against the
threshold c, which `_steer` keeps where half of the first offers are accepted (SR_dyn).
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from enum import Enum
from hashlib import blake2b
from heapq import nsmallest
from math import inf
from random import Random

from pointgw.interface import Ending, Host, Profile, Report, ServerEntry, Site

WINDOW_OFFERS = 20  # first offers after which SR_dyn adapts c
MIN_WINDOW_OFFERS = 10  # first offers that a window closed by time needs to change c
MAX_WINDOW_SECONDS = 10.0  # a window with fewer offers is closed after this time
LOW_ACCEPTANCE_RATIO = 0.4  # acceptance ratio of first offers below which c rises
HIGH_ACCEPTANCE_RATIO = 0.6  # acceptance ratio of first offers above which c falls
DEFAULT_LOAD_STEP = 0.05  # step of c, and load of one tunnel until known, where the busy figure is a fraction
NOT_EXECUTED_ENDINGS = ("full", "no-connection", "moot")  # these prove that a setup was not executed
PERIODIC_PROBE_SHARE = 0.005  # credit per arriving tunnel that pays for periodic probes
CANDIDATE_PROBE_SHARE = 0.012  # credit per arriving tunnel that pays for probes of its candidates
MAX_REPORT_AGE_FOR_OFFER = 4  # attempt timeouts; a candidate with an older report is probed before an offer
MAX_REPORT_AGE_FOR_REFUSAL = 10  # attempt timeouts; an older report excludes no server that can be probed
RESERVED_PROBES = 4  # probes whose credit is reserved for the candidates of the next tunnels
MIN_SUBSET_SIZE = 8  # servers in a subset of the list, and balancers for each subset
INITIAL_ARRIVAL_RATE = 0.5  # tunnels a second for each server, until own arrivals are measured
RETRY_BUDGET_GAIN = 0.2  # further setups allowed for each opened tunnel and each control pass
SLOW_START_SAFETY_FACTOR = 0.8  # used share of a cold server's budget; the rest covers chance, uneven tunnels
INFERRED_START_FACTOR = 0.6  # of the budget where the start is inferred: balancers may be more than stated
SLOW_START_CARRY_OVER = 0.25  # overload windows that unused budget is kept: 1 / SLOW_START_SAFETY_FACTOR - 1
# Its multiples modulo 1 lie evenly in 0 to 1, however many there are and whichever are left out.
GOLDEN_RATIO_CONJUGATE = (5**0.5 - 1) / 2
MAX_RELATIVE_SIZE = 2.0  # cap on a server's listed size, in mean sizes
MAX_QUEUE_TIME_SHARE = 0.5  # share of the client timeout for which a tunnel waits for a ready server
PLACEMENT_REPORT_DELAY = 2  # attempt timeouts until a placement shows in the reports
MIGRATION_REPORT_DELAY = 4  # attempt timeouts until a migration shows in the reports
HISTORY_SECONDS = 30.0  # time over which rates, the peak busy figure and failures are remembered
MIN_OBSERVED_TUNNELS = 8  # opened own tunnels from which a report bounds the load of one tunnel
LOAD_ESTIMATE_MARGIN = 2.0  # factor on that bound, as tunnels are uneven
MIN_LOAD_PER_TUNNEL = DEFAULT_LOAD_STEP / 100  # lower bound, whatever is reported
# More own tunnels than this give no lower bound at a reported load of 1.
MAX_OBSERVED_TUNNELS = round(LOAD_ESTIMATE_MARGIN / MIN_LOAD_PER_TUNNEL)
MAX_UNREPORTED_LOAD = 0.1  # load that may be added after a report before a probe is due
MAX_LOAD_LIMIT = 0.65  # load over capacity at which a server is not ready for more, at most
MIN_LOAD_LIMIT = 0.5  # the same, at least
LOAD_LIMIT_OVER_MEAN = 1.2  # the limit is this multiple of the fleet's mean load, within the two bounds
# Load down to which open tunnels are migrated, at most; excess over the target from which they are.
MAX_MIGRATION_TARGET, MIGRATION_MARGIN = 1.25 * MAX_LOAD_LIMIT, 0.2
FEW_OWN_TUNNELS = 3  # open own tunnels at a server; those above this number pay for probes of it
AFFINITY_DISTANCE_PENALTY = 0.06  # reduction of a server's load limit per place from a group's preferred ones
FLEET_RENEWAL_SHARE = 1 / 8  # share of servers started within two warm-up windows that means a fleet renewal
MAX_UNPLACED_GROUPS = 2  # groups without a ready server after which the queue waits for the next timer
SCARCITY_DURATION = 8  # attempt timeouts for which capacity counts as scarce after an unopened tunnel
MIN_FAILURES_FOR_PAUSE = 2  # setups unopened in a row from which one is in progress at a time, after a pause
MAX_PAUSE_DOUBLINGS = 4  # doublings of that pause at most
PREFERRED_SERVERS = 2  # ready servers from the head of a group's own order that are candidates
HASH_MULTIPLIER, MAX_HASH = 0x9E3779B97F4A7C15, 2**64 - 1  # spreads combined hashes evenly over 64 bits
UNSTABLE_PAUSE_FACTOR = 1.5  # pause before an unstable server is ready again, in its longest uptimes
RESTART_LOAD_RATIO = 0.5  # share of its former figure below which a server that returns counts as restarted
MIN_BROKEN_TUNNELS = 2  # own tunnels broken by a server at one moment that suggest a restart
# Servers without a process from which more may be lost; where no list told of them since, power was lost.
MIN_PROCESS_LOSSES = 2
QUICK_MESSAGE_DELAY = 0.1  # attempt timeouts; message delay that shows a server has caught up
SLOW_MESSAGE_DELAY = 0.5  # attempt timeouts; message delay that shows a server piles up work
ASSUMED_OVERLOAD = 1.2  # least load assumed of a slow server until its next report
RECOVERING_DELAY_RATIO = 0.85  # of the delay before; below it a slow server works off its backlog
SILENCE_TIMEOUT = 8  # attempt timeouts without a message after which an open tunnel's server counts as gone
MAX_SILENCE_SECONDS = 6.0  # cap: the protocol allows 7 s, part of which client connections and checks need


def _hash_name(name: str) -> int:
    """The same figure for a name at every balancer."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


class State(Enum):
    """Where a tunnel stands."""

    QUEUED = "held"  # no setup is out; it waits for a server
    PROBING = "asking"  # no setup is out; one of its two candidates is asked for its load
    SETTING_UP = "setting up"
    OPEN = "open"
    ENDED = "ended"


ALLOWED_TRANSITIONS = {
    State.QUEUED: (State.PROBING, State.SETTING_UP, State.OPEN, State.ENDED), State.OPEN: (State.ENDED,),
    State.PROBING: (State.QUEUED, State.SETTING_UP, State.ENDED), State.ENDED: (),
    State.SETTING_UP: (State.QUEUED, State.OPEN, State.ENDED),
}  # fmt: skip


class Setup:
    """One try to set a tunnel up at a server."""

    __slots__ = (
        "erred",
        "in_progress",
        "may_have_run",
        "sent_at",
        "server",
        "server_started_at",
        "was_opened",
    )

    def __init__(self, server: Server, now: float) -> None:
        self.server, self.sent_at, self.in_progress, self.may_have_run = server, now, True, True
        self.server_started_at = server.started_at  # of the process that it was chosen for
        self.was_opened = self.erred = False  # the tunnel was opened by it; it ended in an error


class Tunnel:
    """One client connection, from its arrival to its end."""

    def __init__(
        self, name: str, profile: Profile, tenant: int, key: str, group: str, deadline: float, back: bool
    ) -> None:
        self.name, self.profile, self.tenant, self.key, self.group = name, profile, tenant, key, group
        self.deadline, self.is_returning, self.group_hash = deadline, back, _hash_name(group)
        self.state = State.QUEUED
        self.setups: list[Setup] = []
        self.candidates: list[Server] = []  # its two candidates, while one of them is asked
        self.refusal_reason = ""  # it was answered unopened
        self.load, self.planned_zone = (
            0.0,
            -1,
        )  # work a second, where it is told; where the tier's plan has it

    @property
    def is_finished(self) -> bool:
        return self.state is State.ENDED and not any(s.in_progress for s in self.setups)

    def transition_to(self, state: State) -> None:
        """The one place where a tunnel changes state."""
        if state not in ALLOWED_TRANSITIONS[self.state]:
            raise ValueError(f"tunnel {self.name}: {self.state.value} cannot become {state.value}")
        server = self.setups[-1].server if self.setups else None
        if server is not None and state is State.OPEN:
            server.tunnels[self] = None
            server.tunnels_by_group[self.group] = server.tunnels_by_group.get(self.group, 0) + 1
        elif server is not None and self.state is State.OPEN:
            del server.tunnels[self]
            server.tunnels_by_group[self.group] -= 1
            if not server.tunnels_by_group[self.group]:
                del server.tunnels_by_group[self.group]
        self.state = state


class Server:
    """All that is known of one server."""

    def __init__(self, name: str) -> None:
        self.name, self.name_hash = name, _hash_name(name)
        self.cell, self.zone, self.started_at, self.relative_size = 0, 0, 0.0, 1.0
        self.active = self.listed = self.stale = False
        self.tunnels: dict[Tunnel, None] = {}  # open here, oldest first
        self.tunnels_by_group: dict[str, int] = {}  # of those, how many of each group
        self.pending_setups, self.probing, self.probe_due = (
            0,
            False,
            0.0,
        )  # own setups out; a probe out; the next
        self.tunnels_awaiting_probe: list[Tunnel] = []  # tunnels that wait for the answer to a probe
        self.process_missing, self.previous_warm_at = (
            False,
            0.0,
        )  # found without a process, not heard since; `warm_at` before
        self.broken_tunnels, self.broken_at, self.refused_at = (
            0,
            -inf,
            -inf,
        )  # tunnels broken at a moment; both, when
        self.unconfirmed = False  # no list has told of it since this balancer started
        self.recovered_at, self.longest_uptime = (
            -inf,
            0.0,
        )  # last back from being down; the longest up lately in between
        self.unstable_until = 0.0  # not ready before this, as it fails by turns
        self.reset()

    def reset(self) -> None:
        """A process that has just started is not what the one before it was."""
        self.reported_busy: float | None = None  # of the latest report; None: unheard
        self.reported_load = 0.0  # load over capacity of the latest report
        self.reported_at = self.answered_at = -inf  # when a report, or the answer to a probe, came
        self.unreported_placements: list[
            float
        ] = []  # when own placements were made that the report does not show yet
        self.unreported_openings: deque[float] = deque(
            maxlen=MAX_OBSERVED_TUNNELS
        )  # of those, the ones it has opened
        self.estimate_due = inf  # when a report shows enough of these
        self.max_load_per_tunnel, self.max_load_per_tunnel_at = (
            inf,
            -inf,
        )  # load that one of them adds at most, by a report; when
        self.migrated_at, self.migrated_share = (
            0.0,
            0.0,
        )  # when tunnels were last moved off, and which part of them
        self.message_delay, self.ejected_for_delay = (
            0.0,
            False,
        )  # of the latest slow message; suspended for such
        self.assumed_peer_load, self.estimated_load = (
            0.0,
            -inf,
        )  # load that others may add by chance; that tells of room
        self.warm_at = 0.0  # when a process that started lately has its full capacity at the latest
        self.start_inferred = False  # that is inferred: no list told of its start
        self.start_listed = False  # the list told its start
        self.is_staggered = (
            False  # balancers' first tunnels to it lie evenly apart, by the start that was told
        )
        self.budget_initialised = False  # what this balancer may send it was reckoned since
        self.recent_failures, self.ejected_until = 0, 0.0  # failures lately; not ready before this
        self.trial_due = 0.0  # when it may be tried though suspended, where nothing else is ready
        self.slow_start_budget, self.budget_updated_at = 0.0, 0.0  # tunnels that may be sent while it is cold


class Balancer:
    """The decisions of one balancer."""

    def __init__(self, site: Site, host: Host, rng: Random, now: float) -> None:
        self.host, self.profiles, self.max_setups = host, site.profiles, max(1, site.max_setups)
        self.uniform, self.choice, self.random = rng.uniform, rng.choice, rng.random
        self.servers: dict[str, Server] = {}
        self.balancer_count, self.zone, self.tunnel_quota = (
            max(1, site.balancer_count),
            site.zone,
            site.tunnel_quota,
        )
        self.balancer_index = site.balancer_index
        self.may_cancel, self.max_retry_after = site.may_cancel, site.max_retry_after
        self.attempt_timeout = max(
            0.01, min(p.attempt_timeout for p in site.profiles)
        )  # the pace of what goes by the clock
        self.timer_interval = max(site.timer_resolution, self.attempt_timeout / 4)
        self.answer_margin = max(
            2 * site.timer_resolution, 0.01 * self.attempt_timeout
        )  # to answer before the client gives up
        # Rule 4: what all balancers may send a cold server at the start, as a multiple of its warm rate.
        self.slow_start_share, self.warm_up_window = site.slow_start_share, site.warm_up_window
        self.overload_factor, self.overload_window = site.overload_factor, site.overload_window
        self.only_draining_excludes = site.only_draining_excludes  # rule 3: 'gone' alone does not bind
        self.list_is_polled, self.list_poll_interval = site.list_is_polled, site.list_poll_interval
        self.is_watching_list, self.list_request_due, self.list_retry_delay = (
            False,
            now,
            site.list_poll_interval / 8,
        )
        self.reports_load, self.busy_is_fraction = (
            "load" in site.report_fields,
            "connections" not in site.report_fields,
        )
        self.c, self.c_initialised, self.offers, self.accepted_offers = 1.0, False, 0, 0
        self.window_started_at, self.peak_started_at, self.peak_busy, self.previous_peak_busy = (
            now,
            now,
            0.0,
            0.0,
        )
        self.threshold_step = self.busy_per_tunnel = (
            DEFAULT_LOAD_STEP if self.busy_is_fraction else 1.0
        )  # unit: what one placement adds to busy
        # What one tunnel adds to the load of a server, as reports tell; by the list and the settings alone.
        self.load_per_tunnel = self.initial_load_per_tunnel = DEFAULT_LOAD_STEP
        self.load_limit = self.migration_target = (
            MAX_LOAD_LIMIT  # the load at which a server is full; that moves take it down to
        )
        self.mean_load: float | None = None
        self.mean_busy, self.mean_relative_size, self.sizes_listed = 0.0, 1.0, site.sizes_listed
        self.connection_limit = inf  # connections that a warm server takes at most, where loads are not told
        self.slow_start_rate, self.budget_share = (
            0.0,
            1.0,
        )  # own tunnels a second to one that starts; parts of 1/N
        self.queue_priority: Callable[[Tunnel], float] | None = None  # whoever waits is served in this order
        self.arrival_rate, self.arrivals = 0.0, 0  # own arrivals a second, smoothed; from the first list on
        self.recent_arrival_rate, self.peer_load_rate = (
            0.0,
            0.0,
        )  # the same over SCARCE; load a second that others add to one
        self.is_fleet_renewing = False  # many servers started lately: room is at few, and reports are behind
        self.last_pass_at = self.next_pass_due = self.no_room_until = (
            now  # ... until: a tunnel found no room lately
        )
        self.next_estimate_due = self.timer_at = (
            inf  # when the first report shows what own tunnels add; the next tick
        )
        self.may_probe, self.probe_price = site.may_probe, site.probe_price
        self.queue: dict[Tunnel, None] = {}  # held or asking
        self.zone_shares: dict[Profile, tuple[float, ...]] = {}  # the tier's plan: shares over zones
        self.server_subset: list[Server] | None = (
            None  # those of `active_servers` that are used, where not all can be
        )
        self.subset_offset = self.random()  # its start among every n-th
        self.active_servers: list[Server] = []  # those of `servers` that are active, by mark
        self.probe_credit, self.setups_in_progress = (
            0.0,
            0,
        )  # what probes may still cost, in credit; setups that are out
        self.process_losses = defaultdict[int, deque[float]](
            lambda: deque([-inf] * MIN_PROCESS_LOSSES, MIN_PROCESS_LOSSES)
        )  # of a cell: when
        self.declined: Counter[str] = Counter()  # tunnels answered unopened, by what stood in the way
        self.consecutive_unopened, self.last_unopened_at = (
            0,
            now,
        )  # setups that ended unopened since one was opened; when the last did
        self.retry_budget = self.max_retry_budget = float(
            self.max_setups
        )  # further setups that may be made now
        self._schedule_timer(now, self.timer_interval)

    # The server list.
    def update_servers(self, entries: Iterable[ServerEntry], whole: bool, cached: bool, now: float) -> None:
        """The list, or changes to it. A server that a whole list lacks is gone; where draining binds alone,
        one gone without it stays in use, in doubt until it is heard."""
        if not cached:
            self.is_watching_list, self.list_retry_delay = True, self.list_poll_interval / 8
        changed = False  # who is active; other news, such as weights, come every second
        for server in self.servers.values() if whole else ():
            server.listed = False
        for entry in entries:
            server = self.servers.get(entry.server) or Server(entry.server)
            self.servers[entry.server] = server
            server.cell, server.zone, server.relative_size = (
                entry.cell,
                entry.zone,
                entry.weight if self.sizes_listed else 1.0,
            )
            if entry.started_at != server.started_at:
                if server.started_at or server.listed:
                    self._mark_process_missing(server, entry.started_at)
                server.started_at, server.probe_due = entry.started_at, now
                self._record_process_start(server, entry.started_at, now, True)
            if cached and server.warm_at <= now:
                self._mark_unconfirmed(server, now)
                if not self.list_is_polled:  # pushed: it is current as long as no change comes
                    self.confirm_process(server)
            elif not cached and entry.state != "left":
                self._clear_stale(server, now)
            was, server.listed = server.active, entry.state != "left"
            server.active = entry.state == "active" or (was and self._stays_active(server))
            changed |= server.active != was
        for server in self.servers.values() if not cached else ():  # and what it does not name is as it was
            self.confirm_process(server, True)
        for server in [
            server for server in self.servers.values() if whole and server.active and not server.listed
        ]:
            server.active = self._stays_active(server)
            changed |= not server.active
        if changed:
            active = [server for server in self.servers.values() if server.active]
            self.active_servers, self.server_subset = (
                sorted(active, key=lambda server: (server.name_hash, server.name)),
                None,
            )
            self.mean_relative_size = (
                sum(server.relative_size for server in active) / max(1, len(active)) or 1.0
            )
        if not self.arrival_rate:
            self.arrival_rate = INITIAL_ARRIVAL_RATE * max(1, len(self.active_servers)) / self.balancer_count
            self.load_per_tunnel = (
                min(DEFAULT_LOAD_STEP, len(self.active_servers) / self.tunnel_quota)
                if self.tunnel_quota
                else DEFAULT_LOAD_STEP
            )
            self.initial_load_per_tunnel = self.load_per_tunnel
            self._earn_probe_credit(PERIODIC_PROBE_SHARE * self.arrival_rate * HISTORY_SECONDS)
        if cached and self.list_is_polled and not self.is_watching_list:
            self._request_list(now)
        self._serve_queue(now)

    def _mark_unconfirmed(self, server: Server, now: float) -> None:
        """Rule 4 after an own start: what became of it since is not known, so it is cold from now."""
        self._record_process_start(server, now, now)
        server.unconfirmed = server.start_inferred = True

    @staticmethod
    def confirm_process(server: Server, told: bool = False) -> None:
        """It is the process known before this balancer started, as it is told now, or by a memory of this run
        of the machine, which many that have no process gainsay."""
        if server.unconfirmed:
            server.unconfirmed, server.start_inferred, server.previous_warm_at = not told, False, 0.0
            server.warm_at = server.warm_at if server.process_missing else 0.0

    def _record_process_start(self, server: Server, at: float, now: float, told: bool = False) -> None:
        """A process that started then, cold unless that is long ago; `told` by the list, so alike to all."""
        server.reset()
        server.unconfirmed, server.warm_at = False, at + self.warm_up_window if at else 0.0
        # The balancers must not all spend a first tunnel at the same moment.
        server.slow_start_budget, server.budget_updated_at = self.uniform(0.0, 1.0), now
        server.start_listed = told and at > 0.0
        server.is_staggered = server.start_listed and self.balancer_index >= 0
        if (
            server.is_staggered
        ):  # by the own number and the server's age: alike whenever this balancer itself started
            server.slow_start_budget, server.budget_updated_at = (
                (self.balancer_index * GOLDEN_RATIO_CONJUGATE + server.name_hash / MAX_HASH) % 1.0,
                at,
            )
        self._record_recovery(server, at)
        self._update_load_estimate(server)

    def _stays_active(self, server: Server) -> bool:
        """Whether a server in use that the list no longer has stays so: the list may be wrong about it."""
        stays = self.only_draining_excludes and not server.listed
        if stays:
            self.mark_stale(server)
        return stays

    def list_request_failed(self, now: float) -> None:
        """A call failed or the watch broke: ask again, later each time, apart from the others."""
        self.is_watching_list = False
        self.list_request_due = now + self.list_retry_delay * self.uniform(0.5, 1.5)
        self.list_retry_delay = min(2 * self.list_retry_delay, self.list_poll_interval)

    def _request_list(self, now: float) -> None:
        self.host.watch_list()
        # No answer at all: asked again before this balancer counts as told of what it never heard.
        self.list_request_due = now + self.list_poll_interval * self.uniform(0.6, 0.9)

    @staticmethod
    def mark_stale(server: Server) -> None:
        """Remembered, but for so long that it may be gone: suspended until heard of or listed. Guards tunnels
        from an old memory; where nothing else is ready it takes one at a time."""
        server.stale, server.ejected_until = True, inf

    @staticmethod
    def _clear_stale(server: Server, now: float) -> None:
        if server.stale:
            server.stale, server.ejected_until = False, now

    # Readiness.
    def _select_ready(self, tunnel: Tunnel, servers: list[Server], now: float) -> list[Server]:
        """Not suspended, with room, within the budget of a cold one, or asked first if it had no process."""
        at_all = [server for server in servers if max(server.ejected_until, server.unstable_until) <= now]
        return [
            server
            for server in self._select_with_capacity(tunnel, at_all, now)
            if self._may_receive_tunnel(server, now)
        ]

    def _select_with_capacity(self, tunnel: Tunnel, servers: list[Server], now: float) -> list[Server]:
        # One not heard from since this refuses nobody: it is asked again before an offer.
        again, top = (
            now - MAX_REPORT_AGE_FOR_REFUSAL * self.attempt_timeout if self._can_afford_probe() else -inf,
            self.load_limit,
        )
        grouped = self.is_fleet_renewing and tunnel.group
        if self.connection_limit < inf:
            bound = {
                server: self.connection_limit * self._available_capacity(server, now) for server in servers
            }
            servers = [
                server
                for server in servers
                if server.answered_at < again or self._estimated_busy(server, 0.0) < bound[server]
            ]
        return [
            server
            for server in servers
            if server.answered_at < again
            or server.estimated_load < (self._group_load_limit(tunnel, server) if grouped else top)
        ]

    def _group_load_limit(self, tunnel: Tunnel, server: Server) -> float:
        """The load up to which it takes a group's tunnel while the fleet is renewed: what moves leave it at
        its home, less for each place away. Guards groups from being scattered: where all old servers are
        full, the few with room get a tunnel of each. It hurts who waits while room is far from home."""
        away = (
            0.0
            if tunnel.group in server.tunnels_by_group
            else self._affinity_distance(tunnel, server) * len(self.active_servers) / MAX_HASH
            - PREFERRED_SERVERS
        )
        return MAX_MIGRATION_TARGET - AFFINITY_DISTANCE_PENALTY * max(0.0, away)

    def _update_load_estimate(self, server: Server) -> None:
        """The load that tells whether a server has room: the reported one, with what all balancers are likely
        to have added since. It has room under FULL. Guards against balancers that fill a server between two
        reports, and overload, where a server drops what it holds, which comes again at once. What ended or is
        moved off makes no room before a report shows it: its group may stay, the server stay full."""
        load = self.mean_load if server.reported_busy is None else server.reported_load
        if server.reported_busy is None and server.start_listed and server.warm_at > self.last_pass_at:
            load = 0.0  # new, and its budget guards it: the mean would shut it where the others are full
        server.estimated_load = (
            -inf if load is None else load + self._unreported_load(server) + server.assumed_peer_load
        )  # no report: all have room

    def _unreported_load(self, server: Server) -> float:
        """Load that all balancers are likely to have added since, each as this one did."""
        return len(server.unreported_placements) * (
            min(self.load_per_tunnel, server.max_load_per_tunnel) * self.balancer_count
        )

    def _max_peer_load(self, now: float) -> float:
        """Load that others may add to a server with room, if as many tunnels wait at them, NEWS at most;
        while the fleet is renewed also if as many come to them, until that shows. By chance a part of it.
        Guards against many that each send a tunnel for the same room: some of them hold it for full."""
        if self.balancer_count <= len(self.active_servers):
            return 0.0
        each = self._load_per_peer_placement(now)
        if not self.is_fleet_renewing:
            return min(MAX_UNREPORTED_LOAD, len(self.queue) * each)
        theirs = (
            sum(tunnel.state is State.QUEUED for tunnel in self.queue)
            + self.recent_arrival_rate * PLACEMENT_REPORT_DELAY * self.attempt_timeout
        )
        return min(self.load_limit, theirs * each)

    def _load_per_peer_placement(self, now: float) -> float:
        """Load that a server with room gets if each of the others places one tunnel."""
        where = sum(
            server.estimated_load < self.load_limit and server.ejected_until <= now
            for server in self.active_servers
        )
        return (self.balancer_count - 1) * self.load_per_tunnel / max(1, where)

    @staticmethod
    def _update_max_load_per_tunnel(server: Server, now: float, cut: float) -> None:
        """What one tunnel adds here at most: its report has all in it that it opened before `cut`. Guards
        large, idle servers from being held full. Only room looks at it, not rule 4, as many end."""
        seen = sum(at <= cut for at in server.unreported_openings)
        if seen >= MIN_OBSERVED_TUNNELS:
            server.max_load_per_tunnel, server.max_load_per_tunnel_at = (
                max(LOAD_ESTIMATE_MARGIN * server.reported_load / seen, MIN_LOAD_PER_TUNNEL),
                now,
            )
        elif now - server.max_load_per_tunnel_at > HISTORY_SECONDS:
            server.max_load_per_tunnel = inf
        server.unreported_openings = deque(
            (at for at in server.unreported_openings if at > cut), MAX_OBSERVED_TUNNELS
        )
        server.estimate_due = (
            inf if len(server.unreported_openings) < MIN_OBSERVED_TUNNELS else server.estimate_due
        )

    def _may_receive_tunnel(self, server: Server, now: float) -> bool:
        return (
            server.warm_at <= now
            or (server.process_missing and self._can_afford_probe())
            or self._has_slow_start_budget(server, now)
        )

    def _has_slow_start_budget(self, server: Server, now: float) -> bool:
        """Rule 4: a cold server is ready while this balancer's share of its budget holds a tunnel. One that
        takes long to hold a whole tunnel lapses once it has held one for part of the tip span. Guards against
        many balancers that have all kept a tunnel and send it at the same moment."""
        if server.warm_at <= now:
            return True
        if server.is_staggered and not self.slow_start_rate:  # not reckoned yet since the own start
            return False
        gain = self.slow_start_rate * min(server.relative_size / self.mean_relative_size, MAX_RELATIVE_SIZE)
        gain *= (
            INFERRED_START_FACTOR if server.start_inferred and self.tunnel_quota else 1.0
        )  # not told, a tunnel is taken at its most
        # In turn, no chance is in how many hold a tunnel's worth at one moment: all of the budget is spent,
        # and half of what the limit leaves to chance may be kept. The other half is for heavier tunnels.
        in_turn = server.is_staggered and self.budget_share == 1.0
        gain /= SLOW_START_SAFETY_FACTOR if in_turn else 1.0
        before, share = (
            self._available_capacity(server, server.budget_updated_at),
            self._available_capacity(server, now),
        )
        server.slow_start_budget, server.budget_updated_at = (
            server.slow_start_budget + gain * (before + share) / 2 * (now - server.budget_updated_at),
            now,
        )
        if (
            server.is_staggered and not server.budget_initialised
        ):  # what fell due before may have been spent before an own restart
            server.slow_start_budget, server.budget_initialised = server.slow_start_budget % 1.0, True
        gain *= share
        all_may = gain * self.balancer_count * self.overload_window
        spans = max(all_may, MIN_LOAD_PER_TUNNEL) ** -0.5 if in_turn else SLOW_START_CARRY_OVER
        kept = gain * self.overload_window * spans
        if kept >= 1.0:
            server.slow_start_budget = min(server.slow_start_budget, kept)
        elif server.slow_start_budget > 1.0 + kept:
            server.slow_start_budget = kept + (server.slow_start_budget - kept) % 1.0
        return server.slow_start_budget >= 1.0

    def _available_capacity(self, server: Server, at: float) -> float:
        """Of its capacity, what a server surely has then."""
        age = at - (server.warm_at - self.warm_up_window)
        return min(
            1.0, self.slow_start_share + (1 - self.slow_start_share) * max(0.0, age) / self.warm_up_window
        )

    def _select_candidates(self, tunnel: Tunnel, now: float) -> list[Server]:
        """The ready servers that this tunnel may go to."""
        if self._is_paused(now):
            return []
        pool = self.server_subset or self.active_servers
        able = (
            pool
            if self._is_freely_retryable(tunnel)
            else [server for server in pool if self._is_eligible(tunnel, server, now)]
        )
        ready = self._select_ready(tunnel, able, now)
        if self._requires_affinity(tunnel, now):
            ready = self._select_by_affinity(tunnel, ready)
        if tunnel.setups:
            ready = [
                server for server in ready if all(s.server is not server for s in tunnel.setups)
            ] or ready
        if not ready and pool is not self.active_servers:
            self.server_subset = None  # the others serve until the next round
            return self._select_candidates(tunnel, now)
        # Guards against being left without servers, and a storm: one setup out, none for a time after.
        if not ready:
            due = [
                server
                for server in able
                if max(server.ejected_until, server.unstable_until) > now >= server.trial_due
                and not server.pending_setups
            ]
            ready = [
                server
                for server in self._select_with_capacity(tunnel, due, now)
                if self._may_receive_tunnel(server, now)
            ]
        return ready

    def _is_paused(self, now: float) -> bool:
        """Guards against trying more where nothing opens: what all servers depend on is slow, and what times
        out is work for it too, or this balancer is cut off. It hurts who waits at the end of such a time."""
        pause = self.attempt_timeout * 2 ** min(
            self.consecutive_unopened - MIN_FAILURES_FOR_PAUSE, MAX_PAUSE_DOUBLINGS
        )
        return self.consecutive_unopened >= MIN_FAILURES_FOR_PAUSE and (
            self.setups_in_progress > 0 or now < self.last_unopened_at + pause
        )

    @staticmethod
    def _is_freely_retryable(tunnel: Tunnel) -> bool:
        """Rule 2: another setup has no second effect, wherever it goes."""
        return tunnel.profile.semantics == "repeatable" or not any(s.may_have_run for s in tunnel.setups)

    @staticmethod
    def _is_eligible(tunnel: Tunnel, server: Server, now: float) -> bool:
        """Rule 2: where another setup has no second effect."""
        if Balancer._is_freely_retryable(tunnel):
            return True
        if tunnel.profile.semantics == "once-only":
            return False
        first, group = next(s for s in tunnel.setups if s.may_have_run), tunnel.profile.dedup_scope
        same = group == "all" or (
            first.server.zone == server.zone if group == "zone" else first.server.cell == server.cell
        )
        return same and now < first.sent_at + tunnel.profile.dedup_window

    @staticmethod
    def may_decline(tunnel: Tunnel) -> bool:
        """Rule 2: a decline says that another try is harmless."""
        return Balancer._is_freely_retryable(tunnel) or (
            tunnel.profile.semantics == "referenced" and tunnel.profile.dedup_scope == "all"
        )

    # The ordinary path.
    def _estimated_busy(self, server: Server, mean: float) -> float:
        return (mean if server.reported_busy is None else server.reported_busy) + len(
            server.unreported_placements
        ) * self.busy_per_tunnel

    def _servers_with_reports(self) -> list[Server]:
        return [server for server in self.active_servers if server.reported_busy is not None]

    def _draw_candidates(self, tunnel: Tunnel, ready: list[Server]) -> list[Server]:
        """Two different ready servers at random: of those that hold the tunnel's group, first those in the
        own zone; else of the group's home or the own zone. A server pays once a group; crossings cost."""
        if len(ready) < 2:
            return ready
        held = [server for server in ready if tunnel.group in server.tunnels_by_group] if tunnel.group else []
        near = [
            server
            for server in held or ready
            if server.zone == (self.zone if tunnel.planned_zone < 0 else tunnel.planned_zone)
        ]
        last = (
            self._preferred_servers(tunnel, ready) if tunnel.group and self._concentrates_groups() else near
        )
        pools = [near, held, last] if held else [last]
        first = self._pick_server(ready, pools, None)
        return [first, self._pick_server(ready, pools, first)]

    def _pick_server(self, ready: list[Server], pools: list[list[Server]], but: Server | None) -> Server:
        left = ([server for server in pool if server is not but] for pool in (*pools, ready))
        return self.choice(next(servers for servers in left if servers))

    def _concentrates_groups(self) -> bool:
        """Whether groups are gathered, not kept in the zone: where the fleet is crowded, or own tunnels
        hardly tell where one is. Guards against groups scattered over a large fleet by a mass arrival."""
        return (
            self.balancer_count > len(self.active_servers)
            or (self.mean_load or 0.0) * LOAD_LIMIT_OVER_MEAN > MIN_LOAD_LIMIT
        )

    def _requires_affinity(self, tunnel: Tunnel, now: float) -> bool:
        return (
            bool(tunnel.group)
            and now < self.no_room_until
            and self._concentrates_groups()
            and not self.is_fleet_renewing
        )

    def _select_by_affinity(self, tunnel: Tunnel, ready: list[Server]) -> list[Server]:
        """Where room is scarce, the ready servers that hold the group, and others the nearer to its home the
        fuller they are. Guards a fleet that fills again after a mass break: a server with a little room would
        pay for nearly as many groups as tunnels. It hurts one that waits while room is far from home."""
        far, home, group = (
            AFFINITY_DISTANCE_PENALTY * len(self.active_servers) / MAX_HASH,
            AFFINITY_DISTANCE_PENALTY * PREFERRED_SERVERS,
            tunnel.group,
        )
        fuller = {
            server: server.estimated_load + max(home, far * self._affinity_distance(tunnel, server))
            for server in ready
        }
        return [
            server
            for server in ready
            if group in server.tunnels_by_group or fuller[server] < self.load_limit + home
        ]

    @staticmethod
    def _preferred_servers(tunnel: Tunnel, ready: list[Server]) -> list[Server]:
        """The first ready servers in an order of the group's own, the same at all balancers, though none sees
        the others' tunnels; it goes on to the next ones as these fill."""
        return nsmallest(
            PREFERRED_SERVERS, ready, key=lambda server: Balancer._affinity_distance(tunnel, server)
        )

    @staticmethod
    def _affinity_distance(tunnel: Tunnel, server: Server) -> int:
        return (tunnel.group_hash ^ server.name_hash) * HASH_MULTIPLIER & MAX_HASH

    def _offer(self, tunnel: Tunnel, now: float) -> None:
        """SRLB: the first candidate takes the tunnel if it is busy under c, else the second must. One whose
        report is old is asked first; one that has no room then is drawn anew."""
        first, mean = tunnel.candidates[0], self.mean_busy
        taken = False
        # Rule 1: a tunnel that waits for an answer is looked at again before its time is out.
        late = now + 2 * self.timer_interval >= tunnel.deadline
        for server in tunnel.candidates:
            age = now - server.reported_at
            grown = (
                age > self.attempt_timeout
                and server.estimated_load + self.peer_load_rate * age >= self.load_limit
            )
            old = (
                server.process_missing
                or now - server.answered_at > MAX_REPORT_AGE_FOR_OFFER * self.attempt_timeout
                or grown
                or self._may_have_restarted(server, now)
            )
            if not late and old and (server.probing or self._can_afford_probe()):
                self._request_load(server)
                server.tunnels_awaiting_probe.append(tunnel)
                tunnel.transition_to(State.PROBING)
                self._enqueue(tunnel, now)
                return
            self.peak_busy = max(self.peak_busy, self._estimated_busy(server, mean))
            taken = server is first and self._estimated_busy(server, mean) < self.c
            if taken:
                break
        if len(tunnel.candidates) > 1:
            self.offers, self.accepted_offers = self.offers + 1, self.accepted_offers + taken
        chosen = first if taken else tunnel.candidates[-1]
        if not self._has_slow_start_budget(
            chosen, now
        ):  # it could not be asked, or its budget went meanwhile
            self._queue_or_answer(tunnel, now)
            return
        if self.offers >= WINDOW_OFFERS:
            self._adapt_threshold(now)
        self._send_setup(tunnel, chosen, now)

    def _earn_probe_credit(self, spend: float) -> None:
        """Probes are paid from the credit of own tunnels; two rounds and what open ones pay are kept: guards
        against many balancers that each probe at a pace which none pays for."""
        top = 2 * max(RESERVED_PROBES, len(self.active_servers)) * self.probe_price
        top += PERIODIC_PROBE_SHARE * sum(
            max(0, len(server.tunnels) - FEW_OWN_TUNNELS) for server in self.active_servers
        )
        self.probe_credit = min(self.probe_credit + spend, top)

    def _can_afford_probe(self, kept: int = 0) -> bool:
        return self.may_probe and self.probe_credit >= (1 + kept) * self.probe_price

    def _request_load(self, server: Server) -> None:
        if not server.probing:
            self.probe_credit -= self.probe_price
            server.probing = True
            self.host.probe(server)

    def _resume_after_probe(self, server: Server, now: float) -> None:
        waiting, server.tunnels_awaiting_probe = server.tunnels_awaiting_probe, []
        for tunnel in [waits for waits in waiting if waits.state is State.PROBING]:
            tunnel.transition_to(State.QUEUED)
            if len(
                self._select_ready(tunnel, [server for server in tunnel.candidates if server.active], now)
            ) == len(tunnel.candidates):
                self._offer(tunnel, now)
            else:
                self._place(tunnel, now)

    def _initialise_threshold(self) -> None:
        """c starts anew at the median of the first figures heard, half acceptance already: guards against one
        that stays far from the figures all day, where each offer is plain chance."""
        heard = sorted(server.reported_busy or 0.0 for server in self._servers_with_reports())
        if 2 * len(heard) > len(self.active_servers):
            self.c, self.c_initialised = heard[len(heard) // 2], True

    def _adapt_threshold(self, now: float) -> None:
        """SR_dyn: the end of a window. c moves a step toward half acceptance; the counts start again."""
        ratio = (
            self.accepted_offers / self.offers
            if self.offers >= MIN_WINDOW_OFFERS
            else (LOW_ACCEPTANCE_RATIO + HIGH_ACCEPTANCE_RATIO) / 2
        )
        if ratio < LOW_ACCEPTANCE_RATIO and self.c < max(self.peak_busy, self.previous_peak_busy):
            self.c = min(self.c + self.threshold_step, max(self.peak_busy, self.previous_peak_busy))
        elif ratio > HIGH_ACCEPTANCE_RATIO and self.c > 0:
            self.c = max(0.0, self.c - self.threshold_step)
        self.offers, self.accepted_offers, self.window_started_at = 0, 0, now

    # Tunnels.
    def new_tunnel(
        self, name: str, profile: int, tenant: int, key: str, group: str, deadline: float, back: bool
    ) -> Tunnel:
        return Tunnel(name, self.profiles[profile], tenant, key, group, deadline - self.answer_margin, back)

    def tunnel_arrived(self, tunnel: Tunnel, midflow: bool, now: float) -> None:
        self.arrivals += 1
        self._earn_probe_credit(PERIODIC_PROBE_SHARE + CANDIDATE_PROBE_SHARE)
        # A mid-flow tunnel goes to the server that has it, as far as this balancer has seen it.
        holders = (
            server for server in self.active_servers if any(t.key == tunnel.key for t in server.tunnels)
        )
        holder = next(holders, None) if midflow and tunnel.key else None
        if holder is not None:
            self._send_setup(tunnel, holder, now)
        elif self.queue_priority and any(
            self.queue_priority(other) <= self.queue_priority(tunnel) for other in self.queue
        ):
            self._enqueue(tunnel, now)
        else:
            self._place(tunnel, now)

    def tunnel_inherited(self, tunnel: Tunnel, server: Server, now: float) -> None:
        tunnel.setups.append(Setup(server, now))
        tunnel.setups[-1].was_opened = True
        tunnel.transition_to(State.OPEN)
        # Guards against a start on reports that were made before these tunnels stood.
        server.probe_due = min(server.probe_due, now + PLACEMENT_REPORT_DELAY * self.attempt_timeout)
        self._earn_probe_credit(PERIODIC_PROBE_SHARE if len(server.tunnels) > FEW_OWN_TUNNELS else 0.0)

    def _place(self, tunnel: Tunnel, now: float) -> None:
        """Sends a held tunnel on, keeps it held while a server may yet turn up, or answers it."""
        if (
            now >= tunnel.deadline
            or len(tunnel.setups) >= self.max_setups
            or not self._assign_planned_zone(tunnel)
        ):
            self._answer_unopened(tunnel, now)
            return
        ready = self._select_candidates(tunnel, now)
        if ready:
            tunnel.candidates = self._draw_candidates(tunnel, ready)
            self._offer(tunnel, now)
        else:
            self._queue_or_answer(tunnel, now)

    def _queue_or_answer(self, tunnel: Tunnel, now: float) -> None:
        # Guards rule 1: what can't wait for the next look is answered now.
        (self._enqueue if self._is_worth_queueing(tunnel, now) else self._answer_unopened)(tunnel, now)

    def _assign_planned_zone(self, tunnel: Tunnel) -> bool:
        """The tier's plan, where there is one: a zone by its shares, the same at each try of a client. What
        is missing to 1 no zone can bear: it is turned away where it came, and handed on to nobody."""
        left = (
            (tunnel.group_hash if tunnel.group else _hash_name(tunnel.key)) / MAX_HASH
            if self.zone_shares
            else 0.0
        )
        for zone, share in enumerate(self.zone_shares.get(tunnel.profile, ()) if not tunnel.setups else ()):
            left -= share
            if left < 0.0:
                tunnel.planned_zone = zone
                return True
        return bool(tunnel.setups) or not self.zone_shares

    def _enqueue(self, tunnel: Tunnel, now: float) -> None:
        self.queue[tunnel] = None
        self._schedule_timer(now, self.timer_interval)

    def _is_worth_queueing(self, tunnel: Tunnel, now: float) -> bool:
        """Waiting may help: a list, a report or a cold budget may come."""
        if not self._is_freely_retryable(tunnel) and not all(
            self._is_eligible(tunnel, server, now) for server in self.active_servers
        ):
            return False
        left = tunnel.deadline - now
        return (
            left > self.timer_interval and left > (1.0 - MAX_QUEUE_TIME_SHARE) * tunnel.profile.client_timeout
        )

    def _send_setup(self, tunnel: Tunnel, server: Server, now: float) -> None:
        self.queue.pop(tunnel, None)
        tunnel.setups.append(Setup(server, now))
        tunnel.transition_to(State.SETTING_UP)
        server.unreported_placements.append(now)
        server.pending_setups, self.setups_in_progress = (
            server.pending_setups + 1,
            self.setups_in_progress + 1,
        )
        self._update_load_estimate(server)
        server.slow_start_budget -= server.warm_at > now
        self.host.setup(tunnel, server, min(tunnel.profile.attempt_timeout, tunnel.deadline - now))

    def _find_refusal_reason(self, tunnel: Tunnel, now: float) -> str:
        """What kept a tunnel from a server, for the log: of what keeps servers back, what was nearest."""
        able = [server for server in self.active_servers if self._is_eligible(tunnel, server, now)]
        well = [server for server in able if max(server.ejected_until, server.unstable_until) <= now]
        room = self._select_with_capacity(tunnel, well, now)
        may_get = [server for server in room if self._may_receive_tunnel(server, now)]
        steps = (
            (self.active_servers, "no_list"), (len(tunnel.setups) < self.max_setups, "setups"),
            (not self._is_paused(now), "pause"), (able, "no_repeat"), (well, "ejected"), (room, "full"),
            (may_get, "cold"),
            (
                may_get
                and (not self._requires_affinity(tunnel, now) or self._select_by_affinity(tunnel, may_get)),
                "home",
            ),
        )  # fmt: skip
        return next((why for holds, why in steps if not holds), "time")

    def _answer_unopened(self, tunnel: Tunnel, now: float, why: str = "") -> None:
        tunnel.refusal_reason = why or self._find_refusal_reason(tunnel, now)
        self.declined[tunnel.refusal_reason] += 1
        self.queue.pop(tunnel, None)
        tunnel.transition_to(State.ENDED)
        self.no_room_until = now + SCARCITY_DURATION * self.attempt_timeout
        if self.may_decline(tunnel) and now < tunnel.deadline + self.answer_margin:
            self.host.decline(tunnel, min(self.max_retry_after, 2 * tunnel.profile.attempt_timeout))
        else:
            self.host.close_with_error(tunnel)

    def setup_opened(self, tunnel: Tunnel, number: int, now: float) -> None:
        if tunnel.state is State.SETTING_UP and number == len(tunnel.setups) - 1:
            tunnel.transition_to(State.OPEN)
            setup = tunnel.setups[number]
            setup.was_opened = True
            self._clear_stale(setup.server, now)
            if setup.server.process_missing and not self.may_probe:
                self._record_return(setup.server, None, 0.0, now)
            setup.server.unreported_openings.extend([setup.sent_at] * self.reports_load)
            if len(setup.server.unreported_openings) == MIN_OBSERVED_TUNNELS:
                setup.server.estimate_due = setup.sent_at + PLACEMENT_REPORT_DELAY * self.attempt_timeout
                self.next_estimate_due = min(self.next_estimate_due, setup.server.estimate_due)
            setup.server.pending_setups, self.setups_in_progress, self.consecutive_unopened = (
                setup.server.pending_setups - 1,
                self.setups_in_progress - 1,
                0,
            )
            setup.server.recent_failures -= (
                setup.server.ejected_until <= now and setup.server.recent_failures > 0
            )
            self.retry_budget = min(self.retry_budget + RETRY_BUDGET_GAIN, self.max_retry_budget)

    def may_write_request(self, tunnel: Tunnel, number: int, now: float) -> bool:
        """Its connection is up: rules 1 to 3 bind what is written now, not only what was chosen before."""
        setup = tunnel.setups[number]
        holds = (
            setup.in_progress
            and tunnel.state is State.SETTING_UP
            and setup.server.active
            and now < tunnel.deadline
        )
        setup.may_have_run = holds and self._is_eligible(tunnel, setup.server, now)
        # Guards rule 4 where a restart was told while it was dialled: the new process has its own budget.
        if setup.may_have_run and setup.server.started_at != setup.server_started_at:
            setup.may_have_run = self._has_slow_start_budget(setup.server, now)
            setup.server.slow_start_budget -= setup.may_have_run and setup.server.warm_at > now
        return setup.may_have_run

    def setup_ended(
        self, tunnel: Tunnel, number: int, ending: Ending, closed: bool, told: Report, now: float
    ) -> None:
        setup = tunnel.setups[number]
        setup.in_progress, setup.may_have_run, was_open = (
            False,
            ending not in NOT_EXECUTED_ENDINGS,
            setup.was_opened,
        )
        setup.server.pending_setups, self.setups_in_progress = (
            setup.server.pending_setups - (not was_open),
            self.setups_in_progress - (not was_open),
        )
        if not was_open and ending in ("timeout", "full", "error", "no-connection"):
            self.consecutive_unopened, self.last_unopened_at = self.consecutive_unopened + 1, now
        if told:
            self._record_report(setup.server, told, now)
        setup.erred = ending == "error" and not was_open
        blamed = [s.server for s in tunnel.setups[:number] if s.erred and s.server is not setup.server]
        spoilt = setup.erred and bool(blamed)
        if spoilt:
            # Guards the servers' standing against a tunnel that each of them fails: no third one is tried.
            for server in blamed:
                server.ejected_until, server.recent_failures = now, max(0, server.recent_failures - 1)
        elif ending in ("error", "timeout", "no-connection") or (ending == "full" and setup.server.active):
            self._record_failure(setup.server, ending, now)
        elif ending == "reset":  # a process that ends breaks all at once; one overdriven does not
            setup.server.probe_due = min(setup.server.probe_due, now)
            at_once = now <= setup.server.broken_at + self.timer_interval
            setup.server.broken_tunnels, setup.server.broken_at = (
                1 + setup.server.broken_tunnels * at_once,
                now,
            )
        if tunnel.state is State.ENDED:
            return
        if closed:
            self.queue.pop(tunnel, None)
            tunnel.transition_to(State.ENDED)
        elif not was_open:
            if not setup.may_have_run and setup.sent_at in setup.server.unreported_placements:
                setup.server.unreported_placements.remove(setup.sent_at)
                self._update_load_estimate(setup.server)
            tunnel.transition_to(State.QUEUED)
            # Guards against a storm of our own making: where little is opened, little is tried again.
            if self.retry_budget >= 1.0 and not spoilt:
                self.retry_budget -= 1.0
                self._place(tunnel, now)
            else:
                self._answer_unopened(tunnel, now, "retries")
        else:  # an open tunnel whose end was not final
            tunnel.transition_to(State.ENDED)
            self.host.close_with_error(tunnel)

    def client_left(self, tunnel: Tunnel, now: float) -> None:
        self.queue.pop(tunnel, None)
        if tunnel.state is State.ENDED:
            return
        was_open = tunnel.state is State.OPEN
        tunnel.transition_to(State.ENDED)
        for number, setup in enumerate(() if was_open else tunnel.setups):
            if setup.in_progress and (
                self.may_cancel or not setup.may_have_run
            ):  # what was not sent can be dropped
                self.host.cancel(tunnel, number)

    def record_load(self, tunnel: Tunnel, load: float, now: float) -> None:
        """Guards against a tunnel that grows heavy while its server's last report still looks well."""
        if tunnel.state is State.OPEN:
            server = tunnel.setups[-1].server
            usual = self._mean_tunnel_load(server.tunnels)
            if (load - (tunnel.load or usual)) * self.load_per_tunnel >= MAX_UNREPORTED_LOAD * usual:
                server.probe_due = min(server.probe_due, now + PLACEMENT_REPORT_DELAY * self.attempt_timeout)
        tunnel.load = load

    @staticmethod
    def _mean_tunnel_load(tunnels: Iterable[Tunnel]) -> float:
        known = [tunnel.load for tunnel in tunnels if tunnel.load]
        return sum(known) / len(known) if known else 1.0

    def record_delay(self, tunnel: Tunnel, delay: float, now: float) -> None:
        """Messages at its server take long: it is asked for its load and suspended, and a part of its tunnels
        is moved off as from one asked for too much, again after LATE unless messages grow quicker. Guards
        against whatever is slow for this balancer while reports look well: an untrue or old report, a noisy
        neighbour, an ageing machine, a way, a slow-down of all. Own messages are evidence that a report is
        not. It hurts where one tunnel's messages are slow by themselves, until quick ones lift it."""
        if tunnel.state is not State.OPEN:
            return
        server = tunnel.setups[-1].server
        if delay <= QUICK_MESSAGE_DELAY * self.attempt_timeout and server.ejected_for_delay:
            server.ejected_for_delay, server.ejected_until = False, now
        elif delay > SLOW_MESSAGE_DELAY * self.attempt_timeout:
            server.ejected_for_delay = True
            server.probe_due = min(server.probe_due, max(now, server.reported_at + self.attempt_timeout))
            self._record_failure(server, "timeout", now)
            if delay > RECOVERING_DELAY_RATIO * server.message_delay:
                server.reported_load = max(server.reported_load, ASSUMED_OVERLOAD)
                self._update_load_estimate(server)
                self._migrate_excess(server, now, PLACEMENT_REPORT_DELAY)
        server.message_delay = delay

    def record_silence(self, tunnel: Tunnel, span: float, now: float) -> None:
        """Guards against a machine that vanishes: its connections stay open and bring nothing back."""
        if tunnel.state is State.OPEN and span >= min(
            SILENCE_TIMEOUT * self.attempt_timeout, MAX_SILENCE_SECONDS
        ):
            self._record_failure(tunnel.setups[-1].server, "timeout", now)
            tunnel.transition_to(State.ENDED)
            self.host.migrate(tunnel)

    # Health.
    def _record_failure(self, server: Server, ending: Ending, now: float) -> None:
        server.trial_due = now + PLACEMENT_REPORT_DELAY * self.attempt_timeout * self.uniform(0.5, 1.5)
        if server.ejected_until <= now:
            server.recent_failures = min(server.recent_failures + 1, 4)
            server.ejected_until = now + self.attempt_timeout * 4 * 2**server.recent_failures * self.uniform(
                0.8, 1.2
            )
        if ending == "no-connection":
            self.process_losses[server.cell].extend(() if server.process_missing else (now,))
            server.refused_at = now
            self._mark_process_missing(server, now)
            # Many of an old list, never heard: the power of all may have gone, so none is taken to be warm.
            old = [other for other in self.active_servers if other.unconfirmed]
            gone = (
                sum(other.process_missing and other.reported_at < 0.0 for other in old) >= MIN_PROCESS_LOSSES
            )
            for other in [o for o in old if o.warm_at <= now] if gone else ():
                self._mark_unconfirmed(other, now)

    def _may_have_restarted(self, server: Server, now: float) -> bool:
        """Several of its cell lost their process lately, and of this one nothing was seen since: no report,
        no own tunnel that stands. Guards rule 4 where a rack or all power goes: a balancer that had nothing
        there would fill it at once. It hurts what was idle before."""
        first, last = self.process_losses[server.cell]
        seen = server.reported_at >= last or any(
            tunnel.setups[-1].sent_at < last for tunnel in server.tunnels
        )
        return not seen and now - first < self.warm_up_window

    def _mark_process_missing(self, server: Server, at: float) -> None:
        """It has no process. Until it is heard, it may get what one that starts then may."""
        if not server.process_missing:
            server.process_missing = True
            server.longest_uptime = (
                max(server.longest_uptime, at - server.recovered_at)
                if at - server.recovered_at < HISTORY_SECONDS
                else 0.0
            )
            server.previous_warm_at, server.warm_at = server.warm_at, inf
            server.slow_start_budget, server.budget_updated_at = (
                min(server.slow_start_budget, self.uniform(0.0, 1.0)),
                at,
            )

    def _record_return(self, server: Server, figure: float | None, load: float, now: float) -> None:
        """One that had no process, or broke own tunnels at a moment, answers again. Rule 4, where no list
        tells: it was out of reach or full if it holds half of what it and all others did, and own tunnels
        stand or its load is more than a new one grows to; not after both. Else it started now: its report
        before may be an old one, and others may fill it at once. It hurts one that emptied meanwhile."""
        at, before = (
            max(server.refused_at, server.broken_at),
            max(self.mean_busy, server.reported_busy or 0.0),
        )
        warm_at = server.previous_warm_at if server.process_missing else server.warm_at
        told = (
            server.reported_busy is None and warm_at > now and not server.start_inferred
        )  # started lately, and not heard since
        old = (
            any(t.setups[-1].sent_at < at for t in server.tunnels)
            or self._min_seconds_to_reach(load) > now - at + self.attempt_timeout
        )
        if told or (
            old
            and (figure or 0.0) > RESTART_LOAD_RATIO * before
            and not (server.process_missing and server.broken_tunnels >= MIN_BROKEN_TUNNELS)
        ):
            server.warm_at = warm_at
        else:
            self._record_process_start(server, now, now)
            server.start_inferred = True
        server.broken_tunnels = 0
        self._record_recovery(server, now)

    def _min_seconds_to_reach(self, load: float) -> float:
        """How long a load takes at least to come within the budget that all spend on one that starts."""
        return (
            load * self.warm_up_window / (SLOW_START_SAFETY_FACTOR * MAX_RELATIVE_SIZE * self.overload_factor)
        )

    @staticmethod
    def _record_recovery(server: Server, at: float) -> None:
        """Guards against a server that fails by turns, whatever the cause: it would break tunnels each time.
        Once it has fallen again within LONG it is held back for longer than it ever stayed up; one that
        restarts once is not. It hurts one just mended after several falls, for as long as those lay apart."""
        if server.process_missing:
            server.process_missing, server.recovered_at = False, at
            server.unstable_until = at + UNSTABLE_PAUSE_FACTOR * server.longest_uptime

    # Reports.
    def probe_ended(self, server: Server, ending: Ending, report: Report, now: float) -> None:
        server.probing, server.answered_at = False, now
        if ending == "ok":
            self._clear_stale(server, now)
        elif ending == "moot":  # it never went out
            self.probe_credit += self.probe_price
        if ending == "ok" and report:
            self._record_report(server, report, now)
            self._migrate_excess(server, now)
        elif ending == "ok" and server.process_missing:
            self._record_return(server, None, 0.0, now)
        elif ending in ("error", "timeout", "no-connection", "reset"):
            self._record_failure(server, ending, now)
        self._resume_after_probe(server, now)

    def _record_report(self, server: Server, report: Report, now: float) -> None:
        load = report.get("load", 0.0)
        figure = next((report[word] for word in ("connections", "load", "backlog") if word in report), None)
        empty = (
            self._may_have_restarted(server, now) and (figure or 0.0) <= RESTART_LOAD_RATIO * self.mean_busy
        )
        if server.process_missing or server.broken_tunnels >= MIN_BROKEN_TUNNELS or empty:
            self._record_return(server, figure, load, now)
        server.reported_load, server.reported_at, server.answered_at = load, now, now
        if server.start_inferred:
            server.warm_at = min(server.warm_at, now - self._min_seconds_to_reach(load) + self.warm_up_window)
        server.reported_busy = server.reported_busy if figure is None else figure
        # Guards against reports that are late: what was placed just before is not in them yet.
        cut = now - PLACEMENT_REPORT_DELAY * self.attempt_timeout
        server.unreported_placements = [at for at in server.unreported_placements if at > cut]
        if "load" in report:
            self._update_max_load_per_tunnel(server, now, cut)
            server.assumed_peer_load = self.uniform(0.0, self._max_peer_load(now))
        self._update_load_estimate(server)
        if not self.c_initialised:
            self._initialise_threshold()

    def _migrate_excess(self, server: Server, now: float, settle: float = MIGRATION_REPORT_DELAY) -> None:
        """Moves this balancer's share of what a server holds too much. Guards against a server asked for more
        than it can do: it would answer late and drop tunnels anyway. All hear the same load: the same part of
        each one's tunnels takes it to the level, a crowded fleet's median, against clients sent round. Where
        that is under its top, it gives up whole groups, the least at home first: light tunnels keep what
        groups cost."""
        server.migrated_share = (
            0.0 if now - server.migrated_at >= settle * self.attempt_timeout else server.migrated_share
        )
        if server.reported_load < self.migration_target + MIGRATION_MARGIN or not server.tunnels:
            return
        # What was moved off so lately is not in the report yet.
        part = 1.0 - self.migration_target / server.reported_load / (1.0 - server.migrated_share)
        if part < MIGRATION_MARGIN * bool(server.migrated_share):
            return
        server.migrated_share, server.migrated_at = 1.0 - (1.0 - server.migrated_share) * (1.0 - part), now
        if len(server.tunnels) > FEW_OWN_TUNNELS:  # whether it was enough
            server.probe_due = min(server.probe_due, now + MIGRATION_REPORT_DELAY * self.attempt_timeout)
        whole = (
            server.reported_load >= 1.0
            and self.migration_target < MAX_MIGRATION_TARGET
            and len(server.tunnels) > FEW_OWN_TUNNELS
        )
        usual = self._mean_tunnel_load(server.tunnels)
        cost = self._mean_tunnel_load(
            tunnel for at in self.active_servers for tunnel in at.tunnels
        )  # about what a group costs
        units: dict[Tunnel | str, list[Tunnel]] = {}
        for tunnel in reversed(server.tunnels):
            units.setdefault((whole and tunnel.group) or tunnel, []).append(tunnel)
        weight = {u: sum(t.load or usual for t in units[u]) + cost * isinstance(u, str) for u in units}
        excess = part * sum(weight.values())
        # Else the heaviest first, then the newest: the fewest clients are sent round.
        far = {
            unit: self._affinity_distance(units[unit][0], server) if isinstance(unit, str) else unit.load
            for unit in units
        }
        for unit in sorted(units, key=lambda u: -far[u]):
            if excess < weight[unit] * self.random():
                break
            excess -= weight[unit]
            for tunnel in units[unit]:
                tunnel.transition_to(State.ENDED)
                self.host.migrate(tunnel)

    # By the clock.
    def _schedule_timer(self, now: float, delay: float) -> None:
        if now + delay < self.timer_at - 1e-6:
            self.timer_at = now + delay
            self.host.set_timer(delay)

    def timer_due(self, now: float) -> None:
        if now < self.timer_at - 1e-3:
            return  # a timer that an earlier one has overtaken
        self.timer_at = inf
        try:
            if now >= self.next_pass_due:
                self._run_control_pass(now)
            elif now >= self.next_estimate_due and self.may_probe:
                # Guards tunnels that wait from being declined just before a report can tell of room.
                self._probe_servers(now)
            self._serve_queue(now)
        finally:  # guards who waits against a fault here: without the next tick nobody would be served again
            self._schedule_timer(
                now, self.timer_interval if self.queue else max(self.next_pass_due - now, self.timer_interval)
            )

    def _run_control_pass(self, now: float) -> None:
        span, self.last_pass_at = now - self.last_pass_at, now
        self.next_pass_due = now + self.attempt_timeout
        self.arrival_rate += (
            (self.arrivals - self.arrival_rate * span) * min(1.0, span / HISTORY_SECONDS) / max(span, 1e-6)
        )
        lately = min(1.0, span / (SCARCITY_DURATION * self.attempt_timeout)) / max(span, 1e-6)
        self.recent_arrival_rate += (self.arrivals - self.recent_arrival_rate * span) * lately
        self.arrivals = 0
        # Guards tunnels on a quiet day, where hardly any opens, from being declined at their first failure.
        self.retry_budget = min(self.retry_budget + RETRY_BUDGET_GAIN, self.max_retry_budget)
        if self.list_is_polled and not self.is_watching_list and now >= self.list_request_due:
            self._request_list(now)
        if now - self.window_started_at >= MAX_WINDOW_SECONDS:
            self._adapt_threshold(now)
        if now - self.peak_started_at >= HISTORY_SECONDS:
            self.previous_peak_busy, self.peak_busy, self.peak_started_at = self.peak_busy, 0.0, now
        self._update_fleet_estimates(span)
        young = sum(
            server.start_listed and server.warm_at > now - self.warm_up_window
            for server in self.active_servers
        )
        self.is_fleet_renewing = self.balancer_count > len(
            self.active_servers
        ) and young > FLEET_RENEWAL_SHARE * len(self.active_servers)
        self.peer_load_rate = (
            self.recent_arrival_rate * self._load_per_peer_placement(now) if self.is_fleet_renewing else 0.0
        )
        if self.may_probe:
            self._probe_servers(now)

    def _update_fleet_estimates(self, span: float) -> None:
        """What the limit is, what one tunnel adds to a load, and what a cold server may get."""
        heard = self._servers_with_reports()
        total = sum(server.reported_load for server in heard)
        if heard:
            self.mean_load = total / len(heard)
            self.mean_busy = sum(self._estimated_busy(server, 0.0) for server in heard) / len(heard)
            # Guards a server from a fleet's tunnels that all find it first, as a home or as new: where
            # loads are not told, none takes over 1.25 times the mean of connections at those in use, by what
            # it can do at its age; with those to come, if several wait here. It hurts who could do more.
            well = [
                server
                for server in heard
                if server.ejected_until <= self.last_pass_at and not server.process_missing
            ]
            if (
                well
                and not self.reports_load
                and not self.busy_is_fraction
                and self.balancer_count > len(self.active_servers)
            ):
                able = sum(self._available_capacity(server, self.last_pass_at) for server in well)
                come = max(0, len(self.queue) - 1) * self.balancer_count
                stand = sum(self._estimated_busy(server, 0.0) for server in well)
                self.connection_limit = (
                    max(1.0, (stand + come) / able) * MAX_MIGRATION_TARGET / MAX_LOAD_LIMIT
                )
            # Guards against tunnels that wait while no server is near its top; a plan says how full they get.
            usual = (
                MAX_LOAD_LIMIT
                if self._has_queued_tunnels()
                else min(max(MIN_LOAD_LIMIT, LOAD_LIMIT_OVER_MEAN * self.mean_load), MAX_LOAD_LIMIT)
            )
            self.load_limit = MAX_MIGRATION_TARGET if self.zone_shares else usual
            median = sorted(server.reported_load for server in heard)[len(heard) // 2]
            self.migration_target = min(max(self.load_limit, median), MAX_MIGRATION_TARGET)
        count = sum(len(server.tunnels) for server in heard)
        if count >= 2 * len(heard) > 0:
            # Never nought, also where no load is reported. It rises slowly: guards one that has just started,
            # holds few tunnels where the others hold many, and would find all servers full.
            seen = (
                max(total / (count * self.balancer_count), MIN_LOAD_PER_TUNNEL)
                if total
                else DEFAULT_LOAD_STEP
            )
            self.load_per_tunnel = min(
                seen, self.load_per_tunnel + (seen - self.load_per_tunnel) * min(1.0, span / HISTORY_SECONDS)
            )
            self.busy_per_tunnel = self.load_per_tunnel if self.busy_is_fraction else self.busy_per_tunnel
        for server in self.active_servers:
            self._update_load_estimate(server)
        # Rule 4. A server that starts can take as many tunnels a second as fill it over its warm-up. Settings
        # tell what fills it: guards against a storm that raises it, and many tunnels that seem to be light.
        warm = 1.0 / (max(self.load_per_tunnel, self.initial_load_per_tunnel) * self.warm_up_window)
        self.slow_start_rate = (
            SLOW_START_SAFETY_FACTOR * self.overload_factor * warm / self.balancer_count * self.budget_share
        )

    def set_budget_share(self, part: float, now: float) -> None:
        """Rule 4: balancers lend one another parts of the budget; what was saved is by the part before."""
        for server in self.active_servers:
            self._has_slow_start_budget(server, now)
        self.slow_start_rate, self.budget_share = self.slow_start_rate / self.budget_share * part, part

    def _probe_servers(self, now: float) -> None:
        """Probes each server so often that these probes cost a set part of the credit asked for."""
        live = self.active_servers
        every = max(
            len(live) * self.probe_price / (max(self.arrival_rate, 0.01) * PERIODIC_PROBE_SHARE),
            2 * self.timer_interval,
        )
        self._choose_subset(every)
        every *= len(self.server_subset or live) / max(1, len(live))
        waits = (
            self.balancer_count <= len(live) and self._has_queued_tunnels()
        )  # else each asks for too few tunnels
        # From a start by chance: where not all can be probed, balancers probe others.
        use = self.server_subset or live
        first = int(self.random() * len(use))
        for server in use[first:] + use[:first]:
            # Guards against tunnels that wait for servers which have long had room again.
            age = now - server.reported_at
            news = age >= self.attempt_timeout and self._unreported_load(server) >= MAX_UNREPORTED_LOAD
            if waits and server.estimated_load >= self.load_limit and age >= self.attempt_timeout:
                news, waits = True, False
            # Guards against paying for reports of servers that may get nothing yet, whatever they tell.
            gets = server.tunnels or server.process_missing or self._has_slow_start_budget(server, now)
            if server.ejected_until > now + PLACEMENT_REPORT_DELAY * self.attempt_timeout or not gets:
                continue
            look = server.estimate_due <= now and bool(self.queue)
            due = look or news or server.probe_due <= now
            if due and not server.probing and self._can_afford_probe(0 if look else RESERVED_PROBES):
                # A probe may bring no report, as when the server has none yet: asked again sooner.
                wait = (
                    min(every, PLACEMENT_REPORT_DELAY * self.attempt_timeout)
                    if server.reported_busy is None
                    else every
                )
                server.probe_due = now + wait * self.uniform(0.8, 1.2)
                self._request_load(server)
        self.next_estimate_due = min(
            (server.estimate_due for server in self.active_servers if server.estimate_due > now), default=inf
        )

    def _choose_subset(self, every: float) -> None:
        """Where own tunnels can't pay for asking two candidates, nor probes by the clock keep all reports, a
        balancer takes every n-th of the list from a start of its own: by mark, out of step with zones and
        kinds; as many balancers share a part as leave no server without one."""
        n = 1
        if self.may_probe and 2 * self.probe_price > PERIODIC_PROBE_SHARE + CANDIDATE_PROBE_SHARE:
            n = min(
                int(every / HISTORY_SECONDS),
                len(self.active_servers) // MIN_SUBSET_SIZE,
                self.balancer_count // MIN_SUBSET_SIZE,
            )
        self.server_subset = self.active_servers[int(self.subset_offset * n) :: n] if n > 1 else None

    def _has_queued_tunnels(self) -> bool:
        return any(tunnel.state is State.QUEUED for tunnel in self.queue)

    def _serve_queue(self, now: float) -> None:
        none_ready = set[str]()  # for tunnels that may go anywhere, or of that group: they need not all look
        for tunnel in (
            sorted(self.queue, key=self.queue_priority) if self.queue_priority else list(self.queue)
        ):
            if tunnel.state is State.PROBING and now + 2 * self.timer_interval >= tunnel.deadline:
                tunnel.transition_to(State.QUEUED)  # no time is left to wait for an answer
                # Guards rule 4: a cold server's budget may have gone to another tunnel meanwhile.
                drawn = [
                    server
                    for server in tunnel.candidates
                    if server.active and self._has_slow_start_budget(server, now)
                ]
                ready = self._select_ready(tunnel, drawn, now)
                if ready:
                    self._send_setup(tunnel, ready[-1], now)
                else:
                    self._answer_unopened(tunnel, now)
            elif tunnel.state is State.QUEUED:
                group = tunnel.group if self.is_fleet_renewing else ""
                found = group in none_ready or len(none_ready) >= MAX_UNPLACED_GROUPS
                if not found or tunnel.setups or not self._is_worth_queueing(tunnel, now):
                    self._place(tunnel, now)
                    none_ready.update((group,) if tunnel.state is State.QUEUED else ())
