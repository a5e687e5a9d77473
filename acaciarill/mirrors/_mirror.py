"""Follow the objects of one kind and never go back to an older state of one."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
import orjson
from eliot import log_message

from ..errors import StoreError, StoreHistoryGoneError
from .const import HISTORY_ENTRIES, WATCH_RETRY_DELAY_S, WATCH_WAIT_S

Listener = Callable[[], None]


@dataclass(slots=True)
class Record:
    """Hold one object as stored: its version, what its writer put there, and its status."""

    name: str
    version: int
    value: Any
    status: Any = None


@dataclass(slots=True)
class Change:
    """Hold the new state of an object, or that it is gone."""

    record: Record
    deleted: bool = False


class KindSource(Protocol):
    """List and watch the objects of a kind."""

    async def list_kind(self, kind: str) -> tuple[int, list[Record]]:
        """Return the store's revision and every object; raise StoreError."""

    async def watch_kind(self, kind: str, position: int, wait_s: float) -> tuple[int, list[Change]]:
        """Wait for changes after a revision; raise StoreError, StoreHistoryGoneError."""


class Mirror:
    """Hold the newest known objects of a kind, and how far in the store's history they reach.

    `newest` is the version of the latest change that was taken. Unlike the position, it is the same
    at all daemons that have seen the same changes. `history` holds the last changes, all of them
    after `history_from`, for daemons that follow this one.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.records: dict[str, Record] = {}
        self.position = 0
        self.newest = 0
        self.last_change_position = 0
        self.history: deque[tuple[int, list[Change]]] = deque()
        self.history_from = 0
        self.loaded = False
        self.listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call the listener after each change; return the unsubscribe function."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def replace(self, position: int, records: list[Record], newest: int = 0) -> bool:
        """Take a whole listing unless it is older than what is known; tell whether it was taken.

        Objects that were put here after the listing was made are kept.
        """
        if self.loaded and position < self.position:
            return False
        before = self.records
        self.records = {record.name: record for record in records}
        for name, record in before.items():
            listed = self.records.get(name)
            if record.version > (position if listed is None else listed.version):
                self.records[name] = record
        self.newest = max([self.newest, newest, *(record.version for record in records)])
        changed = not self.loaded or before != self.records
        self.position, self.loaded = position, True
        if changed:
            self.history.clear()
            self.history_from = self.last_change_position = position
            self._notify()
        return True

    def apply(self, position: int, changes: list[Change]) -> None:
        """Take the changes of a watch, in their order."""
        for change in changes:
            self.newest = max(self.newest, change.record.version)
            known = self.records.get(change.record.name)
            if known is not None and known.version > change.record.version:
                continue
            if change.deleted:
                self.records.pop(change.record.name, None)
            else:
                self.records[change.record.name] = change.record
        self.position = max(self.position, position)
        if changes:
            self._keep_history(changes)
            self._notify()

    def _keep_history(self, changes: list[Change]) -> None:
        self.last_change_position = self.position
        self.history.append((self.position, changes))
        if len(self.history) > HISTORY_ENTRIES:
            self.history_from = self.history.popleft()[0]

    def changes_after(self, position: int) -> list[Change] | None:
        """Return the changes after a position, some perhaps again; None if not all are kept."""
        if position < self.history_from:
            return None
        return [
            change for reached, changes in self.history if reached > position for change in changes
        ]

    def put(self, record: Record) -> None:
        """Take one object that this daemon has just written or read."""
        known = self.records.get(record.name)
        self.newest = max(self.newest, record.version)
        if known is None or known.version < record.version:
            self.records[record.name] = record
            self._notify()

    def encode(self) -> bytes:
        """Return every object as bytes for a peer."""
        return orjson.dumps([_row(record) for record in self.records.values()])

    @staticmethod
    def decode(data: bytes) -> list[Record]:
        """Read what `encode` returned."""
        return [Record(*row) for row in orjson.loads(data)]

    @staticmethod
    def encode_changes(changes: list[Change]) -> bytes:
        """Return changes as bytes for a peer."""
        return orjson.dumps([(*_row(change.record), change.deleted) for change in changes])

    @staticmethod
    def decode_changes(data: bytes) -> list[Change]:
        """Read what `encode_changes` returned."""
        return [Change(Record(*row[:4]), row[4]) for row in orjson.loads(data)]

    def _notify(self) -> None:
        for listener in list(self.listeners):
            listener()


def _row(record: Record) -> tuple[str, int, Any, Any]:
    return record.name, record.version, record.value, record.status


class MirrorFollower:
    """Keep a mirror up to date by listing and watching; a lost watch is opened again.

    It rests while it is paused: then another daemon's view is followed.
    """

    def __init__(
        self,
        mirror: Mirror,
        source: KindSource,
        clock: Callable[[], float],
        wait_s: float = WATCH_WAIT_S,
        pause_s: float = 0.0,
        retry_s: float = WATCH_RETRY_DELAY_S,
    ) -> None:
        self.pause_s = pause_s
        self.retry_s = retry_s
        self.wait_s = wait_s
        self.mirror = mirror
        self.source = source
        self.clock = clock
        self.is_following = False
        self.last_failure_at: float | None = None
        self.failing_since: float | None = None
        self.must_list = True
        self.paused = False
        self._resumed = anyio.Event()
        self._scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            while self.paused:
                await self._resumed.wait()
            with anyio.CancelScope() as self._scope:
                try:
                    await self._step()
                    self.set_following(True)
                    await anyio.sleep(self.pause_s)  # changes that come together cost one call
                except StoreHistoryGoneError:
                    log_message(
                        message_type="mirror:history_gone",
                        kind=self.mirror.kind,
                        position=self.mirror.position,
                    )
                    self.must_list = True
                except StoreError as error:
                    # A watch opened right after a cut may wait on history that is being dropped.
                    self.must_list = True
                    self.set_following(False, str(error))
                    await anyio.sleep(self.retry_s)

    async def _step(self) -> None:
        mirror = self.mirror
        if self.must_list:
            position, records = await self.source.list_kind(mirror.kind)
            mirror.replace(position, records)
            self.must_list = False
            return
        position, changes = await self.source.watch_kind(mirror.kind, mirror.position, self.wait_s)
        mirror.apply(position, changes)

    def pause(self) -> None:
        """Leave the store alone until `resume`."""
        if self.paused:
            return
        self.paused, self._resumed = True, anyio.Event()
        if self._scope is not None:
            self._scope.cancel()

    def resume(self) -> None:
        """Follow the store again, from a listing."""
        if self.paused:
            self.paused, self.must_list = False, True
            self._resumed.set()

    def failing_for_s(self) -> float:
        """Return for how long the view has not been followed."""
        return 0.0 if self.failing_since is None else self.clock() - self.failing_since

    def replace_from_peer(self, position: int, records: list[Record], newest: int) -> bool:
        """Take what a peer knows, and watch on from there; the old watch may have gone silent."""
        if not self.mirror.replace(position, records, newest):
            return False
        self.must_list = False
        if self._scope is not None:
            self._scope.cancel()
        return True

    def set_following(self, reached: bool, reason: str = "") -> None:
        """Note whether the view is followed now."""
        if reached != self.is_following:
            log_message(
                message_type="mirror:followed" if reached else "mirror:lost",
                kind=self.mirror.kind,
                position=self.mirror.position,
                reason=reason,
            )
        if reached:
            self.failing_since = None
        else:
            self.last_failure_at = self.clock()
            self.failing_since = (
                self.last_failure_at if self.failing_since is None else self.failing_since
            )
        self.is_following = reached
