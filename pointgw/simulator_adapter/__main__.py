"""`python -m pointgw.simulator_adapter`: serves the simulator on standard input and output."""

import sys

from pointgw.simulator_adapter.host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout, sys.stderr))
