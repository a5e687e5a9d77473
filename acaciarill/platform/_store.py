"""Read, write, list and watch objects in the platform's metadata store over HTTP."""

from typing import Any
from urllib.parse import quote

import orjson

from ..errors import Outcome, Step, StoreConflictError, StoreError, StoreHistoryGoneError
from ..fleet import StoreChannel
from ..fleet.const import WATCH_TIMEOUT_MARGIN_S
from ..mirrors import Change, Record

MS_PER_S = 1000


class PlatformStore:
    """Read, write, list and watch objects; a key is `kind/name`."""

    def __init__(self, channel: StoreChannel) -> None:
        self.channel = channel

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object's JSON value and version, or None if it is missing; raise StoreError."""
        status, body = await self.channel.call("GET", _object_path(key))
        if status == 404:
            return None
        record = _decode_record(self._decode_body(status, body, key))
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
        return _decode_record(self._decode_body(status, body, key)).version

    async def put_status(self, key: str, version: int, value: Any) -> None:
        """Replace the status of an object whose version is `version`; raise StoreError."""
        name = key.partition("/")[2]
        document = orjson.dumps({"metadata": {"name": name, "rev": version}, "status": value})
        status, body = await self.channel.call("PUT", _object_path(key) + "/status", document)
        if status in (404, 409):
            raise StoreConflictError(
                "object does not have the expected version", step=Step.STORE, peer=key
            )
        self._decode_body(status, body, key)

    async def delete(self, key: str) -> None:
        """Delete an object if it exists; raise StoreError."""
        status, body = await self.channel.call("DELETE", _object_path(key))
        if status != 404:
            self._decode_body(status, body, key)

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
            page = self._decode_body(status, body, kind)
            # A watch starts from the first page's revision, so that it repeats the changes that
            # were made between two pages.
            position = position or int(page["current_rev"])
            records += [record for item in page["items"] if (record := _try_decode_record(item))]
            if not page.get("has_more") or not page["items"]:
                return position, records
            after = page["items"][-1]["metadata"]["name"]

    async def list_objects_after(self, kind: str, key: str) -> list[tuple[str, bytes]]:
        """Return the next page of objects after a key, in the order of names; raise StoreError."""
        after = quote(key.partition("/")[2], safe="")
        status, body = await self.channel.call(
            "GET", f"/objects/{quote(kind, safe='')}?after={after}"
        )
        page = self._decode_body(status, body, kind)
        records = [record for item in page["items"] if (record := _try_decode_record(item))]
        return [(f"{kind}/{record.name}", orjson.dumps(record.value)) for record in records]

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
        page = self._decode_body(status, body, kind)
        changes = []
        for event in page["events"]:
            record = _try_decode_record(event.get("object"))
            if record is not None:
                changes.append(Change(record, bool(event.get("deleted"))))
        return int(page["current_rev"]), changes

    def _decode_body(self, status: int, body: bytes, key: str) -> Any:
        if status >= 400:
            raise StoreError(
                f"store responded with status {status}",
                step=Step.STORE,
                peer=key,
                outcome=Outcome.NOT_RUN if status < 500 else Outcome.UNKNOWN,
            )
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise StoreError(
                "store sent a malformed response", step=Step.STORE, peer=key
            ) from error


def _object_path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode_record(item: Any) -> Record:
    metadata = item["metadata"]
    return Record(metadata["name"], int(metadata["rev"]), item.get("spec"), item.get("status"))


def _try_decode_record(item: Any) -> Record | None:
    """Return a stored object, or None if it is malformed."""
    try:
        return _decode_record(item)
    except (KeyError, TypeError, ValueError):
        return None
