"""Test that a reader gets every result that the store has."""

import unittest

from acaciarill.batches import BatchHead, Result, ResultLog, ResultPage
from acaciarill.batches._heads import BatchHeadStore
from acaciarill.batches._reading import ResultReader
from acaciarill.batches.const import LOG_REFRESH_PERIOD_S
from acaciarill.errors import PeerError, RefusedError, Step
from acaciarill.fleet import Members
from acaciarill.mirrors import Mirror, Record
from tests.fakes.store import FakeStore


class FakeRunner:
    """Hold the log of an owned batch as far as it has been loaded."""

    def __init__(self, head: BatchHead, log: ResultLog, stopped: bool) -> None:
        self.head = head
        self.log = log
        self.stopped = stopped


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    """Read a batch with three stored results of which its owner has loaded some."""

    async def asyncSetUp(self) -> None:
        self.now = 1.0
        self.store = FakeStore()
        self.head = BatchHead("c", "h", "/b", 0.0, 4, 1, "d", "f1", epoch=2, ended=True)
        writer = ResultLog("b", self.store)
        for name in "xyz":
            await writer.append([Result(name, "completed", name, (1,))])
        mirror = Mirror("batches")
        value = {field: getattr(self.head, field) for field in self.head.__slots__}
        mirror.replace(1, [Record("b", 1, value)])
        self.heads = BatchHeadStore(mirror, self.store, lambda body: None)  # type: ignore[arg-type]
        self.runners: dict[str, FakeRunner] = {}

    def reader(self, name: str = "f1") -> ResultReader:
        async def fail_to_read(
            address: str, batch_id: str, after: int, wait_s: float
        ) -> ResultPage:
            raise PeerError("not the owner", step=Step.FORWARD)

        members = Members(name, "a", "dc", "front", lambda: 1.0)
        return ResultReader(
            self.heads,
            self.runners,  # type: ignore[arg-type]
            members,
            fail_to_read,
            lambda: self.now,
        )

    async def result_ids(self, reader: ResultReader, after: int) -> list[str]:
        page = await reader.results("b", "c", after, 0.0)
        return [result.id for result in page.results]

    async def add_runner(self, segments: int, stopped: bool, loaded: bool) -> None:
        log = ResultLog("b", self.store)
        for _ in range(segments):
            stored = await self.store.get(f"batch-results/b.{log.segment_count:06d}")
            assert stored is not None
            log._add_segment(
                [Result(name, "completed", name, (1,)) for name in "xyz"[log.segment_count]]
            )
        log.loaded = loaded
        self.runners["b"] = FakeRunner(self.head, log, stopped)

    async def test_stopped_owner_with_unloaded_log_reads_from_store(self) -> None:
        # Regression (803cb32, almaty upstreams-that-lapse-and-move, seed 562396698589): results
        # were lost, because an owner that stopped while loading its log answered from the part
        # that it had loaded, as if the log ended there.
        await self.add_runner(1, stopped=True, loaded=False)
        self.assertEqual(await self.result_ids(self.reader(), 1), ["y", "z"])
        self.assertEqual(await self.result_ids(self.reader(), 0), ["x", "y", "z"])

    async def test_owner_that_is_loading_its_log_refuses_reads(self) -> None:
        await self.add_runner(1, stopped=False, loaded=False)
        for after in (0, 1):
            with self.assertRaises(RefusedError):
                await self.reader().read_local_results("b", after, 0.0)

    async def test_stopped_owner_reads_end_of_log_from_store(self) -> None:
        await self.add_runner(2, stopped=True, loaded=True)
        self.assertEqual(await self.result_ids(self.reader(), 2), ["z"])

    # Suspected by the review (REPORT-2): a result that the former owner appended after its
    # successor had loaded the log was missing at the successor, though it had been read.
    async def test_owner_serves_what_the_former_one_still_appends(self) -> None:
        await self.add_runner(3, stopped=False, loaded=True)
        reader = self.reader()
        self.assertEqual(await self.result_ids(reader, 3), [])
        former = ResultLog("b", self.store)
        await former.load()
        await former.append([Result("w", "completed", "w", (1,))])
        self.now += LOG_REFRESH_PERIOD_S
        self.assertEqual(await self.result_ids(reader, 3), ["w"])
        self.assertEqual(await self.result_ids(reader, 0), ["x", "y", "z", "w"])

    async def test_running_owner_serves_results_from_memory(self) -> None:
        await self.add_runner(3, stopped=False, loaded=True)
        self.store.unavailable = True
        self.assertEqual(await self.result_ids(self.reader(), 1), ["y", "z"])
