"""Count the requests that started in each usage window, and report each window once."""

from collections.abc import Awaitable, Callable

import orjson
from eliot import log_message

from ..errors import StoreConflictError, StoreError
from ..fleet.const import USAGE_REPORT_DELAY_S, USAGE_RETAINED_WINDOWS
from ..leases import Lease, LeaseStore

WindowCounts = dict[int, dict[str, int]]
"""Number of requests by window and customer."""
CollectCounts = Callable[[int], Awaitable[dict[str, WindowCounts]]]
"""Return the counts since a window, by incarnation of the daemons that answered."""
ReportUsage = Callable[[int, dict[str, int], Lease], Awaitable[bool]]
"""Report the counts of a window under a lease; return False to have them sent again."""

KIND_SEALED_WINDOWS = "usage-windows"


class StartedRequestCounter:
    """Count this daemon's requests by the usage window in which they started to run."""

    def __init__(self, window_s: float, wall_clock: Callable[[], float]) -> None:
        self.window_s = window_s
        self.wall_clock = wall_clock
        self.counts: WindowCounts = {}

    def window(self, at: float | None = None) -> int:
        """Return the number of the window at a Unix time in seconds, by default now."""
        return int((self.wall_clock() if at is None else at) // self.window_s)

    def count(self, customer: str, at: float) -> None:
        """Count one request that started at a Unix time in seconds."""
        if not customer:
            return
        by_customer = self.counts.setdefault(self.window(at), {})
        by_customer[customer] = by_customer.get(customer, 0) + 1
        for old in [w for w in self.counts if w < self.window(at) - USAGE_RETAINED_WINDOWS]:
            del self.counts[old]

    def counts_since(self, window: int) -> WindowCounts:
        """Return the counts since a window, that window included."""
        return {key: dict(counts) for key, counts in self.counts.items() if key >= window}


class UsageDuty:
    """Collect the counts of all daemons, seal each window's totals in the store, report them."""

    def __init__(
        self,
        request_counter: StartedRequestCounter,
        collect: CollectCounts,
        report: ReportUsage,
        store: LeaseStore,
    ) -> None:
        self.request_counter = request_counter
        self.collect = collect
        self.report = report
        self.store = store
        self.collected: dict[str, WindowCounts] = {}
        self.next_window = 0

    async def take_over(self, lease: Lease) -> None:
        """Start with the oldest window that can still be reported in time."""
        self.next_window = max(self.next_window, self.request_counter.window() - 2)

    async def run_once(self, lease: Lease) -> None:
        """Collect counts, and report the windows that ended at least USAGE_REPORT_DELAY_S ago."""
        for incarnation, counts in (await self.collect(self.next_window)).items():
            daemon_counts = self.collected.setdefault(incarnation, {})
            daemon_counts.update(counts)
        now = self.request_counter.wall_clock()
        while (self.next_window + 1) * self.request_counter.window_s + USAGE_REPORT_DELAY_S <= now:
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
            log_message(message_type="usage:seal_failed", window=window, reason=error.message)
            return False
        accepted = await self.report(window, sealed, lease)
        log_message(
            message_type="usage:reported",
            window=window,
            counts=sealed,
            daemons=len(self.collected),
            accepted=accepted,
        )
        return accepted

    async def _seal(self, window: int, totals: dict[str, int]) -> dict[str, int]:
        """Store the totals of a window unless an earlier holder did; return the stored totals."""
        key = f"{KIND_SEALED_WINDOWS}/{window}"
        try:
            await self.store.put(key, orjson.dumps(totals), 0)
            return totals
        except StoreConflictError:
            stored = await self.store.get(key)
            return orjson.loads(stored[0]) if stored is not None else totals
