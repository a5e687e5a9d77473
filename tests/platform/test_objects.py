"""Test that an unreadable object costs only itself, whichever call returns it."""

import unittest

import orjson

from acaciarill.errors import StoreError
from acaciarill.mirrors import DECODE_ERRORS
from acaciarill.platform._objects import decode_changes, decode_listing, decode_object
from acaciarill.platform._store import PlatformStore
from tests.fakes.event_loop import PlainLoopTestCase

DEEP = b"[" * 200 + b"]" * 200
UNREADABLE = (b"[" * 5000 + b"]" * 5000, DEEP, b"1e400", b"NaN", b'"\\ud800"', b'"\xff"')


def encoded(name: str, revision: int, spec: bytes = b'{"a":1}') -> bytes:
    return b'{"metadata":{"name":"%s","rev":%d},"spec":%s,"status":null}' % (
        name.encode(),
        revision,
        spec,
    )


class ObjectsTest(unittest.TestCase):
    """Decode responses of the store that contain unreadable objects."""

    # Other operators' report: one odd entry among those of the replicas, and the list was followed
    # no more for as long as the entry was there.
    def test_unreadable_object_of_a_listing_is_named_and_the_others_are_decoded(self) -> None:
        for spec in UNREADABLE:
            with self.subTest(spec[:12]):
                items = b",".join([encoded("a", 3), encoded("odd", 4, spec), encoded("c", 5)])
                listing = decode_listing(b'{"items":[%s],"has_more":true,"current_rev":9}' % items)
                self.assertEqual((listing.position, listing.has_more), (9, True))
                self.assertEqual([r.name for r in listing.records], ["a", "odd", "c"])
                self.assertEqual([bool(r.fault) for r in listing.records], [False, True, False])
                self.assertEqual(listing.records[2].value, {"a": 1})

    def test_unreadable_object_of_a_watch_is_named_and_the_others_are_decoded(self) -> None:
        for spec in UNREADABLE:
            with self.subTest(spec[:12]):
                events = b",".join(
                    b'{"object":%s,"deleted":%s}' % (item, deleted)
                    for item, deleted in (
                        (encoded("a", 3), b"false"),
                        (encoded("odd", 4, spec), b"false"),
                        (encoded("c", 5), b"true"),
                    )
                )
                position, changes = decode_changes(b'{"events":[%s],"current_rev":9}' % events)
                self.assertEqual(position, 9)
                self.assertEqual(
                    [(c.record.name, bool(c.record.fault), c.deleted) for c in changes],
                    [("a", False, False), ("odd", True, False), ("c", False, True)],
                )

    def test_object_without_a_readable_name_is_left_out(self) -> None:
        items = [b"7", b"[]", b"{}", b'{"metadata":{"name":1,"rev":2}}', encoded("c", 5)]
        listing = decode_listing(
            b'{"items":[%s],"has_more":false,"current_rev":9}' % b",".join(items)
        )
        self.assertEqual([record.name for record in listing.records], ["c"])

    def test_malformed_page_raises_a_decode_error(self) -> None:
        for body in (
            b"",
            b"[]",
            b"7",
            b"{}",
            b'{"items":7,"current_rev":1}',
            b'{"items":[]}',
            b'{"items":[1],"has_more":true,"current_rev":1}',
            b'{"items":[],"current_rev":1e400}',
        ):
            with self.subTest(body), self.assertRaises(DECODE_ERRORS):
                decode_listing(body)
            with self.subTest(body), self.assertRaises(DECODE_ERRORS):
                decode_changes(body)

    def test_single_unreadable_object_has_a_fault(self) -> None:
        self.assertTrue(decode_object(encoded("odd", 4, DEEP)).fault)


class StoreCallTest(PlainLoopTestCase):
    """Call a store whose responses are malformed."""

    async def test_malformed_response_is_a_store_error(self) -> None:
        class Channel:
            body = b""

            async def call(self, *arguments: object, **options: object) -> tuple[int, bytes]:
                return 200, self.body

        channel = Channel()
        store = PlatformStore(channel)  # type: ignore[arg-type]
        for body in (b"", b"[]", b"7", b"{}", encoded("odd", 4, DEEP)):
            channel.body = body
            for call in (
                store.get("k/n"),
                store.list_kind("k"),
                store.watch_kind("k", 1, 1.0),
                store.list_objects_after("k", "k/a"),
            ):
                with self.subTest(body[:20]), self.assertRaises(StoreError):
                    await call

    async def test_object_can_be_read_again_as_it_was_written(self) -> None:
        class Channel:
            async def call(self, *arguments: object) -> tuple[int, bytes]:
                return 200, encoded("n", 4, b'{"text":"x"}')

        stored = await PlatformStore(Channel()).get("k/n")  # type: ignore[arg-type]
        assert stored is not None
        self.assertEqual((orjson.loads(stored[0]), stored[1]), ({"text": "x"}, 4))
