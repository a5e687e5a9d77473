"""Run the duties that this daemon holds by lease."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from eliot import log_message

from .errors import AcaciarillError
from .leases import Lease, LeaseHolder, LeaseStore
from .leases.const import LEASE_RENEW_S, LEASE_TTL_S
from .peers import rendezvous_order
from .timer import TimerService, Unsubscribe

CANDIDATES = 3


class Candidates(Protocol):
    """Know which daemons may hold a duty."""

    name: str

    def daemons(self, data_centre: str | None = None) -> list[str]:
        """Return the names of the live daemons."""

    def busy_roles_last(self, order: list[str]) -> list[str]:
        """Return an order with the daemons that carry enough already at its end."""


@dataclass(slots=True)
class Duty:
    """Pair a lease with the work done under it; `data_centre` limits who may hold it."""

    name: str
    holder: LeaseHolder
    work: Callable[[Lease], Awaitable[None]]
    unsubscribes: list[Unsubscribe]


class DutyManager:
    """Take part in the leases for which this daemon is among the first candidates."""

    def __init__(
        self,
        membership: Candidates,
        store: LeaseStore,
        timer: TimerService,
        incarnation: str,
        ttl_s: float = LEASE_TTL_S,
        renew_s: float = LEASE_RENEW_S,
    ) -> None:
        self.ttl_s = ttl_s
        self.renew_s = renew_s
        self.membership = membership
        self.store = store
        self.timer = timer
        self.incarnation = incarnation
        self.duties: dict[str, Duty] = {}
        self.draining = False

    def add(
        self,
        name: str,
        work: Callable[[Lease], Awaitable[None]],
        period_s: float,
        data_centre: str | None = None,
        on_acquired: Callable[[Lease], Awaitable[None]] | None = None,
    ) -> LeaseHolder:
        """Compete for a duty and call `work` each period while its lease is held."""

        def may_take() -> bool:
            daemons = self.membership.daemons(data_centre)
            order = self.membership.busy_roles_last(rendezvous_order("duty/" + name, daemons))
            return not self.draining and self.membership.name in order[:CANDIDATES]

        holder = LeaseHolder(
            name, self.incarnation, self.store, self.timer.now, may_take, on_acquired, self.ttl_s
        )
        duty = Duty(name, holder, work, [])
        duty.unsubscribes = [
            self.timer.subscribe(self.renew_s, lambda: self._observe(duty)),
            self.timer.subscribe(period_s, lambda: self._work(duty)),
        ]
        self.duties[name] = duty
        return holder

    async def remove(self, name: str) -> None:
        """Stop competing for a duty and give its lease back."""
        duty = self.duties.pop(name)
        for unsubscribe in duty.unsubscribes:
            unsubscribe()
        await _release(duty)

    async def release_all(self) -> None:
        """Give every lease back at a planned stop."""
        self.draining = True
        for duty in list(self.duties.values()):
            for unsubscribe in duty.unsubscribes:
                unsubscribe()
            await _release(duty)

    def held_duties(self) -> list[str]:
        """Return the names of the duties held now."""
        return sorted(duty.name for duty in self.duties.values() if duty.holder.held())

    async def _observe(self, duty: Duty) -> None:
        try:
            await duty.holder.observe()
        except AcaciarillError:
            return  # the lease runs on until its end; the next call tries again

    async def _work(self, duty: Duty) -> None:
        lease = duty.holder.lease
        if lease is None or not duty.holder.held():
            return
        try:
            await duty.work(lease)
        except AcaciarillError as error:
            log_message(
                message_type="duty:failed",
                duty=duty.name,
                code=error.code,
                step=str(error.step),
                peer=error.peer,
            )


async def _release(duty: Duty) -> None:
    try:
        await duty.holder.release()
    except AcaciarillError:
        return  # the lease then ends by itself
