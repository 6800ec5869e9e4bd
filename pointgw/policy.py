"""The balancer's decisions: which server gets a tunnel, when, and what happens to it afterwards.

This module does no I/O, reads no clock and knows no wire format. A host reports events by calling the methods
of `Balancer` and carries out the actions that these request of `Host` (see `pointgw/interface.py`, which also
defines settings and endings). All times are seconds of the host's clock. docs/design.md gives the reasons.

Events: `update_servers` takes the server list. `new_tunnel` makes a tunnel, `tunnel_arrived` or
`tunnel_inherited` report it, `setup_opened`, `setup_ended`, `client_left` and the `record_*` methods what
happens to it. `probe_ended`, `list_request_failed` and `timer_due` (requested by `Host.set_timer`) follow up
the balancer's own requests.

How a tunnel is placed:

- `_select_candidates` keeps the servers that are eligible by rule 2 and ready: not ejected, with an estimated
  load under the limit and, while cold, with slow-start budget left.
- `_draw_candidates` draws two of them.
- `_offer` makes the SRLB offer: the first candidate accepts if its busy figure is under the threshold c,
  else the second one must take the tunnel. A candidate with an outdated report is probed first.
- `_adapt_threshold` moves c so that about half of the first offers are accepted (SR_dyn).
- A tunnel without a ready server is queued, and declined or closed with error before its deadline (rule 1).

Other decisions:

- Load estimates (`_update_load_estimate`): the reported load, and what all balancers may have added since.
- Slow start (`_has_slow_start_budget`): rule 4 limits the rate at which all balancers together fill a server
  that has started lately; each has its share of this as a budget of tunnels.
- Ejection (`_record_failure`): a server that fails is not ready for a time that grows with each failure.
  `_record_return` decides whether one that answers again has restarted and is cold.
- Affinity (`_preferred_servers`, `_group_load_limit`): a server pays for a group once, so the tunnels of a
  group go to servers that hold it, or to the first ones in the group's own order.
- Migration (`_migrate_excess`): open tunnels are moved off a server that reports overload.
- Probe credit (`_earn_probe_credit`): probes cost credit, which own tunnels earn. Where they earn too little,
  the balancer uses a subset of the servers (`_choose_subset`).
- The control pass (`_run_control_pass`), once per attempt timeout, updates estimates and sends due probes.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from enum import Enum
from hashlib import blake2b
from heapq import nsmallest
from math import inf
from random import Random
from typing import NamedTuple

from pointgw.interface import (
    UNKNOWN_WEIGHT,
    Ending,
    Host,
    Location,
    Profile,
    Report,
    ServerEntry,
    Site,
)

WINDOW_OFFERS = 20  # first offers after which SR_dyn adapts c
MIN_WINDOW_OFFERS = 10  # first offers that a window closed by time needs to change c
MAX_WINDOW_SECONDS = 10.0  # a window with fewer offers is closed after this time
LOW_ACCEPTANCE_RATIO = 0.4  # acceptance ratio of first offers below which c rises
HIGH_ACCEPTANCE_RATIO = 0.6  # acceptance ratio of first offers above which c falls
DEFAULT_LOAD_STEP = 0.05  # load of one tunnel until known; step of c where the busy figure is a fraction
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
MIN_FAILURES_FOR_PAUSE = 2  # setups unopened in a row, after which one is made at a time, each after a pause
MAX_PAUSE_DOUBLINGS = 4  # doublings of that pause at most
PREFERRED_SERVERS = 2  # ready servers from the head of a group's own order that are candidates
HASH_MULTIPLIER, MAX_HASH = 0x9E3779B97F4A7C15, 2**64 - 1  # spreads combined hashes evenly over 64 bits
UNSTABLE_PAUSE_FACTOR = 1.5  # pause before an unstable server is ready again, in its longest uptimes
RESTART_LOAD_RATIO = 0.5  # share of its former figure below which a server that returns counts as restarted
MIN_BROKEN_TUNNELS = 2  # own tunnels broken by a server at one moment that suggest a restart
# Servers found without a process from which on others may have lost theirs unnoticed. Power counts as lost
# if that many of them were not confirmed by a list since this balancer started.
MIN_PROCESS_LOSSES = 2
QUICK_MESSAGE_DELAY = 0.1  # attempt timeouts; message delay that shows a server has caught up
SLOW_MESSAGE_DELAY = 0.5  # attempt timeouts; message delay that shows a server piles up work
ASSUMED_OVERLOAD = 1.2  # least load assumed of a slow server until its next report
RECOVERING_DELAY_RATIO = 0.85  # of the delay before; below it a slow server works off its backlog
SILENCE_TIMEOUT = 8  # attempt timeouts without a message after which an open tunnel's server counts as gone
MAX_SILENCE_SECONDS = 6.0  # cap: the protocol allows 7 s, part of which client connections and checks need


def _hash_name(name: str) -> int:
    """Returns a 64-bit hash of a name that is the same at every balancer."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


class State(Enum):
    """The state of a tunnel; the values appear in error messages."""

    QUEUED = "queued"  # no setup in progress; waits for a server
    PROBING = "probing"  # no setup in progress; waits for the probe of a candidate
    SETTING_UP = "setting up"
    OPEN = "open"
    ENDED = "ended"


ALLOWED_TRANSITIONS = {
    State.QUEUED: (State.PROBING, State.SETTING_UP, State.OPEN, State.ENDED), State.OPEN: (State.ENDED,),
    State.PROBING: (State.QUEUED, State.SETTING_UP, State.ENDED), State.ENDED: (),
    State.SETTING_UP: (State.QUEUED, State.OPEN, State.ENDED),
}  # fmt: skip


class Setup:
    """One attempt to set a tunnel up at a server."""

    __slots__ = (
        "ended_in_error",
        "in_progress",
        "location",
        "may_have_run",
        "sent_at",
        "server",
        "server_started_at",
        "was_opened",
    )

    def __init__(self, server: Server, now: float) -> None:
        self.server, self.sent_at, self.in_progress, self.may_have_run = server, now, True, True
        self.server_started_at = server.started_at  # identifies the process that was selected
        self.location = server.location  # as listed now: the entry may have changed when it is repeated
        self.was_opened = self.ended_in_error = False


class Tunnel:
    """One client's request and its connection, from arrival to end."""

    def __init__(
        self,
        name: str,
        profile: Profile,
        tenant: int,
        key: str,
        group: str,
        deadline: float,
        is_returning: bool,
    ) -> None:
        self.name, self.profile, self.tenant, self.key, self.group = name, profile, tenant, key, group
        self.deadline, self.is_returning, self.group_hash = deadline, is_returning, _hash_name(group)
        self.state = State.QUEUED
        self.setups: list[Setup] = []
        self.candidates: list[Server] = []  # one or two, while an offer waits for a probe
        self.refusal_reason = ""  # set when the tunnel is answered unopened
        # Reported work a second, 0 if unknown; zone that the cluster's plan assigns, -1 if none.
        self.load, self.planned_zone = 0.0, -1

    @property
    def is_finished(self) -> bool:
        """Whether the tunnel has ended and no setup of it is in progress."""
        return self.state is State.ENDED and not any(s.in_progress for s in self.setups)

    def transition_to(self, state: State) -> None:
        """Changes the state and keeps the server's table of open tunnels up to date.

        Nothing else sets the state. Raises ValueError if the transition is not allowed.
        """
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
    """What this balancer knows of one server."""

    def __init__(self, name: str) -> None:
        self.name, self.name_hash = name, _hash_name(name)
        self.location, self.started_at, self.relative_size = Location(0, 0), 0.0, 1.0
        self.active = self.listed = self.stale = False
        self.tunnels: dict[Tunnel, None] = {}  # own open tunnels, oldest first
        self.tunnels_by_group: dict[str, int] = {}  # number of own open tunnels of each group
        # Own setups in progress; whether a probe is in progress; when the next probe is due.
        self.pending_setups, self.probing, self.probe_due = 0, False, 0.0
        self.tunnels_awaiting_probe: list[Tunnel] = []
        # Whether it was found without a process and has not answered since; `warm_at` before that.
        self.process_missing, self.previous_warm_at = False, 0.0
        # Own tunnels that it broke at one moment; when; when it last refused a connection.
        self.broken_tunnels, self.broken_at, self.refused_at = 0, -inf, -inf
        self.unconfirmed = False  # no list has confirmed its process since this balancer started
        # When it last returned without a process missing; its longest uptime between recent failures.
        self.recovered_at, self.longest_uptime = -inf, 0.0
        self.unstable_until = 0.0  # not ready before this time, as it failed repeatedly
        self.reset()

    def remove_placement(self, sent_at: float) -> bool:
        """Removes a placement without effect; False if it is reported. The search begins at the latest."""
        for position in range(len(self.unreported_placements) - 1, -1, -1):
            at = self.unreported_placements[position]
            if at == sent_at:
                del self.unreported_placements[position]
                return True
            if at < sent_at:
                return False
        return False

    def reset(self) -> None:
        """Forgets what applied to the former process of the server."""
        self.reported_busy: float | None = None  # busy figure of the latest report; None: no report
        self.reported_load = 0.0  # load over capacity of the latest report
        self.reported_at = self.answered_at = -inf  # latest report; latest report or end of a probe
        # Times of own placements not yet in a report, in order: the latest, as reports may never come.
        self.unreported_placements: deque[float] = deque(maxlen=MAX_OBSERVED_TUNNELS)
        self.unreported_openings: deque[float] = deque(maxlen=MAX_OBSERVED_TUNNELS)  # those that were opened
        self.estimate_due = inf  # when a report will include enough of these for an estimate
        # Upper bound of the load of one tunnel by a report; when it was made.
        self.max_load_per_tunnel, self.max_load_per_tunnel_at = inf, -inf
        self.migrated_at, self.migrated_share = 0.0, 0.0  # latest migration of own tunnels; their share
        self.message_delay, self.ejected_for_delay = 0.0, False  # seconds of the latest reported message
        # Random estimate of the load that other balancers add; the estimate by which it is ready.
        self.assumed_peer_load, self.estimated_load = 0.0, -inf
        self.warm_at = 0.0  # latest time at which a recently started process has its full capacity
        self.start_inferred = False  # its start was inferred; no list stated it
        self.start_listed = False  # the list stated its start
        self.is_staggered = False  # the listed start and the balancer's index set when a first tunnel is due
        self.budget_initialised = False  # the slow-start budget was computed since the start
        self.recent_failures, self.ejected_until = 0, 0.0  # recent failures; not ready before this time
        self.trial_due = 0.0  # when it may be tried though ejected, if no server is ready
        self.slow_start_budget, self.budget_updated_at = 0.0, 0.0  # tunnels that may be sent while it is cold


