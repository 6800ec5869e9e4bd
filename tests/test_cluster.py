"""Tests of `pointgw.cluster` on a virtual clock, mostly without sockets and balancers."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import time
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cluster_world import KEY, KINDS, SimulatedCluster
from pointgw import operators, validation
from pointgw.cluster import plan, wire
from pointgw.cluster import settings as cluster_settings
from pointgw.cluster.agreement import Agreement
from pointgw.cluster.members import Members, MemberState
from pointgw.cluster.observations import CAPACITY_SAMPLES, MAX_CAPACITY_ENTRIES, ZoneEstimate, ZoneObservation
from pointgw.cluster.plan import Plan, ProfileCosts, RegionLinks
from pointgw.cluster.transport import ClusterTransport
from pointgw.cluster.wire import Keys, Packet, RefusedDatagramError
from pointgw.command.main import command
from pointgw.interface import Profile
from pointgw.net.run import cluster

OLD_KEY = b"o" * 32
THREE_ZONES = RegionLinks((0, 0, 1), {}, {})


def packet(**changes: Any) -> Packet:
    updates = (wire.MemberUpdate(2, 1, 3, 0),)
    observations = (wire.ObservationEntry(0, 7, 9, 1, 50, 8000, 8000, 3000, 40, (30, 20)),)
    fields: dict[str, Any] = {
        "kind": wire.PING, "sender": 0, "receiver": 1, "sender_run_id": 5, "receiver_run_id": 6,
        "sequence": 4, "region_map_digest": 1, "updates": updates, "observations": observations,
        "vote": wire.Vote(3, 0, 1, b"\x03"),
    }  # fmt: skip
    return Packet(**(fields | changes))


# Datagrams.


@pytest.mark.parametrize("signing_keys, opening_keys", [((KEY,), (KEY,)), ((KEY,), (OLD_KEY, KEY)), ((), ())])
def test_a_packet_is_the_same_after_encoding_and_decoding(
    signing_keys: tuple[bytes, ...], opening_keys: tuple[bytes, ...]
) -> None:
    assert Keys(opening_keys).decode(Keys(signing_keys).encode(packet())) == packet()


def test_every_truncation_and_every_flipped_bit_is_refused() -> None:
    data = Keys((KEY,)).encode(packet())
    for length in range(len(data)):
        with pytest.raises(RefusedDatagramError):
            Keys((KEY,)).decode(data[:length])
    for bit in range(8 * len(data)):
        corrupted = bytearray(data)
        corrupted[bit // 8] ^= 1 << bit % 8
        with pytest.raises(RefusedDatagramError):
            Keys((KEY,)).decode(bytes(corrupted))


@pytest.mark.parametrize("keys", [(), (OLD_KEY,)])
def test_a_datagram_signed_with_another_key_or_unsigned_is_refused(keys: tuple[bytes, ...]) -> None:
    with pytest.raises(RefusedDatagramError):
        Keys(keys).decode(Keys((KEY,)).encode(packet()))


@pytest.mark.parametrize(
    "body",
    [b"", b"\x90", b"\xc1", msgspec.msgpack.encode([0, 5000, 1, 1, 1, 1, 1]), b"\x9f" + bytes(15), b"\xdf"],
)
def test_a_signed_body_that_does_not_decode_is_refused_as_malformed(body: bytes) -> None:
    head = wire.MAGIC + bytes((wire.VERSION, wire._key_id(KEY)))
    with pytest.raises(RefusedDatagramError, match="malformed"):
        Keys((KEY,)).decode(head + wire._signature(KEY, head, body) + body)


def test_a_datagram_over_the_maximum_length_is_not_encoded() -> None:
    long_packet = packet(observations=packet().observations * 12)
    with pytest.raises(ValueError, match="256"):
        Keys().encode(long_packet)


# Membership, observations and plans of many nodes on a virtual clock.


@pytest.mark.parametrize("size", [3, 6, 40])
def test_all_members_find_each_other_and_learn_of_a_death(size: int) -> None:
    world = SimulatedCluster(size)
    world.run(10.0)
    assert all(live == list(range(size)) for live in world.live_members())
    del world.nodes[0]
    world.run(6.0)
    assert all(live == list(range(1, size)) for live in world.live_members())
    world.start(0)
    world.run(8.0)
    assert all(live == list(range(size)) for live in world.live_members())


@pytest.mark.parametrize("size", [6, 40])
def test_at_thirty_per_cent_loss_few_live_members_are_held_to_be_dead(size: int) -> None:
    world = SimulatedCluster(size)
    world.run(10.0)
    world.loss = 0.3
    incomplete_views = 0
    for _ in range(60):
        world.run(0.5)
        incomplete_views += sum(len(live) < size for live in world.live_members())
    assert incomplete_views < 0.02 * 60 * size


def test_a_paused_member_does_not_declare_the_others_dead() -> None:
    world = SimulatedCluster(6)
    world.run(10.0)
    world.paused = {0}
    world.run(10.0)
    assert all(0 not in live for live in world.live_members())
    world.paused = set()
    world.run(0.6)
    assert world.nodes[0].members.pause_count == 1
    assert len(world.nodes[0].members.live_members()) == 6  # its own pause makes nobody dead
    world.run(5.0)
    assert all(live == list(range(6)) for live in world.live_members())


def test_replayed_datagrams_and_those_of_another_run_have_no_effect() -> None:
    # Datagrams recorded before a restart of both ends are sent again, and datagrams of the present run are
    # sent twice.
    world = SimulatedCluster(3)
    recorded: list[tuple[int, bytes]] = []
    world.recorded = recorded
    world.capacity = [0.0, 8.0, 8.0]  # while recording, zone 0 has no capacity
    world.run(12.0)
    assert world.closed_zones() == {1}
    old, world.capacity = list(recorded), [8.0] * 3
    for number in range(3):
        world.start(number)
    world.run(8.0)
    before = {n: dict(node.observations.entries) for n, node in world.nodes.items()}
    received = {n: node.counters["heard"] for n, node in world.nodes.items()}
    for receiver, data in old + recorded[-80:-40]:  # the very last ones are still in flight
        world.nodes[receiver].receive(data, world.now)
    assert world.closed_zones() == {0}
    assert {n: node.counters["heard"] for n, node in world.nodes.items()} == received
    assert {n: dict(node.observations.entries) for n, node in world.nodes.items()} == before


def test_the_rate_limit_holds_under_a_flood_of_hellos() -> None:
    world = SimulatedCluster(3, max_datagrams_per_second=40.0)
    world.run(5.0)
    node = world.nodes[0]
    hello = msgspec.structs.replace(
        node.members._make_packet(wire.HELLO, 1),
        sender=1,
        receiver=0,
        sender_run_id=node.members.peers[1].run_id,
        receiver_run_id=9,
    )
    sent = sum(len(node.receive(Keys((KEY,)).encode(hello), world.now)) for _ in range(1000))
    assert sent <= 40 and node.counters["over the ceiling"] >= 960


@pytest.mark.parametrize("size", [6, 40, 80])
def test_what_a_member_sends_does_not_grow_with_the_cluster(size: int) -> None:
    world = SimulatedCluster(size)
    world.run(12.0)
    for node in world.nodes.values():
        node.counters.clear()
    world.run(10.0)
    assert max(node.counters["sent bytes"] for node in world.nodes.values()) / 10.0 < 6000.0
    assert not any(node.counters["over the ceiling"] for node in world.nodes.values())


# Plans.


def zone(capacity: float, *demand: float) -> ZoneEstimate:
    return ZoneEstimate(capacity, 8.0, demand, 3)


def test_traffic_stays_in_its_zone_if_there_is_capacity() -> None:
    computed = plan.compute_plan(
        (zone(8.0, 3.0, 2.0), zone(8.0, 3.0, 2.0), zone(8.0, 1.0, 1.0)), KINDS, THREE_ZONES
    )
    assert computed == plan.local_plan(3, 2)


def test_a_lost_zones_traffic_goes_to_its_region_first_and_fills_no_zone_over_the_target() -> None:
    zones = (zone(0.0, 2.0, 0.0), zone(8.0, 3.0, 0.0), zone(8.0, 3.0, 0.0))
    computed = plan.compute_plan(zones, KINDS, THREE_ZONES)
    own, region, other = computed.shares[0][0]
    assert (own, other) == (0.0, 0.0) and region == pytest.approx(1.0)
    load = [sum(zones[z].demand[0] * computed.shares[z][0][w] for z in range(3)) for w in range(3)]
    assert all(filled <= plan.TARGET_UTILISATION * zones[w].capacity + 1e-9 for w, filled in enumerate(load))
    assert computed.shares[1][0][1] == pytest.approx(1.0) and computed.shares[2][0][2] == pytest.approx(1.0)


def test_in_a_shortage_the_higher_credit_is_placed_and_the_rest_is_declined() -> None:
    zones = (zone(0.0, 3.0, 2.0), zone(8.0, 3.0, 2.0), zone(8.0, 3.0, 2.0))
    computed = plan.compute_plan(zones, KINDS, THREE_ZONES)
    high = [sum(computed.shares[z][0]) for z in range(3)]
    low = [sum(computed.shares[z][1]) for z in range(3)]
    assert min(high) > 0.99 and 2.0 * sum(low) == pytest.approx(
        plan.SHORTAGE_UTILISATION * 16.0 - 9.0, abs=0.05
    )


def test_a_profile_uses_no_link_that_delays_beyond_its_attempt_timeout() -> None:
    far = RegionLinks((0, 0, 1), {}, {(0, 1): 0.2})
    computed = plan.compute_plan(
        (zone(0.0, 9.0), zone(8.0, 3.0), zone(8.0, 1.0)), (ProfileCosts(1.0, 0.3),), far
    )
    assert computed.shares[0][0][2] == 0.0 and computed.shares[0][0][1] > 0.0


def test_shares_move_away_quickly_and_back_slowly_and_small_changes_are_ignored() -> None:
    local, remote = plan.local_plan(2, 1), Plan((((0.0, 1.0),), ((0.0, 1.0),)))
    assert plan.step_toward(local, remote, 0.5) == remote
    back = plan.step_toward(remote, local, 0.5)
    assert back.shares[0][0][0] == pytest.approx(0.5 * plan.RATE_HOME)
    balanced = Plan((((0.50, 0.20),), ((0.0, 1.0),)))
    assert plan.step_toward(balanced, Plan((((0.52, 0.18),), ((0.0, 1.0),))), 0.5) == balanced
    # The remainder of a step is not declined for ever.
    assert plan.step_toward(Plan((((0.98, 0.0),), ((0.0, 1.0),))), local, 0.5) == local


amounts = st.floats(0.0, 20.0)


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(amounts, amounts, amounts), min_size=1, max_size=6), st.integers(0, 63))
def test_no_estimates_give_a_plan_over_the_utilisation_bound_or_shares_over_one(
    figures: list[tuple[float, float, float]], closed: int
) -> None:
    zones = tuple(zone(zone_capacity, *demand) for zone_capacity, *demand in figures)
    closed &= (1 << len(zones)) - 1
    links = RegionLinks(tuple(z // 2 for z in range(len(zones))), {}, {})
    computed = plan.compute_plan(zones, KINDS, links, closed)
    assert computed == plan.compute_plan(zones, KINDS, links, closed)
    demand, capacity = plan.demand_and_capacity(zones, closed)
    utilisation = plan.TARGET_UTILISATION if demand <= 0.9 * capacity else plan.SHORTAGE_UTILISATION
    for w in range(len(zones)):
        load = sum(zones[z].demand[k] * computed.shares[z][k][w] for z in range(len(zones)) for k in range(2))
        bound = 0.0 if closed >> w & 1 else utilisation * zones[w].capacity
        assert load <= bound + 1e-4
    assert all(s >= -1e-9 and sum(row) <= 1 + 1e-6 for z in computed.shares for row in z for s in row)


def test_at_thirty_per_cent_loss_all_meet_and_nobody_is_declared_dead() -> None:
    # At 30% loss one ping in five fails. Suspected at the first missed ping, seven of 40 members were
    # declared dead within ten seconds, and more of 200.
    world = SimulatedCluster(40, zones=10)
    world.loss = 0.3
    world.run(20.0)
    assert all(len(live) == 40 for live in world.live_members())
    for node in world.nodes.values():
        node.members.false_deaths = 0
    world.run(10.0)
    assert sum(node.members.false_deaths for node in world.nodes.values()) == 0


# Agreement.

STEPS = ["death", "restart", "partition", "heal", "loss", "zone down", "zone up"]


def test_a_zone_without_capacity_is_closed_by_all_and_reopened_after_it_returns() -> None:
    world = SimulatedCluster(6)
    world.run(8.0)
    world.capacity = [0.0, 8.0, 8.0]
    world.run(5.0)
    assert world.closed_zones() == {1}
    world.capacity = [8.0] * 3
    world.run(3.0)
    assert world.closed_zones() == {1}  # not at once
    world.run(8.0)
    assert world.closed_zones() == {0}


@pytest.mark.parametrize(("side", "larger"), [({4, 5}, True), ({3, 4, 5}, False)])
def test_no_minority_of_a_partition_closes_a_zone_and_plans_agree_after_healing(
    side: set[int], larger: bool
) -> None:
    world = SimulatedCluster(6)
    world.run(8.0)
    world.partition = side
    for number in side:
        world.capacity_seen_by[number] = [0.0, 8.0, 8.0]  # it observes a failure of a healthy zone
    world.run(15.0)
    assert world.closed_zones() == {0}
    world.partition, world.capacity_seen_by = set(), {}
    world.run(3.0)
    assert len({node.plan.closed_zones for node in world.nodes.values()}) == 1
    assert all(live == list(range(6)) for live in world.live_members())


def test_a_member_with_a_local_network_fault_closes_nothing() -> None:
    world = SimulatedCluster(6)
    world.run(8.0)
    world.capacity_seen_by[2] = [0.0, 0.0, 8.0]
    world.run(10.0)
    assert world.closed_zones() == {0}
    assert all(node.plan == plan.local_plan(3, 2) for node in world.nodes.values())


def test_zones_are_not_closed_if_the_others_cannot_bear_the_load() -> None:
    world = SimulatedCluster(6, evacuated_zones=0b011)
    world.run(12.0)
    assert world.closed_zones() == {0}  # one zone can't bear the demand of three


def test_an_evacuation_is_agreed_like_a_failure_and_takes_effect_gradually() -> None:
    world = SimulatedCluster(6, evacuated_zones=0b001)
    world.run(5.0)
    shares = [world.nodes[1].plan.shares[0][0][0]]
    for _ in range(20):
        world.run(0.25)
        shares.append(world.nodes[1].plan.shares[0][0][0])
    assert world.closed_zones() == {1} and shares[-1] == 0.0
    assert max(a - b for a, b in pairwise(shares)) <= plan.RATE_AWAY * 0.5 + 1e-9


@settings(max_examples=10, deadline=None)
@given(st.integers(0, 2**32), st.lists(st.sampled_from(STEPS), min_size=1, max_size=8))
def test_after_any_sequence_of_losses_deaths_and_joins_all_plans_agree(seed: int, steps: list[str]) -> None:
    world = SimulatedCluster(5, seed)
    world.run(5.0)
    for step in steps:
        match step:
            case "death" if len(world.nodes) > 3:
                del world.nodes[max(world.nodes)]
            case "restart":
                for number in set(range(5)) - set(world.nodes):
                    world.start(number)
            case "partition":
                world.partition = {0, 1}
            case "heal":
                world.partition = set()
            case "loss":
                world.loss = 0.3
            case "zone down":
                world.capacity = [8.0, 0.0, 8.0]
            case _:
                world.capacity = [8.0] * 3
        world.run(2.0)
    world.partition, world.loss = set(), 0.0
    world.run(15.0)
    assert len({tuple(live) for live in world.live_members()}) == 1
    assert len(world.closed_zones()) == 1
    plans = [node.plan for node in world.nodes.values()]
    assert max(plans[0].max_difference(other) for other in plans) < 3 * plan.SHARE_DEADBAND


def test_two_votes_of_one_term_are_never_both_agreed() -> None:
    # Two members propose at once; whoever promised one vote promises no other of that term.
    world = SimulatedCluster(5)
    world.run(8.0)
    rng = Random(3)
    for n, closed in ((0, 1), (4, 2)):
        agreement = world.nodes[n].agreement
        agreement.propose_at = 0.0
        agreement._adopt(wire.Vote(1, n, closed, bytes((1 << n,))), world.now)
    for _ in range(200):
        a, b = rng.sample(range(5), 2)
        vote = world.nodes[a].agreement.vote_to_send()
        if vote is not None:
            world.nodes[b].agreement.receive_vote(vote, world.now)
    agreed = {
        node.agreement.agreed_vote.closed_zones
        for node in world.nodes.values()
        if node.agreement.agreed_vote is not None
    }
    assert len(agreed) <= 1


def test_the_demand_of_dead_members_is_not_counted_in_their_zone() -> None:
    # Their clients are at other balancers by then, but their entries expire only after five seconds.
    world = SimulatedCluster(6)
    world.run(8.0)
    before = sum(world.nodes[1].zone_estimates(world.now)[0].demand)
    del world.nodes[0], world.nodes[3]
    world.run(2.5)
    after = sum(world.nodes[1].zone_estimates(world.now)[0].demand)
    assert before > 2.0 and after == 0.0


def test_concurrent_proposals_of_the_same_zones_count_as_one_vote() -> None:
    # The proposals split the promises of the term, and the zone stayed open for another three seconds.
    world = SimulatedCluster(5)
    world.run(6.0)
    nodes = list(world.nodes.values())
    for n, node in enumerate(nodes):
        node.agreement._adopt(wire.Vote(1, n % 2, 1, bytes((1 << n,))), world.now)
    for node in nodes:
        for other in nodes:
            vote = other.agreement.vote_to_send()
            assert vote is not None
            node.agreement.receive_vote(vote, world.now)
    assert {node.agreement.closed_zones for node in nodes} == {1}


def test_few_entries_of_a_zones_capacity_are_stored() -> None:
    world = SimulatedCluster(40, zones=2)
    world.run(6.0)
    for node in world.nodes.values():
        for zone in range(2):
            without_demand = [
                stored
                for (_, z), stored in node.observations.entries.items()
                if z == zone and not stored.entry.demand
            ]
            assert CAPACITY_SAMPLES <= len(without_demand) <= MAX_CAPACITY_ENTRIES
        assert len(node.observations.entries) <= 40 + 2 * MAX_CAPACITY_ENTRIES


def test_a_member_that_has_just_started_promises_and_proposes_nothing() -> None:
    members = Members(0, 3, 0, 1, 1, Random(1), 0.25)
    agreement = Agreement(members, Random(1), 100.0)
    agreement.receive_vote(wire.Vote(1, 1, 1, b"\x02"), 101.0)
    assert agreement.latest_vote is not None and agreement.latest_vote.promises == b"\x02"
    agreement.propose(2, 101.0)
    assert agreement.latest_vote.proposer == 1


# The operators' file.

SECTION = operators.TierSection(regions={"north": ("a", "b"), "south": ("c",)})
PROFILES = (Profile("repeatable", "all", 5.0, 0.3, 1.8, 2.0),)


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"regions": {"north": ("a", "x")}}, "tier.regions.north"),
        ({"regions": {"north": ("a",), "south": ("a",)}}, "tier.regions.south"),
        ({"ways": (operators.LinkSection(("north", "west")),)}, "tier.ways[0].between"),
        ({"evacuate": ("d",)}, "tier.evacuate"),
        ({"evacuate": ("a", "b", "c")}, "tier.evacuate"),
    ],
)
def test_an_invalid_section_is_named(changes: dict[str, Any], path: str) -> None:
    section = msgspec.structs.replace(SECTION, **changes)
    with pytest.raises(validation.InvalidFileError) as error:
        cluster_settings.cluster_settings(section, ("a", "b", "c"), 0, PROFILES, 0, 6)
    assert [problem.path for problem in error.value.problems] == [path]


@pytest.mark.parametrize(
    ("text", "mode", "message"),
    [("00" * 16, 0o644, "mode"), ("00" * 8, 0o600, "keys"), ("zz", 0o600, "keys"), ("", 0o600, "keys"),
     ("\n".join(["00" * 16] * 3), 0o600, "keys")],
)  # fmt: skip
def test_a_key_file_that_others_may_read_or_without_keys_is_refused(
    tmp_path: Path, text: str, mode: int, message: str
) -> None:
    path = tmp_path / "key"
    path.write_text(text)
    path.chmod(mode)
    with pytest.raises(validation.InvalidFileError, match=message):
        cluster_settings.read_keys(str(path))
    path.chmod(0o600)
    path.write_text("00" * 16 + "\n" + "11" * 16)
    assert len(cluster_settings.read_keys(str(path)).keys) == 2


def test_state_changes_of_a_member_update_the_live_members() -> None:
    members = Members(0, 3, 0, 1, 1, Random(1), 0.25)
    member = members.peers[1]
    members._set_state(member, MemberState.ALIVE, 0, 0, 1.0)
    members._set_state(member, MemberState.SUSPECT, 0, 2, 2.0)
    assert member.suspected_by == {2} and members.live_members() == [0, 1]
    members._set_state(member, MemberState.DEAD, 0, 0, 3.0)
    assert members.live_members() == [0] and members.change_count == 2


@pytest.mark.parametrize("false_value", [1e9, 0.0])
def test_false_observations_of_one_member_take_no_capacity_from_the_others(false_value: float) -> None:
    # It claims all capacity for its clients, or that no zone has any; that costs the others no more than its
    # absence would.
    def shares(lies: bool) -> list[tuple[plan.Shares, ...]]:
        world = SimulatedCluster(6)
        world.run(8.0)
        if lies:
            world.forged_observations[5] = tuple(
                ZoneObservation(false_value, 8.0, 3.0, 10**6, (10**6, 10**6)) for _ in range(3)
            )
        else:
            del world.nodes[5]
        world.run(8.0)
        assert world.closed_zones() == {0}
        return [world.nodes[n].plan.shares[n % 3] for n in range(5)]

    for with_lies, without_it in zip(shares(True), shares(False), strict=True):
        assert all(abs(sum(a) - sum(b)) < 0.05 for a, b in zip(with_lies, without_it, strict=True))


def test_the_command_shows_a_status_file_and_refuses_old_or_invalid_ones(tmp_path: Path, capfd: Any) -> None:
    path = tmp_path / "status"
    status = {
        "me": 1, "there": 2, "of": 3, "term": 4, "closed": "a", "doubt": 0, "other_maps": 0,
        "members": {"0": "alive", "2": "dead"}, "zones": {"a": {"room": 0.0, "warm": 8.0, "need": 1.5}},
        "shares": {"chat": {"a": 0.25, "b": 0.5}}, "figures": {"sent": 9},
    }  # fmt: skip
    path.write_bytes(msgspec.json.encode(status))
    assert command(["tier", "show", str(path)]) == 0
    out = capfd.readouterr().out
    assert "2 of 3 alive (2 dead), term 4, closed a" in out and "declined 0.250" in out
    os.utime(path, (1.0, 1.0))
    assert command(["tier", "show", str(path)]) == 1
    path.write_bytes(b'{"me":1}')
    assert command(["tier", "show", str(path)]) == 1
    assert command(["tier", "show", str(tmp_path / "none")]) == 1
    assert capfd.readouterr().err.count("\n") == 3


def test_without_sections_neither_cluster_nor_recovery_is_imported() -> None:
    code = (
        "import sys, pointgw.net.run.daemon; "
        "print([m for m in sys.modules if any(w in m for w in ('cluster', 'tier', 'recover'))])"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert process.stdout.strip() == "[]"


def test_a_slow_disk_does_not_block_the_event_loop(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    # With four fleets on a slow disk, balancers were blocked for up to seconds by each rename of the status
    # file.
    def slow(source: str, target: str) -> None:
        time.sleep(0.4)
        os.rename(source, target)

    monkeypatch.setattr(os, "replace", slow)
    status = tmp_path / "status.json"

    async def write() -> float:
        loop, node = asyncio.get_running_loop(), SimulatedCluster(3).nodes[0]
        runner = cluster.ClusterRunner(
            node.settings, node.keys, (), ("", 0), str(status), ("a", "b", "c"), ("x", "y")
        )
        runner.transport = ClusterTransport(node, (), loop, lambda now: None, lambda now: None)
        started_at = loop.time()
        runner._write_status(0.0)
        seconds = loop.time() - started_at
        assert runner.status_write is not None
        await runner.status_write
        return seconds

    assert asyncio.run(write()) < 0.2
    assert msgspec.json.decode(status.read_bytes())["me"] == 0
    assert [path.name for path in tmp_path.iterdir()] == ["status.json"]


@pytest.mark.parametrize(("zones_with_room", "is_promised"), [(0b110, False), (0b001, True)])
def test_closing_a_zone_with_observed_capacity_is_not_promised(
    zones_with_room: int, is_promised: bool
) -> None:
    # The balancers of a zone that was cut off found no capacity in any other zone. Once they were reachable
    # again, members of the other zones promised their vote, and the healthy zones were closed by agreement.
    world = SimulatedCluster(6)
    world.run(4.0)  # until all know each other, so that two of six are no majority
    agreement, now = world.nodes[1].agreement, world.now
    agreement.started_at, agreement.zones_with_room = -100.0, zones_with_room
    agreement.receive_vote(wire.Vote(1, 0, 0b110, b"\x01"), now)
    assert agreement.latest_vote is not None and (agreement.latest_vote.promises == b"\x03") is is_promised
    agreement.zones_with_room = 0  # observed to be without capacity
    agreement.reconsider(now)
    assert agreement.latest_vote.promises == b"\x03"
