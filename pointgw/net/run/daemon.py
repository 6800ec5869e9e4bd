"""The daemon: reads its files, then serves until it is stopped."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from pointgw import early_signals
from pointgw.net.run import log
from pointgw.net.run.balancer_process import run
from pointgw.net.wire.start_up import StartUpSettings, parse_start_up_file
from pointgw.policy import Balancer
from pointgw.site import MalformedInputError


def daemon(config: str, operator: str | None, policy: type[Balancer] = Balancer) -> int:
    """Serves by the start-up file and, if one is named, the operators' file. Returns the exit code.

    `policy`: the class that decides; another than the default serves for comparison only.
    """
    log.configure(os.environ.get("POINTGW_LOG", "info").upper())

    def read_settings() -> StartUpSettings:
        return parse_start_up_file(Path(config).read_bytes())

    early_signals.install_handler()
    try:
        start_up = read_settings()
    except (OSError, MalformedInputError) as error:
        print(f"pointgw: {config}: {error}", file=sys.stderr)
        return 2
    operator_file = None
    if operator is not None:
        from pointgw.net.run.operator_file import OperatorFile  # loaded only with the file

        operator_file = OperatorFile.load(operator)
        if operator_file is None:
            return 2
    snapshots = None
    if operator_file is not None and operator_file.settings.state is not None:
        from pointgw.net.run.snapshots import SnapshotRunner

        state_settings = operator_file.settings.state
        snapshots = SnapshotRunner.create(state_settings.folder, start_up, state_settings.boot)
    cluster = None
    if operator_file is not None and operator_file.settings.tier is not None:
        from pointgw.net.run.cluster import ClusterRunner

        cluster = ClusterRunner.create(operator_file.settings.tier, start_up)
        if cluster is None:
            return 2
    recovery = None
    if operator_file is not None and operator_file.settings.recovery is not None:
        from pointgw.net.run.recovery import RecoveryRunner

        recovery = RecoveryRunner.create(operator_file.settings.recovery, start_up)
        if recovery is None:
            return 2
    try:
        run(start_up, read_settings, operator_file, policy, snapshots, cluster, recovery)
    except OSError as error:
        print(f"pointgw: {start_up.listen[0]}:{start_up.listen[1]}: {error}", file=sys.stderr)
        return 1
    return 0
