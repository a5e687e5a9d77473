"""Authenticate callers by their keys."""

import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from ..config import ConfigCoordinator
from ..errors import BadRequestError, RefusedError, Step
from .const import CODE_KEYS_NOT_FRESH, KEY_SECRET_BYTES

_UNKNOWN_KEY_DIGEST = "0" * 64
"""Compared when the key id is unknown, so that the refusal takes as long as for a wrong secret."""


@dataclass(slots=True, frozen=True)
class Caller:
    """Identify the customer that a request runs for and the key that authenticated it."""

    customer: str
    owner: str
    key_id: str


def key_digest(secret: str) -> str:
    """Return the hexadecimal SHA-256 of a key's secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def new_key(customer: str) -> tuple[str, str, str]:
    """Generate a key; return its id, its digest and the bearer token for the caller."""
    key_id = f"{customer}-{secrets.token_hex(4)}"
    secret = secrets.token_urlsafe(KEY_SECRET_BYTES)
    return key_id, key_digest(secret), f"{key_id}.{secret}"


class Authenticator:
    """Authenticate callers by bearer keys.

    `withdrawals_are_current` returns whether this daemon may rely on its list of withdrawn keys.
    """

    def __init__(
        self, config: ConfigCoordinator, withdrawals_are_current: Callable[[], bool]
    ) -> None:
        self.config = config
        self.withdrawals_are_current = withdrawals_are_current

    def authenticate(self, authorization: str) -> Caller:
        """Return the caller of a bearer key.

        Raise BadRequestError for a missing, unknown or withdrawn key, RefusedError while the list
        of withdrawn keys is outdated.
        """
        scheme, _, token = authorization.partition(" ")
        key_id, _, secret = token.strip().rpartition(".")
        if scheme.lower() != "bearer" or not key_id or not secret:
            raise _unauthorized_error("missing key; expected Authorization: Bearer ID.SECRET")
        self._require_current_withdrawals()
        document = self.config.document
        key = document.keys.get(key_id)
        digest = key.digest if key else _UNKNOWN_KEY_DIGEST
        matches = hmac.compare_digest(digest, key_digest(secret))
        if key is None or not matches or key_id in self.config.withdrawn_key_ids:
            raise _unauthorized_error("invalid key")
        customer = document.customers[key.customer]
        return Caller(customer.name, customer.owner, key_id)

    def recheck(self, caller: Caller) -> None:
        """Check a caller's key again.

        Raise BadRequestError if it was withdrawn or removed, RefusedError while the list of
        withdrawn keys is outdated.
        """
        if not caller.key_id:
            return
        if self.is_withdrawn(caller):
            raise _unauthorized_error("invalid key")
        self._require_current_withdrawals()

    def _require_current_withdrawals(self) -> None:
        if not self.withdrawals_are_current():
            raise RefusedError(
                "keys cannot be verified now",
                step=Step.AUTHENTICATE,
                code=CODE_KEYS_NOT_FRESH,
                retry_after_s=1.0,
            )

    def is_withdrawn(self, caller: Caller) -> bool:
        """Return whether a caller's key was withdrawn, or removed from the configuration."""
        if not caller.key_id:
            return False
        is_configured = caller.key_id in self.config.document.keys
        return not is_configured or caller.key_id in self.config.withdrawn_key_ids


def _unauthorized_error(message: str) -> BadRequestError:
    return BadRequestError(message, step=Step.AUTHENTICATE, status=401, code="unauthorized")
