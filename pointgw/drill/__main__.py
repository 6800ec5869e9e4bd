import sys

from pointgw.drill.host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout, sys.stderr))
