"""The commands of `pointgw` with their options; they are carried out in other modules."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from pointgw import validation
from pointgw.command.common import Address, report_invalid_file
from pointgw.site import MalformedInputError

EXTRA_MODULES = ("hdrh", "matplotlib", "numpy")  # that the optional extra `rig` installs
KINDS = ("operator", "start", "scenario", "script")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def pointgw() -> None:
    """A load balancer for long-lived connections. Without a command, runs the daemon with $GW_CONFIG."""


@pointgw.command()
@click.option("--config", envvar="GW_CONFIG", required=True, help="The start-up file, JSON ($GW_CONFIG).")
@click.option("--operator", envvar="GW_OPERATOR", help="The operators' file, TOML ($GW_OPERATOR).")
def serve(config: str, operator: str | None) -> int:
    """Serve clients until SIGTERM. SIGHUP reloads both files."""
    from pointgw.net.run.daemon import daemon

    return daemon(config, operator)


@pointgw.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--as", "kind", type=click.Choice(KINDS), help="Kind of file. Default: by its name and keys.")
@click.option("--json", "as_json", is_flag=True, help="Print problems as JSON on standard output.")
def check(file: str, kind: str | None, as_json: bool) -> int:
    """Check a file and list every problem in it. Exit code 1: there are problems."""
    problems: list[validation.InvalidValue] = []
    try:
        _check_file(Path(file), kind)
    except validation.InvalidFileError as error:
        problems = error.problems
    if as_json:
        rows = [{"path": p.path, "value": p.value, "expected": p.expected} for p in problems]
        click.echo(json.dumps({"file": file, "faults": rows}))
    else:
        for problem in problems:
            click.echo(problem.message(file), err=True)
        if not problems:
            click.echo(f"{file}: valid")
    return 1 if problems else 0


def _check_file(path: Path, kind: str | None) -> None:
    """Reads a file of a kind of `KINDS`, or None to detect it. Raises `validation.InvalidFileError`."""
    if kind == "start" or (kind is None and path.suffix == ".json"):
        from pointgw.net.wire.start_up import parse_start_up_file

        try:
            parse_start_up_file(path.read_bytes())
        except OSError as error:
            expected = f"a file that can be read ({error.strerror})"
            raise validation.InvalidFileError(
                str(path), [validation.InvalidValue("", "", expected)]
            ) from None
        except MalformedInputError as error:
            raise validation.InvalidFileError(
                str(path), [validation.InvalidValue("", "", str(error).removeprefix("expected "))]
            ) from None
        return
    document = validation.read_toml(path)
    if kind == "script" or (kind is None and ("rule" in document or "known_by" in document)):
        from pointgw.fault_proxy.script import Script

        validation.convert(document, Script, str(path))
    elif kind == "scenario" or (kind is None and "demand" in document):
        from pointgw.testbed.scenario import Scenario

        validation.convert(document, Scenario, str(path))
    else:
        from pointgw.operators import OperatorSettings

        validation.convert(document, OperatorSettings, str(path))


@pointgw.command("fault-box")
@click.option(
    "--listen",
    type=Address(),
    default="127.0.0.1:0",
    show_default=True,
    help="HOST:PORT to listen on, loopback.",
)
@click.option("--to", type=Address(), required=True, help="HOST:PORT to forward connections to, loopback.")
@click.option(
    "--script", type=click.Path(dir_okay=False), help="File of rules, TOML. Default: forward everything."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all random choices.")
@click.option("--trace", type=click.Path(dir_okay=False), help="File to write the trace to at the end.")
def fault_box(
    listen: tuple[str, int], to: tuple[str, int], script: str | None, seed: int, trace: str | None
) -> int:
    """Forward connections and inject faults into them, until Ctrl-C."""
    from pointgw.fault_proxy.serve import serve_fault_proxy

    with report_invalid_file():
        return serve_fault_proxy(listen, to, script, seed, trace)


@pointgw.group()
def state() -> None:
    """Inspect snapshots on disk (`[state]` of the operators' file). Changes nothing."""


@state.command("show")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="As JSON on standard output.")
def state_show(folder: str, as_json: bool) -> int:
    """Show each record: age in seconds, confidence, and whether it would be used now. Exit code 1: damage."""
    from pointgw.command.state import show

    return show(folder, as_json)


@state.command("check")
@click.argument("folder", type=click.Path(file_okay=False))
def state_check(folder: str) -> int:
    """Check whether every generation is valid. Exit code 1: one is damaged, or there is none."""
    from pointgw.command.state import check as check_state

    return check_state(folder)


@state.command("export")
@click.argument("folder", type=click.Path(file_okay=False))
def state_export(folder: str) -> int:
    """Print the newest valid generation as JSON on standard output."""
    from pointgw.command.state import export

    return export(folder)


@pointgw.group()
def tier() -> None:
    """Inspect a cluster of balancers (`[tier]` of the operators' file). Changes nothing."""


@tier.command("show")
@click.argument("status", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="As JSON on standard output.")
def tier_show(status: str, as_json: bool) -> int:
    """Show members, zones, closed zones and shares from a balancer's status file.

    Exit code 1: it is missing or old.
    """
    from pointgw.command.tier import show

    return show(status, as_json)


@pointgw.command()
@click.option("--seconds", default=40.0, show_default=True, help="Length of the scenario.")
@click.option("--folder", default="found/demo", show_default=True, help="Folder for records and plot.")
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON on standard output.")
def demo(seconds: float, folder: str, as_json: bool) -> int:
    """Run a scenario with an outage on 3 balancers and 12 stand-in servers; show table, result and plot.

    Exit code 1: a rule was violated.
    """
    from pointgw.command.rig import run_and_show

    with report_invalid_file():
        return run_and_show("demo", 1, "srlb", folder, as_json, True, seconds)


