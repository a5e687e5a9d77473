#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python without dependencies: it is only checked that
# they compile, and that the programs of the deploy file have been built.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 - <<'CHECK'
import sys
from pathlib import Path

folders = ["review/standins2", *(f"review/{number}" for number in range(6, 11))]
paths = [path for folder in folders for path in Path(folder).glob("*.py")]
for path in paths:
    compile(path.read_bytes(), str(path), "exec")
if not Path("target/deps").is_dir():
    sys.exit("target/deps is missing: run the build of the deploy file first")
print(f"{len(paths)} files compile")
CHECK
