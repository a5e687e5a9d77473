"""Store accepted configuration changes by a conditional update of one head object."""

import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Protocol
from uuid import uuid4

import orjson
from returns.result import Failure

from ..errors import AcaciarillError, ConfigError, Outcome, Step, StoreConflictError, StoreError
from ..stored_forms import build_record
from ._document import check_sections, section_bytes, section_digest
from ._model import Document
from .const import (
    HEAD_KEY,
    MAX_APPLY_ATTEMPTS,
    MAX_RECENT_CHANGES,
    SECTION_PREFIX,
    WITHDRAWN_KEYS_OBJECT_KEY,
)


class ObjectClient(Protocol):
    """Declare the methods of the Object API client that `ConfigStore` uses."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object and its version, or None if there is none."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object if it has the expected version, 0 if it must not exist yet.

        Return the new version; raise StoreConflictError if the object has another version.
        """


@dataclass(slots=True)
class ConfigChange:
    """Describe one accepted change.

    `by` is the owner whose operator made the change, and `at` its Unix time in seconds; both are
    only shown to operators. `digests` holds the digest of every owner's section after the change.
    """

    id: str
    revision: int
    owners: list[str]
    by: str
    at: float
    digests: dict[str, str]


@dataclass(slots=True)
class ConfigHead:
    """Hold the digest of each owner's accepted section, and the latest changes."""

    revision: int = 0
    digests: dict[str, str] = field(default_factory=dict)
    changes: list[ConfigChange] = field(default_factory=list)

    def encode(self) -> bytes:
        """Return the head as JSON."""
        return orjson.dumps(self)

    @classmethod
    def decode(cls, data: bytes) -> "ConfigHead":
        """Return the head that is encoded as JSON in `data`."""
        raw = orjson.loads(data)
        changes = [build_record(ConfigChange, change) for change in raw["changes"]]
        return cls(raw["revision"], raw["digests"], changes)

    def find_change(self, change_id: str) -> ConfigChange | None:
        """Return a recent change by its id, or None."""
        return next((change for change in self.changes if change.id == change_id), None)

    def with_change(self, change_id: str, by: str, digests: dict[str, str]) -> "ConfigHead":
        """Return the head of the next revision, with the digests of the changed sections."""
        merged = self.digests | digests
        revision = self.revision + 1
        change = ConfigChange(change_id, revision, sorted(digests), by, time.time(), merged)
        return ConfigHead(revision, merged, [*self.changes, change][-MAX_RECENT_CHANGES:])


@dataclass(slots=True)
class ApplyResult:
    """Hold the id of an accepted change and the revision that it created."""

    revision: int
    change_id: str


