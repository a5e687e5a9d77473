"""Test how changes are merged, rejected and retried, and that revisions only increase."""

import unittest

from acaciarill.config import ConfigCoordinator, ConfigStore, build_document
from acaciarill.errors import ConfigError, StoreConflictError, StoreError
from tests.fakes.store import FakeStore

SECTION = {"customers": [{"name": "acme"}]}
OTHER_SECTION = {"customers": [{"name": "bravo"}]}


class AcceptanceTest(unittest.IsolatedAsyncioTestCase):
    """Apply changes through two clients of one store."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.first, self.second = ConfigStore(self.store), ConfigStore(self.store)

    async def test_changes_of_different_sections_are_merged(self) -> None:
        head, _ = await self.first.read_head()
        await self.first.apply({"almaty": SECTION}, head.digests)
        accepted = await self.second.apply({"cwmdu": OTHER_SECTION}, head.digests)
        document = await self.first.read_document()
        self.assertEqual(accepted.revision, 2)
        self.assertEqual(set(document.customers), {"acme", "bravo"})

    async def test_concurrent_changes_of_one_section_conflict(self) -> None:
        head, _ = await self.first.read_head()
        await self.first.apply({"almaty": SECTION}, head.digests)
        with self.assertRaises(StoreConflictError):
            await self.second.apply({"almaty": OTHER_SECTION}, head.digests)

    async def test_repeated_change_is_applied_once_after_lost_response(self) -> None:
        await self.first.apply({"almaty": SECTION})
        self.store.lose_next_responses = 1
        with self.assertRaises(StoreError):  # the section is written, the head is not
            await self.first.apply({"almaty": OTHER_SECTION}, change_id="c1")
        accepted = await self.first.apply({"almaty": OTHER_SECTION}, change_id="c1")
        repeated = await self.first.apply({"almaty": OTHER_SECTION}, change_id="c1")
        self.assertEqual(accepted.revision, repeated.revision)

    async def test_lost_response_to_head_write_is_resolved_by_change_id(self) -> None:
        await self.first.apply({"almaty": SECTION})
        await self.first.apply({"almaty": OTHER_SECTION})
        self.store.lose_next_responses = (
            1  # the section is stored already, so this is the head's write
        )
        accepted = await self.first.apply({"almaty": SECTION}, change_id="c2")
        self.assertEqual(accepted.revision, 3)

    async def test_invalid_merged_document_is_not_accepted(self) -> None:
        await self.first.apply({"almaty": SECTION})
        with self.assertRaises(ConfigError) as caught:
            await self.first.apply({"cwmdu": SECTION})
        self.assertIn("defined twice", str(caught.exception.faults[0]))
        head, _ = await self.first.read_head()
        self.assertEqual(head.revision, 1)


class CoordinatorTest(unittest.TestCase):
    """Update the configuration of a process in any order."""

    def test_older_revisions_are_ignored(self) -> None:
        config = ConfigCoordinator()
        self.assertTrue(config.update_document(build_document(5, {"almaty": SECTION})))
        self.assertFalse(config.update_document(build_document(4, {})))
        self.assertFalse(config.update_sections(5, {}))
        self.assertEqual(config.document.revision, 5)

    def test_withdrawn_keys_are_only_added(self) -> None:
        config = ConfigCoordinator()
        config.merge_withdrawn_keys({"a"})
        self.assertFalse(config.merge_withdrawn_keys(set()))
        config.merge_withdrawn_keys({"b"})
        self.assertEqual(config.withdrawn_key_ids, {"a", "b"})
