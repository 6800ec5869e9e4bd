#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run; writes record.txt beside itself.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
python="$folder/../../.venv/bin/python"
if [ ! -x "$python" ]; then
    echo "could not run: the build of the deploy file is missing" | tee "$folder/record.txt"
    exit 2
fi
exec "$python" -B "$folder/../common/run.py" "$folder/case.py" "$folder/record.txt"
