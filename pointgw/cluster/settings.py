"""Settings of the cluster, checked as a whole, from the operators' `[tier]` section and the start-up file.
Only the key file is read."""

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

MIN_KEY_BYTES = 16

Address = tuple[str, int]


def cluster_settings(
    section: TierSection,
    zones: tuple[str, ...],
    zone: int,
    profiles: tuple[Profile, ...],
    own_index: int,
    member_count: int,
) -> ClusterSettings:
    """Settings of one balancer. Raises `validation.InvalidFileError` with all problems found."""
    problems = list(_find_problems(section, zones))
    if not 0 <= own_index < member_count:
        expected = "a list with this balancer's own address in it"
        problems.append(validation.InvalidValue("tier.peers", str(member_count), expected))
    if member_count > wire.MAX_MEMBERS:
        problems.append(
            validation.InvalidValue("tier.peers", str(member_count), f"at most {wire.MAX_MEMBERS}")
        )
    if problems:
        raise validation.InvalidFileError("operators' file", problems)
    regions = sorted(section.regions)
    region_index = {z: regions.index(r) for r in regions for z in section.regions[r]}
    other_region = len(regions)  # index of one more region, for zones that no region names
    region_of_zone = tuple(region_index.get(name, other_region) for name in zones)
    cost, delay = {}, {}
    for link in section.ways:
        one, other = sorted(regions.index(name) for name in link.between)
        cost[one, other], delay[one, other] = link.cost, link.delay
    return ClusterSettings(
        own_index, member_count, zone, len(zones),
        tuple(ProfileCosts(p.credit, p.attempt_timeout) for p in profiles),
        RegionLinks(region_of_zone, cost, delay),
        wire.text_digest(repr((zones, region_of_zone, sorted(cost.items())))),
        section.period, section.datagrams, section.bytes,
        sum(1 << zones.index(name) for name in section.evacuate),
    )  # fmt: skip


def endpoints(
    name: str,
    section: TierSection | RecoverySection,
    peers: tuple[Address, ...],
    listen: Address | None,
    own_index: int,
) -> tuple[tuple[Address, ...], Address, int]:
    """The peers' addresses, the own listen address and the own index among the peers (-1: not among them).
    What the section does not set is taken from the start-up file. Raises `validation.InvalidFileError`."""
    peers = tuple(parse_address(name, peer) for peer in section.peers) or peers
    listen = parse_address(name, section.listen) if section.listen else listen
    if listen is None:
        expected = "HOST:PORT, as the start-up file has no peer_listen"
        raise validation.InvalidFileError(
            "operators' file", [validation.InvalidValue(f"{name}.listen", "", expected)]
        )
    return peers, listen, own_index if own_index >= 0 else peers.index(listen) if listen in peers else -1


def parse_address(name: str, text: str) -> Address:
    """Parses HOST:PORT. Raises `validation.InvalidFileError` that names the setting."""
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
    for i, link in enumerate(section.ways):
        for name in link.between:
            if name not in section.regions:
                expected = "one of " + ", ".join(sorted(section.regions))
                yield validation.InvalidValue(f"tier.ways[{i}].between", repr(name), expected)
    for name in section.evacuate:
        if name not in zones:
            yield validation.InvalidValue("tier.evacuate", repr(name), known)
    if len(set(section.evacuate)) >= len(zones):
        yield validation.InvalidValue(
            "tier.evacuate", repr(list(section.evacuate)), "at least one zone that is not evacuated"
        )


def read_keys(path: str) -> wire.Keys:
    """Reads a file with one key per line, of which the first one signs; no path: no keys. Raises
    `validation.InvalidFileError`."""
    if not path:
        return wire.Keys()
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
        lines = [line.strip() for line in Path(path).read_text("ascii").splitlines() if line.strip()]
    except (OSError, UnicodeDecodeError) as error:
        raise validation.InvalidFileError(
            path, [validation.InvalidValue("", "", f"a file that can be read ({error})")]
        ) from None
    if mode & 0o077:
        raise validation.InvalidFileError(
            path, [validation.InvalidValue("", f"{mode:o}", "a mode of 600: nobody else may read it")]
        )
    try:
        keys = tuple(bytes.fromhex(line) for line in lines)
    except ValueError:
        keys = ()
    if not 1 <= len(keys) <= 2 or any(not MIN_KEY_BYTES <= len(key) <= 64 for key in keys):
        expected = f"one or two keys of {MIN_KEY_BYTES} to 64 bytes, in hex"
        raise validation.InvalidFileError(path, [validation.InvalidValue("", "", expected)])
    return wire.Keys(keys)
