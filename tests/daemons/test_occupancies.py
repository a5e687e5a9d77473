"""Test the distribution of the upstreams' occupancies along the tree."""

import unittest
from collections.abc import Callable

from acaciarill.config import ConfigCoordinator, build_document
from acaciarill.daemons import OccupancyTable


def make_table(revision: int = 1, clock: Callable[[], float] = lambda: 100.0) -> OccupancyTable:
    config = ConfigCoordinator()
    table = OccupancyTable(config, "dc-1", clock)
    upstreams = [
        {"name": f"u{n}", "serves": "m", "data_centre": "dc-1", "address": f"127.0.0.1:{9000 + n}"}
        for n in range(3)
    ]
    section = {"models": [{"name": "m"}], "upstreams": upstreams}
    config.update_document(build_document(revision, {"owner": section}))
    return table


class OccupancyTableTest(unittest.TestCase):
    """Pass occupancies between the tables of parents and children."""

    def test_observed_occupancy_reaches_a_sibling_through_the_parent(self) -> None:
        poller, parent, sibling = make_table(), make_table(), make_table()
        received: dict[str, float] = {}
        sibling.subscribe(received.__setitem__)
        poller.observe("u1", 0.5)
        packed, _ = poller.pop_unsent()
        parent.apply_child_occupancies(1, packed)
        sibling.apply_parent_row(1, parent.row())
        self.assertEqual(received, {"u1": 0.5})

    def test_restored_occupancies_are_sent_again(self) -> None:
        poller = make_table()
        poller.observe("u1", 0.5)
        packed, names = poller.pop_unsent()
        self.assertEqual(poller.pop_unsent()[0], b"")
        poller.restore_unsent(names)
        self.assertEqual(poller.pop_unsent()[0], packed)

    def test_other_revision_or_malformed_message_is_ignored(self) -> None:
        parent = make_table()
        for revision, packed in ((2, b"\0\0\1"), (1, b"\0"), (1, None), (1, b"\xff\xff\1")):
            parent.apply_child_occupancies(revision, packed)
        for revision, row in ((2, b"\1\1\1"), (1, b"\1"), (1, None)):
            parent.apply_parent_row(revision, row)
        self.assertEqual(parent.row(), b"\xff\xff\xff")

    def test_parent_row_does_not_replace_a_recently_polled_occupancy(self) -> None:
        poller, parent = make_table(), make_table()
        poller.observe("u0", 1.0)
        parent.observe("u0", 0.25)
        poller.apply_parent_row(1, parent.row())
        self.assertEqual(poller.occupancy_steps["u0"], 32)

    def test_unchanged_occupancy_is_resent_only_periodically(self) -> None:
        now = 100.0
        poller = make_table(clock=lambda: now)
        sent_each_second = []
        for _ in range(11):
            poller.observe("u1", 0.5)
            sent_each_second.append(bool(poller.pop_unsent()[0]))
            now += 1.0
        self.assertEqual(sent_each_second, [True, *[False] * 9, True])
        poller.observe("u1", 0.6)
        self.assertTrue(poller.pop_unsent()[0])

    def test_child_gets_the_row_in_every_second_reply(self) -> None:
        now = 100.0
        parent = make_table(clock=lambda: now)
        row_sent = []
        for _ in range(4):
            row_sent.append(parent.row_for_child("h1") is not None)
            now += 1.0
        self.assertEqual(row_sent, [True, False, True, False])
        self.assertIsNotNone(parent.row_for_child("h2"))
