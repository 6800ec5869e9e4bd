"""The memory on disk (`pointgw.state`) beside a balancer: read at its start, kept while it runs.

Only loaded where the operators' file has `[state]`.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from pointgw.net.memory.reducer import Reducer
from pointgw.net.memory.start_times import SAME
from pointgw.net.wire.start import Start
from pointgw.policy import Balancer
from pointgw.state import facts, keeper
from pointgw.state.recall import Recalled, Roster, known_facts, recall
from pointgw.state.store import Store

_log = logging.getLogger("pointgw.state")


@dataclass(slots=True)
class Remembering:
    """What is on disk, what was made of it, and what keeps it."""

    store: Store
    fingerprint: str
    roster: Roster
    recalled: Recalled | None
    run: str  # of this machine
    keeper: keeper.Keeper | None = None

    @classmethod
    def begin(cls, folder: str, start: Start, boot: str = "") -> Remembering | None:
        """None, with a line of the log, where the folder can't be used."""
        held = keeper.begin(folder, start.name)
        if held is None:
            return None
        store, found = held
        mark = facts.fingerprint(start.names.zones, start.profiles)
        known = known_facts(start.known.servers, start.known.addresses)
        now, recalled, run = time.time(), None, machine_run(boot)
        if found.memory is None:
            _log.info("nothing remembered", extra={"fields": {"folder": folder, "lost": len(found.lost)}})
        else:
            recalled = recall(found.memory, known, mark, now, run)
            if recalled is None:
                store.release()
                why = "it is another installation's: its zones or profiles differ"
                _log.error("left untouched", extra={"fields": {"folder": folder, "why": why}})
                return None
            told: dict[str, object] = {"folder": folder, "age": recalled.age, "clean": recalled.clean}
            told["warm"] = len(recalled.warm)
            _log.info("remembered", extra={"fields": told | recalled.counts})
        roster = recalled.roster if recalled is not None else Roster({fact.name: fact for fact in known})
        return cls(store, mark, roster, recalled, run)

    def keep(
        self, reducer: Reducer, loop: asyncio.AbstractEventLoop, clock: Callable[[], float] = time.time
    ) -> None:
        """`clock`: the process's own, which goes on evenly where the wall clock steps."""

        def take(clean: bool) -> facts.Memory:
            now, wall = clock(), time.time()
            stepped = wall - now if abs(wall - now) > SAME else 0.0
            discovery = reducer.discovery  # the one in force: a reload may have turned
            return facts.Memory(
                self.fingerprint, wall, reducer.index, f"{discovery[0]}:{discovery[1]}", clean,
                in_wall_time(self.roster.kept(now), stepped), health(reducer.balancer, now, stepped),
                figures(reducer.balancer), self.roster.lives, self.run,
            )  # fmt: skip

        self.keeper = keeper.Keeper(self.store, take, lambda: self.roster.news, loop)

    async def stop(self) -> None:
        if self.keeper is not None:
            await self.keeper.stop(clean=True)


def machine_run(path: str) -> str:
    """What the machine calls its run since power-on; nothing where it does not tell."""
    try:
        with open(path, encoding="ascii", errors="replace") as file:
            return file.read(100).strip()
    except OSError:
        return ""


def in_wall_time(kept: tuple[facts.Fact, ...], stepped: float) -> tuple[facts.Fact, ...]:
    """Facts whose times are of the process's clock, which the wall clock has left by so much."""
    if not stepped:
        return kept
    return tuple(
        msgspec.structs.replace(
            fact, at=fact.at and fact.at + stepped, seen=fact.seen and fact.seen + stepped
        )
        for fact in kept
    )


def health(balancer: Balancer, now: float, stepped: float = 0.0) -> tuple[facts.Health, ...]:
    """Of the servers that are suspended, have strikes, or are cold; a doubted one has learned nothing yet."""
    return tuple(
        facts.Health(
            ep.name, ep.started, ep.strikes, ep.out_until + stepped, ep.budget, ep.budget_at + stepped
        )
        for ep in balancer.servers.values()
        if not ep.doubted and (ep.strikes or ep.out_until > now or ep.warm_at > now)
    )


def figures(balancer: Balancer) -> facts.Figures:
    return facts.Figures(balancer.c, balancer.load_unit, balancer.rate, 0.0, 0, balancer.cold_gain)


def remind(balancer: Balancer, recalled: Recalled, now: float) -> None:
    """Hands the decisions what was remembered, after the list."""
    for name in sorted(recalled.warm):
        if name in balancer.servers:
            balancer.sure(balancer.servers[name])
    for name in sorted(recalled.doubted):
        if name in balancer.servers:
            balancer.doubt(balancer.servers[name])
    for one in recalled.health:
        ep = balancer.servers.get(one.name)
        if ep is not None and ep.started == one.started and not ep.doubted:
            # No suspension is longer than the longest that is given; a clock may have jumped.
            ep.strikes = min(max(0, one.strikes), 4)
            ep.out_until = min(one.out_until, now + balancer.goal * 64 * 1.2)
            ep.budget, ep.budget_at = min(ep.budget, one.budget), now
    learned = recalled.figures
    if learned is not None and all(
        math.isfinite(value) and value > 0 for value in (learned.load_unit, learned.rate)
    ):
        balancer.load_unit, balancer.rate = learned.load_unit, learned.rate
        if math.isfinite(learned.c) and learned.c > 0:
            balancer.c = learned.c
        if math.isfinite(learned.cold_gain) and learned.cold_gain >= 0:
            balancer.cold_gain = learned.cold_gain
