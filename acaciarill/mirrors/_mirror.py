"""Mirror the store's objects of one kind; never replace an object with an older version of it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
import orjson
from eliot import log_message

from ..errors import PeerError, Step, StoreError, StoreHistoryGoneError
from .const import (
    HISTORY_MAX_ENTRIES,
    MAX_CONFIRMATION_GAP_S,
    MIN_OUTAGE_S,
    WATCH_RETRY_DELAY_S,
    WATCH_WAIT_S,
)

Listener = Callable[[], None]
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, IndexError)
"""Errors with which the decoding of a value from outside may fail."""
MAX_FAULT_CHARACTERS = 200
ROW_LENGTHS = (4, 5)
"""Lengths of an encoded object, and of one with whether it was deleted."""


@dataclass(slots=True)
class Record:
    """Hold one stored object; `value` is its specification and `status` its reported status.

    `fault` says why they could not be decoded, if so.
    """

    name: str
    version: int
    value: Any
    status: Any = None
    fault: str = ""


@dataclass(slots=True)
class Change:
    """Hold the new state of a changed object, or its last state if it was deleted."""

    record: Record
    deleted: bool = False


class KindSource(Protocol):
    """List and watch the store's objects of a kind."""

    async def list_kind(self, kind: str) -> tuple[int, list[Record]]:
        """Return the current position in the store's history and every object; raise StoreError."""

    async def watch_kind(self, kind: str, position: int, wait_s: float) -> tuple[int, list[Change]]:
        """Wait for changes after a position; raise StoreError, StoreHistoryGoneError."""


