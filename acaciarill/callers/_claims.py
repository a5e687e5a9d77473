"""Claim a caller's idempotency key in the Object API before the request is dispatched."""

import hashlib
from uuid import uuid4

import orjson

from ..errors import AcaciarillError, Outcome, RefusedError, Step, StoreConflictError, StoreError
from ..object_store import ObjectStore
from .const import CLAIM_PREFIX


class ClaimStore:
    """Accept at most one request for each idempotency key, whichever daemon receives it."""

    def __init__(self, store: ObjectStore, daemon: str) -> None:
        self.store = store
        self.daemon = daemon

    async def claim(self, customer: str, idempotency_key: str) -> str:
        """Claim a key and return its object's name.

        Raise AcaciarillError when it is claimed already, RefusedError when the write failed.
        """
        digest = hashlib.sha256(f"{customer}\0{idempotency_key}".encode()).hexdigest()
        name = f"{CLAIM_PREFIX}{customer}/{digest}"
        value = orjson.dumps({"nonce": uuid4().hex, "daemon": self.daemon})
        try:
            await self.store.put(name, value, 0)
        except StoreConflictError as error:
            raise _already_claimed_error() from error
        except StoreError as error:
            await self._resolve_failed_write(name, value, error)
        return name

    async def _resolve_failed_write(self, name: str, value: bytes, error: StoreError) -> None:
        """Read the claim back, as a failed write may have been stored; raise if it was not."""
        try:
            stored = await self.store.get(name)
        except StoreError:
            stored = None
        if stored is None:
            raise RefusedError(
                "the claim of the idempotency key could not be written",
                step=Step.CLAIM,
                code="store-unavailable",
                retry_after_s=1.0,
            ) from error
        if stored[0] != value:
            raise _already_claimed_error() from error

    async def release_claim(self, name: str) -> None:
        """Delete the claim of a request that was certainly not run."""
        try:
            await self.store.delete(name)
        except StoreError:
            return  # the key stays claimed: a retry is refused, never run twice


def _already_claimed_error() -> AcaciarillError:
    return AcaciarillError(
        "a request with this idempotency key was accepted before",
        step=Step.CLAIM,
        code="already-claimed",
        outcome=Outcome.UNKNOWN,
        status=409,
    )
