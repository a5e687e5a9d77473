"""Read, write, list and watch objects in the platform's metadata store over HTTP."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

import orjson

from ..errors import Outcome, Step, StoreConflictError, StoreError, StoreHistoryGoneError
from ..fleet import StoreChannel
from ..fleet.const import WATCH_TIMEOUT_MARGIN_S
from ..mirrors import DECODE_ERRORS, Change, Record
from ._objects import decode_changes, decode_listing, decode_object

MS_PER_S = 1000
MAX_REASON_CHARACTERS = 200
T = TypeVar("T")


class PlatformStore:
    """Read, write, list and watch objects; a key is `kind/name`."""

    def __init__(self, channel: StoreChannel) -> None:
        self.channel = channel

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object's JSON value and version, or None if it is missing; raise StoreError."""
        status, body = await self.channel.call("GET", _object_path(key))
        if status == 404:
            return None
        record = _decode_response(status, body, key, decode_object)
        if record.fault:
            raise StoreError(f"object is unreadable: {record.fault}", step=Step.STORE, peer=key)
        return orjson.dumps(record.value), record.version

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object whose version is `expected_version` (0: it must not exist).

        Return the new version. Raise StoreConflictError if another version is stored, and
        StoreError if the call failed.
        """
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": name}
        method, path = "POST", f"/objects/{quote(kind, safe='')}"
        if expected_version:
            metadata |= {"rev": expected_version, "finalizers": []}
            method, path = "PUT", _object_path(key)
        document = orjson.dumps({"metadata": metadata, "spec": orjson.Fragment(value)})
        status, body = await self.channel.call(method, path, document)
        if status in (404, 409):
            raise StoreConflictError(
                "object does not have the expected version", step=Step.STORE, peer=key
            )
        return _decode_response(status, body, key, decode_object).version

    async def put_status(self, key: str, version: int, value: Any) -> None:
        """Replace the status of an object whose version is `version`; raise StoreError."""
        name = key.partition("/")[2]
        document = orjson.dumps({"metadata": {"name": name, "rev": version}, "status": value})
        status, body = await self.channel.call("PUT", _object_path(key) + "/status", document)
        if status in (404, 409):
            raise StoreConflictError(
                "object does not have the expected version", step=Step.STORE, peer=key
            )
        _check_status(status, key)

    async def delete(self, key: str) -> None:
        """Delete an object if it exists; raise StoreError."""
        status, body = await self.channel.call("DELETE", _object_path(key))
        if status != 404:
            _check_status(status, key)

    async def list_kind(self, kind: str) -> tuple[int, list[Record]]:
        """Return all objects of a kind and the revision to watch from; raise StoreError."""
        records: list[Record] = []
        position = 0
        after = ""
        while True:
            target = f"/objects/{quote(kind, safe='')}"
            if after:
                target += f"?after={quote(after, safe='')}"
            status, body = await self.channel.call("GET", target)
            page = _decode_response(status, body, kind, decode_listing)
            # A watch starts from the first page's revision, so that it repeats the changes that
            # were made between two pages.
            position = position or page.position
            records += page.records
            if not page.has_more:
                return position, records
            after = page.records[-1].name

    async def list_objects_after(self, kind: str, key: str) -> list[tuple[str, bytes]]:
        """Return the next page of objects after a key, in the order of names; raise StoreError."""
        after = quote(key.partition("/")[2], safe="")
        status, body = await self.channel.call(
            "GET", f"/objects/{quote(kind, safe='')}?after={after}"
        )
        page = _decode_response(status, body, kind, decode_listing)
        return [
            (f"{kind}/{record.name}", orjson.dumps(record.value))
            for record in page.records
            if not record.fault
        ]

    async def watch_kind(self, kind: str, position: int, wait_s: float) -> tuple[int, list[Change]]:
        """Wait up to `wait_s` for changes after a revision; raise StoreError.

        StoreHistoryGoneError means that the store no longer has all changes since the revision.
        """
        wait_ms = int(wait_s * MS_PER_S)
        target = f"/objects/{quote(kind, safe='')}?watch={position}&wait_ms={wait_ms}"
        status, body = await self.channel.call(
            "GET", target, timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S, retry_via_peer=False
        )
        if status == 410:
            raise StoreHistoryGoneError(
                "store no longer has all changes since the revision", step=Step.STORE, peer=kind
            )
        return _decode_response(status, body, kind, decode_changes)


def _check_status(status: int, key: str) -> None:
    """Raise StoreError if the store responded with an error."""
    if status >= 400:
        raise StoreError(
            f"store responded with status {status}",
            step=Step.STORE,
            peer=key,
            outcome=Outcome.NOT_RUN if status < 500 else Outcome.UNKNOWN,
        )


def _decode_response(status: int, body: bytes, key: str, decode: Callable[[bytes], T]) -> T:
    """Return the decoded body of a response; raise StoreError."""
    _check_status(status, key)
    try:
        return decode(body)
    except DECODE_ERRORS as error:
        raise StoreError(
            f"store sent a malformed response: {error!r}"[:MAX_REASON_CHARACTERS],
            step=Step.STORE,
            peer=key,
        ) from error


def _object_path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"
