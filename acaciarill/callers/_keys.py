"""Check callers' keys against the digests in force."""

import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from ..config import ConfigCoordinator
from ..errors import BadRequestError, RefusedError, Step
from .const import CODE_KEYS_NOT_FRESH, KEY_SECRET_BYTES

_NO_DIGEST = "0" * 64


@dataclass(slots=True, frozen=True)
class Caller:
    """Name the customer that a request runs for, and the key that came with it."""

    customer: str
    owner: str
    key_id: str


def key_digest(secret: str) -> str:
    """Return the SHA-256 of a key's secret in hex."""
    return hashlib.sha256(secret.encode()).hexdigest()


def new_key(customer: str) -> tuple[str, str, str]:
    """Return the id of a new key, its digest, and the text that the caller shows."""
    key_id = f"{customer}-{secrets.token_hex(4)}"
    secret = secrets.token_urlsafe(KEY_SECRET_BYTES)
    return key_id, key_digest(secret), f"{key_id}.{secret}"


class Authenticator:
    """Decide for whom a request runs."""

    def __init__(self, config: ConfigCoordinator, fresh: Callable[[], bool]) -> None:
        self.config = config
        self.fresh = fresh

    def authenticate(self, authorization: str) -> Caller:
        """Return the caller of a bearer key.

        Raise BadRequestError for a missing, unknown or withdrawn key, RefusedError while
        withdrawals may be unknown here.
        """
        scheme, _, token = authorization.partition(" ")
        key_id, _, secret = token.strip().rpartition(".")
        if scheme.lower() != "bearer" or not key_id or not secret:
            raise _unauthorized("a key is needed: Authorization: Bearer ID.SECRET")
        self._check_fresh()
        document = self.config.document
        key = document.keys.get(key_id)
        digest = key.digest if key else _NO_DIGEST
        matches = hmac.compare_digest(digest, key_digest(secret))
        if key is None or not matches or key_id in self.config.withdrawn:
            raise _unauthorized("the key is not valid")
        customer = document.customers[key.customer]
        return Caller(customer.name, customer.owner, key_id)

    def check_again(self, caller: Caller) -> None:
        """Raise when a caller's key no longer holds, or may not without being known here."""
        if not caller.key_id:
            return
        if self.is_withdrawn(caller):
            raise _unauthorized("the key is not valid")
        self._check_fresh()

    def _check_fresh(self) -> None:
        if not self.fresh():
            raise RefusedError(
                "keys cannot be checked now",
                step=Step.AUTHENTICATE,
                code=CODE_KEYS_NOT_FRESH,
                retry_after_s=1.0,
            )

    def is_withdrawn(self, caller: Caller) -> bool:
        """Tell whether a caller's key was withdrawn, or removed from the configuration."""
        if not caller.key_id:
            return False
        known = caller.key_id in self.config.document.keys
        return not known or caller.key_id in self.config.withdrawn


def _unauthorized(message: str) -> BadRequestError:
    return BadRequestError(message, step=Step.AUTHENTICATE, status=401, code="unauthorized")
