"""Test that a reader is never told less than the store has."""

import unittest

from acaciarill.batches import BatchHead, Result, ResultLog, ResultPage
from acaciarill.batches._heads import BatchHeads
from acaciarill.batches._reading import ResultReader
from acaciarill.errors import PeerError, RefusedError, Step
from acaciarill.fleet import Members
from acaciarill.mirrors import Mirror, Record
from tests.fakes.store import FakeStore


class FakeRunner:
    """Hold the log of an owned batch, as far as it was read when its run ended."""

    def __init__(self, head: BatchHead, log: ResultLog, stopped: bool) -> None:
        self.head = head
        self.log = log
        self.stopped = stopped


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    """Read a batch of three results whose owner knows only some of them."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.head = BatchHead("c", "h", "/b", 0.0, 4, 1, "d", "f1", epoch=2, ended=True)
        writer = ResultLog("b", self.store)
        for name in "xyz":
            await writer.append([Result(name, "completed", name, (1,))])
        mirror = Mirror("batches")
        value = {field: getattr(self.head, field) for field in self.head.__slots__}
        mirror.replace(1, [Record("b", 1, value)])
        self.heads = BatchHeads(mirror, self.store, lambda body: None)  # type: ignore[arg-type]
        self.runners: dict[str, FakeRunner] = {}

    def reader(self, name: str = "f1") -> ResultReader:
        async def at_owner(address: str, batch_id: str, after: int, wait_s: float) -> ResultPage:
            raise PeerError("not the owner", step=Step.FORWARD)

        members = Members(name, "a", "dc", "front", lambda: 1.0)
        return ResultReader(
            self.heads,
            self.runners,  # type: ignore[arg-type]
            members,
            at_owner,
            lambda: 1.0,
        )

    async def names(self, reader: ResultReader, after: int) -> list[str]:
        page = await reader.results("b", "c", after, 0.0)
        return [result.id for result in page.results]

    async def known(self, segments: int, stopped: bool, complete: bool) -> None:
        log = ResultLog("b", self.store)
        for _ in range(segments):
            found = await self.store.get(f"batch-results/b.{log.segments:06d}")
            assert found is not None
            log._take([Result(name, "completed", name, (1,)) for name in "xyz"[log.segments]])
        log.complete = complete
        self.runners["b"] = FakeRunner(self.head, log, stopped)

    async def test_owner_that_was_ended_while_it_read_its_log_does_not_answer(self) -> None:
        # Hunt of 803cb32, almaty upstreams-that-lapse-and-move 562396698589: LOST.
        await self.known(1, stopped=True, complete=False)
        self.assertEqual(await self.names(self.reader(), 1), ["y", "z"])
        self.assertEqual(await self.names(self.reader(), 0), ["x", "y", "z"])

    async def test_owner_that_still_reads_its_log_refuses_other_daemons(self) -> None:
        await self.known(1, stopped=False, complete=False)
        for after in (0, 1):
            with self.assertRaises(RefusedError):
                await self.reader().read_local_results("b", after, 0.0)

    async def test_end_of_a_stopped_owners_log_is_asked_of_the_store(self) -> None:
        await self.known(2, stopped=True, complete=True)
        self.assertEqual(await self.names(self.reader(), 2), ["z"])

    async def test_owner_that_runs_answers_from_memory(self) -> None:
        await self.known(3, stopped=False, complete=True)
        self.store.unavailable = True
        self.assertEqual(await self.names(self.reader(), 1), ["y", "z"])
