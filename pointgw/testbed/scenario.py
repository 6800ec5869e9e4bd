"""Scenario files (TOML): sizes of the fleet, demand, and a timeline of troubles; validated as a whole."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from pointgw import validation
from pointgw.fault_proxy.script import Rule

Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
NonNegative = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=10_000)]

MAX_BALANCERS = 90  # the address plan has room for these
MAX_SERVERS = 200  # the address plan has room for these
LIBRARY_FOLDER = Path(__file__).parent / "scenarios"
TroubleName = Literal[
    "balancer-kill", "balancer-stop", "balancer-reload", "balancer-pause", "server-drain", "server-kill",
    "server-errors", "server-hang", "server-pause", "server-slow", "server-full", "server-start",
    "reports-stuck", "reports-absent", "discovery-silent", "discovery-503",
    "discovery-reset", "discovery-late", "discovery-stale", "discovery-lower", "burst", "clients-dropped",
    "slow-readers", "links", "peers-split", "peers-one-way", "peers-lossy", "peers-again",
]  # fmt: skip
Target = Literal["balancer", "server", "discovery", "clients", "links", "peers"]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all parts of a scenario: immutable, with no unknown keys."""


class Kind(StrictStruct, frozen=True, forbid_unknown_fields=True):
    """A kind of server machine."""

    name: str
    share: Positive = 1.0  # of the fleet, relative to the other kinds'
    capacity: Positive = 1.0  # work a second


class Fleet(StrictStruct, frozen=True, forbid_unknown_fields=True):
    """Balancers and servers, and how they are set up. Times in seconds."""

    balancers: Annotated[int, msgspec.Meta(ge=1, le=MAX_BALANCERS)] = 3
    servers: Annotated[int, msgspec.Meta(ge=2, le=MAX_SERVERS)] = 12
    spare_servers: Count = 0  # not running at the start; `server-start` starts them
    zones: tuple[str, ...] = ("a", "b")
    kinds: tuple[Kind, ...] = (Kind("m", 1.0, 1.0),)
    holds: PositiveCount = 2000  # tunnels that a server accepts before it is full
    group_cost: NonNegative = 0.0  # work a second for each group with a tunnel at the server
    setup_work: NonNegative = 0.004  # work for a setup
    message_work: NonNegative = 0.0002  # work for a message, from which its answer's delay follows
    cold_from: Fraction = 0.2  # slow start: share of capacity at first
    cold_seconds: Positive = 10.0  # slow start: until full capacity
    tip_multiple: Positive = 3.0  # overload factor: this multiple of its capacity overloads a cold server
    tip_seconds: Positive = 2.0  # overload window
    thrash: Fraction = 0.3  # share of capacity lost while the backlog exceeds a second of work
    drops_after: Positive = 3.0  # backlog, in seconds of work, above which a server drops its heaviest tunnel
    report_every: Positive = 0.2  # interval of a server's load reports
    report_late: NonNegative = 0.03  # delay of a report
    report_noise: Fraction = 0.05  # error of a report's figures, as a share
    tells_load: bool = True  # servers send LOAD
    drain_grace: Positive = 0.5  # time within which a notified balancer has to stop sending
    probes: bool = True
    tells_shares: bool = False  # settings give the tenant's quota of connections
    max_setups: PositiveCount = 4
    probe_price: NonNegative = 0.005
    remembers: bool = False  # balancers write snapshots to disk, in the run's folder
    talks: bool = False  # balancers form a cluster: peers in the start-up file, and `[tier]`
    regions: dict[str, tuple[str, ...]] = {}  # zones by region, for the cluster
    recovers: bool = False  # balancers lease slow-start capacity from each other: peers, and `[recovery]`

    @property
    def has_peers(self) -> bool:
        """Whether balancers exchange datagrams."""
        return self.talks or self.recovers


class Profile(StrictStruct, frozen=True, forbid_unknown_fields=True):
    """A profile in the settings of balancers, and its share of the demand. Times in seconds."""

    name: str
    share: Positive = 1.0  # of the clients, relative to the other profiles'
    semantics: Literal["pure", "token", "side_effect"] = "pure"
    group: Literal["all", "zone", "cell"] = "all"
    window: NonNegative = 5.0  # dedup window of a token
    setup_goal: Positive = 0.3  # attempt timeout
    client_timeout: Positive = 1.8
    credit: Positive = 1.0


class Demand(StrictStruct, frozen=True, forbid_unknown_fields=True):
    """What clients do. Times in seconds."""

    arrivals: Positive = 12.0  # new clients a second, Poisson
    standing: Count = 0  # further clients, which arrive within the first three seconds
    life: Positive = 12.0  # lifetime of a tunnel, the median of a lognormal distribution
    life_sigma: NonNegative = 0.8
    load: Positive = 0.004  # work a second that a tunnel asks for, the median
    load_sigma: NonNegative = 0.6
    swing: Fraction = 0.4  # range of load changes in a tunnel's lifetime, as a share of the load
    groups: Count = 0  # 0: tunnels without a group
    message_every: Positive = 1.0  # interval of a client's lines
    burst_every: NonNegative = 0.0  # interval of small bursts; 0: none
    burst_size: PositiveCount = 20
    retry_first: Positive = 0.1  # delay before the first retry, doubled for each further one
    retry_last: Positive = 2.0  # upper bound of that delay
    tries: PositiveCount = 8  # attempts in a row, after which a client waits at least 5 * `retry_last`
    slow_readers: Fraction = 0.0  # share of clients that read a few bytes at a time


