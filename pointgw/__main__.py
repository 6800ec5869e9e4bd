"""`python -m pointgw`: a command, or without arguments the daemon with the start-up file of $GW_CONFIG."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Sequence
from typing import NoReturn

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
    status = main(sys.argv[1:])
    if len(sys.argv) == 1 or sys.argv[1] == "serve":
        exit_at_once(status)
    return status


def exit_at_once(status: int) -> NoReturn:
    """Ends the process of a daemon that has closed everything, without the interpreter's teardown.

    Guards a planned stop, whose time is limited: on a busy machine the teardown takes over half a second.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    sys.exit(entry())
