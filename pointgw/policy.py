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

WINDOW, WINDOW_LEAST, WINDOW_TIME = 20, 10, 10.0  # offers to one of SR_dyn; its least; seconds at most
LOW, HIGH = 0.4, 0.6  # acceptance under which c rises, over which it falls
STEP = 0.05  # of c, for a fractional busy figure
NEVER_RAN = ("full", "no-connection", "moot")
PROBE_SPEND, ASK_SPEND = 0.005, 0.012  # of the credit asked for: probes by the clock, asking candidates
FRESH, KEPT = 4, 10  # setup goals for which a report is taken as it is; tells who has room, if not asked
ASKED = 4  # probes that are kept for the candidates of the next tunnel
PART_LEAST = 8  # servers in a part of the list, and balancers to one, at least
START_RATE = 0.5  # tunnels a second to a server, until the own arrivals tell
RETRY_SHARE = 0.2  # further setups that each tunnel opened, and each round, earns
COLD_SAFE = 0.8  # of a cold server's budget that is spent, for chance and uneven tunnels
COLD_GUESSED = 0.6  # of that, where its start is inferred: balancers may be more than stated
COLD_KEPT = 0.25  # of the tip span: how long what was not spent of it is kept, 1 / COLD_SAFE - 1
GOLDEN = (5**0.5 - 1) / 2  # its multiples lie evenly in 0 to 1, however many, and whichever are left out
LARGEST = 2.0  # times the mean size that a server's listed size counts at most
WAIT = 0.5  # of the client timeout: how long a tunnel waits for a ready server
LATE, SETTLE = 2, 4  # setup goals until a placement, or a move off, shows in the reports
LONG = 30.0  # seconds over which rates and the highest busy figure are remembered
SEEN, UNEVEN = 8, 2.0  # own tunnels from which a report tells what one adds at most; times that, for chance
LIGHTEST = STEP / 100  # load that a tunnel adds at least, whatever reports tell
MOST_SEEN = round(UNEVEN / LIGHTEST)  # own tunnels beyond which a report of load 1 tells no less
NEWS = 0.1  # load that may have been added since a report before the next is asked for
FULL, FULL_LEAST = 0.65, 0.5  # load over capacity at which a server is not ready for more, and its least;
ABOVE = 1.2  # that limit lies this far above the fleet's mean, between the two
LEVEL, OVER = 1.25 * FULL, 0.2  # load that open tunnels are moved off down to; over it, from which
SEVERAL = 3  # own tunnels at a server over which probes of it are paid for by those that stand
AWAY = 0.06  # load that a server must have less for each place that it lies away from a group's home
RENEWED = 1 / 8  # of the servers: if more started within two cold times, the fleet is being renewed
LOOKS = 2  # groups that find nothing ready near home, after which the others wait for the next look
SCARCE = 8  # setup goals for which a tunnel turned away tells that room is scarce
LOST, PAUSES = 2, 4  # setups in a row not opened, after which one is out at a time; doublings of its pause
HOME = 2  # ready servers at the head of a group's own order, of which candidates are drawn
MIX, WORD = 0x9E3779B97F4A7C15, 2**64 - 1  # spread marks evenly over 64 bits
HOLD = 1.5  # times the longest that a server which fails by turns stayed up: how long it must be back
RESTARTED = 0.5  # of the figure it had: under this a server that had no process is taken to be a new one
BROKEN = 2  # own tunnels that a server breaks at one moment: its process may be gone
MANY = 2  # servers without a process: more may be gone, and if no list told of them since, power was lost
QUICK, SLOW = 0.1, 0.5  # of the setup goal: messages that show a server has caught up, or piles work up
OVERDRIVEN = 1.2  # load that such a server is taken to have at least, until the next report
CATCHING_UP = 0.85  # of the delay told before: under this the server works off what is piled up
SILENT = 8  # setup goals without an answer after which an open tunnel's server is taken to be gone;
SILENT_MOST = 6.0  # seconds at most: the protocol gives it 7 s, of which clients' lines and looks take some


