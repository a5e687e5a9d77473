"""Test which engine an item gets and which item is served first."""

import random
import unittest

import anyio

from acaciarill.batches import EngineScheduler, SlotRequest
from acaciarill.batches.const import MAX_TRACKED_GROUPS
from acaciarill.fleet import Upstream, UpstreamTable


def slot_request(
    rank: float = 0.0, group: str = "g", min_version: int = 1, **more: object
) -> SlotRequest:
    return SlotRequest("llm", "a", min_version, (rank,), group, **more)  # type: ignore[arg-type]


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    """Assign free slots, preferring the engine that has processed the group's prompt."""

    def setUp(self) -> None:
        self.table = UpstreamTable("dc", lambda: 100.0, random.Random(1))
        self.scheduler = EngineScheduler(self.table, lambda: 100.0)

    def register_engines(self, **versions: int) -> None:
        self.table.update(
            [
                Upstream(name, name, "llm", "10.0.0.1:1", "dc", 2, versions={"a": version})
                for name, version in versions.items()
            ]
        )

    async def acquire_slots(self, requests: list[SlotRequest]) -> list[str]:
        """Return each group and its engine in the order of assignment; no slot is released."""
        assignments: list[str] = []

        async def hold(request: SlotRequest) -> None:
            async with self.scheduler.acquire_slot(request) as state:
                assignments.append(f"{request.group}@{state.upstream.id}")
                await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            for request in requests:
                tasks.start_soon(hold, request)
            for _ in range(20):
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        return assignments

    async def test_engines_of_oldest_groups_are_evicted(self) -> None:
        self.register_engines(e1=1)
        for number in range(MAX_TRACKED_GROUPS + 5):
            async with self.scheduler.acquire_slot(slot_request(0, f"g{number}")):
                pass
        self.assertEqual(len(self.scheduler.group_upstreams), MAX_TRACKED_GROUPS)
        self.assertNotIn("g0", self.scheduler.group_upstreams)

    async def test_group_reuses_engine_with_its_prompt(self) -> None:
        self.register_engines(e1=1, e2=1)
        assignments = await self.acquire_slots(
            [slot_request(0, "g"), slot_request(0, "h"), slot_request(0, "g")]
        )
        self.assertEqual(len({name for name in assignments if name.startswith("g@")}), 1)

    async def test_engine_with_older_version_gets_no_items(self) -> None:
        self.register_engines(e1=1, e2=3)
        assignments = await self.acquire_slots(
            [slot_request(min_version=2), slot_request(min_version=2), slot_request(min_version=2)]
        )
        self.assertEqual(assignments, ["g@e2", "g@e2"])

    async def test_slots_are_released_when_block_ends(self) -> None:
        self.register_engines(e1=1)
        await self.acquire_slots([slot_request(), slot_request(), slot_request()])
        self.assertEqual(self.table.states["e1"].in_flight, 0)
        self.assertEqual(self.scheduler.waiters, [])
