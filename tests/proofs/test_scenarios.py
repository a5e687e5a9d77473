"""Run every scenario with all mechanisms, and with each mechanism removed in turn."""

import unittest

from tests.proofs.scenarios import SCENARIOS, WEAKENED

SEED = 1


class ScenarioTest(unittest.TestCase):
    """Expect no violation with every mechanism in place."""

    longMessage = False  # noqa: N815


class WeakenedTest(unittest.TestCase):
    """Expect a violation with a mechanism removed; a check that finds none proves nothing."""


def _make_test(name: str):
    def test(self) -> None:
        report = SCENARIOS[name](SEED, "")
        for guarantee, violations in report.violations.items():
            self.assertEqual(violations, [], f"{guarantee}: {violations[:5]}")
        self.assertGreater(report.operations, 0)

    return test


def _make_weakened_test(name: str, weakening: str, guarantee: str):
    def test(self) -> None:
        report = SCENARIOS[name](SEED, weakening)
        self.assertNotEqual(report.violations[guarantee], [])

    return test


for _name in SCENARIOS:
    setattr(ScenarioTest, f"test_{_name}", _make_test(_name))
for _name, _without, _promise in WEAKENED:
    _test_name = f"test_{_name}_without_{_without.replace('-', '_')}"
    setattr(WeakenedTest, _test_name, _make_weakened_test(_name, _without, _promise))
