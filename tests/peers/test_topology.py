"""Test the distribution tree, the membership and the codec."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.daemons import Membership
from acaciarill.errors import BadRequestError
from acaciarill.host_list import HostEntry
from acaciarill.peers import (
    decode,
    distribution_tree_order,
    messages,
    parent_candidates,
    rendezvous_order,
    select_relays,
)


class TopologyTest(unittest.TestCase):
    """Test the rendezvous order and the distribution tree of a data centre."""

    def test_every_daemon_reaches_a_relay_within_three_hops(self) -> None:
        order = distribution_tree_order("dc", [f"h{n}" for n in range(60)])
        for name in order:
            hops = 0
            while name not in select_relays(order):
                name = parent_candidates(order, name)[0]
                hops += 1
            self.assertLessEqual(hops, 3)

    def test_daemons_have_at_most_fan_out_children(self) -> None:
        order = distribution_tree_order("dc", [f"h{n}" for n in range(60)])
        preferred_parents = [
            parent_candidates(order, name)[0] for name in order if parent_candidates(order, name)
        ]
        self.assertLessEqual(max(map(preferred_parents.count, preferred_parents)), 4)

    def test_removing_a_daemon_moves_only_its_keys(self) -> None:
        names = [f"h{n}" for n in range(10)]
        keys = [f"k{n}" for n in range(300)]
        before = {key: rendezvous_order(key, names)[0] for key in keys}
        after = {key: rendezvous_order(key, names[1:])[0] for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        self.assertEqual(moved, [key for key in keys if before[key] == "h0"])


class MembershipTest(unittest.TestCase):
    """Test the membership's use of the host list and of suspicions."""

    def setUp(self) -> None:
        self.now = 100.0
        self.membership = Membership("h0", "dc-1", lambda: self.now)
        self.hosts = [
            HostEntry(f"h{n}", "entry", "dc-1", "live", f"127.0.0.1:{n}") for n in range(4)
        ]
        self.membership.update(self.hosts)

    def test_suspected_daemon_is_excluded_until_suspicion_expires(self) -> None:
        self.membership.mark_suspected("h1")
        self.assertNotIn("h1", self.membership.daemons())
        self.assertIn("h1", self.membership.daemons(include_suspected=True))
        self.now += 5.1
        self.assertIn("h1", self.membership.daemons())

    def test_changes_since_a_digest_update_a_replica(self) -> None:
        base_digest = self.membership.digest
        other = Membership("h1", "dc-1", lambda: self.now)
        other.update(self.hosts)
        self.membership.update([*self.hosts[:2], HostEntry("h9", "entry", "dc-2")])
        changed, removed = self.membership.changes_since(base_digest)
        self.assertEqual(([h.name for h in changed], removed), (["h9"], ["h2", "h3"]))
        other.apply_changes(changed, removed)
        self.assertEqual(other.digest, self.membership.digest)

    def test_changes_since_an_unknown_digest_are_unavailable(self) -> None:
        self.assertIsNone(self.membership.changes_since(12345))

    def test_leaving_upstreams_are_returned(self) -> None:
        leaving = HostEntry("u1", "upstream", "dc-1", "leaving")
        self.membership.update([*self.hosts, leaving])
        self.assertEqual(self.membership.leaving_upstreams(), {"u1"})


class CodecTest(unittest.TestCase):
    """Test decoding of arbitrary bytes."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=120))
    def test_arbitrary_bytes_decode_to_a_frame_or_an_error(self, data: bytes) -> None:
        try:
            decode(messages.Frame, data)
        except BadRequestError as error:
            self.assertEqual(error.code, "bad-message")
