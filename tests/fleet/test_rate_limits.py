"""Test how daemons share the rate limit of an upstream, without a network."""

import random
import unittest
from bisect import bisect_right
from functools import partial

from acaciarill.errors import PeerError, Step, UpstreamError
from acaciarill.fleet import (
    UPSTREAM_LIMITED,
    Member,
    Members,
    Permit,
    RateLimit,
    RatePermits,
    Upstream,
    UpstreamState,
)
from acaciarill.fleet._rate_limits import RateBucket, effective_rate, issue_permit, open_bucket
from acaciarill.fleet.const import ISSUER_BACKOFF_S, MAX_PROMISED_WAIT_S, MIN_RATE

WINDOW_S = 4.0
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
"""Users' limit: in any window, 1.5 times what the limit allows and five requests more."""


def most_in_window(times: list[float]) -> int:
    """Return the most requests in any window."""
    ordered = sorted(times)
    return max(
        (bisect_right(ordered, at + WINDOW_S) - i for i, at in enumerate(ordered)), default=0
    )


def allowed(limit: float) -> float:
    return RATE_FACTOR * WINDOW_S * limit + EXTRA_REQUESTS


class IssuePermitTest(unittest.TestCase):
    """Issue permits from one bucket."""

    def test_permits_fall_due_at_the_rate(self) -> None:
        bucket = open_bucket(2.0, 100.0)
        waits_s = [issue_permit(bucket, 2.0, 100.0, 10.0).wait_s for _ in range(4)]
        self.assertEqual(waits_s, [0.0, 0.5, 1.0, 1.5])

    def test_permit_that_falls_due_too_late_is_rejected_and_not_used_up(self) -> None:
        bucket = RateBucket(100.5)
        permit = issue_permit(bucket, 2.0, 100.0, 0.0)
        self.assertEqual(permit, Permit(False, 1.0, 1.0))
        self.assertTrue(issue_permit(bucket, 2.0, 101.0, 0.0).granted)

    def test_rejected_requests_are_told_to_come_back_one_after_the_other(self) -> None:
        bucket = RateBucket(100.5)
        waits_s = [issue_permit(bucket, 2.0, 100.0, 0.25).wait_s for _ in range(3)]
        self.assertEqual(waits_s, [1.0, 1.5, 2.0])
        for _ in range(100):
            permit = issue_permit(bucket, 2.0, 100.0, 0.25)
        self.assertLessEqual(permit.wait_s, MAX_PROMISED_WAIT_S)
        self.assertEqual(permit.next_s, 1.0)

    def test_rate_of_zero_still_lets_a_request_find_the_end_of_the_limit(self) -> None:
        self.assertEqual(effective_rate(0.0, is_first=True), MIN_RATE)

    def test_any_demand_on_a_first_issuer_and_a_substitute_stays_within_the_limit(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            limit = rng.choice([0.5, 1.0, 1.9, 4.0, 17.0])
            first = open_bucket(effective_rate(limit, is_first=True), 0.0)
            substitute = open_bucket(effective_rate(limit, is_first=False), 0.0)
            now, times = 0.0, []
            while now < 20.0:
                now += rng.expovariate(limit * rng.choice([0.3, 2.0, 20.0]))
                is_first = rng.random() < 0.7
                permit = issue_permit(
                    first if is_first else substitute,
                    effective_rate(limit, is_first),
                    now,
                    rng.choice([0.0, 0.1, 0.5]),
                )
                if permit.granted:
                    times.append(now + permit.wait_s)
            with self.subTest(seed=seed, limit=limit):
                self.assertLessEqual(most_in_window(times), allowed(limit))


class SharedLimitTest(unittest.IsolatedAsyncioTestCase):
    """Let several daemons use one upstream; calls between them take no time."""

    DAEMONS = 6
    LIMIT = 2.0

    def setUp(self) -> None:
        self.now = 100.0
        self.unresponsive: set[str] = set()
        self.calls: list[tuple[str, str]] = []
        self.permits: dict[str, RatePermits] = {}
        self.states: dict[str, UpstreamState] = {}
        upstream = Upstream("u1", "life-1", "s", "10.0.0.1:1", "dc", 8)
        names = [f"f{i}" for i in range(self.DAEMONS)]
        for name in names:
            members = Members(name, name, "dc", "front", self.clock)
            members.update_registered([Member(n, n, "dc", "front", True) for n in names])
            self.permits[name] = RatePermits(
                members,
                self.caller(name),
                self.announce_lifted,
                partial(self.ping, name),
                self.clock,
            )
            self.states[name] = UpstreamState(upstream)
            self.states[name].record_rate_limit(self.LIMIT, self.now)
        self.order = self.permits["f0"].members.live_order("u1/life-1")

    def clock(self) -> float:
        return self.now

    def set_limit(self, limit: float) -> None:
        for state in self.states.values():
            state.record_rate_limit(limit, self.now)

    def ping(self, sender: str, name: str) -> None:
        """Let a daemon ping another, which tells both that the other is there."""
        if {sender, name} & self.unresponsive:
            self.permits[sender].members.record_ping_failure(name)
            return
        for receiver, source in ((sender, name), (name, sender)):
            self.permits[receiver].members.record_ping(source, source, "dc", "front", True)

    def caller(self, caller: str):  # type: ignore[no-untyped-def]
        async def call(issuer: str, key: str, limit: RateLimit, max_wait_s: float) -> Permit:
            self.calls.append((caller, issuer))
            if issuer in self.unresponsive or caller in self.unresponsive:
                raise PeerError("no response", step=Step.FORWARD, peer=issuer)
            return self.permits[issuer].issue(key, limit, max_wait_s)

        return call

    def announce_lifted(self, issuer: str, key: str) -> None:
        self.permits[issuer].record_lifted(key)

    async def try_send(self, name: str) -> bool:
        """Return whether a daemon may send a request now."""
        try:
            await self.permits[name].acquire(self.states[name], 0.0)
        except UpstreamError as error:
            self.assertEqual(error.code, UPSTREAM_LIMITED)
            self.assertGreater(error.retry_after_s or 0.0, 0.0)
            return False
        return True

    async def send_all(self, senders: list[str], duration_s: float) -> dict[str, list[float]]:
        """Let daemons send whatever is permitted; return the times of their requests."""
        times: dict[str, list[float]] = {name: [] for name in senders}
        end = self.now + duration_s
        while self.now < end:
            for name in senders:
                if await self.try_send(name):
                    times[name].append(self.now)
            self.now += 0.05
        return times

    async def test_one_daemon_gets_the_whole_rate_if_no_other_needs_it(self) -> None:
        times = await self.send_all(["f0"], 10.0)
        self.assertGreaterEqual(len(times["f0"]), 10.0 * self.LIMIT - 1)
        self.assertLessEqual(most_in_window(times["f0"]), allowed(self.LIMIT))

    async def test_all_daemons_together_keep_the_limit(self) -> None:
        times = await self.send_all(list(self.permits), 10.0)
        total = sorted(at for sent in times.values() for at in sent)
        self.assertLessEqual(most_in_window(total), allowed(self.LIMIT))
        self.assertGreaterEqual(len(total), 10.0 * self.LIMIT - 1)

    async def test_limit_is_kept_while_the_issuer_freezes_and_wakes(self) -> None:
        issuer = self.order[0]
        senders = [name for name in self.permits if name != issuer]
        total: list[float] = []
        for frozen_s, awake_s in ((3.0, 3.0), (1.0, 5.0), (4.0, 4.0)):
            self.unresponsive.add(issuer)
            total += [t for sent in (await self.send_all(senders, frozen_s)).values() for t in sent]
            self.unresponsive.discard(issuer)
            total += [t for sent in (await self.send_all(senders, awake_s)).values() for t in sent]
        self.assertLessEqual(most_in_window(total), allowed(self.LIMIT))
        self.assertGreater(len(total), 10)

    async def test_substitute_issues_the_whole_rate_soon_after_the_issuer_has_died(self) -> None:
        issuer = self.order[0]
        senders = [name for name in self.permits if name not in self.order[:2]]
        self.unresponsive.add(issuer)
        times = await self.send_all(senders, 6.0)
        self.assertGreaterEqual(sum(map(len, times.values())), 5.0 * self.LIMIT)

    async def test_issuer_that_is_back_and_its_substitute_keep_the_limit(self) -> None:
        # All but the issuer's own requests may go to the substitute until pings show it is back.
        self.set_limit(10.0)
        issuer = self.order[0]
        for name, permits in self.permits.items():
            if name != issuer:
                permits.members.record_ping_failure(issuer)
        times = await self.send_all(list(self.permits), 10.0)
        total = [at for sent in times.values() for at in sent]
        self.assertLessEqual(most_in_window(total), allowed(10.0))

    async def test_daemon_that_reaches_no_issuer_takes_an_equal_share(self) -> None:
        isolated = self.order[-1]
        self.unresponsive.add(isolated)
        times = await self.send_all([isolated], 30.0)
        self.assertLessEqual(len(times[isolated]), 30.0 * self.LIMIT / self.DAEMONS + 2)
        self.assertGreater(len(times[isolated]), 5)

    async def test_issuer_that_does_not_respond_is_asked_again_after_the_backoff(self) -> None:
        issuer, sender = self.order[0], self.order[2]
        self.unresponsive.add(issuer)
        await self.try_send(sender)
        await self.try_send(sender)
        self.assertEqual([name for _, name in self.calls], [issuer, self.order[1], self.order[1]])
        self.unresponsive.clear()
        self.now += ISSUER_BACKOFF_S
        await self.try_send(sender)
        self.assertEqual(self.calls[-1], (sender, issuer))

    async def test_draining_issuer_is_replaced(self) -> None:
        issuer = self.order[0]
        for name, permits in self.permits.items():
            members = permits.members
            if name == issuer:
                members.own.draining = True
            else:
                members.record_ping(issuer, issuer, "dc", "front", True, draining=True)
        await self.try_send(issuer)
        self.assertEqual(self.calls, [(issuer, self.order[1])])

    async def test_lifted_limit_is_forgotten_by_daemons_that_ask_later(self) -> None:
        first, second = self.order[1], self.order[2]
        self.assertTrue(await self.try_send(first))
        self.now += 0.01
        self.states[first].record_rate_limit(None, self.now)
        self.permits[first].report_lifted(self.states[first])
        self.now += 0.01
        self.assertTrue(await self.try_send(second))
        self.assertIsNone(self.states[second].rate_limit)

    async def test_limit_may_be_lifted_while_no_daemon_can_issue_permits(self) -> None:
        # All daemons were draining; the response that named no limit was lost to an IndexError.
        permits = self.permits["f0"]
        for name in self.permits:
            permits.members.by_name[name].draining = True
        permits.report_lifted(self.states["f0"])
        self.assertTrue(await self.try_send("f0"))

    async def test_limit_that_is_named_again_after_it_was_lifted_is_kept(self) -> None:
        first, second = self.order[1], self.order[2]
        self.permits[first].report_lifted(self.states[first])
        self.now += 0.01
        self.states[second].record_rate_limit(self.LIMIT, self.now)
        self.assertTrue(await self.try_send(second))
        self.assertEqual(self.states[second].rate_limit, self.LIMIT)
        self.assertFalse(await self.try_send(second))
