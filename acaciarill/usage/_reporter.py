"""Seal ended windows and report them under a lease."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import orjson
from eliot import log_message

from ..errors import StoreConflictError
from ..leases import Lease
from ..object_store import ObjectStore
from ..upstreams import OrderSender
from ._counter import Figures, UsageCounter
from ._sealing import SealedWindow, seal_window
from ._shards import decode_slots
from .const import (
    LOOK_BACK_WINDOWS,
    PROGRESS_PREFIX,
    RETAINED_WINDOWS,
    SEAL_GRACE_MIN_S,
    SEAL_GRACE_SHARE,
    SEALED_PREFIX,
    SLOT_PREFIX,
)

SendReport = Callable[[OrderSender, str, int, int, dict[str, Any]], Awaitable[Any]]
"""Send a customer's report of a window under an epoch; raise AcaciarillError."""


def report_sender(base_url: str) -> SendReport:
    """Return the reports to the usage interface at an address."""

    async def send(
        sender: OrderSender, customer: str, window: int, epoch: int, report: dict
    ) -> Any:
        return await sender.send("PUT", f"{base_url}/reports/{customer}/{window}", epoch, report)

    return send


class UsageReporter:
    """Report one owner's windows in order; only a sealed figure is ever sent."""

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
        self.late = 0
        self.epoch = 0
        self.last = 0
        self.version = 0

    async def run_once(self, lease: Lease) -> None:
        """Seal and report every window that is over; raise AcaciarillError."""
        length = self.counter.window_s(self.owner)
        grace_s = max(SEAL_GRACE_MIN_S, length * SEAL_GRACE_SHARE)
        if lease.epoch != self.epoch:
            self.last, self.version = await self._read_progress(length)
            self.epoch = lease.epoch
        window = self.last + length
        while window + length + grace_s <= self.wall_clock():
            sealed = await self._seal(window, length)
            for customer in sealed.customers():
                report = sealed.report(customer)
                await self.send_report(self.sender, customer, window, lease.epoch, report)
            name = PROGRESS_PREFIX + self.owner
            self.epoch = 0  # read again unless this write is known to have taken effect
            progress = orjson.dumps({"window": window})
            self.version = await self.store.put(name, progress, self.version)
            self.epoch, self.last = lease.epoch, window
            await self._drop_old(window - RETAINED_WINDOWS * length)
            if self.wall_clock() > window + 2 * length + grace_s:
                self.late += 1
            if sealed.customers():
                log_message(message_type="usage:reported", owner=self.owner, window=window)
            window += length

    async def _read_progress(self, length: int) -> tuple[int, int]:
        found = await self.store.get(PROGRESS_PREFIX + self.owner)
        if found is not None:
            return orjson.loads(found[0])["window"], found[1]
        first = self.counter.current_window(self.owner) - (LOOK_BACK_WINDOWS + 1) * length
        return first, 0

    async def _seal(self, window: int, length: int) -> SealedWindow:
        """Return the sealed window, creating it unless it is there."""
        name = self._sealed_name(window)
        found = await self.store.get(name)
        if found is not None:
            return SealedWindow.decode(found[0])
        windows = [window - count * length for count in range(LOOK_BACK_WINDOWS + 1)]
        earlier = [sealed for past in windows[1:] for sealed in await self._read_sealed(past)]
        slots = {past: await self._read_slots(past) for past in windows}
        sealed = seal_window(window, slots, earlier)
        with suppress(StoreConflictError):
            await self.store.put(name, sealed.encode(), 0)
            return sealed
        found = await self.store.get(name)
        assert found is not None  # a sealed window is dropped only long after it was reported
        return SealedWindow.decode(found[0])

    async def _read_sealed(self, window: int) -> list[SealedWindow]:
        found = await self.store.get(self._sealed_name(window))
        return [SealedWindow.decode(found[0])] if found else []

    async def _read_slots(self, window: int) -> dict[str, dict[str, Figures]]:
        objects = await self.store.list(f"{SLOT_PREFIX}{self.owner}/{window}/")
        return {item.key.rpartition("/")[2]: decode_slots(item.value or b"{}") for item in objects}

    async def _drop_old(self, window: int) -> None:
        name = self._sealed_name(window)
        if await self.store.get(name) is None:
            return
        for item in await self.store.list(f"{SLOT_PREFIX}{self.owner}/{window}/"):
            await self.store.delete(item.key)
        await self.store.delete(name)

    def _sealed_name(self, window: int) -> str:
        return f"{SEALED_PREFIX}{self.owner}/{window}"
