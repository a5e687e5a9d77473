"""Test that a daemon that is out of step joins no stream from two software versions."""

from unittest import mock

import anyio

from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.partitions import Partitions, silence_store
from tests.platform.test_stream_versions import ClientStream, VersionFleet
from tests.platform.test_whole_path import TEST_TIMEOUT_S, wait_until

STREAMS = 12
EVENTS_BEFORE_BREAK = 3


class OutdatedListTest(PlainLoopTestCase):
    """Take streams up at a daemon that does not know the upstreams that began them."""

    def setUp(self) -> None:
        for name, value in (("STREAM_AGE_MIN_S", 0.5), ("STREAM_AGE_FACTOR", 0.0)):
            patch = mock.patch(f"acaciarill.fleet._stream_records.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)

    async def _take_up_elsewhere(self, isolated_from_store: bool) -> list[ClientStream]:
        """Begin streams on upstreams that have just joined; return them as taken up."""
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = VersionFleet(tasks)
                new_engines = fleet.of_version("v2")
                fleet.engines = fleet.of_version("v1")
                await fleet.start()
                await wait_until(lambda: fleet.daemons["f1"].feed.watcher == "s1")
                await anyio.sleep(1.0)
                Partitions(fleet).cut("f1", ("f2", "s1"))
                if isolated_from_store:
                    with anyio.move_on_after(0.01):  # f1 follows s1, so it has no watch
                        await silence_store(fleet, "f1")
                for engine in new_engines:
                    await tasks.start(engine.run)
                    engine.register()
                table = fleet.daemons["f2"].table
                await wait_until(lambda: len(table.states) == 5)
                streams = [ClientStream(f"s{number}") for number in range(STREAMS)]
                async with anyio.create_task_group() as reads:
                    for stream in streams:
                        reads.start_soon(fleet.read, "f2", stream, EVENTS_BEFORE_BREAK)
                begun = [stream for stream in streams if stream.versions() == {"v2"}]
                self.assertTrue(begun)
                async with anyio.create_task_group() as reads:
                    for stream in begun:
                        reads.start_soon(fleet.read, "f1", stream)
                tasks.cancel_scope.cancel()
        return begun

    # ORDER: streams that a new software version began were taken up at a daemon that was cut off
    # from the others, and went on at upstreams of the old version, the only one that it knew.
    async def test_take_up_at_a_daemon_that_reaches_only_the_store(self) -> None:
        for stream in await self._take_up_elsewhere(isolated_from_store=False):
            self.assertEqual(stream.versions(), {"v2"}, stream.statuses)

    async def test_take_up_at_a_daemon_that_reaches_neither_store_nor_others(self) -> None:
        for stream in await self._take_up_elsewhere(isolated_from_store=True):
            self.assertEqual(stream.versions(), {"v2"}, stream.statuses)
            self.assertEqual(stream.statuses[-1], 503)
