"""Count the requests that began in each window, and report each window once."""

from collections.abc import Awaitable, Callable

import orjson
from eliot import log_message

from ..errors import StoreConflictError, StoreError
from ..fleet.const import USAGE_REPORT_DELAY_S, USAGE_RETAINED_WINDOWS
from ..leases import Lease, LeaseStore

Counts = dict[int, dict[str, int]]
"""Requests by window and customer."""
Collect = Callable[[int], Awaitable[dict[str, Counts]]]
"""Return the counts from a window on, by incarnation of the daemons that answered."""
Report = Callable[[int, dict[str, int], Lease], Awaitable[bool]]
"""Send the figures of a window under a lease; tell whether they were taken or stand refused."""

KIND_SEALED = "usage-windows"


class RunCounter:
    """Count own requests by the window in which they began to run."""

    def __init__(self, window_s: float, true_time: Callable[[], float]) -> None:
        self.window_s = window_s
        self.true_time = true_time
        self.counts: Counts = {}

    def window(self, at: float | None = None) -> int:
        """Return the number of the window at a true time, now by default."""
        return int((self.true_time() if at is None else at) // self.window_s)

    def count(self, customer: str, at: float) -> None:
        """Count one request that began at a true time."""
        if not customer:
            return
        by_customer = self.counts.setdefault(self.window(at), {})
        by_customer[customer] = by_customer.get(customer, 0) + 1
        for old in [w for w in self.counts if w < self.window(at) - USAGE_RETAINED_WINDOWS]:
            del self.counts[old]

    def since(self, window: int) -> Counts:
        """Return the counts from a window on."""
        return {key: dict(found) for key, found in self.counts.items() if key >= window}


class UsageDuty:
    """Collect every daemon's counts, seal each window in the store, and report it."""

    def __init__(
        self, counter: RunCounter, collect: Collect, report: Report, store: LeaseStore
    ) -> None:
        self.counter = counter
        self.collect = collect
        self.report = report
        self.store = store
        self.collected: dict[str, Counts] = {}
        self.next_window = 0

    async def take_over(self, lease: Lease) -> None:
        """Start with the oldest window that may still be reported in time."""
        self.next_window = max(self.next_window, self.counter.window() - 2)

    async def run_once(self, lease: Lease) -> None:
        """Collect counts, and report the windows that have ended long enough ago."""
        for incarnation, counts in (await self.collect(self.next_window)).items():
            known = self.collected.setdefault(incarnation, {})
            known.update(counts)
        now = self.counter.true_time()
        while (self.next_window + 1) * self.counter.window_s + USAGE_REPORT_DELAY_S <= now:
            if not await self._report(self.next_window, lease):
                return
            for counts in self.collected.values():
                counts.pop(self.next_window, None)
            self.next_window += 1

    async def _report(self, window: int, lease: Lease) -> bool:
        totals: dict[str, int] = {}
        for counts in self.collected.values():
            for customer, count in counts.get(window, {}).items():
                totals[customer] = totals.get(customer, 0) + count
        try:
            sealed = await self._seal(window, totals)
        except StoreError as error:
            log_message(message_type="usage:unsealed", window=window, reason=error.message)
            return False
        taken = await self.report(window, sealed, lease)
        log_message(
            message_type="usage:reported",
            window=window,
            counts=sealed,
            daemons=len(self.collected),
            taken=taken,
        )
        return taken

    async def _seal(self, window: int, totals: dict[str, int]) -> dict[str, int]:
        """Return the one figure of a window, which the first holder that gets here decides."""
        key = f"{KIND_SEALED}/{window}"
        try:
            await self.store.put(key, orjson.dumps(totals), 0)
            return totals
        except StoreConflictError:
            found = await self.store.get(key)
            return orjson.loads(found[0]) if found is not None else totals
