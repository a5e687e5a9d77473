"""Copy slots to other daemons and write them to the store once a window."""

from collections.abc import Callable
from typing import Any

import anyio
import orjson
from eliot import log_message

from ..daemons import Membership
from ..errors import AcaciarillError, StoreConflictError
from ..object_store import ObjectStore
from ..peers import PeerLinks, messages
from ._counter import Figures, SlotKey, UsageCounter
from .const import COPIES, COPY_RESCUE_SHARE, SLOT_PREFIX


def slot_name(key: SlotKey) -> str:
    """Return the object that holds a slot."""
    return f"{SLOT_PREFIX}{key.owner}/{key.window}/{key.incarnation}"


class ShardStore:
    """Keep each slot in two other daemons and, once its window is over, in the store."""

    def __init__(
        self,
        counter: UsageCounter,
        membership: Membership,
        links: PeerLinks,
        store: ObjectStore,
        wall_clock: Callable[[], float],
    ) -> None:
        self.counter = counter
        self.membership = membership
        self.links = links
        self.store = store
        self.wall_clock = wall_clock
        self.copies: dict[SlotKey, dict[str, Figures]] = {}

    async def send_copies(self) -> None:
        """Send what changed to two other daemons."""
        changed = self.counter.take_changed()
        if not changed:
            return
        order = self.membership.preferred_holders("usage/" + self.counter.incarnation)
        order = self.membership.busy_roles_last(order)
        targets = [name for name in order if name != self.membership.name][:COPIES]
        async with anyio.create_task_group() as task_group:
            for key, customers in changed.items():
                copies = self._message(key, customers)
                for name in targets:
                    task_group.start_soon(self._send_copy, name, copies)

    def _message(self, key: SlotKey, customers: list[str]) -> Any:
        held = self.counter.slots.get(key, {})
        slots = [
            messages.UsageSlot(
                customer=name, requests=held[name].requests, tokens=held[name].tokens
            )
            for name in customers
            if name in held
        ]
        return messages.UsageCopies(
            owner=key.owner, window=key.window, incarnation=key.incarnation, slots=slots
        )

    async def _send_copy(self, name: str, copies: Any) -> None:
        try:
            await self.links.call(self.membership.address(name), usage_copies=copies)
        except AcaciarillError:
            self.membership.mark_suspected(name)

    async def on_copies(self, message: Any) -> dict[str, Any]:
        """Keep the slots of another daemon."""
        key = SlotKey(message.owner, message.window, message.incarnation)
        held = self.copies.setdefault(key, {})
        for slot in message.slots:
            figures = held.setdefault(slot.customer, Figures())
            figures.raise_to(Figures(slot.requests, slot.tokens))
        return {"done": messages.Done()}

    async def flush(self, everything: bool = False) -> None:
        """Write own ended slots, and copies whose owner seems not to have; raise StoreError."""
        for key in self.counter.ended(everything):
            await self._write(key, self.counter.slots[key])
            self.counter.slots.pop(key, None)
        for key in list(self.copies):
            window_s = self.counter.window_s(key.owner)
            if self.wall_clock() >= key.window + window_s * (1 + COPY_RESCUE_SHARE):
                await self._write(key, self.copies[key])
                self.copies.pop(key, None)

    async def flush_at_stop(self) -> None:
        """Write every slot, or hand them to the copies when the store is away."""
        try:
            await self.flush(everything=True)
        except AcaciarillError:
            await self.send_copies()

    async def _write(self, key: SlotKey, slots: dict[str, Figures]) -> None:
        """Raise the stored slot to these counts; a lost answer is met by the next call."""
        while True:
            found = await self.store.get(slot_name(key))
            merged = decode_slots(found[0]) if found else {}
            raised = [
                merged.setdefault(customer, Figures()).raise_to(figures)
                for customer, figures in slots.items()
            ]
            if not any(raised):
                return
            try:
                await self.store.put(slot_name(key), orjson.dumps(merged), found[1] if found else 0)
            except StoreConflictError:
                continue
            log_message(message_type="usage:slot_written", window=key.window, owner=key.owner)
            return


def decode_slots(data: bytes) -> dict[str, Figures]:
    """Read a stored slot."""
    return {customer: Figures(**figures) for customer, figures in orjson.loads(data).items()}
