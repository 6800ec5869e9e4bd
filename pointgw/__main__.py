"""`python -m pointgw`: one real balancer, told what it needs by the file that $GW_CONFIG names."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

from pointgw.net.run import log
from pointgw.net.run.node import run
from pointgw.net.wire.start import Start, start
from pointgw.site import Malformed


def main() -> int:
    log.begin(os.environ.get("POINTGW_LOG", "info").upper())
    path = os.environ.get("GW_CONFIG")
    if not path:
        print("pointgw: expected GW_CONFIG to name the start-up file", file=sys.stderr)
        return 2

    def read() -> Start:
        return start(Path(path).read_bytes())

    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is served: the file is read here anyway
    try:
        told = read()
    except (OSError, Malformed) as fault:
        print(f"pointgw: {path}: {fault}", file=sys.stderr)
        return 2
    try:
        run(told, read)
    except OSError as fault:
        print(f"pointgw: {told.listen[0]}:{told.listen[1]}: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
