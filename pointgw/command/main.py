"""`pointgw COMMAND`: what each does, its units and defaults. The work is done elsewhere."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from pointgw import validation
from pointgw.command.common import Address, report_invalid_file
from pointgw.site import Malformed

KINDS = ("operator", "start", "scenario", "script")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def pointgw() -> None:
    """A balancer for long-lived connections. Without a command: the daemon, by $GW_CONFIG."""


@pointgw.command()
@click.option("--config", envvar="GW_CONFIG", required=True, help="The start-up file, JSON ($GW_CONFIG).")
@click.option("--operator", envvar="GW_OPERATOR", help="The operators' file, TOML ($GW_OPERATOR).")
def serve(config: str, operator: str | None) -> int:
    """Serve clients until SIGTERM. SIGHUP has both files read again."""
    from pointgw.net.run.daemon import daemon

    return daemon(config, operator)


@pointgw.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--as", "kind", type=click.Choice(KINDS), help="What the file is. Default: by its name and first keys."
)
@click.option("--json", "as_json", is_flag=True, help="Faults as JSON on standard output.")
def check(file: str, kind: str | None, as_json: bool) -> int:
    """Check a file and tell all that is wrong with it. Exit 1: a fault."""
    faults: list[validation.InvalidValue] = []
    try:
        _checked(Path(file), kind)
    except validation.InvalidFileError as told:
        faults = told.problems
    if as_json:
        rows = [{"path": f.path, "value": f.value, "expected": f.expected} for f in faults]
        click.echo(json.dumps({"file": file, "faults": rows}))
    else:
        for fault in faults:
            click.echo(fault.message(file), err=True)
        if not faults:
            click.echo(f"{file}: nothing wrong")
    return 1 if faults else 0


def _checked(path: Path, kind: str | None) -> None:
    if kind == "start" or (kind is None and path.suffix == ".json"):
        from pointgw.net.wire.start_up import parse_start_up_file

        try:
            parse_start_up_file(path.read_bytes())
        except OSError as fault:
            what = f"a file that can be read ({fault.strerror})"
            raise validation.InvalidFileError(str(path), [validation.InvalidValue("", "", what)]) from None
        except Malformed as fault:
            raise validation.InvalidFileError(
                str(path), [validation.InvalidValue("", "", str(fault).removeprefix("expected "))]
            ) from None
        return
    told = validation.read_toml(path)
    if kind == "script" or (kind is None and ("rule" in told or "known_by" in told)):
        from pointgw.fault_proxy.script import Script

        validation.convert(told, Script, str(path))
    elif kind == "scenario" or (kind is None and "demand" in told):
        from pointgw.testbed.scenario import Scenario

        validation.convert(told, Scenario, str(path))
    else:
        from pointgw.operators import OperatorSettings

        validation.convert(told, OperatorSettings, str(path))


@pointgw.command("fault-box")
@click.option(
    "--listen", type=Address(), default="127.0.0.1:0", show_default=True, help="HOST:PORT, loopback."
)
@click.option("--to", type=Address(), required=True, help="HOST:PORT that connections go on to, loopback.")
@click.option("--script", type=click.Path(dir_okay=False), help="Rules, TOML. Default: pass all on.")
@click.option("--seed", type=int, default=1, show_default=True, help="For all that is chosen by chance.")
@click.option("--trace", type=click.Path(dir_okay=False), help="Where the trace is written at the end.")
def fault_box(
    listen: tuple[str, int], to: tuple[str, int], script: str | None, seed: int, trace: str | None
) -> int:
    """Stand between two sockets and disturb what passes, until Ctrl-C."""
    from pointgw.fault_proxy.serve import serve_fault_proxy

    with report_invalid_file():
        return serve_fault_proxy(listen, to, script, seed, trace)


@pointgw.group()
def state() -> None:
    """Look at a memory on disk (`[state]` of the operators' file). Nothing is changed."""


@state.command("show")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="As JSON on standard output.")
def state_show(folder: str, as_json: bool) -> int:
    """Each entry with its age in seconds, its trust, and whether it would be used now. Exit 1: damage."""
    from pointgw.command.state import show

    return show(folder, as_json)


@state.command("check")
@click.argument("folder", type=click.Path(file_okay=False))
def state_check(folder: str) -> int:
    """Tell whether every generation is sound. Exit 1: damage, or nothing there."""
    from pointgw.command.state import check as check_state

    return check_state(folder)


@state.command("export")
@click.argument("folder", type=click.Path(file_okay=False))
def state_export(folder: str) -> int:
    """Write the newest sound generation as JSON on standard output."""
    from pointgw.command.state import export

    return export(folder)


@pointgw.group()
def tier() -> None:
    """Look at what balancers know of each other (`[tier]` of the operators' file). Nothing is changed."""


@tier.command("show")
@click.argument("status", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="As JSON on standard output.")
def tier_show(status: str, as_json: bool) -> int:
    """Members, zones, shares and closed zones, by a balancer's status file. Exit 1: none, or an old one."""
    from pointgw.command.tier import show

    return show(status, as_json)


