"""Acquire, renew and release leases that are stored in the Object API."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol
from uuid import uuid4

import orjson
from eliot import log_message

from ..errors import Step, StoreConflictError, StoreError
from ..stored_forms import build_record
from .const import LEASE_CLOCK_DRIFT_RATIO, LEASE_PREFIX, LEASE_SAFETY_MARGIN_S, LEASE_TTL_S


class LeaseStore(Protocol):
    """Read and conditionally write the objects in which leases are stored."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object and its version, or None; raise StoreError."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object of that version (0: it must not exist); raise StoreError."""


@dataclass(slots=True)
class LeaseRecord:
    """Hold a lease as it is stored.

    Each write has a new `nonce`, which identifies it when its response is lost.
    """

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
        return build_record(cls, orjson.loads(data))


@dataclass(slots=True)
class Lease:
    """Hold a lease of this process: its epoch, which is the fencing token, and when it expires."""

    epoch: int
    valid_until: float

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may still act at `now`, in seconds."""
        return now < self.valid_until


def lease_expiry(sent_at: float, ttl_s: float) -> float:
    """Return when the holder must stop acting: a margin before the TTL from `sent_at` ends."""
    return sent_at + ttl_s - LEASE_SAFETY_MARGIN_S


def takeover_delay_s(ttl_s: float) -> float:
    """Return how long a lease must be seen unchanged before a takeover, in seconds."""
    return ttl_s * (1 + LEASE_CLOCK_DRIFT_RATIO) + LEASE_SAFETY_MARGIN_S


class LeaseHolder:
    """Acquire, renew and release one lease.

    `renew_or_acquire` must be called periodically. Time is read from `clock` before each write,
    so a pause of the process can only shorten the validity that it assumes, never extend it.

    A host that has held the lease acquires it from another holder only `return_delay_s` seconds,
    by default the TTL, after it has last held it, since receivers that do not check epochs tell
    delayed calls from new ones only by such a distance.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        store: LeaseStore,
        clock: Callable[[], float],
        may_acquire: Callable[[], bool] = lambda: True,
        on_acquired: Callable[[Lease], Awaitable[None]] | None = None,
        ttl_s: float = LEASE_TTL_S,
        return_delay_s: float | None = None,
    ) -> None:
        self.ttl_s = ttl_s
        self.return_delay_s = ttl_s if return_delay_s is None else return_delay_s
        self.key = LEASE_PREFIX + name
        self.name = name
        self.holder = holder
        self.store = store
        self.clock = clock
        self.may_acquire = may_acquire
        self.on_acquired = on_acquired
        self.lease: Lease | None = None
        self.version = 0
        self._observed_nonce = ""
        self._observed_since = 0.0
        # An earlier process of this host may have held the lease until now.
        self._last_held_at = clock()
        self._delayed_nonce = ""

    def is_held(self, epoch: int | None = None) -> bool:
        """Return whether this process holds the lease now and, if given, under this epoch.

        An order that was decided under an earlier epoch must not be sent even if the same process
        holds the lease again, because another holder may have sent orders in between.
        """
        lease = self.lease
        if lease is None or epoch not in (None, lease.epoch):
            return False
        return lease.is_valid(self.clock())

    async def renew_or_acquire(self) -> None:
        """Renew the lease, or acquire it if it is free, released or expired; raise StoreError."""
        if self.is_held():
            await self._renew()
            return
        self._drop()
        if not self.may_acquire():
            return
        stored = await self.store.get(self.key)
        now = self.clock()
        if stored is None:
            await self._acquire(1, 0)
            return
        record, self.version = LeaseRecord.decode(stored[0]), stored[1]
        if record.nonce != self._observed_nonce:
            self._observed_nonce, self._observed_since = record.nonce, now
        unchanged_s = now - self._observed_since
        # A holder of the same name is an earlier process of this host, which has ended.
        was_own = record.holder == self.holder
        ended = record.released or was_own or unchanged_s >= takeover_delay_s(record.ttl_s)
        if not ended or (not was_own and self._must_wait_to_return(record, now)):
            return
        await self._acquire(record.epoch + 1, self.version, record)

    async def release(self) -> None:
        """Release the lease so that a successor can acquire it at once; raise StoreError."""
        if not self.is_held() or self.lease is None:
            return
        epoch = self.lease.epoch
        self._drop()
        record = LeaseRecord(self.holder, epoch, uuid4().hex, released=True)
        await self.store.put(self.key, record.encode(), self.version)
        log_message(message_type="lease:released", duty=self.name, epoch=epoch)

    def _drop(self) -> None:
        """Stop holding the lease, and note until when this process may have acted under it."""
        if self.lease is None:
            return
        self._last_held_at = min(self.clock(), self.lease.valid_until)
        self.lease = None

    def _must_wait_to_return(self, record: LeaseRecord, now: float) -> bool:
        """Return whether this host may have held the lease too recently to succeed the holder."""
        wait_s = self._last_held_at + self.return_delay_s - now
        if wait_s <= 0:
            return False
        if record.nonce != self._delayed_nonce:
            self._delayed_nonce = record.nonce
            log_message(
                message_type="lease:return_delayed",
                duty=self.name,
                holder=record.holder,
                wait_s=round(wait_s, 2),
            )
        return True

    async def _acquire(self, epoch: int, version: int, former: LeaseRecord | None = None) -> None:
        try:
            await self._write(epoch, version)
        except StoreConflictError:
            return
        log_message(
            message_type="lease:acquired",
            duty=self.name,
            epoch=epoch,
            former_holder=former.holder if former is not None else None,
            was_released=former is not None and former.released,
        )
        if self.on_acquired is not None and self.lease is not None:
            await self.on_acquired(self.lease)

    async def _renew(self) -> None:
        assert self.lease is not None
        try:
            await self._write(self.lease.epoch, self.version)
        except StoreConflictError:
            log_message(message_type="lease:lost", duty=self.name, epoch=self.lease.epoch)
            self._drop()

    async def _write(self, epoch: int, version: int) -> None:
        """Write the record; if the response is lost, read the nonce back to see who wrote it."""
        record = LeaseRecord(self.holder, epoch, uuid4().hex, self.ttl_s)
        sent_at = self.clock()
        try:
            self.version = await self.store.put(self.key, record.encode(), version)
        except StoreConflictError:
            raise
        except StoreError:
            stored = await self.store.get(self.key)
            if stored is None or stored[1] == version:
                raise  # not applied so far; a lease that is held stays valid until it expires
            if LeaseRecord.decode(stored[0]).nonce != record.nonce:
                raise StoreConflictError(
                    "another holder wrote the lease", step=Step.LEASE, peer=self.key
                ) from None
            self.version = stored[1]
        self.lease = Lease(epoch, lease_expiry(sent_at, record.ttl_s))