def _mark(name: str) -> int:
    """The same figure for a name at every balancer."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


class State(Enum):
    """Where a tunnel stands."""

    QUEUED = "held"  # no setup is out; it waits for a server
    PROBING = "asking"  # no setup is out; one of its two candidates is asked for its load
    SETTING_UP = "setting up"
    OPEN = "open"
    ENDED = "ended"


NEXT = {
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

    def __init__(self, ep: Server, now: float) -> None:
        self.server, self.sent_at, self.in_progress, self.may_have_run = ep, now, True, True
        self.server_started_at = ep.started_at  # of the process that it was chosen for
        self.was_opened = self.erred = False  # the tunnel was opened by it; it ended in an error


class Tunnel:
    """One client connection, from its arrival to its end."""

    def __init__(
        self, name: str, profile: Profile, tenant: int, key: str, group: str, deadline: float, back: bool
    ) -> None:
        self.name, self.profile, self.tenant, self.key, self.group = name, profile, tenant, key, group
        self.deadline, self.is_returning, self.group_hash = deadline, back, _mark(group)
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
        if state not in NEXT[self.state]:
            raise ValueError(f"tunnel {self.name}: {self.state.value} cannot become {state.value}")
        ep = self.setups[-1].server if self.setups else None
        if ep is not None and state is State.OPEN:
            ep.tunnels[self] = None
            ep.tunnels_by_group[self.group] = ep.tunnels_by_group.get(self.group, 0) + 1
        elif ep is not None and self.state is State.OPEN:
            del ep.tunnels[self]
            ep.tunnels_by_group[self.group] -= 1
            if not ep.tunnels_by_group[self.group]:
                del ep.tunnels_by_group[self.group]
        self.state = state


class Server:
    """All that is known of one server."""

    def __init__(self, name: str) -> None:
        self.name, self.name_hash = name, _mark(name)
        self.cell, self.zone, self.started_at, self.relative_size = 0, 0, 0.0, 1.0
        self.active = self.listed = self.stale = False
        self.tunnels: dict[Tunnel, None] = {}  # open here, oldest first
        self.tunnels_by_group: dict[str, int] = {}  # of those, how many of each group
        self.pending_setups, self.probing, self.probe_due = (
            0,
            False,
            0.0,
        )  # own setups out; a probe out; the next
        self.waiting: list[Tunnel] = []  # tunnels that wait for the answer to a probe
        self.process_missing, self.warm_before = (
            False,
            0.0,
        )  # found without a process, not heard since; `warm_at` before
        self.broke, self.broke_at, self.refused_at = 0, -inf, -inf  # tunnels broken at a moment; both, when
        self.unconfirmed = False  # no list has told of it since this balancer started
        self.back_at, self.spell = -inf, 0.0  # last back from being down; the longest up lately in between
        self.unstable_until = 0.0  # not ready before this, as it fails by turns
        self.reset()

    def reset(self) -> None:
        """A process that has just started is not what the one before it was."""
        self.reported_busy: float | None = None  # of the latest report; None: unheard
        self.reported_load = 0.0  # load over capacity of the latest report
        self.reported_at = self.asked_at = -inf  # when a report, or the answer to a probe, came
        self.recent: list[float] = []  # when own placements were made that the report does not show yet
        self.took: deque[float] = deque(maxlen=MOST_SEEN)  # of those, the ones it has opened
        self.look_at = inf  # when a report shows enough of these
        self.adds, self.adds_at = inf, -inf  # load that one of them adds at most, by a report; when
        self.shed_at, self.shed = 0.0, 0.0  # when tunnels were last moved off, and which part of them
        self.delay, self.slow = 0.0, False  # of the latest slow message; suspended for such
        self.others, self.reckoned = 0.0, -inf  # load that others may add by chance; that tells of room
        self.warm_at = 0.0  # when a process that started lately has its full capacity at the latest
        self.start_inferred = False  # that is inferred: no list told of its start
        self.start_listed = False  # the list told its start
        self.in_turn = False  # balancers' first tunnels to it lie evenly apart, by the start that was told
        self.counted = False  # what this balancer may send it was reckoned since
        self.recent_failures, self.ejected_until = 0, 0.0  # failures lately; not ready before this
        self.trial_due = 0.0  # when it may be tried though suspended, where nothing else is ready
        self.slow_start_budget, self.budget_updated_at = 0.0, 0.0  # tunnels that may be sent while it is cold


class Balancer:
    """The decisions of one balancer."""

    def __init__(self, site: Site, host: Host, rng: Random, now: float) -> None:
        self.host, self.profiles, self.max_setups = host, site.profiles, max(1, site.max_setups)
        self.uniform, self.choice, self.chance = rng.uniform, rng.choice, rng.random
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
        self.pace = max(site.timer_resolution, self.attempt_timeout / 4)
        self.margin = max(
            2 * site.timer_resolution, 0.01 * self.attempt_timeout
        )  # to answer before the client gives up
        # Rule 4: what all balancers may send a cold server at the start, as a multiple of its warm rate.
        self.slow_start_share, self.warm_up_window = site.slow_start_share, site.warm_up_window
        self.overload_factor, self.overload_window = site.overload_factor, site.overload_window
        self.only_draining_excludes = site.only_draining_excludes  # rule 3: 'gone' alone does not bind
        self.list_is_polled, self.list_poll_interval = site.list_is_polled, site.list_poll_interval
        self.watching, self.ask_due, self.ask_wait = False, now, site.list_poll_interval / 8
        self.weighs, self.fraction = "load" in site.report_fields, "connections" not in site.report_fields
        self.c, self.c_started, self.offers, self.accepted = 1.0, False, 0, 0
        self.window_at, self.top_at, self.top, self.top_before = now, now, 0.0, 0.0
        self.threshold_step = self.unit = (
            STEP if self.fraction else 1.0
        )  # unit: what one placement adds to busy
        # What one tunnel adds to the load of a server, as reports tell; by the list and the settings alone.
        self.load_per_tunnel = self.start_unit = STEP
        self.full = self.level = FULL  # the load at which a server is full; that moves take it down to
        self.mean_load: float | None = None
        self.mean_busy, self.mean_relative_size, self.sized = 0.0, 1.0, site.sizes_listed
        self.connection_limit = inf  # connections that a warm server takes at most, where loads are not told
        self.slow_start_rate, self.budget_share = (
            0.0,
            1.0,
        )  # own tunnels a second to one that starts; parts of 1/N
        self.queue_priority: Callable[[Tunnel], float] | None = None  # whoever waits is served in this order
        self.arrival_rate, self.arrivals = 0.0, 0  # own arrivals a second, smoothed; from the first list on
        self.lately, self.inflow = 0.0, 0.0  # the same over SCARCE; load a second that others add to one
        self.renewed = False  # many servers started lately: room is at few, and reports are behind
        self.round_at = self.round_due = self.no_room_until = now  # ... until: a tunnel found no room lately
        self.look_due = self.tick_due = inf  # when the first report shows what own tunnels add; the next tick
        self.may_probe, self.probe_price = site.may_probe, site.probe_price
        self.queue: dict[Tunnel, None] = {}  # held or asking
        self.zone_shares: dict[Profile, tuple[float, ...]] = {}  # the tier's plan: shares over zones
        self.server_subset: list[Server] | None = (
            None  # those of `active_servers` that are used, where not all can be
        )
        self.start = self.chance()  # its start among every n-th
        self.active_servers: list[Server] = []  # those of `servers` that are active, by mark
        self.purse, self.setups_in_progress = (
            0.0,
            0,
        )  # what probes may still cost, in credit; setups that are out
        self.falls = defaultdict[int, deque[float]](lambda: deque([-inf] * MANY, MANY))  # of a cell: when
        self.declined: Counter[str] = Counter()  # tunnels answered unopened, by what stood in the way
        self.consecutive_unopened, self.lost_at = (
            0,
            now,
        )  # setups that ended unopened since one was opened; when the last did
        self.retry_budget = self.retry_top = float(self.max_setups)  # further setups that may be made now
        self._wake(now, self.pace)

    # The server list.
    def update_servers(self, entries: Iterable[ServerEntry], whole: bool, cached: bool, now: float) -> None:
        """The list, or changes to it. A server that a whole list lacks is gone; where draining binds alone,
        one gone without it stays in use, in doubt until it is heard."""
        if not cached:
            self.watching, self.ask_wait = True, self.list_poll_interval / 8
        changed = False  # who is active; other news, such as weights, come every second
        for ep in self.servers.values() if whole else ():
            ep.listed = False
        for line in entries:
            ep = self.servers.get(line.server) or Server(line.server)
            self.servers[line.server] = ep
            ep.cell, ep.zone, ep.relative_size = line.cell, line.zone, line.weight if self.sized else 1.0
            if line.started_at != ep.started_at:
                if ep.started_at or ep.listed:
                    self._fell(ep, line.started_at)
                ep.started_at, ep.probe_due = line.started_at, now
                self._start(ep, line.started_at, now, True)
            if cached and ep.warm_at <= now:
                self._unsure(ep, now)
                if not self.list_is_polled:  # pushed: it is current as long as no change comes
                    self.confirm_process(ep)
            elif not cached and line.state != "left":
                self._vouch(ep, now)
            was, ep.listed = ep.active, line.state != "left"
            ep.active = line.state == "active" or (was and self._stays(ep))
            changed |= ep.active != was
        for ep in self.servers.values() if not cached else ():  # and what it does not name is as it was
            self.confirm_process(ep, True)
        for ep in [e for e in self.servers.values() if whole and e.active and not e.listed]:
            ep.active = self._stays(ep)
            changed |= not ep.active
        if changed:
            active = [ep for ep in self.servers.values() if ep.active]
            self.active_servers, self.server_subset = (
                sorted(active, key=lambda ep: (ep.name_hash, ep.name)),
                None,
            )
            self.mean_relative_size = sum(ep.relative_size for ep in active) / max(1, len(active)) or 1.0
        if not self.arrival_rate:
            self.arrival_rate = START_RATE * max(1, len(self.active_servers)) / self.balancer_count
            self.load_per_tunnel = (
                min(STEP, len(self.active_servers) / self.tunnel_quota) if self.tunnel_quota else STEP
            )
            self.start_unit = self.load_per_tunnel
            self._earn(PROBE_SPEND * self.arrival_rate * LONG)
        if cached and self.list_is_polled and not self.watching:
            self._ask(now)
        self._serve_held(now)

    def _unsure(self, ep: Server, now: float) -> None:
        """Rule 4 after an own start: what became of it since is not known, so it is cold from now."""
        self._start(ep, now, now)
        ep.unconfirmed = ep.start_inferred = True

    @staticmethod
    def confirm_process(ep: Server, told: bool = False) -> None:
        """It is the process known before this balancer started, as it is told now, or by a memory of this run
        of the machine, which many that have no process gainsay."""
        if ep.unconfirmed:
            ep.unconfirmed, ep.start_inferred, ep.warm_before = not told, False, 0.0
            ep.warm_at = ep.warm_at if ep.process_missing else 0.0

    def _start(self, ep: Server, at: float, now: float, told: bool = False) -> None:
        """A process that started then, cold unless that is long ago; `told` by the list, so alike to all."""
        ep.reset()
        ep.unconfirmed, ep.warm_at = False, at + self.warm_up_window if at else 0.0
        # The balancers must not all spend a first tunnel at the same moment.
        ep.slow_start_budget, ep.budget_updated_at = self.uniform(0.0, 1.0), now
        ep.start_listed = told and at > 0.0
        ep.in_turn = ep.start_listed and self.balancer_index >= 0
        if ep.in_turn:  # by the own number and the server's age: alike whenever this balancer itself started
            ep.slow_start_budget, ep.budget_updated_at = (
                (self.balancer_index * GOLDEN + ep.name_hash / WORD) % 1.0,
                at,
            )
        self._back(ep, at)
        self._reckon(ep)

    def _stays(self, ep: Server) -> bool:
        """Whether a server in use that the list no longer has stays so: the list may be wrong about it."""
        stays = self.only_draining_excludes and not ep.listed
        if stays:
            self.mark_stale(ep)
        return stays

    def list_request_failed(self, now: float) -> None:
        """A call failed or the watch broke: ask again, later each time, apart from the others."""
        self.watching = False
        self.ask_due = now + self.ask_wait * self.uniform(0.5, 1.5)
        self.ask_wait = min(2 * self.ask_wait, self.list_poll_interval)

    def _ask(self, now: float) -> None:
        self.host.watch_list()
        # No answer at all: asked again before this balancer counts as told of what it never heard.
        self.ask_due = now + self.list_poll_interval * self.uniform(0.6, 0.9)

    @staticmethod
    def mark_stale(ep: Server) -> None:
        """Remembered, but for so long that it may be gone: suspended until heard of or listed. Guards tunnels
        from an old memory; where nothing else is ready it takes one at a time."""
        ep.stale, ep.ejected_until = True, inf

    @staticmethod
    def _vouch(ep: Server, now: float) -> None:
        if ep.stale:
            ep.stale, ep.ejected_until = False, now

    # Readiness.
    def _ready(self, tun: Tunnel, eps: list[Server], now: float) -> list[Server]:
        """Not suspended, with room, within the budget of a cold one, or asked first if it had no process."""
        at_all = [ep for ep in eps if max(ep.ejected_until, ep.unstable_until) <= now]
        return [ep for ep in self._with_room(tun, at_all, now) if self._may_get(ep, now)]

    def _with_room(self, tun: Tunnel, eps: list[Server], now: float) -> list[Server]:
        # One not heard from since this refuses nobody: it is asked again before an offer.
        again, top = now - KEPT * self.attempt_timeout if self._may_ask() else -inf, self.full
        grouped = self.renewed and tun.group
        if self.connection_limit < inf:
            bound = {e: self.connection_limit * self._share(e, now) for e in eps}
            eps = [e for e in eps if e.asked_at < again or self._busy(e, 0.0) < bound[e]]
        return [e for e in eps if e.asked_at < again or e.reckoned < (self._top(tun, e) if grouped else top)]

    def _top(self, tun: Tunnel, ep: Server) -> float:
        """The load up to which it takes a group's tunnel while the fleet is renewed: what moves leave it at
        its home, less for each place away. Guards groups from being scattered: where all old servers are
        full, the few with room get a tunnel of each. It hurts who waits while room is far from home."""
        away = (
            0.0
            if tun.group in ep.tunnels_by_group
            else self._far(tun, ep) * len(self.active_servers) / WORD - HOME
        )
        return LEVEL - AWAY * max(0.0, away)

    def _reckon(self, ep: Server) -> None:
        """The load that tells whether a server has room: the reported one, with what all balancers are likely
        to have added since. It has room under FULL. Guards against balancers that fill a server between two
        reports, and overload, where a server drops what it holds, which comes again at once. What ended or is
        moved off makes no room before a report shows it: its group may stay, the server stay full."""
        load = self.mean_load if ep.reported_busy is None else ep.reported_load
        if ep.reported_busy is None and ep.start_listed and ep.warm_at > self.round_at:
            load = 0.0  # new, and its budget guards it: the mean would shut it where the others are full
        ep.reckoned = -inf if load is None else load + self._added(ep) + ep.others  # no report: all have room

    def _added(self, ep: Server) -> float:
        """Load that all balancers are likely to have added since, each as this one did."""
        return len(ep.recent) * (min(self.load_per_tunnel, ep.adds) * self.balancer_count)

    def _crowd(self, now: float) -> float:
        """Load that others may add to a server with room, if as many tunnels wait at them, NEWS at most;
        while the fleet is renewed also if as many come to them, until that shows. By chance a part of it.
        Guards against many that each send a tunnel for the same room: some of them hold it for full."""
        if self.balancer_count <= len(self.active_servers):
            return 0.0
        each = self._spread_over(now)
        if not self.renewed:
            return min(NEWS, len(self.queue) * each)
        theirs = (
            sum(tun.state is State.QUEUED for tun in self.queue) + self.lately * LATE * self.attempt_timeout
        )
        return min(self.full, theirs * each)

    def _spread_over(self, now: float) -> float:
        """Load that a server with room gets if each of the others places one tunnel."""
        where = sum(ep.reckoned < self.full and ep.ejected_until <= now for ep in self.active_servers)
        return (self.balancer_count - 1) * self.load_per_tunnel / max(1, where)

    @staticmethod
    def _believe(ep: Server, now: float, cut: float) -> None:
        """What one tunnel adds here at most: its report has all in it that it opened before `cut`. Guards
        large, idle servers from being held full. Only room looks at it, not rule 4, as many end."""
        seen = sum(at <= cut for at in ep.took)
        if seen >= SEEN:
            ep.adds, ep.adds_at = max(UNEVEN * ep.reported_load / seen, LIGHTEST), now
        elif now - ep.adds_at > LONG:
            ep.adds = inf
        ep.took = deque((at for at in ep.took if at > cut), MOST_SEEN)
        ep.look_at = inf if len(ep.took) < SEEN else ep.look_at

    def _may_get(self, ep: Server, now: float) -> bool:
        return ep.warm_at <= now or (ep.process_missing and self._may_ask()) or self._within_budget(ep, now)

    def _within_budget(self, ep: Server, now: float) -> bool:
        """Rule 4: a cold server is ready while this balancer's share of its budget holds a tunnel. One that
        takes long to hold a whole tunnel lapses once it has held one for part of the tip span. Guards against
        many balancers that have all kept a tunnel and send it at the same moment."""
        if ep.warm_at <= now:
            return True
        if ep.in_turn and not self.slow_start_rate:  # not reckoned yet since the own start
            return False
        gain = self.slow_start_rate * min(ep.relative_size / self.mean_relative_size, LARGEST)
        gain *= (
            COLD_GUESSED if ep.start_inferred and self.tunnel_quota else 1.0
        )  # not told, a tunnel is taken at its most
        # In turn, no chance is in how many hold a tunnel's worth at one moment: all of the budget is spent,
        # and half of what the limit leaves to chance may be kept. The other half is for heavier tunnels.
        in_turn = ep.in_turn and self.budget_share == 1.0
        gain /= COLD_SAFE if in_turn else 1.0
        before, share = self._share(ep, ep.budget_updated_at), self._share(ep, now)
        ep.slow_start_budget, ep.budget_updated_at = (
            ep.slow_start_budget + gain * (before + share) / 2 * (now - ep.budget_updated_at),
            now,
        )
        if ep.in_turn and not ep.counted:  # what fell due before may have been spent before an own restart
            ep.slow_start_budget, ep.counted = ep.slow_start_budget % 1.0, True
        gain *= share
        all_may = gain * self.balancer_count * self.overload_window
        spans = max(all_may, LIGHTEST) ** -0.5 if in_turn else COLD_KEPT
        kept = gain * self.overload_window * spans
        if kept >= 1.0:
            ep.slow_start_budget = min(ep.slow_start_budget, kept)
        elif ep.slow_start_budget > 1.0 + kept:
            ep.slow_start_budget = kept + (ep.slow_start_budget - kept) % 1.0
        return ep.slow_start_budget >= 1.0

    def _share(self, ep: Server, at: float) -> float:
        """Of its capacity, what a server surely has then."""
        age = at - (ep.warm_at - self.warm_up_window)
        return min(
            1.0, self.slow_start_share + (1 - self.slow_start_share) * max(0.0, age) / self.warm_up_window
        )

    def _candidates(self, tun: Tunnel, now: float) -> list[Server]:
        """The ready servers that this tunnel may go to."""
        if self._pauses(now):
            return []
        pool = self.server_subset or self.active_servers
        able = pool if self._free(tun) else [ep for ep in pool if self._may_go(tun, ep, now)]
        ready = self._ready(tun, able, now)
        if self._keeps_home(tun, now):
            ready = self._at_home(tun, ready)
        if tun.setups:
            ready = [ep for ep in ready if all(s.server is not ep for s in tun.setups)] or ready
        if not ready and pool is not self.active_servers:
            self.server_subset = None  # the others serve until the next round
            return self._candidates(tun, now)
        # Guards against being left without servers, and a storm: one setup out, none for a time after.
        if not ready:
            due = [
                e
                for e in able
                if max(e.ejected_until, e.unstable_until) > now >= e.trial_due and not e.pending_setups
            ]
            ready = [ep for ep in self._with_room(tun, due, now) if self._may_get(ep, now)]
        return ready

    def _pauses(self, now: float) -> bool:
        """Guards against trying more where nothing opens: what all servers depend on is slow, and what times
        out is work for it too, or this balancer is cut off. It hurts who waits at the end of such a time."""
        pause = self.attempt_timeout * 2 ** min(self.consecutive_unopened - LOST, PAUSES)
        return self.consecutive_unopened >= LOST and (
            self.setups_in_progress > 0 or now < self.lost_at + pause
        )

    @staticmethod
    def _free(tun: Tunnel) -> bool:
        """Rule 2: another setup has no second effect, wherever it goes."""
        return tun.profile.semantics == "repeatable" or not any(s.may_have_run for s in tun.setups)

    @staticmethod
    def _may_go(tun: Tunnel, ep: Server, now: float) -> bool:
        """Rule 2: where another setup has no second effect."""
        if Balancer._free(tun):
            return True
        if tun.profile.semantics == "once-only":
            return False
        first, group = next(s for s in tun.setups if s.may_have_run), tun.profile.dedup_scope
        same = group == "all" or (
            first.server.zone == ep.zone if group == "zone" else first.server.cell == ep.cell
        )
        return same and now < first.sent_at + tun.profile.dedup_window

    @staticmethod
    def may_decline(tun: Tunnel) -> bool:
        """Rule 2: a decline says that another try is harmless."""
        return Balancer._free(tun) or (
            tun.profile.semantics == "referenced" and tun.profile.dedup_scope == "all"
        )

    # The ordinary path.
    def _busy(self, ep: Server, mean: float) -> float:
        return (mean if ep.reported_busy is None else ep.reported_busy) + len(ep.recent) * self.unit

    def _heard_of(self) -> list[Server]:
        return [ep for ep in self.active_servers if ep.reported_busy is not None]

    def _draw(self, tun: Tunnel, ready: list[Server]) -> list[Server]:
        """Two different ready servers at random: of those that hold the tunnel's group, first those in the
        own zone; else of the group's home or the own zone. A server pays once a group; crossings cost."""
        if len(ready) < 2:
            return ready
        held = [ep for ep in ready if tun.group in ep.tunnels_by_group] if tun.group else []
        near = [
            ep for ep in held or ready if ep.zone == (self.zone if tun.planned_zone < 0 else tun.planned_zone)
        ]
        last = self._home(tun, ready) if tun.group and self._gathers() else near
        pools = [near, held, last] if held else [last]
        first = self._pick(ready, pools, None)
        return [first, self._pick(ready, pools, first)]

    def _pick(self, ready: list[Server], pools: list[list[Server]], but: Server | None) -> Server:
        left = ([ep for ep in pool if ep is not but] for pool in (*pools, ready))
        return self.choice(next(eps for eps in left if eps))

    def _gathers(self) -> bool:
        """Whether groups are gathered, not kept in the zone: where the fleet is crowded, or own tunnels
        hardly tell where one is. Guards against groups scattered over a large fleet by a mass arrival."""
        return self.balancer_count > len(self.active_servers) or (self.mean_load or 0.0) * ABOVE > FULL_LEAST

    def _keeps_home(self, tun: Tunnel, now: float) -> bool:
        return bool(tun.group) and now < self.no_room_until and self._gathers() and not self.renewed

    def _at_home(self, tun: Tunnel, ready: list[Server]) -> list[Server]:
        """Where room is scarce, the ready servers that hold the group, and others the nearer to its home the
        fuller they are. Guards a fleet that fills again after a mass break: a server with a little room would
        pay for nearly as many groups as tunnels. It hurts one that waits while room is far from home."""
        far, home, group = AWAY * len(self.active_servers) / WORD, AWAY * HOME, tun.group
        fuller = {ep: ep.reckoned + max(home, far * self._far(tun, ep)) for ep in ready}
        return [ep for ep in ready if group in ep.tunnels_by_group or fuller[ep] < self.full + home]

    @staticmethod
    def _home(tun: Tunnel, ready: list[Server]) -> list[Server]:
        """The first ready servers in an order of the group's own, the same at all balancers, though none sees
        the others' tunnels; it goes on to the next ones as these fill."""
        return nsmallest(HOME, ready, key=lambda ep: Balancer._far(tun, ep))

    @staticmethod
    def _far(tun: Tunnel, ep: Server) -> int:
        return (tun.group_hash ^ ep.name_hash) * MIX & WORD

    def _offer(self, tun: Tunnel, now: float) -> None:
        """SRLB: the first candidate takes the tunnel if it is busy under c, else the second must. One whose
        report is old is asked first; one that has no room then is drawn anew."""
        first, mean = tun.candidates[0], self.mean_busy
        taken = False
        # Rule 1: a tunnel that waits for an answer is looked at again before its time is out.
        late = now + 2 * self.pace >= tun.deadline
        for ep in tun.candidates:
            age = now - ep.reported_at
            grown = age > self.attempt_timeout and ep.reckoned + self.inflow * age >= self.full
            old = (
                ep.process_missing
                or now - ep.asked_at > FRESH * self.attempt_timeout
                or grown
                or self._unseen(ep, now)
            )
            if not late and old and (ep.probing or self._may_ask()):
                self._ask_load(ep)
                ep.waiting.append(tun)
                tun.transition_to(State.PROBING)
                self._hold(tun, now)
                return
            self.top = max(self.top, self._busy(ep, mean))
            taken = ep is first and self._busy(ep, mean) < self.c
            if taken:
                break
        if len(tun.candidates) > 1:
            self.offers, self.accepted = self.offers + 1, self.accepted + taken
        chosen = first if taken else tun.candidates[-1]
        if not self._within_budget(chosen, now):  # it could not be asked, or its budget went meanwhile
            self._wait(tun, now)
            return
        if self.offers >= WINDOW:
            self._steer(now)
        self._send(tun, chosen, now)

    def _earn(self, spend: float) -> None:
        """Probes are paid from the credit of own tunnels; two rounds and what open ones pay are kept: guards
        against many balancers that each probe at a pace which none pays for."""
        top = 2 * max(ASKED, len(self.active_servers)) * self.probe_price
        top += PROBE_SPEND * sum(max(0, len(ep.tunnels) - SEVERAL) for ep in self.active_servers)
        self.purse = min(self.purse + spend, top)

    def _may_ask(self, kept: int = 0) -> bool:
        return self.may_probe and self.purse >= (1 + kept) * self.probe_price

    def _ask_load(self, ep: Server) -> None:
        if not ep.probing:
            self.purse -= self.probe_price
            ep.probing = True
            self.host.probe(ep)

    def _told(self, ep: Server, now: float) -> None:
        waiting, ep.waiting = ep.waiting, []
        for tun in [waits for waits in waiting if waits.state is State.PROBING]:
            tun.transition_to(State.QUEUED)
            if len(self._ready(tun, [e for e in tun.candidates if e.active], now)) == len(tun.candidates):
                self._offer(tun, now)
            else:
                self._place(tun, now)

    def _start_c(self) -> None:
        """c starts anew at the median of the first figures heard, half acceptance already: guards against one
        that stays far from the figures all day, where each offer is plain chance."""
        heard = sorted(ep.reported_busy or 0.0 for ep in self._heard_of())
        if 2 * len(heard) > len(self.active_servers):
            self.c, self.c_started = heard[len(heard) // 2], True

    def _steer(self, now: float) -> None:
        """SR_dyn: the end of a window. c moves a step toward half acceptance; the counts start again."""
        ratio = self.accepted / self.offers if self.offers >= WINDOW_LEAST else (LOW + HIGH) / 2
        if ratio < LOW and self.c < max(self.top, self.top_before):
            self.c = min(self.c + self.threshold_step, max(self.top, self.top_before))
        elif ratio > HIGH and self.c > 0:
            self.c = max(0.0, self.c - self.threshold_step)
        self.offers, self.accepted, self.window_at = 0, 0, now

    # Tunnels.
    def new_tunnel(
        self, name: str, profile: int, tenant: int, key: str, group: str, deadline: float, back: bool
    ) -> Tunnel:
        return Tunnel(name, self.profiles[profile], tenant, key, group, deadline - self.margin, back)

    def tunnel_arrived(self, tun: Tunnel, midflow: bool, now: float) -> None:
        self.arrivals += 1
        self._earn(PROBE_SPEND + ASK_SPEND)
        # A mid-flow tunnel goes to the server that has it, as far as this balancer has seen it.
        holders = (ep for ep in self.active_servers if any(t.key == tun.key for t in ep.tunnels))
        holder = next(holders, None) if midflow and tun.key else None
        if holder is not None:
            self._send(tun, holder, now)
        elif self.queue_priority and any(
            self.queue_priority(other) <= self.queue_priority(tun) for other in self.queue
        ):
            self._hold(tun, now)
        else:
            self._place(tun, now)

    def tunnel_inherited(self, tun: Tunnel, ep: Server, now: float) -> None:
        tun.setups.append(Setup(ep, now))
        tun.setups[-1].was_opened = True
        tun.transition_to(State.OPEN)
        # Guards against a start on reports that were made before these tunnels stood.
        ep.probe_due = min(ep.probe_due, now + LATE * self.attempt_timeout)
        self._earn(PROBE_SPEND if len(ep.tunnels) > SEVERAL else 0.0)

    def _place(self, tun: Tunnel, now: float) -> None:
        """Sends a held tunnel on, keeps it held while a server may yet turn up, or answers it."""
        if now >= tun.deadline or len(tun.setups) >= self.max_setups or not self._planned(tun):
            self._answer(tun, now)
            return
        ready = self._candidates(tun, now)
        if ready:
            tun.candidates = self._draw(tun, ready)
            self._offer(tun, now)
        else:
            self._wait(tun, now)

    def _wait(self, tun: Tunnel, now: float) -> None:
        # Guards rule 1: what can't wait for the next look is answered now.
        (self._hold if self._hopeful(tun, now) else self._answer)(tun, now)

    def _planned(self, tun: Tunnel) -> bool:
        """The tier's plan, where there is one: a zone by its shares, the same at each try of a client. What
        is missing to 1 no zone can bear: it is turned away where it came, and handed on to nobody."""
        left = (tun.group_hash if tun.group else _mark(tun.key)) / WORD if self.zone_shares else 0.0
        for zone, share in enumerate(self.zone_shares.get(tun.profile, ()) if not tun.setups else ()):
            left -= share
            if left < 0.0:
                tun.planned_zone = zone
                return True
        return bool(tun.setups) or not self.zone_shares

    def _hold(self, tun: Tunnel, now: float) -> None:
        self.queue[tun] = None
        self._wake(now, self.pace)

    def _hopeful(self, tun: Tunnel, now: float) -> bool:
        """Waiting may help: a list, a report or a cold budget may come."""
        if not self._free(tun) and not all(self._may_go(tun, ep, now) for ep in self.active_servers):
            return False
        left = tun.deadline - now
        return left > self.pace and left > (1.0 - WAIT) * tun.profile.client_timeout

    def _send(self, tun: Tunnel, ep: Server, now: float) -> None:
        self.queue.pop(tun, None)
        tun.setups.append(Setup(ep, now))
        tun.transition_to(State.SETTING_UP)
        ep.recent.append(now)
        ep.pending_setups, self.setups_in_progress = ep.pending_setups + 1, self.setups_in_progress + 1
        self._reckon(ep)
        ep.slow_start_budget -= ep.warm_at > now
        self.host.setup(tun, ep, min(tun.profile.attempt_timeout, tun.deadline - now))

    def _in_the_way(self, tun: Tunnel, now: float) -> str:
        """What kept a tunnel from a server, for the log: of what keeps servers back, what was nearest."""
        able = [ep for ep in self.active_servers if self._may_go(tun, ep, now)]
        well = [ep for ep in able if max(ep.ejected_until, ep.unstable_until) <= now]
        room = self._with_room(tun, well, now)
        may_get = [ep for ep in room if self._may_get(ep, now)]
        steps = (
            (self.active_servers, "no_list"), (len(tun.setups) < self.max_setups, "setups"),
            (not self._pauses(now), "pause"), (able, "no_repeat"), (well, "ejected"), (room, "full"),
            (may_get, "cold"),
            (may_get and (not self._keeps_home(tun, now) or self._at_home(tun, may_get)), "home"),
        )  # fmt: skip
        return next((why for holds, why in steps if not holds), "time")

    def _answer(self, tun: Tunnel, now: float, why: str = "") -> None:
        tun.refusal_reason = why or self._in_the_way(tun, now)
        self.declined[tun.refusal_reason] += 1
        self.queue.pop(tun, None)
        tun.transition_to(State.ENDED)
        self.no_room_until = now + SCARCE * self.attempt_timeout
        if self.may_decline(tun) and now < tun.deadline + self.margin:
            self.host.decline(tun, min(self.max_retry_after, 2 * tun.profile.attempt_timeout))
        else:
            self.host.close_with_error(tun)

    def setup_opened(self, tun: Tunnel, number: int, now: float) -> None:
        if tun.state is State.SETTING_UP and number == len(tun.setups) - 1:
            tun.transition_to(State.OPEN)
            setup = tun.setups[number]
            setup.was_opened = True
            self._vouch(setup.server, now)
            if setup.server.process_missing and not self.may_probe:
                self._returned(setup.server, None, 0.0, now)
            setup.server.took.extend([setup.sent_at] * self.weighs)
            if len(setup.server.took) == SEEN:
                setup.server.look_at = setup.sent_at + LATE * self.attempt_timeout
                self.look_due = min(self.look_due, setup.server.look_at)
            setup.server.pending_setups, self.setups_in_progress, self.consecutive_unopened = (
                setup.server.pending_setups - 1,
                self.setups_in_progress - 1,
                0,
            )
            setup.server.recent_failures -= (
                setup.server.ejected_until <= now and setup.server.recent_failures > 0
            )
            self.retry_budget = min(self.retry_budget + RETRY_SHARE, self.retry_top)

    def may_write_request(self, tun: Tunnel, number: int, now: float) -> bool:
        """Its connection is up: rules 1 to 3 bind what is written now, not only what was chosen before."""
        setup = tun.setups[number]
        holds = (
            setup.in_progress and tun.state is State.SETTING_UP and setup.server.active and now < tun.deadline
        )
        setup.may_have_run = holds and self._may_go(tun, setup.server, now)
        # Guards rule 4 where a restart was told while it was dialled: the new process has its own budget.
        if setup.may_have_run and setup.server.started_at != setup.server_started_at:
            setup.may_have_run = self._within_budget(setup.server, now)
            setup.server.slow_start_budget -= setup.may_have_run and setup.server.warm_at > now
        return setup.may_have_run

    def setup_ended(
        self, tun: Tunnel, number: int, ending: Ending, closed: bool, told: Report, now: float
    ) -> None:
        setup = tun.setups[number]
        setup.in_progress, setup.may_have_run, was_open = False, ending not in NEVER_RAN, setup.was_opened
        setup.server.pending_setups, self.setups_in_progress = (
            setup.server.pending_setups - (not was_open),
            self.setups_in_progress - (not was_open),
        )
        if not was_open and ending in ("timeout", "full", "error", "no-connection"):
            self.consecutive_unopened, self.lost_at = self.consecutive_unopened + 1, now
        if told:
            self._heard(setup.server, told, now)
        setup.erred = ending == "error" and not was_open
        blamed = [s.server for s in tun.setups[:number] if s.erred and s.server is not setup.server]
        spoilt = setup.erred and bool(blamed)
        if spoilt:
            # Guards the servers' standing against a tunnel that each of them fails: no third one is tried.
            for ep in blamed:
                ep.ejected_until, ep.recent_failures = now, max(0, ep.recent_failures - 1)
        elif ending in ("error", "timeout", "no-connection") or (ending == "full" and setup.server.active):
            self._struck(setup.server, ending, now)
        elif ending == "reset":  # a process that ends breaks all at once; one overdriven does not
            setup.server.probe_due = min(setup.server.probe_due, now)
            at_once = now <= setup.server.broke_at + self.pace
            setup.server.broke, setup.server.broke_at = 1 + setup.server.broke * at_once, now
        if tun.state is State.ENDED:
            return
        if closed:
            self.queue.pop(tun, None)
            tun.transition_to(State.ENDED)
        elif not was_open:
            if not setup.may_have_run and setup.sent_at in setup.server.recent:
                setup.server.recent.remove(setup.sent_at)
                self._reckon(setup.server)
            tun.transition_to(State.QUEUED)
            # Guards against a storm of our own making: where little is opened, little is tried again.
            if self.retry_budget >= 1.0 and not spoilt:
                self.retry_budget -= 1.0
                self._place(tun, now)
            else:
                self._answer(tun, now, "retries")
        else:  # an open tunnel whose end was not final
            tun.transition_to(State.ENDED)
            self.host.close_with_error(tun)

    def client_left(self, tun: Tunnel, now: float) -> None:
        self.queue.pop(tun, None)
        if tun.state is State.ENDED:
            return
        was_open = tun.state is State.OPEN
        tun.transition_to(State.ENDED)
        for number, setup in enumerate(() if was_open else tun.setups):
            if setup.in_progress and (
                self.may_cancel or not setup.may_have_run
            ):  # what was not sent can be dropped
                self.host.cancel(tun, number)

    def record_load(self, tun: Tunnel, load: float, now: float) -> None:
        """Guards against a tunnel that grows heavy while its server's last report still looks well."""
        if tun.state is State.OPEN:
            ep = tun.setups[-1].server
            usual = self._usual(ep.tunnels)
            if (load - (tun.load or usual)) * self.load_per_tunnel >= NEWS * usual:
                ep.probe_due = min(ep.probe_due, now + LATE * self.attempt_timeout)
        tun.load = load

    @staticmethod
    def _usual(tunnels: Iterable[Tunnel]) -> float:
        known = [tun.load for tun in tunnels if tun.load]
        return sum(known) / len(known) if known else 1.0

    def record_delay(self, tun: Tunnel, delay: float, now: float) -> None:
        """Messages at its server take long: it is asked for its load and suspended, and a part of its tunnels
        is moved off as from one asked for too much, again after LATE unless messages grow quicker. Guards
        against whatever is slow for this balancer while reports look well: an untrue or old report, a noisy
        neighbour, an ageing machine, a way, a slow-down of all. Own messages are evidence that a report is
        not. It hurts where one tunnel's messages are slow by themselves, until quick ones lift it."""
        if tun.state is not State.OPEN:
            return
        ep = tun.setups[-1].server
        if delay <= QUICK * self.attempt_timeout and ep.slow:
            ep.slow, ep.ejected_until = False, now
        elif delay > SLOW * self.attempt_timeout:
            ep.slow = True
            ep.probe_due = min(ep.probe_due, max(now, ep.reported_at + self.attempt_timeout))
            self._struck(ep, "timeout", now)
            if delay > CATCHING_UP * ep.delay:
                ep.reported_load = max(ep.reported_load, OVERDRIVEN)
                self._reckon(ep)
                self._shed(ep, now, LATE)
        ep.delay = delay

    def record_silence(self, tun: Tunnel, span: float, now: float) -> None:
        """Guards against a machine that vanishes: its connections stay open and bring nothing back."""
        if tun.state is State.OPEN and span >= min(SILENT * self.attempt_timeout, SILENT_MOST):
            self._struck(tun.setups[-1].server, "timeout", now)
            tun.transition_to(State.ENDED)
            self.host.migrate(tun)

    # Health.
    def _struck(self, ep: Server, ending: Ending, now: float) -> None:
        ep.trial_due = now + LATE * self.attempt_timeout * self.uniform(0.5, 1.5)
        if ep.ejected_until <= now:
            ep.recent_failures = min(ep.recent_failures + 1, 4)
            ep.ejected_until = now + self.attempt_timeout * 4 * 2**ep.recent_failures * self.uniform(0.8, 1.2)
        if ending == "no-connection":
            self.falls[ep.cell].extend(() if ep.process_missing else (now,))
            ep.refused_at = now
            self._fell(ep, now)
            # Many of an old list, never heard: the power of all may have gone, so none is taken to be warm.
            old = [other for other in self.active_servers if other.unconfirmed]
            gone = sum(other.process_missing and other.reported_at < 0.0 for other in old) >= MANY
            for other in [o for o in old if o.warm_at <= now] if gone else ():
                self._unsure(other, now)

    def _unseen(self, ep: Server, now: float) -> bool:
        """Several of its cell lost their process lately, and of this one nothing was seen since: no report,
        no own tunnel that stands. Guards rule 4 where a rack or all power goes: a balancer that had nothing
        there would fill it at once. It hurts what was idle before."""
        first, last = self.falls[ep.cell]
        seen = ep.reported_at >= last or any(tun.setups[-1].sent_at < last for tun in ep.tunnels)
        return not seen and now - first < self.warm_up_window

    def _fell(self, ep: Server, at: float) -> None:
        """It has no process. Until it is heard, it may get what one that starts then may."""
        if not ep.process_missing:
            ep.process_missing = True
            ep.spell = max(ep.spell, at - ep.back_at) if at - ep.back_at < LONG else 0.0
            ep.warm_before, ep.warm_at = ep.warm_at, inf
            ep.slow_start_budget, ep.budget_updated_at = min(ep.slow_start_budget, self.uniform(0.0, 1.0)), at

    def _returned(self, ep: Server, figure: float | None, load: float, now: float) -> None:
        """One that had no process, or broke own tunnels at a moment, answers again. Rule 4, where no list
        tells: it was out of reach or full if it holds half of what it and all others did, and own tunnels
        stand or its load is more than a new one grows to; not after both. Else it started now: its report
        before may be an old one, and others may fill it at once. It hurts one that emptied meanwhile."""
        at, before = max(ep.refused_at, ep.broke_at), max(self.mean_busy, ep.reported_busy or 0.0)
        warm_at = ep.warm_before if ep.process_missing else ep.warm_at
        told = (
            ep.reported_busy is None and warm_at > now and not ep.start_inferred
        )  # started lately, and not heard since
        old = (
            any(t.setups[-1].sent_at < at for t in ep.tunnels)
            or self._grown(load) > now - at + self.attempt_timeout
        )
        if told or (
            old and (figure or 0.0) > RESTARTED * before and not (ep.process_missing and ep.broke >= BROKEN)
        ):
            ep.warm_at = warm_at
        else:
            self._start(ep, now, now)
            ep.start_inferred = True
        ep.broke = 0
        self._back(ep, now)

    def _grown(self, load: float) -> float:
        """How long a load takes at least to come within the budget that all spend on one that starts."""
        return load * self.warm_up_window / (COLD_SAFE * LARGEST * self.overload_factor)

    @staticmethod
    def _back(ep: Server, at: float) -> None:
        """Guards against a server that fails by turns, whatever the cause: it would break tunnels each time.
        Once it has fallen again within LONG it is held back for longer than it ever stayed up; one that
        restarts once is not. It hurts one just mended after several falls, for as long as those lay apart."""
        if ep.process_missing:
            ep.process_missing, ep.back_at = False, at
            ep.unstable_until = at + HOLD * ep.spell

    # Reports.
    def probe_ended(self, ep: Server, ending: Ending, report: Report, now: float) -> None:
        ep.probing, ep.asked_at = False, now
        if ending == "ok":
            self._vouch(ep, now)
        elif ending == "moot":  # it never went out
            self.purse += self.probe_price
        if ending == "ok" and report:
            self._heard(ep, report, now)
            self._shed(ep, now)
        elif ending == "ok" and ep.process_missing:
            self._returned(ep, None, 0.0, now)
        elif ending in ("error", "timeout", "no-connection", "reset"):
            self._struck(ep, ending, now)
        self._told(ep, now)

    def _heard(self, ep: Server, report: Report, now: float) -> None:
        load = report.get("load", 0.0)
        figure = next((report[word] for word in ("connections", "load", "backlog") if word in report), None)
        empty = self._unseen(ep, now) and (figure or 0.0) <= RESTARTED * self.mean_busy
        if ep.process_missing or ep.broke >= BROKEN or empty:
            self._returned(ep, figure, load, now)
        ep.reported_load, ep.reported_at, ep.asked_at = load, now, now
        if ep.start_inferred:
            ep.warm_at = min(ep.warm_at, now - self._grown(load) + self.warm_up_window)
        ep.reported_busy = ep.reported_busy if figure is None else figure
        # Guards against reports that are late: what was placed just before is not in them yet.
        cut = now - LATE * self.attempt_timeout
        ep.recent = [at for at in ep.recent if at > cut]
        if "load" in report:
            self._believe(ep, now, cut)
            ep.others = self.uniform(0.0, self._crowd(now))
        self._reckon(ep)
        if not self.c_started:
            self._start_c()

    def _shed(self, ep: Server, now: float, settle: float = SETTLE) -> None:
        """Moves this balancer's share of what a server holds too much. Guards against a server asked for more
        than it can do: it would answer late and drop tunnels anyway. All hear the same load: the same part of
        each one's tunnels takes it to the level, a crowded fleet's median, against clients sent round. Where
        that is under its top, it gives up whole groups, the least at home first: light tunnels keep what
        groups cost."""
        ep.shed = 0.0 if now - ep.shed_at >= settle * self.attempt_timeout else ep.shed
        if ep.reported_load < self.level + OVER or not ep.tunnels:
            return
        # What was moved off so lately is not in the report yet.
        part = 1.0 - self.level / ep.reported_load / (1.0 - ep.shed)
        if part < OVER * bool(ep.shed):
            return
        ep.shed, ep.shed_at = 1.0 - (1.0 - ep.shed) * (1.0 - part), now
        if len(ep.tunnels) > SEVERAL:  # whether it was enough
            ep.probe_due = min(ep.probe_due, now + SETTLE * self.attempt_timeout)
        whole = ep.reported_load >= 1.0 and self.level < LEVEL and len(ep.tunnels) > SEVERAL
        usual = self._usual(ep.tunnels)
        cost = self._usual(
            tun for at in self.active_servers for tun in at.tunnels
        )  # about what a group costs
        units: dict[Tunnel | str, list[Tunnel]] = {}
        for tun in reversed(ep.tunnels):
            units.setdefault((whole and tun.group) or tun, []).append(tun)
        weight = {u: sum(t.load or usual for t in units[u]) + cost * isinstance(u, str) for u in units}
        excess = part * sum(weight.values())
        # Else the heaviest first, then the newest: the fewest clients are sent round.
        far = {unit: self._far(units[unit][0], ep) if isinstance(unit, str) else unit.load for unit in units}
        for unit in sorted(units, key=lambda u: -far[u]):
            if excess < weight[unit] * self.chance():
                break
            excess -= weight[unit]
            for tun in units[unit]:
                tun.transition_to(State.ENDED)
                self.host.migrate(tun)

    # By the clock.
    def _wake(self, now: float, delay: float) -> None:
        if now + delay < self.tick_due - 1e-6:
            self.tick_due = now + delay
            self.host.set_timer(delay)

    def timer_due(self, now: float) -> None:
        if now < self.tick_due - 1e-3:
            return  # a timer that an earlier one has overtaken
        self.tick_due = inf
        try:
            if now >= self.round_due:
                self._round(now)
            elif now >= self.look_due and self.may_probe:
                # Guards tunnels that wait from being declined just before a report can tell of room.
                self._probe(now)
            self._serve_held(now)
        finally:  # guards who waits against a fault here: without the next tick nobody would be served again
            self._wake(now, self.pace if self.queue else max(self.round_due - now, self.pace))

    def _round(self, now: float) -> None:
        span, self.round_at = now - self.round_at, now
        self.round_due = now + self.attempt_timeout
        self.arrival_rate += (
            (self.arrivals - self.arrival_rate * span) * min(1.0, span / LONG) / max(span, 1e-6)
        )
        lately = min(1.0, span / (SCARCE * self.attempt_timeout)) / max(span, 1e-6)
        self.lately += (self.arrivals - self.lately * span) * lately
        self.arrivals = 0
        # Guards tunnels on a quiet day, where hardly any opens, from being declined at their first failure.
        self.retry_budget = min(self.retry_budget + RETRY_SHARE, self.retry_top)
        if self.list_is_polled and not self.watching and now >= self.ask_due:
            self._ask(now)
        if now - self.window_at >= WINDOW_TIME:
            self._steer(now)
        if now - self.top_at >= LONG:
            self.top_before, self.top, self.top_at = self.top, 0.0, now
        self._learn(span)
        young = sum(ep.start_listed and ep.warm_at > now - self.warm_up_window for ep in self.active_servers)
        self.renewed = self.balancer_count > len(self.active_servers) and young > RENEWED * len(
            self.active_servers
        )
        self.inflow = self.lately * self._spread_over(now) if self.renewed else 0.0
        if self.may_probe:
            self._probe(now)

    def _learn(self, span: float) -> None:
        """What the limit is, what one tunnel adds to a load, and what a cold server may get."""
        heard = self._heard_of()
        total = sum(ep.reported_load for ep in heard)
        if heard:
            self.mean_load = total / len(heard)
            self.mean_busy = sum(self._busy(ep, 0.0) for ep in heard) / len(heard)
            # Guards a server from a fleet's tunnels that all find it first, as a home or as new: where
            # loads are not told, none takes over 1.25 times the mean of connections at those in use, by what
            # it can do at its age; with those to come, if several wait here. It hurts who could do more.
            well = [ep for ep in heard if ep.ejected_until <= self.round_at and not ep.process_missing]
            if (
                well
                and not self.weighs
                and not self.fraction
                and self.balancer_count > len(self.active_servers)
            ):
                able = sum(self._share(ep, self.round_at) for ep in well)
                come = max(0, len(self.queue) - 1) * self.balancer_count
                stand = sum(self._busy(ep, 0.0) for ep in well)
                self.connection_limit = max(1.0, (stand + come) / able) * LEVEL / FULL
            # Guards against tunnels that wait while no server is near its top; a plan says how full they get.
            usual = FULL if self._waits() else min(max(FULL_LEAST, ABOVE * self.mean_load), FULL)
            self.full = LEVEL if self.zone_shares else usual
            median = sorted(ep.reported_load for ep in heard)[len(heard) // 2]
            self.level = min(max(self.full, median), LEVEL)
        count = sum(len(ep.tunnels) for ep in heard)
        if count >= 2 * len(heard) > 0:
            # Never nought, also where no load is reported. It rises slowly: guards one that has just started,
            # holds few tunnels where the others hold many, and would find all servers full.
            seen = max(total / (count * self.balancer_count), LIGHTEST) if total else STEP
            self.load_per_tunnel = min(
                seen, self.load_per_tunnel + (seen - self.load_per_tunnel) * min(1.0, span / LONG)
            )
            self.unit = self.load_per_tunnel if self.fraction else self.unit
        for ep in self.active_servers:
            self._reckon(ep)
        # Rule 4. A server that starts can take as many tunnels a second as fill it over its warm-up. Settings
        # tell what fills it: guards against a storm that raises it, and many tunnels that seem to be light.
        warm = 1.0 / (max(self.load_per_tunnel, self.start_unit) * self.warm_up_window)
        self.slow_start_rate = (
            COLD_SAFE * self.overload_factor * warm / self.balancer_count * self.budget_share
        )

    def set_budget_share(self, part: float, now: float) -> None:
        """Rule 4: balancers lend one another parts of the budget; what was saved is by the part before."""
        for ep in self.active_servers:
            self._within_budget(ep, now)
        self.slow_start_rate, self.budget_share = self.slow_start_rate / self.budget_share * part, part

    def _probe(self, now: float) -> None:
        """Probes each server so often that these probes cost a set part of the credit asked for."""
        live = self.active_servers
        every = max(
            len(live) * self.probe_price / (max(self.arrival_rate, 0.01) * PROBE_SPEND), 2 * self.pace
        )
        self._take_part(every)
        every *= len(self.server_subset or live) / max(1, len(live))
        waits = self.balancer_count <= len(live) and self._waits()  # else each asks for too few tunnels
        # From a start by chance: where not all can be probed, balancers probe others.
        use = self.server_subset or live
        first = int(self.chance() * len(use))
        for ep in use[first:] + use[:first]:
            # Guards against tunnels that wait for servers which have long had room again.
            age = now - ep.reported_at
            news = age >= self.attempt_timeout and self._added(ep) >= NEWS
            if waits and ep.reckoned >= self.full and age >= self.attempt_timeout:
                news, waits = True, False
            # Guards against paying for reports of servers that may get nothing yet, whatever they tell.
            gets = ep.tunnels or ep.process_missing or self._within_budget(ep, now)
            if ep.ejected_until > now + LATE * self.attempt_timeout or not gets:
                continue
            look = ep.look_at <= now and bool(self.queue)
            due = look or news or ep.probe_due <= now
            if due and not ep.probing and self._may_ask(0 if look else ASKED):
                # A probe may bring no report, as when the server has none yet: asked again sooner.
                wait = min(every, LATE * self.attempt_timeout) if ep.reported_busy is None else every
                ep.probe_due = now + wait * self.uniform(0.8, 1.2)
                self._ask_load(ep)
        self.look_due = min((ep.look_at for ep in self.active_servers if ep.look_at > now), default=inf)

    def _take_part(self, every: float) -> None:
        """Where own tunnels can't pay for asking two candidates, nor probes by the clock keep all reports, a
        balancer takes every n-th of the list from a start of its own: by mark, out of step with zones and
        kinds; as many balancers share a part as leave no server without one."""
        n = 1
        if self.may_probe and 2 * self.probe_price > PROBE_SPEND + ASK_SPEND:
            n = min(
                int(every / LONG), len(self.active_servers) // PART_LEAST, self.balancer_count // PART_LEAST
            )
        self.server_subset = self.active_servers[int(self.start * n) :: n] if n > 1 else None

    def _waits(self) -> bool:
        return any(tun.state is State.QUEUED for tun in self.queue)

    def _serve_held(self, now: float) -> None:
        none_ready = set[str]()  # for tunnels that may go anywhere, or of that group: they need not all look
        for tun in sorted(self.queue, key=self.queue_priority) if self.queue_priority else list(self.queue):
            if tun.state is State.PROBING and now + 2 * self.pace >= tun.deadline:
                tun.transition_to(State.QUEUED)  # no time is left to wait for an answer
                # Guards rule 4: a cold server's budget may have gone to another tunnel meanwhile.
                drawn = [ep for ep in tun.candidates if ep.active and self._within_budget(ep, now)]
                ready = self._ready(tun, drawn, now)
                if ready:
                    self._send(tun, ready[-1], now)
                else:
                    self._answer(tun, now)
            elif tun.state is State.QUEUED:
                group = tun.group if self.renewed else ""
                found = group in none_ready or len(none_ready) >= LOOKS
                if not found or tun.setups or not self._hopeful(tun, now):
                    self._place(tun, now)
                    none_ready.update((group,) if tun.state is State.QUEUED else ())
