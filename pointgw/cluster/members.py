"""Who is there: SWIM's membership with what Lifeguard adds. No I/O, no clock: `now` is passed in.

Each period one other member is pinged, all in turn in an order of chance. Without an answer, some others are
asked to ping it; without an answer by the end of the period it is suspected, and dead once the suspicion has
stood for its time. One that is suspected hears of it with the next ping and refutes it with a higher
incarnation. Lifeguard: a balancer whose pings go unanswered doubts itself, and probes and judges more slowly
(`doubt`); a suspicion lasts long where one alone holds it, and shorter with each other that confirms. One
that stood still takes back what it held before it acts.
Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil, inf, log
from random import Random

from pointgw.cluster import wire
from pointgw.cluster.wire import Packet

INDIRECT_PINGS = 4  # others that are asked to ping one that did not answer
INDIRECT_PING_DELAY = 0.4  # of a period: until others are asked
SMALL_CLUSTER_SIZE = (
    12  # members among which one ping without an answer is a suspicion; with each power of it one more
)
MIN_SUSPICION_PERIODS = 8.0  # periods that a suspicion stands at least, once enough have confirmed it
MAX_SUSPICION_FACTOR = 3.0  # times that, while one alone holds it
FULL_CONFIRMATIONS = 3  # others whose word brings it to the least time
MAX_HEALTH_SCORE = 8  # steps of doubt in oneself
ACK_HEALTH_STEP = 2  # steps that an answer takes off; one that stays away adds one
RETRANSMIT_FACTOR = 4.0  # times log2 of the members: how often a piece of news is passed on
PAUSE_PERIODS = 8.0  # periods without a turn after which this process stood still
DEAD_HELLO_PERIODS = 10  # of the periods, one in so many asks a member that is dead or gone
HELLOS_PER_PERIOD = 4  # of those never heard are asked in a period, until all were
MAX_HELLO_ROUNDS = 4  # so often: words are lost; later they are asked as those that are gone
MAX_UPDATES = 6  # pieces of news in a datagram at most


class MemberState(IntEnum):
    """As the wire has them."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def wire_code(self) -> wire.Code:
        return WIRE_CODES[self]

    @property
    def is_live(self) -> bool:
        """A suspect is until it is dead."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)


WIRE_CODES: tuple[wire.Code, ...] = (wire.ALIVE, wire.SUSPECT, wire.DEAD, wire.LEFT)


TRANSITIONS = {
    MemberState.ALIVE: (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT),
    MemberState.SUSPECT: (MemberState.ALIVE, MemberState.DEAD, MemberState.LEFT),
    MemberState.DEAD: (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEFT),
    MemberState.LEFT: (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD),
}


@dataclass(slots=True, eq=False)
class Member:
    """Another balancer, as this one holds it."""

    index: int
    state: MemberState = MemberState.DEAD  # until it is heard
    incarnation: int = 0
    run_id: int = 0  # of its process; 0: never heard
    zone: int = -1  # as it tells
    last_sequence: int = -1  # the highest sequence of that run
    missed_pings: int = 0  # own pings in a row that nobody answered
    past_run_ids: list[int] = field(default_factory=list)  # runs before that, which say nothing any more
    state_since: float = -inf
    suspected_by: set[int] = field(default_factory=set)  # who holds the suspicion


@dataclass(slots=True)
class QueuedUpdate:
    """News that is being passed on."""

    update: wire.MemberUpdate
    transmissions_left: int  # times


@dataclass(slots=True)
class PendingPing:
    """A ping that is out."""

    target: int
    nonce: int
    sent_at: float
    indirect_sent: bool = False  # others were asked
    acknowledged: bool = False


OutgoingPacket = tuple[int, Packet]


@dataclass(slots=True)
class Members:
    """All of them, but oneself."""

    own_index: int
    member_count: int
    zone: int
    run_id: int
    region_map_digest: int
    rng: Random
    period: float
    peers: dict[int, Member] = field(default_factory=dict)
    incarnation: int = 0
    health_score: int = 0
    sequence: int = 0
    ping_order: list[int] = field(default_factory=list)  # who is pinged next, in this round
    pending_ping: PendingPing | None = None
    relayed_pings: dict[int, tuple[int, int, float]] = field(
        default_factory=dict
    )  # by nonce: who asked, its, when
    queued_updates: dict[int, QueuedUpdate] = field(default_factory=dict)
    next_period_at: float = 0.0  # the next period
    last_timer_at: float = -inf  # the last turn
    pause_count: int = 0
    false_deaths: int = 0  # deaths that were taken back
    last_false_death_at: float = -inf  # when the last of them was
    change_count: int = 0  # of who is taken to be there
    map_mismatches: dict[int, int] = field(default_factory=dict)  # members whose region map is another
    uncontacted: list[int] = field(default_factory=list)  # never heard, asked next, in an order of chance
    hello_rounds: int = 0  # of asking them

    def __post_init__(self) -> None:
        self.peers = {n: Member(n) for n in range(self.member_count) if n != self.own_index}
        self._begin_hello_round()

    def _begin_hello_round(self) -> None:
        self.hello_rounds += 1
        self.uncontacted = [m.index for m in self.peers.values() if not m.run_id]
        self.rng.shuffle(self.uncontacted)

    # What others ask.

    def live_members(self) -> list[int]:
        """All that are taken to be there, oneself among them."""
        return sorted([*self._live_peers(), self.own_index])

    def _live_peers(self) -> list[int]:
        return [m.index for m in self.peers.values() if m.state.is_live]

    def unsuspected_members(self) -> set[int]:
        """Those of them that nobody suspects, oneself among them."""
        return {self.own_index, *(m.index for m in self.peers.values() if m.state is MemberState.ALIVE)}

    def known_members(self) -> list[int]:
        """All that were ever heard, oneself among them, but those that left."""
        heard = [m.index for m in self.peers.values() if m.run_id and m.state is not MemberState.LEFT]
        return sorted([*heard, self.own_index])

    def zone_of(self, number: int) -> int:
        """As it tells; -1: not heard."""
        return self.zone if number == self.own_index else self.peers[number].zone

    def next_timer_at(self, now: float) -> float:
        """When a turn is due at the latest."""
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
        """A period, longer in doubt of oneself."""
        return self.period * (1 + self.health_score / 2)

    # By the clock.

    def timer_due(self, now: float) -> list[OutgoingPacket]:
        """Takes a turn: ends what is due, pings the next."""
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
        """Guards against a process that stood still: what it held is old, its ping was not lost by others."""
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
            # Guards a large tier whose words are lost: at 30% one ping in five fails, and so many suspicions
            # can't be told, nor refuted, in time. It costs a period until a death is seen.
            self.ping_order.append(member.index)
        elif member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT, member.incarnation, self.own_index, now)

    def _suspicion_timeout(self, member: Member) -> float:
        """How long it is suspected before it is dead: shorter with each that confirms."""
        least = MIN_SUSPICION_PERIODS * self._scaled_period() * max(1.0, log(max(2, self.member_count), 10))
        others = len(member.suspected_by - {self.own_index})
        if self.member_count <= FULL_CONFIRMATIONS:
            return least
        part = log(others + 1) / log(FULL_CONFIRMATIONS + 1)
        return least * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * min(1.0, part))

    def _adjust_health_score(self, step: int) -> None:
        self.health_score = min(MAX_HEALTH_SCORE, max(0, self.health_score + step))

    def _begin_period(self, now: float) -> list[OutgoingPacket]:
        out: list[OutgoingPacket] = []
        greeted, self.uncontacted = self.uncontacted[:HELLOS_PER_PERIOD], self.uncontacted[HELLOS_PER_PERIOD:]
        out += [(n, self._make_packet(wire.HELLO, n)) for n in greeted if not self.peers[n].run_id]
        if not self.uncontacted and self.hello_rounds < MAX_HELLO_ROUNDS:
            self._begin_hello_round()
        gone = [m for m in self.peers.values() if m.state in (MemberState.DEAD, MemberState.LEFT)]
        healing = len(gone) == len(self.peers) or now < self.last_false_death_at + PAUSE_PERIODS * self.period
        if gone and not self.uncontacted and (healing or not self.rng.randrange(DEAD_HELLO_PERIODS)):
            # A member that is gone may be back, or on the other side of a split that is over; where one is
            # back, the others may be.
            member = self.rng.choice(gone)
            out.append((member.index, self._make_packet(wire.HELLO, member.index)))
        self.ping_order = [n for n in self.ping_order if self.peers[n].state.is_live]
        if not self.ping_order:
            self.ping_order = self._live_peers()
            self.rng.shuffle(self.ping_order)
        self.pending_ping = None
        if self.ping_order:
            number = self.ping_order.pop()
            self.pending_ping = PendingPing(number, self.rng.getrandbits(32), now)
            out.append((number, self._make_packet(wire.PING, number, nonce=self.pending_ping.nonce)))
        return out

    def _indirect_pings(self, ping: PendingPing) -> list[OutgoingPacket]:
        able = [
            m.index for m in self.peers.values() if m.state is MemberState.ALIVE and m.index != ping.target
        ]
        return [
            (helper, self._make_packet(wire.PING_REQ, helper, about=ping.target, nonce=ping.nonce))
            for helper in sorted(self.rng.sample(able, min(INDIRECT_PINGS, len(able))))
        ]

    # What comes in.

    def receive(self, packet: Packet, now: float) -> tuple[list[OutgoingPacket], bool]:
        """Takes a verified packet. Gives the answers, and whether what it tells may be believed."""
        member = self.peers.get(packet.sender)
        if member is None or packet.receiver != self.own_index or not packet.sender_run_id:
            return [], False
        if packet.sender_run_id != member.run_id:
            if packet.sender_run_id in member.past_run_ids:
                return [], False
            if packet.receiver_run_id != self.run_id:
                # It may be yesterday's: asked again, and taken once it names this run.
                return [
                    (member.index, self._make_packet(wire.HELLO, member.index, run=packet.sender_run_id))
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
            return [], False  # doubled, late or replayed
        member.last_sequence, member.zone = packet.sequence, packet.zone
        if packet.region_map_digest != self.region_map_digest:
            self.map_mismatches[member.index] = packet.region_map_digest
        else:
            self.map_mismatches.pop(member.index, None)
        self._refresh(member, packet, now)
        for news in packet.updates:
            self._apply_update(news, now)
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
            who, nonce, _ = self.relayed_pings.pop(packet.nonce)
            return (
                [(who, self._make_packet(wire.ACK, who, packet.target, nonce))] if who in self.peers else []
            )
        ping = self.pending_ping
        if ping is not None and packet.nonce == ping.nonce and packet.target == ping.target:
            # Also by way of another: own words reach somebody. Guards against a tier that grows slow as a
            # whole where a third of all datagrams is lost, or many are dead at once.
            self._adjust_health_score(0 if ping.acknowledged else -ACK_HEALTH_STEP)
            ping.acknowledged = True
            self.peers[ping.target].missed_pings = 0
        return []

    def _refresh(self, member: Member, packet: Packet, now: float) -> None:
        """Its own word, of this run: it is there."""
        if packet.incarnation > member.incarnation:
            member.incarnation = packet.incarnation
            if member.state is not MemberState.ALIVE:
                self._set_state(member, MemberState.ALIVE, packet.incarnation, self.own_index, now)
        elif member.state is MemberState.DEAD:
            # Taken to be dead and alive all the same: it refutes that once it hears of it.
            self._queue_update(wire.MemberUpdate(member.index, wire.DEAD, member.incarnation, self.own_index))

    def _apply_update(self, news: wire.MemberUpdate, now: float) -> None:
        state = MemberState(news.state)
        if news.member == self.own_index:
            if state is not MemberState.ALIVE and news.incarnation >= self.incarnation:
                self.incarnation = news.incarnation + 1
                self._adjust_health_score(1)
                self._queue_update(
                    wire.MemberUpdate(self.own_index, wire.ALIVE, self.incarnation, self.own_index)
                )
            return
        member = self.peers.get(news.member)
        if member is None or not member.run_id:
            return  # never heard by itself: no word of others makes a member
        if news.incarnation < member.incarnation:
            return
        newer = news.incarnation > member.incarnation
        match state:
            case MemberState.ALIVE if newer:
                self._set_state(member, MemberState.ALIVE, news.incarnation, news.reporter, now)
            case MemberState.SUSPECT if member.state is MemberState.SUSPECT and not newer:
                if news.reporter != news.member and len(member.suspected_by) <= FULL_CONFIRMATIONS:
                    if news.reporter not in member.suspected_by:
                        self._queue_update(news)
                    member.suspected_by.add(news.reporter)
            case MemberState.SUSPECT if newer or member.state is MemberState.ALIVE:
                self._set_state(member, MemberState.SUSPECT, news.incarnation, news.reporter, now)
            case MemberState.DEAD if newer or member.state.is_live:
                # Dead by another's word alone is suspected here: own eyes, or time, make it so.
                if member.state is MemberState.SUSPECT:
                    member.suspected_by.add(news.reporter)
                else:
                    self._set_state(member, MemberState.SUSPECT, news.incarnation, news.reporter, now)
            case MemberState.LEFT if news.reporter == news.member and (
                newer or member.state is not MemberState.LEFT
            ):
                self._set_state(member, MemberState.LEFT, news.incarnation, news.reporter, now)
            case _:
                pass

    def _set_state(self, member: Member, state: MemberState, incarnation: int, by: int, now: float) -> None:
        """The one place where a member changes state."""
        if state is member.state:
            member.incarnation = max(member.incarnation, incarnation)
            return
        if state not in TRANSITIONS[member.state]:
            raise ValueError(f"member {member.index}: {member.state.name} cannot become {state.name}")
        self.change_count += member.state.is_live is not state.is_live
        back = member.state is MemberState.DEAD and state is MemberState.ALIVE and member.last_sequence >= 0
        self.false_deaths += back
        self.last_false_death_at = now if back else self.last_false_death_at
        member.state, member.state_since = state, now
        member.incarnation = max(member.incarnation, incarnation)
        member.suspected_by = {by} if state is MemberState.SUSPECT else set()
        self._queue_update(wire.MemberUpdate(member.index, state.wire_code, member.incarnation, by))

    def packets_to_random_peers(self, count: int) -> list[OutgoingPacket]:
        """A word to some others at once, for what can't wait for the next ping."""
        there = self._live_peers()
        return [(n, self._make_packet(wire.ACK, n)) for n in self.rng.sample(there, min(count, len(there)))]

    def leave(self) -> list[OutgoingPacket]:
        """The last word of one that stops in order, to some others."""
        self.incarnation += 1
        self._queue_update(wire.MemberUpdate(self.own_index, wire.LEFT, self.incarnation, self.own_index))
        return self.packets_to_random_peers(2 * INDIRECT_PINGS)

    # What goes out.

    def _queue_update(self, news: wire.MemberUpdate) -> None:
        self.queued_updates[news.member] = QueuedUpdate(
            news, ceil(RETRANSMIT_FACTOR * log(max(2, self.member_count), 2))
        )

    def _make_packet(
        self, kind: wire.Code, to: int, about: int = 0, nonce: int = 0, run: int | None = None
    ) -> Packet:
        member = self.peers[to]
        self.sequence += 1
        chosen = sorted(
            self.queued_updates.values(), key=lambda told: (-told.transmissions_left, told.update.member)
        )[:MAX_UPDATES]
        about_it = self.queued_updates.get(to)
        if member.state in (MemberState.SUSPECT, MemberState.DEAD) and member.run_id:
            # The one it is about hears of it first, so that it can refute it.
            chosen = [c for c in chosen if c is not about_it][: MAX_UPDATES - 1]
            first = wire.MemberUpdate(to, member.state.wire_code, member.incarnation, self.own_index)
            news = (first, *(c.update for c in chosen))
        else:
            news = tuple(c.update for c in chosen)
        for each in chosen:
            each.transmissions_left -= 1
            if each.transmissions_left <= 0:
                self.queued_updates.pop(each.update.member, None)
        known = member.run_id if run is None else run
        return Packet(
            kind, self.own_index, to, self.run_id, known, self.sequence, self.region_map_digest, self.zone,
            about, nonce, self.incarnation, () if kind == wire.HELLO else news,
        )  # fmt: skip
