"""Settings of the balancers in a soak run: request classes, limits and rules, drawn from the seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

ZONES = ("a", "b")
CELLS = 4


class Effect(Enum):
    """Effect of repeating a request. The values are the settings' words."""

    SAFE = "pure"
    KEYED = "token"
    UNSAFE = "side_effect"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A profile of the settings. Times in seconds."""

    name: str
    effect: Effect
    group: str  # servers that recognise a repeated key: all, zone, cell
    dedup_window: float
    attempt_timeout: float
    deadline: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings of one run. Times in seconds."""

    balancers: int
    servers: int
    classes: tuple[RequestClass, ...]
    membership_mode: str  # subscribe: requested from discovery; automatic: pushed by an agent
    may_cancel: bool
    probes: bool
    max_attempts: int
    connect_timeout: float
    drain_grace: float
    list_request_interval: float
    slow_start_share: float
    warm_up: float
    overload_factor: float
    overload_window: float
    connections_per_server: int  # capacity of a warm server
    arrival_rate: float  # requests a second, over all balancers
    descriptors: int
    snapshots: bool  # each balancer stores one on disk

    def settings(self, number: int) -> dict[str, Any]:
        """The object `settings` of the start-up file."""
        profiles = [
            {
                "name": entry.name, "semantics": entry.effect.value, "group": entry.group,
                "dedupWindow": entry.dedup_window * 1e3, "setupGoal": entry.attempt_timeout * 1e3,
                "clientTimeout": entry.deadline * 1e3, "credit": 1.0,
            }
            for entry in self.classes
        ]  # fmt: skip
        limits = {
            "maxSetups": self.max_attempts, "probes": self.probes, "mayCancel": self.may_cancel,
            "connectTimeout": self.connect_timeout * 1e3, "secondCopies": False, "retryAfter": True,
            "maxRetryAfter": 1000.0,
        }  # fmt: skip
        rules = {
            "askEvery": self.list_request_interval * 1e3, "stopSendingWithin": self.drain_grace * 1e3,
            "coldFrom": self.slow_start_share, "cold": self.warm_up * 1e3,
            "tipMultiple": self.overload_factor, "fall": self.overload_window * 1e3,
        }  # fmt: skip
        return {
            "instances": self.balancers, "me": number, "zones": list(ZONES), "zone": number % len(ZONES),
            "kinds": ["m"], "profiles": profiles, "tenants": [{"name": "acme"}],
            "membershipMode": self.membership_mode, "report": {"fields": ["busy", "rate", "x0"]},
            "prices": {"probe": 0.003}, "limits": limits, "rules": rules,
        }  # fmt: skip


def draw_deployment(rng: Random, balancers: int, servers: int, descriptors: int) -> Deployment:
    """Draws a deployment within the limits of the protocol page."""
    time_scale = rng.choice((0.6, 1.0, 1.6))
    classes = (
        RequestClass("view", Effect.SAFE, "all", 0.0, 0.3 * time_scale, 1.8 * time_scale),
        RequestClass(
            "sync", Effect.KEYED, rng.choice(("all", "zone", "cell")), rng.uniform(0.2, 2.0),
            0.3 * time_scale, 1.8 * time_scale,
        ),
        RequestClass("order", Effect.UNSAFE, "cell", 0.0, 0.4 * time_scale, 1.8 * time_scale),
    )  # fmt: skip
    return Deployment(
        balancers=balancers,
        servers=servers,
        classes=classes,
        membership_mode=rng.choice(("subscribe", "subscribe", "automatic")),
        may_cancel=rng.random() < 0.7,
        probes=rng.random() < 0.8,
        max_attempts=rng.choice((3, 4, 6)),
        connect_timeout=rng.choice((0.06, 0.12, 0.25)),
        drain_grace=rng.choice((0.1, 0.4, 0.5, 1.0)),
        list_request_interval=10.0,
        slow_start_share=rng.choice((0.13, 0.3)),
        warm_up=rng.choice((6.0, 15.0)),
        overload_factor=rng.choice((2.5, 3.0, 4.0)),
        overload_window=rng.choice((1.0, 2.0)),
        connections_per_server=40,
        arrival_rate=4.0 * balancers,
        descriptors=descriptors,
        snapshots=rng.random() < 0.4,
    )
