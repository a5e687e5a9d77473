"""Accept changes by a conditional update of one head object."""

import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Protocol
from uuid import uuid4

import orjson
from returns.result import Failure

from ..errors import AcaciarillError, ConfigError, Outcome, Step, StoreConflictError, StoreError
from ._document import check_sections, section_bytes, section_digest
from ._model import Document
from .const import HEAD_KEY, MAX_APPLY_ATTEMPTS, MAX_RECENT_CHANGES, SECTION_PREFIX, WITHDRAWN_KEY


class ObjectClient(Protocol):
    """State what acceptance needs of the Object API client."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object and its version, or None."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Update an object whose version is as expected; 0 creates it."""


@dataclass(slots=True)
class ConfigChange:
    """Record one accepted change; `at` is in seconds since the epoch, for people only."""

    id: str
    revision: int
    owners: list[str]
    by: str
    at: float
    digests: dict[str, str]


@dataclass(slots=True)
class ConfigHead:
    """Name the accepted section of every owner, and the latest changes."""

    revision: int = 0
    digests: dict[str, str] = field(default_factory=dict)
    changes: list[ConfigChange] = field(default_factory=list)

    def encode(self) -> bytes:
        """Return the head as JSON."""
        return orjson.dumps(self)

    @classmethod
    def decode(cls, data: bytes) -> "ConfigHead":
        """Read a head from JSON."""
        raw = orjson.loads(data)
        changes = [ConfigChange(**change) for change in raw["changes"]]
        return cls(raw["revision"], raw["digests"], changes)

    def find(self, change_id: str) -> ConfigChange | None:
        """Return a recent change by its id."""
        return next((change for change in self.changes if change.id == change_id), None)

    def with_change(self, change_id: str, by: str, digests: dict[str, str]) -> "ConfigHead":
        """Return the head that follows when these sections are accepted."""
        merged = self.digests | digests
        revision = self.revision + 1
        change = ConfigChange(change_id, revision, sorted(digests), by, time.time(), merged)
        return ConfigHead(revision, merged, [*self.changes, change][-MAX_RECENT_CHANGES:])


@dataclass(slots=True)
class AppliedChange:
    """Tell which revision holds a change."""

    revision: int
    change_id: str


class ConfigStore:
    """Read and change the accepted configuration in the Object API."""

    def __init__(self, store: ObjectClient) -> None:
        self.store = store
        self._sections: dict[str, dict[str, Any]] = {}

    async def read_head(self) -> tuple[ConfigHead, int]:
        """Return the head and its object version; an empty head has version 0."""
        found = await self.store.get(HEAD_KEY)
        if found is None:
            return ConfigHead(), 0
        return ConfigHead.decode(found[0]), found[1]

    async def read_sections(self, head: ConfigHead) -> dict[str, dict[str, Any]]:
        """Return the raw sections that a head names; sections are immutable and cached."""
        wanted = set(head.digests.values())
        for digest in wanted - self._sections.keys():
            found = await self.store.get(SECTION_PREFIX + digest)
            if found is None:
                raise StoreError(f"section {digest} is missing", step=Step.STORE)
            self._sections[digest] = orjson.loads(found[0])
        self._sections = {digest: self._sections[digest] for digest in wanted}
        return {owner: self._sections[digest] for owner, digest in head.digests.items()}

    async def read_document(self) -> Document:
        """Return the accepted document; raise ConfigError if it does not pass its checks."""
        head, _ = await self.read_head()
        return build_document(head.revision, await self.read_sections(head))

    async def apply(
        self,
        changes: dict[str, dict[str, Any]],
        based_on: dict[str, str] | None = None,
        change_id: str | None = None,
        by: str = "",
    ) -> AppliedChange:
        """Replace whole sections; a section changed since `based_on` is a conflict.

        Raise ConfigError, StoreConflictError or StoreError; the last leaves the outcome unknown
        and the same `change_id` may be sent again.
        """
        change_id = change_id or uuid4().hex
        for _ in range(MAX_APPLY_ATTEMPTS):
            head, version = await self.read_head()
            settled = head.find(change_id)
            if settled is not None:
                return AppliedChange(settled.revision, change_id)
            _check_base(head, changes, based_on)
            build_document(head.revision + 1, await self.read_sections(head) | changes)
            digests = {owner: section_digest(raw) for owner, raw in changes.items()}
            following = head.with_change(change_id, by, digests)
            try:
                await self._write_sections(changes)
                await self.store.put(HEAD_KEY, following.encode(), version)
            except StoreConflictError:
                continue
            except StoreError as error:
                if error.outcome is Outcome.NOT_RUN:
                    raise
                return await self._settle(change_id, error)
            return AppliedChange(following.revision, change_id)
        raise StoreConflictError("the head kept changing", step=Step.CONFIGURE)

    async def _write_sections(self, changes: dict[str, dict[str, Any]]) -> None:
        for raw in changes.values():
            with suppress(StoreConflictError):  # the same bytes are there: named by digest
                await self.store.put(SECTION_PREFIX + section_digest(raw), section_bytes(raw), 0)

    async def _settle(self, change_id: str, error: AcaciarillError) -> AppliedChange:
        """Decide a lost answer by looking for the change id in the head."""
        head, _ = await self.read_head()
        settled = head.find(change_id)
        if settled is None:
            raise error
        return AppliedChange(settled.revision, change_id)

    async def read_withdrawn_keys(self) -> tuple[set[str], int]:
        """Return the withdrawn key ids and the version of their object."""
        found = await self.store.get(WITHDRAWN_KEY)
        return (set(orjson.loads(found[0])), found[1]) if found else (set(), 0)

    async def add_withdrawn_keys(self, key_ids: set[str]) -> set[str]:
        """Add key ids to the grow-only set and return the whole set."""
        for _ in range(MAX_APPLY_ATTEMPTS):
            known, version = await self.read_withdrawn_keys()
            merged = known | key_ids
            if merged == known:
                return known
            try:
                await self.store.put(WITHDRAWN_KEY, orjson.dumps(sorted(merged)), version)
            except StoreConflictError:
                continue
            return merged
        raise StoreConflictError("the withdrawn set kept changing", step=Step.CONFIGURE)


def build_document(revision: int, sections: dict[str, dict[str, Any]]) -> Document:
    """Return a checked document; raise ConfigError naming every fault."""
    result = check_sections(sections, revision, f"revision {revision}")
    if isinstance(result, Failure):
        raise ConfigError(result.failure())
    return result.unwrap()


def _check_base(
    head: ConfigHead, changes: dict[str, dict[str, Any]], based_on: dict[str, str] | None
) -> None:
    if based_on is None:
        return
    for owner in changes:
        if head.digests.get(owner, "") != based_on.get(owner, ""):
            raise StoreConflictError(
                f"the section of {owner} was changed by someone else; read it again",
                step=Step.CONFIGURE,
            )