class Trouble(StrictStruct, frozen=True, forbid_unknown_fields=True):
    """One entry of the timeline. Troubles may overlap. Times in seconds."""

    at: NonNegative  # from the scenario's start
    what: TroubleName
    seconds: NonNegative = 0.0  # duration; 0: until the end, or a single event
    which: tuple[Count, ...] = ()  # numbers of the balancers or servers; empty: `count` at random
    count: PositiveCount = 1
    # Share of setups that fail, of capacity left, of clients dropped, of datagrams lost; demand factor.
    size: NonNegative = 1.0
    late: NonNegative = 1.5  # until discovery notices; or the greatest delay of a datagram
    rule: tuple[Rule, ...] = ()  # links: rules of their fault proxies
    side: Literal["servers", "clients"] = "servers"  # links: to servers, or from clients
    of: tuple[Count, ...] = ()  # links to servers: only of these balancers; empty: of all
    power: bool = False  # balancer-kill: the machine loses power, so it has a new boot id afterwards

    @property
    def target(self) -> Target:
        """The kind of process or connection that the trouble concerns."""
        match self.what.split("-")[0]:
            case "balancer":
                return "balancer"
            case "server" | "reports":
                return "server"
            case "discovery":
                return "discovery"
            case "links":
                return "links"
            case "peers":
                return "peers"
        return "clients"


class Scenario(StrictStruct, frozen=True, forbid_unknown_fields=True):
    """A scenario file."""

    name: str
    about: str  # one line for people
    seconds: Annotated[float, msgspec.Meta(ge=5.0, le=3600.0)] = 40.0
    seed: int = 1
    fleet: Fleet = Fleet()
    demand: Demand = Demand()
    profile: tuple[Profile, ...] = (Profile("tally-sync", 0.6, credit=2.0), Profile("sheet-view", 0.4))
    trouble: tuple[Trouble, ...] = ()

    def check(self) -> Iterator[tuple[str, object, str]]:
        """Yields each invalid value: its key, the value, and what is expected."""
        if self.fleet.servers + self.fleet.spare_servers > MAX_SERVERS:
            yield "fleet.spare_servers", self.fleet.spare_servers, f"at most {MAX_SERVERS} servers in all"
        for i, trouble in enumerate(self.trouble):
            if trouble.at + trouble.seconds > self.seconds:
                yield f"trouble[{i}].at", trouble.at, f"an end within the scenario's {self.seconds:g} seconds"
            servers = self.fleet.servers + self.fleet.spare_servers
            of_servers = trouble.target == "server" or (trouble.target, trouble.side) == ("links", "servers")
            limit = servers if of_servers else self.fleet.balancers
            for number in trouble.which:
                if number >= limit:
                    yield f"trouble[{i}].which", number, f"numbers below {limit}"
            if any(number >= self.fleet.balancers for number in trouble.of):
                yield f"trouble[{i}].of", trouble.of, f"numbers below {self.fleet.balancers}"
            if trouble.target == "peers" and not self.fleet.has_peers:
                yield f"trouble[{i}].what", trouble.what, "fleet.talks or fleet.recovers, for peers"
            if trouble.what == "links" and not trouble.rule:
                yield f"trouble[{i}].rule", (), "at least one rule for links"
            if trouble.what == "server-start" and not self.fleet.spare_servers:
                yield f"trouble[{i}].what", trouble.what, "fleet.spare_servers above 0"


def read(name: str) -> Scenario:
    """Reads a scenario by its path, or by its name in the library. Raises `validation.InvalidFileError`."""
    path = Path(name)
    if not path.suffix and not path.exists():
        if name not in scenario_names():
            expected = "a file, or one of " + ", ".join(scenario_names())
            raise validation.InvalidFileError(name, [validation.InvalidValue("", "", expected)])
        path = LIBRARY_FOLDER / f"{name}.toml"
    return validation.read(path, Scenario)


def scenario_names() -> list[str]:
    """Names of the scenarios in the library, sorted."""
    return sorted(path.stem for path in LIBRARY_FOLDER.glob("*.toml"))


def balancer_settings(scenario: Scenario, zone: int) -> dict[str, Any]:
    """The `settings` of a balancer's start-up file; times in milliseconds."""
    fleet = scenario.fleet
    capacity = fleet.servers / (scenario.demand.load or 1.0)
    content: dict[str, Any] = {
        "instances": fleet.balancers, "zone": zone, "zones": list(fleet.zones),
        "kinds": [kind.name for kind in fleet.kinds], "tenants": [{"name": "all"}],
        "membershipMode": "subscribe", "report": {"fields": ["busy", "rate", "x0"], "how": "on_probe"},
        "prices": {"probe": fleet.probe_price},
        "limits": {
            "maxSetups": fleet.max_setups, "probes": fleet.probes, "mayCancel": True,
            "connectTimeout": 120.0, "retryAfter": False,
        },
        "rules": {
            "askEvery": 6000.0, "stopSendingWithin": fleet.drain_grace * 1e3, "coldFrom": fleet.cold_from,
            "cold": fleet.cold_seconds * 1e3, "tipMultiple": fleet.tip_multiple,
            "fall": fleet.tip_seconds * 1e3,
        },
        "profiles": [
            {
                "name": p.name, "semantics": p.semantics, "group": p.group, "dedupWindow": p.window * 1e3,
                "setupGoal": p.setup_goal * 1e3, "clientTimeout": p.client_timeout * 1e3, "credit": p.credit,
            }
            for p in scenario.profile
        ],
    }  # fmt: skip
    if fleet.tells_shares:
        content["domain"] = {"tenantQuotaConnections": [capacity]}
    return content
