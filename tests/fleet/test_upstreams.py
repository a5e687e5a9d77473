"""Test which upstreams get requests after rejections, and what is known of those that return."""

import random
import unittest
from dataclasses import replace

from acaciarill.fleet import Upstream, UpstreamTable
from acaciarill.fleet.const import (
    DEREGISTERED_STATE_TTL_S,
    OVERLOAD_BACKOFF_MAX_S,
    OVERLOAD_BACKOFF_S,
)


class RejectionsTest(unittest.TestCase):
    """Prefer other upstreams for longer after each rejection."""

    def setUp(self) -> None:
        self.now = 100.0
        self.table = UpstreamTable("dc", lambda: self.now, random.Random(1))
        self.table.update([Upstream(name, name, "llm", "10.0.0.1:1", "dc", 8) for name in "ab"])
        self.table.states["b"].in_flight = 4

    def chosen(self) -> str:
        state = self.table.choose("llm")
        assert state is not None
        return state.upstream.id

    def test_idle_engine_that_loads_weights_is_asked_rarely(self) -> None:
        # It rejects requests for a second though its slots are free, so it looks least loaded.
        rejections = 0
        for _ in range(50):
            if self.chosen() == "a":
                rejections += 1
                self.table.states["a"].record_overload(self.now)
            self.now += 0.02
        self.assertLessEqual(rejections, 3)

    def test_single_rejection_counts_for_a_short_time(self) -> None:
        self.table.states["a"].record_overload(self.now)
        self.assertEqual(self.chosen(), "b")
        self.now += OVERLOAD_BACKOFF_S + 0.01
        self.assertEqual(self.chosen(), "a")

    def test_rejections_far_apart_do_not_add_up(self) -> None:
        for _ in range(5):
            self.table.states["a"].record_overload(self.now)
            self.now += OVERLOAD_BACKOFF_S + OVERLOAD_BACKOFF_MAX_S + 0.01
        self.table.states["a"].record_overload(self.now)
        self.now += OVERLOAD_BACKOFF_S + 0.01
        self.assertEqual(self.chosen(), "a")


class ReturnTest(unittest.TestCase):
    """Remove the registration of an upstream for a while."""

    def setUp(self) -> None:
        self.now = 100.0
        self.table = UpstreamTable("dc", lambda: self.now, random.Random(1))
        self.upstream = Upstream("a", "life-1", "llm", "10.0.0.1:1", "dc", 8)
        self.table.update([self.upstream])
        self.state = self.table.states["a"]
        self.state.in_flight = 3
        self.state.record_rate_limit(2.0, self.now)
        self.table.update([])

    def test_upstream_that_is_back_keeps_its_rate_limit_and_running_requests(self) -> None:
        # Its limit was forgotten, and it got a burst of requests from each daemon.
        self.now += 5.0
        self.table.update([self.upstream])
        state = self.table.states["a"]
        self.assertEqual((state.rate_limit, state.in_flight), (2.0, 3))
        self.assertFalse(state.has_left())

    def test_next_lifetime_starts_with_an_empty_state(self) -> None:
        self.table.update([replace(self.upstream, lifetime="life-2")])
        state = self.table.states["a"]
        self.assertEqual((state.rate_limit, state.in_flight), (None, 0))
        self.assertTrue(self.state.has_left())

    def test_state_of_an_upstream_that_stays_away_is_dropped(self) -> None:
        self.now += DEREGISTERED_STATE_TTL_S + 1.0
        self.table.update([])
        self.assertEqual(self.table.deregistered_states, {})
