"""Ends what a rig has started once the rig itself is gone, however it went.

Lines on standard input: "+PID" and "-PID". At its end all that is left is killed.
"""

from __future__ import annotations

import os
import signal
import sys
from contextlib import suppress


def main() -> int:
    for name in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(name, signal.SIG_IGN)
    kept: set[int] = set()
    for line in sys.stdin:
        (kept.add if line[0] == "+" else kept.discard)(int(line[1:]))
    for pid in sorted(kept):
        with suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    return 0


if __name__ == "__main__":
    sys.exit(main())
