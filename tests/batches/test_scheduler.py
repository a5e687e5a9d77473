"""Test which engine an item gets and which item goes first."""

import random
import unittest

import anyio

from acaciarill.batches import EngineScheduler, Place
from acaciarill.batches.const import GROUPS_KEPT
from acaciarill.fleet import Upstream, UpstreamTable


def place(rank: float = 0.0, group: str = "g", minimum: int = 1, **more: object) -> Place:
    return Place("llm", "a", minimum, (rank,), group, **more)  # type: ignore[arg-type]


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    """Fill free slots by rank, near the prompt that is already there."""

    def setUp(self) -> None:
        self.table = UpstreamTable("dc", lambda: 100.0, random.Random(1))
        self.scheduler = EngineScheduler(self.table, lambda: 100.0)

    def engines(self, **versions: int) -> None:
        self.table.update(
            [
                Upstream(name, name, "llm", "10.0.0.1:1", "dc", 2, versions={"a": version})
                for name, version in versions.items()
            ]
        )

    async def run_places(self, places: list[Place]) -> list[str]:
        """Return the engines in the order in which the places were given, held for good."""
        given: list[str] = []

        async def hold(wanted: Place) -> None:
            async with self.scheduler.place(wanted) as state:
                given.append(f"{wanted.group}@{state.upstream.id}")
                await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            for wanted in places:
                tasks.start_soon(hold, wanted)
            for _ in range(20):
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        return given

    async def test_engines_of_old_groups_are_forgotten(self) -> None:
        self.engines(e1=1)
        for number in range(GROUPS_KEPT + 5):
            async with self.scheduler.place(place(0, f"g{number}")):
                pass
        self.assertEqual(len(self.scheduler.group_places), GROUPS_KEPT)
        self.assertNotIn("g0", self.scheduler.group_places)

    async def test_group_stays_with_its_prompt(self) -> None:
        self.engines(e1=1, e2=1)
        given = await self.run_places([place(0, "g"), place(0, "h"), place(0, "g")])
        self.assertEqual(len({name for name in given if name.startswith("g@")}), 1)

    async def test_engine_of_too_old_a_version_gets_nothing(self) -> None:
        self.engines(e1=1, e2=3)
        given = await self.run_places([place(minimum=2), place(minimum=2), place(minimum=2)])
        self.assertEqual(given, ["g@e2", "g@e2"])

    async def test_slots_return_when_the_block_ends(self) -> None:
        self.engines(e1=1)
        await self.run_places([place(), place(), place()])
        self.assertEqual(self.table.states["e1"].in_flight, 0)
        self.assertEqual(self.scheduler.waiters, [])
