"""Test views of the store's objects: order of changes, cut watches, peers that know more."""

import unittest

import anyio

from acaciarill.errors import Step, StoreError, StoreHistoryGoneError
from acaciarill.mirrors import Change, Mirror, MirrorFollower, Record


class FakeSource:
    """Answer listings and watches from scripts; a watch with an empty script waits for good."""

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
        answer = self.watches.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer  # type: ignore[return-value]


class MirrorTest(unittest.TestCase):
    """Never go back to an older state of an object."""

    def test_older_change_is_passed_over(self) -> None:
        mirror = Mirror("kind")
        mirror.replace(5, [Record("a", 5, "new")])
        mirror.apply(6, [Change(Record("a", 4, "old"))])
        self.assertEqual(mirror.records["a"].value, "new")

    def test_older_listing_is_refused(self) -> None:
        mirror = Mirror("kind")
        mirror.replace(9, [Record("a", 9, "new")])
        self.assertFalse(mirror.replace(7, []))
        self.assertIn("a", mirror.records)

    def test_removal_is_taken_once_and_told(self) -> None:
        mirror, told = Mirror("kind"), []
        mirror.replace(1, [Record("a", 1, None)])
        unsubscribe = mirror.subscribe(lambda: told.append(dict(mirror.records)))
        mirror.apply(3, [Change(Record("a", 3, None), deleted=True)])
        unsubscribe()
        mirror.apply(4, [Change(Record("b", 4, None))])
        self.assertEqual(told, [{}])

    def test_object_put_after_an_older_listing_was_made_is_kept(self) -> None:
        # A batch accepted here a moment ago is not in the view of the peer that is followed.
        mirror = Mirror("kind")
        mirror.replace(5, [Record("a", 5, None)])
        mirror.put(Record("b", 9, "own"))
        mirror.replace(7, [Record("a", 5, None)])
        self.assertIn("b", mirror.records)
        mirror.replace(10, [Record("a", 5, None)])
        self.assertNotIn("b", mirror.records)

    def test_changes_are_told_from_the_oldest_kept_on(self) -> None:
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

    def test_peer_gets_what_was_encoded(self) -> None:
        mirror = Mirror("kind")
        mirror.replace(2, [Record("a", 2, {"x": 1}, {"state": "done"})])
        self.assertEqual(Mirror.decode(mirror.encode()), list(mirror.records.values()))


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """List again wherever a watch may have missed something."""

    async def follow(self, source: FakeSource, mirror: Mirror, calls: int) -> None:
        follower = MirrorFollower(mirror, source, lambda: 0.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.fail_after(5):
                while len(source.calls) < calls:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    async def test_cut_watch_is_followed_by_a_listing(self) -> None:
        # platform_compact: a watch opened right after the cut hears of nothing until it ends.
        source = FakeSource()
        source.listings = [(1, []), (8, [Record("a", 5, "missed")])]
        source.watches = [StoreError("cut", step=Step.STORE)]
        mirror = Mirror("kind")
        await self.follow(source, mirror, 4)
        self.assertEqual(source.calls, ["list", "watch 1", "list", "watch 8"])
        self.assertEqual(mirror.records["a"].value, "missed")

    async def test_paused_follower_leaves_the_store_alone_and_lists_when_resumed(self) -> None:
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

    async def test_dropped_history_is_listed(self) -> None:
        source = FakeSource()
        source.listings = [(1, []), (8, [])]
        source.watches = [StoreHistoryGoneError("gone", step=Step.STORE)]
        await self.follow(source, Mirror("kind"), 4)
        self.assertEqual(source.calls, ["list", "watch 1", "list", "watch 8"])

    async def test_view_of_a_peer_goes_on_without_a_listing(self) -> None:
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

    def test_daemons_that_saw_the_same_changes_agree_on_the_newest(self) -> None:
        # Positions move with each answer of a watch, so comparing them fetched views for nothing.
        first, second = Mirror("kind"), Mirror("kind")
        for mirror, position in ((first, 40), (second, 90)):
            mirror.replace(3, [Record("a", 2, None)])
            mirror.apply(position, [Change(Record("a", 12, None))])
            mirror.apply(position + 5, [])
        self.assertEqual(first.newest, second.newest)
