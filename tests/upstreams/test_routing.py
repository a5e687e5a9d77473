"""Test the choice of an upstream, the retry budget, the retry rule and the header filter."""

import random
import unittest
from collections import Counter

from acaciarill.config import Upstream
from acaciarill.errors import AcaciarillError, BadRequestError, Outcome, Step
from acaciarill.upstreams import RetryBudget, UpstreamState, choose_upstream, filter_request_headers


def state(number: int, data_centre: str = "dc-1", slots: int = 10) -> UpstreamState:
    return UpstreamState(
        Upstream(f"u{number}", "m", data_centre, f"127.0.0.1:{number}", slots=slots)
    )


class ChooseTest(unittest.TestCase):
    """Choose among upstreams with a seeded random generator."""

    def setUp(self) -> None:
        self.rng = random.Random(1)

    def choose_name(
        self, states: list[UpstreamState], affinity: str = "", now: float = 100.0
    ) -> str:
        chosen = choose_upstream(states, "dc-1", affinity, now, self.rng)
        return chosen.upstream.name if chosen else ""

    def test_leaving_and_ejected_upstreams_are_not_chosen(self) -> None:
        states = [state(1), state(2), state(3)]
        states[0].leaving = True
        for _ in range(3):
            states[1].record_failure(99.0)
        self.assertEqual({self.choose_name(states) for _ in range(50)}, {"u3"})

    def test_affinity_falls_back_to_the_next_candidate_when_one_is_busy(self) -> None:
        states = [state(number) for number in range(1, 9)]
        chosen_names = []
        for _ in range(3):
            chosen_names.append(self.choose_name(states, "prefix"))
            self.assertEqual(
                {self.choose_name(states, "prefix") for _ in range(20)}, {chosen_names[-1]}
            )
            busy = next(s for s in states if s.upstream.name == chosen_names[-1])
            busy.in_flight = busy.upstream.slots
        self.assertEqual(len(set(chosen_names)), 3)
        self.assertGreater(len({self.choose_name(states, "prefix") for _ in range(50)}), 1)

    def test_ejected_upstreams_are_used_when_all_are_ejected(self) -> None:
        states = [state(1), state(2)]
        for broken in states:
            for _ in range(3):
                broken.record_failure(99.0)
        self.assertEqual({self.choose_name(states) for _ in range(50)}, {"u1", "u2"})
        states[0].leaving = True
        self.assertEqual({self.choose_name(states) for _ in range(50)}, {"u2"})
        states[1].leaving = True
        self.assertEqual(self.choose_name(states), "")

    def test_ejected_upstream_gets_requests_again_after_a_slow_start(self) -> None:
        states = [state(1), state(2)]
        for _ in range(3):
            states[0].record_failure(100.0)
        counts = Counter(self.choose_name(states, now=105.5) for _ in range(100))
        self.assertEqual(counts["u1"], 0)
        counts = Counter(self.choose_name(states, now=130.0) for _ in range(100))
        self.assertGreater(counts["u1"], 20)

    def test_local_data_centre_is_preferred_until_it_is_full(self) -> None:
        states = [state(1), state(2, "dc-2")]
        self.assertEqual({self.choose_name(states) for _ in range(20)}, {"u1"})
        states[0].apply_report(30, 1)
        self.assertEqual({self.choose_name(states) for _ in range(20)}, {"u2"})

    def test_affinity_keeps_its_upstream_until_that_is_overloaded(self) -> None:
        states = [state(number) for number in range(1, 6)]
        first = self.choose_name(states, "prefix")
        self.assertEqual({self.choose_name(states, "prefix") for _ in range(20)}, {first})
        overloaded = next(s for s in states if s.upstream.name == first)
        overloaded.apply_report(20, 1)
        self.assertNotIn(first, {self.choose_name(states, "prefix") for _ in range(20)})

    def test_stale_report_does_not_send_all_requests_to_one_upstream(self) -> None:
        states = [state(number) for number in range(1, 5)]
        for busy in states[1:]:
            busy.apply_report(5, 1)
        for _ in range(40):
            chosen = choose_upstream(states, "dc-1", "", 100.0, self.rng)
            chosen.in_flight += 1
        counts = [s.in_flight for s in states]
        self.assertLess(max(counts), 20)


class RetryBudgetTest(unittest.TestCase):
    """Withdraw retries that successes have deposited."""

    def test_retries_stop_without_successes_and_resume_with_them(self) -> None:
        budget = RetryBudget(retries_per_success=0.1, initial_balance=2, max_balance=5)
        self.assertEqual([budget.try_withdraw() for _ in range(4)], [True, True, False, False])
        for _ in range(11):
            budget.deposit()
        self.assertEqual([budget.try_withdraw(), budget.try_withdraw()], [True, False])


class RetryRuleAndHeaderFilterTest(unittest.TestCase):
    """Check which outcomes allow a retry and which headers reach an upstream."""

    def test_retry_is_allowed_by_outcome_and_idempotency(self) -> None:
        for outcome, idempotent, expected in (
            (Outcome.NOT_RUN, False, True),
            (Outcome.NOT_RUN, True, True),
            (Outcome.UNKNOWN, False, False),
            (Outcome.UNKNOWN, True, True),
            (Outcome.RAN, True, False),
        ):
            error = AcaciarillError("x", step=Step.SEND, outcome=outcome)
            self.assertEqual(error.is_retryable(idempotent), expected)
        self.assertFalse(BadRequestError("x", step=Step.PARSE).is_retryable(True))

    def test_credentials_and_hop_by_hop_headers_are_removed(self) -> None:
        names = [b"Authorization", b"cookie", b"X-Api-Key", b"connection", b"accept"]
        forwarded = filter_request_headers([(name, b"v") for name in names])
        self.assertEqual(forwarded, [(b"accept", b"v")])
