"""Replicate usage shards to other daemons and write each to the store after its window."""

from collections.abc import Callable
from typing import Any

import anyio
import orjson
from eliot import log_message

from ..daemons import Membership
from ..errors import AcaciarillError, StoreConflictError
from ..object_store import ObjectStore
from ..peers import PeerLinks, messages
from ..stored_forms import build_record
from ._counter import ShardKey, UsageCounter, UsageCounts
from .const import COPIES_PER_SHARD, COPY_FLUSH_DELAY_SHARE, SHARD_PREFIX


def shard_object_key(key: ShardKey) -> str:
    """Return the key of the stored object for a shard."""
    return f"{SHARD_PREFIX}{key.owner}/{key.window}/{key.incarnation}"


class ShardStore:
    """Keep a copy of each shard at two other daemons until the store has it."""

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
        self.copies: dict[ShardKey, dict[str, UsageCounts]] = {}

    async def send_copies(self) -> None:
        """Send the changed counts to two other daemons."""
        changed = self.counter.pop_changed()
        if not changed:
            return
        order = self.membership.preferred_holders("usage/" + self.counter.incarnation)
        order = self.membership.busy_roles_last(order)
        holders = [name for name in order if name != self.membership.name][:COPIES_PER_SHARD]
        async with anyio.create_task_group() as task_group:
            for key, customers in changed.items():
                message = self._build_message(key, customers)
                for name in holders:
                    task_group.start_soon(self._send_copy, name, message)

    def _build_message(self, key: ShardKey, customers: list[str]) -> Any:
        shard = self.counter.shards.get(key, {})
        entries = [
            messages.UsageSlot(
                customer=name, requests=shard[name].requests, tokens=shard[name].tokens
            )
            for name in customers
            if name in shard
        ]
        return messages.UsageCopies(
            owner=key.owner, window=key.window, incarnation=key.incarnation, slots=entries
        )

    async def _send_copy(self, name: str, message: Any) -> None:
        try:
            await self.links.call(self.membership.address(name), usage_copies=message)
        except AcaciarillError:
            self.membership.mark_suspected(name)

    async def on_copies(self, message: Any) -> dict[str, Any]:
        """Merge the counts that another daemon sent into the copy of its shard."""
        key = ShardKey(message.owner, message.window, message.incarnation)
        shard = self.copies.setdefault(key, {})
        for entry in message.slots:
            counts = shard.setdefault(entry.customer, UsageCounts())
            counts.merge_maximum(UsageCounts(entry.requests, entry.tokens))
        return {"done": messages.Done()}

    async def flush(self, include_open: bool = False) -> None:
        """Write the ended shards of this daemon, and overdue copies, to the store.

        A copy is overdue COPY_FLUSH_DELAY_SHARE of a window after the window's end: its daemon
        may then have failed to write the shard. Raise StoreError.
        """
        for key in self.counter.ended_shards(include_open):
            await self._merge_into_store(key, self.counter.shards[key])
            self.counter.shards.pop(key, None)
        for key in list(self.copies):
            window_s = self.counter.window_s(key.owner)
            if self.wall_clock() >= key.window + window_s * (1 + COPY_FLUSH_DELAY_SHARE):
                await self._merge_into_store(key, self.copies[key])
                self.copies.pop(key, None)

    async def flush_at_stop(self) -> None:
        """Write every shard, or send its latest counts to the copies if the store fails."""
        try:
            await self.flush(include_open=True)
        except AcaciarillError:
            await self.send_copies()

    async def _merge_into_store(self, key: ShardKey, shard: dict[str, UsageCounts]) -> None:
        """Raise the stored counts to those of a shard.

        After a lost response the next call finds the counts stored and writes nothing.
        """
        while True:
            stored = await self.store.get(shard_object_key(key))
            merged = decode_shard(stored[0]) if stored else {}
            changes = [
                merged.setdefault(customer, UsageCounts()).merge_maximum(counts)
                for customer, counts in shard.items()
            ]
            if not any(changes):
                return
            try:
                await self.store.put(
                    shard_object_key(key), orjson.dumps(merged), stored[1] if stored else 0
                )
            except StoreConflictError:
                continue
            log_message(message_type="usage:shard_written", window=key.window, owner=key.owner)
            return


def decode_shard(data: bytes) -> dict[str, UsageCounts]:
    """Return the counts by customer of a stored shard."""
    return {
        customer: build_record(UsageCounts, counts)
        for customer, counts in orjson.loads(data).items()
    }
