#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root" exec python3 "review/9/case.py"
