"""Explore each model with all guards, and with each guard removed."""

import unittest

from tests.models import batch_life, config_head, cursor, lease
from tests.models.explorer import explore


class LeaseModelTest(unittest.TestCase):
    """Check that no upstream accepts an order of an earlier epoch after one of a later epoch."""

    def explore(self, guards: frozenset[str], fencing: bool):
        exploration = explore(
            lease.State(), lease.steps(guards, fencing), lambda state: state.violated
        )
        print(
            f"\nlease, fencing {fencing}: {exploration.states} states",
            exploration.counter_example or "",
        )
        return exploration

    def test_all_guards_prevent_violations_at_a_plain_upstream(self) -> None:
        self.assertIsNone(self.explore(lease.ALL_GUARDS, False).counter_example)

    def test_all_guards_prevent_violations_at_a_fencing_upstream(self) -> None:
        self.assertIsNone(self.explore(lease.ALL_GUARDS, True).counter_example)

    def test_each_removed_guard_has_a_counter_example(self) -> None:
        for guard in (lease.TAKEOVER_DELAY, lease.SOCKET_CHECK, lease.ORDER_EPOCH_CHECK):
            with self.subTest(guard):
                exploration = self.explore(lease.ALL_GUARDS - {guard}, False)
                self.assertIsNotNone(exploration.counter_example)

    def test_fencing_upstream_without_epoch_check_has_a_counter_example(self) -> None:
        exploration = self.explore(lease.ALL_GUARDS - {lease.EPOCH_FENCING}, True)
        self.assertIsNotNone(exploration.counter_example)


class ConfigHeadModelTest(unittest.TestCase):
    """Check that accepted changes are applied once and that no daemon reverts a revision."""

    def explore(self, guards: frozenset[str]):
        exploration = explore(
            config_head.State(), config_head.steps(guards), config_head.violates_guarantee
        )
        print(
            f"\nconfiguration head: {exploration.states} states", exploration.counter_example or ""
        )
        return exploration

    def test_all_guards_prevent_violations(self) -> None:
        self.assertIsNone(self.explore(config_head.ALL_GUARDS).counter_example)

    def test_each_removed_guard_has_a_counter_example(self) -> None:
        for guard in config_head.ALL_GUARDS:
            with self.subTest(guard):
                exploration = self.explore(config_head.ALL_GUARDS - {guard})
                self.assertIsNotNone(exploration.counter_example)


class BatchLifeModelTest(unittest.TestCase):
    """Check that accepted batches persist, refused ones don't exist, and results keep positions."""

    def explore(self, guards: frozenset[str]):
        exploration = explore(
            batch_life.State(), batch_life.steps(guards), batch_life.violates_guarantee
        )
        print(f"\nlife of a batch: {exploration.states} states", exploration.counter_example or "")
        return exploration

    def test_all_guards_prevent_violations(self) -> None:
        self.assertIsNone(self.explore(batch_life.ALL_GUARDS).counter_example)

    def test_each_removed_guard_has_a_counter_example(self) -> None:
        for guard in sorted(batch_life.ALL_GUARDS):
            with self.subTest(guard):
                exploration = self.explore(batch_life.ALL_GUARDS - {guard})
                self.assertIsNotNone(exploration.counter_example)


class CursorModelTest(unittest.TestCase):
    """Check that each sample is delivered at most once along a chain of cursors."""

    def explore(self, guards: frozenset[str]):
        exploration = explore(cursor.initial(), cursor.steps(guards), cursor.violates_guarantee)
        print(f"\ncursor: {exploration.states} states", exploration.counter_example or "")
        return exploration

    def test_all_guards_prevent_violations(self) -> None:
        self.assertIsNone(self.explore(cursor.ALL_GUARDS).counter_example)

    def test_each_removed_guard_has_a_counter_example(self) -> None:
        for guard in cursor.ALL_GUARDS:
            with self.subTest(guard):
                exploration = self.explore(cursor.ALL_GUARDS - {guard})
                self.assertIsNotNone(exploration.counter_example)
