"""Test the sums of demand along the tree."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.config import ConfigCoordinator, build_document
from acaciarill.daemons import DemandTable, Relation
from acaciarill.daemons._ages import pack_ages, unpack_ages
from acaciarill.daemons._table_sync import TableReceiver, TableSender
from acaciarill.daemons.const import MAX_CHANGES_PER_MESSAGE


class DemandTableTest(unittest.TestCase):
    """Pass demand between tables."""

    def setUp(self) -> None:
        self.now = 100.0

    def table(self, queued: int) -> DemandTable:
        config = ConfigCoordinator()
        table = DemandTable(config, lambda: self.now, lambda: Counter({("m", "acme"): queued}))
        section = {"models": [{"name": "m"}], "customers": [{"name": "acme"}]}
        config.offer_document(build_document(1, {"owner": section}))
        return table

    def exchange(
        self,
        asking: DemandTable,
        asked: DemandTable,
        relations: tuple[Relation, Relation],
        data_centre: str = "dc-1",
    ) -> None:
        """Exchange one message each way; relations are of the peer, as each side sees it."""
        of_asked, of_asking = relations
        sent = asking.pack_for(str(id(asked)), of_asked, data_centre)
        asked.take_from(str(id(asking)), of_asking, data_centre, sent, 1)
        answer = asked.pack_for(str(id(asking)), of_asking, data_centre)
        asking.take_from(str(id(asked)), of_asked, data_centre, answer, 1)

    def test_every_daemon_learns_the_total(self) -> None:
        child, relay, sibling, remote = (self.table(n) for n in (1, 2, 4, 8))
        self.exchange(sibling, relay, (Relation.SIBLING, Relation.SIBLING))
        self.exchange(remote, relay, (Relation.REMOTE, Relation.REMOTE), "dc-2")
        self.exchange(child, relay, (Relation.PARENT, Relation.CHILD))
        self.assertEqual(relay.total()["m", "acme"], 15)
        self.assertEqual(child.total()["m", "acme"], 15)
        self.assertEqual(relay.data_centre()["m", "acme"], 7)

    def test_two_relays_of_a_data_centre_count_once(self) -> None:
        relay, first, second = (self.table(n) for n in (1, 2, 2))
        for remote in (first, second):
            self.exchange(remote, relay, (Relation.REMOTE, Relation.REMOTE), "dc-2")
        self.assertEqual(relay.total()["m", "acme"], 3)

    def test_what_is_not_renewed_is_forgotten(self) -> None:
        relay, child = self.table(2), self.table(1)
        self.exchange(child, relay, (Relation.PARENT, Relation.CHILD))
        self.now += 10.1
        self.assertEqual(relay.total()["m", "acme"], 2)

    def test_what_does_not_change_is_renewed_all_the_same(self) -> None:
        relay, child = self.table(2), self.table(1)
        for _ in range(5):
            self.exchange(child, relay, (Relation.PARENT, Relation.CHILD))
            self.now += 6
        self.assertEqual(relay.total()["m", "acme"], 3)

    def test_another_revision_or_damaged_bytes_count_nothing(self) -> None:
        table, child = self.table(1), self.table(2)
        sent = child.pack_for("relay", Relation.PARENT, "dc-1")
        for data, revision in ((sent, 2), (b"\1", 1), (b"\t" * 9, 1), (sent + b"\0", 1)):
            table.take_from("child", Relation.CHILD, "dc-1", data, revision)
            self.assertEqual(table.total()["m", "acme"], 1)

    def test_a_change_of_the_configuration_keeps_what_is_known(self) -> None:
        relay, child = self.table(2), self.table(1)
        self.exchange(child, relay, (Relation.PARENT, Relation.CHILD))
        raw = relay.config.document.raw["owner"]
        raw = raw | {"customers": [{"name": "acme"}, {"name": "aaa"}]}
        relay.config.offer_document(build_document(2, {"owner": raw}))
        self.assertEqual(relay.total()["m", "acme"], 3)


KEYS = st.tuples(st.integers(0, 3), st.integers(0, 9))
TABLES = st.dictionaries(KEYS, st.integers(0, 99), max_size=30)


class TableSenderTest(unittest.TestCase):
    """Keep a copy current although messages and answers are lost."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(TABLES, st.booleans(), st.booleans()), max_size=20), TABLES)
    def test_the_copy_converges_and_never_mixes_bases(self, steps, final) -> None:
        sender, receiver, confirmed = TableSender(), TableReceiver(), 0
        for table, arrives, answered in [*steps, *[(final, True, True)] * 16]:
            data = sender.pack(Counter(table), confirmed, 0)
            if arrives:
                receiver.take(data)
                if receiver.table_version == sender.table_version:
                    self.assertEqual(receiver.table, sender.held)
            if answered:
                confirmed = receiver.table_version
        self.assertEqual(receiver.table, +Counter(final))

    def test_a_message_after_the_first_is_short_and_has_the_largest_change(self) -> None:
        sender, receiver = TableSender(), TableReceiver()
        table = Counter({(0, n): 10 for n in range(40)})
        receiver.take(sender.pack(table, 0, 0))
        table = Counter({(0, n): 11 for n in range(40)})
        table[0, 17] = 500
        data = sender.pack(table, receiver.table_version, 0)
        receiver.take(data)
        self.assertLessEqual(len(data), 6 + 5 * MAX_CHANGES_PER_MESSAGE)
        self.assertEqual(receiver.table[0, 17], 500)

    def test_a_new_sender_does_not_continue_the_numbers_of_the_one_before(self) -> None:
        receiver = TableReceiver()
        receiver.take(TableSender().pack(Counter({(0, 0): 5, (0, 1): 5}), 0, 0))
        later = TableSender()
        later.pack(Counter({(0, 0): 7}), receiver.table_version, 0)  # lost
        receiver.take(later.pack(Counter({(0, 0): 9}), receiver.table_version, 0))
        self.assertEqual(receiver.table, Counter({(0, 0): 9}))


class AgesTest(unittest.TestCase):
    """Pack ages of contact."""

    def test_ages_are_never_younger_than_they_are(self) -> None:
        packed = pack_ages({"store": 0.1234, "dc-1": 0.0}, ["dc-1", "dc-2"])
        ages = unpack_ages(packed, ["dc-1", "dc-2"], True)
        self.assertGreaterEqual(ages["store"], 0.1234)
        self.assertEqual(set(ages), {"store", "dc-1"})

    def test_under_another_list_of_places_only_the_store_counts(self) -> None:
        packed = pack_ages({"store": 0.1, "dc-1": 0.0}, ["dc-1"])
        self.assertEqual(set(unpack_ages(packed, ["dc-0", "dc-1"], False)), {"store"})

    def test_an_age_that_does_not_fit_is_unknown(self) -> None:
        self.assertEqual(unpack_ages(pack_ages({"store": 99.0}, []), [], True), {})
