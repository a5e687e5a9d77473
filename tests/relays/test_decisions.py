"""Test when links count as lost, what is probed, and who relays."""

import unittest
from dataclasses import replace

from acaciarill.fleet import Upstream
from acaciarill.fleet.const import PEER_DEAD_AFTER_S
from acaciarill.leases.const import LEASE_TTL_S
from acaciarill.relays import (
    LinkState,
    RelayCandidate,
    are_links_lost,
    choose_probes,
    order_relays,
)
from acaciarill.relays._decisions import (
    is_check_due,
    is_silent_exchange,
    may_acquire_duties,
)
from acaciarill.relays.const import (
    BREAK_SILENT_AFTER_S,
    CHECK_PERIOD_S,
    DUTY_HOLD_OFF_S,
    LONG_SILENCE_S,
    PROBE_STAGGER_S,
    PROBE_TIMEOUT_S,
    PROBED_UPSTREAMS,
    RELAY_CONTACT_TTL_S,
    RELAY_PING_PERIOD_S,
    SILENCE_S,
)

CONTACT_LIMIT_S = 3.0
"""Users' time from the beginning of a cut until callers must be served."""
SHORTEST_CLIENT_TIMEOUT_S = 0.8
WEIGHT_LOAD_S = 1.0


def upstream(name: str, service: str, data_centre: str) -> Upstream:
    return Upstream(name, "1", service, "10.0.0.1:1", data_centre, 8)


class LinkDecisionTest(unittest.TestCase):
    """Decide from the state of the links alone."""

    def test_silence_is_checked_once_a_period_and_not_while_cut_off(self) -> None:
        links = LinkState(quiet_since=10.0)
        self.assertFalse(is_check_due(links, True, 10.0 + SILENCE_S - 0.01))
        self.assertTrue(is_check_due(links, True, 10.0 + SILENCE_S))
        links.checked_at = 10.0 + SILENCE_S
        self.assertFalse(is_check_due(links, True, links.checked_at + CHECK_PERIOD_S / 2))
        self.assertTrue(is_check_due(links, True, links.checked_at + CHECK_PERIOD_S))
        links.cut_off_since = 11.0
        self.assertFalse(is_check_due(links, True, 20.0))

    def test_upstreams_that_are_just_slow_are_not_probed(self) -> None:
        # Each slow response cost a new connection to an upstream on calm days.
        links = LinkState(quiet_since=10.0)
        self.assertFalse(is_check_due(links, False, 10.0 + WEIGHT_LOAD_S))
        self.assertTrue(is_check_due(links, False, 10.01 + LONG_SILENCE_S))

    def test_links_are_lost_only_if_no_probed_upstream_is_reached(self) -> None:
        self.assertTrue(are_links_lost([False, False]))
        self.assertFalse(are_links_lost([False, True]))
        self.assertFalse(are_links_lost([]))

    def test_other_services_and_data_centres_are_probed_before_like_upstreams(self) -> None:
        upstreams = [
            upstream("a1", "llm", "a"),
            upstream("a2", "llm", "a"),
            upstream("b1", "llm", "b"),
            upstream("w1", "web", "a"),
        ]
        probes = choose_probes(upstreams, "a1", 2)
        self.assertNotIn("a1", [probe.id for probe in probes])
        self.assertEqual({probe.service for probe in probes}, {"llm", "web"})
        self.assertEqual(choose_probes(upstreams[:1], "a1", 3), [])

    def test_duties_are_acquired_only_some_time_after_the_links_are_back(self) -> None:
        self.assertTrue(may_acquire_duties(LinkState(), 0.0))
        self.assertFalse(may_acquire_duties(LinkState(cut_off_since=1.0), 100.0))
        restored = LinkState(restored_at=10.0)
        self.assertFalse(may_acquire_duties(restored, 10.0 + DUTY_HOLD_OFF_S - 0.01))
        self.assertTrue(may_acquire_duties(restored, 10.0 + DUTY_HOLD_OFF_S))

    def test_sums_of_times_are_within_the_limits(self) -> None:
        # RECOVER: callers must be served from 3 s after a cut, the most impatient ones within 0.8 s
        # of their first request; TWICE: a batch may be taken over once its owner counts as dead.
        check_s = PROBE_TIMEOUT_S + (PROBED_UPSTREAMS - 1) * PROBE_STAGGER_S
        self.assertLess(SILENCE_S + check_s, SHORTEST_CLIENT_TIMEOUT_S)
        self.assertLess(LONG_SILENCE_S + check_s + BREAK_SILENT_AFTER_S, CONTACT_LIMIT_S)
        self.assertLess(RELAY_CONTACT_TTL_S + RELAY_PING_PERIOD_S, PEER_DEAD_AFTER_S + 0.01)
        self.assertGreater(DUTY_HOLD_OFF_S, LEASE_TTL_S)

    def test_exchange_is_given_up_after_some_silence(self) -> None:
        self.assertFalse(is_silent_exchange(5.0, 5.0 + BREAK_SILENT_AFTER_S / 2))
        self.assertTrue(is_silent_exchange(5.0, 5.0 + BREAK_SILENT_AFTER_S))


class RelayOrderTest(unittest.TestCase):
    """Order the daemons that may relay."""

    keeper = RelayCandidate("k", "b", False, True, False, False)
    near = RelayCandidate("n", "a", True, True, False, False)
    far = RelayCandidate("f", "b", True, True, False, False)

    def test_daemons_without_clients_come_first_then_those_nearby(self) -> None:
        order = order_relays([self.far, self.near, self.keeper], "own", "a", 0.0)
        self.assertEqual(order, ["k", "n", "f"])

    def test_daemons_that_cannot_relay_are_left_out(self) -> None:
        candidates = [
            replace(self.keeper, is_cut_off=True),
            replace(self.near, is_draining=True),
            replace(self.far, is_reachable=False),
        ]
        self.assertEqual(order_relays(candidates, "own", "a", 0.0), [])

    def test_avoided_daemon_comes_last_until_its_backoff_ends(self) -> None:
        avoided = replace(self.keeper, avoided_until=5.0)
        self.assertEqual(order_relays([avoided, self.far], "own", "a", 4.0), ["f", "k"])
        self.assertEqual(order_relays([avoided, self.far], "own", "a", 5.0), ["k", "f"])

    def test_daemons_spread_their_load_over_like_relays(self) -> None:
        relays = [replace(self.keeper, name=f"k{number}") for number in range(4)]
        first = {order_relays(relays, f"own{number}", "b", 0.0)[0] for number in range(40)}
        self.assertEqual(first, {relay.name for relay in relays})
