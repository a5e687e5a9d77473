"""Authenticate operators and decide which owners' sections they may access."""

import hashlib
import hmac
import ipaddress
from dataclasses import dataclass

from starlette.requests import Request

from ..errors import BadRequestError, Step
from .const import PLATFORM_OWNER


@dataclass(slots=True, frozen=True)
class Operator:
    """Identify the owner on whose behalf a request is made; the platform may access every owner."""

    owner: str

    def can_access(self, owner: str) -> bool:
        """Return whether the operator may see and change an owner's section."""
        return self.owner in (owner, PLATFORM_OWNER)

    def require_access(self, owner: str) -> None:
        """Raise BadRequestError unless the operator may see and change an owner's section."""
        if not self.can_access(owner):
            raise BadRequestError(
                f"the section of {owner} is not accessible with this token",
                step=Step.AUTHENTICATE,
                status=403,
                code="forbidden",
            )


def authenticate_operator(request: Request, token_digests: dict[str, str] | None) -> Operator:
    """Return the operator of a request; raise BadRequestError without a valid token.

    `token_digests` holds the hexadecimal SHA-256 of each owner's secret. Without any, requests from
    a loopback address are accepted as the platform's and all others are rejected.
    """
    if not token_digests:
        client_ip = request.client.host if request.client else ""
        if client_ip and ipaddress.ip_address(client_ip).is_loopback:
            return Operator(PLATFORM_OWNER)
        raise _unauthorized_error(
            "no operator tokens are configured; only requests from a loopback address are accepted"
        )
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    owner, _, secret = token.partition(".")
    expected_digest = token_digests.get(owner, "0" * 64)
    secret_digest = hashlib.sha256(secret.encode()).hexdigest()
    matches = hmac.compare_digest(expected_digest, secret_digest)
    if scheme.lower() != "bearer" or owner not in token_digests or not matches:
        raise _unauthorized_error(
            "missing or invalid token; expected Authorization: Bearer OWNER.SECRET"
        )
    return Operator(owner)


def _unauthorized_error(message: str) -> BadRequestError:
    return BadRequestError(message, step=Step.AUTHENTICATE, status=401, code="unauthorized")
