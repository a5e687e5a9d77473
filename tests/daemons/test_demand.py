"""Test the aggregation of demand, the table synchronisation and the encoding of contact ages."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.config import ConfigCoordinator, build_document
from acaciarill.daemons import DemandTable, Relation
from acaciarill.daemons._contact_ages import pack_ages, unpack_ages
from acaciarill.daemons._table_sync import TableReceiver, TableSender
from acaciarill.daemons.const import MAX_CHANGES_PER_MESSAGE


class DemandTableTest(unittest.TestCase):
    """Exchange demand between the tables of several daemons."""

    def setUp(self) -> None:
        self.now = 100.0

    def new_table(self, queued: int) -> DemandTable:
        config = ConfigCoordinator()
        table = DemandTable(config, lambda: self.now, lambda: Counter({("m", "acme"): queued}))
        section = {"models": [{"name": "m"}], "customers": [{"name": "acme"}]}
        config.update_document(build_document(1, {"owner": section}))
        return table

    def exchange(
        self,
        initiator: DemandTable,
        responder: DemandTable,
        relations: tuple[Relation, Relation],
        data_centre: str = "dc-1",
    ) -> None:
        """Exchange one message each way.

        `relations` holds the responder's relation to the initiator, and the reverse.
        """
        responder_relation, initiator_relation = relations
        message = initiator.pack_message(str(id(responder)), responder_relation, data_centre)
        responder.apply_message(str(id(initiator)), initiator_relation, data_centre, message, 1)
        reply = responder.pack_message(str(id(initiator)), initiator_relation, data_centre)
        initiator.apply_message(str(id(responder)), responder_relation, data_centre, reply, 1)

    def test_total_reaches_child_and_relay(self) -> None:
        child, relay, sibling, remote = (self.new_table(n) for n in (1, 2, 4, 8))
        self.exchange(sibling, relay, (Relation.SIBLING, Relation.SIBLING))
        self.exchange(remote, relay, (Relation.REMOTE, Relation.REMOTE), "dc-2")
        self.exchange(child, relay, (Relation.PARENT, Relation.CHILD))
        self.assertEqual(relay.total()["m", "acme"], 15)
        self.assertEqual(child.total()["m", "acme"], 15)
        self.assertEqual(relay.data_centre_total()["m", "acme"], 7)

    def test_two_relays_of_a_remote_data_centre_count_once(self) -> None:
        relay, first, second = (self.new_table(n) for n in (1, 2, 2))
        for remote in (first, second):
            self.exchange(remote, relay, (Relation.REMOTE, Relation.REMOTE), "dc-2")
        self.assertEqual(relay.total()["m", "acme"], 3)

    def test_demand_expires_without_renewal(self) -> None:
        relay, child = self.new_table(2), self.new_table(1)
        self.exchange(child, relay, (Relation.PARENT, Relation.CHILD))
        self.now += 10.1
        self.assertEqual(relay.total()["m", "acme"], 2)

    def test_unchanged_demand_is_renewed_by_each_exchange(self) -> None:
        relay, child = self.new_table(2), self.new_table(1)
        for _ in range(5):
            self.exchange(child, relay, (Relation.PARENT, Relation.CHILD))
            self.now += 6
        self.assertEqual(relay.total()["m", "acme"], 3)

    def test_other_revision_or_malformed_message_is_ignored(self) -> None:
        table, child = self.new_table(1), self.new_table(2)
        message = child.pack_message("relay", Relation.PARENT, "dc-1")
        for data, revision in ((message, 2), (b"\1", 1), (b"\t" * 9, 1), (message + b"\0", 1)):
            table.apply_message("child", Relation.CHILD, "dc-1", data, revision)
            self.assertEqual(table.total()["m", "acme"], 1)

    def test_configuration_change_keeps_received_demand(self) -> None:
        relay, child = self.new_table(2), self.new_table(1)
        self.exchange(child, relay, (Relation.PARENT, Relation.CHILD))
        raw = relay.config.document.raw_sections["owner"]
        raw = raw | {"customers": [{"name": "acme"}, {"name": "aaa"}]}
        relay.config.update_document(build_document(2, {"owner": raw}))
        self.assertEqual(relay.total()["m", "acme"], 3)


KEYS = st.tuples(st.integers(0, 3), st.integers(0, 9))
TABLES = st.dictionaries(KEYS, st.integers(0, 99), max_size=30)


class TableSenderTest(unittest.TestCase):
    """Synchronise a copy although messages and acknowledgements are lost."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(TABLES, st.booleans(), st.booleans()), max_size=20), TABLES)
    def test_copy_converges_despite_lost_messages(self, steps, final) -> None:
        sender, receiver, acked_version = TableSender(), TableReceiver(), 0
        for table, delivered, acknowledged in [*steps, *[(final, True, True)] * 16]:
            data = sender.pack(Counter(table), acked_version, 0)
            if delivered:
                receiver.apply(data)
                if receiver.table_version == sender.table_version:
                    self.assertEqual(receiver.table, sender.peer_table)
            if acknowledged:
                acked_version = receiver.table_version
        self.assertEqual(receiver.table, +Counter(final))

    def test_delta_is_short_and_contains_the_largest_change(self) -> None:
        sender, receiver = TableSender(), TableReceiver()
        table = Counter({(0, n): 10 for n in range(40)})
        receiver.apply(sender.pack(table, 0, 0))
        table = Counter({(0, n): 11 for n in range(40)})
        table[0, 17] = 500
        data = sender.pack(table, receiver.table_version, 0)
        receiver.apply(data)
        self.assertLessEqual(len(data), 6 + 5 * MAX_CHANGES_PER_MESSAGE)
        self.assertEqual(receiver.table[0, 17], 500)

    def test_restarted_sender_does_not_continue_earlier_versions(self) -> None:
        receiver = TableReceiver()
        receiver.apply(TableSender().pack(Counter({(0, 0): 5, (0, 1): 5}), 0, 0))
        restarted = TableSender()
        restarted.pack(Counter({(0, 0): 7}), receiver.table_version, 0)  # lost
        receiver.apply(restarted.pack(Counter({(0, 0): 9}), receiver.table_version, 0))
        self.assertEqual(receiver.table, Counter({(0, 0): 9}))


class AgesTest(unittest.TestCase):
    """Pack and unpack contact ages."""

    def test_packed_ages_are_rounded_up(self) -> None:
        packed = pack_ages({"store": 0.1234, "dc-1": 0.0}, ["dc-1", "dc-2"])
        ages = unpack_ages(packed, ["dc-1", "dc-2"], True)
        self.assertGreaterEqual(ages["store"], 0.1234)
        self.assertEqual(set(ages), {"store", "dc-1"})

    def test_only_the_store_age_is_read_under_other_data_centres(self) -> None:
        packed = pack_ages({"store": 0.1, "dc-1": 0.0}, ["dc-1"])
        self.assertEqual(set(unpack_ages(packed, ["dc-0", "dc-1"], False)), {"store"})

    def test_age_out_of_range_is_unknown(self) -> None:
        self.assertEqual(unpack_ages(pack_ages({"store": 99.0}, []), [], True), {})
