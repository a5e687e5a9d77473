"""Test acquiring, renewing and releasing a lease on a virtual clock."""

import unittest

from acaciarill.errors import StoreError
from acaciarill.leases import LeaseHolder, takeover_delay_s
from acaciarill.leases.const import LEASE_SAFETY_MARGIN_S, LEASE_TTL_S
from tests.fakes.store import FakeStore


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """Let two processes compete for one lease."""

    def setUp(self) -> None:
        self.now = 100.0
        self.store = FakeStore()
        self.first = self.holder("first")
        self.second = self.holder("second")

    def holder(self, name: str) -> LeaseHolder:
        return LeaseHolder("orders/dc", name, self.store, lambda: self.now)

    async def test_lease_expires_one_margin_before_its_ttl(self) -> None:
        await self.first.renew_or_acquire()
        self.now += LEASE_TTL_S - LEASE_SAFETY_MARGIN_S - 0.01
        self.assertTrue(self.first.is_held())
        self.now += 0.02
        self.assertFalse(self.first.is_held())

    async def test_successor_waits_for_the_takeover_delay(self) -> None:
        await self.first.renew_or_acquire()
        await self.second.renew_or_acquire()
        self.now += takeover_delay_s(LEASE_TTL_S) - 0.01
        await self.second.renew_or_acquire()
        self.assertFalse(self.second.is_held())
        self.now += 0.02
        await self.second.renew_or_acquire()
        self.assertTrue(self.second.is_held())
        self.assertEqual(self.second.lease.epoch, 2)

    async def test_renewal_restarts_the_takeover_delay(self) -> None:
        await self.first.renew_or_acquire()
        await self.second.renew_or_acquire()
        for _ in range(6):
            self.now += 1.0
            await self.first.renew_or_acquire()
            await self.second.renew_or_acquire()
        self.assertTrue(self.first.is_held())
        self.assertFalse(self.second.is_held())

    async def test_lost_response_is_resolved_by_the_nonce(self) -> None:
        self.store.lose_next_responses = 1
        await self.first.renew_or_acquire()
        self.assertTrue(self.first.is_held())

    async def test_failed_renewal_keeps_the_expiry(self) -> None:
        await self.first.renew_or_acquire()
        valid_until = self.first.lease.valid_until
        self.store.unavailable = True
        self.now += 1.0
        with self.assertRaises(StoreError):
            await self.first.renew_or_acquire()
        self.assertEqual(self.first.lease.valid_until, valid_until)

    async def test_successor_acquires_released_lease_at_once(self) -> None:
        await self.first.renew_or_acquire()
        await self.first.release()
        await self.second.renew_or_acquire()
        self.assertTrue(self.second.is_held())

    async def test_earlier_epoch_is_not_held_after_reacquisition(self) -> None:
        await self.first.renew_or_acquire()
        earlier_epoch = self.first.lease.epoch
        await self.second.renew_or_acquire()
        self.now += takeover_delay_s(LEASE_TTL_S)
        await self.second.renew_or_acquire()
        await self.second.release()
        await self.first.renew_or_acquire()
        await self.first.renew_or_acquire()
        self.assertTrue(self.first.is_held())
        self.assertFalse(self.first.is_held(earlier_epoch))

    async def test_restarted_process_of_the_same_host_acquires_at_once(self) -> None:
        await self.first.renew_or_acquire()
        restarted = self.holder("first")
        await restarted.renew_or_acquire()
        self.assertTrue(restarted.is_held())
        self.assertEqual(restarted.lease.epoch, 2)
        await self.first.renew_or_acquire()
        self.assertFalse(self.first.is_held())
