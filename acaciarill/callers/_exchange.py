"""Run a caller's request until its end, deadline, disconnect or key withdrawal."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

from ..const import RETRY_AFTER_SHORT_S
from ..errors import AcaciarillError, Outcome, RefusedError, Step
from ..web import CallerGoneError, Receive
from ._keys import Caller
from .const import CODE_CALLER_GONE, CODE_KEY_WITHDRAWN, CODE_KEYS_NOT_FRESH

_ABORT_CODES = frozenset({CODE_CALLER_GONE, CODE_KEY_WITHDRAWN, CODE_KEYS_NOT_FRESH})


@dataclass(slots=True)
class Exchange:
    """Hold the state of one request while it runs.

    `dispatched` is set before an upstream may receive the request, `response_started` and
    `response_completed` when the response to the caller starts and is complete.
    """

    caller: Caller
    cancel_scope: anyio.CancelScope
    response_started: bool = False
    response_completed: bool = False
    dispatched: bool = False
    failure: AcaciarillError | None = None

    def abort(self, error: AcaciarillError) -> None:
        """Abort the request unless it is complete or was aborted before."""
        if self.failure is None and not self.response_completed:
            self.failure = error
            self.cancel_scope.cancel()

    def abort_unverified(self) -> None:
        """Abort the request because its key may be withdrawn without this daemon knowing."""
        self.abort(
            RefusedError(
                "keys cannot be verified now",
                step=Step.AUTHENTICATE,
                code=CODE_KEYS_NOT_FRESH,
                retry_after_s=RETRY_AFTER_SHORT_S,
            )
        )

    def abort_withdrawn(self) -> None:
        """Abort the request because its key was withdrawn or removed."""
        self.abort(
            RefusedError(
                "the key was withdrawn",
                step=Step.AUTHENTICATE,
                code=CODE_KEY_WITHDRAWN,
                status=401,
            )
        )

    def raise_failure(self) -> None:
        """Raise the error of a request whose response is not complete."""
        error = self.failure or AcaciarillError(
            "the deadline has passed", step=Step.RECEIVE, code="deadline", status=504
        )
        # After an abort or the deadline, an upstream may have run the request once dispatched.
        if self.failure is None or error.code in _ABORT_CODES:
            error.outcome = Outcome.UNKNOWN if self.dispatched else Outcome.NOT_RUN
        if self.response_started:
            # No error response may follow a started one. The server closes the connection without
            # the final chunk, so the caller sees that the response is incomplete.
            raise ConnectionAbortedError(error.message)
        if error.code == CODE_CALLER_GONE:
            raise CallerGoneError
        raise error


async def run_exchange(
    exchange: Exchange,
    timeout_s: float,
    receive: Receive,
    handler: Callable[[Exchange], Awaitable[None]],
) -> None:
    """Run the handler; raise the error if it fails, is aborted or exceeds `timeout_s`."""
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_watch_disconnect, receive, exchange)
        with exchange.cancel_scope:
            exchange.cancel_scope.deadline = anyio.current_time() + timeout_s
            try:
                await handler(exchange)
            except AcaciarillError as error:
                exchange.failure = error
        task_group.cancel_scope.cancel()
    if not exchange.response_completed:
        exchange.raise_failure()


async def _watch_disconnect(receive: Receive, exchange: Exchange) -> None:
    while True:
        message: dict[str, Any] = await receive()
        if message["type"] == "http.disconnect":
            exchange.abort(RefusedError("gone", step=Step.SEND, code=CODE_CALLER_GONE))
            return
