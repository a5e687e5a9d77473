"""Serve HTTP/1.1 requests of clients over persistent connections."""

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import anyio.abc
from eliot import log_message

from ..connection_budget import KIND_CALLERS, ConnectionBudget
from ..listening import listen, serve_connections, unsent_bytes
from ._connection import CONNECTION_ERRORS, ServerConnection
from ._requests import EdgeLimits, Request
from ._responder import Responder
from .const import END_POLL_S, END_TIMEOUT_S, MAX_LINGERING_CONNECTIONS, SENT_AHEAD_STARTS_AT_ONCE

Handler = Callable[[Request, Responder], Awaitable[None]]
CheckHead = Callable[[Request], Exception | None]
"""Return why a request cannot be served, whatever its body is; the handler responds with it."""


class EdgeServer:
    """Accept connections and call the handler for each complete request.

    All servers of a process share its budget. `kind` names the clients for operators.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        clock: Callable[[], float],
        limits: Callable[[], EdgeLimits] = EdgeLimits,
        budget: ConnectionBudget | None = None,
        kind: str = KIND_CALLERS,
        check_head: CheckHead = lambda request: None,
    ) -> None:
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.budget = budget or ConnectionBudget(clock)
        self.kind = kind
        self.check_head = check_head
        self.draining = False
        self.ending = False
        self.active_requests = 0
        self.lingering_count = 0
        self.sent_ahead_limiter = anyio.CapacityLimiter(SENT_AHEAD_STARTS_AT_ONCE)
        self.connections: set[ServerConnection] = set()
        self._listener_scope = anyio.CancelScope()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        listener = await listen(self.address)
        task_status.started()
        async with anyio.create_task_group() as tasks:
            with self._listener_scope:
                async with listener:
                    await serve_connections(listener, self._serve_connection, tasks)

    def may_linger(self) -> bool:
        """Return whether a connection may be read for a while after its last response."""
        return self.lingering_count < MAX_LINGERING_CONNECTIONS and not self.budget.is_crowded()

    def stop_accepting(self) -> None:
        """Close the listener; open connections stay in use."""
        self._listener_scope.cancel()

    def drain(self) -> None:
        """Close idle connections now and the others after their next response."""
        self.draining = True
        for connection in list(self.connections):
            if connection.idle_scope is not None:
                connection.idle_scope.cancel()

    async def end_requests(self) -> None:
        """Answer the requests that still run with 504, as their outcome is unknown.

        The connection of one whose response has begun is aborted.
        """
        self.ending = True
        for connection in list(self.connections):
            if connection.handler_scope is not None:
                connection.handler_scope.cancel()
        with anyio.move_on_after(END_TIMEOUT_S):
            while self.active_requests:  # noqa: ASYNC110
                await anyio.sleep(END_POLL_S)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        connection: ServerConnection | None = None

        def give_way() -> None:
            if connection is not None:
                connection.give_way()

        account = self.budget.open(self.kind, give_way)
        if account is None:
            await anyio.aclose_forcefully(stream)
            return
        connection = ServerConnection(self, stream, account)
        account.measure_unsent = partial(unsent_bytes, stream)
        self.connections.add(connection)
        try:
            await connection.run()
        except CONNECTION_ERRORS:
            pass
        except Exception as error:  # an error on one connection must not stop the server
            log_message(message_type="edge:connection_failed", error=repr(error))
        finally:
            self.connections.discard(connection)
            try:
                with anyio.CancelScope(shield=True):
                    await connection.close()
            finally:
                account.close()
