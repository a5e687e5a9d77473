"""Test which kept texts a batch may go on with."""

import unittest

from acaciarill.batches import Item, Result
from acaciarill.batches._texts import Text, TextStore


def item(name: str) -> Item:
    return Item(name, "/p", (), b"", 10, "g")


class TextStoreTest(unittest.TestCase):
    """Go on with what fits a batch's versions, and with nothing else."""

    def setUp(self) -> None:
        self.store = TextStore()
        text = self.store.text(item("a"), 1, False)
        text.add(0, "x", 4)
        text.add(1, "y", 5)

    def test_group_that_comes_again_goes_on(self) -> None:
        self.assertEqual(self.store.text(item("a"), 4, False).last_id, 1)

    def test_text_of_too_old_a_version_starts_anew(self) -> None:
        self.assertIsNone(self.store.text(item("a"), 5, False).last_id)

    def test_text_of_two_versions_does_not_fit_a_single_version_route(self) -> None:
        self.assertIsNone(self.store.text(item("a"), 1, True).last_id)

    def test_handed_text_is_taken_only_if_it_is_longer(self) -> None:
        data = self.store.encode([item("a")])
        other = TextStore()
        other.decode(data)
        self.assertEqual(other.texts["a"], Text(["x", "y"], 1, [4, 5]))
        other.texts["a"].add(2, "z", 5)
        other.decode(data)
        self.assertEqual(other.texts["a"].last_id, 2)

    def test_finished_item_is_known_within_its_versions(self) -> None:
        result = Result("a", "completed", "x\ny", (4, 5), "proof")
        self.store.keep_result(item("a"), result)
        self.assertIs(self.store.result(item("a"), 4, False), result)
        self.assertIsNone(self.store.result(item("a"), 5, False))