class ConfigStore:
    """Read and change the accepted configuration in the Object API."""

    def __init__(self, store: ObjectClient) -> None:
        self.store = store
        self._sections: dict[str, dict[str, Any]] = {}

    async def read_head(self) -> tuple[ConfigHead, int]:
        """Return the head and its object version; an empty head has version 0."""
        head_object = await self.store.get(HEAD_KEY)
        if head_object is None:
            return ConfigHead(), 0
        return ConfigHead.decode(head_object[0]), head_object[1]

    async def read_sections(self, head: ConfigHead) -> dict[str, dict[str, Any]]:
        """Return the unchecked sections of a head by owner.

        Sections are immutable, so those of the head last read are cached by their digests.
        """
        digests = set(head.digests.values())
        for digest in digests - self._sections.keys():
            section_object = await self.store.get(SECTION_PREFIX + digest)
            if section_object is None:
                raise StoreError(f"section {digest} is missing from the store", step=Step.STORE)
            self._sections[digest] = orjson.loads(section_object[0])
        self._sections = {digest: self._sections[digest] for digest in digests}
        return {owner: self._sections[digest] for owner, digest in head.digests.items()}

    async def read_document(self) -> Document:
        """Return the accepted document; raise ConfigError if it is invalid."""
        head, _ = await self.read_head()
        return build_document(head.revision, await self.read_sections(head))

    async def apply(
        self,
        changes: dict[str, dict[str, Any]],
        based_on: dict[str, str] | None = None,
        change_id: str | None = None,
        by: str = "",
    ) -> ApplyResult:
        """Replace whole sections by owner and return the accepted change.

        `based_on` holds the digests of the sections that the caller edited, by owner. Raise
        ConfigError if the merged document is invalid, StoreConflictError if a section has changed
        since `based_on`, and StoreError if the store failed. After a StoreError with an unknown
        outcome the call can be repeated with the same `change_id`: a change that the head still
        lists is not applied again.
        """
        change_id = change_id or uuid4().hex
        for _ in range(MAX_APPLY_ATTEMPTS):
            head, version = await self.read_head()
            accepted_change = head.find_change(change_id)
            if accepted_change is not None:
                return ApplyResult(accepted_change.revision, change_id)
            _check_base_digests(head, changes, based_on)
            build_document(head.revision + 1, await self.read_sections(head) | changes)
            digests = {owner: section_digest(raw) for owner, raw in changes.items()}
            next_head = head.with_change(change_id, by, digests)
            try:
                await self._write_sections(changes)
                await self.store.put(HEAD_KEY, next_head.encode(), version)
            except StoreConflictError:
                continue
            except StoreError as error:
                if error.outcome is Outcome.NOT_RUN:
                    raise
                return await self._resolve_unknown_outcome(change_id, error)
            return ApplyResult(next_head.revision, change_id)
        raise StoreConflictError(
            "the configuration changed during every attempt; apply the change again",
            step=Step.CONFIGURE,
        )

    async def _write_sections(self, changes: dict[str, dict[str, Any]]) -> None:
        for raw in changes.values():
            with suppress(StoreConflictError):  # same digest, so the stored bytes are the same
                await self.store.put(SECTION_PREFIX + section_digest(raw), section_bytes(raw), 0)

    async def _resolve_unknown_outcome(self, change_id: str, error: AcaciarillError) -> ApplyResult:
        """Return the change if the head lists its id; otherwise raise the error of the write."""
        head, _ = await self.read_head()
        accepted_change = head.find_change(change_id)
        if accepted_change is None:
            raise error
        return ApplyResult(accepted_change.revision, change_id)

    async def read_withdrawn_keys(self) -> tuple[set[str], int]:
        """Return the ids of the withdrawn keys and the version of the object that lists them."""
        item = await self.store.get(WITHDRAWN_KEYS_OBJECT_KEY)
        return (set(orjson.loads(item[0])), item[1]) if item else (set(), 0)

    async def add_withdrawn_keys(self, key_ids: set[str]) -> set[str]:
        """Add key ids to the stored set of withdrawn keys, which only grows; return the set."""
        for _ in range(MAX_APPLY_ATTEMPTS):
            stored_key_ids, version = await self.read_withdrawn_keys()
            merged = stored_key_ids | key_ids
            if merged == stored_key_ids:
                return stored_key_ids
            try:
                await self.store.put(
                    WITHDRAWN_KEYS_OBJECT_KEY, orjson.dumps(sorted(merged)), version
                )
            except StoreConflictError:
                continue
            return merged
        raise StoreConflictError(
            "the stored set of withdrawn keys changed during every attempt", step=Step.CONFIGURE
        )


def build_document(revision: int, sections: dict[str, dict[str, Any]]) -> Document:
    """Return the document of these sections; raise ConfigError with all faults if invalid."""
    result = check_sections(sections, revision, f"revision {revision}")
    if isinstance(result, Failure):
        raise ConfigError(result.failure())
    return result.unwrap()


def _check_base_digests(
    head: ConfigHead, changes: dict[str, dict[str, Any]], based_on: dict[str, str] | None
) -> None:
    if based_on is None:
        return
    for owner in changes:
        if head.digests.get(owner, "") != based_on.get(owner, ""):
            raise StoreConflictError(
                f"the section of {owner} has changed since it was read; read it and edit it again",
                step=Step.CONFIGURE,
            )