class ProcessLoss(NamedTuple):
    """A server was found without a process at this time; `confirmed`: a list had confirmed it before."""

    server: Server
    at: float
    confirmed: bool


class Balancer:
    """The decisions of one balancer, with all state that they need."""

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
        # The shortest of the profiles; also the unit of most pauses and intervals.
        self.attempt_timeout = max(0.01, min(p.attempt_timeout for p in site.profiles))
        # Seconds until the queue is served again.
        self.timer_interval = max(site.timer_resolution, self.attempt_timeout / 4)
        # Time kept to answer before the client's timeout.
        self.answer_margin = max(2 * site.timer_resolution, 0.01 * self.attempt_timeout)
        # Rule 4: what all balancers may send a cold server at the start, as a multiple of its warm rate.
        self.slow_start_share, self.warm_up_window = site.slow_start_share, site.warm_up_window
        self.overload_factor, self.overload_window = site.overload_factor, site.overload_window
        self.only_draining_excludes = site.only_draining_excludes  # rule 3: removal alone does not exclude
        self.list_is_polled, self.list_poll_interval = site.list_is_polled, site.list_poll_interval
        self.is_watching_list, self.list_request_due, self.list_retry_delay = (
            False,
            now,
            site.list_poll_interval / 8,
        )
        self.list_is_current = False  # discovery has answered, and no newer list is known to be on its way
        self.list_valid_until = inf  # rule 3: no setup by the list from then on until a newer one comes
        self.reports_load, self.busy_is_fraction = (
            "load" in site.report_fields,
            "connections" not in site.report_fields,
        )
        self.c, self.c_initialised, self.offers, self.accepted_offers = 1.0, False, 0, 0
        # Start of the window of offers and of the period for the peak; highest busy figures that tunnels
        # were offered to in this period and in the one before.
        self.window_started_at, self.peak_started_at, self.peak_busy, self.previous_peak_busy = (
            now,
            now,
            0.0,
            0.0,
        )
        # Step of c; what one placement adds to a busy figure.
        self.threshold_step = self.busy_per_tunnel = DEFAULT_LOAD_STEP if self.busy_is_fraction else 1.0
        # What one tunnel adds to a server's load, by reports; by the list and the quota, None: not known.
        self.load_per_tunnel = DEFAULT_LOAD_STEP
        self.listed_load_per_tunnel: float | None = None
        self.largest_server_count = 0  # active servers in the largest list so far
        # Estimated load from which a server is not ready; reported load that migration aims at.
        self.load_limit = self.migration_target = MAX_LOAD_LIMIT
        self.mean_load: float | None = None
        self.mean_busy, self.mean_relative_size, self.sizes_listed = 0.0, 1.0, site.sizes_listed
        self.connection_limit = inf  # connections that a warm server takes at most, if loads are not reported
        # Own tunnels a second for a cold server of mean size at full capacity; own budget in parts of 1/N.
        self.slow_start_rate, self.budget_share = 0.0, 1.0
        # Queued tunnels are served in ascending order of this; None: in order of arrival.
        self.queue_priority: Callable[[Tunnel], float] | None = None
        self.arrival_rate, self.arrivals = 0.0, 0  # own arrivals a second, smoothed; since the last pass
        # The same over SCARCITY_DURATION; load a second that other balancers add to a ready server.
        self.recent_arrival_rate, self.peer_load_rate = 0.0, 0.0
        self.is_fleet_renewing = False  # many servers started lately: few have capacity, and reports lag
        # Latest control pass; next one; end of the time in which capacity counts as scarce.
        self.last_pass_at = self.next_pass_due = self.no_room_until = now
        self.next_estimate_due = self.timer_at = inf  # the servers' next `estimate_due`; the requested timer
        self.may_probe, self.probe_price = site.may_probe, site.probe_price
        self.queue: dict[Tunnel, None] = {}  # tunnels that are QUEUED or PROBING
        self.zone_shares: dict[Profile, tuple[float, ...]] = {}  # the cluster's plan: shares of the zones
        self.server_subset: list[Server] | None = None  # the active servers that are used; None: all
        self.subset_offset = self.random()  # own offset among every n-th server, as a fraction of n
        self.active_servers: list[Server] = []  # the active ones of `servers`, ordered by hash
        self.probe_credit, self.setups_in_progress = 0.0, 0  # credit left for probes
        # Servers of each cell that were found without a process within a warm-up window, oldest first.
        self.process_losses = defaultdict[int, list[ProcessLoss]](list)
        self.declined: Counter[str] = Counter()  # tunnels answered unopened, by reason
        # Setups that ended unopened since one was opened; when the last of them ended; their servers.
        self.consecutive_unopened, self.last_unopened_at = 0, now
        self.unopened_servers: set[Server] = set()
        self.retry_budget = self.max_retry_budget = float(self.max_setups)  # further setups allowed now
        self._schedule_timer(now, self.timer_interval)

    # The server list.
    def update_servers(
        self, entries: Iterable[ServerEntry], is_complete: bool, is_cached: bool, now: float
    ) -> None:
        """Takes the server list (`is_complete`) or changes to it; `is_cached`: it may be outdated.

        A server that a complete list lacks is removed. Where only draining excludes (`Site`), a server that
        is removed without having drained stays in use, but stale until it answers or is listed again.
        """
        if not is_cached:
            self.is_watching_list, self.list_retry_delay = True, self.list_poll_interval / 8
            self.list_is_current = True
        changed = False  # the set of active servers; other updates, such as weights, come every second
        for server in self.servers.values() if is_complete else ():
            server.listed = False
        for entry in entries:
            server = self.servers.get(entry.server) or Server(entry.server)
            self.servers[entry.server] = server
            server.location, server.relative_size = entry.location, self._relative_size(entry)
            if entry.started_at != server.started_at:
                if server.started_at or server.listed:
                    self._mark_process_missing(server, entry.started_at)
                server.started_at, server.probe_due = entry.started_at, now
                self._record_process_start(server, entry.started_at, now, True)
            if is_cached and server.warm_at <= now:
                self._mark_unconfirmed(server, now)
                if not self.list_is_polled:  # a pushed list is current until a change comes
                    self.confirm_process(server)
            elif not is_cached and entry.state != "left":
                self._clear_stale(server, now)
            was_active, server.listed = server.active, entry.state != "left"
            server.active = entry.state == "active" or (was_active and self._stays_active(server))
            changed |= server.active != was_active
        # A current update also confirms the servers that it does not name: they have not changed.
        for server in self.servers.values() if not is_cached else ():
            self.confirm_process(server, True)
        for server in [
            server for server in self.servers.values() if is_complete and server.active and not server.listed
        ]:
            server.active = self._stays_active(server)
            changed |= not server.active
        self._forget_losses_of_old_list()
        if changed:
            active = [server for server in self.servers.values() if server.active]
            self.active_servers, self.server_subset = (
                sorted(active, key=lambda server: (server.name_hash, server.name)),
                None,
            )
            self.mean_relative_size = (
                sum(server.relative_size for server in active) / max(1, len(active)) or 1.0
            )
            if not any(server.active for server in self.unopened_servers):
                # What failed was a list of servers that have gone: it says nothing of the present ones.
                self.consecutive_unopened = 0
                self.unopened_servers.clear()
        self._update_initial_estimates()
        if is_cached and self.list_is_polled and not self.is_watching_list:
            self._request_list(now)
        self._serve_queue(now)

    def _relative_size(self, entry: ServerEntry) -> float:
        """Returns the listed size of a server; an unknown one counts as the smallest, which bears least."""
        if not self.sizes_listed:
            return 1.0
        if entry.weight != UNKNOWN_WEIGHT:
            return entry.weight
        return min((server.relative_size for server in self.active_servers), default=1.0)

    def _update_initial_estimates(self) -> None:
        """Estimates a tunnel's load and the arrivals by the list and the settings alone.

        Guards rule 4 after a start with an empty or partial list: the estimate of the load follows the
        largest list so far, as servers that are listed later had their part of the quota all the time.
        """
        count = len(self.active_servers)
        if count <= self.largest_server_count:
            return
        is_first, self.largest_server_count = not self.largest_server_count, count
        if self.tunnel_quota:
            self.listed_load_per_tunnel = min(DEFAULT_LOAD_STEP, count / self.tunnel_quota)
        if is_first:
            self.load_per_tunnel = self._min_load_per_tunnel()
            initial_rate = INITIAL_ARRIVAL_RATE * count / self.balancer_count
            self.arrival_rate = max(self.arrival_rate, initial_rate)
            self._earn_probe_credit(PERIODIC_PROBE_SHARE * self.arrival_rate * HISTORY_SECONDS)

    def _min_load_per_tunnel(self) -> float:
        """Returns a lower bound of a tunnel's load; a cautious, high one while the list has not given any."""
        return DEFAULT_LOAD_STEP if self.listed_load_per_tunnel is None else self.listed_load_per_tunnel

    def _mark_unconfirmed(self, server: Server, now: float) -> None:
        """Treats a server as cold from now on, as its process may have restarted before this balancer did.

        Guards rule 4 after a start of this balancer.
        """
        self._record_process_start(server, now, now)
        server.unconfirmed = server.start_inferred = True

    @staticmethod
    def confirm_process(server: Server, by_list: bool = False) -> None:
        """Takes the server's process to be the one known before this balancer started.

        `by_list`: a current list shows that. Otherwise a snapshot of the same boot does, which is no longer
        believed once several unconfirmed servers are found without a process (`_record_failure`).
        """
        if server.unconfirmed:
            server.unconfirmed, server.start_inferred, server.previous_warm_at = not by_list, False, 0.0
            server.warm_at = server.warm_at if server.process_missing else 0.0

    def _record_process_start(
        self, server: Server, started_at: float, now: float, by_list: bool = False
    ) -> None:
        """Records a process that started at `started_at`, cold unless that is 0 (long ago).

        `by_list`: the list stated the start, so all balancers have the same.
        """
        server.reset()
        server.unconfirmed, server.warm_at = False, started_at + self.warm_up_window if started_at else 0.0
        # A random fraction of a tunnel: the balancers' first tunnels must not all be due at the same moment.
        server.slow_start_budget, server.budget_updated_at = self.uniform(0.0, 1.0), now
        server.start_listed = by_list and started_at > 0.0
        server.is_staggered = server.start_listed and self.balancer_index >= 0
        # Set by the own index and the server's start alone: the same whenever this balancer itself started.
        if server.is_staggered:
            server.slow_start_budget, server.budget_updated_at = (
                (self.balancer_index * GOLDEN_RATIO_CONJUGATE + server.name_hash / MAX_HASH) % 1.0,
                started_at,
            )
        self._record_recovery(server, started_at)
        self._update_load_estimate(server)

    def _stays_active(self, server: Server) -> bool:
        """Whether a server missing from the list stays in use, as the list may be wrong; marks it stale."""
        stays = self.only_draining_excludes and not server.listed
        if stays:
            self.mark_stale(server)
        return stays

    def list_request_failed(self, now: float) -> None:
        """Schedules another list request, with growing and randomised delay, after a failed or broken one."""
        self.is_watching_list = False
        self.mark_list_outdated()
        self.list_request_due = now + self.list_retry_delay * self.uniform(0.5, 1.5)
        self.list_retry_delay = min(2 * self.list_retry_delay, self.list_poll_interval)

    def mark_list_outdated(self) -> None:
        """Records that a newer list may be on its way: a request failed, or another discovery is asked."""
        self.list_is_current = False

    def _request_list(self, now: float) -> None:
        """Requests the list, and again later unless an answer comes."""
        self.host.watch_list()
        # Before the poll interval ends: after it this balancer counts as notified of changes it never
        # received.
        self.list_request_due = now + self.list_poll_interval * self.uniform(0.6, 0.9)

    @staticmethod
    def mark_stale(server: Server) -> None:
        """Ejects a remembered server that may be gone; the ejection ends when it answers or is listed.

        Guards tunnels against an old snapshot. If no other server is ready, it is tried with one setup at a
        time.
        """
        server.stale, server.ejected_until = True, inf

    @staticmethod
    def _clear_stale(server: Server, now: float) -> None:
        """Ends the ejection of a stale server, which has answered or is listed."""
        if server.stale:
            server.stale, server.ejected_until = False, now

    # Readiness.
    def _select_ready(self, tunnel: Tunnel, servers: list[Server], now: float) -> list[Server]:
        """Selects servers that are not ejected, have capacity, and are warm or within the slow-start budget.

        One that had no process is included if it can be probed first.
        """
        if now >= self.list_valid_until:
            return []
        not_ejected = [
            server for server in servers if max(server.ejected_until, server.unstable_until) <= now
        ]
        return [
            server
            for server in self._select_with_capacity(tunnel, not_ejected, now)
            if self._may_receive_tunnel(server, now)
        ]

    def _select_with_capacity(self, tunnel: Tunnel, servers: list[Server], now: float) -> list[Server]:
        """Selects servers under the load limit, or the connection limit where loads are not reported."""
        # A server that has not answered since then is not excluded: it is probed before an offer.
        outdated_before, limit = (
            now - MAX_REPORT_AGE_FOR_REFUSAL * self.attempt_timeout if self._can_afford_probe() else -inf,
            self.load_limit,
        )
        by_group = self.is_fleet_renewing and tunnel.group
        if self.connection_limit < inf:
            max_busy = {
                server: self.connection_limit * self._available_capacity(server, now) for server in servers
            }
            servers = [
                server
                for server in servers
                if server.answered_at < outdated_before
                or self._estimated_busy(server, 0.0) < max_busy[server]
            ]
        return [
            server
            for server in servers
            if server.answered_at < outdated_before
            or server.estimated_load < (self._group_load_limit(tunnel, server) if by_group else limit)
        ]

    def _group_load_limit(self, tunnel: Tunnel, server: Server) -> float:
        """Returns the load limit of a server for tunnels of a group while the fleet is being renewed.

        It is MAX_MIGRATION_TARGET at the servers that the group prefers or is at, and falls with the distance
        from these. Guards groups against being scattered: while all old servers are full, the few with
        capacity would get a tunnel of each group. The cost: tunnels wait although a distant server has
        capacity.
        """
        distance = (
            0.0
            if tunnel.group in server.tunnels_by_group
            else self._affinity_distance(tunnel, server) * len(self.active_servers) / MAX_HASH
            - PREFERRED_SERVERS
        )
        return MAX_MIGRATION_TARGET - AFFINITY_DISTANCE_PENALTY * max(0.0, distance)

    def _update_load_estimate(self, server: Server) -> None:
        """Estimates the load that decides whether a server is ready: it has to be under `load_limit`.

        It is the reported load and what all balancers are likely to have added since. Guards against
        balancers that fill a server between two reports, and against overload, in which a server drops
        tunnels whose clients return at once. Tunnels that ended or migrated free nothing before a report
        shows it: their group may remain and the server be as full as before.
        """
        load = self.mean_load if server.reported_busy is None else server.reported_load
        if server.reported_busy is None and server.start_listed and server.warm_at > self.last_pass_at:
            load = 0.0  # new and limited by its budget; the mean would exclude it where the others are full
        # Without any report all servers have capacity.
        server.estimated_load = (
            -inf if load is None else load + self._unreported_load(server) + server.assumed_peer_load
        )

    def _unreported_load(self, server: Server) -> float:
        """Estimates the load added since the last report, if all balancers placed as many as this one."""
        return len(server.unreported_placements) * (
            min(self.load_per_tunnel, server.max_load_per_tunnel) * self.balancer_count
        )

    def _max_peer_load(self, now: float) -> float:
        """Returns the load that others may add to a ready server; a random part of it is assumed.

        It assumes that as many tunnels are queued at each of them as here, and is at most
        MAX_UNREPORTED_LOAD. While the fleet is being renewed, it also assumes that as many arrive there as
        here until reports show them, and is at most `load_limit`. Guards against many balancers that send a
        tunnel each for the same capacity: some of them count it as used.
        """
        if self.balancer_count <= len(self.active_servers):
            return 0.0
        load_per_placement = self._load_per_peer_placement(now)
        if not self.is_fleet_renewing:
            return min(MAX_UNREPORTED_LOAD, len(self.queue) * load_per_placement)
        peer_placements = (
            sum(tunnel.state is State.QUEUED for tunnel in self.queue)
            + self.recent_arrival_rate * PLACEMENT_REPORT_DELAY * self.attempt_timeout
        )
        return min(self.load_limit, peer_placements * load_per_placement)

    def _load_per_peer_placement(self, now: float) -> float:
        """Returns the load that a ready server gets if each other balancer places one tunnel."""
        ready_count = sum(
            server.estimated_load < self.load_limit and server.ejected_until <= now
            for server in self.active_servers
        )
        return (self.balancer_count - 1) * self.load_per_tunnel / max(1, ready_count)

    @staticmethod
    def _update_max_load_per_tunnel(server: Server, now: float, reported_until: float) -> None:
        """Bounds the load of one tunnel at a server by its report.

        The report includes all tunnels opened until `reported_until`. Guards large, idle servers against
        being taken as full. Used for readiness alone, not for rule 4: tunnels that end soon make a server
        look large.
        """
        observed = sum(at <= reported_until for at in server.unreported_openings)
        if observed >= MIN_OBSERVED_TUNNELS:
            server.max_load_per_tunnel, server.max_load_per_tunnel_at = (
                max(LOAD_ESTIMATE_MARGIN * server.reported_load / observed, MIN_LOAD_PER_TUNNEL),
                now,
            )
        elif now - server.max_load_per_tunnel_at > HISTORY_SECONDS:
            server.max_load_per_tunnel = inf
        server.unreported_openings = deque(
            (at for at in server.unreported_openings if at > reported_until), MAX_OBSERVED_TUNNELS
        )
        server.estimate_due = (
            inf if len(server.unreported_openings) < MIN_OBSERVED_TUNNELS else server.estimate_due
        )

    def _may_receive_tunnel(self, server: Server, now: float) -> bool:
        """Whether a server is warm, within its slow-start budget, or without process but can be probed."""
        return (
            server.warm_at <= now
            or (server.process_missing and self._can_afford_probe())
            or self._has_slow_start_budget(server, now)
        )

    def _has_slow_start_budget(self, server: Server, now: float) -> bool:
        """Rule 4: whether a server is warm or this balancer's budget for it holds a whole tunnel.

        Brings the budget up to date. Unused budget is kept only for a part of the overload window; where it
        takes longer than that to save a whole tunnel, the tunnel lapses after it was kept for that part.
        Guards against many balancers that each have saved a tunnel and send it at the same moment.
        """
        if server.warm_at <= now:
            return True
        if server.is_staggered and not self.slow_start_rate:  # before the first control pass
            return False
        rate = self.slow_start_rate * min(server.relative_size / self.mean_relative_size, MAX_RELATIVE_SIZE)
        # Without a quota the load of a tunnel is already assumed at its highest.
        rate *= INFERRED_START_FACTOR if server.start_inferred and self.tunnel_quota else 1.0
        # Staggered first tunnels leave nothing to chance in how many balancers hold a whole tunnel at one
        # moment: all of the budget is used, and half of the limit's allowance for chance may be kept. The
        # other half is left for heavier tunnels.
        staggered = server.is_staggered and self.budget_share == 1.0
        rate /= SLOW_START_SAFETY_FACTOR if staggered else 1.0
        previous_capacity, capacity = (
            self._available_capacity(server, server.budget_updated_at),
            self._available_capacity(server, now),
        )
        server.slow_start_budget, server.budget_updated_at = (
            server.slow_start_budget
            + rate * (previous_capacity + capacity) / 2 * (now - server.budget_updated_at),
            now,
        )
        # What was due earlier may have been used before a restart of this balancer.
        if server.is_staggered and not server.budget_initialised:
            server.slow_start_budget, server.budget_initialised = server.slow_start_budget % 1.0, True
        rate *= capacity
        fleet_budget = rate * self.balancer_count * self.overload_window
        kept_windows = max(fleet_budget, MIN_LOAD_PER_TUNNEL) ** -0.5 if staggered else SLOW_START_CARRY_OVER
        max_kept = rate * self.overload_window * kept_windows
        if max_kept >= 1.0:
            server.slow_start_budget = min(server.slow_start_budget, max_kept)
        elif server.slow_start_budget > 1.0 + max_kept:
            server.slow_start_budget = max_kept + (server.slow_start_budget - max_kept) % 1.0
        return server.slow_start_budget >= 1.0

    def _available_capacity(self, server: Server, at: float) -> float:
        """Returns the share of its capacity that a server has for certain at a time."""
        age = at - (server.warm_at - self.warm_up_window)
        return min(
            1.0, self.slow_start_share + (1 - self.slow_start_share) * max(0.0, age) / self.warm_up_window
        )

    def _select_candidates(self, tunnel: Tunnel, now: float) -> list[Server]:
        """Selects the ready servers that a tunnel may go to."""
        if self._is_paused(now) or now >= self.list_valid_until:
            return []
        pool = self.server_subset or self.active_servers
        eligible = (
            pool
            if self._is_freely_retryable(tunnel)
            else [server for server in pool if self._is_eligible(tunnel, server, now)]
        )
        ready = self._select_ready(tunnel, eligible, now)
        if self._requires_affinity(tunnel, now):
            ready = self._select_by_affinity(tunnel, ready)
        if tunnel.setups:
            ready = [
                server for server in ready if all(s.server is not server for s in tunnel.setups)
            ] or ready
        if not ready and pool is not self.active_servers:
            self.server_subset = None  # all servers are used until the next control pass
            return self._select_candidates(tunnel, now)
        # If none is ready, ejected ones are tried with one setup at a time and a pause after a failure.
        # Guards against having no server at all, and against a storm of setups.
        if not ready:
            trial_servers = [
                server
                for server in eligible
                if max(server.ejected_until, server.unstable_until) > now >= server.trial_due
                and not server.pending_setups
            ]
            ready = [
                server
                for server in self._select_with_capacity(tunnel, trial_servers, now)
                if self._may_receive_tunnel(server, now)
            ]
        return ready

    def _is_paused(self, now: float) -> bool:
        """Whether no setup may start because setups in a row ended unopened.

        Guards against more attempts where nothing opens: something that all servers depend on is slow, and
        attempts that time out add work to it, or this balancer is cut off. The cost: tunnels whose time ends
        during a pause are declined.
        """
        pause = self.attempt_timeout * 2 ** min(
            self.consecutive_unopened - MIN_FAILURES_FOR_PAUSE, MAX_PAUSE_DOUBLINGS
        )
        return self.consecutive_unopened >= MIN_FAILURES_FOR_PAUSE and (
            self.setups_in_progress > 0 or now < self.last_unopened_at + pause
        )

    @staticmethod
    def _is_freely_retryable(tunnel: Tunnel) -> bool:
        """Rule 2: whether another setup at any server has no second effect."""
        return tunnel.profile.semantics == "repeatable" or not any(s.may_have_run for s in tunnel.setups)

    @staticmethod
    def _is_eligible(tunnel: Tunnel, server: Server, now: float) -> bool:
        """Rule 2: whether another setup at this server has no second effect."""
        if Balancer._is_freely_retryable(tunnel):
            return True
        if tunnel.profile.semantics == "once-only":
            return False
        first = next(s for s in tunnel.setups if s.may_have_run)
        is_recognised = server.location.recognises(first.location, tunnel.profile.dedup_scope)
        return is_recognised and now < first.sent_at + tunnel.profile.dedup_window

    @staticmethod
    def may_decline(tunnel: Tunnel) -> bool:
        """Rule 2: whether the tunnel may be declined; that tells the client that it may try again."""
        return Balancer._is_freely_retryable(tunnel) or (
            tunnel.profile.semantics == "referenced" and tunnel.profile.dedup_scope == "all"
        )

    # Offers and the threshold.
    def _estimated_busy(self, server: Server, default: float) -> float:
        """Returns the busy figure (`default` if not reported) with own placements since the report."""
        return (default if server.reported_busy is None else server.reported_busy) + len(
            server.unreported_placements
        ) * self.busy_per_tunnel

    def _servers_with_reports(self) -> list[Server]:
        """Lists the active servers whose busy figure is known."""
        return [server for server in self.active_servers if server.reported_busy is not None]

    def _draw_candidates(self, tunnel: Tunnel, ready: list[Server]) -> list[Server]:
        """Draws two different ready servers at random.

        They come from the servers that hold the tunnel's group, those in its zone first; otherwise from the
        group's preferred servers or the zone. A server pays once for a group; traffic between zones costs.
        """
        if len(ready) < 2:
            return ready
        with_group = (
            [server for server in ready if tunnel.group in server.tunnels_by_group] if tunnel.group else []
        )
        in_zone = [
            server
            for server in with_group or ready
            if server.location.zone == (self.zone if tunnel.planned_zone < 0 else tunnel.planned_zone)
        ]
        fallback = (
            self._preferred_servers(tunnel, ready)
            if tunnel.group and self._concentrates_groups()
            else in_zone
        )
        pools = [in_zone, with_group, fallback] if with_group else [fallback]
        first = self._pick_server(ready, pools, None)
        return [first, self._pick_server(ready, pools, first)]

    def _pick_server(self, ready: list[Server], pools: list[list[Server]], excluded: Server | None) -> Server:
        """Picks a random server other than `excluded` from the first pool that has one."""
        remaining = ([server for server in pool if server is not excluded] for pool in (*pools, ready))
        return self.choice(next(servers for servers in remaining if servers))

    def _concentrates_groups(self) -> bool:
        """Whether groups go to their preferred servers rather than to servers of the zone.

        They do where the fleet is loaded, or where own tunnels are so few that they hardly show where a group
        is. Guards against a mass arrival that scatters groups over a large fleet.
        """
        return (
            self.balancer_count > len(self.active_servers)
            or (self.mean_load or 0.0) * LOAD_LIMIT_OVER_MEAN > MIN_LOAD_LIMIT
        )

    def _requires_affinity(self, tunnel: Tunnel, now: float) -> bool:
        """Whether a tunnel may go only near its group, as capacity was scarce lately."""
        return (
            bool(tunnel.group)
            and now < self.no_room_until
            and self._concentrates_groups()
            and not self.is_fleet_renewing
        )

    def _select_by_affinity(self, tunnel: Tunnel, ready: list[Server]) -> list[Server]:
        """Selects the ready servers that hold the group, and others by load and distance.

        Used while capacity is scarce: the fuller another server is, the nearer it has to be. Guards a fleet
        that fills again after a mass failure: a server with little capacity would pay for nearly as many
        groups as tunnels. The cost: tunnels wait although a distant server has capacity.
        """
        distance_penalty, least_penalty, group = (
            AFFINITY_DISTANCE_PENALTY * len(self.active_servers) / MAX_HASH,
            AFFINITY_DISTANCE_PENALTY * PREFERRED_SERVERS,
            tunnel.group,
        )
        penalised_load = {
            server: server.estimated_load
            + max(least_penalty, distance_penalty * self._affinity_distance(tunnel, server))
            for server in ready
        }
        return [
            server
            for server in ready
            if group in server.tunnels_by_group or penalised_load[server] < self.load_limit + least_penalty
        ]

    @staticmethod
    def _preferred_servers(tunnel: Tunnel, ready: list[Server]) -> list[Server]:
        """Returns the first ready servers in the group's own order.

        The order is the same at all balancers, though none sees the others' tunnels; as these servers fill,
        the next ones follow.
        """
        return nsmallest(
            PREFERRED_SERVERS, ready, key=lambda server: Balancer._affinity_distance(tunnel, server)
        )

    @staticmethod
    def _affinity_distance(tunnel: Tunnel, server: Server) -> int:
        """Returns the place of a server in the order of the tunnel's group: a 64-bit hash of both."""
        return (tunnel.group_hash ^ server.name_hash) * HASH_MULTIPLIER & MAX_HASH

    def _offer(self, tunnel: Tunnel, now: float) -> None:
        """SRLB: the first candidate takes the tunnel if it is busy under c, else the second must.

        A candidate with an outdated report is probed first; if it has no capacity then, candidates are drawn
        anew.
        """
        first, mean_busy = tunnel.candidates[0], self.mean_busy
        accepted = False
        # Rule 1: a tunnel that waits for a probe has to be served again before its deadline.
        too_late_to_probe = now + 2 * self.timer_interval >= tunnel.deadline
        for server in tunnel.candidates:
            age = now - server.reported_at
            may_be_full = (
                age > self.attempt_timeout
                and server.estimated_load + self.peer_load_rate * age >= self.load_limit
            )
            needs_probe = (
                server.process_missing
                or now - server.answered_at > MAX_REPORT_AGE_FOR_OFFER * self.attempt_timeout
                or may_be_full
                or self._may_have_restarted(server, now)
            )
            if not too_late_to_probe and needs_probe and (server.probing or self._can_afford_probe()):
                self._request_load(server)
                server.tunnels_awaiting_probe.append(tunnel)
                tunnel.transition_to(State.PROBING)
                self._enqueue(tunnel, now)
                return
            self.peak_busy = max(self.peak_busy, self._estimated_busy(server, mean_busy))
            accepted = server is first and self._estimated_busy(server, mean_busy) < self.c
            if accepted:
                break
        if len(tunnel.candidates) > 1:
            self.offers, self.accepted_offers = self.offers + 1, self.accepted_offers + accepted
        chosen = first if accepted else tunnel.candidates[-1]
        # It could not be probed, or its budget was used meanwhile.
        if not self._has_slow_start_budget(chosen, now):
            self._queue_or_answer(tunnel, now)
            return
        if self.offers >= WINDOW_OFFERS:
            self._adapt_threshold(now)
        self._send_setup(tunnel, chosen, now)

    def _earn_probe_credit(self, credit: float) -> None:
        """Adds credit of own tunnels for probes.

        At most the price of two rounds of probes and what the open tunnels pay is kept.
        Guards against many balancers that each probe more often than their tunnels pay for.
        """
        max_credit = 2 * max(RESERVED_PROBES, len(self.active_servers)) * self.probe_price
        max_credit += PERIODIC_PROBE_SHARE * sum(
            max(0, len(server.tunnels) - FEW_OWN_TUNNELS) for server in self.active_servers
        )
        self.probe_credit = min(self.probe_credit + credit, max_credit)

    def _can_afford_probe(self, reserved: int = 0) -> bool:
        """Whether probes are allowed and there is credit for one, with `reserved` more left."""
        return self.may_probe and self.probe_credit >= (1 + reserved) * self.probe_price

    def _request_load(self, server: Server) -> None:
        """Sends a probe unless one is in progress."""
        if not server.probing:
            self.probe_credit -= self.probe_price
            server.probing = True
            self.host.probe(server)

    def _resume_after_probe(self, server: Server, now: float) -> None:
        """Continues the offers of tunnels that waited for a probe, or places them anew."""
        waiting, server.tunnels_awaiting_probe = server.tunnels_awaiting_probe, []
        for tunnel in [awaiting for awaiting in waiting if awaiting.state is State.PROBING]:
            tunnel.transition_to(State.QUEUED)
            if len(
                self._select_ready(tunnel, [server for server in tunnel.candidates if server.active], now)
            ) == len(tunnel.candidates):
                self._offer(tunnel, now)
            else:
                self._place(tunnel, now)

    def _initialise_threshold(self) -> None:
        """Sets c to the median of the first busy figures, at which half of the first offers are accepted.

        Guards against a c that stays far from the figures, with which each offer is plain chance.
        """
        busy_figures = sorted(server.reported_busy or 0.0 for server in self._servers_with_reports())
        if 2 * len(busy_figures) > len(self.active_servers):
            self.c, self.c_initialised = busy_figures[len(busy_figures) // 2], True

    def _adapt_threshold(self, now: float) -> None:
        """SR_dyn at the end of a window: moves c one step toward half acceptance and resets the counts."""
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

    # Tunnels and setups.
    def new_tunnel(
        self,
        name: str,
        profile_index: int,
        tenant: int,
        key: str,
        group: str,
        deadline: float,
        is_returning: bool,
    ) -> Tunnel:
        """Makes a tunnel; `deadline` is the end of the client's timeout."""
        return Tunnel(
            name,
            self.profiles[profile_index],
            tenant,
            key,
            group,
            deadline - self.answer_margin,
            is_returning,
        )

    def tunnel_arrived(self, tunnel: Tunnel, is_midflow: bool, now: float) -> None:
        """Places a new tunnel; a mid-flow one goes to the server that has a tunnel with its key."""
        self.arrivals += 1
        self._earn_probe_credit(PERIODIC_PROBE_SHARE + CANDIDATE_PROBE_SHARE)
        # Known only as far as this balancer has seen the tunnels.
        holders = (
            server for server in self.active_servers if any(t.key == tunnel.key for t in server.tunnels)
        )
        holder = next(holders, None) if is_midflow and tunnel.key else None
        if holder is not None:
            self._send_setup(tunnel, holder, now)
        elif self.queue_priority and any(
            self.queue_priority(other) <= self.queue_priority(tunnel) for other in self.queue
        ):
            self._enqueue(tunnel, now)
        else:
            self._place(tunnel, now)

    def tunnel_inherited(self, tunnel: Tunnel, server: Server, now: float) -> None:
        """Records a tunnel that was open at the server before this balancer started."""
        tunnel.setups.append(Setup(server, now))
        tunnel.setups[-1].was_opened = True
        tunnel.transition_to(State.OPEN)
        # Guards against a start with reports that do not include these tunnels yet.
        server.probe_due = min(server.probe_due, now + PLACEMENT_REPORT_DELAY * self.attempt_timeout)
        self._earn_probe_credit(PERIODIC_PROBE_SHARE if len(server.tunnels) > FEW_OWN_TUNNELS else 0.0)

    def _place(self, tunnel: Tunnel, now: float) -> None:
        """Offers a tunnel to ready servers, queues it while one may become ready, or answers it unopened."""
        if (
            now >= tunnel.deadline
            or len(tunnel.setups) >= self.max_setups
            or not self._assign_planned_zone(tunnel)
        ):
            self._answer_unopened(tunnel, now)
            return
        last_setup = 0 < self.max_setups - 1 <= len(tunnel.setups)
        if last_setup and self._awaits_servers(now):  # kept for a server of the next list
            self._queue_or_answer(tunnel, now)
            return
        ready = self._select_candidates(tunnel, now)
        if ready:
            tunnel.candidates = self._draw_candidates(tunnel, ready)
            self._offer(tunnel, now)
        else:
            self._queue_or_answer(tunnel, now)

    def _queue_or_answer(self, tunnel: Tunnel, now: float) -> None:
        """Rule 1: queues a tunnel, or answers it now if it can not wait for the next timer."""
        (self._enqueue if self._is_worth_queueing(tunnel, now) else self._answer_unopened)(tunnel, now)

    def _assign_planned_zone(self, tunnel: Tunnel) -> bool:
        """Assigns a zone by the shares of the cluster's plan; returns whether the tunnel is served.

        The zone is the same at each attempt of a client. The part by which the shares fall short of 1 exceeds
        what the zones can bear: such a tunnel is answered unopened here and not passed on.
        """
        remaining = (
            (tunnel.group_hash if tunnel.group else _hash_name(tunnel.key)) / MAX_HASH
            if self.zone_shares
            else 0.0
        )
        for zone, share in enumerate(self.zone_shares.get(tunnel.profile, ()) if not tunnel.setups else ()):
            remaining -= share
            if remaining < 0.0:
                tunnel.planned_zone = zone
                return True
        return bool(tunnel.setups) or not self.zone_shares

    def _enqueue(self, tunnel: Tunnel, now: float) -> None:
        """Queues a tunnel until the next timer."""
        self.queue[tunnel] = None
        self._schedule_timer(now, self.timer_interval)

    def _is_worth_queueing(self, tunnel: Tunnel, now: float) -> bool:
        """Whether waiting may help, as a list, a report or slow-start budget may come in time."""
        if not self._is_freely_retryable(tunnel) and not all(
            self._is_eligible(tunnel, server, now) for server in self.active_servers
        ):
            return False
        remaining = tunnel.deadline - now
        min_remaining = (1.0 - MAX_QUEUE_TIME_SHARE) * tunnel.profile.client_timeout
        if self._awaits_servers(now):
            min_remaining = min(min_remaining, tunnel.profile.attempt_timeout)
        return remaining > max(self.timer_interval, min_remaining)

    def _awaits_list(self) -> bool:
        """Whether the list may be old and a newer one was requested."""
        return self.list_is_polled and not self.list_is_current

    def _awaits_servers(self, now: float) -> bool:
        """Whether the list may be old, a newer one was requested, and no server of the old one is confirmed.

        Guards tunnels against an answer by an empty or outdated list while the servers that could take them
        are about to be listed.
        """
        return now >= self.list_valid_until or (
            self._awaits_list()
            and all(
                server.unconfirmed or server.process_missing or server.ejected_until > now
                for server in self.active_servers
            )
        )

    def _send_setup(self, tunnel: Tunnel, server: Server, now: float) -> None:
        """Starts a setup of a tunnel at a server."""
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
        """Returns, for the log, the first check that leaves no server for a tunnel."""
        eligible = [server for server in self.active_servers if self._is_eligible(tunnel, server, now)]
        not_ejected = [
            server for server in eligible if max(server.ejected_until, server.unstable_until) <= now
        ]
        with_capacity = self._select_with_capacity(tunnel, not_ejected, now)
        within_budget = [server for server in with_capacity if self._may_receive_tunnel(server, now)]
        checks = (
            (self.active_servers and now < self.list_valid_until, "no_list"),
            (len(tunnel.setups) < self.max_setups, "setups"),
            (not self._is_paused(now), "pause"),
            (eligible, "no_repeat"),
            (not_ejected, "ejected"),
            (with_capacity, "full"),
            (within_budget, "cold"),
            (
                within_budget
                and (
                    not self._requires_affinity(tunnel, now)
                    or self._select_by_affinity(tunnel, within_budget)
                ),
                "home",
            ),
        )
        return next((reason for passed, reason in checks if not passed), "time")

    def _answer_unopened(self, tunnel: Tunnel, now: float, reason: str = "") -> None:
        """Declines a tunnel, or closes it with error where a decline is not allowed or too late."""
        tunnel.refusal_reason = reason or self._find_refusal_reason(tunnel, now)
        self.declined[tunnel.refusal_reason] += 1
        self.queue.pop(tunnel, None)
        tunnel.transition_to(State.ENDED)
        self.no_room_until = now + SCARCITY_DURATION * self.attempt_timeout
        if self.may_decline(tunnel) and now < tunnel.deadline + self.answer_margin:
            self.host.decline(tunnel, self.retry_after(tunnel.profile))
        else:
            self.host.close_with_error(tunnel)

    def retry_after(self, profile: Profile) -> float:
        """Seconds after which a declined client should try again; 0: no advice."""
        return min(self.max_retry_after, 2 * profile.attempt_timeout)

    def setup_opened(self, tunnel: Tunnel, number: int, now: float) -> None:
        """Records that a setup opened its tunnel, unless that has ended or gone on to another setup."""
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
            self.unopened_servers.clear()
            setup.server.recent_failures -= (
                setup.server.ejected_until <= now and setup.server.recent_failures > 0
            )
            self.retry_budget = min(self.retry_budget + RETRY_BUDGET_GAIN, self.max_retry_budget)

    def may_write_request(self, tunnel: Tunnel, number: int, now: float) -> bool:
        """Whether the request may be written now that the connection is up.

        Rules 1 to 3 apply at this moment and not only when the server was selected.
        """
        setup = tunnel.setups[number]
        is_current = (
            setup.in_progress
            and tunnel.state is State.SETTING_UP
            and setup.server.active
            and now < min(tunnel.deadline, self.list_valid_until)
        )
        setup.may_have_run = is_current and self._is_eligible(tunnel, setup.server, now)
        # Guards rule 4: a restart may have been listed meanwhile, and the new process has its own budget.
        if setup.may_have_run and setup.server.started_at != setup.server_started_at:
            setup.may_have_run = self._has_slow_start_budget(setup.server, now)
            setup.server.slow_start_budget -= setup.may_have_run and setup.server.warm_at > now
        return setup.may_have_run

    def setup_ended(
        self, tunnel: Tunnel, number: int, ending: Ending, closed: bool, report: Report, now: float
    ) -> None:
        """Records the end of a setup, or of the tunnel that it opened, and tries again where that is allowed.

        `closed`: the client's connection is closed. `report`: the server's load report, if one came with the
        end.
        """
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
            self.unopened_servers.add(setup.server)
        if report:
            self._record_report(setup.server, report, now)
        setup.ended_in_error = ending == "error" and not was_open
        earlier_failed = [
            s.server for s in tunnel.setups[:number] if s.ended_in_error and s.server is not setup.server
        ]
        failed_elsewhere = setup.ended_in_error and bool(earlier_failed)
        if failed_elsewhere:
            # Guards servers against ejection for a tunnel that each of them fails: no third one is tried.
            for server in earlier_failed:
                server.ejected_until, server.recent_failures = now, max(0, server.recent_failures - 1)
        elif ending in ("error", "timeout", "no-connection") or (ending == "full" and setup.server.active):
            self._record_failure(setup.server, ending, now)
        elif ending == "reset":  # a process that ends breaks all tunnels at once, an overloaded one does not
            setup.server.probe_due = min(setup.server.probe_due, now)
            same_moment = now <= setup.server.broken_at + self.timer_interval
            setup.server.broken_tunnels, setup.server.broken_at = (
                1 + setup.server.broken_tunnels * same_moment,
                now,
            )
        if tunnel.state is State.ENDED:
            return
        if closed:
            self.queue.pop(tunnel, None)
            tunnel.transition_to(State.ENDED)
        elif not was_open:
            if not setup.may_have_run and setup.server.remove_placement(setup.sent_at):
                self._update_load_estimate(setup.server)
            tunnel.transition_to(State.QUEUED)
            # Guards against a storm of own retries: where few setups open, few are repeated.
            if self.retry_budget >= 1.0 and not failed_elsewhere:
                self.retry_budget -= 1.0
                self._place(tunnel, now)
            elif ending == "no-connection" and self._awaits_list():
                self._queue_or_answer(tunnel, now)  # costs servers nothing
            else:
                self._answer_unopened(tunnel, now, "retries")
        else:  # an open tunnel whose client is still connected
            tunnel.transition_to(State.ENDED)
            self.host.close_with_error(tunnel)

    def client_left(self, tunnel: Tunnel, now: float) -> None:
        """Records that the client left; cancels setups that may be cancelled or were not sent yet."""
        self.queue.pop(tunnel, None)
        if tunnel.state is State.ENDED:
            return
        was_open = tunnel.state is State.OPEN
        tunnel.transition_to(State.ENDED)
        for number, setup in enumerate(() if was_open else tunnel.setups):
            if setup.in_progress and (self.may_cancel or not setup.may_have_run):
                self.host.cancel(tunnel, number)

    def record_load(self, tunnel: Tunnel, load: float, now: float) -> None:
        """Records a tunnel's load, in work a second.

        Guards against a tunnel that grows heavy while its server's last report shows no overload.
        """
        if tunnel.state is State.OPEN:
            server = tunnel.setups[-1].server
            mean_load = self._mean_tunnel_load(server.tunnels)
            if (load - (tunnel.load or mean_load)) * self.load_per_tunnel >= MAX_UNREPORTED_LOAD * mean_load:
                server.probe_due = min(server.probe_due, now + PLACEMENT_REPORT_DELAY * self.attempt_timeout)
        tunnel.load = load

    @staticmethod
    def _mean_tunnel_load(tunnels: Iterable[Tunnel]) -> float:
        """Returns the mean of the known loads of tunnels, 1.0 if none is known."""
        known = [tunnel.load for tunnel in tunnels if tunnel.load]
        return sum(known) / len(known) if known else 1.0

    def record_delay(self, tunnel: Tunnel, delay: float, now: float) -> None:
        """Records the delay of a message; a slow one ejects the server and migrates a part of its tunnels.

        The server is probed and treated like an overloaded one, again after PLACEMENT_REPORT_DELAY unless
        its messages become quicker. Guards against a server that is slow for this balancer while reports show
        no overload: because of a false or old report, a noisy neighbour, an ageing machine, a network path,
        or a slow-down of all servers. Own messages are evidence that reports are not. The cost: one tunnel
        with slow messages of its own ejects its server until quick messages end that.
        """
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

    def record_silence(self, tunnel: Tunnel, silence: float, now: float) -> None:
        """Records how long a tunnel's server has been silent; a tunnel of one that is gone is migrated.

        Guards against a machine that vanishes: its connections stay open but bring nothing.
        """
        if tunnel.state is State.OPEN and silence >= min(
            SILENCE_TIMEOUT * self.attempt_timeout, MAX_SILENCE_SECONDS
        ):
            self._record_failure(tunnel.setups[-1].server, "timeout", now)
            tunnel.transition_to(State.ENDED)
            self.host.migrate(tunnel)

    # Ejection, restarts and recovery.
    def _record_failure(self, server: Server, ending: Ending, now: float) -> None:
        """Ejects a server after a failure, for longer with each recent one.

        A refused connection also means that the server has no process.
        """
        server.trial_due = now + PLACEMENT_REPORT_DELAY * self.attempt_timeout * self.uniform(0.5, 1.5)
        if server.ejected_until <= now:
            server.recent_failures = min(server.recent_failures + 1, 4)
            server.ejected_until = now + self.attempt_timeout * 4 * 2**server.recent_failures * self.uniform(
                0.8, 1.2
            )
        if ending == "no-connection":
            if not server.process_missing:
                self._record_process_loss(server, now)
            server.refused_at = now
            self._mark_process_missing(server, now)
            # Several servers of an old list, without any report: all may have lost power, so none counts as
            # warm.
            unconfirmed = [other for other in self.active_servers if other.unconfirmed]
            power_lost = (
                sum(other.process_missing and other.reported_at < 0.0 for other in unconfirmed)
                >= MIN_PROCESS_LOSSES
            )
            for other in [unheard for unheard in unconfirmed if unheard.warm_at <= now] if power_lost else ():
                self._mark_unconfirmed(other, now)

    def _record_process_loss(self, server: Server, now: float) -> None:
        """Records that a server was found without a process; what is too old to matter is dropped."""
        cell = server.location.cell
        losses = [loss for loss in self.process_losses[cell] if now - loss.at < self.warm_up_window]
        losses.append(ProcessLoss(server, now, not server.unconfirmed))
        self.process_losses[cell] = losses

    def _forget_losses_of_old_list(self) -> None:
        """Drops the losses at servers that the list lacks and none has confirmed since this balancer started.

        They may have gone long ago, which tells nothing of the others. Guards against an old list at a start:
        its servers that have gone would make the present ones of their cells seem to have restarted.
        """
        for cell, losses in self.process_losses.items():
            if any(not loss.confirmed and not loss.server.listed for loss in losses):
                self.process_losses[cell] = [loss for loss in losses if loss.confirmed or loss.server.listed]

    def _may_have_restarted(self, server: Server, now: float) -> bool:
        """Whether a server may have restarted unnoticed, as several of its cell lost their process lately.

        That holds until a report or an own open tunnel shows that it is up. Guards rule 4 where a rack loses
        power: a balancer without tunnels there would fill such a server at once. The cost: servers that were
        idle before are taken to be cold.
        """
        losses = self.process_losses[server.location.cell]
        if len(losses) < MIN_PROCESS_LOSSES:
            return False
        first_loss, last_loss = losses[-MIN_PROCESS_LOSSES].at, losses[-1].at
        seen = server.reported_at >= last_loss or any(
            tunnel.setups[-1].sent_at < last_loss for tunnel in server.tunnels
        )
        return not seen and now - first_loss < self.warm_up_window

    def _mark_process_missing(self, server: Server, missing_since: float) -> None:
        """Records that a server has no process; until it answers it has the budget of a starting one."""
        if not server.process_missing:
            server.process_missing = True
            server.longest_uptime = (
                max(server.longest_uptime, missing_since - server.recovered_at)
                if missing_since - server.recovered_at < HISTORY_SECONDS
                else 0.0
            )
            server.previous_warm_at, server.warm_at = server.warm_at, inf
            server.slow_start_budget, server.budget_updated_at = (
                min(server.slow_start_budget, self.uniform(0.0, 1.0)),
                missing_since,
            )

    def _record_return(self, server: Server, busy: float | None, load: float, now: float) -> None:
        """Decides whether a server that had no process, or broke own tunnels at one moment, has restarted.

        Applies rule 4 where no list states a start. The process is the former one, which was unreachable or
        full, if its busy figure is over half of its own former one and of the mean, and either own tunnels
        are still open or its load is more than a restarted one could have by now; but not if it both had no
        process and broke tunnels. Otherwise it has started now: its former report may be old, and other
        balancers may fill it at once. The cost: a server that emptied meanwhile counts as cold.
        """
        lost_at, previous_busy = (
            max(server.refused_at, server.broken_at),
            max(self.mean_busy, server.reported_busy or 0.0),
        )
        warm_at = server.previous_warm_at if server.process_missing else server.warm_at
        # The list has stated a recent start, and no report has come since.
        start_known = server.reported_busy is None and warm_at > now and not server.start_inferred
        is_older = (
            any(t.setups[-1].sent_at < lost_at for t in server.tunnels)
            or self._min_seconds_to_reach(load) > now - lost_at + self.attempt_timeout
        )
        if start_known or (
            is_older
            and (busy or 0.0) > RESTART_LOAD_RATIO * previous_busy
            and not (server.process_missing and server.broken_tunnels >= MIN_BROKEN_TUNNELS)
        ):
            server.warm_at = warm_at
        else:
            self._record_process_start(server, now, now)
            server.start_inferred = True
        server.broken_tunnels = 0
        self._record_recovery(server, now)

    def _min_seconds_to_reach(self, load: float) -> float:
        """Returns the least time in which the budget of all balancers fills a starting server to a load."""
        return (
            load * self.warm_up_window / (SLOW_START_SAFETY_FACTOR * MAX_RELATIVE_SIZE * self.overload_factor)
        )

    @staticmethod
    def _record_recovery(server: Server, recovered_at: float) -> None:
        """Ends the state without a process; a server that failed again lately stays out for a while.

        Guards against a server that fails repeatedly, whatever the cause, and breaks tunnels each time: if it
        failed again within HISTORY_SECONDS, it has to be up longer than its longest uptime before it is
        ready. One that restarts once is ready at once. The cost: a server repaired after several failures is
        out for as long as these lay apart.
        """
        if server.process_missing:
            server.process_missing, server.recovered_at = False, recovered_at
            server.unstable_until = recovered_at + UNSTABLE_PAUSE_FACTOR * server.longest_uptime

    # Reports and migration.
    def probe_ended(self, server: Server, ending: Ending, report: Report, now: float) -> None:
        """Records the end of a probe and its report, and continues the tunnels that waited for it."""
        server.probing, server.answered_at = False, now
        if ending == "ok":
            self._clear_stale(server, now)
        elif ending == "moot":  # it was not sent
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
        """Takes over the figures of a load report and updates the estimates for its server."""
        load = report.get("load", 0.0)
        busy = next((report[field] for field in ("connections", "load", "backlog") if field in report), None)
        restarted_unseen = (
            self._may_have_restarted(server, now) and (busy or 0.0) <= RESTART_LOAD_RATIO * self.mean_busy
        )
        if server.process_missing or server.broken_tunnels >= MIN_BROKEN_TUNNELS or restarted_unseen:
            self._record_return(server, busy, load, now)
        server.reported_load, server.reported_at, server.answered_at = load, now, now
        if server.start_inferred:
            server.warm_at = min(server.warm_at, now - self._min_seconds_to_reach(load) + self.warm_up_window)
        server.reported_busy = server.reported_busy if busy is None else busy
        # Guards against reports that lag: they do not include what was placed just before.
        reported_until = now - PLACEMENT_REPORT_DELAY * self.attempt_timeout
        server.unreported_placements = deque(
            (at for at in server.unreported_placements if at > reported_until), MAX_OBSERVED_TUNNELS
        )
        if "load" in report:
            self._update_max_load_per_tunnel(server, now, reported_until)
            server.assumed_peer_load = self.uniform(0.0, self._max_peer_load(now))
        self._update_load_estimate(server)
        if not self.c_initialised:
            self._initialise_threshold()

    def _migrate_excess(
        self, server: Server, now: float, report_delay: float = MIGRATION_REPORT_DELAY
    ) -> None:
        """Migrates this balancer's share of a server's load in excess of the migration target.

        Guards against an overloaded server, which would answer late and drop tunnels anyway. All balancers
        receive the same report, and the same share of each one's tunnels brings the load down to the target.
        This follows the median load of a loaded fleet, so that clients are not sent from one loaded server to
        the next.

        While the target is under its maximum, a server with a load of 1 or more gives up whole groups, the
        ones farthest from their preferred servers first: without the heavy tunnels alone it would still bear
        the cost of the groups. Otherwise the heaviest tunnels go first, then the newest, so that few clients
        are moved.
        """
        server.migrated_share = (
            0.0 if now - server.migrated_at >= report_delay * self.attempt_timeout else server.migrated_share
        )
        if server.reported_load < self.migration_target + MIGRATION_MARGIN or not server.tunnels:
            return
        # The report does not show a recent migration yet.
        share = 1.0 - self.migration_target / server.reported_load / (1.0 - server.migrated_share)
        if share < MIGRATION_MARGIN * bool(server.migrated_share):
            return
        server.migrated_share, server.migrated_at = 1.0 - (1.0 - server.migrated_share) * (1.0 - share), now
        if len(server.tunnels) > FEW_OWN_TUNNELS:  # to learn whether this was enough
            server.probe_due = min(server.probe_due, now + MIGRATION_REPORT_DELAY * self.attempt_timeout)
        whole_groups = (
            server.reported_load >= 1.0
            and self.migration_target < MAX_MIGRATION_TARGET
            and len(server.tunnels) > FEW_OWN_TUNNELS
        )
        mean_load = self._mean_tunnel_load(server.tunnels)
        # A group costs about as much as a mean tunnel.
        group_cost = self._mean_tunnel_load(
            tunnel for any_server in self.active_servers for tunnel in any_server.tunnels
        )
        units: dict[Tunnel | str, list[Tunnel]] = {}
        for tunnel in reversed(server.tunnels):
            units.setdefault((whole_groups and tunnel.group) or tunnel, []).append(tunnel)
        weights = {
            key: sum(t.load or mean_load for t in units[key]) + group_cost * isinstance(key, str)
            for key in units
        }
        excess = share * sum(weights.values())
        priority = {
            unit: self._affinity_distance(units[unit][0], server) if isinstance(unit, str) else unit.load
            for unit in units
        }
        for unit in sorted(units, key=lambda key: -priority[key]):
            if excess < weights[unit] * self.random():
                break
            excess -= weights[unit]
            for tunnel in units[unit]:
                tunnel.transition_to(State.ENDED)
                self.host.migrate(tunnel)

    # The timer and the control pass.
    def _schedule_timer(self, now: float, delay: float) -> None:
        """Requests a timer unless an earlier one is pending."""
        if now + delay < self.timer_at - 1e-6:
            self.timer_at = now + delay
            self.host.set_timer(delay)

    def timer_due(self, now: float) -> None:
        """Runs the control pass or probes that are due, and serves the queue."""
        if now < self.timer_at - 1e-3:
            return  # superseded by an earlier timer
        self.timer_at = inf
        try:
            if now >= self.next_pass_due:
                self._run_control_pass(now)
            elif now >= self.next_estimate_due and self.may_probe:
                # Guards queued tunnels against a decline just before a report could show capacity.
                self._probe_servers(now)
            self._serve_queue(now)
        finally:  # after an internal error, too: without the next timer no queued tunnel is served again
            self._schedule_timer(
                now, self.timer_interval if self.queue else max(self.next_pass_due - now, self.timer_interval)
            )

    def _run_control_pass(self, now: float) -> None:
        """Updates rates, threshold and estimates, and sends due requests for the list and probes."""
        elapsed, self.last_pass_at = now - self.last_pass_at, now
        self.next_pass_due = now + self.attempt_timeout
        self.arrival_rate += (
            (self.arrivals - self.arrival_rate * elapsed)
            * min(1.0, elapsed / HISTORY_SECONDS)
            / max(elapsed, 1e-6)
        )
        smoothing = min(1.0, elapsed / (SCARCITY_DURATION * self.attempt_timeout)) / max(elapsed, 1e-6)
        self.recent_arrival_rate += (self.arrivals - self.recent_arrival_rate * elapsed) * smoothing
        self.arrivals = 0
        # Guards tunnels against a decline at their first failure while hardly any tunnel opens.
        self.retry_budget = min(self.retry_budget + RETRY_BUDGET_GAIN, self.max_retry_budget)
        if self.list_is_polled and not self.is_watching_list and now >= self.list_request_due:
            self._request_list(now)
        if now - self.window_started_at >= MAX_WINDOW_SECONDS:
            self._adapt_threshold(now)
        if now - self.peak_started_at >= HISTORY_SECONDS:
            self.previous_peak_busy, self.peak_busy, self.peak_started_at = self.peak_busy, 0.0, now
        self._update_fleet_estimates(elapsed)
        recently_started = sum(
            server.start_listed and server.warm_at > now - self.warm_up_window
            for server in self.active_servers
        )
        self.is_fleet_renewing = self.balancer_count > len(
            self.active_servers
        ) and recently_started > FLEET_RENEWAL_SHARE * len(self.active_servers)
        self.peer_load_rate = (
            self.recent_arrival_rate * self._load_per_peer_placement(now) if self.is_fleet_renewing else 0.0
        )
        if self.may_probe:
            self._probe_servers(now)

    def _update_fleet_estimates(self, elapsed: float) -> None:
        """Updates the limits, the load of one tunnel, and the rate at which cold servers may be filled."""
        reporting = self._servers_with_reports()
        total = sum(server.reported_load for server in reporting)
        if reporting:
            self.mean_load = total / len(reporting)
            self.mean_busy = sum(self._estimated_busy(server, 0.0) for server in reporting) / len(reporting)
            # Guards a server against the tunnels of all balancers at once, as a preferred or a new one: where
            # loads are not reported, each takes at most 1.25 times the mean connections of usable servers, by
            # its capacity at its age; expected ones count if several tunnels are queued here. The cost:
            # servers that could take more are held back.
            usable = [
                server
                for server in reporting
                if server.ejected_until <= self.last_pass_at and not server.process_missing
            ]
            if (
                usable
                and not self.reports_load
                and not self.busy_is_fraction
                and self.balancer_count > len(self.active_servers)
            ):
                capacity = sum(self._available_capacity(server, self.last_pass_at) for server in usable)
                expected = max(0, len(self.queue) - 1) * self.balancer_count
                connections = sum(self._estimated_busy(server, 0.0) for server in usable)
                self.connection_limit = (
                    max(1.0, (connections + expected) / capacity) * MAX_MIGRATION_TARGET / MAX_LOAD_LIMIT
                )
            # Guards against queued tunnels while no server is near the maximum; a plan sets the load itself.
            limit = (
                MAX_LOAD_LIMIT
                if self._has_queued_tunnels()
                else min(max(MIN_LOAD_LIMIT, LOAD_LIMIT_OVER_MEAN * self.mean_load), MAX_LOAD_LIMIT)
            )
            self.load_limit = MAX_MIGRATION_TARGET if self.zone_shares else limit
            median = sorted(server.reported_load for server in reporting)[len(reporting) // 2]
            self.migration_target = min(max(self.load_limit, median), MAX_MIGRATION_TARGET)
        tunnel_count = sum(len(server.tunnels) for server in reporting)
        if tunnel_count >= 2 * len(reporting) > 0:
            # Never zero, also where no load is reported. It rises slowly: guards a balancer that has just
            # started and holds few tunnels, while the others hold many, against finding all servers full.
            observed = (
                max(total / (tunnel_count * self.balancer_count), MIN_LOAD_PER_TUNNEL)
                if total
                else DEFAULT_LOAD_STEP
            )
            self.load_per_tunnel = min(
                observed,
                self.load_per_tunnel
                + (observed - self.load_per_tunnel) * min(1.0, elapsed / HISTORY_SECONDS),
            )
            self.busy_per_tunnel = self.load_per_tunnel if self.busy_is_fraction else self.busy_per_tunnel
        for server in self.active_servers:
            self._update_load_estimate(server)
        # Rule 4: a starting server can take as many tunnels a second as fill it over its warm-up window. The
        # settings give a lower bound of a tunnel's load: guards against a storm, or many tunnels that seem
        # light, which would raise the rate.
        warm_rate = 1.0 / (max(self.load_per_tunnel, self._min_load_per_tunnel()) * self.warm_up_window)
        self.slow_start_rate = (
            SLOW_START_SAFETY_FACTOR
            * self.overload_factor
            * warm_rate
            / self.balancer_count
            * self.budget_share
        )

    def set_budget_share(self, share: float, now: float) -> None:
        """Rule 4: sets the own share of the slow-start budget, as balancers lease parts of it to one another.

        What was saved so far counts by the share before.
        """
        for server in self.active_servers:
            self._has_slow_start_budget(server, now)
        self.slow_start_rate, self.budget_share = self.slow_start_rate / self.budget_share * share, share

    def _probe_servers(self, now: float) -> None:
        """Probes each server so often that these probes cost a fixed part of the arriving tunnels' credit."""
        active = self.active_servers
        interval = max(
            len(active) * self.probe_price / (max(self.arrival_rate, 0.01) * PERIODIC_PROBE_SHARE),
            2 * self.timer_interval,
        )
        self._choose_subset(interval)
        interval *= len(self.server_subset or active) / max(1, len(active))
        # With more balancers than servers each would probe for too few tunnels.
        probe_full_server = self.balancer_count <= len(active) and self._has_queued_tunnels()
        # A random start: where the credit does not pay for all probes, balancers probe different servers.
        subset = self.server_subset or active
        first = int(self.random() * len(subset))
        for server in subset[first:] + subset[:first]:
            # Guards against tunnels queued for servers that have long had capacity again.
            age = now - server.reported_at
            report_outdated = (
                age >= self.attempt_timeout and self._unreported_load(server) >= MAX_UNREPORTED_LOAD
            )
            if probe_full_server and server.estimated_load >= self.load_limit and age >= self.attempt_timeout:
                report_outdated, probe_full_server = True, False
            # Guards against paying for reports of servers that may receive nothing yet, whatever they report.
            may_receive = server.tunnels or server.process_missing or self._has_slow_start_budget(server, now)
            if server.ejected_until > now + PLACEMENT_REPORT_DELAY * self.attempt_timeout or not may_receive:
                continue
            estimate_due = server.estimate_due <= now and bool(self.queue)
            due = estimate_due or report_outdated or server.probe_due <= now
            if due and not server.probing and self._can_afford_probe(0 if estimate_due else RESERVED_PROBES):
                # Sooner while there is no report: a server may have none yet.
                pause = (
                    min(interval, PLACEMENT_REPORT_DELAY * self.attempt_timeout)
                    if server.reported_busy is None
                    else interval
                )
                server.probe_due = now + pause * self.uniform(0.8, 1.2)
                self._request_load(server)
        self.next_estimate_due = min(
            (server.estimate_due for server in self.active_servers if server.estimate_due > now), default=inf
        )

    def _choose_subset(self, probe_interval: float) -> None:
        """Chooses the servers that this balancer uses: not all, if its tunnels pay for too few probes.

        That is so if they pay neither for probes of two candidates nor for periodic probes that keep all
        reports recent. The balancer takes every n-th server in the order of their hashes, which is out of
        step with zones and kinds, from an offset of its own. Enough balancers share a subset that no server
        is left without one.
        """
        subset_count = 1
        if self.may_probe and 2 * self.probe_price > PERIODIC_PROBE_SHARE + CANDIDATE_PROBE_SHARE:
            subset_count = min(
                int(probe_interval / HISTORY_SECONDS),
                len(self.active_servers) // MIN_SUBSET_SIZE,
                self.balancer_count // MIN_SUBSET_SIZE,
            )
        self.server_subset = (
            self.active_servers[int(self.subset_offset * subset_count) :: subset_count]
            if subset_count > 1
            else None
        )

    def _has_queued_tunnels(self) -> bool:
        """Whether a tunnel waits for a ready server."""
        return any(tunnel.state is State.QUEUED for tunnel in self.queue)

    def _serve_queue(self, now: float) -> None:
        """Places the queued tunnels; ends the wait for a probe of those that run out of time."""
        none_ready = set[str]()  # groups without a ready server, "" for all: their other tunnels are skipped
        for tunnel in (
            sorted(self.queue, key=self.queue_priority) if self.queue_priority else list(self.queue)
        ):
            if tunnel.state is State.PROBING and now + 2 * self.timer_interval >= tunnel.deadline:
                tunnel.transition_to(State.QUEUED)  # too late to wait for the probe
                # Guards rule 4: another tunnel may have used the budget of a cold server meanwhile.
                candidates = [
                    server
                    for server in tunnel.candidates
                    if server.active and self._has_slow_start_budget(server, now)
                ]
                ready = self._select_ready(tunnel, candidates, now)
                if ready:
                    self._send_setup(tunnel, ready[-1], now)
                else:
                    self._answer_unopened(tunnel, now)
            elif tunnel.state is State.QUEUED:
                group = tunnel.group if self.is_fleet_renewing else ""
                skipped = group in none_ready or len(none_ready) >= MAX_UNPLACED_GROUPS
                if not skipped or tunnel.setups or not self._is_worth_queueing(tunnel, now):
                    self._place(tunnel, now)
                    none_ready.update((group,) if tunnel.state is State.QUEUED else ())
