"""`python -m pointgw`: a command, or without arguments the daemon with the start-up file of $GW_CONFIG."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from pointgw import early_signals


def main(arguments: Sequence[str] = ()) -> int:
    """Runs a command, or the daemon; returns the exit status."""
    if arguments:
        from pointgw.command.main import command

        return command(list(arguments))
    path = os.environ.get("GW_CONFIG")
    if not path:
        print("pointgw: expected GW_CONFIG to name the start-up file (pointgw --help)", file=sys.stderr)
        return 2
    early_signals.install_handler()
    from pointgw.net.run.daemon import daemon

    return daemon(path, os.environ.get("GW_OPERATOR"))


def entry() -> int:
    """Entry point of the console script."""
    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(entry())
