"""Seal ended usage windows and report them to the platform under a lease."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import orjson
from eliot import log_message

from ..errors import StoreConflictError
from ..leases import Lease
from ..object_store import ObjectStore
from ..upstreams import OrderSender
from ._counter import UsageCounter, UsageCounts
from ._sealing import SealedWindow, seal_window
from ._shards import decode_shard
from .const import (
    CORRECTION_WINDOWS,
    PROGRESS_PREFIX,
    RETAINED_WINDOWS,
    SEAL_GRACE_MIN_S,
    SEAL_GRACE_SHARE,
    SEALED_PREFIX,
    SHARD_PREFIX,
)

SendReport = Callable[[OrderSender, str, int, int, dict[str, Any]], Awaitable[Any]]
"""Sends a customer's report of a window (its start in seconds) with an epoch.

Raises AcaciarillError.
"""


def report_sender(base_url: str) -> SendReport:
    """Return a function that sends reports to the usage interface at `base_url`."""

    async def send(
        sender: OrderSender, customer: str, window: int, epoch: int, report: dict
    ) -> Any:
        return await sender.send("PUT", f"{base_url}/reports/{customer}/{window}", epoch, report)

    return send


class UsageReporter:
    """Report one owner's windows in order.

    A window is sealed in the store before it is reported, so repeated reports are identical.
    `late_reports` counts the windows reported more than a window's length after their grace period.
    """

    def __init__(
        self,
        owner: str,
        counter: UsageCounter,
        store: ObjectStore,
        sender: OrderSender,
        send_report: SendReport,
        wall_clock: Callable[[], float],
    ) -> None:
        self.owner = owner
        self.counter = counter
        self.store = store
        self.sender = sender
        self.send_report = send_report
        self.wall_clock = wall_clock
        self.late_reports = 0
        self.epoch = 0
        self.last_window = 0
        self.progress_version = 0

    async def run_once(self, lease: Lease) -> None:
        """Seal and report every window whose grace period is over; raise AcaciarillError."""
        length_s = self.counter.window_s(self.owner)
        grace_s = max(SEAL_GRACE_MIN_S, length_s * SEAL_GRACE_SHARE)
        if lease.epoch != self.epoch:
            self.last_window, self.progress_version = await self._read_progress(length_s)
            self.epoch = lease.epoch
        window = self.last_window + length_s
        while window + length_s + grace_s <= self.wall_clock():
            sealed = await self._seal(window, length_s)
            for customer in sealed.customers():
                report = sealed.report(customer)
                await self.send_report(self.sender, customer, window, lease.epoch, report)
            key = PROGRESS_PREFIX + self.owner
            self.epoch = 0  # progress is read again unless this write is confirmed
            progress = orjson.dumps({"window": window})
            self.progress_version = await self.store.put(key, progress, self.progress_version)
            self.epoch, self.last_window = lease.epoch, window
            await self._delete_window(window - RETAINED_WINDOWS * length_s)
            if self.wall_clock() > window + 2 * length_s + grace_s:
                self.late_reports += 1
            if sealed.customers():
                log_message(message_type="usage:reported", owner=self.owner, window=window)
            window += length_s

    async def _read_progress(self, length_s: int) -> tuple[int, int]:
        stored = await self.store.get(PROGRESS_PREFIX + self.owner)
        if stored is not None:
            return orjson.loads(stored[0])["window"], stored[1]
        first_window = self.counter.current_window(self.owner) - (CORRECTION_WINDOWS + 1) * length_s
        return first_window, 0

    async def _seal(self, window: int, length_s: int) -> SealedWindow:
        """Return the sealed window, sealing it first if the store has none."""
        key = self._sealed_key(window)
        stored = await self.store.get(key)
        if stored is not None:
            return SealedWindow.decode(stored[0])
        windows = [window - count * length_s for count in range(CORRECTION_WINDOWS + 1)]
        earlier = [
            sealed for past_window in windows[1:] for sealed in await self._read_sealed(past_window)
        ]
        shards = {past_window: await self._read_shards(past_window) for past_window in windows}
        sealed = seal_window(window, shards, earlier)
        with suppress(StoreConflictError):
            await self.store.put(key, sealed.encode(), 0)
            return sealed
        stored = await self.store.get(key)
        assert stored is not None  # a sealed window is deleted only long after its report
        return SealedWindow.decode(stored[0])

    async def _read_sealed(self, window: int) -> list[SealedWindow]:
        stored = await self.store.get(self._sealed_key(window))
        return [SealedWindow.decode(stored[0])] if stored else []

    async def _read_shards(self, window: int) -> dict[str, dict[str, UsageCounts]]:
        stored_shards = await self.store.list(f"{SHARD_PREFIX}{self.owner}/{window}/")
        return {
            item.key.rpartition("/")[2]: decode_shard(item.value or b"{}") for item in stored_shards
        }

    async def _delete_window(self, window: int) -> None:
        key = self._sealed_key(window)
        if await self.store.get(key) is None:
            return
        for item in await self.store.list(f"{SHARD_PREFIX}{self.owner}/{window}/"):
            await self.store.delete(item.key)
        await self.store.delete(key)

    def _sealed_key(self, window: int) -> str:
        return f"{SEALED_PREFIX}{self.owner}/{window}"
