"""Define the outcomes of attempts and the errors that carry them."""

from enum import StrEnum
from typing import Any


class Outcome(StrEnum):
    """Define whether an upstream has executed a request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """Define the steps of a request or of a control action at which an error can occur."""

    PARSE = "parse"
    ROUTE = "route"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    CLAIM = "claim"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    FORWARD = "forward"
    STORE = "store"
    LEASE = "lease"
    ORDER = "order"
    REPORT = "report"
    CONFIGURE = "configure"
    SCORE = "score"


class AcaciarillError(Exception):
    """Carry the code, outcome, step and peer of a failure.

    `code` is stable for clients, `status` is the HTTP status of the response to the client, and
    `retry_after_s` is in seconds. `peer` names the upstream, daemon, address or stored object that
    the failed step used.
    """

    code = "error"
    status = 500
    outcome = Outcome.UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        step: Step,
        peer: str = "",
        outcome: Outcome | None = None,
        code: str | None = None,
        status: int | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.outcome = outcome or self.outcome
        self.code = code or self.code
        self.status = status or self.status
        self.retry_after_s = retry_after_s

    def is_retryable(self, idempotent: bool) -> bool:
        """Return whether the request can be attempted again safely.

        An unknown outcome allows that only for an idempotent request.
        """
        if self.outcome is Outcome.NOT_RUN:
            return True
        return self.outcome is Outcome.UNKNOWN and idempotent

    def as_body(self) -> dict[str, Any]:
        """Return the JSON body of the response to the client; it names no upstream or peer."""
        body: dict[str, Any] = {
            "code": self.code,
            "outcome": str(self.outcome),
            "step": str(self.step),
            "message": self.message,
        }
        if self.retry_after_s is not None:
            body["retry_after_s"] = self.retry_after_s
        return body


class BadRequestError(AcaciarillError):
    """Report a request that cannot succeed unless the client changes it."""

    code = "bad-request"
    status = 400
    outcome = Outcome.NOT_RUN

    def is_retryable(self, idempotent: bool) -> bool:
        """Return False, because the same request fails again in the same way."""
        return False


class RefusedError(AcaciarillError):
    """Report a request that was refused before any of its bytes reached an upstream."""

    code = "refused"
    status = 503
    outcome = Outcome.NOT_RUN


class UpstreamError(AcaciarillError):
    """Report an attempt that failed at an upstream or on the way to it."""

    code = "upstream-failed"
    status = 502


class PeerError(AcaciarillError):
    """Report a failed exchange with another daemon."""

    code = "peer-failed"
    status = 502


class StoreError(AcaciarillError):
    """Report a call to the Object API that got no valid response."""

    code = "store-unavailable"
    status = 503


class StoreConflictError(StoreError):
    """Report a conditional write whose expected version is not the stored one."""

    code = "conflict"
    status = 409
    outcome = Outcome.NOT_RUN


class StoreHistoryGoneError(StoreError):
    """Report a watch from a position whose history the store no longer keeps."""

    code = "history-gone"
    status = 410
    outcome = Outcome.NOT_RUN


class LeaseLostError(AcaciarillError):
    """Report an order that was stopped because its lease may no longer be held."""

    code = "lease-lost"
    status = 503
    outcome = Outcome.NOT_RUN


class ConfigError(AcaciarillError):
    """Report a rejected configuration with all its faults."""

    code = "config-invalid"
    status = 422
    outcome = Outcome.NOT_RUN

    def __init__(self, faults: list["ConfigFault"], **context: Any) -> None:
        super().__init__("; ".join(str(fault) for fault in faults), step=Step.CONFIGURE, **context)
        self.faults = faults

    def as_body(self) -> dict[str, Any]:
        """Return the JSON body with the text of each fault."""
        return super().as_body() | {"faults": [str(fault) for fault in self.faults]}


class ConfigFault:
    """Describe one fault of a configuration by file, section and key."""

    __slots__ = ("file", "section", "key", "message")

    def __init__(self, file: str, section: str, key: str, message: str) -> None:
        self.file = file
        self.section = section
        self.key = key
        self.message = message

    def __str__(self) -> str:
        return f"{self.file}: [{self.section}] {self.key}: {self.message}"
