"""Test the order of changes, the recovery of watches, and mirrors received from peers."""

import unittest

import anyio

from acaciarill.errors import PeerError, Step, StoreError, StoreHistoryGoneError
from acaciarill.mirrors import Change, Mirror, MirrorFollower, Record


class FakeSource:
    """Return scripted listings and watch results; a watch without a result waits forever."""

    def __init__(self) -> None:
        self.listings: list[tuple[int, list[Record]]] = []
        self.watches: list[object] = []
        self.calls: list[str] = []

    async def list_kind(self, kind: str) -> tuple[int, list[Record]]:
        self.calls.append("list")
        return self.listings.pop(0) if len(self.listings) > 1 else self.listings[0]

    async def watch_kind(self, kind: str, position: int, wait_s: float) -> tuple[int, list[Change]]:
        self.calls.append(f"watch {position}")
        if not self.watches:
            await anyio.sleep_forever()
        response = self.watches.pop(0)
        if isinstance(response, Exception):
            raise response
        return response  # type: ignore[return-value]


class MirrorTest(unittest.TestCase):
    """Apply listings, changes and single objects in different orders."""

    def test_older_change_is_ignored(self) -> None:
        mirror = Mirror("kind")
        mirror.replace(5, [Record("a", 5, "new")])
        mirror.apply(6, [Change(Record("a", 4, "old"))])
        self.assertEqual(mirror.records["a"].value, "new")

    def test_older_listing_is_rejected(self) -> None:
        mirror = Mirror("kind")
        mirror.replace(9, [Record("a", 9, "new")])
        self.assertFalse(mirror.replace(7, []))
        self.assertIn("a", mirror.records)

    def test_subscriber_is_notified_of_deletion_until_it_unsubscribes(self) -> None:
        mirror, notifications = Mirror("kind"), []
        mirror.replace(1, [Record("a", 1, None)])
        unsubscribe = mirror.subscribe(lambda: notifications.append(dict(mirror.records)))
        mirror.apply(3, [Change(Record("a", 3, None), deleted=True)])
        unsubscribe()
        mirror.apply(4, [Change(Record("b", 4, None))])
        self.assertEqual(notifications, [{}])

    def test_object_put_after_the_listing_was_made_is_retained(self) -> None:
        # A batch that this daemon just accepted is not yet in the mirror of the peer it follows.
        mirror = Mirror("kind")
        mirror.replace(5, [Record("a", 5, None)])
        mirror.put(Record("b", 9, "own"))
        mirror.replace(7, [Record("a", 5, None)])
        self.assertIn("b", mirror.records)
        mirror.replace(10, [Record("a", 5, None)])
        self.assertNotIn("b", mirror.records)

    def test_changes_after_returns_history_or_none(self) -> None:
        mirror = Mirror("kind")
        mirror.replace(5, [])
        first, second = Change(Record("a", 6, None)), Change(Record("a", 8, None), deleted=True)
        mirror.apply(7, [first])
        mirror.apply(8, [second])
        self.assertEqual(mirror.changes_after(5), [first, second])
        self.assertEqual(mirror.changes_after(7), [second])
        self.assertIsNone(mirror.changes_after(4))
        decoded = Mirror.decode_changes(Mirror.encode_changes([first, second]))
        self.assertEqual(decoded, [first, second])

    def test_encoded_records_decode_unchanged(self) -> None:
        mirror = Mirror("kind")
        mirror.replace(2, [Record("a", 2, {"x": 1}, {"state": "done"})])
        self.assertEqual(Mirror.decode(mirror.encode()), list(mirror.records.values()))


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """List again whenever a watch may have missed changes."""

    async def follow(self, source: FakeSource, mirror: Mirror, calls: int) -> None:
        follower = MirrorFollower(mirror, source, lambda: 0.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.fail_after(5):
                while len(source.calls) < calls:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    async def test_follower_lists_after_failed_watch(self) -> None:
        # After a connection is cut during compaction of the store, a watch that is reopened at once
        # returns no changes until it times out.
        source = FakeSource()
        source.listings = [(1, []), (8, [Record("a", 5, "missed")])]
        source.watches = [StoreError("cut", step=Step.STORE)]
        mirror = Mirror("kind")
        await self.follow(source, mirror, 4)
        self.assertEqual(source.calls, ["list", "watch 1", "list", "watch 8"])
        self.assertEqual(mirror.records["a"].value, "missed")

    async def test_paused_follower_makes_no_calls_and_lists_after_resume(self) -> None:
        source = FakeSource()
        source.listings = [(1, []), (8, [Record("a", 5, "missed")])]
        mirror = Mirror("kind")
        follower = MirrorFollower(mirror, source, lambda: 0.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            while len(source.calls) < 2:  # noqa: ASYNC110
                await anyio.sleep(0)
            follower.pause()
            await anyio.sleep(0.05)
            self.assertEqual(source.calls, ["list", "watch 1"])
            follower.resume()
            while len(source.calls) < 4:  # noqa: ASYNC110
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        self.assertEqual(source.calls[2:], ["list", "watch 8"])
        self.assertIn("a", mirror.records)

    async def test_follower_lists_after_history_is_gone(self) -> None:
        source = FakeSource()
        source.listings = [(1, []), (8, [])]
        source.watches = [StoreHistoryGoneError("gone", step=Step.STORE)]
        await self.follow(source, Mirror("kind"), 4)
        self.assertEqual(source.calls, ["list", "watch 1", "list", "watch 8"])

    async def test_watch_continues_from_mirror_of_peer_without_listing(self) -> None:
        source = FakeSource()
        source.listings = [(1, [])]
        mirror = Mirror("kind")
        follower = MirrorFollower(mirror, source, lambda: 0.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            while len(source.calls) < 2:  # noqa: ASYNC110
                await anyio.sleep(0)
            self.assertTrue(follower.replace_from_peer(9, [Record("a", 7, None)], 8))
            while len(source.calls) < 3:  # noqa: ASYNC110
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        self.assertEqual(source.calls, ["list", "watch 1", "watch 9"])
        self.assertEqual(mirror.newest, 8)

    def test_newest_is_equal_after_equal_changes(self) -> None:
        # Positions advance with every watch response, so comparing them caused needless fetches of
        # mirrors from peers.
        first, second = Mirror("kind"), Mirror("kind")
        for mirror, position in ((first, 40), (second, 90)):
            mirror.replace(3, [Record("a", 2, None)])
            mirror.apply(position, [Change(Record("a", 12, None))])
            mirror.apply(position + 5, [])
        self.assertEqual(first.newest, second.newest)


class UnreadableObjectTest(unittest.TestCase):
    """Mirror a kind in which one object cannot be decoded."""

    def setUp(self) -> None:
        def check(record: Record) -> None:
            if record.value == "odd":
                raise ValueError("odd")

        self.counted: list[str] = []
        self.mirror = Mirror("kind", check, self.counted.append)
        self.mirror.replace(5, [Record("a", 3, "x"), Record("b", 4, "odd")])

    def test_unreadable_object_is_missing_and_counted_once_for_each_version(self) -> None:
        self.assertEqual(list(self.mirror.records), ["a"])
        self.mirror.replace(6, [Record("a", 3, "x"), Record("b", 4, "odd")])
        self.assertEqual(self.counted, ["kind"])
        self.mirror.apply(7, [Change(Record("b", 7, None, fault="not JSON"))])
        self.assertEqual(self.counted, ["kind", "kind"])
        self.assertEqual(self.mirror.newest, 7)

    def test_object_that_becomes_unreadable_is_removed_here_and_at_followers(self) -> None:
        follower = Mirror("kind")
        follower.replace(self.mirror.position, Mirror.decode(self.mirror.encode()))
        self.mirror.apply(8, [Change(Record("a", 8, None, fault="not JSON"))])
        changes = self.mirror.changes_after(5)
        assert changes is not None
        follower.apply(8, Mirror.decode_changes(Mirror.encode_changes(changes)))
        self.assertEqual((self.mirror.records, follower.records), ({}, {}))

    def test_object_that_becomes_readable_is_mirrored(self) -> None:
        self.mirror.apply(9, [Change(Record("b", 9, "y"))])
        self.assertEqual(self.mirror.records["b"].value, "y")
        self.assertEqual(self.mirror.unreadable_versions, {})

    def test_versions_of_unreadable_objects_that_are_gone_are_forgotten(self) -> None:
        self.mirror.replace(9, [Record("a", 3, "x")])
        self.assertEqual(self.mirror.unreadable_versions, {})

    def test_malformed_mirror_of_a_peer_is_a_peer_error(self) -> None:
        for data in (b"", b"7", b"[7]", b"[[1]]", b"[" * 2000):
            with self.subTest(data[:10]), self.assertRaises(PeerError):
                Mirror.decode(data)
            with self.subTest(data[:10]), self.assertRaises(PeerError):
                Mirror.decode_changes(data)
