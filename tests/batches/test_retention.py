"""Test how long batches are kept, on a virtual clock."""

import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import orjson

from acaciarill.batches import BatchHead, BatchManager, BatchPorts, Result, ResultLog
from acaciarill.batches.const import RETENTION_MARGIN_S
from acaciarill.fleet import Members
from acaciarill.mirrors import Mirror, Record
from tests.fakes.store import FakeStore

RETENTION_S = 40.0


class RetentionTest(unittest.IsolatedAsyncioTestCase):
    """Keep one batch whose items all have results."""

    async def asyncSetUp(self) -> None:
        self.now = 1000.0
        self.store = FakeStore()
        self.mirror = Mirror("batches")

        def clock() -> float:
            return self.now

        ports: Any = BatchPorts(
            self.store,
            Members("f1", "a", "dc", "front", clock),
            lambda body: None,  # type: ignore[arg-type, return-value]
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            SimpleNamespace(wall_clock=clock, clock=clock),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
        )
        self.manager = BatchManager("f1", self.mirror, ports, RETENTION_S)
        self.manager.claiming_ids.add("b")  # its items are finished, so there is nothing to run
        self.head = BatchHead("c", "h", "/b", self.now, 1, 1, "d", "f1")
        await ResultLog("b", self.store).append([Result("i1", "completed", "x", (1,))])
        await self.store.put("batches/b", self.head.encode(), 0)
        await self.put_head()

    async def put_head(self, **changes: bool) -> None:
        self.head = replace(self.head, **changes)
        version = self.store.objects["batches/b"][1]
        version = await self.store.put("batches/b", self.head.encode(), version)
        self.mirror.put(Record("b", version, orjson.loads(self.head.encode())))

    async def is_kept(self, seconds: float) -> bool:
        """Let time pass, as the daemon's timer does, and return whether the batch is there."""
        for _ in range(int(seconds)):
            self.now += 1.0
            await self.manager.claim_and_expire()
        return any(key.startswith("batch-results/b.") for key in self.store.objects)

    # Found by reading (review, REPORT-2): a batch was deleted 150 s after its submission while it
    # was open, and whatever the settings said.
    async def test_open_batch_is_kept_whatever_its_age(self) -> None:
        self.assertTrue(await self.is_kept(10 * RETENTION_S))
        await self.put_head(ended=True)
        self.assertTrue(await self.is_kept(RETENTION_MARGIN_S - 2.0))
        self.assertFalse(await self.is_kept(4.0))
        self.assertEqual(self.store.objects, {})

    async def test_results_of_an_old_open_batch_are_read_from_the_store(self) -> None:
        log = ResultLog("b", self.store)
        await log.load()
        runner: Any = SimpleNamespace(log=log, head=self.head, stopped=False)
        self.manager.runners["b"] = runner
        await self.is_kept(RETENTION_S - 2.0)
        self.assertIn("b", self.manager.runners)
        await self.is_kept(4.0)
        self.assertNotIn("b", self.manager.runners)
        page = await self.manager.reader.results("b", "c", 0, 0.0)
        self.assertEqual([result.id for result in page.results], ["i1"])
        self.manager.claiming_ids.clear()
        await self.manager.claim_and_expire()  # it owns the batch and must not claim it again
        self.assertEqual(BatchHead.from_value(self.mirror.records["b"].value).epoch, 1)

    async def test_ended_batch_is_kept_as_long_as_the_settings_say(self) -> None:
        await self.put_head(ended=True)
        self.assertTrue(await self.is_kept(RETENTION_S + RETENTION_MARGIN_S - 2.0))
        self.assertFalse(await self.is_kept(4.0))
