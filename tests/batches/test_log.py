"""Test the write-once result log with lost responses, several owners and concurrent loads."""

import unittest
from unittest import mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.batches import Result, ResultLog
from tests.fakes.store import FakeStore


class YieldingStore(FakeStore):
    """Yield to other tasks during each read, as a network client does."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        stored = await super().get(key)
        await anyio.sleep(0)
        return stored


class SlowStore(YieldingStore):
    """Yield also after each write has taken effect, before its response is there."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        version = await super().put(key, value, expected_version)
        for _ in range(3):
            await anyio.sleep(0)
        return version


def results(*ids: str) -> list[Result]:
    return [Result(name, "completed", f"text of {name}", (1,)) for name in ids]


class ResultLogTest(unittest.IsolatedAsyncioTestCase):
    """Keep each result in its position despite lost responses and conflicts."""

    def setUp(self) -> None:
        self.store = YieldingStore()

    def result_ids_of(self, log: ResultLog) -> list[str]:
        return [result.id for result in log.results]

    async def test_concurrent_loads_add_each_segment_once(self) -> None:
        writer = ResultLog("b", self.store)
        await writer.append(results("a", "b"))
        await writer.append(results("c"))
        reader = ResultLog("b", self.store)
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(reader.load)
        self.assertEqual(self.result_ids_of(reader), ["a", "b", "c"])
        self.assertEqual(reader.segment_count, 2)

    async def test_load_beside_appends_adds_each_segment_once(self) -> None:
        log = ResultLog("b", SlowStore())

        async def load_often() -> None:
            for _ in range(200):
                await log.load()
                await anyio.sleep(0)

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(load_often)
            for name in "abcdefgh":
                await log.append(results(name))
        self.assertEqual("".join(self.result_ids_of(log)), "abcdefgh")
        self.assertEqual(log.segment_count, 8)

    async def test_load_reads_every_page_of_its_own_log_only(self) -> None:
        writer, other = ResultLog("b", self.store), ResultLog("c", self.store)
        await other.append(results("z"))
        for name in "acdefgh":
            await writer.append(results(name))
        reader = ResultLog("b", self.store)
        await reader.load()
        self.assertEqual("".join(self.result_ids_of(reader)), "acdefgh")
        self.assertEqual(reader.segment_count, 7)

    async def test_load_reads_one_object_and_then_pages(self) -> None:
        writer, reader = ResultLog("b", self.store), ResultLog("b", self.store)
        await writer.append(results("a"))
        await writer.append(results("c"))
        with mock.patch.object(self.store, "get", wraps=self.store.get) as get:
            await reader.load()
        self.assertEqual(get.call_count, 1)
        self.assertEqual(self.result_ids_of(reader), ["a", "c"])

    async def test_append_after_lost_response_adds_no_duplicate(self) -> None:
        log = ResultLog("b", self.store)
        self.store.lose_next_responses = 1
        await log.append(results("a"))
        await log.append(results("b"))
        fresh = ResultLog("b", self.store)
        await fresh.load()
        self.assertEqual(self.result_ids_of(fresh), ["a", "b"])
        self.assertEqual(self.result_ids_of(log), ["a", "b"])

    async def test_second_owner_appends_after_results_of_first(self) -> None:
        first, second = ResultLog("b", self.store), ResultLog("b", self.store)
        await second.load()
        await first.append(results("a", "b"))
        await second.append(results("b", "c"))
        await first.append(results("c", "d"))
        fresh = ResultLog("b", self.store)
        await fresh.load()
        self.assertEqual(self.result_ids_of(fresh), ["a", "b", "c", "d"])

    async def test_append_adds_repeated_item_once(self) -> None:
        # Regression (inc-e811, duplicate results): a restarted runner appended items of both runs.
        log = ResultLog("b", self.store)
        await log.append([*results("a", "b"), *results("a")])
        self.assertEqual(self.result_ids_of(log), ["a", "b"])

    async def test_page_holds_at_least_one_result(self) -> None:
        log = ResultLog("b", self.store)
        await log.append([Result("a", "completed", "x" * 900_000), *results("b")])
        self.assertEqual(log.page(2, 0).next_position, 1)
        self.assertEqual(log.page(2, 1).next_position, 2)
        self.assertEqual(log.page(2, 2).results, [])


class ConcurrentOwnersTest(unittest.TestCase):
    """Append as two owners in any order, with responses lost at any point."""

    @settings(deadline=None, max_examples=60, derandomize=True)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 5), st.booleans()), max_size=12))
    def test_positions_never_change(self, steps: list[tuple[bool, int, bool]]) -> None:
        async def run() -> None:
            store = FakeStore()
            owners = [ResultLog("b", store), ResultLog("b", store)]
            seen: list[str] = []
            for owner_index, item, lose in steps:
                store.lose_next_responses = int(lose)
                await owners[owner_index].append(results(str(item)))
                store.lose_next_responses = 0
                reader = ResultLog("b", store)
                await reader.load()
                ids = [result.id for result in reader.results]
                self.assertEqual(ids[: len(seen)], seen)
                self.assertEqual(len(ids), len(set(ids)))
                seen = ids

        with mock.patch("acaciarill.batches._log.APPEND_RETRY_DELAY_S", 0.0):
            anyio.run(run)
