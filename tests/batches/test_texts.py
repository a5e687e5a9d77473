"""Test which texts and results a batch may use."""

import unittest

from acaciarill.batches import Item, Result
from acaciarill.batches._texts import BatchTexts, GeneratedText, TextCache


def item(name: str, body: bytes = b"prompt") -> Item:
    return Item(name, "/p", (), body, 10, "g")


class BatchTextsTest(unittest.TestCase):
    """Use texts and results only if their weight versions are allowed."""

    def setUp(self) -> None:
        self.cache = TextCache()
        self.texts = BatchTexts(self.cache, "b1", "c")
        self.text = self.texts.resumable_text(item("a"), 1, False)
        self.append(self.texts, self.text, 4, 5)

    def append(self, texts: BatchTexts, text: GeneratedText, *versions: int) -> None:
        for version in versions:
            texts.append_event(item("a"), text, len(text.events), "xyz"[len(text.events)], version)

    def last_event_id(
        self, texts: BatchTexts, min_version: int = 1, single: bool = False
    ) -> object:
        return texts.resumable_text(item("a"), min_version, single).last_event_id

    def test_resubmitted_item_resumes_text(self) -> None:
        self.assertEqual(self.last_event_id(self.texts, 4), 1)
        self.assertEqual(self.last_event_id(BatchTexts(self.cache, "b2", "c"), 4), 1)

    def test_text_with_older_version_is_restarted(self) -> None:
        self.assertIsNone(self.last_event_id(self.texts, 5))
        self.assertIsNone(self.last_event_id(BatchTexts(self.cache, "b2", "c"), 5))

    def test_text_of_two_versions_is_restarted_for_single_version_route(self) -> None:
        self.assertIsNone(self.last_event_id(self.texts, 1, True))

    # review/5: the batch of an earlier step went on appending to the text that a later one held.
    def test_event_of_one_batch_does_not_change_the_text_of_another(self) -> None:
        other = BatchTexts(self.cache, "b2", "c")
        other_text = other.resumable_text(item("a"), 4, False)
        self.append(self.texts, self.text, 1)
        self.assertEqual((other_text.events, other_text.versions), (["x", "y"], [4, 5]))
        self.append(other, other_text, 6)
        self.assertEqual((self.text.events, self.text.versions), (["x", "y", "z"], [4, 5, 1]))

    def test_result_of_one_batch_leaves_the_text_of_another(self) -> None:
        other = BatchTexts(self.cache, "b2", "c")
        other.resumable_text(item("a"), 4, False)
        self.texts.add_result(item("a"), Result("a", "completed", "x\ny", (4, 5), "proof"))
        self.assertIsNone(self.texts.find(item("a")))
        self.assertIsNotNone(other.find(item("a")))

    # review/5 on a related path: texts and results were known by the id of the item alone.
    def test_nothing_is_shared_with_another_customer_or_prompt(self) -> None:
        self.texts.add_result(item("b"), Result("b", "completed", "x", (4,), "proof"))
        rival = BatchTexts(self.cache, "b2", "rival")
        self.assertIsNone(self.last_event_id(rival))
        self.assertIsNone(rival.reusable_result(item("b"), 1, False))
        same_customer = BatchTexts(self.cache, "b2", "c")
        self.assertIsNone(same_customer.reusable_result(item("b", b"other"), 1, False))
        self.assertIsNotNone(same_customer.reusable_result(item("b"), 1, False))

    def test_longest_allowed_text_of_other_batches_is_resumed(self) -> None:
        other = BatchTexts(self.cache, "b2", "c")
        self.append(other, other.resumable_text(item("a"), 1, False), 3)
        self.assertEqual(self.last_event_id(BatchTexts(self.cache, "b3", "c"), 1), 2)
        self.assertEqual(self.last_event_id(BatchTexts(self.cache, "b4", "c"), 4), 1)

    # A saved text went on at an engine of another software version.
    def test_text_keeps_its_software_version_at_another_daemon(self) -> None:
        self.text.software_version = "v1"
        other = BatchTexts(TextCache(), "b1", "c")
        other.merge_encoded([item("a")], self.texts.encode([item("a")]))
        self.assertEqual(other.resumable_text(item("a"), 1, False).software_version, "v1")

    def test_text_without_a_software_version_is_not_resumed(self) -> None:
        merged = self.texts.merge_encoded([item("b")], b'[["b", ["x", "y"], 1, [4]]]')
        self.assertEqual(merged, set())
        self.assertIsNone(self.texts.resumable_text(item("b"), 1, False).last_event_id)

    def test_malformed_row_leaves_the_others_readable(self) -> None:
        odd_rows = b'7, [], ["c", "x", 1, [4], "v"], ["c", ["x"], 1e40, [4], "v"]'
        rows = b'[%s, ["b", ["x"], 1, [4], "v"]]' % odd_rows
        self.assertEqual(self.texts.merge_encoded([item("b"), item("c")], rows), {"b"})

    def test_cleared_text_has_no_software_version(self) -> None:
        self.text.software_version = "v1"
        self.text.clear()
        self.assertEqual(self.text, GeneratedText())

    def test_merge_adds_only_longer_texts(self) -> None:
        data = self.texts.encode([item("a")])
        other = BatchTexts(TextCache(), "b1", "c")
        other.merge_encoded([item("a")], data)
        merged = other.resumable_text(item("a"), 1, False)
        self.assertEqual(merged, GeneratedText(["x", "y"], 1, [4, 5]))
        merged.append_event(2, "z", 5)
        other.merge_encoded([item("a")], data)
        self.assertEqual(other.resumable_text(item("a"), 1, False).last_event_id, 2)

    def test_text_that_is_being_generated_is_not_replaced(self) -> None:
        longer = BatchTexts(TextCache(), "b1", "c")
        longer.merge_encoded([item("a")], b'[["a", ["x", "y", "z"], 2, [4], "v"]]')
        with self.texts.open_text(item("a"), 1, False) as text:
            self.texts.merge_encoded([item("a")], longer.encode([item("a")]))
            self.assertIs(self.texts.find(item("a")), text)

    def test_result_is_reused_only_if_versions_are_allowed(self) -> None:
        result = Result("a", "completed", "x\ny", (4, 5), "proof")
        self.texts.add_result(item("a"), result)
        self.assertIs(self.texts.reusable_result(item("a"), 4, False), result)
        self.assertIsNone(self.texts.reusable_result(item("a"), 5, False))
