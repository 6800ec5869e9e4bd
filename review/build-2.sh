#!/bin/sh
# Builds what the cases of the second review need after the build of the deploy file: nothing is compiled, as the
# stand-ins are Python without dependencies. Checks that each of them can be read by the project's interpreter.
cd "$(dirname "$0")" || exit 1
test -x ../.venv/bin/python || { echo "no .venv: run the build of deploy/balancer.toml first" >&2; exit 1; }
for file in common-2/*.py [6-9]/case.py 10/case.py; do
  test -f "$file" || continue
  ../.venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
