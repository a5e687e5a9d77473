"""Exchange the records of requests that crash upstreams with the other daemons."""

from collections.abc import Callable

import anyio
import anyio.abc
from eliot import log_message

from ..errors import Outcome, PeerError, Step
from ..fleet import Members, Quarantine, TrialGrant
from ..fleet.const import PERMIT_TIMEOUT_S, PING_TIMEOUT_S
from ..peers import CallHandler, PeerLinks, messages

MAX_CRASH_SOURCES = 4
CRASH_FETCH_RETRY_DELAY_S = 0.1


class CrashCalls:
    """Share crash records, fetch those of others, and ask the issuers for trials.

    `address_of` returns the address of a daemon by its name, or raises PeerError.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        address_of: Callable[[str], str],
        task_group: anyio.abc.TaskGroup,
        seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self.members = members
        self.links = links
        self.address_of = address_of
        self.task_group = task_group
        self.seeds = seeds
        self.quarantine: Quarantine | None = None
        self.fetching_from: set[str] = set()

    def handlers(self) -> dict[str, CallHandler]:
        """Return the handlers of the calls of others, by frame member."""
        return {
            "crash_records": self._on_crash_records,
            "fetch_crashes": self._on_fetch_crashes,
            "take_trial": self._on_take_trial,
        }

    def digest(self) -> int:
        """Return the checksum of this daemon's records, which pings carry."""
        return self.quarantine.digest if self.quarantine is not None else 0

    def compare(self, address: str, digest: int) -> None:
        """Fetch the records of a daemon if its checksum differs; do not wait."""
        if digest and digest != self.digest() and address not in self.fetching_from:
            self.task_group.start_soon(self._fetch_crashes, address)

    def share_crashes(self, records: bytes) -> None:
        """Tell every daemon of crashes; do not wait. Daemons that miss it learn by pings."""
        call = messages.CrashRecords(records=records)
        for member in list(self.members.by_name.values()):
            if member is not self.members.own and not self.members.is_dead(member.name):
                self.task_group.start_soon(self._send_crashes, member.address, call)

    async def _send_crashes(self, address: str, call: messages.CrashRecords) -> None:
        try:
            await self.links.call(address, PING_TIMEOUT_S, crash_records=call)
        except PeerError as error:
            log_message(message_type="crashes:share_failed", peer=address, reason=error.message)

    async def _on_crash_records(self, call: messages.CrashRecords) -> dict[str, messages.Done]:
        if self.quarantine is not None:
            self.quarantine.merge(call.records)
        return {"done": messages.Done()}

    async def _fetch_crashes(self, address: str) -> bool:
        """Merge the crash records of a daemon; return whether it answered."""
        self.fetching_from.add(address)
        try:
            frame = await self.links.call(
                address, PING_TIMEOUT_S, fetch_crashes=messages.FetchCrashes()
            )
        except PeerError as error:
            log_message(message_type="crashes:fetch_failed", peer=address, reason=error.message)
            return False
        finally:
            self.fetching_from.discard(address)
        if self.quarantine is not None:
            self.quarantine.merge(frame.crash_records.records)
        return True

    async def _on_fetch_crashes(
        self, call: messages.FetchCrashes
    ) -> dict[str, messages.CrashRecords]:
        records = self.quarantine.encode() if self.quarantine is not None else b"{}"
        return {"crash_records": messages.CrashRecords(records=records)}

    async def learn_crashes(self) -> None:
        """Merge the crash records of some daemons, until at least one has answered."""
        while True:
            order = self.members.busy_roles_last(self.members.daemons())
            addresses = [
                self.members.by_name[name].address for name in order if name != self.members.name
            ] or [seed for seed in self.seeds() if seed != self.members.own.address]
            answered: list[bool] = []

            async def fetch(address: str, answered: list[bool] = answered) -> None:
                answered.append(await self._fetch_crashes(address))

            async with anyio.create_task_group() as fetches:
                for address in addresses[:MAX_CRASH_SOURCES]:
                    fetches.start_soon(fetch, address)
            if any(answered):
                return
            await anyio.sleep(CRASH_FETCH_RETRY_DELAY_S)

    async def take_trial(
        self, issuer: str, key: str, attempt_id: str, records: bytes
    ) -> TrialGrant:
        """Ask a daemon for a trial of a request; raise PeerError."""
        call = messages.TakeTrial(request_key=key, attempt_id=attempt_id, records=records)
        address = self.address_of(issuer)
        frame = await self.links.call(address, PERMIT_TIMEOUT_S, take_trial=call)
        issued = frame.issued_trial
        return TrialGrant(issued.granted, issued.retry_after_s, bool(issued.is_pending))

    async def _on_take_trial(self, call: messages.TakeTrial) -> dict[str, messages.IssuedTrial]:
        if self.quarantine is None:
            raise PeerError(
                "this daemon issues no trials", step=Step.FORWARD, outcome=Outcome.NOT_RUN
            )
        self.quarantine.merge(call.records)
        grant = self.quarantine.issue_trial(call.request_key, call.attempt_id)
        return {
            "issued_trial": messages.IssuedTrial(
                granted=grant.granted,
                retry_after_s=grant.retry_after_s,
                is_pending=grant.is_pending,
            )
        }
