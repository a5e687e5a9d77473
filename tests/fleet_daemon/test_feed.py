"""Test that daemons that serve clients follow a peer's mirrors instead of the store."""

import unittest
from typing import Any
from unittest import mock

import anyio

from acaciarill.errors import AcaciarillError, Outcome, PeerError, Step, StoreError
from acaciarill.fleet import Member, Members
from acaciarill.fleet_daemon._feed import MirrorFeed, MirrorServer
from acaciarill.fleet_daemon.const import FEED_BACKOFF_S, FEED_STALE_AFTER_S, ROLE_KEEPER
from acaciarill.mirrors import Change, Mirror, MirrorFollower, Record

KINDS = ("daemons", "config")


class FakeSource:
    """Provide the store's objects; a watch never returns."""

    def __init__(self) -> None:
        self.position = 1
        self.records: list[Record] = []
        self.calls = 0
        self.error: StoreError | None = None

    async def list_kind(self, kind: str) -> tuple[int, list[Record]]:
        self.calls += 1
        if self.error is not None:
            raise self.error
        return self.position, list(self.records)

    async def watch_kind(self, kind: str, position: int, wait_s: float) -> tuple[int, list[Change]]:
        self.calls += 1
        await anyio.sleep_forever()
        raise AssertionError("not reached")


class FakeLinks:
    """Deliver calls to the mirror servers of other daemons within this process."""

    def __init__(self) -> None:
        self.servers: dict[str, MirrorServer] = {}
        self.unresponsive: set[str] = set()
        self.called_addresses: list[str] = []

    async def call(self, address: str, timeout_s: float, watch_views: Any) -> Any:
        self.called_addresses.append(address)
        await anyio.sleep(0)
        if address in self.unresponsive:
            raise PeerError("no response in time", step=Step.FORWARD, peer=address)
        response = await self.servers[address].on_watch_views(watch_views)

        class Frame:
            views_changed = response["views_changed"]

        return Frame


