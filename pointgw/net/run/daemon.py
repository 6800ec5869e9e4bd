"""The daemon: reads its files, serves until it is told to stop."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from pointgw import early_signals
from pointgw.net.run import log
from pointgw.net.run.balancer_process import run
from pointgw.net.wire.start_up import StartUpSettings, parse_start_up_file
from pointgw.policy import Balancer
from pointgw.site import Malformed


def daemon(config: str, operator: str | None, policy: type[Balancer] = Balancer) -> int:
    """Serves by the start-up file and, if one is named, the operators' file. Gives the exit code.

    `policy`: what decides; another than the module's is only for comparison.
    """
    log.configure(os.environ.get("POINTGW_LOG", "info").upper())

    def read() -> StartUpSettings:
        return parse_start_up_file(Path(config).read_bytes())

    early_signals.install_handler()
    try:
        told = read()
    except (OSError, Malformed) as fault:
        print(f"pointgw: {config}: {fault}", file=sys.stderr)
        return 2
    operators = None
    if operator is not None:
        from pointgw.net.run.operator_file import OperatorFile  # nothing of it is loaded without the file

        operators = OperatorFile.load(operator)
        if operators is None:
            return 2
    remembering = None
    if operators is not None and operators.settings.state is not None:
        from pointgw.net.run.snapshots import SnapshotRunner

        kept = operators.settings.state
        remembering = SnapshotRunner.create(kept.folder, told, kept.boot)
    tiering = None
    if operators is not None and operators.settings.tier is not None:
        from pointgw.net.run.cluster import ClusterRunner

        tiering = ClusterRunner.create(operators.settings.tier, told)
        if tiering is None:
            return 2
    recovering = None
    if operators is not None and operators.settings.recovery is not None:
        from pointgw.net.run.recovery import RecoveryRunner

        recovering = RecoveryRunner.create(operators.settings.recovery, told)
        if recovering is None:
            return 2
    try:
        run(told, read, operators, policy, remembering, tiering, recovering)
    except OSError as fault:
        print(f"pointgw: {told.listen[0]}:{told.listen[1]}: {fault}", file=sys.stderr)
        return 1
    return 0
