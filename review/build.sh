#!/usr/bin/env bash
# Checks that the stand-ins compile. They are Python of the standard library, so nothing is built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
