#!/bin/sh
# Checks that the stand-ins compile; they need the standard library alone, in the deploy file's environment.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
