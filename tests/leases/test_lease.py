"""Test the lease on a virtual clock."""

import unittest

from acaciarill.errors import StoreError
from acaciarill.leases import LeaseHolder, hold_off_s
from acaciarill.leases.const import LEASE_MARGIN_S, LEASE_TTL_S
from tests.fakes.store import FakeStore


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """Take, renew, lose and take over."""

    def setUp(self) -> None:
        self.now = 100.0
        self.store = FakeStore()
        self.first = self.holder("first")
        self.second = self.holder("second")

    def holder(self, name: str) -> LeaseHolder:
        return LeaseHolder("orders/dc", name, self.store, lambda: self.now)

    async def test_validity_counts_from_before_the_send(self) -> None:
        await self.first.renew_or_acquire()
        self.now += LEASE_TTL_S - LEASE_MARGIN_S - 0.01
        self.assertTrue(self.first.is_held())
        self.now += 0.02
        self.assertFalse(self.first.is_held())

    async def test_successor_waits_for_the_hold_off_from_what_it_saw(self) -> None:
        await self.first.renew_or_acquire()
        await self.second.renew_or_acquire()
        self.now += hold_off_s(LEASE_TTL_S) - 0.01
        await self.second.renew_or_acquire()
        self.assertFalse(self.second.is_held())
        self.now += 0.02
        await self.second.renew_or_acquire()
        self.assertTrue(self.second.is_held())
        self.assertEqual(self.second.lease.epoch, 2)

    async def test_renewal_restarts_the_hold_off(self) -> None:
        await self.first.renew_or_acquire()
        await self.second.renew_or_acquire()
        for _ in range(6):
            self.now += 1.0
            await self.first.renew_or_acquire()
            await self.second.renew_or_acquire()
        self.assertTrue(self.first.is_held())
        self.assertFalse(self.second.is_held())

    async def test_lost_answer_is_settled_by_the_nonce(self) -> None:
        self.store.lose_next = 1
        await self.first.renew_or_acquire()
        self.assertTrue(self.first.is_held())

    async def test_lost_renewal_keeps_the_old_end(self) -> None:
        await self.first.renew_or_acquire()
        end = self.first.lease.valid_until
        self.store.down = True
        self.now += 1.0
        with self.assertRaises(StoreError):
            await self.first.renew_or_acquire()
        self.assertEqual(self.first.lease.valid_until, end)

    async def test_release_lets_the_next_take_at_once(self) -> None:
        await self.first.renew_or_acquire()
        await self.first.release()
        await self.second.renew_or_acquire()
        self.assertTrue(self.second.is_held())

    async def test_an_epoch_is_void_after_the_lease_was_lost_and_taken_again(self) -> None:
        await self.first.renew_or_acquire()
        old = self.first.lease.epoch
        await self.second.renew_or_acquire()
        self.now += hold_off_s(LEASE_TTL_S)
        await self.second.renew_or_acquire()
        await self.second.release()
        await self.first.renew_or_acquire()
        await self.first.renew_or_acquire()
        self.assertTrue(self.first.is_held())
        self.assertFalse(self.first.is_held(old))

    async def test_restarted_process_of_the_same_host_takes_over_at_once(self) -> None:
        await self.first.renew_or_acquire()
        restarted = self.holder("first")
        await restarted.renew_or_acquire()
        self.assertTrue(restarted.is_held())
        self.assertEqual(restarted.lease.epoch, 2)
        await self.first.renew_or_acquire()
        self.assertFalse(self.first.is_held())
