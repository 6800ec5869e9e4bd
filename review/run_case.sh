#!/bin/sh
# Runs the case in the folder that is named. 0: the rule held, 1: it was broken, 2: the case could not run.
root=$(cd "$(dirname "$0")/.." && pwd)
[ -x "$root/.venv/bin/python" ] || exit 2
exec "$root/.venv/bin/python" "$1/case.py"
