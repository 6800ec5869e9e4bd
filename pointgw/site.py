"""Checked reading of fields and of a deployment's settings into a `Site`; used by both hosts."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TypeVar, cast

from pointgw.interface import DedupScope, Profile, Report, Semantics, Site

Fields = dict[str, str]
T = TypeVar("T")

# Names of load report fields on the wire, with their keys in a `Report`.
REPORT_FIELDS = {
    "rif": "connections", "x0": "load", "x1": "backlog", "q": "waiting", "busy": "util", "rate": "rate",
    "lat_ms": "delay", "fail_rate": "errors", "inflight": "connections", "queue": "waiting", "util": "util",
    "qps": "rate", "latency_ms": "delay", "eps": "errors",
}  # fmt: skip
MILLISECOND_FIELDS = ("lat_ms", "latency_ms")
# Values of `profiles.N.semantics`.
SEMANTICS: dict[str, Semantics] = {
    "pure": "repeatable", "token": "referenced", "side_effect": "once-only",
    "safe": "repeatable", "keyed": "referenced", "unsafe": "once-only",
}  # fmt: skip
# Values of `profiles.N.group`.
DEDUP_SCOPES: dict[str, DedupScope] = {"all": "all", "zone": "zone", "cell": "cell"}
# Whether a membership mode has a list that must be polled.
MEMBERSHIP_MODES = {"subscribe": True, "automatic": False, "ask": True, "push": False}
# Values of `weights` by which the list's weights are server sizes; other weights change with the load.
SIZE_WEIGHTS = ("nominal", "rough")
BOOLEANS = {"true": True, "false": False, "1": True, "0": False}


class MalformedInputError(Exception):
    """Input that its protocol does not allow; the text says what was expected."""


def malformed_field(name: str, value: object, expected: str) -> MalformedInputError:
    """The error for a field `name` whose `value` is not what was `expected`."""
    return MalformedInputError(
        f"expected {name} as {expected}, got {'nothing' if value is None else repr(value)}"
    )


def read_text(fields: Fields, name: str) -> str:
    """A required field that is not empty. Raises MalformedInputError, as do all readers."""
    value = fields.get(name)
    if not value:
        raise malformed_field(name, value, "a non-empty value")
    return value


def read_int(fields: Fields, name: str, default: int | None = None) -> int:
    """An integer; required unless a default is given."""
    value = fields.get(name)
    if value is None and default is not None:
        return default
    try:
        return int(cast(str, value))
    except (TypeError, ValueError):
        raise malformed_field(name, value, "a whole number") from None


def read_float(fields: Fields, name: str, default: float | None = None) -> float:
    """A finite number; required unless a default is given."""
    value = fields.get(name)
    if value is None and default is not None:
        return default
    try:
        number = float(cast(str, value))
    except (TypeError, ValueError):
        number = math.nan
    if not math.isfinite(number):
        raise malformed_field(name, value, "a number")
    return number


def read_non_negative(fields: Fields, name: str) -> float:
    """A number, zero or more; zero if absent."""
    number = read_float(fields, name, 0.0)
    if number < 0:
        raise malformed_field(name, fields[name], "zero or more")
    return number


def read_positive(fields: Fields, name: str) -> float:
    """A number above zero; zero if absent."""
    number = read_float(fields, name, 0.0)
    if number <= 0 and name in fields:
        raise malformed_field(name, fields[name], "a number above zero")
    return number


def read_seconds(fields: Fields, name: str, default: float | None = None) -> float:
    """A duration or time that is in milliseconds on the wire, in seconds; `default` is in seconds."""
    return read_float(fields, name, None if default is None else default * 1e3) / 1e3


def read_choice(fields: Fields, name: str, choices: dict[str, T], default: T | None = None) -> T:
    """The value that `choices` has for a field; required unless a default is given."""
    value = fields.get(name)
    if value is None and default is not None:
        return default
    if value not in choices:
        raise malformed_field(name, value, "one of " + ", ".join(choices))
    return choices[value]


def read_flag(fields: Fields, name: str, default: bool | None = False) -> bool:
    """A boolean, as true, false, 1 or 0."""
    return read_choice(fields, name, BOOLEANS, default)


def parse_report(pairs: str, separator: str) -> Report:
    """Reads a load report: name, `separator`, number, joined by commas; "-" or nothing is an empty report.

    Unknown names are skipped. Raises MalformedInputError.
    """
    report: Report = {}
    for pair in pairs.split(",") if pairs and pairs != "-" else ():
        name, found, value = pair.partition(separator)
        try:
            number = float(value)
        except ValueError:
            found = ""
        if not found or not math.isfinite(number):
            raise malformed_field("a load report", pair, f"name{separator}number pairs")
        if name in REPORT_FIELDS:
            report[REPORT_FIELDS[name]] = number / 1e3 if name in MILLISECOND_FIELDS else number
    return report


def _read_list(fields: Fields, name: str, convert: Callable[[str], T]) -> tuple[T, ...]:
    value = fields.get(name, "")
    try:
        return tuple(convert(item) for item in value.split(",") if item)
    except ValueError:
        raise malformed_field(name, value, "a list") from None


def parse_site(settings: Fields) -> Site:
    """Reads the settings of one balancer. Unknown keys are skipped, "null" is absent.

    Absent values default to the most restrictive: once-only tunnels, a polled list, slow starts.
    Raises MalformedInputError.
    """
    fields = {name: value for name, value in settings.items() if value != "null"}
    profiles = tuple(
        Profile(
            semantics=read_choice(fields, f"profiles.{i}.semantics", SEMANTICS, SEMANTICS["side_effect"]),
            dedup_scope=read_choice(fields, f"profiles.{i}.group", DEDUP_SCOPES, DEDUP_SCOPES["cell"]),
            dedup_window=read_seconds(fields, f"profiles.{i}.dedupWindow", 0.0),
            attempt_timeout=read_seconds(fields, f"profiles.{i}.setupGoal", 0.5),
            client_timeout=read_seconds(fields, f"profiles.{i}.clientTimeout", 3.0),
            credit=read_float(fields, f"profiles.{i}.credit", 1.0),
        )
        for i in range(max(1, read_int(fields, "profiles.count", 1)))
    )
    may_give_retry_after = read_flag(fields, "limits.retryAfter", False)
    return Site(
        balancer_count=max(1, read_int(fields, "instances", 1)),
        zone=read_int(fields, "zone", 0),
        profiles=profiles,
        list_is_polled=read_choice(fields, "membershipMode", MEMBERSHIP_MODES, MEMBERSHIP_MODES["subscribe"]),
        list_poll_interval=read_seconds(fields, "rules.askEvery", 10.0),
        report_fields=tuple(
            REPORT_FIELDS.get(name, name) for name in _read_list(fields, "report.fields", str)
        ),
        max_setups=read_int(fields, "limits.maxSetups", 1),
        may_probe=read_flag(fields, "limits.probes", False),
        may_cancel=read_flag(fields, "limits.mayCancel", False),
        max_retry_after=read_seconds(fields, "limits.maxRetryAfter", 0.0) if may_give_retry_after else 0.0,
        timer_resolution=read_seconds(fields, "quantum", 0.0),
        slow_start_share=read_float(fields, "rules.coldFrom", 0.1),
        warm_up_window=read_seconds(fields, "rules.cold", 30.0),
        overload_factor=read_float(fields, "rules.tipMultiple", 1.0),
        overload_window=read_seconds(fields, "rules.fall", 1.0),
        probe_price=read_float(fields, "prices.probe", 0.0),
        sizes_listed=fields.get("weights") in SIZE_WEIGHTS,
        tunnel_quota=sum(_read_list(fields, "domain.tenantQuotaConnections", float)),
        balancer_index=read_int(fields, "me", -1),
        only_draining_excludes=read_flag(fields, "rules.drainBindsAlone", False),
        nines_weight=read_non_negative(fields, "scoreParts.nines"),
        max_nines=read_positive(fields, "scoreParts.topNines"),
    )
