"""Test which connections find room, and which give way."""

import random
import unittest

from acaciarill.connection_budget import (
    KIND_CALLERS,
    KIND_READINESS,
    ConnectionAccount,
    ConnectionBudget,
    ConnectionLimits,
)
from acaciarill.connection_budget.const import LARGE_BODY_BYTES, MIN_PROGRESS_BYTES

MB = 1024 * 1024
LIMITS = ConnectionLimits(content_bytes=8 * MB, max_connections=16)


class BudgetTest(unittest.TestCase):
    """Open accounts on a clock that the test sets."""

    def setUp(self) -> None:
        self.now = 100.0
        self.yielded: list[str] = []
        self.budget = ConnectionBudget(lambda: self.now, LIMITS)

    def open(self, name: str, kind: str = KIND_CALLERS) -> ConnectionAccount:
        """Open an account that is expected to find a place."""
        account = self.budget.open(kind, lambda: self.yielded.append(name))
        assert account is not None
        return account

    def test_limits_follow_from_memory_and_descriptors(self) -> None:
        limits = ConnectionLimits.from_settings(300 * MB, 4100)
        self.assertEqual((limits.content_bytes, limits.max_connections), (60 * MB, 1200))
        self.assertEqual(ConnectionLimits.from_settings(300 * MB, 600).max_connections, 200)
        self.assertGreater(ConnectionLimits.from_settings(MB, 10).max_connections, 0)

    def test_what_holds_most_for_longest_gives_way(self) -> None:
        accounts = [self.open(str(number)) for number in range(4)]
        accounts[0].hold(3 * MB)
        self.now += 1
        accounts[1].hold(2 * MB)
        accounts[2].hold(MB)
        accounts[0].record_step(self.now)
        self.now += 1
        accounts[3].record_step(self.now)
        accounts[3].hold(3 * MB)
        self.assertEqual(self.yielded, ["1"])
        self.assertEqual(self.budget.held_bytes, 7 * MB)

    def test_running_request_gives_way_only_while_its_response_is_unread(self) -> None:
        running, late = self.open("running"), self.open("late")
        running.hold(7 * MB)
        running.is_running = True
        self.now += 10
        late.hold(2 * MB)
        self.assertEqual(self.yielded, ["late"])
        running.start_sending(15.0, self.now)
        self.now += 10
        self.open("later").hold(2 * MB)
        self.assertEqual(self.yielded, ["late", "running"])

    def test_running_request_of_a_client_that_sends_too_much_ahead_gives_way(self) -> None:
        running, ahead = self.open("running"), self.open("ahead")
        for account in (running, ahead):
            account.hold(4 * MB)
            account.is_running = True
        ahead.is_overfull = True
        self.now += 1
        self.open("late").hold(1)
        self.assertEqual(self.yielded, ["ahead"])

    def test_few_bytes_are_no_progress(self) -> None:
        slow, fast = self.open("slow"), self.open("fast")
        for account in (slow, fast):
            self.assertTrue(account.resize_body(3 * MB))
        self.now += 2
        slow.record_progress(1, self.now)
        fast.record_progress(MIN_PROGRESS_BYTES, self.now)
        self.assertTrue(self.open("late").resize_body(3 * MB))
        self.assertEqual(self.yielded, ["slow"])

    def test_body_without_room_is_refused_while_all_others_go_on(self) -> None:
        for number in range(2):
            self.assertTrue(self.open(str(number)).resize_body(3 * MB))
        self.assertFalse(self.open("late").resize_body(3 * MB))
        self.assertTrue(self.open("small").resize_body(LARGE_BODY_BYTES))
        self.assertEqual(self.yielded, [])

    def test_single_body_always_finds_room(self) -> None:
        single, other = self.open("single"), self.open("other")
        self.assertTrue(single.resize_body(32 * MB))
        self.assertTrue(other.resize_body(LARGE_BODY_BYTES))
        self.assertFalse(other.resize_body(MB))
        single.resize_body(0)
        self.assertTrue(other.resize_body(MB))
        self.assertEqual(self.yielded, [])

    def test_place_of_the_connection_that_is_idle_for_longest_is_taken(self) -> None:
        accounts = [
            self.open(str(number)) for number in range(self.budget.limits.max_caller_connections)
        ]
        self.now += 1
        for account in accounts:
            if account is not accounts[5]:
                account.record_step(self.now)
        self.open("late")
        self.assertEqual(self.yielded, ["5"])

    def test_probes_find_a_place_while_all_callers_run(self) -> None:
        while (account := self.budget.open(KIND_CALLERS, lambda: None)) is not None:
            account.is_running = True
        self.assertIsNotNone(self.budget.open(KIND_READINESS, lambda: None))

    def test_response_of_which_nothing_is_read_is_aborted(self) -> None:
        unread, slowly_read, steady = map(self.open, ("unread", "slowly read", "steady"))
        slowly_read.measure_unsent = lambda: int(self.now)
        steady.measure_unsent = lambda: 1000  # the buffer is full again after each piece
        for account in (unread, slowly_read, steady):
            account.start_sending(15.0, self.now)
        for _ in range(40):
            self.now += 0.5
            steady.record_progress(MIN_PROGRESS_BYTES, self.now)
            self.budget.close_stalled()
        self.assertEqual(self.yielded, ["unread"])

    def test_sums_agree_with_the_accounts_in_random_histories(self) -> None:
        rng = random.Random(1)
        accounts: list[ConnectionAccount] = []
        for _ in range(20_000):
            self.now += rng.random() * 0.2
            if not accounts or rng.random() < 0.1:
                account = self.budget.open(rng.choice((KIND_CALLERS, KIND_READINESS)), lambda: None)
                accounts += [account] if account is not None else []
                continue
            account = rng.choice(accounts)
            step = rng.randrange(4)
            if step == 0:
                account.resize_body(rng.choice((0, 1000, 100_000, 3 * MB)))
            elif step == 1:
                size = rng.randrange(100_000)
                account.hold(size)
                account.release(size)
            elif step == 2:
                account.is_running = rng.random() < 0.3
            elif account.is_ending or rng.random() < 0.3:
                account.close()
                accounts.remove(account)
            is_open = [a for a in accounts if not a.is_ending]
            self.assertEqual(self.budget.held_bytes, sum(a.held_bytes for a in is_open))
            self.assertEqual(len(self.budget.accounts), len(accounts))
            self.assertEqual(self.budget.ending_count, len(accounts) - len(is_open))
