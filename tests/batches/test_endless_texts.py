"""Test that a text without end is cut at the limits of its item and of the daemon."""

import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.batches import Item, Result, TextLimits
from acaciarill.batches._texts import (
    MAX_CACHED_TEXTS,
    BatchTexts,
    GeneratedText,
    TextCache,
    find_excess,
)
from acaciarill.batches.const import UNRESTRICTED_TEXT_BYTES
from tests.platform.batches import make_item, running_batches, stream_events

TIMEOUT_S = 10.0
EVENT_INTERVAL_S = 0.005
"""The same at both engines, since items leave a slow engine for a fast one."""
LARGE_EVENT = b"x" * 20_000
MEMORY_BYTES = 300 * 1024 * 1024


class EndlessEngineTest(unittest.IsolatedAsyncioTestCase):
    """Run items at an engine whose stream of events does not end, beside a sound one."""

    async def run_items(self, data: bytes, max_output_tokens: int) -> int:
        """Return the most bytes that the texts took; check that the sound engine's are stored."""
        endless = stream_events(None, lambda number: data, interval_s=EVENT_INTERVAL_S)
        sound = stream_events(20, lambda number: b"e%d" % number, interval_s=EVENT_INTERVAL_S)
        limits = TextLimits.from_settings(1024 * 1024, MEMORY_BYTES)
        peak_bytes = 0
        async with running_batches(endless, sound, slots=2, limits=limits) as batches:
            items = [make_item(f"i{number}", max_output_tokens) for number in range(4)]
            runner = batches.start("b1", *items)
            with anyio.fail_after(TIMEOUT_S):
                while len(runner.log.results) < len(items):
                    sizes = [text.size for text in batches.texts.texts.values()]
                    peak_bytes = max(peak_bytes, sum(sizes))
                    await anyio.sleep(0.01)
            expected = "\n".join(f"e{number}" for number in range(1, 21))
            self.assertEqual(set(batches.texts_by_item(runner).values()), {expected})
        return peak_bytes

    # review/1: large events without end took one daemon after the other over its memory limit.
    async def test_endless_stream_of_large_events_is_cut_and_its_item_runs_elsewhere(self) -> None:
        peak_bytes = await self.run_items(LARGE_EVENT, 0)
        self.assertLess(peak_bytes, 4 * 1024 * 1024)

    # review/1, with small events: they stay under the byte limit for long.
    async def test_stream_ends_at_the_tokens_that_the_item_allows(self) -> None:
        await self.run_items(b"x", 40)


class ExcessTest(unittest.TestCase):
    """Decide which limit a text exceeds."""

    LIMITS = TextLimits(text_bytes=200_000, total_bytes=1_000_000)

    def excess(self, events: list[str], tokens: int = 0, total_bytes: int = 0) -> str:
        return find_excess(GeneratedText(events, 1, [1]), tokens, total_bytes, self.LIMITS)

    def test_text_within_all_limits_has_no_excess(self) -> None:
        self.assertEqual(self.excess(["x"] * 40, tokens=40, total_bytes=900_000), "")

    def test_more_events_than_tokens_are_an_excess(self) -> None:
        self.assertIn("40 tokens", self.excess(["x"] * 41, tokens=40))

    def test_bytes_are_counted_as_json(self) -> None:
        self.assertEqual(self.excess(["x" * 100_000]), "")
        self.assertIn("200000 bytes", self.excess(["\n" * 100_000]))

    def test_only_short_texts_grow_while_all_together_are_too_long(self) -> None:
        short, long = "x" * 1000, "x" * (UNRESTRICTED_TEXT_BYTES + 1)
        self.assertEqual(self.excess([short], total_bytes=1_000_001), "")
        self.assertIn("all texts", self.excess([long], total_bytes=1_000_001))


class CacheSizeTest(unittest.TestCase):
    """Keep the cache within its limits."""

    def test_texts_that_are_generated_are_not_evicted(self) -> None:
        cache = TextCache(TextLimits(total_bytes=1000))
        texts = BatchTexts(cache, "b1", "c")
        with texts.open_text(make_item("open"), 0, False) as text:
            texts.append_event(make_item("open"), text, 1, "x" * 2000, 1)
            for number in range(3):
                item = make_item(f"i{number}")
                texts.append_event(item, texts.resumable_text(item, 0, False), 1, "x" * 400, 1)
            self.assertIs(texts.find(make_item("open")), text)
        self.assertLessEqual(len(cache.texts), 2)

    def test_count_of_texts_is_limited(self) -> None:
        cache = TextCache()
        for number in range(MAX_CACHED_TEXTS + 10):
            texts = BatchTexts(cache, f"b{number}", "c")
            texts.resumable_text(make_item(str(number % 7)), 0, False)
        self.assertEqual(len(cache.texts), MAX_CACHED_TEXTS)

    @settings(max_examples=100, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["append", "clear", "result", "merge"]),
                st.sampled_from(["b1", "b2"]),
                st.integers(0, 3),
                st.integers(0, 500),
            ),
            max_size=40,
        )
    )
    def test_sizes_are_those_of_the_cached_texts(
        self, steps: list[tuple[str, str, int, int]]
    ) -> None:
        cache = TextCache(TextLimits(total_bytes=2000))
        items: list[Item] = [make_item(f"i{number}") for number in range(4)]
        other = BatchTexts(TextCache(), "b1", "c")
        other.append_event(items[0], other.resumable_text(items[0], 0, False), 1, "y" * 300, 1)
        for action, batch_id, number, size in steps:
            item, texts = items[number], BatchTexts(cache, batch_id, "c")
            text = texts.resumable_text(item, 0, False)
            if action == "append":
                texts.append_event(item, text, len(text.events), "\t" * size, 1)
            elif action == "clear":
                texts.clear_text(item, text)
            elif action == "result":
                texts.add_result(item, Result(item.id, "completed", "x" * size, (1,)))
            else:
                texts.merge_encoded(items, other.encode([items[0]]))
            self.assertEqual(cache.text_bytes, sum(t.size for t in cache.texts.values()))
            self.assertEqual(cache.result_bytes, sum(len(r.text) for r in cache.results.values()))
            self.assertLessEqual(cache.result_bytes, 2000)
            known = {(batch, key) for key, batches in cache.batch_ids.items() for batch in batches}
            self.assertEqual(known, set(cache.texts))
