"""Disturbances of a soak run. Each starts, lasts and ends on its own; several overlap.

The function names are the names of the option `--only`, and the order of `DISTURBANCES` determines the draws.
"""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING

from soak import discovery, server
from soak.syscall_faults import SHORTENED, Call

if TYPE_CHECKING:
    from soak.world import World

Disturbance = Callable[["World", Random], Awaitable[None]]

SOCKET_FAULTS = (
    (Call.ACCEPT, (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EINTR, errno.ENOMEM)),
    (Call.SOCKET, (errno.ENFILE, errno.EMFILE, errno.ENOBUFS)),
    (Call.CONNECT, (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT)),
    (Call.READ, (SHORTENED, errno.EINTR, errno.ETIMEDOUT, errno.EHOSTUNREACH)),
    (Call.WRITE, (SHORTENED, errno.EINTR)),
)  # fmt: skip


async def planned_restart(world: World, rng: Random) -> None:
    """Restarts one balancer gracefully."""
    await world.restart(rng.choice(world.balancers), signal.SIGTERM)


async def rolling_restart(world: World, rng: Random) -> None:
    """Restarts a third of the balancers gracefully, overlapping."""
    for balancer in rng.sample(world.balancers, k=max(2, len(world.balancers) // 3)):
        world.background(world.restart(balancer, signal.SIGTERM))
        await asyncio.sleep(rng.uniform(0.05, 0.5))


async def kill(world: World, rng: Random) -> None:
    """Kills and restarts one balancer."""
    await world.restart(rng.choice(world.balancers), signal.SIGKILL)


async def mass_kill(world: World, rng: Random) -> None:
    """Kills and restarts half of the balancers at the same time."""
    for balancer in rng.sample(world.balancers, k=max(2, len(world.balancers) // 2)):
        world.background(world.restart(balancer, signal.SIGKILL))


async def pause(world: World, rng: Random) -> None:
    """Stops three processes for a moment, one after the other, as on a machine short of processors."""
    for balancer in rng.sample(world.balancers, k=3):
        balancer.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.02, 0.14))
        balancer.send_signal(signal.SIGCONT)


async def reload(world: World, rng: Random) -> None:
    """Reloads configurations, one or three in a row, each of which switches the discovery port."""
    for balancer in rng.sample(world.balancers, k=max(2, len(world.balancers) // 2)):
        for _ in range(rng.choice((1, 1, 3))):
            world.move_discovery(balancer)
            await asyncio.sleep(rng.uniform(0.0, 0.3))


async def server_misbehaves(world: World, rng: Random) -> None:
    """Gives up to a third of the servers one faulty behaviour."""
    behaviour = rng.choice([kind for kind in server.Behaviour if kind is not server.Behaviour.NORMAL])
    affected = rng.sample(world.servers, k=rng.randint(1, max(1, len(world.servers) // 3)))
    for stand_in in affected:
        stand_in.behaviour = behaviour
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for stand_in in affected:
        stand_in.behaviour = server.Behaviour.NORMAL


async def servers_drain(world: World, rng: Random) -> None:
    """Drains a quarter of the servers, then sets all draining ones up again."""
    for stand_in in rng.sample(world.servers, k=max(1, len(world.servers) // 4)):
        world.drain(stand_in)
        await asyncio.sleep(rng.uniform(0.0, 0.2))
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    for stand_in in world.servers:
        if stand_in.draining:
            world.undrain(stand_in)


async def servers_restart(world: World, rng: Random) -> None:
    """Crashes and restarts a quarter of the servers."""
    for stand_in in rng.sample(world.servers, k=max(1, len(world.servers) // 4)):
        world.background(world.restart_server(stand_in, rng.uniform(0.2, 1.5), rng.uniform(0.0, 1.0)))


async def discovery_fails(world: World, rng: Random) -> None:
    """Gives discovery a faulty behaviour."""
    excluded = (discovery.Behaviour.NORMAL,)
    world.discovery.set_behaviour(rng.choice([kind for kind in discovery.Behaviour if kind not in excluded]))
    await asyncio.sleep(rng.uniform(0.5, 7.0))
    world.discovery.set_behaviour(discovery.Behaviour.NORMAL)


async def discovery_forms(world: World, rng: Random) -> None:
    """Lets discovery frame its responses in two other ways."""
    world.discovery.response_forms = tuple(rng.sample(list(discovery.ResponseForm), k=2))
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    world.discovery.response_forms = (discovery.ResponseForm.PLAIN,)


async def odd_entries(world: World, rng: Random) -> None:
    """Changes entries of the list to values that are missing, out of range or of the wrong type."""
    for fields in ({"weight": None}, {"since_ms": -1}, {"weight": -2.0}, {"type": None}, {"group": "x"}):
        stand_in = rng.choice(world.servers)
        world.discovery.change_entry(stand_in.name, world.now(), **fields)
        await asyncio.sleep(0.1)


async def burst(world: World, rng: Random) -> None:
    """Multiplies the request rate by 2 to 5."""
    usual_rate = world.deployment.arrival_rate
    world.arrival_rate = usual_rate * rng.uniform(2.0, 5.0)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    world.arrival_rate = usual_rate


async def idle_crowd(world: World, rng: Random) -> None:
    """Opens 50 to 200 connections to one balancer that send nothing."""
    balancer = rng.choice(world.balancers)
    for _ in range(rng.randint(50, 200)):
        world.start_bad_client(balancer, b"", rng.uniform(2.0, 6.0))
    await asyncio.sleep(1.0)


async def bad_clients(world: World, rng: Random) -> None:
    """Connects clients that send invalid or incomplete requests."""
    for _ in range(rng.randint(10, 60)):
        world.start_bad_client(rng.choice(world.balancers), *world.draw_bad_data(rng))
        await asyncio.sleep(rng.uniform(0.0, 0.05))


async def clients_leave(world: World, rng: Random) -> None:
    """Lets most clients cancel their requests early."""
    usual_share, world.leaving_share = world.leaving_share, 0.6
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    world.leaving_share = usual_share


async def system_calls_fail(world: World, rng: Random) -> None:
    """Fails a share of the calls of a kind at some balancers for a moment.

    Reads, short transfers and interruptions are limited to a share of 0.2.
    """
    call, faults = rng.choice(SOCKET_FAULTS)
    fault, share, seconds = rng.choice(faults), rng.choice((0.02, 0.2, 1.0)), rng.choice((0.02, 0.1, 0.3))
    if fault in (errno.EINTR, SHORTENED) or call is Call.READ:
        share = min(share, 0.2)
    affected = rng.sample(world.balancers, k=max(1, len(world.balancers) // 3))
    world.schedule.append(f"{call.name} {errno.errorcode.get(fault, 'short')} {share} for {seconds}")
    for balancer in affected:
        balancer.faults.fail(call, fault, share)
    await asyncio.sleep(seconds)
    for balancer in affected:
        balancer.faults.clear(call)


async def disk_fails(world: World, rng: Random) -> None:
    """Fails or delays a step of writing snapshots at half of the balancers for a while."""
    call = rng.choice((Call.OPEN, Call.FSYNC, Call.RENAME))
    fault, delay = rng.choice(((errno.EIO, 0.0), (errno.ENOSPC, 0.0), (0, 3.0)))
    affected = rng.sample(world.balancers, k=max(1, len(world.balancers) // 2))
    for balancer in affected:
        balancer.faults.fail(call, fault, delay=delay)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for balancer in affected:
        balancer.faults.clear(call)


async def wall_clock_steps(world: World, rng: Random) -> None:
    """Steps the wall clock of half of the balancers permanently."""
    for balancer in rng.sample(world.balancers, k=max(1, len(world.balancers) // 2)):
        balancer.faults.step_wall_clock(rng.choice((-3600.0, -5.0, 5.0, 3600.0)))


DISTURBANCES: dict[str, Disturbance] = {
    function.__name__: function
    for function in (
        planned_restart, rolling_restart, kill, mass_kill, pause, reload, server_misbehaves, servers_drain,
        servers_restart, discovery_fails, discovery_forms, odd_entries, burst, idle_crowd, bad_clients,
        clients_leave, system_calls_fail, disk_fails, wall_clock_steps,
    )
}  # fmt: skip
