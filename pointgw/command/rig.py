"""The commands that play and show: what they print, and where they keep it."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import click
import msgspec
import uvloop

from pointgw import validation
from pointgw.net.run import log
from pointgw.testbed import meta as rig_meta
from pointgw.testbed import records, table
from pointgw.testbed.alone import Alone
from pointgw.testbed.load import Load
from pointgw.testbed.play import Play, Void
from pointgw.testbed.referee import judge, report
from pointgw.testbed.results import Result, result
from pointgw.testbed.scenario import Scenario, read


def play_and_show(
    name: str,
    seeds: int,
    policy: str,
    folder: str,
    as_json: bool,
    plot: bool,
    seconds: float | None,
) -> int:
    """Plays a scenario once for each seed. Exit code 1: a rule was broken; 3: the run is void."""
    scenario = read(name)
    if seconds is not None:
        scenario = _stretched(scenario, seconds)
    found: list[Result] = []
    try:
        for seed in range(scenario.seed, scenario.seed + seeds):
            found.append(asyncio.run(_play(scenario, seed, policy, Path(folder))))
    except Void as fault:
        click.echo(f"pointgw: void: {fault}", err=True)
        return 3
    except KeyboardInterrupt:
        click.echo("pointgw: stopped; all parts are ended", err=True)
        return 130
    place = Path(folder) / f"{scenario.name}-{policy}"
    place.mkdir(parents=True, exist_ok=True)
    (place / "result.json").write_bytes(msgspec.json.encode(found))
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        click.echo("\n".join(table.rows(found)))
    if plot:
        try:
            from pointgw.testbed.plot import draw
        except ImportError:
            click.echo("no plot: install pointgw[rig]", err=True)
        else:
            draw(found, place / "plot.png")
            click.echo(f"plot: {place / 'plot.png'}   records: {place}", err=as_json)
    return 0 if all(r.kept for r in found) else 1


def _stretched(scenario: Scenario, seconds: float) -> Scenario:
    """The same day, longer or shorter: its troubles keep their places in it."""
    factor = seconds / scenario.seconds
    troubles = [
        msgspec.structs.replace(t, at=t.at * factor, seconds=t.seconds * factor) for t in scenario.trouble
    ]
    return msgspec.structs.replace(scenario, seconds=seconds, trouble=tuple(troubles))


async def _play(scenario: Scenario, seed: int, policy: str, folder: Path) -> Result:
    place = folder / f"{scenario.name}-{policy}" / f"seed-{seed}"
    seeded = msgspec.structs.replace(scenario, seed=seed)
    play = asyncio.current_task()
    assert play is not None
    loop = asyncio.get_running_loop()
    for name in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(name, play.cancel)
    try:
        told = await Play(seeded, place, policy, _progress(scenario, seed)).play()
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    found = records.read(place)
    return result(found, told, judge(found, told))


def _progress(scenario: Scenario, seed: int) -> Callable[[float], None] | None:
    """How far a run is, on a terminal; nothing on a pipe."""
    if not sys.stderr.isatty():
        return None

    def show(at: float) -> None:
        told = [t.what for t in scenario.trouble if t.at <= at < t.at + max(t.seconds, 1.0)]
        line = f"{scenario.name} seed {seed}: {at:4.0f} of {scenario.seconds:.0f} s  {', '.join(told)}"
        click.echo(f"\r{line:<78}", nl=False, err=True)
        if at >= scenario.seconds:
            click.echo("", err=True)

    return show


def judge_again(folder: str) -> int:
    found, told = records.read(Path(folder)), rig_meta.read(Path(folder))
    verdict = judge(found, told)
    click.echo("\n".join(report(verdict)))
    return 0 if verdict.kept and verdict.judged else 1


def show(first: str, other: str | None, as_json: bool) -> int:
    one = _results(first)
    two = _results(other) if other is not None else None
    if as_json:
        rows = [msgspec.to_builtins(results) for results in (one, two) if results is not None]
        click.echo(json.dumps(rows))
    else:
        click.echo("\n".join(table.rows(one) if two is None else table.side_by_side(one, two)))
    return 0


def _results(path: str) -> list[Result]:
    try:
        found = msgspec.json.decode(Path(path).read_bytes(), type=list[Result])
    except OSError as fault:
        what = f"a file that can be read ({fault.strerror})"
    except msgspec.DecodeError as fault:
        what = f"a result.json of rig run ({fault})"
    else:
        if found:
            return found
        what = "at least one run"
    raise validation.InvalidFileError(path, [validation.InvalidValue("", "", what)])


def load_and_show(load: Load, as_json: bool) -> int:
    """Exit code 1: nothing could be opened."""
    told = uvloop.run(load.run())
    shown = json.dumps(told) if as_json else "  ".join(f"{name} {value:g}" for name, value in told.items())
    click.echo(shown)
    return 0 if told["opened"] else 1


def stand_in_until_told(alone: Alone) -> int:
    log.configure("WARNING")
    with suppress(KeyboardInterrupt):
        uvloop.run(alone.run())
    return 0
