"""Admit requests to targets within the customers' quotas, by deficit round robin."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

from ..errors import RefusedError, Step
from ._quotas import Quota
from .const import DEFICIT_QUANTUM_TOKENS, MAX_QUEUED_PER_CUSTOMER

T = TypeVar("T")


@dataclass(slots=True)
class _CustomerQueue(Generic[T]):
    entries: deque[tuple[float, T]] = field(default_factory=deque)
    deficit: float = 0.0


class FairQueue(Generic[T]):
    """Order queued items by deficit round robin; a customer's quantum grows with its share."""

    def __init__(self, share_of: Callable[[str], float]) -> None:
        self.share_of = share_of
        self.queues: OrderedDict[str, _CustomerQueue[T]] = OrderedDict()
        self.size = 0

    def queued_count(self, customer: str) -> int:
        """Return how many items of a customer are queued."""
        queue = self.queues.get(customer)
        return len(queue.entries) if queue else 0

    def push(self, customer: str, cost: float, item: T) -> None:
        """Add an item whose cost is in expected tokens."""
        queue = self.queues.setdefault(customer, _CustomerQueue())
        queue.entries.append((cost, item))
        self.size += 1

    def pop(self, eligible: Callable[[str], bool] = lambda customer: True) -> tuple[str, T] | None:
        """Return the next item of an eligible customer, or None when there is none."""
        eligible_customers = {customer for customer in self.queues if eligible(customer)}
        while eligible_customers:
            customer, queue = next(iter(self.queues.items()))
            cost, item = queue.entries[0]
            if customer not in eligible_customers or queue.deficit < cost:
                if customer in eligible_customers:
                    # The minimum bounds the rounds until a customer with a tiny share is served.
                    queue.deficit += DEFICIT_QUANTUM_TOKENS * max(self.share_of(customer), 0.01)
                self.queues.move_to_end(customer)
                continue
            queue.deficit -= cost
            queue.entries.popleft()
            self.size -= 1
            if not queue.entries:
                del self.queues[customer]
            return customer, item
        return None

    def remove(self, customer: str, item: T) -> bool:
        """Remove an item; return whether it was still queued."""
        queue = self.queues.get(customer)
        if queue is None:
            return False
        remaining = deque(entry for entry in queue.entries if entry[1] is not item)
        if len(remaining) == len(queue.entries):
            return False
        queue.entries = remaining
        self.size -= 1
        if not remaining:
            del self.queues[customer]
        return True


@dataclass(slots=True, eq=False)
class _Waiter:
    """Represent a queued request; `borrowed` is set when it is admitted."""

    admitted: anyio.Event = field(default_factory=anyio.Event)
    borrowed: bool = False


class _TargetState:
    """Hold the running and queued requests of one target."""

    def __init__(self, share_of: Callable[[str], float]) -> None:
        self.running: Counter[str] = Counter()
        self.queue: FairQueue[_Waiter] = FairQueue(share_of)

    def demand(self, customer: str) -> int:
        return self.running[customer] + self.queue.queued_count(customer)


class Admission:
    """Limit the requests that run at once, in total and for each customer of a target.

    `quota_of(target, customer, demand)` returns how many requests of a customer with that demand
    may run on this daemon. Requests beyond the limits wait in a fair queue.
    """

    def __init__(
        self,
        limit: int,
        share_of: Callable[[str], float],
        quota_of: Callable[[str, str, int], Quota] | None = None,
    ) -> None:
        self.limit = limit
        self.share_of = share_of
        self.quota_of = quota_of or (lambda target, customer, demand: Quota(limit, limit))
        self.running = 0
        self.targets: dict[str, _TargetState] = {}

    @property
    def queued_count(self) -> int:
        """Return how many requests are queued."""
        return sum(state.queue.size for state in self.targets.values())

    def demand(self) -> Counter[tuple[str, str]]:
        """Return the number of running and queued requests by target and customer."""
        demands: Counter[tuple[str, str]] = Counter()
        for target, state in self.targets.items():
            for customer in state.running.keys() | state.queue.queues.keys():
                demands[target, customer] = state.demand(customer)
        return +demands

    async def acquire(self, target: str, customer: str, cost: float, timeout_s: float) -> bool:
        """Wait until the request may run; return whether it runs beyond the customer's own share.

        Raise RefusedError at once when the customer's queue is full, and after `timeout_s`.
        """
        state = self.targets.setdefault(target, _TargetState(self.share_of))
        if not state.queue.queued_count(customer) and self.running < self.limit:
            quota = self.quota_of(target, customer, state.demand(customer) + 1)
            if state.running[customer] < quota.limit:
                return self._admit(state, customer, quota)
        if state.queue.queued_count(customer) >= MAX_QUEUED_PER_CUSTOMER:
            raise _overloaded_error("too many requests of this customer are queued")
        waiter = _Waiter()
        state.queue.push(customer, cost, waiter)
        try:
            with anyio.fail_after(timeout_s):
                await waiter.admitted.wait()
        except BaseException as error:
            if not state.queue.remove(customer, waiter):
                self.release(target, customer)  # admitted just as the wait ended
            if isinstance(error, TimeoutError):
                raise _overloaded_error(
                    "no capacity became available before the deadline"
                ) from error
            raise
        return waiter.borrowed

    def release(self, target: str, customer: str) -> None:
        """Release the capacity of a request that has ended and admit queued requests."""
        state = self.targets[target]
        self.running -= 1
        state.running[customer] -= 1
        if not state.running[customer]:
            del state.running[customer]
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit queued requests up to the limits; also called when quotas change."""
        for target, state in self.targets.items():
            while state.queue.size:
                next_entry = state.queue.pop(
                    lambda customer, t=target, s=state: self._has_capacity(t, s, customer)
                )
                if next_entry is None:
                    break
                customer, waiter = next_entry
                quota = self.quota_of(target, customer, state.demand(customer) + 1)
                waiter.borrowed = self._admit(state, customer, quota)
                waiter.admitted.set()

    def _has_capacity(self, target: str, state: _TargetState, customer: str) -> bool:
        if self.running >= self.limit:
            return False
        quota = self.quota_of(target, customer, state.demand(customer))
        return state.running[customer] < quota.limit

    def _admit(self, state: _TargetState, customer: str, quota: Quota) -> bool:
        self.running += 1
        state.running[customer] += 1
        return state.running[customer] > quota.guaranteed


def _overloaded_error(message: str) -> RefusedError:
    return RefusedError(message, step=Step.ADMIT, code="overloaded", status=429, retry_after_s=1.0)
