"""Bring a request to an upstream: choose, attempt, retry where safe, forward to a peer."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio

from ..const import MS_PER_S
from ..daemons import Membership
from ..errors import AcaciarillError, Outcome, PeerError, RefusedError, Step, UpstreamError
from ..peers import PeerLinks, messages
from ..telemetry import Telemetry
from ._answer import UpstreamRequest, UpstreamResponse
from ._client import UpstreamClient
from ._coordinator import UpstreamCoordinator
from ._retry_budget import RetryBudget
from ._routing import UpstreamState
from .const import MAX_ATTEMPTS


class Dispatcher:
    """Run attempts for requests, within the retry budget and each request's deadline."""

    def __init__(
        self,
        upstreams: UpstreamCoordinator,
        client: UpstreamClient,
        membership: Membership,
        links: PeerLinks,
        telemetry: Telemetry,
        clock: Callable[[], float],
    ) -> None:
        self.upstreams = upstreams
        self.client = client
        self.membership = membership
        self.links = links
        self.telemetry = telemetry
        self.clock = clock
        self.budget = RetryBudget()

    async def dispatch(self, request: UpstreamRequest) -> UpstreamResponse:
        """Return the first answer; the caller must close it. Raise AcaciarillError."""
        failure: AcaciarillError | None = None
        for attempt in range(MAX_ATTEMPTS):
            state = self.upstreams.choose_upstream(
                request.target, request.affinity, request.tried_upstreams
            )
            if state is None:
                break
            try:
                return await self._attempt(request, state, attempt)
            except AcaciarillError as error:
                retry = self._may_retry(request, error)
                request.note_failure(error)
                if not retry:
                    raise
                request.tried_upstreams.add(state.upstream.name)
                failure = error
        unreachable = failure is None or failure.step is Step.CONNECT
        if request.may_forward and unreachable:
            return await self._forward(request, failure)
        raise failure or _no_upstream()

    async def cancel(self, request: UpstreamRequest) -> None:
        """Tell the engine of a request's latest attempt that its answer is not wanted."""
        state = self.upstreams.states.get(request.upstream)
        if state is not None:
            await self.client.cancel(state.upstream, request.attempt_id)

    def _may_retry(self, request: UpstreamRequest, failure: AcaciarillError) -> bool:
        if not failure.is_retryable(request.idempotent) or self.clock() >= request.deadline:
            return False
        return self.budget.try_withdraw()

    async def _attempt(
        self, request: UpstreamRequest, state: UpstreamState, attempt: int
    ) -> UpstreamResponse:
        timeout_s = request.deadline - self.clock()
        if timeout_s <= 0:
            raise RefusedError("the deadline has passed", step=Step.SEND, code="deadline")
        state.in_flight += 1
        attempt_id = f"{request.request_id}.{self.membership.name}.{attempt}"
        request.upstream, request.attempt_id = state.upstream.name, attempt_id
        attributes = {"customer": request.customer, "target": request.target}
        with self.telemetry.span("upstream.attempt", attributes, request.trace_parent) as span:
            request.trace_parent = self.telemetry.trace_parent(span, request.trace_parent)
            try:
                answer = await self.client.send(state.upstream, request, attempt_id, timeout_s)
            except UpstreamError as error:
                state.in_flight -= 1
                if error.code != "upstream-refused":
                    state.fail(self.clock())
                raise
            except BaseException:
                state.in_flight -= 1
                raise
        answer.on_end = self._end_of_attempt(state)
        try:
            await answer.prefetch()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await answer.aclose()
            raise
        self.budget.deposit()
        return answer

    def _end_of_attempt(self, state: UpstreamState) -> Callable[[bool], None]:
        def end(good: bool) -> None:
            state.in_flight -= 1
            if good:
                state.succeed(self.clock())
            else:
                state.fail(self.clock())

        return end

    async def _forward(
        self, request: UpstreamRequest, failure: AcaciarillError | None
    ) -> UpstreamResponse:
        """Send the request through a daemon of a data centre that has the upstreams."""
        failure = failure or _no_upstream()
        for name in self._forward_candidates(request.target):
            try:
                return await self._forward_to(name, request)
            except PeerError as error:
                if error.outcome is Outcome.NOT_RUN and error.step is Step.CONNECT:
                    self.membership.mark_suspected(name)
                retry = self._may_retry(request, error)
                request.note_failure(error)
                failure = error
                if not retry:
                    break
        raise failure

    def _forward_candidates(self, target: str) -> list[str]:
        states = self.upstreams.states_by_target.get(target, [])
        wanted = [state.upstream.data_centre for state in states if not state.leaving]
        found: list[str] = []
        for data_centre in dict.fromkeys(wanted):
            names = [n for n in self.membership.daemons(data_centre) if n != self.membership.name]
            if names:
                found.append(self.upstreams.rng.choice(names))
        return found[:2]

    async def _forward_to(self, name: str, request: UpstreamRequest) -> UpstreamResponse:
        address = self.membership.address(name)
        deadline_ms = int((request.deadline - self.clock()) * MS_PER_S)
        attributes = {"customer": request.customer, "target": request.target}
        with self.telemetry.span("peer.forward", attributes, request.trace_parent) as span:
            frames = self.links.stream(
                address,
                forward=messages.Forward(
                    request_id=request.request_id,
                    customer=request.customer,
                    target=request.target,
                    method=request.method,
                    path=request.path,
                    headers=[messages.Header(name=n, value=v) for n, v in request.headers],
                    body=request.body,
                    deadline_ms=deadline_ms,
                    idempotent=request.idempotent,
                    trace_parent=self.telemetry.trace_parent(span, request.trace_parent),
                ),
            )
            first = await anext(frames)
        if first.forward_end is not None:
            await frames.aclose()
            raise _forward_failure(address, first.forward_end)
        head = first.forward_head
        return UpstreamResponse(
            head.status,
            [(header.name, header.value) for header in head.headers],
            _forwarded_chunks(frames, address),
            frames.aclose,
            request.request_id,
            name,
        )

    async def serve_forward(self, message: Any) -> AsyncIterator[dict[str, Any]]:
        """Answer a request that another daemon forwarded; never forward it again."""
        request = UpstreamRequest(
            request_id=message.request_id,
            customer=message.customer,
            target=message.target,
            method=message.method,
            path=message.path,
            headers=[(header.name, header.value) for header in message.headers],
            body=message.body or b"",
            deadline=self.clock() + message.deadline_ms / MS_PER_S,
            idempotent=message.idempotent,
            trace_parent=message.trace_parent or "",
            may_forward=False,
        )
        try:
            answer = await self.dispatch(request)
        except AcaciarillError as error:
            yield {"forward_end": _end_of(error)}
            return
        try:
            headers = [messages.Header(name=n, value=v) for n, v in answer.headers]
            yield {"forward_head": messages.ForwardHead(status=answer.status, headers=headers)}
            async for chunk in answer.chunks():
                yield {"forward_chunk": messages.ForwardChunk(data=chunk)}
            yield {"forward_end": messages.ForwardEnd(outcome=str(Outcome.RAN))}
        except AcaciarillError as error:
            yield {"forward_end": _end_of(error)}
        finally:
            await answer.aclose()


