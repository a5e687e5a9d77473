"""Test how the Dispatcher merges the outcomes of a request's attempts."""

import unittest
from types import SimpleNamespace

import anyio

from acaciarill.config import Upstream
from acaciarill.errors import AcaciarillError, Outcome, Step, UpstreamError
from acaciarill.telemetry import Telemetry
from acaciarill.upstreams import Dispatcher, UpstreamRequest
from acaciarill.upstreams._routing import UpstreamState


class _Client:
    """Fail one attempt with each of the given outcomes, in order."""

    def __init__(self, outcomes: list[Outcome]) -> None:
        self.outcomes = outcomes

    async def send(self, upstream, request, attempt_id, timeout_s):
        outcome = self.outcomes.pop(0)
        step = Step.CONNECT if outcome is Outcome.NOT_RUN else Step.RECEIVE
        raise UpstreamError("failed", step=step, peer=upstream.name, outcome=outcome)


def _state(name: str) -> UpstreamState:
    return UpstreamState(
        Upstream(
            name=name,
            serves="portal",
            kind="plain",
            data_centre="almaty-1",
            address="127.0.0.1:1",
            price_per_hour=1.0,
            slots=4,
        )
    )


def _dispatch(idempotent: bool, outcomes: list[Outcome]) -> tuple[Outcome, int]:
    """Return the outcome that the client sees and the number of attempts."""
    states = [_state(f"portal-{number}") for number in range(len(outcomes))]

    def choose_upstream(target, affinity, tried_upstreams):
        return next((s for s in states if s.upstream.name not in tried_upstreams), None)

    upstreams = SimpleNamespace(choose_upstream=choose_upstream, states_by_target={}, states={})
    membership = SimpleNamespace(name="h1")
    remaining_outcomes = list(outcomes)
    dispatcher = Dispatcher(
        upstreams,
        _Client(remaining_outcomes),
        membership,
        None,
        Telemetry("h1", "almaty-1", 0.0, ""),
        lambda: 0.0,
    )
    request = UpstreamRequest(
        "id", "filers", "portal", "POST", "/", [], b"", 10.0, idempotent=idempotent
    )

    async def run() -> AcaciarillError:
        try:
            await dispatcher.dispatch(request)
        except AcaciarillError as error:
            return error
        raise AssertionError("an attempt succeeded although every one must fail")

    return anyio.run(run).outcome, len(outcomes) - len(remaining_outcomes)


class MergedOutcomeTest(unittest.TestCase):
    """Check that the outcome covers all attempts, not only the last one."""

    def test_outcome_stays_unknown_when_a_later_attempt_is_not_run(self) -> None:
        result = _dispatch(True, [Outcome.UNKNOWN, Outcome.NOT_RUN])
        self.assertEqual(result, (Outcome.UNKNOWN, 2))

    def test_outcome_is_not_run_when_no_attempt_was_run(self) -> None:
        result = _dispatch(True, [Outcome.NOT_RUN, Outcome.NOT_RUN])
        self.assertEqual(result, (Outcome.NOT_RUN, 2))

    def test_non_idempotent_request_is_not_retried_after_unknown_outcome(self) -> None:
        result = _dispatch(False, [Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.NOT_RUN])
        self.assertEqual(result, (Outcome.UNKNOWN, 2))
