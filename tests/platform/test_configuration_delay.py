"""Test that a confirmed configuration is in force in time at daemons that reach the store."""

import unittest
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio

from acaciarill.errors import Outcome, PeerError, Step
from acaciarill.peers import PeerLinks
from acaciarill.peers.const import CALL_TIMEOUT_S, CONNECT_TIMEOUT_S
from tests.platform.fakes import configuration
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

CONFIGURATION_LIMIT_S = 2.0
"""Users' limit on the time from the confirmation of a configuration until it is in force."""
WATCHERS = ("s1", "s2", "s3")


class Partitions:
    """Let calls between some pairs of daemons hang; responses on their way are lost."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.cut_pairs: set[frozenset[str]] = set()
        self.names_by_address: dict[str, str] = {}
        for name, daemon in fleet.daemons.items():
            self.names_by_address[daemon.settings.peers] = name
            links = daemon.peers.links
            links.call = self._wrap(name, links, links.call)  # type: ignore[method-assign]

    def cut(self, name: str, others: tuple[str, ...]) -> None:
        """Partition a daemon from some others."""
        self.cut_pairs |= {frozenset((name, other)) for other in others}

    def _wrap(self, name: str, links: PeerLinks, call: Callable[..., Any]) -> Callable[..., Any]:
        async def call_unless_cut(
            address: str, timeout_s: float = CALL_TIMEOUT_S, **member: Any
        ) -> Any:
            pair = frozenset((name, self.names_by_address.get(address, "")))
            is_open = address in links.links_by_address
            started_at = anyio.current_time()
            if pair not in self.cut_pairs:
                frame = await call(address, timeout_s, **member)
                if pair not in self.cut_pairs:
                    return frame
            if is_open and address in links.links_by_address:
                await links._discard(address, links.links_by_address[address])
            hang_s = timeout_s if is_open else CONNECT_TIMEOUT_S
            await anyio.sleep_until(started_at + hang_s)
            raise PeerError(
                "no response",
                step=Step.FORWARD,
                peer=address,
                outcome=Outcome.UNKNOWN if is_open else Outcome.NOT_RUN,
            )

        return call_unless_cut


class ConfigurationDelayTest(unittest.IsolatedAsyncioTestCase):
    """Change the configuration while a daemon with callers has lost some of the others."""

    @asynccontextmanager
    async def run_fleet(self) -> AsyncIterator[LocalFleet]:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = LocalFleet(tasks)
                await fleet.start()
                for name in WATCHERS[1:]:
                    fleet.start_daemon(name, "b")
                await wait_until(lambda: fleet.daemons.keys() >= set(WATCHERS))
                daemons = list(fleet.daemons.values())
                await wait_until(lambda: all(len(d.members.by_name) == 5 for d in daemons))
                fronts = [fleet.daemons["f1"], fleet.daemons["f2"]]
                await wait_until(lambda: all(front.feed.watcher for front in fronts))
                yield fleet
                tasks.cancel_scope.cancel()

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
        async with self.run_fleet() as fleet:
            partitions = Partitions(fleet)
            await self._wait_for_poll(fleet, "f1")
            partitions.cut("f1", (*WATCHERS, "f2"))
            delay_s = await self._change_configuration(fleet, "f1")
            self.assertLess(delay_s, CONFIGURATION_LIMIT_S)

    # CONFIG: a watcher whose own watch had become silent told its followers only when its long poll
    # had timed out, and served its mirrors for another second.
    async def test_configuration_is_in_force_in_time_behind_a_watcher_without_store(self) -> None:
        async with self.run_fleet() as fleet:
            partitions = Partitions(fleet)
            watcher = fleet.daemons["f1"].feed.watcher
            others = {"f2", *WATCHERS} - {watcher}
            partitions.cut("f1", tuple(others))
            partitions.cut(watcher, tuple(others))
            await self._silence_store(fleet, watcher)
            delay_s = await self._change_configuration(fleet, "f1")
            self.assertLess(delay_s, CONFIGURATION_LIMIT_S)

    async def _silence_store(self, fleet: LocalFleet, name: str) -> None:
        """Let calls of a daemon to the store hang; return when its watch has just begun to."""
        pool = fleet.daemons[name].pool
        send = pool.exchange
        watch_hangs = anyio.Event()

        @asynccontextmanager
        async def exchange(
            address: str, method: str, target: str, *arguments: Any, **options: Any
        ) -> AsyncIterator[Any]:
            if address == fleet.store.address:
                if target.startswith("/objects/config?watch"):
                    watch_hangs.set()
                await anyio.sleep_forever()
            async with send(address, method, target, *arguments, **options) as opened:
                yield opened

        pool.exchange = exchange  # type: ignore[method-assign]
        await watch_hangs.wait()
