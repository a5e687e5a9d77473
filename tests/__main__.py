"""Run the tests in several processes; failures listed in KNOWN-RED.txt do not fail the run."""

import multiprocessing
import os
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path

from tests.units import SOLITARY_TESTS, build_generator_tables, run_unit, split_into_units

ROOT = Path(__file__).resolve().parent.parent
WORKER_COUNT = max(1, (os.cpu_count() or 1) // 2)
"""Half of the cores: most tests start several processes of their own."""


@dataclass(slots=True)
class Totals:
    """Hold the sums over all units."""

    passed: int = 0
    skipped: int = 0
    failed: list[str] = field(default_factory=list)


def read_known_failures() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def run_units(units: list[str], worker_count: int, totals: Totals) -> None:
    """Run units in worker processes, print each result when it is there, and add it to the sums."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(worker_count, mp_context=context) as executor:
        for future in as_completed(executor.submit(run_unit, unit) for unit in units):
            result = future.result()
            verdict = "FAILED" if result.failed else "ok"
            print(f"{result.name} ... {verdict} ({result.seconds:.1f} s)", flush=True)
            if result.failed:
                print(result.output, flush=True)
            totals.passed += result.passed
            totals.skipped += result.skipped
            totals.failed += result.failed


def main() -> int:
    """Run the tests given on the command line, or all tests; return the exit code."""
    loader = unittest.TestLoader()
    names = sys.argv[1:]
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    for error in loader.errors:
        print(error)
    units = split_into_units(suite)
    build_generator_tables()
    totals = Totals()
    solitary_units = [unit for unit in units if unit.startswith(SOLITARY_TESTS)]
    run_units([unit for unit in units if unit not in solitary_units], WORKER_COUNT, totals)
    run_units(solitary_units, 1, totals)
    known_failures = read_known_failures()
    for test_id in totals.failed:
        if test_id in known_failures:
            print("known red:", known_failures[test_id])
    unexpected = [test_id for test_id in totals.failed if test_id not in known_failures]
    for test_id in unexpected:
        print("failed:", test_id)
    print(f"{totals.passed} passed, {len(unexpected)} failed, {totals.skipped} skipped")
    return 1 if unexpected or loader.errors or not totals.passed else 0


if __name__ == "__main__":
    sys.exit(main())
