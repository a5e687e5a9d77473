"""Run two daemons with callers and three that watch the store for them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

FRONTS = ("f1", "f2")
WATCHERS = ("s1", "s2", "s3")


@asynccontextmanager
async def run_watched_fleet() -> AsyncIterator[LocalFleet]:
    """Run the fleet until the end of the block; both fronts follow a watcher by then."""
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            fleet = LocalFleet(tasks)
            await fleet.start()
            for name in WATCHERS[1:]:
                fleet.start_daemon(name, "b")
            await wait_until(lambda: fleet.daemons.keys() >= set(WATCHERS))
            daemons = list(fleet.daemons.values())
            await wait_until(lambda: all(len(d.members.by_name) == 5 for d in daemons))
            await wait_until(lambda: all(fleet.daemons[name].feed.watcher for name in FRONTS))
            yield fleet
            tasks.cancel_scope.cancel()