@pointgw.group()
def rig() -> None:
    """Run test scenarios and compare their results."""


@rig.command("run")
@click.argument("scenario")
@click.option(
    "--seeds",
    type=click.IntRange(1, 100),
    default=1,
    show_default=True,
    help="Number of runs, each with its own seed.",
)
@click.option(
    "--policy", type=click.Choice(["srlb", "random", "round-robin"]), default="srlb", show_default=True,
    help="Policy: the balancer's own (srlb), or a baseline.",
)  # fmt: skip
@click.option("--folder", default="found/rig", show_default=True, help="Folder for records and results.")
@click.option("--json", "as_json", is_flag=True, help="Print results as JSON on standard output.")
@click.option("--plot/--no-plot", default=True, show_default=True, help="Whether to draw the plots.")
def rig_run(scenario: str, seeds: int, policy: str, folder: str, as_json: bool, plot: bool) -> int:
    """Run SCENARIO, a file or a name from `pointgw rig list`. Exit code 1: a rule was violated."""
    from pointgw.command.rig import run_and_show

    with report_invalid_file():
        return run_and_show(scenario, seeds, policy, folder, as_json, plot, None)


@rig.command("list")
def rig_list() -> None:
    """List the scenarios of the library."""
    from pointgw.testbed.scenario import read, scenario_names

    with report_invalid_file():
        for name in scenario_names():
            click.echo(f"{name:<22} {read(name).about}")


@rig.command("judge")
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
def rig_judge(folder: str) -> int:
    """Check the records of an earlier run again. Exit code 1: a rule was violated."""
    from pointgw.command.rig import check_again

    return check_again(folder)


@rig.command("report")
@click.argument("result", type=click.Path(dir_okay=False))
@click.argument("other", required=False, type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="As JSON on standard output.")
def rig_report(result: str, other: str | None, as_json: bool) -> int:
    """Show RESULT (a result.json), or two side by side with error bars over their seeds."""
    from pointgw.command.rig import show

    with report_invalid_file():
        return show(result, other, as_json)


@pointgw.command()
@click.option("--to", type=Address(), required=True, help="HOST:PORT of a balancer or server, loopback.")
@click.option(
    "--rate",
    type=click.FloatRange(0.1, 1e5),
    default=100.0,
    show_default=True,
    help="New tunnels per second, regardless of outstanding answers.",
)
@click.option("--seconds", type=click.FloatRange(0.1, 3600.0), default=10.0, show_default=True)
@click.option(
    "--life",
    type=click.FloatRange(0.0, 3600.0),
    default=1.0,
    show_default=True,
    help="Seconds that each tunnel stays open.",
)
@click.option(
    "--profile", default="tally-sync", show_default=True, help="Name of the profile in the settings."
)
@click.option(
    "--timeout",
    type=click.FloatRange(0.01, 60.0),
    default=1.8,
    show_default=True,
    help="Seconds that a client waits for its answer.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print figures as JSON on standard output.")
def load(
    to: tuple[str, int], rate: float, seconds: float, life: float, profile: str, timeout: float, seed: int,
    as_json: bool,
) -> int:  # fmt: skip
    """Open tunnels at a rate and report their latency, counted from the planned start of each."""
    from pointgw.command.rig import load_and_show
    from pointgw.testbed.load_generator import LoadGenerator

    return load_and_show(LoadGenerator(to, rate, seconds, life, profile, timeout, seed), as_json)


@pointgw.command("stand-in")
@click.option(
    "--listen",
    type=Address(),
    default="127.0.0.1:0",
    show_default=True,
    help="Address of the first server; the others use the following ports.",
)
@click.option("--discovery", type=Address(), default="127.0.0.1:0", show_default=True)
@click.option("--servers", type=click.IntRange(2, 200), default=4, show_default=True)
@click.option(
    "--capacity",
    type=click.FloatRange(0.001, 1e6),
    default=1.0,
    show_default=True,
    help="Work per second that each server can do.",
)
@click.option(
    "--config", type=click.Path(dir_okay=False), help="File to write a start-up file for a balancer to."
)
@click.option(
    "--balancer",
    type=Address(),
    default="127.0.0.1:8443",
    show_default=True,
    help="HOST:PORT where that balancer is to listen.",
)
def stand_in(
    listen: tuple[str, int], discovery: tuple[str, int], servers: int, capacity: float, config: str | None,
    balancer: tuple[str, int],
) -> int:  # fmt: skip
    """Run stand-in servers and discovery in one process, until Ctrl-C."""
    from pointgw.command.rig import stand_in_until_interrupted
    from pointgw.testbed.stand_in import StandIn

    return stand_in_until_interrupted(StandIn(listen, discovery, servers, capacity, config, balancer))


def command(arguments: list[str]) -> int:
    """Runs a command and returns its exit code; for a wrong argument prints one line and returns 2."""
    try:
        code = pointgw.main(arguments, prog_name="pointgw", standalone_mode=False)
        return int(code or 0)
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message(), err=True)
        return 2
    except click.UsageError as error:
        command_path = error.ctx.command_path if error.ctx is not None else "pointgw"
        print(f"{command_path}: {' '.join(error.format_message().split())}", file=sys.stderr)
        return 2
    except click.ClickException as error:
        print(f"pointgw: {error.format_message()}", file=sys.stderr)
        return 2
    except click.Abort:
        return 130
    except ModuleNotFoundError as error:
        if error.name is None or error.name.partition(".")[0] not in EXTRA_MODULES:
            raise
        print(
            f"pointgw: {arguments[0]} needs {error.name}: install pointgw with the extra 'rig',"
            " pip install 'pointgw[rig]'",
            file=sys.stderr,
        )
        return 2
