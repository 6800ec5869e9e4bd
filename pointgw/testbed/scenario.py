"""A scenario: sizes, demand, and a timeline of troubles. TOML, checked as a whole."""

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

MAX_BALANCERS, MAX_SERVERS = 90, 200  # as the rig's addresses are laid out
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
    pass


class Kind(StrictStruct, frozen=True, forbid_unknown_fields=True):
    """A kind of server machine."""

    name: str
    share: Positive = 1.0  # of the fleet, against the other kinds'
    capacity: Positive = 1.0  # work a second, against the others'


class Fleet(StrictStruct, frozen=True, forbid_unknown_fields=True):
    balancers: Annotated[int, msgspec.Meta(ge=1, le=MAX_BALANCERS)] = 3
    servers: Annotated[int, msgspec.Meta(ge=2, le=MAX_SERVERS)] = 12
    spare_servers: Count = 0  # not running at the start; `server-start` starts them
    zones: tuple[str, ...] = ("a", "b")
    kinds: tuple[Kind, ...] = (Kind("m", 1.0, 1.0),)
    holds: PositiveCount = 2000  # connections that a server accepts, then it is full
    group_cost: NonNegative = 0.0  # work a second that a server pays for each group it holds, once
    setup_work: NonNegative = 0.004  # work that a setup costs
    message_work: NonNegative = 0.0002  # work within one message, as the shortest time of an answer
    cold_from: Fraction = 0.2  # the share of capacity that a server starts with
    cold_seconds: Positive = 10.0  # until it has all of it
    tip_multiple: Positive = 3.0  # work sent over what it can do then, for `tip_seconds`: it falls over
    tip_seconds: Positive = 2.0
    thrash: Fraction = 0.3  # of capacity lost while over a second of work is piled up
    drops_after: Positive = 3.0  # seconds of work piled up at which a server drops its heaviest tunnel
    report_every: Positive = 0.2  # seconds between two looks of a server at itself
    report_late: NonNegative = 0.03
    report_noise: Fraction = 0.05
    tells_load: bool = True  # servers say LOAD
    drain_grace: Positive = 0.5  # seconds after which nothing new may come once a balancer was told
    probes: bool = True
    tells_shares: bool = False  # settings tell how many tunnels the tenants' shares allow
    max_setups: PositiveCount = 4
    probe_price: NonNegative = 0.005
    remembers: bool = False  # balancers keep a memory on disk, in the run's folder
    talks: bool = False  # balancers know of each other: peers for them, and `[tier]`
    regions: dict[str, tuple[str, ...]] = {}  # zones by region, for that
    recovers: bool = False  # balancers lend one another cold room: peers for them, and `[recovery]`

    @property
    def has_peers(self) -> bool:
        """Whether balancers hear one another."""
        return self.talks or self.recovers


class Profile(StrictStruct, frozen=True, forbid_unknown_fields=True):
    name: str
    share: Positive = 1.0
    semantics: Literal["pure", "token", "side_effect"] = "pure"
    group: Literal["all", "zone", "cell"] = "all"
    window: NonNegative = 5.0
    setup_goal: Positive = 0.3
    client_timeout: Positive = 1.8
    credit: Positive = 1.0


class Demand(StrictStruct, frozen=True, forbid_unknown_fields=True):
    arrivals: Positive = 12.0  # new clients a second, Poisson
    standing: Count = 0  # clients that come within the first three seconds, before these
    life: Positive = 12.0  # seconds, the median of a lognormal
    life_sigma: NonNegative = 0.8
    load: Positive = 0.004  # work a second that a tunnel asks, the median
    load_sigma: NonNegative = 0.6
    swing: Fraction = 0.4  # of the load, up and down over a tunnel's life
    groups: Count = 0  # 0: each client by itself
    message_every: Positive = 1.0  # seconds between a client's lines
    burst_every: NonNegative = 0.0  # seconds between two small bursts; 0: none
    burst_size: PositiveCount = 20
    retry_first: Positive = 0.1  # seconds until a client comes again; doubled each time, up to
    retry_last: Positive = 2.0
    tries: PositiveCount = 8  # after these it stays away
    slow_readers: Fraction = 0.0  # of the clients: they read a few bytes at a time


