"""Test that two batches that hold the same items do not disturb each other."""

import unittest

import anyio

from acaciarill.batches import Result
from tests.platform.batches import make_item, running_batches, stream_events

TIMEOUT_S = 10.0
EVENTS = 20
WHOLE_TEXT = "\n".join(f"e{number}" for number in range(1, EVENTS + 1))


class SharedItemsTest(unittest.IsolatedAsyncioTestCase):
    """Run an item of one batch at an old engine while another batch needs newer weights."""

    async def run_both(self, customers: tuple[str, str]) -> dict[str, list[Result]]:
        scripts = [
            stream_events(EVENTS, lambda number: b"e%d" % number, version, interval_s=0.02)
            for version in (1, 2)
        ]
        results: dict[str, list[Result]] = {}
        async with running_batches(*scripts, slots=2, versions=(1, 2)) as batches:
            states = list(batches.table.states.values())
            for state in states:
                state.in_flight += 2  # the items of both batches wait for slots
            runners = {}
            for batch_id, min_version, customer in (
                ("b1", 1, customers[0]),
                ("b2", 2, customers[1]),
            ):
                items = [make_item("a"), make_item("b")]
                runners[batch_id] = batches.start(
                    batch_id, *items, min_version=min_version, customer=customer
                )
                await anyio.sleep(0.05)
            for state in states:
                state.in_flight -= 2
            batches.table.notify_listeners()
            with anyio.fail_after(TIMEOUT_S):
                for batch_id, runner in runners.items():
                    while len(runner.log.results) < 2:
                        await anyio.sleep(0.02)
                    results[batch_id] = runner.log.results
        return results

    # review/5: an ended batch that a daemon still ran added events of a version that is too old to
    # the results of the next one.
    async def test_result_has_no_version_that_its_batch_does_not_allow(self) -> None:
        results = await self.run_both(("c", "c"))
        self.assertEqual({result.versions for result in results["b2"]}, {(2,)})
        for batch_results in results.values():
            self.assertEqual({result.text for result in batch_results}, {WHOLE_TEXT})

    async def test_batches_of_two_customers_share_nothing(self) -> None:
        results = await self.run_both(("c", "rival"))
        self.assertEqual({result.versions for result in results["b2"]}, {(2,)})
