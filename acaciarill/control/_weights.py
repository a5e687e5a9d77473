"""Bring every engine to the newest named version of each model, a few at a time."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

import anyio
from eliot import log_message

from ..errors import AcaciarillError
from ..fleet import UpstreamState, UpstreamTable
from ..fleet.const import ORDER_RETRY_S
from ..leases import Lease

LOADS_AT_ONCE = 2
"""How many engines of a service load at once; more make each load longer."""


class OrderOutcome(StrEnum):
    """Tell what became of an order to an engine."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    REFUSED = "refused"
    UNKNOWN = "unknown"


SendOrder = Callable[[UpstreamState, str, int, Lease], Awaitable[OrderOutcome]]
"""Order an engine to load a version of a model, under a lease."""


@dataclass(slots=True)
class Loading:
    """Hold an order that may still be carried out."""

    version: int
    until: float


def choose_loads(
    states: list[UpstreamState],
    model: str,
    version: int,
    loading: dict[str, Loading],
    now: float,
    at_once: int = LOADS_AT_ONCE,
) -> list[UpstreamState]:
    """Return the engines to order next: those furthest behind, then those with least to do."""
    busy = [state for state in states if _is_loading(state, model, loading, now)]
    behind = [
        state
        for state in states
        if not state.leaving
        and not state.upstream.draining
        and state.upstream.versions.get(model, version) < version
        and state not in busy
    ]
    behind.sort(key=lambda state: (state.upstream.versions[model], state.in_flight))
    return behind[: max(0, at_once - len(busy))]


def _is_loading(state: UpstreamState, model: str, loading: dict[str, Loading], now: float) -> bool:
    order = loading.get(state.upstream.id)
    if order is None or order.until <= now:
        return False
    return state.upstream.versions.get(model, order.version) < order.version


class WeightsDuty:
    """Order loads of named versions while the lease is held."""

    def __init__(
        self,
        table: UpstreamTable,
        named: Callable[[], dict[str, int]],
        send: SendOrder,
        clock: Callable[[], float],
    ) -> None:
        self.table = table
        self.named = named
        self.send = send
        self.clock = clock
        self.loading: dict[str, Loading] = {}

    async def run_once(self, lease: Lease) -> None:
        """Send the orders that may be sent now, side by side."""
        now = self.clock()
        async with anyio.create_task_group() as orders:
            for model, version in self.named().items():
                for states in self.table.by_service.values():
                    for state in choose_loads(states, model, version, self.loading, now):
                        self.loading[state.upstream.id] = Loading(version, now + ORDER_RETRY_S)
                        orders.start_soon(self._order, state, model, version, lease)

    async def _order(self, state: UpstreamState, model: str, version: int, lease: Lease) -> None:
        try:
            outcome = await self.send(state, model, version, lease)
        except AcaciarillError as error:
            log_message(
                message_type="weights:order_failed",
                upstream=state.upstream.id,
                step=str(error.step),
                reason=error.message,
            )
            return
        log_message(
            message_type="weights:ordered",
            upstream=state.upstream.id,
            model=model,
            version=version,
            before=state.upstream.versions.get(model),
            outcome=str(outcome),
            epoch=lease.epoch,
        )
