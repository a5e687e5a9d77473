"""Test that submissions are loaded from the store once, and one at a time."""

from collections import Counter
from collections.abc import Callable

import anyio
import orjson

from acaciarill.batches import BatchHead, Submission
from acaciarill.batches._heads import BatchHeadStore
from acaciarill.batches.const import KIND_HEADS, LOAD_TURN_TIMEOUT_S
from acaciarill.errors import Step, StoreError
from acaciarill.mirrors import Mirror
from tests.fakes.event_loop import PlainLoopTestCase

PARTS = 3
READERS = 16
CALL_S = 0.01


class CountingStore:
    """Count the reads that run, and fail or hang if it is told to."""

    def __init__(self) -> None:
        self.reads = 0
        self.running: set[str] = set()
        self.most_batches = 0
        self.before_read: Callable[[], None] = lambda: None
        self.hangs = False

    async def get(self, key: str) -> tuple[bytes, int]:
        batch_id = key.partition("/")[2].partition(".")[0]
        self.reads += 1
        self.running.add(batch_id)
        self.most_batches = max(self.most_batches, len(self.running))
        try:
            await anyio.sleep(60.0 if self.hangs else CALL_S)
            self.before_read()
            return orjson.dumps("x"), 1
        finally:
            self.running.discard(batch_id)


class LoadingTest(PlainLoopTestCase):
    """Guard against concurrent reads of items that each hold the whole batch (review/14)."""

    def setUp(self) -> None:
        self.store = CountingStore()
        self.decoded = 0

        def decode(body: bytes) -> Submission:
            self.decoded += 1
            return Submission("m", 0, 0, ())

        self.outcomes: Counter[str] = Counter()
        self.heads = BatchHeadStore(
            Mirror(KIND_HEADS),
            self.store,  # type: ignore[arg-type]
            decode,
            on_load=lambda outcome: self.outcomes.update([outcome]),
        )

    async def load(self, batch_id: str) -> Submission:
        head = BatchHead(
            customer="c",
            host="h",
            path="/b/x",
            submitted_at=0.0,
            total=1,
            parts=PARTS,
            digest="d",
            owner="f1",
            configuration=1,
        )
        return await self.heads.load_submission(batch_id, head)

    async def load_all(self, batch_ids: list[str]) -> list[str]:
        """Load submissions at once; return the errors."""
        errors: list[str] = []

        async def load(batch_id: str) -> None:
            try:
                await self.load(batch_id)
            except StoreError as error:
                errors.append(error.message)

        async with anyio.create_task_group() as loads:
            for batch_id in batch_ids:
                loads.start_soon(load, batch_id)
        return errors

    async def test_concurrent_reads_of_one_batch_share_one_load(self) -> None:
        self.assertEqual(await self.load_all(["b1"] * READERS), [])
        self.assertEqual((self.store.reads, self.decoded), (PARTS, 1))
        self.assertEqual(self.outcomes, {"loaded": 1, "shared": READERS - 1})

    async def test_batches_are_loaded_one_at_a_time(self) -> None:
        ids = [f"b{number % 4}" for number in range(READERS)]
        self.assertEqual(await self.load_all(ids), [])
        self.assertEqual((self.store.reads, self.store.most_batches), (4 * PARTS, 1))

    async def test_failure_of_the_store_is_shared_too(self) -> None:
        def fail() -> None:
            raise StoreError("no answer", step=Step.STORE)

        self.store.before_read = fail
        self.assertEqual(await self.load_all(["b1"] * READERS), ["no answer"] * READERS)
        self.assertEqual(self.store.reads, 1)
        self.store.before_read = lambda: None
        self.assertEqual(await self.load_all(["b1"]), [])

    async def test_reader_that_leaves_does_not_fail_the_others(self) -> None:
        first = anyio.CancelScope()

        async def leave_early() -> None:
            with first:
                await self.load("b1")

        async with anyio.create_task_group() as readers:
            readers.start_soon(leave_early)
            await anyio.sleep(CALL_S / 2)
            readers.start_soon(self.load_all, ["b1"] * READERS)
            await anyio.sleep(CALL_S / 2)
            first.cancel()
        self.assertIn("b1", self.heads.submissions)
        self.assertEqual((self.heads.loads, self.decoded), ({}, 1))

    async def test_no_batch_waits_long_for_one_that_hangs(self) -> None:
        self.store.hangs = True
        async with anyio.create_task_group() as hanging:
            hanging.start_soon(self.load, "b0")
            await anyio.sleep(CALL_S)
            with anyio.fail_after(LOAD_TURN_TIMEOUT_S + 0.5):
                errors = await self.load_all(["b1", "b2", "b3"])
            hanging.cancel_scope.cancel()
        self.assertEqual(errors, ["other batches are being loaded"] * 3)
        self.assertEqual(self.outcomes["refused"], 3)
        self.store.hangs = False
        self.assertEqual(await self.load_all(["b0", "b1"]), [])
