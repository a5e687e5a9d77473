"""Translate the platform's metadata store into objects, listings and watches."""

from typing import Any
from urllib.parse import quote

import orjson

from ..errors import Outcome, Step, StoreConflictError, StoreError, StoreHistoryGoneError
from ..fleet import StoreChannel
from ..fleet.const import WATCH_TIMEOUT_MARGIN_S
from ..mirrors import Change, Record

MS_PER_S = 1000


class PlatformStore:
    """Read, write, list and watch objects; keys are `kind/name`."""

    def __init__(self, channel: StoreChannel) -> None:
        self.channel = channel

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object's value as JSON and its version, or None; raise StoreError."""
        status, body = await self.channel.call("GET", _path(key))
        if status == 404:
            return None
        record = _record(self._checked(status, body, key))
        return orjson.dumps(record.value), record.version

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object of that version (0: it must not exist); raise StoreError."""
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": name}
        method, path = "POST", f"/objects/{quote(kind, safe='')}"
        if expected_version:
            metadata |= {"rev": expected_version, "finalizers": []}
            method, path = "PUT", _path(key)
        document = orjson.dumps({"metadata": metadata, "spec": orjson.Fragment(value)})
        status, body = await self.channel.call(method, path, document)
        if status in (404, 409):
            raise StoreConflictError("another version is stored", step=Step.STORE, peer=key)
        return _record(self._checked(status, body, key)).version

    async def put_status(self, key: str, version: int, value: Any) -> None:
        """Replace the status of an object; raise StoreError."""
        name = key.partition("/")[2]
        document = orjson.dumps({"metadata": {"name": name, "rev": version}, "status": value})
        status, body = await self.channel.call("PUT", _path(key) + "/status", document)
        if status in (404, 409):
            raise StoreConflictError("another version is stored", step=Step.STORE, peer=key)
        self._checked(status, body, key)

    async def delete(self, key: str) -> None:
        """Delete an object if it is there; raise StoreError."""
        status, body = await self.channel.call("DELETE", _path(key))
        if status != 404:
            self._checked(status, body, key)

    async def list_kind(self, kind: str) -> tuple[int, list[Record]]:
        """Return the store's revision and every object of a kind; raise StoreError."""
        records: list[Record] = []
        position = 0
        after = ""
        while True:
            target = f"/objects/{quote(kind, safe='')}"
            if after:
                target += f"?after={quote(after, safe='')}"
            status, body = await self.channel.call("GET", target)
            page = self._checked(status, body, kind)
            # Changes between two pages are watched again from the first page's revision.
            position = position or int(page["current_rev"])
            records += [record for item in page["items"] if (record := _safe_record(item))]
            if not page.get("has_more") or not page["items"]:
                return position, records
            after = page["items"][-1]["metadata"]["name"]

    async def list_objects_after(self, kind: str, key: str) -> list[tuple[str, bytes]]:
        """Return one page of the objects of a kind after a key, by name; raise StoreError."""
        after = quote(key.partition("/")[2], safe="")
        status, body = await self.channel.call(
            "GET", f"/objects/{quote(kind, safe='')}?after={after}"
        )
        page = self._checked(status, body, kind)
        records = [record for item in page["items"] if (record := _safe_record(item))]
        return [(f"{kind}/{record.name}", orjson.dumps(record.value)) for record in records]

    async def watch_kind(self, kind: str, position: int, wait_s: float) -> tuple[int, list[Change]]:
        """Wait for changes after a revision; raise StoreError, StoreHistoryGoneError."""
        wait_ms = int(wait_s * MS_PER_S)
        target = f"/objects/{quote(kind, safe='')}?watch={position}&wait_ms={wait_ms}"
        status, body = await self.channel.call(
            "GET", target, timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S, retry_via_peer=False
        )
        if status == 410:
            raise StoreHistoryGoneError("the history is gone", step=Step.STORE, peer=kind)
        page = self._checked(status, body, kind)
        changes = []
        for event in page["events"]:
            record = _safe_record(event.get("object"))
            if record is not None:
                changes.append(Change(record, bool(event.get("deleted"))))
        return int(page["current_rev"]), changes

    def _checked(self, status: int, body: bytes, key: str) -> Any:
        if status >= 400:
            raise StoreError(
                f"the store answered {status}",
                step=Step.STORE,
                peer=key,
                outcome=Outcome.NOT_RUN if status < 500 else Outcome.UNKNOWN,
            )
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise StoreError("malformed answer", step=Step.STORE, peer=key) from error


def _path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _record(item: Any) -> Record:
    metadata = item["metadata"]
    return Record(metadata["name"], int(metadata["rev"]), item.get("spec"), item.get("status"))


def _safe_record(item: Any) -> Record | None:
    """Return an object, or None for bytes that are none."""
    try:
        return _record(item)
    except (KeyError, TypeError, ValueError):
        return None
