"""Forward one request to upstreams, within the limits of its route and its deadline."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from eliot import log_message

from ..edge import CONNECTION_LOST, HttpResponse
from ..errors import AcaciarillError, Outcome, RefusedError, Step, UpstreamError
from ._attempts import UPSTREAM_LEFT, Attempt, AttemptSender
from ._crash_detection import CrashDetector
from ._model import ResponseMetadata, Route
from ._quarantine import Quarantine
from ._request_keys import compute_request_key
from ._upstreams import UpstreamState, UpstreamTable
from .const import (
    ATTEMPT_TIMEOUT_FACTOR,
    ATTEMPT_TIMEOUT_MIN_S,
    DEADLINE_RESERVE_S,
    LIMIT_PATIENCE_FACTOR,
    RETRY_AFTER_JITTER_S,
    RETRY_AFTER_MIN_S,
    RETRY_DELAY_MAX_S,
)

STATUS_SERVER_ERROR = 500
STATUS_GATEWAY_TIMEOUT = 504
ALL_LIMITED = "all upstreams of the service have reached their rate limits"
ATTEMPT_TIMED_OUT = "attempt-timed-out"
"""Code of the error for an attempt that was given up without a response."""
UPSTREAM_FULL = "upstream-full"
"""Code of the error for a request that an upstream rejected without running it."""


@dataclass(slots=True)
class ForwardedRequest:
    """Hold one request to forward and the progress of its attempts.

    `deadline` is on the daemon's clock. Only a metered request is counted as usage. No client waits
    for the response of a background request, which waits for no permit ahead of clients' requests.
    `server_error_count` counts the responses with status 500. `is_resumption` says that the client
    takes up a stream; `resumed_id` names the request that brought its first event, if it does.
    """

    id: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    route: Route
    service: str
    customer: str
    deadline: float
    metered: bool = True
    background: bool = False
    attempted_upstreams: list[str] = field(default_factory=list)
    may_have_run: bool = False
    server_error_count: int = 0
    is_resumption: bool = False
    resumed_id: str = ""
    cached_key: str = ""

    @property
    def key(self) -> str:
        """Return the key that this request shares with all others that are the same."""
        if not self.cached_key:
            self.cached_key = compute_request_key(
                self.method, self.route.host, self.target, self.customer, self.body
            )
        return self.cached_key


class Forwarder:
    """Send requests to upstreams and retry where that is safe.

    `on_run` is called with the customer and the time of sending for attempts that may have run.
    Background requests are neither reported to `crash_detector` nor quarantined.
    """

    def __init__(
        self,
        sender: AttemptSender,
        table: UpstreamTable,
        clock: Callable[[], float],
        rng: random.Random,
        on_run: Callable[[str, float], None] = lambda customer, at: None,
        crash_detector: CrashDetector | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.sender = sender
        self.table = table
        self.clock = clock
        self.rng = rng
        self.on_run = on_run
        self.crash_detector = crash_detector
        self.quarantine = quarantine

    async def forward(self, request: ForwardedRequest) -> HttpResponse:
        """Return an upstream's response; raise AcaciarillError if none arrives by the deadline.

        The error's outcome is NOT_RUN only if no attempt can have run.
        """
        last_error: AcaciarillError | None = None
        while len(request.attempted_upstreams) < max(1, request.route.max_attempts):
            remaining_s = request.deadline - self.clock() - DEADLINE_RESERVE_S
            if remaining_s <= 0:
                break
            state = self.table.choose(request.service, request.attempted_upstreams)
            if state is None and request.attempted_upstreams:  # all of them were attempted
                state = self.table.choose(request.service)
            if state is None:
                raise self._refusal_error(request, "no upstream of the service accepts requests")
            on_sent = await self.admit(request)
            if not await self.acquire_permit(request, state):
                continue
            remaining_s = request.deadline - self.clock() - DEADLINE_RESERVE_S
            if remaining_s <= 0:
                break
            request.attempted_upstreams.append(state.upstream.id)
            try:
                return await self._attempt(request, state, remaining_s, on_sent)
            except UpstreamError as error:
                if error.code == UPSTREAM_LEFT:
                    request.attempted_upstreams.pop()
                    continue
                last_error = error
                request.may_have_run |= error.outcome is not Outcome.NOT_RUN
                self._log_failed_attempt(request, state, error)
                await self.record_failure(request, state, error)
                if not error.is_retryable(request.route.repeatable):
                    break
            await anyio.sleep(RETRY_DELAY_MAX_S * self.rng.random())
        raise self._final_error(request, last_error)

    async def admit(self, request: ForwardedRequest) -> Callable[[], None] | None:
        """Return what to call when the request is sent, if it runs as a trial.

        Raise AcaciarillError if it may not run because upstreams crashed when it did.
        """
        quarantine = self.quarantine
        if quarantine is None or not quarantine.records or request.background:
            return None
        try:
            now = self.clock()
            usable = [s for s in self.table.states_for(request.service) if s.is_usable(now)]
            if not await quarantine.admit(
                request.key, request.id, self._patience_s(request, now), len(usable) < 2
            ):
                return None
        except RefusedError as error:
            if not request.may_have_run:
                raise
            raise UpstreamError(error.message, step=error.step, code=error.code) from error
        trial_id = f"{request.id}/{len(request.attempted_upstreams)}"
        return lambda: quarantine.record_trial(request.key, trial_id)

    async def record_failure(
        self, request: ForwardedRequest, state: UpstreamState, error: UpstreamError
    ) -> None:
        """Record a failed attempt if the upstream may have crashed when it ran the request."""
        if self.crash_detector is None or request.background or error.step is Step.FORWARD:
            return  # the upstream may be well: a daemon that passed the request on failed
        if error.code == CONNECTION_LOST:
            await self.crash_detector.record_lost_connection(state, request.key)
        elif error.code == ATTEMPT_TIMED_OUT and error.outcome is not Outcome.NOT_RUN:
            self.crash_detector.record_abandoned(state, request.key)

    def record_cancelled(
        self, request: ForwardedRequest, state: UpstreamState, attempt: Attempt
    ) -> None:
        """Record that the client left while an attempt was in progress."""
        if self.crash_detector is not None and attempt.sent and not request.background:
            self.crash_detector.record_abandoned(state, request.key)

    def record_completed(self, request: ForwardedRequest) -> None:
        """Record that an upstream ran the request to its end, so that it does not crash them."""
        if self.quarantine is not None and self.quarantine.records and not request.background:
            self.quarantine.release(request.key, "the request completed")

    async def acquire_permit(self, request: ForwardedRequest, state: UpstreamState) -> bool:
        """Return whether the request may be sent now, or False if another upstream may accept it.

        Raise AcaciarillError with the time of the next permit if no upstream can accept it in time.
        """
        now = self.clock()
        is_last_choice = state.limited_until > now
        max_wait_s = self._patience_s(request, now) if is_last_choice else 0.0
        if is_last_choice and not max_wait_s:
            raise self._refusal_error(request, ALL_LIMITED, state.limited_until - now)
        try:
            await self.sender.acquire_permit(state, max_wait_s)
        except UpstreamError as error:
            if is_last_choice:
                raise self._refusal_error(request, ALL_LIMITED, error.retry_after_s) from error
            return False
        return True

    def _patience_s(self, request: ForwardedRequest, now: float) -> float:
        """Return how long a request waits for a permit: if it may have run, to its deadline."""
        if request.background:
            return 0.0
        remaining_s = max(0.0, request.deadline - now - DEADLINE_RESERVE_S)
        if request.may_have_run:
            return remaining_s
        return min(remaining_s, LIMIT_PATIENCE_FACTOR * request.route.latency_objective_s)

    async def _attempt(
        self,
        request: ForwardedRequest,
        state: UpstreamState,
        remaining_s: float,
        on_sent: Callable[[], None] | None,
    ) -> HttpResponse:
        started_at = self.clock()
        attempt = Attempt(
            state.upstream,
            request.id,
            remaining_s,
            request.customer,
            on_sent=on_sent,
            may_break=request.route.repeatable,
        )
        rejected = False
        state.in_flight += 1
        try:
            with anyio.move_on_after(self._attempt_timeout_s(request, remaining_s)):
                async with self.sender.open(
                    state, attempt, request.method, request.target, request.headers, request.body
                ) as response:
                    http_response = HttpResponse(response.head, await response.exchange.read_body())
                    return self._check_response(request, state, http_response, response.metadata)
            raise UpstreamError(
                "upstream did not respond within the attempt timeout",
                step=Step.RECEIVE if attempt.sent else Step.CONNECT,
                peer=state.upstream.id,
                outcome=Outcome.UNKNOWN if attempt.sent else Outcome.NOT_RUN,
                code=ATTEMPT_TIMED_OUT,
            )
        except anyio.get_cancelled_exc_class():
            self.record_cancelled(request, state, attempt)
            raise
        except UpstreamError as error:
            rejected = error.code == UPSTREAM_FULL
            if rejected:
                state.record_overload(self.clock())
            elif error.code != UPSTREAM_LEFT and self.sender.is_upstream_fault(attempt, error):
                state.record_failure(self.clock())
                self.sender.pool.close_idle_connections(state.upstream.address)
            raise
        finally:
            if request.metered and attempt.sent and not rejected:
                self.on_run(request.customer, started_at)
            state.in_flight -= 1
            self.table.notify_listeners()

    def _attempt_timeout_s(self, request: ForwardedRequest, remaining_s: float) -> float:
        """Return the timeout of one attempt in seconds, which leaves time for an allowed retry."""
        if (
            not request.route.repeatable
            or len(request.attempted_upstreams) >= request.route.max_attempts
        ):
            return remaining_s
        attempt_timeout_s = max(
            ATTEMPT_TIMEOUT_MIN_S, ATTEMPT_TIMEOUT_FACTOR * request.route.latency_objective_s
        )
        return min(remaining_s, attempt_timeout_s * len(request.attempted_upstreams))

    def _check_response(
        self,
        request: ForwardedRequest,
        state: UpstreamState,
        http_response: HttpResponse,
        metadata: ResponseMetadata,
    ) -> HttpResponse:
        """Return a response that may be forwarded to the client; otherwise raise UpstreamError."""
        if metadata.not_run:
            raise UpstreamError(
                f"upstream rejected the request with status {http_response.head.status}",
                step=Step.ADMIT,
                peer=state.upstream.id,
                outcome=Outcome.NOT_RUN,
                code=UPSTREAM_FULL,
            )
        # a 504 means only that the deadline passed
        if http_response.head.status != STATUS_GATEWAY_TIMEOUT:
            self.record_completed(request)
        if http_response.head.status == STATUS_SERVER_ERROR:
            request.server_error_count += 1
        if http_response.head.status >= STATUS_SERVER_ERROR and request.route.repeatable:
            if len(request.attempted_upstreams) < request.route.max_attempts:
                raise UpstreamError(
                    f"upstream failed with status {http_response.head.status}",
                    step=Step.RECEIVE,
                    peer=state.upstream.id,
                    code="upstream-error",
                )
            return http_response
        state.record_success()
        return http_response

    def _final_error(
        self, request: ForwardedRequest, last_error: AcaciarillError | None
    ) -> AcaciarillError:
        """Return the error for the client; its outcome says whether the request may have run."""
        if request.may_have_run:
            return UpstreamError(
                "no upstream responded before the deadline",
                step=Step.RECEIVE,
                status=504,
                outcome=Outcome.UNKNOWN,
            )
        return self._refusal_error(
            request,
            str(last_error) if last_error is not None else "deadline exceeded",
        )

    def _refusal_error(
        self, request: ForwardedRequest, reason: str, retry_after_s: float | None = None
    ) -> AcaciarillError:
        if request.may_have_run:
            return UpstreamError(reason, step=Step.ROUTE, status=502, outcome=Outcome.UNKNOWN)
        if retry_after_s is None:
            retry_after_s = RETRY_AFTER_MIN_S + RETRY_AFTER_JITTER_S * self.rng.random()
        return RefusedError(reason, step=Step.ADMIT, retry_after_s=retry_after_s)

    def _log_failed_attempt(
        self, request: ForwardedRequest, state: UpstreamState, error: UpstreamError
    ) -> None:
        log_message(
            message_type="request:attempt_failed",
            request=request.id,
            request_key=request.key,
            attempt=len(request.attempted_upstreams),
            upstream=state.upstream.id,
            step=str(error.step),
            outcome=str(error.outcome),
            reason=error.message,
            in_flight=state.in_flight,
            load_age_s=(
                round(self.clock() - state.load_reported_at, 2) if state.load_reported_at else None
            ),
        )
