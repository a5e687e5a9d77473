"""Test how the outcomes of a request's attempts are joined."""

import unittest
from types import SimpleNamespace

import anyio

from acaciarill.config import Upstream
from acaciarill.errors import AcaciarillError, Outcome, Step, UpstreamError
from acaciarill.telemetry import Telemetry
from acaciarill.upstreams import Dispatcher, UpstreamRequest
from acaciarill.upstreams._routing import UpstreamState


class _Client:
    """Fail attempt after attempt with the given outcomes."""

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


def _outcome(idempotent: bool, outcomes: list[Outcome]) -> tuple[Outcome, int]:
    """Return the outcome that is told to the caller, and how many attempts were made."""
    states = [_state(f"portal-{number}") for number in range(len(outcomes))]

    def choose_upstream(target, affinity, tried_upstreams):
        return next((s for s in states if s.upstream.name not in tried_upstreams), None)

    upstreams = SimpleNamespace(choose_upstream=choose_upstream, states_by_target={}, states={})
    membership = SimpleNamespace(name="h1")
    left = list(outcomes)
    dispatcher = Dispatcher(
        upstreams,
        _Client(left),
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
        raise AssertionError("no attempt may succeed here")

    return anyio.run(run).outcome, len(outcomes) - len(left)


class JoinedOutcomeTest(unittest.TestCase):
    """Tell the caller what holds for all attempts, not only for the last one."""

    def test_an_unknown_attempt_before_a_refused_one_stays_unknown(self) -> None:
        found = _outcome(True, [Outcome.UNKNOWN, Outcome.NOT_RUN])
        self.assertEqual(found, (Outcome.UNKNOWN, 2))

    def test_refused_attempts_alone_are_not_run(self) -> None:
        found = _outcome(True, [Outcome.NOT_RUN, Outcome.NOT_RUN])
        self.assertEqual(found, (Outcome.NOT_RUN, 2))

    def test_an_unknown_attempt_is_the_last_of_a_request_that_may_not_be_repeated(self) -> None:
        found = _outcome(False, [Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.NOT_RUN])
        self.assertEqual(found, (Outcome.UNKNOWN, 2))
