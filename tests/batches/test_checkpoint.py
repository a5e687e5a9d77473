"""Test that long unfinished texts survive the process that owns their batch."""

import unittest

import orjson

from acaciarill.batches import Item
from acaciarill.batches._checkpoint import TextCheckpoint
from acaciarill.batches._texts import BatchTexts, TextCache
from acaciarill.batches.const import MAX_CHECKPOINT_CHARACTERS, MIN_CHECKPOINT_EVENTS
from tests.fakes.store import FakeStore

KEY = "batch-texts/b"


def new_texts() -> BatchTexts:
    return BatchTexts(TextCache(), "b", "c")


class CheckpointTest(unittest.IsolatedAsyncioTestCase):
    """Save texts as one owner and load them as the next one."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.texts = new_texts()
        self.items = [Item(f"i{n}", "/x", (), b"", "g", 10) for n in range(4)]
        self.checkpoint = TextCheckpoint("b", self.store, self.texts)

    def add_events(self, item: Item, events: int, size: int = 1) -> None:
        text = self.texts.resumable_text(item, 1, False)
        for _ in range(events):
            text.append_event(len(text.events), "x" * size, 3)

    async def load_event_counts(self) -> dict[str, int]:
        """Return the number of events that a new owner loads, by item."""
        texts = new_texts()
        await TextCheckpoint("b", self.store, texts).load(self.items)
        return {key[1]: len(text.events) for (_, key), text in texts.cache.texts.items()}

    async def test_next_owner_resumes_long_texts(self) -> None:
        self.add_events(self.items[0], MIN_CHECKPOINT_EVENTS)
        self.add_events(self.items[1], MIN_CHECKPOINT_EVENTS - 1)  # too short to be saved
        await self.checkpoint.save(self.items)
        self.assertEqual(await self.load_event_counts(), {"i0": MIN_CHECKPOINT_EVENTS})
        texts = new_texts()
        item_ids = await TextCheckpoint("b", self.store, texts).load(self.items)
        self.assertEqual(item_ids, {"i0"})
        text = texts.resumable_text(self.items[0], 1, False)
        self.assertEqual((text.last_event_id, text.versions), (MIN_CHECKPOINT_EVENTS - 1, [3]))

    async def test_save_writes_only_changed_texts(self) -> None:
        await self.checkpoint.save(self.items)
        self.assertEqual(self.store.position, 0)
        self.add_events(self.items[0], 30)
        for _ in range(3):
            await self.checkpoint.save(self.items)
        self.assertEqual(self.store.position, 1)

    async def test_save_recovers_from_lost_response_and_other_owner(self) -> None:
        self.add_events(self.items[0], 30)
        self.store.lose_next_responses = 1
        await self.checkpoint.save(self.items)
        other = TextCheckpoint("b", self.store, self.texts)
        await other.load(self.items)
        self.add_events(self.items[0], 5)
        await other.save(self.items)
        self.add_events(self.items[0], 5)
        for _ in range(2):  # the first save only reads the version that the other owner wrote
            await self.checkpoint.save(self.items)
        self.assertEqual(await self.load_event_counts(), {"i0": 40})

    async def test_save_continues_after_store_outage(self) -> None:
        self.add_events(self.items[0], 30)
        self.store.unavailable = True
        await self.checkpoint.save(self.items)
        self.store.unavailable = False
        await self.checkpoint.save(self.items)
        self.assertEqual(await self.load_event_counts(), {"i0": 30})

    async def test_save_prefers_longest_texts_up_to_limit(self) -> None:
        size = MAX_CHECKPOINT_CHARACTERS // 50
        for item, events in zip(self.items, (21, 28, 24, 22), strict=True):
            self.add_events(item, events, size)
        await self.checkpoint.save(self.items)
        self.assertEqual(await self.load_event_counts(), {"i1": 28})
        self.assertLess(len(self.store.objects[KEY][0]), 1.1 * MAX_CHECKPOINT_CHARACTERS)

    async def test_load_keeps_longer_cached_text(self) -> None:
        self.add_events(self.items[0], 30)
        await self.checkpoint.save(self.items)
        self.add_events(self.items[0], 10)
        checkpoint = TextCheckpoint("b", self.store, self.texts)
        self.assertEqual(await checkpoint.load(self.items), set())
        text = self.texts.find(self.items[0])
        assert text is not None
        self.assertEqual(len(text.events), 40)
        self.assertEqual(len(orjson.loads(self.store.objects[KEY][0])), 1)
