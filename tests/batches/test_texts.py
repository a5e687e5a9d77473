"""Test which cached texts and results a batch may use."""

import unittest

from acaciarill.batches import Item, Result
from acaciarill.batches._texts import GeneratedText, TextCache


def item(name: str) -> Item:
    return Item(name, "/p", (), b"", 10, "g")


class TextCacheTest(unittest.TestCase):
    """Use cached texts and results only if their weight versions are allowed."""

    def setUp(self) -> None:
        self.cache = TextCache()
        text = self.cache.resumable_text(item("a"), 1, False)
        text.append_event(0, "x", 4)
        text.append_event(1, "y", 5)

    def test_resubmitted_item_resumes_text(self) -> None:
        self.assertEqual(self.cache.resumable_text(item("a"), 4, False).last_event_id, 1)

    def test_text_with_older_version_is_restarted(self) -> None:
        self.assertIsNone(self.cache.resumable_text(item("a"), 5, False).last_event_id)

    def test_text_of_two_versions_is_restarted_for_single_version_route(self) -> None:
        self.assertIsNone(self.cache.resumable_text(item("a"), 1, True).last_event_id)

    # A saved text went on at an engine of another software version.
    def test_text_keeps_its_software_version_at_another_daemon(self) -> None:
        self.cache.texts["a"].software_version = "v1"
        other = TextCache()
        other.merge_encoded(self.cache.encode([item("a")]))
        self.assertEqual(other.texts["a"].software_version, "v1")

    def test_text_without_a_software_version_is_not_resumed(self) -> None:
        merged = self.cache.merge_encoded(b'[["b", ["x", "y"], 1, [4]]]')
        self.assertEqual(merged, set())
        self.assertIsNone(self.cache.resumable_text(item("b"), 1, False).last_event_id)

    def test_cleared_text_has_no_software_version(self) -> None:
        text = self.cache.texts["a"]
        text.software_version = "v1"
        text.clear()
        self.assertEqual(text, GeneratedText())

    def test_merge_adds_only_longer_texts(self) -> None:
        data = self.cache.encode([item("a")])
        other = TextCache()
        other.merge_encoded(data)
        self.assertEqual(other.texts["a"], GeneratedText(["x", "y"], 1, [4, 5]))
        other.texts["a"].append_event(2, "z", 5)
        other.merge_encoded(data)
        self.assertEqual(other.texts["a"].last_event_id, 2)

    def test_result_is_reused_only_if_versions_are_allowed(self) -> None:
        result = Result("a", "completed", "x\ny", (4, 5), "proof")
        self.cache.add_result(item("a"), result)
        self.assertIs(self.cache.reusable_result(item("a"), 4, False), result)
        self.assertIsNone(self.cache.reusable_result(item("a"), 5, False))
