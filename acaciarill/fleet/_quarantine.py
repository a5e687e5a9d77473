"""Keep requests that crash the upstreams that run them from running again and again.

All daemons share what they see. No daemon is elected, and none holds state that others lack.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import anyio
import orjson
from eliot import log_message

from ..errors import AcaciarillError, Outcome, RefusedError, Step, UpstreamError
from ._crash_records import CrashRecord, digest_records
from ._issuers import Issuers
from .const import (
    ISSUER_BACKOFF_S,
    MAX_CRASH_RECORDS,
    TRIAL_POLL_S,
    TRIAL_RECHECK_S,
    TRIAL_RESERVATION_S,
)

REQUEST_QUARANTINED = "request-quarantined"
"""Code of the error for a request that was not sent because upstreams crashed when it ran."""


@dataclass(slots=True, frozen=True)
class TrialGrant:
    """Say whether a request may run as a trial, or when to ask again (None: never).

    `is_pending` says that another attempt has the trial, whose outcome is not known yet.
    """

    granted: bool
    retry_after_s: float | None = None
    is_pending: bool = False


CallTrialIssuer = Callable[[str, str, str, bytes], Awaitable[TrialGrant]]
"""Ask a daemon, by its name, for a trial of the request with a key in the attempt with an id, and
tell it the encoded records of that request; raise PeerError."""


class Quarantine:
    """Hold the crashes under requests, and decide which of these requests may run.

    `share` sends encoded records to all other daemons and does not wait. `on_decision` is called
    with the outcome for each request that may run only as a trial.
    """

    def __init__(
        self,
        issuers: Issuers,
        call_issuer: CallTrialIssuer,
        share: Callable[[bytes], None],
        clock: Callable[[], float],
        on_decision: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.issuers = issuers
        self.call_issuer = call_issuer
        self.share = share
        self.clock = clock
        self.on_decision = on_decision
        self.records: dict[str, CrashRecord] = {}
        self.reservations: dict[str, tuple[str, float]] = {}

    # What happened to requests

    def record_crash(self, lifetime: str, key: str) -> None:
        """Record that an upstream crashed while the request with a key ran there."""
        record = self.records.setdefault(key, CrashRecord())
        record.add_crash(lifetime, self.clock())
        self._share(key)
        self._drop_records()
        if record.needs_trial():
            log_message(
                message_type="request:quarantined",
                request_key=key,
                crashes=len(record.crashes),
                trials=len(record.trials),
            )

    def record_trial(self, key: str, attempt_id: str) -> None:
        """Record that a trial has just been sent."""
        self.records.setdefault(key, CrashRecord()).add_trial(attempt_id, self.clock())
        self._share(key)
        log_message(message_type="request:trial_sent", request_key=key, request=attempt_id)

    def release(self, key: str, reason: str) -> bool:
        """Let a request run again at all daemons; return whether it had any crashes."""
        record = self.records.get(key)
        if record is None or not record.crashes:
            return False
        if record.needs_trial():
            log_message(message_type="request:released", request_key=key, reason=reason)
        record.complete(self.clock())
        self._share(key)
        return True

    # Whether a request may run

    def is_quarantined(self, key: str) -> bool:
        """Return whether the request with a key may run only as a trial."""
        record = self.records.get(key)
        return record is not None and record.needs_trial()

    def quarantined(self) -> dict[str, dict[str, float | None]]:
        """Return the requests that may run only as trials, by key, for operators."""
        now = self.clock()
        return {
            key: {
                "crashes": len(record.crashes),
                "trials": len(record.trials),
                "last_crash_s_ago": round(now - max(record.crashes.values()), 1),
                "next_trial_in_s": (
                    None if (at := record.next_trial_at()) is None else max(0.0, round(at - now, 1))
                ),
            }
            for key, record in self.records.items()
            if record.needs_trial()
        }

    async def admit(
        self, key: str, attempt_id: str, max_wait_s: float, is_last_upstream: bool = False
    ) -> bool:
        """Return whether the attempt is a trial; raise AcaciarillError if it may not be sent.

        While another trial runs, wait for its outcome up to `max_wait_s` seconds. A trial that
        could leave the service without any upstream waits until those that crashed are back.
        """
        give_up_at = self.clock() + max_wait_s
        while self.is_quarantined(key):
            restart_wait_s = self.records[key].restarted_at() - self.clock()
            if is_last_upstream and restart_wait_s > 0.0:
                self.on_decision("rejected")
                raise _rejection(TrialGrant(False, restart_wait_s))
            grant = await self.issuers.ask(
                key,
                lambda: self.issue_trial(key, attempt_id),
                lambda name: self.call_issuer(name, key, attempt_id, self.encode([key])),
            )
            if grant is None:
                grant = TrialGrant(False, ISSUER_BACKOFF_S)
            if grant.granted:
                self.on_decision("trial")
                return True
            if not grant.is_pending or self.clock() >= give_up_at:
                self.on_decision("rejected")
                raise _rejection(grant)
            await self._wait_for_trial(key, give_up_at)
        return False

    async def _wait_for_trial(self, key: str, give_up_at: float) -> None:
        """Wait until a trial of a request has an outcome, for a short time if none is known."""
        record = self.records.get(key)
        crash_count = len(record.crashes) if record is not None else 0
        wait_until = min(give_up_at, self.clock() + TRIAL_RECHECK_S)
        while self.clock() < wait_until and self.is_quarantined(key):
            if len(self.records[key].crashes) > crash_count:
                return
            await anyio.sleep(TRIAL_POLL_S)

    def issue_trial(self, key: str, attempt_id: str) -> TrialGrant:
        """Issue a trial to this or another daemon, one at a time for each request."""
        now = self.clock()
        record = self.records.get(key)
        if record is None or not record.needs_trial():
            return TrialGrant(True)
        next_trial_at = record.next_trial_at()
        if next_trial_at is None:
            return TrialGrant(False)
        holder, reserved_until = self.reservations.get(key, ("", 0.0))
        is_reserved = holder != attempt_id and reserved_until > now
        if is_reserved:
            next_trial_at = max(next_trial_at, reserved_until)
        if next_trial_at > now:
            is_pending = is_reserved or record.is_trial_running(now)
            return TrialGrant(False, next_trial_at - now, is_pending)
        self.reservations[key] = (attempt_id, now + TRIAL_RESERVATION_S)
        return TrialGrant(True)

    # Exchange with other daemons

    @property
    def digest(self) -> int:
        """Return a checksum of all crashes and trials, 0 for none."""
        return digest_records(self.records) if self.records else 0

    def encode(self, keys: Iterable[str] | None = None) -> bytes:
        """Encode the records of some requests, or all records, for another daemon."""
        now = self.clock()
        encoded_keys = self.records if keys is None else keys
        return orjson.dumps({key: self.records[key].as_row(now) for key in encoded_keys})

    def merge(self, data: bytes) -> None:
        """Add the records of another daemon."""
        now = self.clock()
        for key, row in orjson.loads(data).items():
            record = self.records.setdefault(key, CrashRecord())
            was_quarantined = record.needs_trial()
            record.merge(CrashRecord.from_row(row, now))
            if record.needs_trial() != was_quarantined:
                log_message(
                    message_type="request:released" if was_quarantined else "request:quarantined",
                    request_key=key,
                    crashes=len(record.crashes),
                    trials=len(record.trials),
                    reason="reported by another daemon",
                )
        self._drop_records()

    def _share(self, key: str) -> None:
        self.share(self.encode([key]))

    def _drop_records(self) -> None:
        """Forget records that have expired and, beyond the limit, those with the least to tell."""
        now = self.clock()
        for key, record in list(self.records.items()):
            if record.expires_at() <= now:
                del self.records[key]
        if len(self.records) > MAX_CRASH_RECORDS:
            most_crashes_first = sorted(
                self.records.items(),
                key=lambda row: (len(row[1].crashes), row[1].expires_at()),
                reverse=True,
            )
            self.records = dict(most_crashes_first[:MAX_CRASH_RECORDS])
        self.reservations = {key: r for key, r in self.reservations.items() if r[1] > now}


def _rejection(grant: TrialGrant) -> AcaciarillError:
    if grant.retry_after_s is not None:
        return RefusedError(
            "upstreams crashed when this request ran; a trial is due later",
            step=Step.ADMIT,
            code=REQUEST_QUARANTINED,
            retry_after_s=grant.retry_after_s,
        )
    # The request ran before under other ids, and no later attempt will be served.
    return UpstreamError(
        "upstreams crashed whenever this request ran",
        step=Step.ADMIT,
        code=REQUEST_QUARANTINED,
        outcome=Outcome.UNKNOWN,
    )
