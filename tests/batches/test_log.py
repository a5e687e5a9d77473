"""Test the write-once log of results: lost answers, rival owners, readers side by side."""

import unittest
from unittest import mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.batches import Result, ResultLog
from tests.fakes.store import FakeStore


class SlowStore(FakeStore):
    """Yield to other tasks within each read, as a network does."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        found = await super().get(key)
        await anyio.sleep(0)
        return found


def results(*names: str) -> list[Result]:
    return [Result(name, "completed", f"text of {name}", (1,)) for name in names]


class ResultLogTest(unittest.IsolatedAsyncioTestCase):
    """Keep each position whatever happens on the way to the store."""

    def setUp(self) -> None:
        self.store = SlowStore()

    def names(self, log: ResultLog) -> list[str]:
        return [result.id for result in log.results]

    async def test_readers_side_by_side_take_each_segment_once(self) -> None:
        writer = ResultLog("b", self.store)
        await writer.append(results("a", "b"))
        await writer.append(results("c"))
        reader = ResultLog("b", self.store)
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(reader.load)
        self.assertEqual(self.names(reader), ["a", "b", "c"])
        self.assertEqual(reader.segments, 2)

    async def test_log_of_many_pages_is_read_whole_and_alone(self) -> None:
        writer, other = ResultLog("b", self.store), ResultLog("c", self.store)
        await other.append(results("z"))
        for name in "acdefgh":
            await writer.append(results(name))
        reader = ResultLog("b", self.store)
        await reader.load()
        self.assertEqual("".join(self.names(reader)), "acdefgh")
        self.assertEqual(reader.segments, 7)

    async def test_reading_a_log_costs_one_read_and_its_pages(self) -> None:
        writer, reader = ResultLog("b", self.store), ResultLog("b", self.store)
        await writer.append(results("a"))
        await writer.append(results("c"))
        with mock.patch.object(self.store, "get", wraps=self.store.get) as get:
            await reader.load()
        self.assertEqual(get.call_count, 1)
        self.assertEqual(self.names(reader), ["a", "c"])

    async def test_lost_answer_of_an_append_lists_nothing_twice(self) -> None:
        log = ResultLog("b", self.store)
        self.store.lose_next_responses = 1
        await log.append(results("a"))
        await log.append(results("b"))
        fresh = ResultLog("b", self.store)
        await fresh.load()
        self.assertEqual(self.names(fresh), ["a", "b"])
        self.assertEqual(self.names(log), ["a", "b"])

    async def test_second_owner_goes_on_after_what_the_first_has_listed(self) -> None:
        first, second = ResultLog("b", self.store), ResultLog("b", self.store)
        await second.load()
        await first.append(results("a", "b"))
        await second.append(results("b", "c"))
        await first.append(results("c", "d"))
        fresh = ResultLog("b", self.store)
        await fresh.load()
        self.assertEqual(self.names(fresh), ["a", "b", "c", "d"])

    async def test_item_that_is_finished_twice_is_listed_once(self) -> None:
        # inc-e811, TWICE: a runner that was started again listed items of both its runs.
        log = ResultLog("b", self.store)
        await log.append([*results("a", "b"), *results("a")])
        self.assertEqual(self.names(log), ["a", "b"])

    async def test_page_holds_at_least_one_result(self) -> None:
        log = ResultLog("b", self.store)
        await log.append([Result("a", "completed", "x" * 900_000), *results("b")])
        self.assertEqual(log.page(2, 0).next_position, 1)
        self.assertEqual(log.page(2, 1).next_position, 2)
        self.assertEqual(log.page(2, 2).results, [])


class RivalOwnersTest(unittest.TestCase):
    """Let two owners append in any order, with answers lost at any point."""

    @settings(deadline=None, max_examples=60, derandomize=True)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 5), st.booleans()), max_size=12))
    def test_positions_never_change(self, steps: list[tuple[bool, int, bool]]) -> None:
        async def run() -> None:
            store = FakeStore()
            owners = [ResultLog("b", store), ResultLog("b", store)]
            seen: list[str] = []
            for second, item, lose in steps:
                store.lose_next_responses = int(lose)
                await owners[second].append(results(str(item)))
                store.lose_next_responses = 0
                reader = ResultLog("b", store)
                await reader.load()
                names = [result.id for result in reader.results]
                self.assertEqual(names[: len(seen)], seen)
                self.assertEqual(len(names), len(set(names)))
                seen = names

        with mock.patch("acaciarill.batches._log.APPEND_RETRY_S", 0.0):
            anyio.run(run)
