"""Run the tests and print the counts; failures listed in KNOWN-RED.txt do not fail the run."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


class _CountingResult(unittest.TextTestResult):
    passed = 0

    def addSuccess(self, test):  # noqa: N802
        super().addSuccess(test)
        type(self).passed += 1


def read_known_failures() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def main() -> int:
    """Run the tests given on the command line, or all tests; return the exit code."""
    loader = unittest.TestLoader()
    names = sys.argv[1:]
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=2, resultclass=_CountingResult).run(suite)
    known_failures = read_known_failures()
    failed = [test.id() for test, _ in (*result.failures, *result.errors)]
    for test_id in failed:
        if test_id in known_failures:
            print("known red:", known_failures[test_id])
    unexpected = [test_id for test_id in failed if test_id not in known_failures]
    print(f"{_CountingResult.passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not _CountingResult.passed else 0


if __name__ == "__main__":
    sys.exit(main())
