"""What the operators' `[tier]` and the start-up file give together, checked as a whole. Reads the key file
alone."""

from __future__ import annotations

import os
import stat
from collections.abc import Iterator
from pathlib import Path

from pointgw import validation
from pointgw.cluster import wire
from pointgw.cluster.node import ClusterSettings
from pointgw.cluster.plan import ProfileCosts, RegionLinks
from pointgw.interface import Profile
from pointgw.operators import RecoverySection, TierSection

MIN_KEY_BYTES = 16  # bytes of a key

Address = tuple[str, int]


def cluster_settings(
    section: TierSection,
    zones: tuple[str, ...],
    zone: int,
    profiles: tuple[Profile, ...],
    me: int,
    count: int,
) -> ClusterSettings:
    """Raises `validation.InvalidFileError` with all that is wrong."""
    faults = list(_find_problems(section, zones))
    if not 0 <= me < count:
        what = "a list with this balancer's own address in it"
        faults.append(validation.InvalidValue("tier.peers", str(count), what))
    if count > wire.MAX_MEMBERS:
        faults.append(validation.InvalidValue("tier.peers", str(count), f"at most {wire.MAX_MEMBERS}"))
    if faults:
        raise validation.InvalidFileError("operators' file", faults)
    names = sorted(section.regions)
    named = {z: names.index(r) for r in names for z in section.regions[r]}
    rest = len(names)  # zones that no region names are one more
    region = tuple(named.get(name, rest) for name in zones)
    cost, delay = {}, {}
    for way in section.ways:
        one, other = sorted(names.index(name) for name in way.between)
        cost[one, other], delay[one, other] = way.cost, way.delay
    return ClusterSettings(
        me, count, zone, len(zones), tuple(ProfileCosts(p.credit, p.attempt_timeout) for p in profiles),
        RegionLinks(region, cost, delay), wire.text_digest(repr((zones, region, sorted(cost.items())))),
        section.period, section.datagrams, section.bytes,
        sum(1 << zones.index(name) for name in section.evacuate),
    )  # fmt: skip


def endpoints(
    name: str,
    section: TierSection | RecoverySection,
    peers: tuple[Address, ...],
    listen: Address | None,
    number: int,
) -> tuple[tuple[Address, ...], Address, int]:
    """All peers by number, where this one listens, and its number (-1: not among them); what a section does
    not tell is as the start-up file has it. Raises `validation.InvalidFileError`."""
    peers = tuple(parse_address(name, peer) for peer in section.peers) or peers
    listen = parse_address(name, section.listen) if section.listen else listen
    if listen is None:
        what = "HOST:PORT, as the start-up file has no peer_listen"
        raise validation.InvalidFileError(
            "operators' file", [validation.InvalidValue(f"{name}.listen", "", what)]
        )
    return peers, listen, number if number >= 0 else peers.index(listen) if listen in peers else -1


def parse_address(name: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise validation.InvalidFileError(
            "operators' file", [validation.InvalidValue(name, repr(text), "HOST:PORT")]
        )
    return host, int(port)


def _find_problems(section: TierSection, zones: tuple[str, ...]) -> Iterator[validation.InvalidValue]:
    known = "one of " + ", ".join(zones)
    seen: set[str] = set()
    for region, names in sorted(section.regions.items()):
        for name in names:
            if name not in zones:
                yield validation.InvalidValue(f"tier.regions.{region}", repr(name), known)
            if name in seen:
                yield validation.InvalidValue(f"tier.regions.{region}", repr(name), "each zone in one region")
            seen.add(name)
    for i, way in enumerate(section.ways):
        for name in way.between:
            if name not in section.regions:
                what = "one of " + ", ".join(sorted(section.regions))
                yield validation.InvalidValue(f"tier.ways[{i}].between", repr(name), what)
    for name in section.evacuate:
        if name not in zones:
            yield validation.InvalidValue("tier.evacuate", repr(name), known)
    if len(set(section.evacuate)) >= len(zones):
        yield validation.InvalidValue(
            "tier.evacuate", repr(list(section.evacuate)), "at least one zone that stays"
        )


def read_keys(path: str) -> wire.Keys:
    """The keys of a file, one a line, the first one signs. Raises `validation.InvalidFileError`."""
    if not path:
        return wire.Keys()
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
        lines = [line.strip() for line in Path(path).read_text("ascii").splitlines() if line.strip()]
    except (OSError, UnicodeDecodeError) as fault:
        raise validation.InvalidFileError(
            path, [validation.InvalidValue("", "", f"a file that can be read ({fault})")]
        ) from None
    if mode & 0o077:
        raise validation.InvalidFileError(
            path, [validation.InvalidValue("", f"{mode:o}", "a mode of 600: nobody else may read it")]
        )
    try:
        found = tuple(bytes.fromhex(line) for line in lines)
    except ValueError:
        found = ()
    if not 1 <= len(found) <= 2 or any(not MIN_KEY_BYTES <= len(key) <= 64 for key in found):
        what = f"one or two keys of {MIN_KEY_BYTES} to 64 bytes, in hex"
        raise validation.InvalidFileError(path, [validation.InvalidValue("", "", what)])
    return wire.Keys(found)
