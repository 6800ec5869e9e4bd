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

ASKED = 4  # others that are asked to ping one that did not answer
WAIT = 0.4  # of a period: until others are asked
FEW = 12  # members among which one ping without an answer is a suspicion; with each power of it one more
SUSPECTED = 8.0  # periods that a suspicion stands at least, once enough have confirmed it
ALONE = 3.0  # times that, while one alone holds it
CONFIRMED = 3  # others whose word brings it to the least time
MOST_DOUBT = 8  # steps of doubt in oneself
SURE = 2  # steps that an answer takes off; one that stays away adds one
SPREAD = 4.0  # times log2 of the members: how often a piece of news is passed on
STILL = 8.0  # periods without a turn after which this process stood still
TRY_GONE = 10  # of the periods, one in so many asks a member that is dead or gone
GREETED = 4  # of those never heard are asked in a period, until all were
ROUNDS = 4  # so often: words are lost; later they are asked as those that are gone
NEWS = 6  # pieces of news in a datagram at most


class State(IntEnum):
    """As the wire has them."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def word(self) -> wire.Word:
        return WORDS[self]

    @property
    def there(self) -> bool:
        """A suspect is until it is dead."""
        return self in (State.ALIVE, State.SUSPECT)


WORDS: tuple[wire.Word, ...] = (wire.ALIVE, wire.SUSPECT, wire.DEAD, wire.LEFT)


NEXT = {
    State.ALIVE: (State.SUSPECT, State.DEAD, State.LEFT),
    State.SUSPECT: (State.ALIVE, State.DEAD, State.LEFT),
    State.DEAD: (State.ALIVE, State.SUSPECT, State.LEFT),
    State.LEFT: (State.ALIVE, State.SUSPECT, State.DEAD),
}


@dataclass(slots=True, eq=False)
class Member:
    """Another balancer, as this one holds it."""

    number: int
    state: State = State.DEAD  # until it is heard
    incarnation: int = 0
    run: int = 0  # of its process; 0: never heard
    zone: int = -1  # as it tells
    heard: int = -1  # the highest sequence of that run
    missed: int = 0  # own pings in a row that nobody answered
    past: list[int] = field(default_factory=list)  # runs before that, which say nothing any more
    since: float = -inf
    confirmed: set[int] = field(default_factory=set)  # who holds the suspicion


@dataclass(slots=True)
class Told:
    """News that is being passed on."""

    news: wire.News
    left: int  # times


@dataclass(slots=True)
class Ping:
    """A ping that is out."""

    member: int
    nonce: int
    at: float
    asked: bool = False  # others were asked
    heard: bool = False


Send = tuple[int, Packet]


@dataclass(slots=True)
class Members:
    """All of them, but oneself."""

    me: int
    count: int
    zone: int
    run: int
    regions: int
    rng: Random
    period: float
    others: dict[int, Member] = field(default_factory=dict)
    incarnation: int = 0
    doubt: int = 0
    sequence: int = 0
    turn: list[int] = field(default_factory=list)  # who is pinged next, in this round
    ping: Ping | None = None
    relayed: dict[int, tuple[int, int, float]] = field(default_factory=dict)  # by nonce: who asked, its, when
    told: dict[int, Told] = field(default_factory=dict)
    due: float = 0.0  # the next period
    turned: float = -inf  # the last turn
    stood_still: int = 0
    false: int = 0  # deaths that were taken back
    back_at: float = -inf  # when the last of them was
    changes: int = 0  # of who is taken to be there
    strange: dict[int, int] = field(default_factory=dict)  # members whose region map is another
    unmet: list[int] = field(default_factory=list)  # never heard, asked next, in an order of chance
    rounds: int = 0  # of asking them

    def __post_init__(self) -> None:
        self.others = {n: Member(n) for n in range(self.count) if n != self.me}
        self._ask_unmet()

    def _ask_unmet(self) -> None:
        self.rounds += 1
        self.unmet = [m.number for m in self.others.values() if not m.run]
        self.rng.shuffle(self.unmet)

    # What others ask.

    def alive(self) -> list[int]:
        """All that are taken to be there, oneself among them."""
        return sorted([*self._others_there(), self.me])

    def _others_there(self) -> list[int]:
        return [m.number for m in self.others.values() if m.state.there]

    def certain(self) -> set[int]:
        """Those of them that nobody suspects, oneself among them."""
        return {self.me, *(m.number for m in self.others.values() if m.state is State.ALIVE)}

    def known(self) -> list[int]:
        """All that were ever heard, oneself among them, but those that left."""
        heard = [m.number for m in self.others.values() if m.run and m.state is not State.LEFT]
        return sorted([*heard, self.me])

    def zone_of(self, number: int) -> int:
        """As it tells; -1: not heard."""
        return self.zone if number == self.me else self.others[number].zone

    def next_at(self, now: float) -> float:
        """When a turn is due at the latest."""
        if self.ping is not None and not self.ping.asked and not self.ping.heard:
            return min(self.due, max(now, self.ping.at + WAIT * self._length()))
        return self.due

    def _length(self) -> float:
        """A period, longer in doubt of oneself."""
        return self.period * (1 + self.doubt / 2)

    # By the clock.

    def turns(self, now: float) -> list[Send]:
        """Takes a turn: ends what is due, pings the next."""
        out: list[Send] = []
        if now - self.turned > STILL * self.period and self.turned > -inf:
            self._wake(now)
        self.turned = now
        for member in self.others.values():
            if member.state is State.SUSPECT and now >= member.since + self._patience(member):
                self._to(member, State.DEAD, member.incarnation, self.me, now)
        ping = self.ping
        if ping is not None and not ping.heard and not ping.asked and now >= ping.at + WAIT * self._length():
            ping.asked = True
            out += self._ask_others(ping)
        if now >= self.due:
            if ping is not None and not ping.heard:
                self._unanswered(ping, now)
            self.due = max(self.due + self._length(), now + self._length() / 2)
            out += self._next(now)
        self.relayed = {n: r for n, r in self.relayed.items() if now - r[2] < 2 * self._length()}
        return out

    def _wake(self, now: float) -> None:
        """Guards against a process that stood still: what it held is old, its ping was not lost by others."""
        self.stood_still += 1
        self.ping, self.doubt, self.due = None, MOST_DOUBT, now
        self.incarnation += 1
        self._tell(wire.News(self.me, wire.ALIVE, self.incarnation, self.me))
        for member in self.others.values():
            if member.state is State.SUSPECT:
                member.since = now
                member.confirmed = set()

    def _unanswered(self, ping: Ping, now: float) -> None:
        self._doubts(1)
        member = self.others[ping.member]
        member.missed += 1
        if member.state is State.ALIVE and member.missed < log(max(2, self.count), FEW):
            # Guards a large tier whose words are lost: at 30% one ping in five fails, and so many suspicions
            # can't be told, nor refuted, in time. It costs a period until a death is seen.
            self.turn.append(member.number)
        elif member.state is State.ALIVE:
            self._to(member, State.SUSPECT, member.incarnation, self.me, now)

    def _patience(self, member: Member) -> float:
        """How long it is suspected before it is dead: shorter with each that confirms."""
        least = SUSPECTED * self._length() * max(1.0, log(max(2, self.count), 10))
        others = len(member.confirmed - {self.me})
        if self.count <= CONFIRMED:
            return least
        part = log(others + 1) / log(CONFIRMED + 1)
        return least * (ALONE - (ALONE - 1.0) * min(1.0, part))

    def _doubts(self, step: int) -> None:
        self.doubt = min(MOST_DOUBT, max(0, self.doubt + step))

    def _next(self, now: float) -> list[Send]:
        out: list[Send] = []
        greeted, self.unmet = self.unmet[:GREETED], self.unmet[GREETED:]
        out += [(n, self._packet(wire.HELLO, n)) for n in greeted if not self.others[n].run]
        if not self.unmet and self.rounds < ROUNDS:
            self._ask_unmet()
        gone = [m for m in self.others.values() if m.state in (State.DEAD, State.LEFT)]
        healing = len(gone) == len(self.others) or now < self.back_at + STILL * self.period
        if gone and not self.unmet and (healing or not self.rng.randrange(TRY_GONE)):
            # A member that is gone may be back, or on the other side of a split that is over; where one is
            # back, the others may be.
            member = self.rng.choice(gone)
            out.append((member.number, self._packet(wire.HELLO, member.number)))
        self.turn = [n for n in self.turn if self.others[n].state.there]
        if not self.turn:
            self.turn = self._others_there()
            self.rng.shuffle(self.turn)
        self.ping = None
        if self.turn:
            number = self.turn.pop()
            self.ping = Ping(number, self.rng.getrandbits(32), now)
            out.append((number, self._packet(wire.PING, number, nonce=self.ping.nonce)))
        return out

    def _ask_others(self, ping: Ping) -> list[Send]:
        able = [m.number for m in self.others.values() if m.state is State.ALIVE and m.number != ping.member]
        return [
            (helper, self._packet(wire.ASK, helper, about=ping.member, nonce=ping.nonce))
            for helper in sorted(self.rng.sample(able, min(ASKED, len(able))))
        ]

    # What comes in.

    def hears(self, packet: Packet, now: float) -> tuple[list[Send], bool]:
        """Takes a verified packet. Gives the answers, and whether what it tells may be believed."""
        member = self.others.get(packet.sender)
        if member is None or packet.to != self.me or not packet.run:
            return [], False
        if packet.run != member.run:
            if packet.run in member.past:
                return [], False
            if packet.known != self.run:
                # It may be yesterday's: asked again, and taken once it names this run.
                return [(member.number, self._packet(wire.HELLO, member.number, run=packet.run))], False
            member.past = [*member.past, member.run][-8:] if member.run else member.past
            member.run, member.heard = packet.run, -1
            if member.state is not State.ALIVE:
                self._to(member, State.ALIVE, packet.incarnation, self.me, now)
            member.incarnation = packet.incarnation
        elif packet.known != self.run:
            return [(member.number, self._packet(wire.HELLO, member.number))], False
        if packet.sequence <= member.heard:
            return [], False  # doubled, late or replayed
        member.heard, member.zone = packet.sequence, packet.zone
        if packet.regions != self.regions:
            self.strange[member.number] = packet.regions
        else:
            self.strange.pop(member.number, None)
        self._back(member, packet, now)
        for news in packet.news:
            self._news(news, now)
        out: list[Send] = []
        match packet.kind:
            case wire.PING:
                out.append((member.number, self._packet(wire.ACK, member.number, self.me, packet.nonce)))
            case wire.HELLO:
                out.append((member.number, self._packet(wire.ACK, member.number, self.me, 0)))
            case wire.ASK if packet.about in self.others and packet.about != packet.sender:
                nonce = self.rng.getrandbits(32)
                if len(self.relayed) < 4 * self.count:
                    self.relayed[nonce] = (packet.sender, packet.nonce, now)
                    out.append((packet.about, self._packet(wire.PING, packet.about, nonce=nonce)))
            case wire.ACK:
                out += self._answered(packet)
        return out, True

    def _answered(self, packet: Packet) -> list[Send]:
        if packet.nonce in self.relayed:
            who, nonce, _ = self.relayed.pop(packet.nonce)
            return [(who, self._packet(wire.ACK, who, packet.about, nonce))] if who in self.others else []
        ping = self.ping
        if ping is not None and packet.nonce == ping.nonce and packet.about == ping.member:
            # Also by way of another: own words reach somebody. Guards against a tier that grows slow as a
            # whole where a third of all datagrams is lost, or many are dead at once.
            self._doubts(0 if ping.heard else -SURE)
            ping.heard = True
            self.others[ping.member].missed = 0
        return []

    def _back(self, member: Member, packet: Packet, now: float) -> None:
        """Its own word, of this run: it is there."""
        if packet.incarnation > member.incarnation:
            member.incarnation = packet.incarnation
            if member.state is not State.ALIVE:
                self._to(member, State.ALIVE, packet.incarnation, self.me, now)
        elif member.state is State.DEAD:
            # Taken to be dead and alive all the same: it refutes that once it hears of it.
            self._tell(wire.News(member.number, wire.DEAD, member.incarnation, self.me))

    def _news(self, news: wire.News, now: float) -> None:
        state = State(news.state)
        if news.member == self.me:
            if state is not State.ALIVE and news.incarnation >= self.incarnation:
                self.incarnation = news.incarnation + 1
                self._doubts(1)
                self._tell(wire.News(self.me, wire.ALIVE, self.incarnation, self.me))
            return
        member = self.others.get(news.member)
        if member is None or not member.run:
            return  # never heard by itself: no word of others makes a member
        if news.incarnation < member.incarnation:
            return
        newer = news.incarnation > member.incarnation
        match state:
            case State.ALIVE if newer:
                self._to(member, State.ALIVE, news.incarnation, news.by, now)
            case State.SUSPECT if member.state is State.SUSPECT and not newer:
                if news.by != news.member and len(member.confirmed) <= CONFIRMED:
                    if news.by not in member.confirmed:
                        self._tell(news)
                    member.confirmed.add(news.by)
            case State.SUSPECT if newer or member.state is State.ALIVE:
                self._to(member, State.SUSPECT, news.incarnation, news.by, now)
            case State.DEAD if newer or member.state.there:
                # Dead by another's word alone is suspected here: own eyes, or time, make it so.
                if member.state is State.SUSPECT:
                    member.confirmed.add(news.by)
                else:
                    self._to(member, State.SUSPECT, news.incarnation, news.by, now)
            case State.LEFT if news.by == news.member and (newer or member.state is not State.LEFT):
                self._to(member, State.LEFT, news.incarnation, news.by, now)
            case _:
                pass

    def _to(self, member: Member, state: State, incarnation: int, by: int, now: float) -> None:
        """The one place where a member changes state."""
        if state is member.state:
            member.incarnation = max(member.incarnation, incarnation)
            return
        if state not in NEXT[member.state]:
            raise ValueError(f"member {member.number}: {member.state.name} cannot become {state.name}")
        self.changes += member.state.there is not state.there
        back = member.state is State.DEAD and state is State.ALIVE and member.heard >= 0
        self.false += back
        self.back_at = now if back else self.back_at
        member.state, member.since = state, now
        member.incarnation = max(member.incarnation, incarnation)
        member.confirmed = {by} if state is State.SUSPECT else set()
        self._tell(wire.News(member.number, state.word, member.incarnation, by))

    def some(self, count: int) -> list[Send]:
        """A word to some others at once, for what can't wait for the next ping."""
        there = self._others_there()
        return [(n, self._packet(wire.ACK, n)) for n in self.rng.sample(there, min(count, len(there)))]

    def leave(self) -> list[Send]:
        """The last word of one that stops in order, to some others."""
        self.incarnation += 1
        self._tell(wire.News(self.me, wire.LEFT, self.incarnation, self.me))
        return self.some(2 * ASKED)

    # What goes out.

    def _tell(self, news: wire.News) -> None:
        self.told[news.member] = Told(news, ceil(SPREAD * log(max(2, self.count), 2)))

    def _packet(
        self, kind: wire.Word, to: int, about: int = 0, nonce: int = 0, run: int | None = None
    ) -> Packet:
        member = self.others[to]
        self.sequence += 1
        chosen = sorted(self.told.values(), key=lambda told: (-told.left, told.news.member))[:NEWS]
        about_it = self.told.get(to)
        if member.state in (State.SUSPECT, State.DEAD) and member.run:
            # The one it is about hears of it first, so that it can refute it.
            chosen = [c for c in chosen if c is not about_it][: NEWS - 1]
            first = wire.News(to, member.state.word, member.incarnation, self.me)
            news = (first, *(c.news for c in chosen))
        else:
            news = tuple(c.news for c in chosen)
        for each in chosen:
            each.left -= 1
            if each.left <= 0:
                self.told.pop(each.news.member, None)
        known = member.run if run is None else run
        return Packet(
            kind, self.me, to, self.run, known, self.sequence, self.regions, self.zone, about, nonce,
            self.incarnation, () if kind == wire.HELLO else news,
        )  # fmt: skip