class Mirror:
    """Hold the objects of a kind and the position in the store's history that they reflect.

    `newest` is the version of the latest applied change. Unlike `position`, it is equal at all
    daemons that applied the same changes, so it shows which daemon is behind. `history` holds
    every change after `history_start`, for the daemons that follow this one.

    Objects that are unreadable, or for which `check` raises one of DECODE_ERRORS, count as missing.
    `on_unreadable` is called with the kind for each version of such an object.
    """

    def __init__(
        self,
        kind: str,
        check: Callable[[Record], object] = lambda record: None,
        on_unreadable: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self.kind = kind
        self.check = check
        self.on_unreadable = on_unreadable
        self.unreadable_versions: dict[str, int] = {}
        self.records: dict[str, Record] = {}
        self.position = 0
        self.newest = 0
        self.last_change_position = 0
        self.history: deque[tuple[int, list[Change]]] = deque()
        self.history_start = 0
        self.loaded = False
        self.listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call the listener after each change; return the unsubscribe function."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def replace(self, position: int, records: list[Record], newest: int = 0) -> bool:
        """Apply a complete listing unless it is older than the mirror; return True if applied.

        Objects that were put after the listing was made are retained.
        """
        if self.loaded and position < self.position:
            return False
        previous_records = self.records
        names = {record.name for record in records}
        self.unreadable_versions = {
            name: version for name, version in self.unreadable_versions.items() if name in names
        }
        self.records = {record.name: record for record in records if self._is_readable(record)}
        for name, record in previous_records.items():
            replacement = self.records.get(name)
            if record.version > (position if replacement is None else replacement.version):
                self.records[name] = record
        self.newest = max([self.newest, newest, *(record.version for record in records)])
        changed = not self.loaded or previous_records != self.records
        self.position, self.loaded = position, True
        if changed:
            self.history.clear()
            self.history_start = self.last_change_position = position
            self._notify()
        return True

    def apply(self, position: int, changes: list[Change]) -> None:
        """Apply the changes of a watch in order, except those older than the mirrored object."""
        changes = [self._without_unreadable(change) for change in changes]
        for change in changes:
            self.newest = max(self.newest, change.record.version)
            current = self.records.get(change.record.name)
            if current is not None and current.version > change.record.version:
                continue
            if change.deleted:
                self.records.pop(change.record.name, None)
            else:
                self.records[change.record.name] = change.record
        self.position = max(self.position, position)
        if changes:
            self._append_history(changes)
            self._notify()

    def _without_unreadable(self, change: Change) -> Change:
        """Return the change, as a deletion if the new state of its object is unreadable."""
        if change.deleted:
            self.unreadable_versions.pop(change.record.name, None)
        elif not self._is_readable(change.record):
            return Change(change.record, deleted=True)
        return change

    def _is_readable(self, record: Record) -> bool:
        """Return whether an object can be used; log and count each version that cannot."""
        fault = record.fault or self._find_fault(record)
        if not fault:
            self.unreadable_versions.pop(record.name, None)
            return True
        if self.unreadable_versions.get(record.name) != record.version:
            self.unreadable_versions[record.name] = record.version
            self.on_unreadable(self.kind)
            log_message(
                message_type="mirror:object_unreadable",
                kind=self.kind,
                name=record.name,
                version=record.version,
                reason=fault,
                action="treat it as missing until it changes",
            )
        return False

    def _find_fault(self, record: Record) -> str:
        try:
            self.check(record)
        except DECODE_ERRORS as error:
            return repr(error)[:MAX_FAULT_CHARACTERS]
        return ""

    def _append_history(self, changes: list[Change]) -> None:
        self.last_change_position = self.position
        self.history.append((self.position, changes))
        if len(self.history) > HISTORY_MAX_ENTRIES:
            self.history_start = self.history.popleft()[0]

    def changes_after(self, position: int) -> list[Change] | None:
        """Return all changes after a position, or None if some are no longer in the history.

        The result may include changes that the follower has already applied.
        """
        if position < self.history_start:
            return None
        return [
            change
            for change_position, changes in self.history
            if change_position > position
            for change in changes
        ]

    def put(self, record: Record) -> None:
        """Apply one object that this daemon has written or read, unless it is older."""
        current = self.records.get(record.name)
        self.newest = max(self.newest, record.version)
        if not self._is_readable(record):
            return
        if current is None or current.version < record.version:
            self.records[record.name] = record
            self._notify()

    def encode(self) -> bytes:
        """Encode all objects for a peer."""
        return orjson.dumps([_to_row(record) for record in self.records.values()])

    @staticmethod
    def decode(data: bytes) -> list[Record]:
        """Decode the result of `encode`; raise PeerError if it is malformed."""
        return [Record(*row) for row in _decode_rows(data)]

    @staticmethod
    def encode_changes(changes: list[Change]) -> bytes:
        """Encode changes for a peer."""
        return orjson.dumps([(*_to_row(change.record), change.deleted) for change in changes])

    @staticmethod
    def decode_changes(data: bytes) -> list[Change]:
        """Decode the result of `encode_changes`; raise PeerError if it is malformed."""
        return [Change(Record(*row[:4]), row[4]) for row in _decode_rows(data)]

    def _notify(self) -> None:
        for listener in list(self.listeners):
            listener()


def _decode_rows(data: bytes) -> list[list[Any]]:
    try:
        rows = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise PeerError(f"mirror is malformed: {error}", step=Step.PARSE) from error
    if not isinstance(rows, list) or not all(
        isinstance(row, list) and len(row) in ROW_LENGTHS for row in rows
    ):
        raise PeerError("mirror has rows of another form", step=Step.PARSE)
    return rows


def _to_row(record: Record) -> tuple[str, int, Any, Any]:
    return record.name, record.version, record.value, record.status


class MirrorFollower:
    """Keep a mirror up to date by listing and watching, and list again after a watch fails.

    While it is paused it makes no calls to the store: the mirror then receives changes from a peer.
    `watch_delay_s` is the delay before the next watch, so that one call returns several changes;
    `listing_retry_delay_s` is the delay after a failed listing. `confirmed_at` is when the mirror
    was last known to be up to date, before the change that its listeners are being told of.
    `watch_due_at` is when the store will have answered the open watch, changes or not. Since
    `followed_since` the mirror has been confirmed without a gap in which an object may have come
    and gone unseen.
    """

    def __init__(
        self,
        mirror: Mirror,
        source: KindSource,
        clock: Callable[[], float],
        wait_s: float = WATCH_WAIT_S,
        watch_delay_s: float = 0.0,
        listing_retry_delay_s: float = WATCH_RETRY_DELAY_S,
    ) -> None:
        self.watch_delay_s = watch_delay_s
        self.listing_retry_delay_s = listing_retry_delay_s
        self.wait_s = wait_s
        self.mirror = mirror
        self.source = source
        self.clock = clock
        self.is_following = False
        self.outage_ended_at: float | None = None
        self.failing_since: float | None = None
        self.confirmed_at: float | None = None
        self.followed_since: float | None = None
        self.watch_due_at: float | None = None
        self.needs_listing = True
        self.paused = False
        self._resumed = anyio.Event()
        self._cancel_scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            while self.paused:
                await self._resumed.wait()
            with anyio.CancelScope() as self._cancel_scope:
                try:
                    await self._list_or_watch()
                    self.set_following(True)
                    await anyio.sleep(self.watch_delay_s)  # one call then returns several changes
                except StoreHistoryGoneError:
                    log_message(
                        message_type="mirror:history_gone",
                        kind=self.mirror.kind,
                        position=self.mirror.position,
                    )
                    self.needs_listing = True
                except StoreError as error:
                    # A watch reopened at once may wait on history that is being compacted.
                    delay_s = (
                        self.listing_retry_delay_s if self.needs_listing else WATCH_RETRY_DELAY_S
                    )
                    self.needs_listing = True
                    self.set_following(False, str(error))
                    await anyio.sleep(delay_s)

    async def _list_or_watch(self) -> None:
        mirror = self.mirror
        if self.needs_listing:
            await self.list_now()
            self.needs_listing = False
            return
        self.watch_due_at = self.clock() + self.wait_s
        try:
            position, changes = await self.source.watch_kind(
                mirror.kind, mirror.position, self.wait_s
            )
        finally:
            self.watch_due_at = None
        self.confirm(self.clock())  # an open watch returns changes as they happen
        mirror.apply(position, changes)

    async def list_now(self) -> None:
        """List the objects and apply them; raise StoreError."""
        started_at = self.clock()
        position, records = await self.source.list_kind(self.mirror.kind)
        self.mirror.replace(position, records)
        self.confirm(started_at)

    def confirm(self, at: float) -> None:
        """Record that the mirror was up to date at a time."""
        if self.confirmed_at is None or at - self.confirmed_at > MAX_CONFIRMATION_GAP_S:
            self.followed_since = at
        self.confirmed_at = max(at, self.confirmed_at or at)

    def pause(self) -> None:
        """Stop all calls to the store until `resume`."""
        if self.paused:
            return
        self.paused, self._resumed = True, anyio.Event()
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()

    def resume(self) -> None:
        """Follow the store again, starting with a listing."""
        if self.paused:
            self.paused, self.needs_listing = False, True
            self._resumed.set()

    def failing_for_s(self) -> float:
        """Return the time since listing or watching began to fail, in seconds."""
        return 0.0 if self.failing_since is None else self.clock() - self.failing_since

    def unconfirmed_for_s(self) -> float:
        """Return how long ago the mirror was last known to be up to date, in seconds."""
        return 0.0 if self.confirmed_at is None else self.clock() - self.confirmed_at

    def last_outage_at(self) -> float | None:
        """Return the time of the end of the last outage, which is now during one, or None.

        A watch that is cut and reopened at once is not an outage.
        """
        if self.failing_for_s() >= MIN_OUTAGE_S:
            return self.clock()
        return self.outage_ended_at

    def replace_from_peer(self, position: int, records: list[Record], newest: int) -> bool:
        """Apply a peer's mirror unless it is older; restart the watch, which may have stalled."""
        if not self.mirror.replace(position, records, newest):
            return False
        self.needs_listing = False
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()
        return True

    def set_following(self, following: bool, reason: str = "") -> None:
        """Record whether the mirror is kept up to date, and log when this changes."""
        if following != self.is_following:
            log_message(
                message_type="mirror:followed" if following else "mirror:lost",
                kind=self.mirror.kind,
                position=self.mirror.position,
                reason=reason,
                unconfirmed_s=round(self.unconfirmed_for_s(), 2),
            )
        if following:
            self.outage_ended_at = self.last_outage_at()
            self.failing_since = None
        elif self.failing_since is None:
            self.failing_since = self.clock()
        self.is_following = following
