"""Test that builds that run side by side read what the others store and send.

The encoded texts are what the build 4485511 wrote; they stay as they are.
"""

import unittest
from typing import Any

import orjson

from acaciarill.batches import BatchHead, Result
from acaciarill.batches._model import Item
from acaciarill.batches._texts import BatchTexts, TextCache
from acaciarill.leases import LeaseHolder, LeaseRecord, takeover_delay_s
from acaciarill.mirrors import Mirror, Record
from acaciarill.peers import messages
from acaciarill.peers._codec import decode, encode
from acaciarill.usage._sealing import SealedWindow
from tests.fakes.store import FakeStore

LEASE = b'{"holder":"front-1","epoch":3,"nonce":"ab12","ttl_s":2.0,"released":false}'
RELEASED_LEASE = b'{"holder":"front-1","epoch":3,"nonce":"ab12","ttl_s":4.0,"released":true}'
HEAD = (
    b'{"customer":"c","host":"h","path":"/b","submitted_at":1.5,"total":4,"parts":1,'
    b'"digest":"d1","owner":"f1","epoch":1,"ended":false,"configuration":0}'
)
SEGMENT = b'[["i1","completed","e1\\ne2",[1,2],"stamp"],["i2","failed","",[],null]]'
TEXTS = b'[["i1",["e1","e2"],2,[1],"v1"]]'
SEALED_WINDOW = (
    b'{"window":5,"totals":{"c":[1,2]},"corrections":{"4":{"c":[1,0]}},'
    b'"covered":{"s":{"4":{"c":[1,0]}}}}'
)
RELAYED_HEAD = bytes.fromhex(
    "080001000000070c000c080001000000c80f00020c000000010b000100000001610b00020000000162000000"
)
RELAYED_REQUEST = bytes.fromhex(
    "080001000000070c002d0b000100000001640b000200000001750b0003000000016c0b000400000001720b00"
    "0500000004504f53540b0006000000012f0f00070c000000000b000800000001780000"
)
UNKNOWN_MEMBER = bytes.fromhex("0b03e800000001780b03e9000000017900")
"""Two members that no build has, and the end of a struct."""


def with_another_field(stored: bytes) -> bytes:
    return orjson.dumps(orjson.loads(stored) | {"added_later": [1]})


class StoredFormsTest(unittest.TestCase):
    """Read what the build before wrote, and write what it reads."""

    def test_records_are_the_same_as_before(self) -> None:
        for stored, record in (
            (LEASE, LeaseRecord("front-1", 3, "ab12", 2.0)),
            (RELEASED_LEASE, LeaseRecord("front-1", 3, "ab12", released=True)),
        ):
            self.assertEqual((LeaseRecord.decode(stored), record.encode()), (record, stored))
        head = BatchHead("c", "h", "/b", 1.5, 4, 1, "d1", "f1")
        self.assertEqual((BatchHead.from_value(orjson.loads(HEAD)), head.encode()), (head, HEAD))
        results = [Result("i1", "completed", "e1\ne2", (1, 2), "stamp"), Result("i2", "failed")]
        self.assertEqual([Result.from_row(row) for row in orjson.loads(SEGMENT)], results)
        self.assertEqual(orjson.dumps([result.row() for result in results]), SEGMENT)
        sealed = SealedWindow.decode(SEALED_WINDOW)
        self.assertEqual(orjson.loads(sealed.encode()), orjson.loads(SEALED_WINDOW))

    def test_texts_are_the_same_as_before(self) -> None:
        item = Item("i1", "/b/i1", (), b"x", 10, "g")
        texts = BatchTexts(TextCache(), "b1", "c")
        self.assertEqual(texts.merge_encoded([item], TEXTS), {"i1"})
        self.assertEqual(texts.encode([item]), TEXTS)

    def test_rows_of_mirrors_are_the_same_as_before(self) -> None:
        mirror: Any = Mirror("kind")
        mirror.put(Record("n", 3, {"a": 1}, {"s": 2}))
        self.assertEqual(mirror.encode(), b'[["n",3,{"a":1},{"s":2}]]')
        self.assertEqual(Mirror.decode(mirror.encode()), [Record("n", 3, {"a": 1}, {"s": 2})])

    def test_messages_are_the_same_as_before(self) -> None:
        head = messages.ForwardHead(status=200, headers=[messages.Header(name=b"a", value=b"b")])
        request = messages.Relay(
            daemon="d",
            upstream="u",
            lifetime="l",
            request_id="r",
            method="POST",
            target="/",
            headers=[],
            body=b"x",
        )
        self.assertEqual(encode(messages.Frame(call_id=7, forward_head=head)), RELAYED_HEAD)
        self.assertEqual(encode(messages.Frame(call_id=7, relay=request)), RELAYED_REQUEST)
        self.assertEqual(decode(messages.Frame, RELAYED_HEAD).forward_head.status, 200)
        self.assertEqual(decode(messages.Frame, RELAYED_REQUEST).relay.request_id, "r")

    # A build that adds a field ended each read of the record at the others in a TypeError, so that
    # nobody else renewed the lease, or saw the batch.
    def test_fields_of_a_later_build_are_left_out(self) -> None:
        self.assertEqual(LeaseRecord.decode(with_another_field(LEASE)), LeaseRecord.decode(LEASE))
        head = BatchHead.from_value(orjson.loads(HEAD))
        self.assertEqual(BatchHead.from_value(orjson.loads(with_another_field(HEAD))), head)
        window = SealedWindow.decode(with_another_field(SEALED_WINDOW))
        self.assertEqual(window, SealedWindow.decode(SEALED_WINDOW))
        for frame in (RELAYED_HEAD, RELAYED_REQUEST):
            later = frame[:-1] + UNKNOWN_MEMBER
            self.assertEqual(encode(decode(messages.Frame, later)), frame)

    def test_a_missing_field_is_an_error(self) -> None:
        with self.assertRaises(TypeError):
            BatchHead.from_value({"customer": "c"})


class LeaseOfAnotherBuildTest(unittest.IsolatedAsyncioTestCase):
    """Take a lease over from a daemon of another build."""

    async def test_lease_of_a_later_build_is_taken_over(self) -> None:
        for stored in (LEASE, with_another_field(LEASE)):
            clock = [0.0]
            store = FakeStore()
            await store.put("lease/control", stored, 0)
            holder = LeaseHolder(
                "control", "front-2", store, lambda clock=clock: clock[0], ttl_s=2.0
            )
            await holder.renew_or_acquire()
            self.assertFalse(holder.is_held())
            clock[0] += takeover_delay_s(2.0) + 0.1
            await holder.renew_or_acquire()
            self.assertTrue(holder.is_held())
            self.assertEqual(holder.lease.epoch, 4)
