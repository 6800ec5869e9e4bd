"""The start-up file of a balancer process: JSON."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from pointgw.interface import Site
from pointgw.net.wire.server_list import DeploymentNames, ServerList, parse_server_list
from pointgw.site import Fields, MalformedInputError, malformed_field, parse_site, read_seconds

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class StartUpSettings:
    """Contents of a start-up file. Times in seconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    site: Site
    names: DeploymentNames
    profiles: tuple[str, ...]
    tenants: tuple[str, ...]
    connect_timeout: float
    descriptors: int  # that the platform allows this process; 0: not given
    known_list: ServerList
    balancer_index: int = -1  # among the balancers; -1: not given
    # Addresses of all balancers, by index; empty: the platform does not let them communicate.
    peers: tuple[tuple[str, int], ...] = ()
    peer_listen: tuple[str, int] | None = None
    drain_grace: float = 0.1  # how long a server may still get requests after it is known to drain
    memory_bytes: int = 0  # that the platform allows this process; 0: not given


def flatten(value: Any, path: str = "") -> Fields:
    """Nested JSON as the flat fields of `parse_site`: lists of plain values are joined, objects counted."""
    if isinstance(value, dict):
        fields: Fields = {}
        for name, inner in value.items():
            fields |= flatten(inner, f"{path}.{name}" if path else name)
        return fields
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        fields = {f"{path}.count": str(len(value))}
        for i, item in enumerate(value):
            fields |= flatten(item, f"{path}.{i}")
        return fields
    if isinstance(value, list):
        return {path: ",".join(str(item) for item in value)}
    if value is None:
        return {path: "null"}
    return {path: str(value).lower() if isinstance(value, bool) else str(value)}


def parse_start_up_file(data: bytes) -> StartUpSettings:
    """Reads a start-up file. Raises MalformedInputError."""
    try:
        start = json.loads(data)
        settings = _read_key(start, "settings", "an object", dict)
        names = DeploymentNames(_names(settings.get("zones")), _names(settings.get("kinds")))
        fields = flatten(settings)
        return StartUpSettings(
            name=_read_key(start, "name", "a text", str),
            listen=_read_key(start, "listen", "HOST:PORT", _address),
            discovery=_read_key(start, "discovery", "HOST:PORT", _address),
            seed=_read_key(start, "seed", "a hexadecimal number", lambda value: int(str(value), 16)),
            site=parse_site(fields),
            names=names,
            profiles=_names(settings.get("profiles")),
            tenants=_names(settings.get("tenants")),
            connect_timeout=read_seconds(fields, "limits.connectTimeout", 0.25),
            descriptors=max(0, int((start.get("limits") or {}).get("sockets") or 0)),
            memory_bytes=max(0, int(float((start.get("limits") or {}).get("memory_mb") or 0) * 2**20)),
            known_list=_read_key(
                start, "known", "a server list", lambda value: parse_server_list(value, names)
            ),
            balancer_index=int(settings.get("me", -1)),
            peers=tuple(_address(peer) for peer in start.get("peers") or ()),
            peer_listen=_address(start["peer_listen"]) if start.get("peer_listen") else None,
            drain_grace=read_seconds(fields, "rules.stopSendingWithin", 0.1),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
        raise MalformedInputError(f"expected the start-up JSON: {type(error).__name__} {error}") from None


def _read_key(start: dict[str, Any], key: str, expected: str, parse: Callable[[Any], T]) -> T:
    """The parsed value of a required key. Raises MalformedInputError that names the key."""
    value = start.get(key)
    if value is None:
        raise malformed_field(key, None, expected)
    try:
        return parse(value)
    except (TypeError, ValueError, AttributeError):
        raise malformed_field(key, value, expected) from None


def _names(items: Any) -> tuple[str, ...]:
    return tuple(str(item["name"] if isinstance(item, dict) else item) for item in items or ())


def _address(value: str) -> tuple[str, int]:
    host, _, port_text = value.rpartition(":")
    port = int(port_text)
    if not 0 <= port < 2**16:
        raise ValueError(f"port {port}")
    return host, port
