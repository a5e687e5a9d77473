"""Hold duties by leases in the Object API."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol
from uuid import uuid4

import orjson
from eliot import log_message

from ..errors import Step, StoreConflictError, StoreError
from .const import LEASE_DRIFT_SHARE, LEASE_MARGIN_S, LEASE_PREFIX, LEASE_TTL_S


class LeaseStore(Protocol):
    """Read and conditionally write the objects that hold leases."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object and its version, or None; raise StoreError."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object of that version (0: it must not exist); raise StoreError."""


@dataclass(slots=True)
class LeaseRecord:
    """Hold a lease as stored; `ttl_s` is in seconds."""

    holder: str
    epoch: int
    nonce: str
    ttl_s: float = LEASE_TTL_S
    released: bool = False

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return orjson.dumps(self)

    @classmethod
    def decode(cls, data: bytes) -> "LeaseRecord":
        """Read a record from JSON."""
        return cls(**orjson.loads(data))


@dataclass(slots=True)
class Lease:
    """Hold one's own claim: an epoch and the last moment at which it may be used."""

    epoch: int
    valid_until: float

    def usable(self, now: float) -> bool:
        """Tell whether the lease may still be acted on at `now`, in seconds."""
        return now < self.valid_until


def lease_end(sent_at: float, ttl_s: float) -> float:
    """Return when the holder stops: counted from before the first send, less a margin."""
    return sent_at + ttl_s - LEASE_MARGIN_S


def hold_off_s(ttl_s: float) -> float:
    """Return how long a successor must see the same version unchanged, in seconds."""
    return ttl_s * (1 + LEASE_DRIFT_SHARE) + LEASE_MARGIN_S


class LeaseHolder:
    """Take, renew and give back one lease.

    `observe` is called by the owner's timer. Time is read from `clock` before each send, so a
    pause of any length can only shorten what this process believes it holds.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        store: LeaseStore,
        clock: Callable[[], float],
        may_take: Callable[[], bool] = lambda: True,
        on_taken: Callable[[Lease], Awaitable[None]] | None = None,
        ttl_s: float = LEASE_TTL_S,
    ) -> None:
        self.ttl_s = ttl_s
        self.key = LEASE_PREFIX + name
        self.name = name
        self.holder = holder
        self.store = store
        self.clock = clock
        self.may_take = may_take
        self.on_taken = on_taken
        self.lease: Lease | None = None
        self.version = 0
        self._seen_nonce = ""
        self._seen_since = 0.0

    def is_held(self, epoch: int | None = None) -> bool:
        """Tell whether this process may act on the duty now, under that epoch if one is given.

        An order that was decided under an earlier epoch is void even when the same process holds
        the lease again: another holder may have ordered in between.
        """
        lease = self.lease
        if lease is None or epoch not in (None, lease.epoch):
            return False
        return lease.usable(self.clock())

    async def renew_or_acquire(self) -> None:
        """Renew the lease, or take it when its holder is surely gone; raise StoreError."""
        if self.is_held():
            await self._renew()
            return
        self.lease = None
        if not self.may_take():
            return
        found = await self.store.get(self.key)
        now = self.clock()
        if found is None:
            await self._take(1, 0)
            return
        record, self.version = LeaseRecord.decode(found[0]), found[1]
        if record.nonce != self._seen_nonce:
            self._seen_nonce, self._seen_since = record.nonce, now
        waited_s = now - self._seen_since
        # A holder of the same name was an earlier process of this host, which has ended.
        ended = record.released or record.holder == self.holder
        if ended or waited_s >= hold_off_s(record.ttl_s):
            await self._take(record.epoch + 1, self.version)

    async def release(self) -> None:
        """Give the lease back so that a successor need not wait; raise StoreError."""
        if not self.is_held() or self.lease is None:
            return
        epoch = self.lease.epoch
        self.lease = None
        record = LeaseRecord(self.holder, epoch, uuid4().hex, released=True)
        await self.store.put(self.key, record.encode(), self.version)

    async def _take(self, epoch: int, version: int) -> None:
        try:
            await self._write(epoch, version)
        except StoreConflictError:
            return
        log_message(message_type="lease:taken", duty=self.name, epoch=epoch)
        if self.on_taken is not None and self.lease is not None:
            await self.on_taken(self.lease)

    async def _renew(self) -> None:
        assert self.lease is not None
        try:
            await self._write(self.lease.epoch, self.version)
        except StoreConflictError:
            log_message(message_type="lease:lost", duty=self.name, epoch=self.lease.epoch)
            self.lease = None

    async def _write(self, epoch: int, version: int) -> None:
        """Write the record; settle a lost answer by reading back the nonce."""
        record = LeaseRecord(self.holder, epoch, uuid4().hex, self.ttl_s)
        sent_at = self.clock()
        try:
            self.version = await self.store.put(self.key, record.encode(), version)
        except StoreConflictError:
            raise
        except StoreError:
            found = await self.store.get(self.key)
            if found is None or found[1] == version:
                raise  # not applied so far; a claim already held runs on until its end
            if LeaseRecord.decode(found[0]).nonce != record.nonce:
                raise StoreConflictError(
                    "another holder wrote the lease", step=Step.LEASE, peer=self.key
                ) from None
            self.version = found[1]
        self.lease = Lease(epoch, lease_end(sent_at, record.ttl_s))
