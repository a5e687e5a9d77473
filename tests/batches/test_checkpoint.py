"""Test that long unfinished texts outlive the process that owns a batch."""

import unittest

import orjson

from acaciarill.batches import Item
from acaciarill.batches._checkpoint import TextCheckpoint
from acaciarill.batches._texts import TextStore
from acaciarill.batches.const import CHECKPOINT_BYTES, MIN_CHECKPOINT_EVENTS
from tests.fakes.store import FakeStore

KEY = "batch-texts/b"


class CheckpointTest(unittest.IsolatedAsyncioTestCase):
    """Kill an owner that has saved, and let another one load."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.texts = TextStore()
        self.items = [Item(f"i{n}", "/x", (), b"", "g", 10) for n in range(4)]
        self.checkpoint = TextCheckpoint("b", self.store, self.texts)

    def grow(self, item: Item, events: int, size: int = 1) -> None:
        text = self.texts.text(item, 1, False)
        for _ in range(events):
            text.add(len(text.events), "x" * size, 3)

    async def load(self) -> dict[str, int]:
        """Return the events that a new owner starts with, by item."""
        texts = TextStore()
        await TextCheckpoint("b", self.store, texts).load()
        return {name: len(text.events) for name, text in texts.texts.items()}

    async def test_next_owner_goes_on_with_the_long_texts(self) -> None:
        self.grow(self.items[0], MIN_CHECKPOINT_EVENTS)
        self.grow(self.items[1], MIN_CHECKPOINT_EVENTS - 1)  # made again within a second
        await self.checkpoint.save(self.items)
        self.assertEqual(await self.load(), {"i0": MIN_CHECKPOINT_EVENTS})
        texts = TextStore()
        taken = await TextCheckpoint("b", self.store, texts).load()
        self.assertEqual(taken, {"i0"})
        text = texts.text(self.items[0], 1, False)
        self.assertEqual((text.last_id, text.versions), (MIN_CHECKPOINT_EVENTS - 1, [3]))

    async def test_nothing_is_written_while_no_text_grows(self) -> None:
        await self.checkpoint.save(self.items)
        self.assertEqual(self.store.position, 0)
        self.grow(self.items[0], 30)
        for _ in range(3):
            await self.checkpoint.save(self.items)
        self.assertEqual(self.store.position, 1)

    async def test_lost_answer_and_another_owner_delay_a_save_only(self) -> None:
        self.grow(self.items[0], 30)
        self.store.lose_next_responses = 1
        await self.checkpoint.save(self.items)
        other = TextCheckpoint("b", self.store, self.texts)
        await other.load()
        self.grow(self.items[0], 5)
        await other.save(self.items)
        self.grow(self.items[0], 5)
        for _ in range(2):  # the first learns the version that the other wrote
            await self.checkpoint.save(self.items)
        self.assertEqual(await self.load(), {"i0": 40})

    async def test_store_that_is_away_ends_nothing(self) -> None:
        self.grow(self.items[0], 30)
        self.store.unavailable = True
        await self.checkpoint.save(self.items)
        self.store.unavailable = False
        await self.checkpoint.save(self.items)
        self.assertEqual(await self.load(), {"i0": 30})

    async def test_longest_texts_are_saved_where_not_all_fit(self) -> None:
        size = CHECKPOINT_BYTES // 50
        for item, events in zip(self.items, (21, 28, 24, 22), strict=True):
            self.grow(item, events, size)
        await self.checkpoint.save(self.items)
        self.assertEqual(await self.load(), {"i1": 28})
        self.assertLess(len(self.store.objects[KEY][0]), 1.1 * CHECKPOINT_BYTES)

    async def test_own_text_that_is_longer_stays(self) -> None:
        self.grow(self.items[0], 30)
        await self.checkpoint.save(self.items)
        self.grow(self.items[0], 10)
        self.assertEqual(await TextCheckpoint("b", self.store, self.texts).load(), set())
        self.assertEqual(len(self.texts.texts["i0"].events), 40)
        self.assertEqual(len(orjson.loads(self.store.objects[KEY][0])), 1)
