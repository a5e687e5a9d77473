"""Test that a confirmed configuration is in force in time at daemons that reach the store."""

import anyio

from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.fakes import configuration
from tests.platform.partitions import Partitions, silence_store
from tests.platform.test_whole_path import LocalFleet, wait_until
from tests.platform.watched_fleet import WATCHERS, run_watched_fleet

CONFIGURATION_LIMIT_S = 2.0
"""Users' limit on the time from the confirmation of a configuration until it is in force."""


class ConfigurationDelayTest(PlainLoopTestCase):
    """Change the configuration while a daemon with callers has lost some of the others."""

    async def _change_configuration(self, fleet: LocalFleet, name: str) -> float:
        """Return how long after its confirmation a configuration is in force at a daemon."""
        version = fleet.daemons[name].configuration.version + 1
        fleet.store.put("config", "main", configuration(version, keys=("key-2",)))
        started_at = anyio.current_time()
        await wait_until(lambda: fleet.daemons[name].configuration.version == version)
        response = await fleet.call(name, "POST", "/p/1")
        self.assertEqual(response.head.status, 401)
        return anyio.current_time() - started_at

    async def _wait_for_poll(self, fleet: LocalFleet, name: str) -> None:
        """Wait until a daemon has just begun to wait for changes at its watcher."""
        follower = fleet.daemons[name].mirrors.followers["config"]
        confirmed_at = follower.confirmed_at
        await wait_until(lambda: follower.confirmed_at != confirmed_at)
        await anyio.sleep(0.02)

    # CONFIG: a daemon that reached the store but no other daemon asked each watcher in turn before
    # it followed the store, and used a withdrawn key for 3.5 s.
    async def test_configuration_is_in_force_in_time_without_any_other_daemon(self) -> None:
        async with run_watched_fleet() as fleet:
            partitions = Partitions(fleet)
            await self._wait_for_poll(fleet, "f1")
            partitions.cut("f1", (*WATCHERS, "f2"))
            delay_s = await self._change_configuration(fleet, "f1")
            self.assertLess(delay_s, CONFIGURATION_LIMIT_S)

    # CONFIG: a watcher whose own watch had become silent told its followers only when its long poll
    # had timed out, and served its mirrors for another second.
    async def test_configuration_is_in_force_in_time_behind_a_watcher_without_store(self) -> None:
        async with run_watched_fleet() as fleet:
            partitions = Partitions(fleet)
            watcher = fleet.daemons["f1"].feed.watcher
            others = {"f2", *WATCHERS} - {watcher}
            partitions.cut("f1", tuple(others))
            partitions.cut(watcher, tuple(others))
            await silence_store(fleet, watcher)
            delay_s = await self._change_configuration(fleet, "f1")
            self.assertLess(delay_s, CONFIGURATION_LIMIT_S)
