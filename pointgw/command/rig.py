"""`pointgw rig`, `demo`, `load` and `stand-in`: run scenarios, write records and print results."""

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
from pointgw.testbed.invariant_checker import check_records, format_result
from pointgw.testbed.load_generator import LoadGenerator
from pointgw.testbed.results import Result, compute_result
from pointgw.testbed.run import InvalidRunError, ScenarioRun
from pointgw.testbed.scenario import Scenario, read
from pointgw.testbed.stand_in import StandIn


def run_and_show(
    name: str,
    seeds: int,
    policy: str,
    folder: str,
    as_json: bool,
    plot: bool,
    seconds: float | None,
) -> int:
    """Runs a scenario once for each seed; returns the exit code.

    1: a rule was violated; 3: a run is void; 130: interrupted. Raises `validation.InvalidFileError`.
    """
    scenario = read(name)
    if seconds is not None:
        scenario = _with_length(scenario, seconds)
    results: list[Result] = []
    try:
        for seed in range(scenario.seed, scenario.seed + seeds):
            results.append(asyncio.run(_run_with_seed(scenario, seed, policy, Path(folder))))
    except InvalidRunError as error:
        click.echo(f"pointgw: run is void: {error}", err=True)
        return 3
    except KeyboardInterrupt:
        click.echo("pointgw: stopped; all processes have ended", err=True)
        return 130
    output = Path(folder) / f"{scenario.name}-{policy}"
    output.mkdir(parents=True, exist_ok=True)
    (output / "result.json").write_bytes(msgspec.json.encode(results))
    if as_json:
        click.echo(msgspec.json.encode(results).decode())
    else:
        click.echo("\n".join(table.format_results(results)))
    if plot:
        try:
            from pointgw.testbed.plot import draw
        except ImportError:
            click.echo("no plot: pointgw[rig] is not installed", err=True)
        else:
            draw(results, output / "plot.png")
            click.echo(f"plot: {output / 'plot.png'}   records: {output}", err=as_json)
    return 0 if all(r.kept for r in results) else 1


def _with_length(scenario: Scenario, seconds: float) -> Scenario:
    """The scenario with another length; its troubles are scaled with it."""
    factor = seconds / scenario.seconds
    troubles = [
        msgspec.structs.replace(t, at=t.at * factor, seconds=t.seconds * factor) for t in scenario.trouble
    ]
    return msgspec.structs.replace(scenario, seconds=seconds, trouble=tuple(troubles))


async def _run_with_seed(scenario: Scenario, seed: int, policy: str, folder: Path) -> Result:
    """Runs a scenario with one seed and checks its records. SIGINT and SIGTERM end the run."""
    output = folder / f"{scenario.name}-{policy}" / f"seed-{seed}"
    seeded = msgspec.structs.replace(scenario, seed=seed)
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        run_meta = await ScenarioRun(seeded, output, policy, _progress(scenario, seed)).execute()
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    run_records = records.read(output)
    return compute_result(run_records, run_meta, check_records(run_records, run_meta))


def _progress(scenario: Scenario, seed: int) -> Callable[[float], None] | None:
    """A function that shows the progress of a run; None if standard error isn't a terminal."""
    if not sys.stderr.isatty():
        return None

    def show(at: float) -> None:
        active = [t.what for t in scenario.trouble if t.at <= at < t.at + max(t.seconds, 1.0)]
        line = f"{scenario.name} seed {seed}: {at:4.0f} of {scenario.seconds:.0f} s  {', '.join(active)}"
        click.echo(f"\r{line:<78}", nl=False, err=True)
        if at >= scenario.seconds:
            click.echo("", err=True)

    return show


def check_again(folder: str) -> int:
    """Checks the records of an earlier run and prints the result; returns the exit code."""
    run_records, run_meta = records.read(Path(folder)), rig_meta.read(Path(folder))
    check_result = check_records(run_records, run_meta)
    click.echo("\n".join(format_result(check_result)))
    return 0 if check_result.passed and check_result.tunnels_checked else 1


def show(path: str, other_path: str | None, as_json: bool) -> int:
    """Prints a file of results, or two side by side; returns the exit code. Raises as `_results` does."""
    first_results = _results(path)
    other_results = _results(other_path) if other_path is not None else None
    if as_json:
        rows = [
            msgspec.to_builtins(results) for results in (first_results, other_results) if results is not None
        ]
        click.echo(json.dumps(rows))
    else:
        click.echo(
            "\n".join(
                table.format_results(first_results)
                if other_results is None
                else table.format_comparison(first_results, other_results)
            )
        )
    return 0


def _results(path: str) -> list[Result]:
    """Reads a result.json. Raises `validation.InvalidFileError`."""
    try:
        results = msgspec.json.decode(Path(path).read_bytes(), type=list[Result])
    except OSError as error:
        expected = f"a file that can be read ({error.strerror})"
    except msgspec.DecodeError as error:
        expected = f"a result.json of rig run ({error})"
    else:
        if results:
            return results
        expected = "at least one run"
    raise validation.InvalidFileError(path, [validation.InvalidValue("", "", expected)])


def load_and_show(generator: LoadGenerator, as_json: bool) -> int:
    """Opens tunnels and prints the figures. Exit code 1: none could be opened."""
    figures = uvloop.run(generator.run())
    text = (
        json.dumps(figures) if as_json else "  ".join(f"{name} {value:g}" for name, value in figures.items())
    )
    click.echo(text)
    return 0 if figures["opened"] else 1


def stand_in_until_interrupted(stand_in: StandIn) -> int:
    """Runs stand-in servers and discovery until SIGINT or SIGTERM, also where SIGINT was ignored before."""
    log.configure("WARNING")

    async def serve() -> None:
        running = asyncio.ensure_future(stand_in.run())
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(signal_number, running.cancel)
        with suppress(asyncio.CancelledError):
            await running

    uvloop.run(serve())
    return 0
