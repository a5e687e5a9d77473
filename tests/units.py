"""Split the tests into units that may run in any process, and run one unit."""

import io
import time
import unittest
from collections.abc import Iterator
from dataclasses import dataclass

from hypothesis import find
from hypothesis import strategies as st

SLOW_TESTS = ("tests.models", "tests.proofs", "tests.test_")
"""Prefixes of the tests that last longest and therefore begin first."""

SOLITARY_TESTS = ("tests.platform.clients",)
"""Prefixes of the tests that run one at a time, after all others: they watch the memory of
processes that serve many connections."""


@dataclass(slots=True)
class UnitResult:
    """Hold the outcome of one unit: `failed` are test ids, `output` is what its tests wrote."""

    name: str
    passed: int
    failed: list[str]
    skipped: int
    seconds: float
    output: str = ""


def flatten_suite(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the test cases of a suite."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten_suite(test)
        else:
            yield test


def split_into_units(suite: unittest.TestSuite) -> list[str]:
    """Return names that may run in any process: a test, or a class whose tests share a fixture."""
    units: dict[str, None] = {}
    for test in flatten_suite(suite):
        has_class_fixture = "setUpClass" in type(test).__dict__
        units[test.id().rpartition(".")[0] if has_class_fixture else test.id()] = None
    return sorted(units, key=lambda name: not name.startswith(SLOW_TESTS))


def build_generator_tables() -> None:
    """Let Hypothesis build the tables of characters that it keeps in a folder.

    In a new clone this takes seconds, which the health check of the test that came first counted as
    a slow strategy.
    """
    find(st.text() | st.from_regex(r"[0-9]"), lambda text: bool(text))


class _CountingResult(unittest.TextTestResult):
    passed = 0

    def addSuccess(self, test):  # noqa: N802
        super().addSuccess(test)
        self.passed += 1


def run_unit(name: str) -> UnitResult:
    """Run one unit in this process."""
    started = time.monotonic()
    stream = io.StringIO()
    suite = unittest.TestLoader().loadTestsFromName(name)
    runner = unittest.TextTestRunner(stream=stream, verbosity=2, resultclass=_CountingResult)
    result = runner.run(suite)
    assert isinstance(result, _CountingResult)
    failed = [test.id() for test, _ in (*result.failures, *result.errors)]
    seconds = time.monotonic() - started
    output = stream.getvalue() if failed else ""
    return UnitResult(name, result.passed, failed, len(result.skipped), seconds, output)
