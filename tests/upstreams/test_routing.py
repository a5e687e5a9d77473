"""Test the choice of an upstream, the retry budget and the outcome of attempts."""

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
    """Choose among upstreams at a moment."""

    def setUp(self) -> None:
        self.rng = random.Random(1)

    def pick(self, states: list[UpstreamState], affinity: str = "", now: float = 100.0) -> str:
        found = choose_upstream(states, "dc-1", affinity, now, self.rng)
        return found.upstream.name if found else ""

    def test_a_leaving_or_ejected_upstream_gets_nothing(self) -> None:
        states = [state(1), state(2), state(3)]
        states[0].leaving = True
        for _ in range(3):
            states[1].fail(99.0)
        self.assertEqual({self.pick(states) for _ in range(50)}, {"u3"})

    def test_a_prefix_whose_upstream_is_busy_goes_to_its_next_ones_in_order(self) -> None:
        states = [state(number) for number in range(1, 9)]
        taken = []
        for _ in range(3):
            taken.append(self.pick(states, "prefix"))
            self.assertEqual({self.pick(states, "prefix") for _ in range(20)}, {taken[-1]})
            busy = next(s for s in states if s.upstream.name == taken[-1])
            busy.in_flight = busy.upstream.slots
        self.assertEqual(len(set(taken)), 3)
        self.assertGreater(len({self.pick(states, "prefix") for _ in range(50)}), 1)

    def test_when_all_are_ejected_one_is_tried_all_the_same(self) -> None:
        states = [state(1), state(2)]
        for broken in states:
            for _ in range(3):
                broken.fail(99.0)
        self.assertEqual({self.pick(states) for _ in range(50)}, {"u1", "u2"})
        states[0].leaving = True
        self.assertEqual({self.pick(states) for _ in range(50)}, {"u2"})
        states[1].leaving = True
        self.assertEqual(self.pick(states), "")

    def test_an_ejected_upstream_comes_back_slowly(self) -> None:
        states = [state(1), state(2)]
        for _ in range(3):
            states[0].fail(100.0)
        picks = Counter(self.pick(states, now=105.5) for _ in range(100))
        self.assertEqual(picks["u1"], 0)
        picks = Counter(self.pick(states, now=130.0) for _ in range(100))
        self.assertGreater(picks["u1"], 20)

    def test_the_own_data_centre_is_preferred_until_it_is_full(self) -> None:
        states = [state(1), state(2, "dc-2")]
        self.assertEqual({self.pick(states) for _ in range(20)}, {"u1"})
        states[0].apply_report(30, 1)
        self.assertEqual({self.pick(states) for _ in range(20)}, {"u2"})

    def test_a_prefix_keeps_its_upstream_while_that_is_not_hot(self) -> None:
        states = [state(number) for number in range(1, 6)]
        first = self.pick(states, "prefix")
        self.assertEqual({self.pick(states, "prefix") for _ in range(20)}, {first})
        hot = next(s for s in states if s.upstream.name == first)
        hot.apply_report(20, 1)
        self.assertNotIn(first, {self.pick(states, "prefix") for _ in range(20)})

    def test_an_old_report_makes_no_herd(self) -> None:
        states = [state(number) for number in range(1, 5)]
        for busy in states[1:]:
            busy.apply_report(5, 1)
        for _ in range(40):
            chosen = choose_upstream(states, "dc-1", "", 100.0, self.rng)
            chosen.in_flight += 1
        counts = [s.in_flight for s in states]
        self.assertLess(max(counts), 20)


class RetryBudgetTest(unittest.TestCase):
    """Spend what successes earn."""

    def test_an_outage_ends_retries_and_successes_earn_them_back(self) -> None:
        budget = RetryBudget(share=0.1, reserve=2, limit=5)
        self.assertEqual([budget.try_withdraw() for _ in range(4)], [True, True, False, False])
        for _ in range(11):
            budget.deposit()
        self.assertEqual([budget.try_withdraw(), budget.try_withdraw()], [True, False])


class OutcomeTest(unittest.TestCase):
    """Tell what may be tried again."""

    def test_the_rule(self) -> None:
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

    def test_no_credential_passes_the_filter(self) -> None:
        names = [b"Authorization", b"cookie", b"X-Api-Key", b"connection", b"accept"]
        kept = filter_request_headers([(name, b"v") for name in names])
        self.assertEqual(kept, [(b"accept", b"v")])
