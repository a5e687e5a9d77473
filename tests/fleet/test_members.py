"""Test which daemons a daemon pings and succeeds, and which one it chooses as an owner."""

import unittest

from acaciarill.fleet import Member, Members


class MembersTest(unittest.TestCase):
    """Let daemons in a ring of five fail and recover."""

    def setUp(self) -> None:
        self.now = 100.0
        self.members = Members("f3", "a3", "dc", "front", lambda: self.now)
        names = ["f1", "f2", "f3", "f4", "f5"]
        registered = [Member(name, f"a{name}", "dc", "front", True) for name in names]
        self.members.update_registered([*registered, Member("s1", "as1", "dc", "keeper", True)])

    def miss_ping(self, name: str) -> None:
        self.members.record_ping_failure(name)

    def receive_ping(self, name: str, **fields: bool) -> None:
        self.members.record_ping(name, f"a{name}", "dc", "front", True, **fields)

    def test_only_live_predecessor_is_pinged(self) -> None:
        self.assertEqual(self.members.predecessors(), ["f2"])

    def test_successor_takes_over_only_past_dead_daemons(self) -> None:
        self.miss_ping("f2")
        self.now += 3.0
        self.assertTrue(self.members.is_successor_of("f2"))
        self.assertFalse(self.members.is_successor_of("f1"))
        self.assertEqual(self.members.predecessors(), ["f2", "f1"])
        self.miss_ping("f1")
        self.now += 3.0
        self.assertTrue(self.members.is_successor_of("f1"))

    def test_daemon_is_not_dead_after_one_missed_ping(self) -> None:
        self.receive_ping("f2")
        self.miss_ping("f2")
        self.now += 1.0
        self.assertFalse(self.members.is_dead("f2"))
        self.receive_ping("f2")
        self.now += 9.0
        self.assertFalse(self.members.is_dead("f2"))

    def test_deregistered_daemon_is_dead(self) -> None:
        self.members.update_registered([Member("f3", "a3", "dc", "front", True)])
        self.assertTrue(self.members.is_dead("f2"))

    def test_owner_is_the_same_at_all_daemons_and_never_draining(self) -> None:
        owner = self.members.choose_owner("key")
        other = Members("f1", "a1", "dc", "front", lambda: self.now)
        other.update_registered(list(self.members.by_name.values()))
        self.assertEqual(other.choose_owner("key"), owner)
        if owner != "f3":
            self.receive_ping(owner, draining=True)
        self.assertNotEqual(self.members.choose_owner("key", excluded="f3"), owner)

    def test_only_peers_with_recent_store_contact_are_relays(self) -> None:
        self.assertEqual(self.members.store_relays(), [])
        self.receive_ping("f4")
        self.assertEqual([member.name for member in self.members.store_relays()], ["f4"])
        self.now += 4.0
        self.assertEqual(self.members.store_relays(), [])
