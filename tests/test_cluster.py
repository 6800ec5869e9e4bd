"""The tier's modules themselves, on a virtual clock: no sockets, no balancers."""

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
THREE = RegionLinks((0, 0, 1), {}, {})


def packet(**changes: Any) -> Packet:
    news = (wire.MemberUpdate(2, 1, 3, 0),)
    facts = (wire.ObservationEntry(0, 7, 9, 1, 50, 8000, 8000, 3000, 40, (30, 20)),)
    told: dict[str, Any] = {
        "kind": wire.PING, "sender": 0, "receiver": 1, "sender_run_id": 5, "receiver_run_id": 6,
        "sequence": 4, "region_map_digest": 1, "updates": news, "observations": facts,
        "vote": wire.Vote(3, 0, 1, b"\x03"),
    }  # fmt: skip
    return Packet(**(told | changes))


# One datagram.


@pytest.mark.parametrize("signs, opens", [((KEY,), (KEY,)), ((KEY,), (OLD_KEY, KEY)), ((), ())])
def test_a_packet_is_the_same_after_bytes(signs: tuple[bytes, ...], opens: tuple[bytes, ...]) -> None:
    assert Keys(opens).decode(Keys(signs).encode(packet())) == packet()


def test_every_cut_length_and_every_flipped_bit_is_refused_with_a_word() -> None:
    data = Keys((KEY,)).encode(packet())
    for length in range(len(data)):
        with pytest.raises(RefusedDatagramError):
            Keys((KEY,)).decode(data[:length])
    for bit in range(8 * len(data)):
        spoilt = bytearray(data)
        spoilt[bit // 8] ^= 1 << bit % 8
        with pytest.raises(RefusedDatagramError):
            Keys((KEY,)).decode(bytes(spoilt))


@pytest.mark.parametrize("keys", [(), (OLD_KEY,)])
def test_another_key_or_none_tells_nothing(keys: tuple[bytes, ...]) -> None:
    with pytest.raises(RefusedDatagramError):
        Keys(keys).decode(Keys((KEY,)).encode(packet()))


@pytest.mark.parametrize(
    "body",
    [b"", b"\x90", b"\xc1", msgspec.msgpack.encode([0, 5000, 1, 1, 1, 1, 1]), b"\x9f" + bytes(15), b"\xdf"],
)
def test_a_signed_body_out_of_bounds_is_malformed_and_no_traceback(body: bytes) -> None:
    head = wire.MAGIC + bytes((wire.VERSION, wire._key_id(KEY)))
    with pytest.raises(RefusedDatagramError, match="malformed"):
        Keys((KEY,)).decode(head + wire._signature(KEY, head, body) + body)


def test_no_longer_datagram_is_made_than_the_platform_takes() -> None:
    long = packet(observations=packet().observations * 12)
    with pytest.raises(ValueError, match="256"):
        Keys().encode(long)


# Members, facts and plans of many on a virtual clock.


@pytest.mark.parametrize("size", [3, 6, 40])
def test_all_find_each_other_and_a_death_is_known_to_all(size: int) -> None:
    world = SimulatedCluster(size)
    world.run(10.0)
    assert all(there == list(range(size)) for there in world.live_members())
    del world.nodes[0]
    world.run(6.0)
    assert all(there == list(range(1, size)) for there in world.live_members())
    world.start(0)
    world.run(8.0)
    assert all(there == list(range(size)) for there in world.live_members())


@pytest.mark.parametrize("size", [6, 40])
def test_at_thirty_per_cent_loss_the_living_are_not_held_to_be_dead_for_long(size: int) -> None:
    world = SimulatedCluster(size)
    world.run(10.0)
    world.loss = 0.3
    wrong = 0
    for _ in range(60):
        world.run(0.5)
        wrong += sum(len(there) < size for there in world.live_members())
    assert wrong < 0.02 * 60 * size


def test_one_that_stood_still_takes_back_what_it_held_before_it_acts() -> None:
    world = SimulatedCluster(6)
    world.run(10.0)
    world.paused = {0}
    world.run(10.0)
    assert all(0 not in there for there in world.live_members())
    world.paused = set()
    world.run(0.6)
    assert world.nodes[0].members.pause_count == 1
    assert len(world.nodes[0].members.live_members()) == 6  # it holds nobody to be dead for its own absence
    world.run(5.0)
    assert all(there == list(range(6)) for there in world.live_members())


def test_a_word_of_another_run_or_said_before_tells_nothing() -> None:
    # Yesterday's datagrams, recorded and sent again after a restart of both ends; and today's, sent twice.
    world = SimulatedCluster(3)
    recorded: list[tuple[int, bytes]] = []
    world.recorded = recorded
    world.capacity = [0.0, 8.0, 8.0]  # then, zone 0 was gone
    world.run(12.0)
    assert world.closed_zones() == {1}
    old, world.capacity = list(recorded), [8.0] * 3
    for number in range(3):
        world.start(number)
    world.run(8.0)
    before = {n: dict(node.observations.entries) for n, node in world.nodes.items()}
    heard = {n: node.counters["heard"] for n, node in world.nodes.items()}
    for to, data in old + recorded[-80:-40]:  # the last are still under way
        world.nodes[to].receive(data, world.now)
    assert world.closed_zones() == {0}
    assert {n: node.counters["heard"] for n, node in world.nodes.items()} == heard
    assert {n: dict(node.observations.entries) for n, node in world.nodes.items()} == before


def test_the_ceiling_holds_under_a_flood_of_questions() -> None:
    world = SimulatedCluster(3, max_datagrams_per_second=40.0)
    world.run(5.0)
    node = world.nodes[0]
    asked = msgspec.structs.replace(
        node.members._make_packet(wire.HELLO, 1),
        sender=1,
        receiver=0,
        sender_run_id=node.members.peers[1].run_id,
        receiver_run_id=9,
    )
    sent = sum(len(node.receive(Keys((KEY,)).encode(asked), world.now)) for _ in range(1000))
    assert sent <= 40 and node.counters["over the ceiling"] >= 960


@pytest.mark.parametrize("size", [6, 40, 80])
def test_what_each_sends_does_not_grow_with_the_tier(size: int) -> None:
    world = SimulatedCluster(size)
    world.run(12.0)
    for node in world.nodes.values():
        node.counters.clear()
    world.run(10.0)
    assert max(node.counters["sent bytes"] for node in world.nodes.values()) / 10.0 < 6000.0
    assert not any(node.counters["over the ceiling"] for node in world.nodes.values())


# Plans.


def zone(room: float, *need: float) -> ZoneEstimate:
    return ZoneEstimate(room, 8.0, need, 3)


def test_traffic_stays_at_home_where_that_is_safe() -> None:
    made = plan.compute_plan((zone(8.0, 3.0, 2.0), zone(8.0, 3.0, 2.0), zone(8.0, 1.0, 1.0)), KINDS, THREE)
    assert made == plan.local_plan(3, 2)


def test_a_lost_zone_goes_to_its_region_first_and_no_zone_over_its_bound() -> None:
    zones = (zone(0.0, 2.0, 0.0), zone(8.0, 3.0, 0.0), zone(8.0, 3.0, 0.0))
    made = plan.compute_plan(zones, KINDS, THREE)
    home, region, other = made.shares[0][0]
    assert (home, other) == (0.0, 0.0) and region == pytest.approx(1.0)
    load = [sum(zones[z].demand[0] * made.shares[z][0][w] for z in range(3)) for w in range(3)]
    assert all(filled <= plan.TARGET_UTILISATION * zones[w].capacity + 1e-9 for w, filled in enumerate(load))
    assert made.shares[1][0][1] == pytest.approx(1.0) and made.shares[2][0][2] == pytest.approx(1.0)


def test_where_not_all_fits_credit_decides_and_the_rest_is_turned_away_at_home() -> None:
    zones = (zone(0.0, 3.0, 2.0), zone(8.0, 3.0, 2.0), zone(8.0, 3.0, 2.0))
    made = plan.compute_plan(zones, KINDS, THREE)
    high = [sum(made.shares[z][0]) for z in range(3)]
    low = [sum(made.shares[z][1]) for z in range(3)]
    assert min(high) > 0.99 and 2.0 * sum(low) == pytest.approx(
        plan.SHORTAGE_UTILISATION * 16.0 - 9.0, abs=0.05
    )


def test_a_profile_goes_no_way_that_its_setup_goal_cannot_bear() -> None:
    far = RegionLinks((0, 0, 1), {}, {(0, 1): 0.2})
    made = plan.compute_plan((zone(0.0, 9.0), zone(8.0, 3.0), zone(8.0, 1.0)), (ProfileCosts(1.0, 0.3),), far)
    assert made.shares[0][0][2] == 0.0 and made.shares[0][0][1] > 0.0


def test_out_is_quick_and_back_is_slow_and_small_changes_are_left() -> None:
    home, away = plan.local_plan(2, 1), Plan((((0.0, 1.0),), ((0.0, 1.0),)))
    assert plan.step_toward(home, away, 0.5) == away
    back = plan.step_toward(away, home, 0.5)
    assert back.shares[0][0][0] == pytest.approx(0.5 * plan.RATE_HOME)
    near = Plan((((0.50, 0.20),), ((0.0, 1.0),)))
    assert plan.step_toward(near, Plan((((0.52, 0.18),), ((0.0, 1.0),))), 0.5) == near
    # What is left of a step is not turned away for ever.
    assert plan.step_toward(Plan((((0.98, 0.0),), ((0.0, 1.0),))), home, 0.5) == home


amounts = st.floats(0.0, 20.0)


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(amounts, amounts, amounts), min_size=1, max_size=6), st.integers(0, 63))
def test_no_facts_make_a_plan_over_a_bound_or_shares_over_one(
    told: list[tuple[float, float, float]], closed: int
) -> None:
    zones = tuple(zone(room, *need) for room, *need in told)
    closed &= (1 << len(zones)) - 1
    ways = RegionLinks(tuple(z // 2 for z in range(len(zones))), {}, {})
    made = plan.compute_plan(zones, KINDS, ways, closed)
    assert made == plan.compute_plan(zones, KINDS, ways, closed)
    need, bears = plan.demand_and_capacity(zones, closed)
    part = plan.TARGET_UTILISATION if need <= 0.9 * bears else plan.SHORTAGE_UTILISATION
    for w in range(len(zones)):
        load = sum(zones[z].demand[k] * made.shares[z][k][w] for z in range(len(zones)) for k in range(2))
        bound = 0.0 if closed >> w & 1 else part * zones[w].capacity
        assert load <= bound + 1e-4
    assert all(s >= -1e-9 and sum(row) <= 1 + 1e-6 for z in made.shares for row in z for s in row)


def test_at_thirty_per_cent_loss_all_meet_and_nobody_is_held_dead() -> None:
    # One ping in five fails: suspected at the first, seven of forty died in ten seconds, and of 200 the more.
    world = SimulatedCluster(40, zones=10)
    world.loss = 0.3
    world.run(20.0)
    assert all(len(there) == 40 for there in world.live_members())
    for node in world.nodes.values():
        node.members.false_deaths = 0
    world.run(10.0)
    assert sum(node.members.false_deaths for node in world.nodes.values()) == 0


# What must be one decision.

STEPS = ["die", "back", "split", "heal", "loss", "gone", "well"]


def test_a_zone_without_room_is_closed_by_all_and_opened_once_it_is_back() -> None:
    world = SimulatedCluster(6)
    world.run(8.0)
    world.capacity = [0.0, 8.0, 8.0]
    world.run(5.0)
    assert world.closed_zones() == {1}
    world.capacity = [8.0] * 3
    world.run(3.0)
    assert world.closed_zones() == {1}  # not at the first sign
    world.run(8.0)
    assert world.closed_zones() == {0}


@pytest.mark.parametrize(("side", "larger"), [({4, 5}, True), ({3, 4, 5}, False)])
def test_in_a_split_no_minority_closes_a_zone_and_one_plan_is_there_again_after(
    side: set[int], larger: bool
) -> None:
    world = SimulatedCluster(6)
    world.run(8.0)
    world.partition = side
    for number in side:
        world.capacity_seen_by[number] = [0.0, 8.0, 8.0]  # it finds a zone failing that is well
    world.run(15.0)
    assert world.closed_zones() == {0}
    world.partition, world.capacity_seen_by = set(), {}
    world.run(3.0)
    assert len({node.plan.closed_zones for node in world.nodes.values()}) == 1
    assert all(there == list(range(6)) for there in world.live_members())


def test_one_whose_own_network_is_at_fault_closes_nothing() -> None:
    world = SimulatedCluster(6)
    world.run(8.0)
    world.capacity_seen_by[2] = [0.0, 0.0, 8.0]
    world.run(10.0)
    assert world.closed_zones() == {0}
    assert all(node.plan == plan.local_plan(3, 2) for node in world.nodes.values())


def test_no_closing_leaves_less_than_the_load() -> None:
    world = SimulatedCluster(6, evacuated_zones=0b011)
    world.run(12.0)
    assert world.closed_zones() == {0}  # one zone can't bear what three need


def test_an_evacuation_is_agreed_like_a_failure_and_gradual() -> None:
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
def test_no_order_of_losses_deaths_and_joins_leaves_two_with_different_plans_for_ever(
    seed: int, steps: list[str]
) -> None:
    world = SimulatedCluster(5, seed)
    world.run(5.0)
    for step in steps:
        match step:
            case "die" if len(world.nodes) > 3:
                del world.nodes[max(world.nodes)]
            case "back":
                for number in set(range(5)) - set(world.nodes):
                    world.start(number)
            case "split":
                world.partition = {0, 1}
            case "heal":
                world.partition = set()
            case "loss":
                world.loss = 0.3
            case "gone":
                world.capacity = [8.0, 0.0, 8.0]
            case _:
                world.capacity = [8.0] * 3
        world.run(2.0)
    world.partition, world.loss = set(), 0.0
    world.run(15.0)
    assert len({tuple(there) for there in world.live_members()}) == 1
    assert len(world.closed_zones()) == 1
    plans = [node.plan for node in world.nodes.values()]
    assert max(plans[0].max_difference(other) for other in plans) < 3 * plan.SHARE_DEADBAND


def test_two_votes_of_a_term_are_never_both_agreed() -> None:
    # Two propose at once; whoever promised the one promises no other of that term.
    world = SimulatedCluster(5)
    world.run(8.0)
    rng = Random(3)
    for n, closed in ((0, 1), (4, 2)):
        accord = world.nodes[n].agreement
        accord.propose_at = 0.0
        accord._adopt(wire.Vote(1, n, closed, bytes((1 << n,))), world.now)
    for _ in range(200):
        a, b = rng.sample(range(5), 2)
        told = world.nodes[a].agreement.vote_to_send()
        if told is not None:
            world.nodes[b].agreement.receive_vote(told, world.now)
    agreed = {
        node.agreement.agreed_vote.closed_zones
        for node in world.nodes.values()
        if node.agreement.agreed_vote is not None
    }
    assert len(agreed) <= 1


def test_what_the_dead_asked_for_is_not_asked_of_their_zone_any_more() -> None:
    # Their clients are at others by then; what they have told is not old for five seconds yet.
    world = SimulatedCluster(6)
    world.run(8.0)
    before = sum(world.nodes[1].zone_estimates(world.now)[0].demand)
    del world.nodes[0], world.nodes[3]
    world.run(2.5)
    after = sum(world.nodes[1].zone_estimates(world.now)[0].demand)
    assert before > 2.0 and after == 0.0


def test_two_that_ask_for_the_same_at_one_moment_are_one_vote() -> None:
    # They shared the promises of the term, and the zone stayed open for another three seconds.
    world = SimulatedCluster(5)
    world.run(6.0)
    nodes = list(world.nodes.values())
    for n, node in enumerate(nodes):
        node.agreement._adopt(wire.Vote(1, n % 2, 1, bytes((1 << n,))), world.now)
    for node in nodes:
        for other in nodes:
            told = other.agreement.vote_to_send()
            assert told is not None
            node.agreement.receive_vote(told, world.now)
    assert {node.agreement.closed_zones for node in nodes} == {1}


def test_a_zones_room_is_held_of_few_and_the_newest() -> None:
    world = SimulatedCluster(40, zones=2)
    world.run(6.0)
    for node in world.nodes.values():
        for zone in range(2):
            eyes = [
                fact
                for (_, z), fact in node.observations.entries.items()
                if z == zone and not fact.entry.demand
            ]
            assert CAPACITY_SAMPLES <= len(eyes) <= MAX_CAPACITY_ENTRIES
        assert len(node.observations.entries) <= 40 + 2 * MAX_CAPACITY_ENTRIES


def test_one_that_has_just_started_promises_nothing() -> None:
    members = Members(0, 3, 0, 1, 1, Random(1), 0.25)
    accord = Agreement(members, Random(1), 100.0)
    accord.receive_vote(wire.Vote(1, 1, 1, b"\x02"), 101.0)
    assert accord.latest_vote is not None and accord.latest_vote.promises == b"\x02"
    accord.propose(2, 101.0)
    assert accord.latest_vote.proposer == 1


# What operators write.

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
def test_a_faulty_section_is_named(changes: dict[str, Any], path: str) -> None:
    section = msgspec.structs.replace(SECTION, **changes)
    with pytest.raises(validation.InvalidFileError) as faulty:
        cluster_settings.cluster_settings(section, ("a", "b", "c"), 0, PROFILES, 0, 6)
    assert [fault.path for fault in faulty.value.problems] == [path]


@pytest.mark.parametrize(
    ("text", "mode", "says"),
    [("00" * 16, 0o644, "mode"), ("00" * 8, 0o600, "keys"), ("zz", 0o600, "keys"), ("", 0o600, "keys"),
     ("\n".join(["00" * 16] * 3), 0o600, "keys")],
)  # fmt: skip
def test_a_key_file_that_others_may_read_or_holds_no_keys_is_refused(
    tmp_path: Path, text: str, mode: int, says: str
) -> None:
    path = tmp_path / "key"
    path.write_text(text)
    path.chmod(mode)
    with pytest.raises(validation.InvalidFileError, match=says):
        cluster_settings.read_keys(str(path))
    path.chmod(0o600)
    path.write_text("00" * 16 + "\n" + "11" * 16)
    assert len(cluster_settings.read_keys(str(path)).keys) == 2


def test_states_of_a_member_change_in_one_place() -> None:
    members = Members(0, 3, 0, 1, 1, Random(1), 0.25)
    member = members.peers[1]
    members._set_state(member, MemberState.ALIVE, 0, 0, 1.0)
    members._set_state(member, MemberState.SUSPECT, 0, 2, 2.0)
    assert member.suspected_by == {2} and members.live_members() == [0, 1]
    members._set_state(member, MemberState.DEAD, 0, 0, 3.0)
    assert members.live_members() == [0] and members.change_count == 2


@pytest.mark.parametrize("lie", [1e9, 0.0])
def test_one_liar_takes_no_room_from_the_others(lie: float) -> None:
    # It claims all room for its clients, or that no zone has any: no more than its silence would cost.
    def shares(lies: bool) -> list[tuple[plan.Shares, ...]]:
        world = SimulatedCluster(6)
        world.run(8.0)
        if lies:
            world.forged_observations[5] = tuple(
                ZoneObservation(lie, 8.0, 3.0, 10**6, (10**6, 10**6)) for _ in range(3)
            )
        else:
            del world.nodes[5]
        world.run(8.0)
        assert world.closed_zones() == {0}
        return [world.nodes[n].plan.shares[n % 3] for n in range(5)]

    for lied, silent in zip(shares(True), shares(False), strict=True):
        assert all(abs(sum(a) - sum(b)) < 0.05 for a, b in zip(lied, silent, strict=True))


def test_the_command_shows_what_a_balancer_wrote_and_refuses_others(tmp_path: Path, capfd: Any) -> None:
    path = tmp_path / "status"
    told = {
        "me": 1, "there": 2, "of": 3, "term": 4, "closed": "a", "doubt": 0, "other_maps": 0,
        "members": {"0": "alive", "2": "dead"}, "zones": {"a": {"room": 0.0, "warm": 8.0, "need": 1.5}},
        "shares": {"chat": {"a": 0.25, "b": 0.5}}, "figures": {"sent": 9},
    }  # fmt: skip
    path.write_bytes(msgspec.json.encode(told))
    assert command(["tier", "show", str(path)]) == 0
    out = capfd.readouterr().out
    assert "2 of 3 alive (2 dead), term 4, closed a" in out and "declined 0.250" in out
    os.utime(path, (1.0, 1.0))
    assert command(["tier", "show", str(path)]) == 1
    path.write_bytes(b'{"me":1}')
    assert command(["tier", "show", str(path)]) == 1
    assert command(["tier", "show", str(tmp_path / "none")]) == 1
    assert capfd.readouterr().err.count("\n") == 3


def test_off_nothing_of_the_tier_or_the_recovery_is_imported() -> None:
    code = (
        "import sys, pointgw.net.run.daemon; "
        "print([m for m in sys.modules if any(w in m for w in ('cluster', 'tier', 'recover'))])"
    )
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert run.stdout.strip() == "[]"


def test_a_slow_disk_holds_no_tunnel_up(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    # Four fleets on a slow disk: balancers stood still at each rename of their status, up to seconds.
    def slow(source: str, target: str) -> None:
        time.sleep(0.4)
        os.rename(source, target)

    monkeypatch.setattr(os, "replace", slow)
    status = tmp_path / "status.json"

    async def write() -> float:
        loop, tier = asyncio.get_running_loop(), SimulatedCluster(3).nodes[0]
        ways = cluster.ClusterRunner(
            tier.settings, tier.keys, (), ("", 0), str(status), ("a", "b", "c"), ("x", "y")
        )
        ways.transport = ClusterTransport(tier, (), loop, lambda now: None, lambda now: None)
        began = loop.time()
        ways._write_status(0.0)
        took = loop.time() - began
        assert ways.status_write is not None
        await ways.status_write
        return took

    assert asyncio.run(write()) < 0.2
    assert msgspec.json.decode(status.read_bytes())["me"] == 0
    assert [path.name for path in tmp_path.iterdir()] == ["status.json"]


@pytest.mark.parametrize(("stands", "promises"), [(0b110, False), (0b001, True)])
def test_no_closing_is_promised_of_a_zone_that_own_facts_show_with_room(stands: int, promises: bool) -> None:
    # Seen with processes: a zone's balancers, cut off, found all other zones gone; when the cut ended, those
    # in the other zones promised that vote, and their own zones were agreed to be closed.
    world = SimulatedCluster(6)
    world.run(4.0)  # so that all know of each other: two of six are no majority
    accord, now = world.nodes[1].agreement, world.now
    accord.started_at, accord.zones_with_room = -100.0, stands
    accord.receive_vote(wire.Vote(1, 0, 0b110, b"\x01"), now)
    assert accord.latest_vote is not None and (accord.latest_vote.promises == b"\x03") is promises
    accord.zones_with_room = 0  # they are seen to be gone
    accord.reconsider(now)
    assert accord.latest_vote.promises == b"\x03"
