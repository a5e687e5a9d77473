"""Test that items that wait for a slot follow what has changed since they began to wait."""

import unittest
from dataclasses import replace

import anyio

from acaciarill.batches.const import STATE_COMPLETED, STATE_FAILED
from tests.platform.batches import ROUTE, RunningBatches, make_item, running_batches, stream_events

TIMEOUT_S = 5.0
FOLLOW_S = 0.5
"""Time in which waiting items must have followed a change."""


class WaitingItemsTest(unittest.IsolatedAsyncioTestCase):
    """Let items wait at a service without a free slot, beside one with free slots."""

    async def states_after(self, batches: RunningBatches, seconds: float) -> list[str]:
        """Start a batch of four items and return the states of its results after some time."""
        batches.table.states["e0"].in_flight += 8
        runner = batches.start("b1", *(make_item(f"i{number}") for number in range(4)))
        await anyio.sleep(0.2)
        self.assertEqual(runner.log.results, [])
        batches.configure(replace(ROUTE, service_weights=(("new", 1.0),)), 2)
        with anyio.move_on_after(seconds):
            while len(runner.log.results) < 4:
                await anyio.sleep(0.02)
        return [result.state for result in runner.log.results]

    # review/2: items that waited for a slot never followed a route that moved to another service.
    async def test_waiting_items_follow_a_route_to_another_service(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound, sound, services=("llm", "new")) as batches:
            self.assertEqual(await self.states_after(batches, TIMEOUT_S), [STATE_COMPLETED] * 4)

    async def test_waiting_items_of_a_route_that_is_gone_are_given_up(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound) as batches:
            batches.table.states["e0"].in_flight += 8
            runner = batches.start("b1", make_item("a"))
            await anyio.sleep(0.2)
            batches.configure(replace(ROUTE, prefix="/other"), 2)
            with anyio.fail_after(TIMEOUT_S):
                while not runner.log.results:
                    await anyio.sleep(0.02)
            self.assertEqual(runner.log.results[0].state, STATE_FAILED)

    # review/2: items waited past the end of their queue time.
    async def test_waiting_items_are_given_up_at_the_end_of_the_queue_time(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound) as batches:
            batches.configure(replace(ROUTE, max_queue_s=1.0))
            batches.table.states["e0"].in_flight += 8
            runner = batches.start("b1", make_item("a"))
            await anyio.sleep(0.5)
            self.assertEqual(runner.log.results, [])
            with anyio.fail_after(1.0 + FOLLOW_S):
                while not runner.log.results:
                    await anyio.sleep(0.02)
            self.assertEqual(runner.log.results[0].state, STATE_FAILED)

    async def test_other_versions_of_the_configuration_leave_items_waiting(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound) as batches:
            state = batches.table.states["e0"]
            state.in_flight += 8
            runner = batches.start("b1", make_item("a"))
            for version in range(2, 12):
                await anyio.sleep(0.03)
                batches.configure(ROUTE, version)
            self.assertEqual(runner.log.results, [])
            state.in_flight -= 8
            with anyio.fail_after(TIMEOUT_S):
                while not runner.log.results:
                    await anyio.sleep(0.02)
            self.assertEqual(runner.log.results[0].state, STATE_COMPLETED)

    # Shown by the review and given up for case 1: on a route with a single version, texts that an
    # engine had begun were never sent to engines of the next version once it was lost.
    async def test_text_of_a_version_that_is_gone_begins_anew(self) -> None:
        old = stream_events(None, lambda number: b"old%d" % number, 1, interval_s=0.02)
        new = stream_events(3, lambda number: b"e%d" % number, 2)
        async with running_batches(old, new, versions=(1, 2)) as batches:
            batches.configure(replace(ROUTE, single_version=True))
            batches.table.states["e1"].in_flight += 8
            runner = batches.start("b1", make_item("a"))
            await anyio.sleep(0.2)
            batches.table.states["e1"].in_flight -= 8
            batches.table.update([batches.table.states["e1"].upstream])
            with anyio.fail_after(TIMEOUT_S):
                while not runner.log.results:
                    for stream in batches.scheduler.active_streams:
                        if stream.state.upstream.id == "e0":
                            stream.scope.cancel()  # the lost engine's connection breaks
                    await anyio.sleep(0.02)
            self.assertEqual(runner.log.results[0].text, "e1\ne2\ne3")
            self.assertEqual(runner.log.results[0].versions, (2,))
