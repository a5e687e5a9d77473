"""Run periodic duties, each at the one daemon that holds the duty's lease."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
from eliot import log_message

from .errors import AcaciarillError
from .leases import Lease, LeaseHolder, LeaseStore
from .leases.const import LEASE_RENEW_PERIOD_S, LEASE_TTL_S
from .peers import rendezvous_order
from .timer import TimerService, Unsubscribe

CANDIDATES_PER_DUTY = 3
"""Number of live daemons that compete for the lease of a duty."""


class CandidateSource(Protocol):
    """Provide the live daemons, among which the candidates for a duty are chosen."""

    name: str

    def daemons(self, data_centre: str | None = None) -> list[str]:
        """Return the names of the live daemons, of one data centre if it is given."""

    def busy_roles_last(self, order: list[str]) -> list[str]:
        """Return the names with the daemons whose role carries much load moved to the end."""


@dataclass(slots=True)
class Duty:
    """Hold a duty's lease holder, its work and its timer subscriptions."""

    name: str
    holder: LeaseHolder
    work: Callable[[Lease], Awaitable[None]]
    unsubscribes: list[Unsubscribe]


class DutyManager:
    """Compete for the leases of the duties for which this daemon is a candidate.

    `ttl_s` is the duration of a lease, `renew_s` the period of its renewal, and `return_delay_s`
    how long a former holder does not succeed another one, by default `ttl_s`, in seconds. A lease
    is released once `may_hold` is false, and acquired only while `may_acquire` is true.
    """

    def __init__(
        self,
        membership: CandidateSource,
        store: LeaseStore,
        timer: TimerService,
        incarnation: str,
        ttl_s: float = LEASE_TTL_S,
        renew_s: float = LEASE_RENEW_PERIOD_S,
        may_hold: Callable[[], bool] = lambda: True,
        may_acquire: Callable[[], bool] = lambda: True,
        return_delay_s: float | None = None,
    ) -> None:
        self.return_delay_s = return_delay_s
        self.may_hold = may_hold
        self.may_acquire = may_acquire
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
        """Compete for a duty, and call `work` every `period_s` seconds while its lease is held.

        Only daemons of `data_centre` compete if it is given. `on_acquired` is called after each
        acquisition of the lease.
        """

        def is_candidate() -> bool:
            daemons = self.membership.daemons(data_centre)
            order = self.membership.busy_roles_last(rendezvous_order("duty/" + name, daemons))
            is_among_first = self.membership.name in order[:CANDIDATES_PER_DUTY]
            return not self.draining and is_among_first and self.may_acquire()

        holder = LeaseHolder(
            name,
            self.incarnation,
            self.store,
            self.timer.now,
            is_candidate,
            on_acquired,
            self.ttl_s,
            self.return_delay_s,
        )
        duty = Duty(name, holder, work, [])
        duty.unsubscribes = [
            self.timer.subscribe(self.renew_s, lambda: self._renew_or_acquire(duty)),
            self.timer.subscribe(period_s, lambda: self._run_work(duty)),
        ]
        self.duties[name] = duty
        return holder

    async def remove(self, name: str) -> None:
        """Stop competing for a duty and release its lease."""
        duty = self.duties.pop(name)
        for unsubscribe in duty.unsubscribes:
            unsubscribe()
        await _release(duty)

    async def release_all(self) -> None:
        """Stop competing for all duties and release their leases, for a planned stop."""
        self.draining = True
        async with anyio.create_task_group() as releases:
            for duty in list(self.duties.values()):
                for unsubscribe in duty.unsubscribes:
                    unsubscribe()
                releases.start_soon(_release, duty)

    def held_duties(self) -> list[str]:
        """Return the sorted names of the duties whose lease this daemon holds."""
        return sorted(duty.name for duty in self.duties.values() if duty.holder.is_held())

    async def _renew_or_acquire(self, duty: Duty) -> None:
        if duty.holder.is_held() and not self.may_hold():
            log_message(message_type="duty:released", duty=duty.name, reason="cannot do its work")
            await _release(duty)
            return
        try:
            await duty.holder.renew_or_acquire()
        except AcaciarillError:
            return  # a held lease stays valid until it expires; the next call tries again

    async def _run_work(self, duty: Duty) -> None:
        lease = duty.holder.lease
        if lease is None or not duty.holder.is_held():
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
        return  # the lease then expires