class MirrorFeedTest(unittest.IsolatedAsyncioTestCase):
    """Follow one of two watchers, of which one is in the same data centre."""

    def setUp(self) -> None:
        poll_wait = mock.patch("acaciarill.fleet_daemon._feed.FEED_POLL_WAIT_S", 0.01)
        poll_wait.start()
        self.addCleanup(poll_wait.stop)
        self.now = 100.0
        self.source = FakeSource()
        self.links = FakeLinks()
        self.members = Members("f1", "f1", "a", "front", lambda: self.now)
        self.keepers: dict[str, dict[str, MirrorFollower]] = {}
        registered = []
        for name, data_centre in (("ka", "a"), ("kb", "b")):
            followers = self._followers()
            for follower in followers.values():
                follower.mirror.replace(5, [Record("x", 3, "old")])
            self.keepers[name] = followers
            self.links.servers[name] = MirrorServer(followers, lambda: self.now)
            registered.append(Member(name, name, data_centre, ROLE_KEEPER, True))
        self.members.update_registered(registered)
        self.followers = self._followers()
        self.feed = MirrorFeed(
            self.members,
            self.links,  # type: ignore[arg-type]
            self.followers,
            lambda: self.now,
        )

    def _followers(self) -> dict[str, MirrorFollower]:
        return {kind: MirrorFollower(Mirror(kind), self.source, lambda: self.now) for kind in KINDS}

    async def follow_once(self) -> None:
        """Do one iteration of `MirrorFeed.run`."""
        watcher = self.feed.choose_watcher()
        assert watcher is not None
        try:
            await self.feed._receive_changes(watcher)
        except PeerError as error:
            self.feed._back_off(watcher.name, error)

    def config(self) -> Mirror:
        return self.followers["config"].mirror

    async def test_watcher_of_the_same_data_centre_is_preferred(self) -> None:
        await self.follow_once()
        self.assertEqual(self.links.called_addresses, ["ka"])
        self.assertEqual(self.config().records["x"].value, "old")
        self.assertTrue(all(follower.paused for follower in self.followers.values()))
        self.assertEqual(self.source.calls, 0)

    async def test_loaded_mirror_receives_only_changes(self) -> None:
        await self.follow_once()
        self.keepers["ka"]["config"].mirror.apply(9, [Change(Record("x", 9, "new"))])
        before = self.config().last_change_position
        update = self.links.servers["ka"]._encode_changes("config", before)
        self.assertIsNone(update.records)
        await self.follow_once()
        self.assertEqual(self.config().records["x"].value, "new")
        self.assertEqual(self.config().position, 9)

    async def test_change_ends_a_waiting_call(self) -> None:
        await self.follow_once()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follow_once)
            await anyio.sleep(0.01)
            self.keepers["ka"]["config"].mirror.apply(9, [Change(Record("x", 9, None), True)])
        self.assertEqual(self.config().records, {})

    async def test_position_older_than_the_history_receives_all_records(self) -> None:
        await self.follow_once()
        mirror = self.keepers["ka"]["config"].mirror
        for version in range(10, 200):
            mirror.apply(version, [Change(Record("x", version, version))])
        mirror.apply(200, [Change(Record("y", 200, None))])
        self.assertIsNone(mirror.changes_after(self.config().position))
        await self.follow_once()
        self.assertEqual(self.config().records["x"].value, 199)
        self.assertIn("y", self.config().records)

    async def test_unresponsive_watcher_is_replaced_and_retried_after_the_backoff(self) -> None:
        await self.follow_once()
        self.links.unresponsive = {"ka"}
        await self.follow_once()
        await self.follow_once()
        self.assertEqual(self.feed.watcher, "kb")
        self.links.unresponsive = set()
        self.now += FEED_BACKOFF_S
        await self.follow_once()
        self.assertEqual(self.feed.watcher, "ka")

    async def test_backoff_of_a_lost_watcher_grows(self) -> None:
        # The entry of a lost host stays registered in the store.
        self.links.unresponsive = {"ka"}
        call_times = []
        for _ in range(120):
            if self.feed.choose_watcher() is self.members.by_name["ka"]:
                call_times.append(self.now)
            await self.follow_once()
            self.now += 0.5
        self.assertEqual(self.feed.watcher, "kb")
        self.assertLessEqual(len(call_times), 5)

    async def test_current_watcher_is_kept_while_another_is_unresponsive(self) -> None:
        self.members.by_name["kb"].data_centre = "a"
        first = self.feed.choose_watcher()
        assert first is not None
        self.links.unresponsive = {first.name}
        await self.follow_once()
        await self.follow_once()
        self.links.called_addresses.clear()
        for _ in range(20):
            self.now += FEED_BACKOFF_S
            await self.follow_once()
        self.assertNotIn(first.name, self.links.called_addresses)

    async def test_watcher_with_outdated_mirrors_refuses(self) -> None:
        follower = self.keepers["ka"]["config"]
        follower.set_following(False)
        await self.follow_once()  # succeeds: a lost watch is reopened soon
        self.now += FEED_STALE_AFTER_S + 0.1
        with self.assertRaises(PeerError) as caught:
            await self.feed._receive_changes(self.members.by_name["ka"])
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)

    async def test_store_is_followed_while_no_watcher_is_usable(self) -> None:
        self.source.records = [Record("x", 7, "from the store")]
        self.source.position = 8
        self.links.unresponsive = {"ka", "kb"}
        async with anyio.create_task_group() as tasks:
            for follower in self.followers.values():
                tasks.start_soon(follower.run)
            tasks.start_soon(self.feed.run)
            with anyio.fail_after(5):
                while not self.config().loaded:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            self.assertEqual(self.config().records["x"].value, "from the store")
            self.links.unresponsive = set()
            self.now += FEED_BACKOFF_S
            with anyio.fail_after(5):
                while self.feed.watcher is None:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            self.assertTrue(self.followers["config"].paused)
            tasks.cancel_scope.cancel()

    async def test_time_of_the_last_store_outage_is_passed_on(self) -> None:
        # Upstreams whose entries expired during an outage get a longer grace period, so daemons
        # that follow a watcher must know when its last outage was.
        follower = self.keepers["ka"]["config"]
        follower.set_following(False)
        self.now += 1.0
        follower.set_following(True)
        self.now += 2.0
        await self.follow_once()
        self.assertAlmostEqual(self.followers["config"].last_outage_at() or 0.0, 101.0)

    async def test_mirror_that_the_watcher_fails_to_follow_does_not_count_as_followed(self) -> None:
        # It may miss changes, so upstreams that vanish next get the grace period of an outage.
        self.keepers["ka"]["config"].set_following(False)
        await self.follow_once()
        self.assertFalse(self.followers["config"].is_following)
        self.keepers["ka"]["config"].set_following(True)
        await self.follow_once()
        self.assertTrue(self.followers["config"].is_following)

    async def test_mirror_that_is_not_loaded_is_refused(self) -> None:
        self.links.servers["ka"] = MirrorServer(self._followers(), lambda: self.now)
        with self.assertRaises(AcaciarillError):
            await self.feed._receive_changes(self.members.by_name["ka"])
