"""Admit requests to each target, by deficit round robin over customers within their shares."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

from ..errors import RefusedError, Step
from ._shares import Quota
from .const import DEFICIT_QUANTUM_TOKENS, QUEUE_LIMIT_PER_CUSTOMER

T = TypeVar("T")


@dataclass(slots=True)
class _CustomerQueue(Generic[T]):
    waiting: deque[tuple[float, T]] = field(default_factory=deque)
    deficit: float = 0.0


class FairQueue(Generic[T]):
    """Order waiting items by deficit round robin; a customer's quantum grows with its share."""

    def __init__(self, share_of: Callable[[str], float]) -> None:
        self.share_of = share_of
        self.queues: OrderedDict[str, _CustomerQueue[T]] = OrderedDict()
        self.size = 0

    def waiting(self, customer: str) -> int:
        """Return how many items of a customer wait."""
        queue = self.queues.get(customer)
        return len(queue.waiting) if queue else 0

    def push(self, customer: str, cost: float, item: T) -> None:
        """Add an item whose cost is in expected tokens."""
        queue = self.queues.setdefault(customer, _CustomerQueue())
        queue.waiting.append((cost, item))
        self.size += 1

    def pop(self, eligible: Callable[[str], bool] = lambda customer: True) -> tuple[str, T] | None:
        """Return the next item of an eligible customer, or None when there is none."""
        open_to = {customer for customer in self.queues if eligible(customer)}
        while open_to:
            customer, queue = next(iter(self.queues.items()))
            cost, item = queue.waiting[0]
            if customer not in open_to or queue.deficit < cost:
                if customer in open_to:
                    queue.deficit += DEFICIT_QUANTUM_TOKENS * max(self.share_of(customer), 0.01)
                self.queues.move_to_end(customer)
                continue
            queue.deficit -= cost
            queue.waiting.popleft()
            self.size -= 1
            if not queue.waiting:
                del self.queues[customer]
            return customer, item
        return None

    def remove(self, customer: str, item: T) -> bool:
        """Take an item out; tell whether it was still waiting."""
        queue = self.queues.get(customer)
        if queue is None:
            return False
        kept = deque(entry for entry in queue.waiting if entry[1] is not item)
        if len(kept) == len(queue.waiting):
            return False
        queue.waiting = kept
        self.size -= 1
        if not kept:
            del self.queues[customer]
        return True


@dataclass(slots=True, eq=False)
class _Waiter:
    """Hold one request that waits; `lent` is known once it is admitted."""

    admitted: anyio.Event = field(default_factory=anyio.Event)
    lent: bool = False


class _Gate:
    """Hold what runs and waits for one target."""

    def __init__(self, share_of: Callable[[str], float]) -> None:
        self.running: Counter[str] = Counter()
        self.queue: FairQueue[_Waiter] = FairQueue(share_of)

    def demand(self, customer: str) -> int:
        return self.running[customer] + self.queue.waiting(customer)


class Admission:
    """Bound what runs at once, in all and for each customer of a target.

    `allowance_of(target, customer, demand)` returns what may run here of a customer's requests
    while it has that demand. What does not fit waits in a fair queue.
    """

    def __init__(
        self,
        limit: int,
        share_of: Callable[[str], float],
        allowance_of: Callable[[str, str, int], Quota] | None = None,
    ) -> None:
        self.limit = limit
        self.share_of = share_of
        self.allowance_of = allowance_of or (lambda target, customer, demand: Quota(limit, limit))
        self.running = 0
        self.gates: dict[str, _Gate] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(gate.queue.size for gate in self.gates.values())

    def demand(self) -> Counter[tuple[str, str]]:
        """Return running and waiting requests by target and customer."""
        found: Counter[tuple[str, str]] = Counter()
        for target, gate in self.gates.items():
            for customer in gate.running.keys() | gate.queue.queues.keys():
                found[target, customer] = gate.demand(customer)
        return +found

    async def acquire(self, target: str, customer: str, cost: float, timeout_s: float) -> bool:
        """Wait for a place; tell whether it is lent, beyond the customer's own share.

        Raise RefusedError at once when the queue is full.
        """
        gate = self.gates.setdefault(target, _Gate(self.share_of))
        if not gate.queue.waiting(customer) and self.running < self.limit:
            allowance = self.allowance_of(target, customer, gate.demand(customer) + 1)
            if gate.running[customer] < allowance.limit:
                return self._take(gate, customer, allowance)
        if gate.queue.waiting(customer) >= QUEUE_LIMIT_PER_CUSTOMER:
            raise _overloaded("too many requests of this customer wait")
        waiter = _Waiter()
        gate.queue.push(customer, cost, waiter)
        try:
            with anyio.fail_after(timeout_s):
                await waiter.admitted.wait()
        except BaseException as error:
            if not gate.queue.remove(customer, waiter):
                self.release(target, customer)  # the place was given just as the wait ended
            if isinstance(error, TimeoutError):
                raise _overloaded("no place came free before the deadline") from error
            raise
        return waiter.lent

    def release(self, target: str, customer: str) -> None:
        """Give a place back and hand out what is free."""
        gate = self.gates[target]
        self.running -= 1
        gate.running[customer] -= 1
        if not gate.running[customer]:
            del gate.running[customer]
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Let waiting requests run while there is room; also called when limits change."""
        for target, gate in self.gates.items():
            while gate.queue.size:
                following = gate.queue.pop(
                    lambda customer, t=target, g=gate: self._has_room(t, g, customer)
                )
                if following is None:
                    break
                customer, waiter = following
                allowance = self.allowance_of(target, customer, gate.demand(customer) + 1)
                waiter.lent = self._take(gate, customer, allowance)
                waiter.admitted.set()

    def _has_room(self, target: str, gate: _Gate, customer: str) -> bool:
        if self.running >= self.limit:
            return False
        allowance = self.allowance_of(target, customer, gate.demand(customer))
        return gate.running[customer] < allowance.limit

    def _take(self, gate: _Gate, customer: str, allowance: Quota) -> bool:
        self.running += 1
        gate.running[customer] += 1
        return gate.running[customer] > allowance.guaranteed


def _overloaded(message: str) -> RefusedError:
    return RefusedError(message, step=Step.ADMIT, code="overloaded", status=429, retry_after_s=1.0)
