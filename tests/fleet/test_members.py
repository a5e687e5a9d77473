"""Test whom a daemon watches, succeeds and chooses as an owner."""

import unittest

from acaciarill.fleet import Member, Members


class MembersTest(unittest.TestCase):
    """Let daemons of a ring of five fail and come back."""

    def setUp(self) -> None:
        self.now = 100.0
        self.members = Members("f3", "a3", "dc", "front", lambda: self.now)
        names = ["f1", "f2", "f3", "f4", "f5"]
        listed = [Member(name, f"a{name}", "dc", "front", True) for name in names]
        self.members.update_registered([*listed, Member("s1", "as1", "dc", "keeper", True)])

    def fail(self, name: str) -> None:
        self.members.record_ping_failure(name)

    def hear(self, name: str, **more: bool) -> None:
        self.members.record_ping(name, f"a{name}", "dc", "front", True, **more)

    def test_only_the_daemon_before_is_watched_while_it_lives(self) -> None:
        self.assertEqual(self.members.predecessors(), ["f2"])

    def test_successor_takes_over_past_dead_daemons_only(self) -> None:
        self.fail("f2")
        self.now += 3.0
        self.assertTrue(self.members.is_successor_of("f2"))
        self.assertFalse(self.members.is_successor_of("f1"))
        self.assertEqual(self.members.predecessors(), ["f2", "f1"])
        self.fail("f1")
        self.now += 3.0
        self.assertTrue(self.members.is_successor_of("f1"))

    def test_one_missed_ping_is_no_death(self) -> None:
        self.hear("f2")
        self.fail("f2")
        self.now += 1.0
        self.assertFalse(self.members.is_dead("f2"))
        self.hear("f2")
        self.now += 9.0
        self.assertFalse(self.members.is_dead("f2"))

    def test_daemon_that_was_removed_from_the_list_is_dead(self) -> None:
        self.members.update_registered([Member("f3", "a3", "dc", "front", True)])
        self.assertTrue(self.members.is_dead("f2"))

    def test_owner_is_the_same_everywhere_and_never_one_that_leaves(self) -> None:
        owner = self.members.choose_owner("key")
        other = Members("f1", "a1", "dc", "front", lambda: self.now)
        other.update_registered(list(self.members.by_name.values()))
        self.assertEqual(other.choose_owner("key"), owner)
        if owner != "f3":
            self.hear(owner, draining=True)
        self.assertNotEqual(self.members.choose_owner("key", without="f3"), owner)

    def test_relay_is_a_peer_that_reached_the_store_lately(self) -> None:
        self.assertEqual(self.members.store_relays(), [])
        self.hear("f4")
        self.assertEqual([member.name for member in self.members.store_relays()], ["f4"])
        self.now += 4.0
        self.assertEqual(self.members.store_relays(), [])
