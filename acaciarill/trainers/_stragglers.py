"""Decide when a generation is a straggler, and race a second attempt against it."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
import orjson

from ..callers import Paces
from ..errors import AcaciarillError, Step, UpstreamError
from ..upstreams import Dispatcher, UpstreamRequest
from .const import (
    GENERATION_TIMEOUT_S,
    PATIENCE_CHECK_S,
    STRAGGLER_FACTOR,
    STRAGGLER_SLACK_S,
)


def patience_s(paces: Paces, model: str, tokens: int) -> float:
    """Return after how many seconds a generation is a straggler."""
    usual_s = paces.median_s(model, tokens)
    if usual_s is None:
        return float("inf")
    return usual_s * STRAGGLER_FACTOR + STRAGGLER_SLACK_S


@dataclass(slots=True)
class WholeAnswer:
    """Hold a whole answer of an engine and the attempt that it belongs to."""

    status: int
    closing: dict[str, Any]
    attempt_id: str
    upstream: str


class AttemptRace:
    """Run one attempt, and a second at another engine once patience ends; the first whole wins."""

    def __init__(self, dispatcher: Dispatcher, patience_s: Callable[[], float]) -> None:
        self.dispatcher = dispatcher
        self.patience_s = patience_s
        self.answer: WholeAnswer | None = None
        self.failure: AcaciarillError | None = None
        self.running: list[UpstreamRequest] = []
        self.changed = anyio.Event()
        self.seconds = 0.0

    async def run(
        self, requests: Sequence[UpstreamRequest], may_race: Callable[[], bool]
    ) -> tuple[WholeAnswer, float]:
        """Return the winner and its seconds; raise AcaciarillError when every attempt failed."""
        first, second = requests
        with anyio.move_on_after(GENERATION_TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                self._start(task_group, first)
                await self._out_of_patience()
                if self.answer is None and self.running and may_race():
                    second.tried_upstreams.add(first.upstream)
                    self._start(task_group, second)
                await self._settled()
                losers = list(self.running)
                task_group.cancel_scope.cancel()
            for loser in losers:
                await self.dispatcher.cancel(loser)
        if self.answer is None:
            raise self.failure or UpstreamError("no answer in time", step=Step.RECEIVE)
        return self.answer, self.seconds

    def _start(self, task_group: anyio.abc.TaskGroup, request: UpstreamRequest) -> None:
        self.running.append(request)
        task_group.start_soon(self._attempt, request)

    async def _out_of_patience(self) -> None:
        """Wait until the attempt ends or is a straggler by what is known by then."""
        started_at = time.monotonic()
        while self.answer is None and self.running:
            if time.monotonic() - started_at >= self.patience_s():
                return
            with anyio.move_on_after(PATIENCE_CHECK_S):
                await self._settled()

    async def _settled(self) -> None:
        """Wait until an attempt has won or none is left."""
        while self.answer is None and self.running:
            await self.changed.wait()

    async def _attempt(self, request: UpstreamRequest) -> None:
        started_at = time.monotonic()
        try:
            whole = await self._read(request)
        except AcaciarillError as error:
            self.failure = error
        else:
            if self.answer is None:
                self.answer, self.seconds = whole, time.monotonic() - started_at
        self.running.remove(request)
        self.changed.set()
        self.changed = anyio.Event()

    async def _read(self, request: UpstreamRequest) -> WholeAnswer:
        answer = await self.dispatcher.dispatch(request)
        try:
            closing = orjson.loads(await answer.read())
        except orjson.JSONDecodeError as error:
            raise UpstreamError(
                "the generation is not whole", step=Step.RECEIVE, peer=answer.upstream
            ) from error
        finally:
            with anyio.CancelScope(shield=True):
                await answer.aclose()
        return WholeAnswer(answer.status, closing, answer.attempt_id, answer.upstream)
