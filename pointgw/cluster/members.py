"""SWIM membership with the Lifeguard extensions. No I/O, no clock: `now` is passed in.

In each period one other member is pinged, all of them in turn in random order. If it does not answer, some
others are asked to ping it; without any answer by the end of the period it becomes suspect, and dead once the
suspicion has timed out. A suspect is notified by the next datagram to it, and refutes the suspicion with a
higher incarnation. Lifeguard: a balancer whose own pings go unanswered raises its health score, and probes
and suspects more slowly; a suspicion times out late while one member alone holds it, and sooner with each
confirmation. A process that was paused discards its old suspicions before it acts.
Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil, inf, log
from random import Random

from pointgw.cluster import wire
from pointgw.cluster.wire import Packet

INDIRECT_PINGS = 4  # members that are asked to ping one that did not answer
INDIRECT_PING_DELAY = 0.4  # of a period: wait for an answer before indirect pings
SMALL_CLUSTER_SIZE = 12  # members; a member is suspected after log(members) to this base missed pings
MIN_SUSPICION_PERIODS = 8.0  # periods until a suspect is dead, with enough confirmations
MAX_SUSPICION_FACTOR = 3.0  # times that without confirmations
FULL_CONFIRMATIONS = 3  # confirmations that reduce the suspicion timeout to its minimum
MAX_HEALTH_SCORE = 8  # steps; 0 is healthy
ACK_HEALTH_STEP = 2  # steps down for an answered ping; an unanswered one is a step up
RETRANSMIT_FACTOR = 4.0  # times log2(members): how often an update is sent
# Periods without a timer call after which this process counts as paused. For as many periods after a false
# death a dead member gets a HELLO in every period.
PAUSE_PERIODS = 8.0
DEAD_HELLO_PERIODS = 10  # periods, on average, between two HELLOs to members that are dead or have left
HELLOS_PER_PERIOD = 4  # HELLOs in a period to members without any contact so far
MAX_HELLO_ROUNDS = 4  # to all of these, as datagrams get lost; afterwards they are treated as dead
MAX_UPDATES = 6  # updates in a datagram


class MemberState(IntEnum):
    """State of a member, numbered as on the wire."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def wire_code(self) -> wire.Code:
        """The value for a `wire.MemberUpdate`."""
        return WIRE_CODES[self]

    @property
    def is_live(self) -> bool:
        """Alive or suspect: a suspect counts as live until it is dead."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)


WIRE_CODES: tuple[wire.Code, ...] = (wire.ALIVE, wire.SUSPECT, wire.DEAD, wire.LEFT)


# Allowed changes of state.
TRANSITIONS = {
    MemberState.ALIVE: (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT),
    MemberState.SUSPECT: (MemberState.ALIVE, MemberState.DEAD, MemberState.LEFT),
    MemberState.DEAD: (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEFT),
    MemberState.LEFT: (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD),
}


@dataclass(slots=True, eq=False)
class Member:
    """What this balancer knows of another one."""

    index: int
    state: MemberState = MemberState.DEAD  # until the first contact
    incarnation: int = 0
    run_id: int = 0  # of its present process; 0: no contact yet
    zone: int = -1  # as it reports; -1: unknown
    last_sequence: int = -1  # highest sequence number received of that run
    missed_pings: int = 0  # consecutive own pings without an answer
    past_run_ids: list[int] = field(default_factory=list)  # earlier runs, whose packets are dropped
    state_since: float = -inf
    suspected_by: set[int] = field(default_factory=set)  # members that reported the suspicion


@dataclass(slots=True)
class QueuedUpdate:
    """An update that is being disseminated."""

    update: wire.MemberUpdate
    transmissions_left: int


@dataclass(slots=True)
class PendingPing:
    """The ping of the present period."""

    target: int
    nonce: int
    sent_at: float
    indirect_sent: bool = False  # others were asked to ping the target
    acknowledged: bool = False


OutgoingPacket = tuple[int, Packet]  # receiver, packet


@dataclass(slots=True)
class Members:
    """Membership as one balancer sees it."""

    own_index: int
    member_count: int
    zone: int
    run_id: int
    region_map_digest: int
    rng: Random
    period: float  # seconds
    peers: dict[int, Member] = field(default_factory=dict)
    incarnation: int = 0
    health_score: int = 0  # Lifeguard's local health: 0 (healthy) to MAX_HEALTH_SCORE
    sequence: int = 0
    ping_order: list[int] = field(default_factory=list)  # still to be pinged in this round, last one first
    pending_ping: PendingPing | None = None
    # By own nonce: who asked for the ping, its nonce, and when.
    relayed_pings: dict[int, tuple[int, int, float]] = field(default_factory=dict)
    queued_updates: dict[int, QueuedUpdate] = field(default_factory=dict)  # by the member they are about
    next_period_at: float = 0.0
    last_timer_at: float = -inf
    pause_count: int = 0  # detected pauses of this process
    false_deaths: int = 0  # dead members of a known run that turned out to be alive
    last_false_death_at: float = -inf
    change_count: int = 0  # changes of the set of live members
    map_mismatches: dict[int, int] = field(default_factory=dict)  # members' region map digests that differ
    uncontacted: list[int] = field(default_factory=list)  # no contact yet, to be sent a HELLO
    hello_rounds: int = 0

    def __post_init__(self) -> None:
        self.peers = {n: Member(n) for n in range(self.member_count) if n != self.own_index}
        self._begin_hello_round()

    def _begin_hello_round(self) -> None:
        self.hello_rounds += 1
        self.uncontacted = [m.index for m in self.peers.values() if not m.run_id]
        self.rng.shuffle(self.uncontacted)

    # Queries.

    def live_members(self) -> list[int]:
        """Members that are alive or suspect, with the own one, sorted."""
        return sorted([*self._live_peers(), self.own_index])

    def _live_peers(self) -> list[int]:
        return [m.index for m in self.peers.values() if m.state.is_live]

    def unsuspected_members(self) -> set[int]:
        """Live members that are not suspect, with the own one."""
        return {self.own_index, *(m.index for m in self.peers.values() if m.state is MemberState.ALIVE)}

    def known_members(self) -> list[int]:
        """Members that were ever in contact and have not left, with the own one, sorted."""
        known = [m.index for m in self.peers.values() if m.run_id and m.state is not MemberState.LEFT]
        return sorted([*known, self.own_index])

    def zone_of(self, index: int) -> int:
        """The zone that a member reports; -1: unknown."""
        return self.zone if index == self.own_index else self.peers[index].zone

    def next_timer_at(self, now: float) -> float:
        """When `timer_due` has to be called at the latest."""
        if (
            self.pending_ping is not None
            and not self.pending_ping.indirect_sent
            and not self.pending_ping.acknowledged
        ):
            return min(
                self.next_period_at,
                max(now, self.pending_ping.sent_at + INDIRECT_PING_DELAY * self._scaled_period()),
            )
        return self.next_period_at

    def _scaled_period(self) -> float:
        """The period in seconds, lengthened by the health score."""
        return self.period * (1 + self.health_score / 2)

    # Timers.

    def timer_due(self, now: float) -> list[OutgoingPacket]:
        """Ends suspicions that timed out, sends indirect pings, and begins a period when it is time."""
        out: list[OutgoingPacket] = []
        if now - self.last_timer_at > PAUSE_PERIODS * self.period and self.last_timer_at > -inf:
            self._resume_after_pause(now)
        self.last_timer_at = now
        for member in self.peers.values():
            if member.state is MemberState.SUSPECT and now >= member.state_since + self._suspicion_timeout(
                member
            ):
                self._set_state(member, MemberState.DEAD, member.incarnation, self.own_index, now)
        ping = self.pending_ping
        if (
            ping is not None
            and not ping.acknowledged
            and not ping.indirect_sent
            and now >= ping.sent_at + INDIRECT_PING_DELAY * self._scaled_period()
        ):
            ping.indirect_sent = True
            out += self._indirect_pings(ping)
        if now >= self.next_period_at:
            if ping is not None and not ping.acknowledged:
                self._ping_failed(ping, now)
            self.next_period_at = max(
                self.next_period_at + self._scaled_period(), now + self._scaled_period() / 2
            )
            out += self._begin_period(now)
        self.relayed_pings = {
            n: r for n, r in self.relayed_pings.items() if now - r[2] < 2 * self._scaled_period()
        }
        return out

    def _resume_after_pause(self, now: float) -> None:
        """Guards against judging others after a pause of this process: its suspicions are old, and its open
        ping went unanswered by its own fault."""
        self.pause_count += 1
        self.pending_ping, self.health_score, self.next_period_at = None, MAX_HEALTH_SCORE, now
        self.incarnation += 1
        self._queue_update(wire.MemberUpdate(self.own_index, wire.ALIVE, self.incarnation, self.own_index))
        for member in self.peers.values():
            if member.state is MemberState.SUSPECT:
                member.state_since = now
                member.suspected_by = set()

    def _ping_failed(self, ping: PendingPing, now: float) -> None:
        self._adjust_health_score(1)
        member = self.peers[ping.target]
        member.missed_pings += 1
        if member.state is MemberState.ALIVE and member.missed_pings < log(
            max(2, self.member_count), SMALL_CLUSTER_SIZE
        ):
            # Guards against false deaths in a large cluster with packet loss: at 30% loss one ping in five
            # fails, and so many suspicions can't be disseminated and refuted in time. It delays the detection
            # of a death by a period.
            self.ping_order.append(member.index)
        elif member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT, member.incarnation, self.own_index, now)

    def _suspicion_timeout(self, member: Member) -> float:
        """Seconds from suspect to dead; shorter with each confirmation."""
        minimum = MIN_SUSPICION_PERIODS * self._scaled_period() * max(1.0, log(max(2, self.member_count), 10))
        confirmations = len(member.suspected_by - {self.own_index})
        if self.member_count <= FULL_CONFIRMATIONS:
            return minimum
        fraction = log(confirmations + 1) / log(FULL_CONFIRMATIONS + 1)
        return minimum * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * min(1.0, fraction))

    def _adjust_health_score(self, step: int) -> None:
        self.health_score = min(MAX_HEALTH_SCORE, max(0, self.health_score + step))

    def _begin_period(self, now: float) -> list[OutgoingPacket]:
        out: list[OutgoingPacket] = []
        greeted, self.uncontacted = self.uncontacted[:HELLOS_PER_PERIOD], self.uncontacted[HELLOS_PER_PERIOD:]
        out += [(n, self._make_packet(wire.HELLO, n)) for n in greeted if not self.peers[n].run_id]
        if not self.uncontacted and self.hello_rounds < MAX_HELLO_ROUNDS:
            self._begin_hello_round()
        dead = [m for m in self.peers.values() if m.state in (MemberState.DEAD, MemberState.LEFT)]
        healing = len(dead) == len(self.peers) or now < self.last_false_death_at + PAUSE_PERIODS * self.period
        if dead and not self.uncontacted and (healing or not self.rng.randrange(DEAD_HELLO_PERIODS)):
            # A dead member may be back, or on the other side of a partition that has healed; if one is back,
            # others may be.
            member = self.rng.choice(dead)
            out.append((member.index, self._make_packet(wire.HELLO, member.index)))
        self.ping_order = [n for n in self.ping_order if self.peers[n].state.is_live]
        if not self.ping_order:
            self.ping_order = self._live_peers()
            self.rng.shuffle(self.ping_order)
        self.pending_ping = None
        if self.ping_order:
            index = self.ping_order.pop()
            self.pending_ping = PendingPing(index, self.rng.getrandbits(32), now)
            out.append((index, self._make_packet(wire.PING, index, nonce=self.pending_ping.nonce)))
        return out

    def _indirect_pings(self, ping: PendingPing) -> list[OutgoingPacket]:
        candidates = [
            m.index for m in self.peers.values() if m.state is MemberState.ALIVE and m.index != ping.target
        ]
        return [
            (helper, self._make_packet(wire.PING_REQ, helper, target=ping.target, nonce=ping.nonce))
            for helper in sorted(self.rng.sample(candidates, min(INDIRECT_PINGS, len(candidates))))
        ]

    # Incoming packets.

    def receive(self, packet: Packet, now: float) -> tuple[list[OutgoingPacket], bool]:
        """Handles a verified packet. Returns the answers, and whether its contents are accepted."""
        member = self.peers.get(packet.sender)
        if member is None or packet.receiver != self.own_index or not packet.sender_run_id:
            return [], False
        if packet.sender_run_id != member.run_id:
            if packet.sender_run_id in member.past_run_ids:
                return [], False
            if packet.receiver_run_id != self.run_id:
                # It may be a replay: the sender is accepted once it answers with this run's ID.
                return [
                    (member.index, self._make_packet(wire.HELLO, member.index, run_id=packet.sender_run_id))
                ], False
            member.past_run_ids = (
                [*member.past_run_ids, member.run_id][-8:] if member.run_id else member.past_run_ids
            )
            member.run_id, member.last_sequence = packet.sender_run_id, -1
            if member.state is not MemberState.ALIVE:
                self._set_state(member, MemberState.ALIVE, packet.incarnation, self.own_index, now)
            member.incarnation = packet.incarnation
        elif packet.receiver_run_id != self.run_id:
            return [(member.index, self._make_packet(wire.HELLO, member.index))], False
        if packet.sequence <= member.last_sequence:
            return [], False  # duplicated, reordered or replayed
        member.last_sequence, member.zone = packet.sequence, packet.zone
        if packet.region_map_digest != self.region_map_digest:
            self.map_mismatches[member.index] = packet.region_map_digest
        else:
            self.map_mismatches.pop(member.index, None)
        self._record_contact(member, packet, now)
        for update in packet.updates:
            self._apply_update(update, now)
        out: list[OutgoingPacket] = []
        match packet.kind:
            case wire.PING:
                out.append(
                    (member.index, self._make_packet(wire.ACK, member.index, self.own_index, packet.nonce))
                )
            case wire.HELLO:
                out.append((member.index, self._make_packet(wire.ACK, member.index, self.own_index, 0)))
            case wire.PING_REQ if packet.target in self.peers and packet.target != packet.sender:
                nonce = self.rng.getrandbits(32)
                if len(self.relayed_pings) < 4 * self.member_count:
                    self.relayed_pings[nonce] = (packet.sender, packet.nonce, now)
                    out.append((packet.target, self._make_packet(wire.PING, packet.target, nonce=nonce)))
            case wire.ACK:
                out += self._receive_ack(packet)
        return out, True

    def _receive_ack(self, packet: Packet) -> list[OutgoingPacket]:
        if packet.nonce in self.relayed_pings:
            requester, nonce, _ = self.relayed_pings.pop(packet.nonce)
            return (
                [(requester, self._make_packet(wire.ACK, requester, packet.target, nonce))]
                if requester in self.peers
                else []
            )
        ping = self.pending_ping
        if ping is not None and packet.nonce == ping.nonce and packet.target == ping.target:
            # An indirect answer counts too, as it shows that own packets are delivered. Guards against all
            # members slowing down together if a third of all datagrams is lost, or many members are dead at
            # once.
            self._adjust_health_score(0 if ping.acknowledged else -ACK_HEALTH_STEP)
            ping.acknowledged = True
            self.peers[ping.target].missed_pings = 0
        return []

    def _record_contact(self, member: Member, packet: Packet, now: float) -> None:
        """Takes a packet of the member itself, of its present run, as evidence that it is alive."""
        if packet.incarnation > member.incarnation:
            member.incarnation = packet.incarnation
            if member.state is not MemberState.ALIVE:
                self._set_state(member, MemberState.ALIVE, packet.incarnation, self.own_index, now)
        elif member.state is MemberState.DEAD:
            # It is alive although held to be dead: it refutes that once it receives this update.
            self._queue_update(wire.MemberUpdate(member.index, wire.DEAD, member.incarnation, self.own_index))

    def _apply_update(self, update: wire.MemberUpdate, now: float) -> None:
        state = MemberState(update.state)
        if update.member == self.own_index:
            if state is not MemberState.ALIVE and update.incarnation >= self.incarnation:
                self.incarnation = update.incarnation + 1
                self._adjust_health_score(1)
                self._queue_update(
                    wire.MemberUpdate(self.own_index, wire.ALIVE, self.incarnation, self.own_index)
                )
            return
        member = self.peers.get(update.member)
        if member is None or not member.run_id:
            return  # no direct contact yet: updates of others don't add members
        if update.incarnation < member.incarnation:
            return
        is_newer = update.incarnation > member.incarnation
        match state:
            case MemberState.ALIVE if is_newer:
                self._set_state(member, MemberState.ALIVE, update.incarnation, update.reporter, now)
            case MemberState.SUSPECT if member.state is MemberState.SUSPECT and not is_newer:
                if update.reporter != update.member and len(member.suspected_by) <= FULL_CONFIRMATIONS:
                    if update.reporter not in member.suspected_by:
                        self._queue_update(update)
                    member.suspected_by.add(update.reporter)
            case MemberState.SUSPECT if is_newer or member.state is MemberState.ALIVE:
                self._set_state(member, MemberState.SUSPECT, update.incarnation, update.reporter, now)
            case MemberState.DEAD if is_newer or member.state.is_live:
                # Another's report of a death only makes it suspect here; own pings or the timeout decide.
                if member.state is MemberState.SUSPECT:
                    member.suspected_by.add(update.reporter)
                else:
                    self._set_state(member, MemberState.SUSPECT, update.incarnation, update.reporter, now)
            case MemberState.LEFT if update.reporter == update.member and (
                is_newer or member.state is not MemberState.LEFT
            ):
                self._set_state(member, MemberState.LEFT, update.incarnation, update.reporter, now)
            case _:
                pass

    def _set_state(
        self, member: Member, state: MemberState, incarnation: int, reporter: int, now: float
    ) -> None:
        """The only place that changes the state of a member."""
        if state is member.state:
            member.incarnation = max(member.incarnation, incarnation)
            return
        if state not in TRANSITIONS[member.state]:
            raise ValueError(f"member {member.index}: {member.state.name} cannot become {state.name}")
        self.change_count += member.state.is_live is not state.is_live
        is_false_death = (
            member.state is MemberState.DEAD and state is MemberState.ALIVE and member.last_sequence >= 0
        )
        self.false_deaths += is_false_death
        self.last_false_death_at = now if is_false_death else self.last_false_death_at
        member.state, member.state_since = state, now
        member.incarnation = max(member.incarnation, incarnation)
        member.suspected_by = {reporter} if state is MemberState.SUSPECT else set()
        self._queue_update(wire.MemberUpdate(member.index, state.wire_code, member.incarnation, reporter))

    def packets_to_random_peers(self, count: int) -> list[OutgoingPacket]:
        """Packets to random live peers, for a vote that can't wait for the next ping."""
        live = self._live_peers()
        return [(n, self._make_packet(wire.ACK, n)) for n in self.rng.sample(live, min(count, len(live)))]

    def leave(self) -> list[OutgoingPacket]:
        """Packets that announce an orderly stop to random live peers."""
        self.incarnation += 1
        self._queue_update(wire.MemberUpdate(self.own_index, wire.LEFT, self.incarnation, self.own_index))
        return self.packets_to_random_peers(2 * INDIRECT_PINGS)

    # Outgoing packets.

    def _queue_update(self, update: wire.MemberUpdate) -> None:
        self.queued_updates[update.member] = QueuedUpdate(
            update, ceil(RETRANSMIT_FACTOR * log(max(2, self.member_count), 2))
        )

    def _make_packet(
        self, kind: wire.Code, receiver: int, target: int = 0, nonce: int = 0, run_id: int | None = None
    ) -> Packet:
        member = self.peers[receiver]
        self.sequence += 1
        chosen = sorted(
            self.queued_updates.values(),
            key=lambda queued: (-queued.transmissions_left, queued.update.member),
        )[:MAX_UPDATES]
        about_receiver = self.queued_updates.get(receiver)
        if member.state in (MemberState.SUSPECT, MemberState.DEAD) and member.run_id:
            # The receiver is notified first that it is held to be suspect or dead, so that it can refute it.
            chosen = [c for c in chosen if c is not about_receiver][: MAX_UPDATES - 1]
            first = wire.MemberUpdate(receiver, member.state.wire_code, member.incarnation, self.own_index)
            updates = (first, *(c.update for c in chosen))
        else:
            updates = tuple(c.update for c in chosen)
        for each in chosen:
            each.transmissions_left -= 1
            if each.transmissions_left <= 0:
                self.queued_updates.pop(each.update.member, None)
        receiver_run_id = member.run_id if run_id is None else run_id
        return Packet(
            kind, self.own_index, receiver, self.run_id, receiver_run_id, self.sequence,
            self.region_map_digest, self.zone, target, nonce, self.incarnation,
            () if kind == wire.HELLO else updates,
        )  # fmt: skip
