"""Run one caller's request so that it can be cut: by its deadline, its caller or its key."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

from ..const import RETRY_AFTER_SHORT_S
from ..errors import AcaciarillError, Outcome, RefusedError, Step
from ..web import CallerGoneError, Receive
from ._keys import Caller
from .const import CODE_CALLER_GONE, CODE_KEY_WITHDRAWN, CODE_KEYS_NOT_FRESH

_CODES_OF_CUTS = frozenset({CODE_CALLER_GONE, CODE_KEY_WITHDRAWN, CODE_KEYS_NOT_FRESH})


@dataclass(slots=True)
class Exchange:
    """Hold one request while it runs.

    `sent_on` tells whether an upstream may have it, `started` whether its answer has begun,
    `ended` whether that is whole.
    """

    caller: Caller
    scope: anyio.CancelScope
    started: bool = False
    ended: bool = False
    sent_on: bool = False
    cut: AcaciarillError | None = None

    def end_by(self, error: AcaciarillError) -> None:
        """Cut the request unless it has ended or was cut before."""
        if self.cut is None and not self.ended:
            self.cut = error
            self.scope.cancel()

    def abort_unverified(self) -> None:
        """Cut the request because its key may have been withdrawn without being known here."""
        self.end_by(
            RefusedError(
                "keys cannot be checked now",
                step=Step.AUTHENTICATE,
                code=CODE_KEYS_NOT_FRESH,
                retry_after_s=RETRY_AFTER_SHORT_S,
            )
        )

    def withdraw(self) -> None:
        """Cut the request because its key no longer holds."""
        self.end_by(
            RefusedError(
                "the key was withdrawn",
                step=Step.AUTHENTICATE,
                code=CODE_KEY_WITHDRAWN,
                status=401,
            )
        )

    def raise_end(self) -> None:
        """Raise what is left to the caller of a request that did not end whole."""
        error = self.cut or AcaciarillError(
            "the deadline has passed", step=Step.RECEIVE, code="deadline", status=504
        )
        if self.cut is None or error.code in _CODES_OF_CUTS:
            error.outcome = Outcome.UNKNOWN if self.sent_on else Outcome.NOT_RUN
        if self.started:
            # Nothing more may follow: the server then ends the connection without the closing
            # chunk, which the caller sees as a broken answer.
            raise ConnectionAbortedError(error.message)
        if error.code == CODE_CALLER_GONE:
            raise CallerGoneError
        raise error


async def run_exchange(
    exchange: Exchange,
    timeout_s: float,
    receive: Receive,
    work: Callable[[Exchange], Awaitable[None]],
) -> None:
    """Do the work until it ends or is cut; raise what is then left to the caller."""
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_watch_caller, receive, exchange)
        with exchange.scope:
            exchange.scope.deadline = anyio.current_time() + timeout_s
            try:
                await work(exchange)
            except AcaciarillError as error:
                exchange.cut = error
        task_group.cancel_scope.cancel()
    if not exchange.ended:
        exchange.raise_end()


async def _watch_caller(receive: Receive, exchange: Exchange) -> None:
    while True:
        message: dict[str, Any] = await receive()
        if message["type"] == "http.disconnect":
            exchange.end_by(RefusedError("gone", step=Step.SEND, code=CODE_CALLER_GONE))
            return
