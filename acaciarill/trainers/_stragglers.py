"""Hedge straggling generations: start a second attempt for one that takes unusually long."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc

from ..callers import DurationEstimator
from ..errors import AcaciarillError, Step, UpstreamError
from ..untrusted_json import decode_value, require_object
from ..upstreams import Dispatcher, UpstreamRequest
from .const import (
    GENERATION_TIMEOUT_S,
    HEDGE_CHECK_PERIOD_S,
    HEDGE_DELAY_FACTOR,
    HEDGE_DELAY_MARGIN_S,
)


def hedge_delay_s(durations: DurationEstimator, model: str, tokens: int) -> float:
    """Return the seconds after which to hedge; infinity while too few durations are recorded."""
    median_s = durations.median_s(model, tokens)
    if median_s is None:
        return float("inf")
    return median_s * HEDGE_DELAY_FACTOR + HEDGE_DELAY_MARGIN_S


@dataclass(slots=True)
class GenerationResponse:
    """Hold a complete response of an engine and the attempt that returned it."""

    status: int
    final_record: dict[str, Any]
    attempt_id: str
    upstream: str


class HedgedGeneration:
    """Run a primary attempt, hedge it at another upstream after a delay, use the first response."""

    def __init__(self, dispatcher: Dispatcher, hedge_delay_s: Callable[[], float]) -> None:
        self.dispatcher = dispatcher
        self.hedge_delay_s = hedge_delay_s
        self.response: GenerationResponse | None = None
        self.failure: AcaciarillError | None = None
        self.running: list[UpstreamRequest] = []
        self.attempt_ended = anyio.Event()
        self.duration_s = 0.0

    async def run(
        self, requests: Sequence[UpstreamRequest], try_withdraw_budget: Callable[[], bool]
    ) -> tuple[GenerationResponse, float]:
        """Return the first response and its duration in seconds.

        Raise AcaciarillError if every attempt fails. An attempt that is still running when a
        response arrives is cancelled at its upstream.
        """
        primary, hedge = requests
        with anyio.move_on_after(GENERATION_TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                self._start_attempt(task_group, primary)
                await self._wait_for_hedge_delay()
                if self.response is None and self.running and try_withdraw_budget():
                    hedge.tried_upstreams.add(primary.upstream)
                    self._start_attempt(task_group, hedge)
                await self._wait_for_response()
                unfinished = list(self.running)
                task_group.cancel_scope.cancel()
            for request in unfinished:
                await self.dispatcher.cancel(request)
        if self.response is None:
            raise self.failure or UpstreamError(
                "no attempt finished before the generation timeout", step=Step.RECEIVE
            )
        return self.response, self.duration_s

    def _start_attempt(self, task_group: anyio.abc.TaskGroup, request: UpstreamRequest) -> None:
        self.running.append(request)
        task_group.start_soon(self._run_attempt, request)

    async def _wait_for_hedge_delay(self) -> None:
        """Wait until the attempt ends or exceeds the hedge delay.

        The delay is computed again at each check, as durations are recorded meanwhile.
        """
        started_at = time.monotonic()
        while self.response is None and self.running:
            if time.monotonic() - started_at >= self.hedge_delay_s():
                return
            with anyio.move_on_after(HEDGE_CHECK_PERIOD_S):
                await self._wait_for_response()

    async def _wait_for_response(self) -> None:
        """Wait until there is a response or no attempt is running."""
        while self.response is None and self.running:
            await self.attempt_ended.wait()

    async def _run_attempt(self, request: UpstreamRequest) -> None:
        started_at = time.monotonic()
        try:
            response = await self._read_response(request)
        except AcaciarillError as error:
            self.failure = error
        else:
            if self.response is None:
                self.response, self.duration_s = response, time.monotonic() - started_at
        self.running.remove(request)
        self.attempt_ended.set()
        self.attempt_ended = anyio.Event()

    async def _read_response(self, request: UpstreamRequest) -> GenerationResponse:
        response = await self.dispatcher.dispatch(request)
        try:
            final_record = require_object(decode_value(await response.read()))
        except (TypeError, ValueError) as error:
            raise UpstreamError(
                "the generation response is not a JSON object",
                step=Step.RECEIVE,
                peer=response.upstream,
            ) from error
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()
        return GenerationResponse(
            response.status, final_record, response.attempt_id, response.upstream
        )