@pointgw.command()
@click.option("--seconds", default=40.0, show_default=True, help="Length of the day.")
@click.option("--folder", default="found/demo", show_default=True, help="Where records and plot are kept.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
def demo(seconds: float, folder: str, as_json: bool) -> int:
    """Play a day with an outage on 3 balancers and 12 stand-in servers; table, verdict, plot.

    Exit 1: a rule was broken.
    """
    from pointgw.command.rig import play_and_show

    with report_invalid_file():
        return play_and_show("demo", 1, "srlb", folder, as_json, True, seconds)


@pointgw.group()
def rig() -> None:
    """Play scenarios and compare what they gave."""


@rig.command("run")
@click.argument("scenario")
@click.option("--seeds", type=click.IntRange(1, 100), default=1, show_default=True, help="Runs, a seed each.")
@click.option(
    "--policy", type=click.Choice(["srlb", "random", "round-robin"]), default="srlb", show_default=True,
    help="What decides: the balancer's own, or a baseline.",
)  # fmt: skip
@click.option("--folder", default="found/rig", show_default=True, help="Where records and results are kept.")
@click.option("--json", "as_json", is_flag=True, help="Results as JSON on standard output.")
@click.option("--plot/--no-plot", default=True, show_default=True, help="Draw the page of plots.")
def rig_run(scenario: str, seeds: int, policy: str, folder: str, as_json: bool, plot: bool) -> int:
    """Play SCENARIO, a file or a name of the library (`pointgw rig list`). Exit 1: a rule was broken."""
    from pointgw.command.rig import play_and_show

    with report_invalid_file():
        return play_and_show(scenario, seeds, policy, folder, as_json, plot, None)


@rig.command("list")
def rig_list() -> None:
    """Name the scenarios of the library."""
    from pointgw.testbed.scenario import library, read

    with report_invalid_file():
        for name in library():
            click.echo(f"{name:<22} {read(name).about}")


@rig.command("judge")
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
def rig_judge(folder: str) -> int:
    """Judge the records of a run that was played, again. Exit 1: a rule was broken."""
    from pointgw.command.rig import judge_again

    return judge_again(folder)


@rig.command("report")
@click.argument("result", type=click.Path(dir_okay=False))
@click.argument("other", required=False, type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="As JSON on standard output.")
def rig_report(result: str, other: str | None, as_json: bool) -> int:
    """Show RESULT (a result.json), or two of them side by side with error bars over their seeds."""
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
    help="New tunnels a second, whether or not the ones before were answered.",
)
@click.option("--seconds", type=click.FloatRange(0.1, 3600.0), default=10.0, show_default=True)
@click.option(
    "--life",
    type=click.FloatRange(0.0, 3600.0),
    default=1.0,
    show_default=True,
    help="Seconds that each tunnel stays open.",
)
@click.option("--profile", default="tally-sync", show_default=True, help="Its name in the settings.")
@click.option(
    "--timeout",
    type=click.FloatRange(0.01, 60.0),
    default=1.8,
    show_default=True,
    help="Seconds that a client waits for its answer.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Figures as JSON on standard output.")
def load(
    to: tuple[str, int], rate: float, seconds: float, life: float, profile: str, timeout: float, seed: int,
    as_json: bool,
) -> int:  # fmt: skip
    """Open tunnels at a rate and tell how long each took from when it was to come."""
    from pointgw.command.rig import load_and_show
    from pointgw.testbed.load import Load

    return load_and_show(Load(to, rate, seconds, life, profile, timeout, seed), as_json)


@pointgw.command("stand-in")
@click.option(
    "--listen",
    type=Address(),
    default="127.0.0.1:0",
    show_default=True,
    help="First server's address; the others follow.",
)
@click.option("--discovery", type=Address(), default="127.0.0.1:0", show_default=True)
@click.option("--servers", type=click.IntRange(2, 200), default=4, show_default=True)
@click.option(
    "--capacity",
    type=click.FloatRange(0.001, 1e6),
    default=1.0,
    show_default=True,
    help="Work a second that each server can do.",
)
@click.option("--config", type=click.Path(dir_okay=False), help="Write a start-up file for a balancer here.")
@click.option(
    "--balancer",
    type=Address(),
    default="127.0.0.1:8443",
    show_default=True,
    help="Where that balancer is to listen.",
)
def stand_in(
    listen: tuple[str, int], discovery: tuple[str, int], servers: int, capacity: float, config: str | None,
    balancer: tuple[str, int],
) -> int:  # fmt: skip
    """Serve as stand-in servers and discovery, in one process, until Ctrl-C."""
    from pointgw.command.rig import stand_in_until_told
    from pointgw.testbed.alone import Alone

    return stand_in_until_told(Alone(listen, discovery, servers, capacity, config, balancer))


def command(arguments: list[str]) -> int:
    """Runs a command; gives its exit code. A wrong argument is one line and 2."""
    try:
        code = pointgw.main(arguments, prog_name="pointgw", standalone_mode=False)
        return int(code or 0)
    except click.exceptions.NoArgsIsHelpError as shown:
        click.echo(shown.format_message(), err=True)
        return 2
    except click.UsageError as fault:
        where = fault.ctx.command_path if fault.ctx is not None else "pointgw"
        print(f"{where}: {' '.join(fault.format_message().split())}", file=sys.stderr)
        return 2
    except click.ClickException as fault:
        print(f"pointgw: {fault.format_message()}", file=sys.stderr)
        return 2
    except click.Abort:
        return 130
