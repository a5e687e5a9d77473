"""Test acceptance: merge, conflict, lost answers, and that revisions never go back."""

import unittest

from acaciarill.config import ConfigCoordinator, ConfigStore, build_document
from acaciarill.errors import ConfigError, StoreConflictError, StoreError
from tests.fakes.store import FakeStore

SECTION = {"customers": [{"name": "acme"}]}
OTHER = {"customers": [{"name": "bravo"}]}


class AcceptanceTest(unittest.IsolatedAsyncioTestCase):
    """Apply changes through two stores' clients."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.first, self.second = ConfigStore(self.store), ConfigStore(self.store)

    async def test_different_sections_merge(self) -> None:
        head, _ = await self.first.read_head()
        await self.first.apply({"almaty": SECTION}, head.digests)
        accepted = await self.second.apply({"cwmdu": OTHER}, head.digests)
        document = await self.first.read_document()
        self.assertEqual(accepted.revision, 2)
        self.assertEqual(set(document.customers), {"acme", "bravo"})

    async def test_the_same_section_conflicts(self) -> None:
        head, _ = await self.first.read_head()
        await self.first.apply({"almaty": SECTION}, head.digests)
        with self.assertRaises(StoreConflictError):
            await self.second.apply({"almaty": OTHER}, head.digests)

    async def test_a_lost_answer_is_settled_and_a_resend_changes_nothing(self) -> None:
        await self.first.apply({"almaty": SECTION})
        self.store.lose_next_responses = 1
        with self.assertRaises(StoreError):  # the section was written, the head was not
            await self.first.apply({"almaty": OTHER}, change_id="c1")
        accepted = await self.first.apply({"almaty": OTHER}, change_id="c1")
        again = await self.first.apply({"almaty": OTHER}, change_id="c1")
        self.assertEqual(accepted.revision, again.revision)

    async def test_a_lost_answer_of_the_head_is_found_by_change_id(self) -> None:
        await self.first.apply({"almaty": SECTION})
        await self.first.apply({"almaty": OTHER})
        self.store.lose_next_responses = 1  # the section is there already: only the head is written
        accepted = await self.first.apply({"almaty": SECTION}, change_id="c2")
        self.assertEqual(accepted.revision, 3)

    async def test_a_faulty_merge_changes_nothing(self) -> None:
        await self.first.apply({"almaty": SECTION})
        with self.assertRaises(ConfigError) as caught:
            await self.first.apply({"cwmdu": SECTION})
        self.assertIn("defined twice", str(caught.exception.faults[0]))
        head, _ = await self.first.read_head()
        self.assertEqual(head.revision, 1)


class CoordinatorTest(unittest.TestCase):
    """Offer documents in any order."""

    def test_revisions_never_go_back(self) -> None:
        config = ConfigCoordinator()
        self.assertTrue(config.offer_document(build_document(5, {"almaty": SECTION})))
        self.assertFalse(config.offer_document(build_document(4, {})))
        self.assertFalse(config.offer_sections(5, {}))
        self.assertEqual(config.document.revision, 5)

    def test_withdrawn_keys_only_grow(self) -> None:
        config = ConfigCoordinator()
        config.offer_withdrawn({"a"})
        self.assertFalse(config.offer_withdrawn(set()))
        config.offer_withdrawn({"b"})
        self.assertEqual(config.withdrawn, {"a", "b"})
