"""Kills the processes of a testbed once the testbed itself has ended, even by SIGKILL.

Standard input brings lines "+PID" (started) and "-PID" (ended). At end of file all processes left are killed.
"""

from __future__ import annotations

import os
import signal
import sys
from contextlib import suppress


def main() -> int:
    """Runs until end of file; ignores signals of the terminal, so that it outlives the testbed."""
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(signal_number, signal.SIG_IGN)
    children: set[int] = set()
    for line in sys.stdin:
        (children.add if line[0] == "+" else children.discard)(int(line[1:]))
    for pid in sorted(children):
        with suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    return 0


if __name__ == "__main__":
    sys.exit(main())