class Trouble(StrictStruct, frozen=True, forbid_unknown_fields=True):
    """One entry of the timeline; any of them may overlap."""

    at: NonNegative
    what: TroubleName
    seconds: NonNegative = 0.0  # how long; 0: for good, or just once
    which: tuple[Count, ...] = ()  # numbers of the balancers or servers; none: `count` by chance
    count: PositiveCount = 1
    size: NonNegative = (
        1.0  # share of setups that fail, of capacity left, of clients dropped; times the demand;
    )
    # of datagrams lost
    late: NonNegative = 1.5  # seconds until discovery notices; that a datagram is late at most
    rule: tuple[Rule, ...] = ()  # links: what their boxes do
    side: Literal["servers", "clients"] = "servers"  # links: those to servers, or from clients
    of: tuple[Count, ...] = ()  # links to servers: of these balancers alone; none: of all
    power: bool = False  # balancer-kill: their machines are off meanwhile, and tell a new run

    @property
    def target(self) -> Target:
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
    name: str
    about: str
    seconds: Annotated[float, msgspec.Meta(ge=5.0, le=3600.0)] = 40.0
    seed: int = 1
    fleet: Fleet = Fleet()
    demand: Demand = Demand()
    profile: tuple[Profile, ...] = (Profile("tally-sync", 0.6, credit=2.0), Profile("sheet-view", 0.4))
    trouble: tuple[Trouble, ...] = ()

    def check(self) -> Iterator[tuple[str, object, str]]:
        if self.fleet.servers + self.fleet.spare_servers > MAX_SERVERS:
            yield "fleet.spare_servers", self.fleet.spare_servers, f"at most {MAX_SERVERS} servers in all"
        for i, trouble in enumerate(self.trouble):
            if trouble.at + trouble.seconds > self.seconds:
                yield f"trouble[{i}].at", trouble.at, f"an end within the scenario's {self.seconds:g} seconds"
            servers = self.fleet.servers + self.fleet.spare_servers
            of_servers = trouble.target == "server" or (trouble.target, trouble.side) == ("links", "servers")
            most = servers if of_servers else self.fleet.balancers
            for number in trouble.which:
                if number >= most:
                    yield f"trouble[{i}].which", number, f"numbers under {most}"
            if any(number >= self.fleet.balancers for number in trouble.of):
                yield f"trouble[{i}].of", trouble.of, f"numbers under {self.fleet.balancers}"
            if trouble.target == "peers" and not self.fleet.has_peers:
                yield f"trouble[{i}].what", trouble.what, "fleet.talks or recovers, so that there are peers"
            if trouble.what == "links" and not trouble.rule:
                yield f"trouble[{i}].rule", (), "at least one rule, as what is 'links'"
            if trouble.what == "server-start" and not self.fleet.spare_servers:
                yield f"trouble[{i}].what", trouble.what, "fleet.spare_servers over 0"


def read(name: str) -> Scenario:
    """A scenario by its path, or by its name in the library. Raises `validation.InvalidFileError`."""
    path = Path(name)
    if not path.suffix and not path.exists():
        if name not in scenario_names():
            known = "a file, or one of " + ", ".join(scenario_names())
            raise validation.InvalidFileError(name, [validation.InvalidValue("", "", known)])
        path = LIBRARY_FOLDER / f"{name}.toml"
    return validation.read(path, Scenario)


def scenario_names() -> list[str]:
    return sorted(path.stem for path in LIBRARY_FOLDER.glob("*.toml"))


def balancer_settings(scenario: Scenario, zone: int) -> dict[str, Any]:
    """What a balancer is told of the deployment, in the start-up file's words; times in milliseconds."""
    fleet = scenario.fleet
    capacity = fleet.servers / (scenario.demand.load or 1.0)
    told: dict[str, Any] = {
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
        told["domain"] = {"tenantQuotaConnections": [capacity]}
    return told
