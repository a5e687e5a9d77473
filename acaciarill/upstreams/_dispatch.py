"""Dispatch requests to upstreams, with safe retries and forwarding to other daemons."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio

from ..const import MS_PER_S
from ..daemons import Membership
from ..errors import AcaciarillError, Outcome, PeerError, RefusedError, Step, UpstreamError
from ..peers import PeerLinks, messages
from ..telemetry import Telemetry
from ._client import UpstreamClient
from ._coordinator import UpstreamCoordinator
from ._messages import UpstreamRequest, UpstreamResponse
from ._retry_budget import RetryBudget
from ._routing import UpstreamState
from .const import MAX_ATTEMPTS


class Dispatcher:
    """Send requests to upstreams, within the retry budget and each request's deadline."""

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
        self.retry_budget = RetryBudget()

    async def dispatch(self, request: UpstreamRequest) -> UpstreamResponse:
        """Return the response of the first successful attempt; the caller must close it.

        The request is forwarded to another daemon only when no upstream could be chosen or the
        last attempt failed to connect. Raise AcaciarillError when no attempt succeeds.
        """
        failure: AcaciarillError | None = None
        for attempt in range(MAX_ATTEMPTS):
            state = self.upstreams.choose_upstream(
                request.target, request.affinity, request.tried_upstreams
            )
            if state is None:
                break
            try:
                return await self._send_attempt(request, state, attempt)
            except AcaciarillError as error:
                retry = self._withdraw_retry(request, error)
                request.record_failure(error)
                if not retry:
                    raise
                request.tried_upstreams.add(state.upstream.name)
                failure = error
        unreachable = failure is None or failure.step is Step.CONNECT
        if request.may_forward and unreachable:
            return await self._forward(request, failure)
        raise failure or _no_upstream_error()

    async def cancel(self, request: UpstreamRequest) -> None:
        """Cancel the latest attempt of a request at its upstream."""
        state = self.upstreams.states.get(request.upstream)
        if state is not None:
            await self.client.cancel(state.upstream, request.attempt_id)

    def _withdraw_retry(self, request: UpstreamRequest, failure: AcaciarillError) -> bool:
        """Return whether a retry is safe and in time, and withdraw it from the retry budget."""
        if not failure.is_retryable(request.idempotent) or self.clock() >= request.deadline:
            return False
        return self.retry_budget.try_withdraw()

    async def _send_attempt(
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
                response = await self.client.send(state.upstream, request, attempt_id, timeout_s)
            except UpstreamError as error:
                state.in_flight -= 1
                if error.code != "upstream-refused":
                    state.record_failure(self.clock())
                raise
            except BaseException:
                state.in_flight -= 1
                raise
        response.on_end = self._attempt_end_callback(state)
        try:
            await response.prefetch()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await response.aclose()
            raise
        self.retry_budget.deposit()
        return response

    def _attempt_end_callback(self, state: UpstreamState) -> Callable[[bool], None]:
        def end(complete: bool) -> None:
            state.in_flight -= 1
            if complete:
                state.record_success(self.clock())
            else:
                state.record_failure(self.clock())

        return end

    async def _forward(
        self, request: UpstreamRequest, failure: AcaciarillError | None
    ) -> UpstreamResponse:
        """Forward the request to a daemon of a data centre that has upstreams for its target."""
        failure = failure or _no_upstream_error()
        for name in self._forward_candidates(request.target):
            try:
                return await self._forward_to(name, request)
            except PeerError as error:
                if error.outcome is Outcome.NOT_RUN and error.step is Step.CONNECT:
                    self.membership.mark_suspected(name)
                retry = self._withdraw_retry(request, error)
                request.record_failure(error)
                failure = error
                if not retry:
                    break
        raise failure

    def _forward_candidates(self, target: str) -> list[str]:
        """Return one random daemon of each of up to two data centres with upstreams."""
        states = self.upstreams.states_by_target.get(target, [])
        data_centres = [state.upstream.data_centre for state in states if not state.leaving]
        candidates: list[str] = []
        for data_centre in dict.fromkeys(data_centres):
            names = [n for n in self.membership.daemons(data_centre) if n != self.membership.name]
            if names:
                candidates.append(self.upstreams.rng.choice(names))
        return candidates[:2]

    async def _forward_to(self, name: str, request: UpstreamRequest) -> UpstreamResponse:
        address = self.membership.address(name)
        timeout_s = request.deadline - self.clock()
        attributes = {"customer": request.customer, "target": request.target}
        with self.telemetry.span("peer.forward", attributes, request.trace_parent) as span:
            frames = self.links.stream(
                address,
                timeout_s,
                forward=messages.Forward(
                    request_id=request.request_id,
                    customer=request.customer,
                    target=request.target,
                    method=request.method,
                    path=request.path,
                    headers=[messages.Header(name=n, value=v) for n, v in request.headers],
                    body=request.body,
                    deadline_ms=int(timeout_s * MS_PER_S),
                    idempotent=request.idempotent,
                    trace_parent=self.telemetry.trace_parent(span, request.trace_parent),
                ),
            )
            first = await anext(frames)
        if first.forward_end is not None:
            await frames.aclose()
            raise _build_forward_error(address, first.forward_end)
        head = first.forward_head
        return UpstreamResponse(
            head.status,
            [(header.name, header.value) for header in head.headers],
            _forwarded_chunks(frames, address),
            frames.aclose,
            request.request_id,
            name,
            request.max_response_bytes,
        )

    async def serve_forward(self, message: Any) -> AsyncIterator[dict[str, Any]]:
        """Serve a request that another daemon forwarded, without forwarding it again."""
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
            response = await self.dispatch(request)
        except AcaciarillError as error:
            yield {"forward_end": _build_forward_end(error)}
            return
        try:
            headers = [messages.Header(name=n, value=v) for n, v in response.headers]
            yield {"forward_head": messages.ForwardHead(status=response.status, headers=headers)}
            async for chunk in response.chunks():
                yield {"forward_chunk": messages.ForwardChunk(data=chunk)}
            yield {"forward_end": messages.ForwardEnd(outcome=str(Outcome.RAN))}
        except AcaciarillError as error:
            yield {"forward_end": _build_forward_end(error)}
        finally:
            await response.aclose()


def _build_forward_end(error: AcaciarillError) -> Any:
    return messages.ForwardEnd(
        outcome=str(error.outcome),
        code=error.code,
        message=error.message,
        step=str(error.step),
        retry_after_s=error.retry_after_s or 0.0,
    )


def _build_forward_error(address: str, end: Any) -> PeerError:
    return PeerError(
        end.message or "the peer could not serve the request",
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
                raise _build_forward_error(address, frame.forward_end)
            return
    raise PeerError("the response was cut short", step=Step.RECEIVE, peer=address)


def _no_upstream_error() -> RefusedError:
    return RefusedError(
        "no upstream can accept the request now",
        step=Step.ROUTE,
        code="no-upstream",
        retry_after_s=1.0,
    )
