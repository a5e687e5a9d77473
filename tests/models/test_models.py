"""Explore each specification whole, and without each guard."""

import unittest

from tests.models import batch_life, config_head, cursor, lease
from tests.models.explorer import explore


class LeaseModelTest(unittest.TestCase):
    """No order of an earlier holder is taken after one of a later holder."""

    def explore(self, guards: frozenset[str], fencing: bool):
        found = explore(lease.State(), lease.steps(guards, fencing), lambda state: state.broken)
        print(f"\nlease, fencing {fencing}: {found.states} states", found.counter_example or "")
        return found

    def test_all_guards_towards_an_upstream_that_does_not_fence(self) -> None:
        self.assertIsNone(self.explore(lease.ALL_GUARDS, False).counter_example)

    def test_all_guards_towards_an_upstream_that_fences(self) -> None:
        self.assertIsNone(self.explore(lease.ALL_GUARDS, True).counter_example)

    def test_each_removed_guard_has_a_counter_example(self) -> None:
        for guard in (lease.HOLD_OFF, lease.SOCKET_CHECK, lease.OWN_EPOCH):
            with self.subTest(guard):
                found = self.explore(lease.ALL_GUARDS - {guard}, False)
                self.assertIsNotNone(found.counter_example)

    def test_without_epochs_a_fencing_upstream_cannot_refuse(self) -> None:
        found = self.explore(lease.ALL_GUARDS - {lease.EPOCH}, True)
        self.assertIsNotNone(found.counter_example)


class ConfigHeadModelTest(unittest.TestCase):
    """No accepted change is lost or applied twice, and no daemon goes back."""

    def explore(self, guards: frozenset[str]):
        found = explore(config_head.State(), config_head.steps(guards), config_head.broken)
        print(f"\nconfiguration head: {found.states} states", found.counter_example or "")
        return found

    def test_all_guards(self) -> None:
        self.assertIsNone(self.explore(config_head.ALL_GUARDS).counter_example)

    def test_each_removed_guard_has_a_counter_example(self) -> None:
        for guard in config_head.ALL_GUARDS:
            with self.subTest(guard):
                found = self.explore(config_head.ALL_GUARDS - {guard})
                self.assertIsNotNone(found.counter_example)


class BatchLifeModelTest(unittest.TestCase):
    """An accepted batch is kept, refusals are true, each item keeps its one position."""

    def explore(self, guards: frozenset[str]):
        found = explore(batch_life.State(), batch_life.steps(guards), batch_life.broken)
        print(f"\nlife of a batch: {found.states} states", found.counter_example or "")
        return found

    def test_all_guards(self) -> None:
        self.assertIsNone(self.explore(batch_life.ALL_GUARDS).counter_example)

    def test_each_removed_guard_has_a_counter_example(self) -> None:
        for guard in sorted(batch_life.ALL_GUARDS):
            with self.subTest(guard):
                found = self.explore(batch_life.ALL_GUARDS - {guard})
                self.assertIsNotNone(found.counter_example)


class CursorModelTest(unittest.TestCase):
    """Each slot counts at most once along the chain of cursors."""

    def explore(self, guards: frozenset[str]):
        found = explore(cursor.initial(), cursor.steps(guards), cursor.broken)
        print(f"\ncursor: {found.states} states", found.counter_example or "")
        return found

    def test_all_guards(self) -> None:
        self.assertIsNone(self.explore(cursor.ALL_GUARDS).counter_example)

    def test_each_removed_guard_has_a_counter_example(self) -> None:
        for guard in cursor.ALL_GUARDS:
            with self.subTest(guard):
                found = self.explore(cursor.ALL_GUARDS - {guard})
                self.assertIsNotNone(found.counter_example)
