"""Test how long an upstream is used after its entry has gone missing."""

import random
import unittest
from types import SimpleNamespace
from typing import Any

import orjson

from acaciarill.batches import BatchHead
from acaciarill.edge import EdgeLimits
from acaciarill.fleet import Configuration, Members, Route, RouteKind, Upstream, UpstreamTable
from acaciarill.fleet._model import group_routes_by_host
from acaciarill.fleet.const import WATCH_TIMEOUT_MARGIN_S
from acaciarill.fleet_daemon import FleetKinds
from acaciarill.fleet_daemon._mirrors import FleetMirrors
from acaciarill.fleet_daemon.const import (
    CHANGE_BATCHING_S,
    FEED_BRIDGE_DELAY_S,
    FEED_OVERDUE_AFTER_S,
    FEED_POLL_WAIT_S,
    FEED_TIMEOUT_MARGIN_S,
    MISSING_ENTRY_CHECK_PERIOD_S,
    OUTAGE_ENTRY_GRACE_S,
)
from acaciarill.mirrors import Change, MirrorFollower, Record
from acaciarill.mirrors.const import WATCH_RETRY_DELAY_S
from acaciarill.timer import JITTER_SHARE

DRAIN_LIMIT_S = 2.0
"""Users' limit on requests to an upstream after the store has reported its removal."""
CHANGE_LIMIT_S = 2.0
"""Users' limit on the time until a daemon acts on a change that the store has confirmed."""
CONTACT_LIMIT_S = 3.0
"""Users' limit on the time after a trouble in which a daemon may act on stale state."""
RESPONSE_DELAY_S = 0.3
"""Time allowed for the responses of the store and of the watcher."""


class FakeSource:
    """List no objects."""

    async def list_kind(self, kind: str) -> tuple[int, list[Record]]:
        return 9, []

    async def watch_kind(self, kind: str, position: int, wait_s: float) -> tuple[int, list[Change]]:
        return position, []


class MissingUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Remove the entry of an upstream that was not draining."""

    def setUp(self) -> None:
        self.now = 100.0
        ports: Any = SimpleNamespace(
            kinds=FleetKinds("config", "servers", "versions", "retirements"),
            decode_upstream=lambda record: Upstream(
                record.name, record.name, "llm", "10.0.0.1:1", "dc", 8
            ),
            decode_version=lambda record: (record.value["model"], record.value["version"]),
            is_retirement_completed=lambda record: False,
        )
        members = Members("f1", "f1", "dc", "front", lambda: self.now)
        self.table = UpstreamTable("dc", lambda: self.now, random.Random(1))
        self.mirrors, self.keeper_mirrors = (
            FleetMirrors(
                ports, FakeSource(), members, self.table, role, lambda: self.now, lambda: self.now
            )
            for role in ("front", "keeper")
        )
        self.mirrors.mirror("servers").replace(1, [Record("e1", 1, {})])

    def remove_entry(self) -> None:
        self.mirrors.mirror("servers").apply(2, [Change(Record("e1", 2, {}), deleted=True)])

    def test_upstream_is_not_used_once_its_entry_is_missing(self) -> None:
        self.remove_entry()
        self.assertNotIn("e1", self.table.states)

    def end_outage(self, duration_s: float) -> None:
        self.mirrors.followers["servers"].set_following(False)
        self.now += duration_s
        self.mirrors.followers["servers"].set_following(True)

    def remaining_use_s(self) -> float:
        return self.mirrors.missing_upstreams["e1"][1] - self.now

    def test_entry_that_expired_in_an_outage_is_used_until_it_can_be_back(self) -> None:
        self.end_outage(3.0)
        self.remove_entry()
        self.now += OUTAGE_ENTRY_GRACE_S - 0.01
        self.mirrors.expire_missing_upstreams()
        self.assertIn("e1", self.table.states)
        self.now += 0.02
        self.mirrors.expire_missing_upstreams()
        self.assertNotIn("e1", self.table.states)

    def test_entry_that_goes_missing_after_an_outage_has_no_longer_grace_than_others(self) -> None:
        # A request was sent to an upstream 2,371 ms after it had left, 3.0 s after an outage.
        self.end_outage(3.0)
        self.now += 1.8
        self.remove_entry()
        self.assertAlmostEqual(self.remaining_use_s(), OUTAGE_ENTRY_GRACE_S - 1.8)
        self.now += 1.2
        self.mirrors.expire_missing_upstreams()
        self.assertNotIn("e1", self.table.states)

    def test_watch_that_is_cut_and_reopened_is_no_outage(self) -> None:
        self.end_outage(0.3)
        self.remove_entry()
        self.assertNotIn("e1", self.table.states)

    def test_listing_that_ends_an_outage_counts_as_within_it(self) -> None:
        self.mirrors.followers["servers"].set_following(False)
        self.now += 3.0
        self.remove_entry()
        self.assertAlmostEqual(self.remaining_use_s(), OUTAGE_ENTRY_GRACE_S)

    async def test_entry_missing_after_a_stalled_watch_is_not_used_for_another_grace_period(
        self,
    ) -> None:
        # Requests were sent to an upstream 2,137 and 2,263 ms after it had left: the watch had
        # stalled in an outage of one second, and the grace period began when it was given up.
        follower = self.mirrors.followers["servers"]
        follower.needs_listing = False
        await follower._list_or_watch()
        self.now += 5.5
        follower.needs_listing = True
        await follower._list_or_watch()
        self.mirrors.expire_missing_upstreams()
        self.assertNotIn("e1", self.table.states)

    def test_stalled_watch_is_replaced_within_the_contact_limit(self) -> None:
        # A daemon whose watch had stalled noticed only after 5.5 s that an upstream had left.
        def longest_s(follower: MirrorFollower) -> float:
            watch_s = follower.watch_delay_s + follower.wait_s + WATCH_TIMEOUT_MARGIN_S
            return watch_s + WATCH_RETRY_DELAY_S + RESPONSE_DELAY_S

        for mirrors in (self.mirrors, self.keeper_mirrors):
            for kind in ("servers", "config"):
                with self.subTest(kind=kind, role=mirrors.role):
                    self.assertLess(longest_s(mirrors.followers[kind]), CONTACT_LIMIT_S)

    def test_sum_of_delays_with_a_lost_watcher_or_watch_is_within_the_limit(self) -> None:
        # CONFIG, DRAIN: delays that were each bounded added up to more than the users' limit, when
        # a watcher fell silent or its own watch did.
        silent_watcher_s = FEED_POLL_WAIT_S + FEED_TIMEOUT_MARGIN_S
        for kind in self.mirrors.urgent_kinds:
            follower = self.keeper_mirrors.followers[kind]
            silent_watch_s = follower.watch_delay_s + follower.wait_s + FEED_OVERDUE_AFTER_S
            for noticed_after_s in (silent_watcher_s, silent_watch_s):
                with self.subTest(kind=kind, noticed_after_s=noticed_after_s):
                    longest_s = noticed_after_s + FEED_BRIDGE_DELAY_S + RESPONSE_DELAY_S
                    self.assertLess(longest_s, CHANGE_LIMIT_S)

    def test_open_batch_of_a_route_without_queue_time_is_demand_at_any_age(self) -> None:
        route = Route("r", "h", "/b", RouteKind.BATCH, (("llm", 1.0),), 10.0, 5.0, 2, 0)
        self.mirrors.configuration = Configuration(
            1, group_routes_by_host([route]), {}, EdgeLimits(), None
        )
        head = BatchHead("c", "h", "/b/x", 0.0, 12, 1, "d", "f1").encode()
        self.mirrors.mirror("batches").replace(1, [Record("b1", 1, orjson.loads(head))])
        self.assertEqual(self.mirrors.demand("llm").requests, 12)

    def test_sum_of_all_delays_is_within_the_limit(self) -> None:
        # A request was sent to an upstream 2,162 ms after its entry was removed.
        longest_s = (
            CHANGE_BATCHING_S + MISSING_ENTRY_CHECK_PERIOD_S * (1 + JITTER_SHARE) + RESPONSE_DELAY_S
        )
        self.assertLess(longest_s, DRAIN_LIMIT_S)
