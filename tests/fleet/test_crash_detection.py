"""Test which lost connections are taken for the crash of an upstream."""

import unittest
from dataclasses import replace

from acaciarill.fleet import CrashDetector, Upstream, UpstreamState
from acaciarill.fleet._request_keys import compute_request_key
from acaciarill.fleet.const import CRASH_DETECTION_S


class CrashDetectionTest(unittest.IsolatedAsyncioTestCase):
    """Lose the connection to an upstream in different states."""

    def setUp(self) -> None:
        self.now = 100.0
        self.refused = False
        self.crashes: list[tuple[str, str]] = []
        self.state = UpstreamState(Upstream("u1", "u1/1", "s", "127.0.0.1:1", "dc", 8))
        self.detector = CrashDetector(
            self.is_refused,
            lambda: self.now,
            lambda lifetime, key: self.crashes.append((lifetime, key)),
        )

    async def is_refused(self, address: str, timeout_s: float) -> bool:
        return self.refused

    async def test_upstream_that_refuses_the_next_connection_has_crashed(self) -> None:
        self.refused = True
        await self.detector.record_lost_connection(self.state, "key")
        self.assertEqual(self.crashes, [("u1/1", "key")])

    async def test_upstream_that_accepts_connections_has_not_crashed(self) -> None:
        await self.detector.record_lost_connection(self.state, "key")
        self.detector.check_registrations()
        self.assertEqual(self.crashes, [])

    async def test_upstream_whose_registration_goes_away_soon_after_has_crashed(self) -> None:
        await self.detector.record_lost_connection(self.state, "key")
        self.now += CRASH_DETECTION_S - 1.0
        self.state.deregistered = True
        for _ in range(2):
            self.detector.check_registrations()
        self.assertEqual(self.crashes, [("u1/1", "key")])

    async def test_registration_that_goes_away_later_tells_of_no_crash(self) -> None:
        await self.detector.record_lost_connection(self.state, "key")
        self.now += CRASH_DETECTION_S + 1.0
        self.state.deregistered = True
        self.detector.check_registrations()
        self.assertEqual(self.crashes, [])

    async def test_upstream_that_leaves_without_notice_has_not_crashed(self) -> None:
        self.state.deregistered = True  # it serves on for a while, then ends what still runs
        self.refused = True
        await self.detector.record_lost_connection(self.state, "key")
        self.assertEqual(self.crashes, [])

    async def test_upstream_that_refuses_connections_soon_after_a_request_was_given_up(
        self,
    ) -> None:
        self.detector.record_abandoned(self.state, "key")
        self.now += CRASH_DETECTION_S - 1.0
        for _ in range(2):
            self.detector.record_refused(self.state)
        self.assertEqual(self.crashes, [("u1/1", "key")])

    async def test_request_given_up_long_ago_did_not_crash_the_upstream(self) -> None:
        self.detector.record_abandoned(self.state, "key")
        self.now += CRASH_DETECTION_S + 1.0
        self.detector.record_refused(self.state)
        self.assertEqual(self.crashes, [])

    async def test_upstream_that_leaves_after_a_request_was_given_up_has_not_crashed(self) -> None:
        self.detector.record_abandoned(self.state, "key")
        self.state.deregistered = True
        self.detector.record_refused(self.state)
        self.detector.check_registrations()
        self.assertEqual(self.crashes, [])

    async def test_upstream_that_announced_that_it_leaves_has_not_crashed(self) -> None:
        await self.detector.record_lost_connection(self.state, "key")
        self.state.upstream = replace(self.state.upstream, draining=True)
        self.refused = self.state.deregistered = True
        await self.detector.record_lost_connection(self.state, "key")
        self.detector.check_registrations()
        self.assertEqual(self.crashes, [])


class RequestKeyTest(unittest.TestCase):
    """Compare the keys of requests."""

    def test_only_the_same_request_has_the_same_key(self) -> None:
        request = ("POST", "h.example", "/p/1?a=1", "t1", b"body")
        others = [
            ("PUT", *request[1:]),
            ("POST", "other.example", *request[2:]),
            (*request[:2], "/p/1?a=2", "t1", b"body"),
            (*request[:3], "t2", b"body"),
            (*request[:4], b"bodies"),
            ("POST", "h.example", "/p/1?a=1t1", "", b"body"),
        ]
        keys = {compute_request_key(*other) for other in (request, *others)}
        self.assertEqual(len(keys), 1 + len(others))
        self.assertEqual(compute_request_key(*request), compute_request_key(*request))
