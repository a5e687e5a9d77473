"""Run every scenario with all mechanisms, and without each in turn."""

import unittest

from tests.proofs.scenarios import SCENARIOS, WEAKENED

SEED = 1


class ScenarioTest(unittest.TestCase):
    """Find no violation while every mechanism is in place."""

    longMessage = False  # noqa: N815


class WeakenedTest(unittest.TestCase):
    """Find a violation when the mechanism is taken out, or the check is worth nothing."""


def _make_test(name: str):
    def test(self) -> None:
        report = SCENARIOS[name](SEED, "")
        for promise, violations in report.violations.items():
            self.assertEqual(violations, [], f"{promise}: {violations[:5]}")
        self.assertGreater(report.operations, 0)

    return test


def _make_weakened_test(name: str, weakening: str, promise: str):
    def test(self) -> None:
        report = SCENARIOS[name](SEED, weakening)
        self.assertNotEqual(report.violations[promise], [])

    return test


for _name in SCENARIOS:
    setattr(ScenarioTest, f"test_{_name}", _make_test(_name))
for _name, _without, _promise in WEAKENED:
    _test_name = f"test_{_name}_without_{_without.replace('-', '_')}"
    setattr(WeakenedTest, _test_name, _make_weakened_test(_name, _without, _promise))