def _end_of(error: AcaciarillError) -> Any:
    return messages.ForwardEnd(
        outcome=str(error.outcome),
        code=error.code,
        message=error.message,
        step=str(error.step),
        retry_after_s=error.retry_after_s or 0.0,
    )


def _forward_failure(address: str, end: Any) -> PeerError:
    return PeerError(
        end.message or "the peer failed",
        step=Step(end.step) if end.step else Step.FORWARD,
        peer=address,
        outcome=Outcome(end.outcome),
        code=end.code or None,
        status=503 if end.outcome == Outcome.NOT_RUN else 502,
        retry_after_s=end.retry_after_s or None,
    )


async def _forwarded_chunks(frames: AsyncIterator[Any], address: str) -> AsyncIterator[bytes]:
    async for frame in frames:
        if frame.forward_chunk is not None:
            yield frame.forward_chunk.data
        elif frame.forward_end is not None:
            if frame.forward_end.outcome != Outcome.RAN:
                raise _forward_failure(address, frame.forward_end)
            return
    raise PeerError("the answer was cut short", step=Step.RECEIVE, peer=address)


def _no_upstream() -> RefusedError:
    return RefusedError(
        "no upstream may take the request now",
        step=Step.ROUTE,
        code="no-upstream",
        retry_after_s=1.0,
    )
