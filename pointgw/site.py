"""The settings of a deployment to a `Site`, and the checked reading of fields. Both hosts use it."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TypeVar, cast

from pointgw.interface import DedupScope, Profile, Report, Semantics, Site

Fields = dict[str, str]
T = TypeVar("T")

REPORT_FIELDS = {
    "rif": "connections", "x0": "load", "x1": "backlog", "q": "waiting", "busy": "util", "rate": "rate",
    "lat_ms": "delay", "fail_rate": "errors", "inflight": "connections", "queue": "waiting", "util": "util",
    "qps": "rate", "latency_ms": "delay", "eps": "errors",
}  # fmt: skip
MILLISECOND_FIELDS = ("lat_ms", "latency_ms")
SEMANTICS: dict[str, Semantics] = {
    "pure": "repeatable", "token": "referenced", "side_effect": "once-only",
    "safe": "repeatable", "keyed": "referenced", "unsafe": "once-only",
}  # fmt: skip
DEDUP_SCOPES: dict[str, DedupScope] = {"all": "all", "zone": "zone", "cell": "cell"}
MEMBERSHIP_MODES = {"subscribe": True, "automatic": False, "ask": True, "push": False}
SIZE_WEIGHTS = (
    "nominal",
    "rough",
)  # words for the list's weights that tell a size; others change with the load
BOOLEANS = {"true": True, "false": False, "1": True, "0": False}


class Malformed(Exception):
    """Something said to us that its protocol does not allow; its text says what was expected."""


def malformed_field(name: str, value: object, what: str) -> Malformed:
    return Malformed(f"expected {name} as {what}, got {'nothing' if value is None else repr(value)}")


def read_text(fields: Fields, name: str) -> str:
    value = fields.get(name)
    if not value:
        raise malformed_field(name, value, "a word")
    return value


def read_int(fields: Fields, name: str, default: int | None = None) -> int:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    try:
        return int(cast(str, value))
    except (TypeError, ValueError):
        raise malformed_field(name, value, "a whole number") from None


def read_float(fields: Fields, name: str, default: float | None = None) -> float:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    try:
        figure = float(cast(str, value))
    except (TypeError, ValueError):
        figure = math.nan
    if not math.isfinite(figure):
        raise malformed_field(name, value, "a number")
    return figure


def read_non_negative(fields: Fields, name: str) -> float:
    """A weight of nought or more; absent: nought."""
    figure = read_float(fields, name, 0.0)
    if figure < 0:
        raise malformed_field(name, fields[name], "nought or more")
    return figure


def read_positive(fields: Fields, name: str) -> float:
    """A figure that has to be over nought where it is told; absent: nought."""
    figure = read_float(fields, name, 0.0)
    if figure <= 0 and name in fields:
        raise malformed_field(name, fields[name], "a number over nought")
    return figure


def read_seconds(fields: Fields, name: str, default: float | None = None) -> float:
    """A time in milliseconds on the wire, in seconds here."""
    return read_float(fields, name, None if default is None else default * 1e3) / 1e3


def read_choice(fields: Fields, name: str, words: dict[str, T], default: T | None = None) -> T:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    if value not in words:
        raise malformed_field(name, value, "one of " + ", ".join(words))
    return words[value]


def read_flag(fields: Fields, name: str, default: bool | None = False) -> bool:
    return read_choice(fields, name, BOOLEANS, default)


def parse_report(pairs: str, sign: str) -> Report:
    """A load report in our words; values that are not known here are skipped."""
    figures: Report = {}
    for pair in pairs.split(",") if pairs and pairs != "-" else ():
        name, found, value = pair.partition(sign)
        try:
            figure = float(value)
        except ValueError:
            found = ""
        if not found or not math.isfinite(figure):
            raise malformed_field("a load report", pair, f"name{sign}number pairs")
        if name in REPORT_FIELDS:
            figures[REPORT_FIELDS[name]] = figure / 1e3 if name in MILLISECOND_FIELDS else figure
    return figures


def _read_list(conf: Fields, name: str, convert: Callable[[str], T]) -> tuple[T, ...]:
    value = conf.get(name, "")
    try:
        return tuple(convert(item) for item in value.split(",") if item)
    except ValueError:
        raise malformed_field(name, value, "a list") from None


def parse_site(settings: Fields) -> Site:
    """The settings of one balancer. Keys not known here are skipped; null is an absent value.

    What is absent is taken as what binds most: once-only tunnels, a list that must be asked, slow starts.
    """
    conf = {name: value for name, value in settings.items() if value != "null"}
    profiles = tuple(
        Profile(
            semantics=read_choice(conf, f"profiles.{i}.semantics", SEMANTICS, SEMANTICS["side_effect"]),
            dedup_scope=read_choice(conf, f"profiles.{i}.group", DEDUP_SCOPES, DEDUP_SCOPES["cell"]),
            dedup_window=read_seconds(conf, f"profiles.{i}.dedupWindow", 0.0),
            attempt_timeout=read_seconds(conf, f"profiles.{i}.setupGoal", 0.5),
            client_timeout=read_seconds(conf, f"profiles.{i}.clientTimeout", 3.0),
            credit=read_float(conf, f"profiles.{i}.credit", 1.0),
        )
        for i in range(max(1, read_int(conf, "profiles.count", 1)))
    )
    advice = read_flag(conf, "limits.retryAfter", False)
    return Site(
        balancer_count=max(1, read_int(conf, "instances", 1)),
        zone=read_int(conf, "zone", 0),
        profiles=profiles,
        list_is_polled=read_choice(conf, "membershipMode", MEMBERSHIP_MODES, MEMBERSHIP_MODES["subscribe"]),
        list_poll_interval=read_seconds(conf, "rules.askEvery", 10.0),
        report_fields=tuple(REPORT_FIELDS.get(name, name) for name in _read_list(conf, "report.fields", str)),
        max_setups=read_int(conf, "limits.maxSetups", 1),
        may_probe=read_flag(conf, "limits.probes", False),
        may_cancel=read_flag(conf, "limits.mayCancel", False),
        max_retry_after=read_seconds(conf, "limits.maxRetryAfter", 0.0) if advice else 0.0,
        timer_resolution=read_seconds(conf, "quantum", 0.0),
        slow_start_share=read_float(conf, "rules.coldFrom", 0.1),
        warm_up_window=read_seconds(conf, "rules.cold", 30.0),
        overload_factor=read_float(conf, "rules.tipMultiple", 1.0),
        overload_window=read_seconds(conf, "rules.fall", 1.0),
        probe_price=read_float(conf, "prices.probe", 0.0),
        sizes_listed=conf.get("weights") in SIZE_WEIGHTS,
        tunnel_quota=sum(_read_list(conf, "domain.tenantQuotaConnections", float)),
        balancer_index=read_int(conf, "me", -1),
        only_draining_excludes=read_flag(conf, "rules.drainBindsAlone", False),
        nines_weight=read_non_negative(conf, "scoreParts.nines"),
        max_nines=read_positive(conf, "scoreParts.topNines"),
    )
