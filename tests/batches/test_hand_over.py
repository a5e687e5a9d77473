"""Test a daemon that hands its batches over while the store fails."""

import unittest
from types import SimpleNamespace
from typing import Any

import orjson

from acaciarill.batches import BatchHead, BatchManager, BatchPorts, ResultLog
from acaciarill.batches._heads import part_key
from acaciarill.errors import Outcome, Step, StoreError
from acaciarill.fleet import Members
from acaciarill.mirrors import Mirror, Record
from tests.fakes.store import FakeStore

BATCHES = ("a", "b", "c")


class UnreadableStore(FakeStore):
    """Fail to read, but accept writes: an outage begins after the first head is written."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        raise StoreError("unavailable", step=Step.STORE, outcome=Outcome.NOT_RUN)


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """Own three batches, and stop."""

    def manager(self, store: FakeStore) -> BatchManager:
        def clock() -> float:
            return 100.0

        async def send_batch(owner: str, batch_id: str, *arguments: Any) -> None:
            self.sent.append((owner, batch_id))

        members = Members("f1", "a:1", "dc", "front", clock)
        members.record_ping("f2", "a:2", "dc", "front", True)
        ports: Any = BatchPorts(
            store,
            members,
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            send_batch,  # type: ignore[arg-type]
            SimpleNamespace(wall_clock=clock, clock=clock),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
        )
        return BatchManager("f1", Mirror("batches"), ports)

    async def hand_over(self, store: FakeStore) -> set[str]:
        """Return the owners of all batches after a hand-over."""
        self.sent: list[tuple[str, str]] = []
        manager = self.manager(store)
        for batch_id in BATCHES:
            head = BatchHead("c", "h", "/b", 100.0, 4, 1, "d", "f1")
            await store.put(part_key(batch_id, "d", 0), b'"{}"', 0)
            version = await store.put(f"batches/{batch_id}", head.encode(), 0)
            runner: Any = SimpleNamespace(
                stop=lambda: None,
                head=head,
                log=ResultLog(batch_id, store),
                texts=SimpleNamespace(encode=lambda items: b"[]"),
                submission=SimpleNamespace(items=()),
            )
            manager.runners[batch_id] = runner
            manager.mirror.put(Record(batch_id, version, orjson.loads(head.encode())))
            manager.runners[batch_id] = runner
        await manager.hand_over()
        heads = [orjson.loads(store.objects[f"batches/{batch_id}"][0]) for batch_id in BATCHES]
        return {head["owner"] for head in heads}

    async def test_batches_are_sent_to_their_next_owner(self) -> None:
        self.assertEqual(await self.hand_over(FakeStore()), {"f2"})
        self.assertEqual(self.sent, [("f2", batch_id) for batch_id in BATCHES])

    # Found by the review (REPORT-2): the error ended the process, and the other batches stayed.
    async def test_all_batches_are_handed_over_though_none_can_be_read(self) -> None:
        self.assertEqual(await self.hand_over(UnreadableStore()), {"f2"})
        self.assertEqual(self.sent, [])
