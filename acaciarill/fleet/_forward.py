"""Forward one request to upstreams, within what its route and its caller allow."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from eliot import log_message

from ..edge import Reply
from ..errors import AcaciarillError, Outcome, RefusedError, Step, UpstreamError
from ._attempts import Attempt, AttemptSender
from ._model import AnswerFacts, Route
from ._upstreams import UpstreamState, UpstreamTable
from .const import (
    ATTEMPT_MIN_S,
    ATTEMPT_OBJECTIVE_FACTOR,
    DEADLINE_RESERVE_S,
    RETRY_AFTER_MIN_S,
    RETRY_AFTER_SPREAD_S,
    RETRY_PAUSE_S,
)

STATUS_SERVER_ERROR = 500


@dataclass(slots=True)
class Call:
    """Hold one request to forward; `deadline` is on the daemon's clock."""

    id: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    route: Route
    service: str
    customer: str
    deadline: float
    counted: bool = True
    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False
    error_replies: int = 0


class Forwarder:
    """Send requests to upstreams and retry where that is safe."""

    def __init__(
        self,
        sender: AttemptSender,
        table: UpstreamTable,
        clock: Callable[[], float],
        chance: random.Random,
        on_run: Callable[[str, float], None] = lambda customer, at: None,
    ) -> None:
        self.sender = sender
        self.table = table
        self.clock = clock
        self.chance = chance
        self.on_run = on_run

    async def forward(self, call: Call) -> Reply:
        """Return the answer of an upstream; raise AcaciarillError when there is none in time.

        The error's outcome is NOT_RUN only when no attempt can have run.
        """
        last: AcaciarillError | None = None
        while len(call.tried) < max(1, call.route.max_attempts):
            left = call.deadline - self.clock() - DEADLINE_RESERVE_S
            if left <= 0:
                break
            state = self.table.choose(call.service, call.tried)
            if state is None and call.tried:
                state = self.table.choose(call.service)
            if state is None:
                raise self._refusal(call, "no upstream of the service is known")
            call.tried.append(state.upstream.id)
            try:
                return await self._attempt(call, state, left)
            except UpstreamError as error:
                last = error
                call.may_have_run |= error.outcome is not Outcome.NOT_RUN
                self._log_failed(call, state, error)
                if not error.is_retryable(call.route.repeatable):
                    break
            await anyio.sleep(RETRY_PAUSE_S * self.chance.random())
        raise self._final(call, last)

    async def _attempt(self, call: Call, state: UpstreamState, left: float) -> Reply:
        now = self.clock()
        attempt_s = self._attempt_s(call, left)
        attempt = Attempt(state.upstream, left, call.customer)
        state.in_flight += 1
        try:
            with anyio.move_on_after(attempt_s):
                async with self.sender.open(
                    state, attempt, call.method, call.target, call.headers, call.body
                ) as answer:
                    reply = Reply(answer.head, await answer.exchange.read_body())
                    return self._take(call, state, reply, answer.facts, now)
        except UpstreamError as error:
            if error.outcome is not Outcome.NOT_RUN and call.counted:
                self.on_run(call.customer, now)
            state.note_failure(self.clock())
            self.sender.pool.forget(state.upstream.address)
            raise
        finally:
            state.in_flight -= 1
            self.table.changed()
        if call.counted:
            self.on_run(call.customer, now)
        state.note_failure(self.clock())
        self.sender.pool.forget(state.upstream.address)
        raise UpstreamError("no answer in time", step=Step.RECEIVE, peer=state.upstream.id)

    def _attempt_s(self, call: Call, left: float) -> float:
        """Return how long one attempt may take, so that another may follow."""
        if not call.route.repeatable or len(call.tried) >= call.route.max_attempts:
            return left
        patience = max(ATTEMPT_MIN_S, ATTEMPT_OBJECTIVE_FACTOR * call.route.objective_s)
        return min(left, patience * len(call.tried))

    def _take(
        self, call: Call, state: UpstreamState, reply: Reply, facts: AnswerFacts, sent_at: float
    ) -> Reply:
        """Return an answer that may be passed on, or raise UpstreamError."""
        if facts.not_run:
            state.note_full(self.clock())
            raise UpstreamError(
                f"refused with {reply.head.status}",
                step=Step.ADMIT,
                peer=state.upstream.id,
                outcome=Outcome.NOT_RUN,
                code="upstream-full",
            )
        if facts.request_id != call.id:
            raise UpstreamError(
                "the answer is not to this request", step=Step.RECEIVE, peer=state.upstream.id
            )
        if call.counted:
            self.on_run(call.customer, sent_at)
        if reply.head.status == STATUS_SERVER_ERROR:  # a 504 says that time ran out, no more
            call.error_replies += 1
        if reply.head.status >= STATUS_SERVER_ERROR and call.route.repeatable:
            if len(call.tried) < call.route.max_attempts:
                raise UpstreamError(
                    f"failed with {reply.head.status}",
                    step=Step.RECEIVE,
                    peer=state.upstream.id,
                    code="upstream-error",
                )
            return reply
        state.note_success()
        return reply

    def _final(self, call: Call, last: AcaciarillError | None) -> AcaciarillError:
        """Return the error that tells the caller truly whether the request may have run."""
        if call.may_have_run:
            return UpstreamError(
                "no upstream answered in time",
                step=Step.RECEIVE,
                status=504,
                outcome=Outcome.UNKNOWN,
            )
        return self._refusal(call, str(last) if last is not None else "no time left")

    def _refusal(self, call: Call, reason: str) -> AcaciarillError:
        if call.may_have_run:
            return UpstreamError(reason, step=Step.ROUTE, status=502, outcome=Outcome.UNKNOWN)
        pause = RETRY_AFTER_MIN_S + RETRY_AFTER_SPREAD_S * self.chance.random()
        return RefusedError(reason, step=Step.ADMIT, retry_after_s=pause)

    def _log_failed(self, call: Call, state: UpstreamState, error: UpstreamError) -> None:
        log_message(
            message_type="request:attempt_failed",
            request=call.id,
            attempt=len(call.tried),
            upstream=state.upstream.id,
            step=str(error.step),
            outcome=str(error.outcome),
            reason=error.message,
            in_flight=state.in_flight,
            load_age_s=round(self.clock() - state.reported_at, 2) if state.reported_at else None,
        )
