"""Define the HTTP client of the Object API."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import httpx
import orjson

from ..errors import Outcome, Step, StoreConflictError, StoreError
from ..numerals import parse_natural
from ..untrusted_json import require_integer, require_string
from .const import CALL_TIMEOUT_S, WATCH_TIMEOUT_MARGIN_S, WATCH_TIMEOUT_S

T = TypeVar("T")
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclass(slots=True)
class StoredObject:
    """Hold an object that a list or watch returned; the value is None if it was deleted."""

    key: str
    version: int
    value: bytes | None


@dataclass(slots=True)
class WatchResult:
    """Hold the objects that changed under a prefix and the position for the next watch."""

    position: int
    objects: list[StoredObject]


class ObjectStore:
    """Read, conditionally write, delete, list and watch objects; `call_count` counts all calls."""

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        self.base_url = base_url
        self.client = client
        self.call_count = 0

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object and its version, or None if it does not exist; raise StoreError."""
        response = await self._call("GET", f"/objects/{quote(key)}")
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return response.content, _decode_version(response)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object whose version is `expected_version` (0: it must not exist).

        Return the new version. Raise StoreConflictError if another version is stored, and
        StoreError if the call failed: the write may have happened unless its outcome is NOT_RUN.
        """
        headers = {"if-match": str(expected_version)}
        response = await self._call("PUT", f"/objects/{quote(key)}", headers=headers, content=value)
        return _decode_version(response)

    async def delete(self, key: str) -> None:
        """Delete an object if it exists; raise StoreError."""
        await self._call("DELETE", f"/objects/{quote(key)}")

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects under a prefix; raise StoreError."""
        response = await self._call("GET", "/objects", params={"prefix": prefix})
        return _decode_response(response, lambda body: _decode_objects(body["objects"]))

    async def watch(self, prefix: str, position: int) -> WatchResult:
        """Wait up to WATCH_TIMEOUT_S for changes under a prefix after a position.

        Return what changed, which may be nothing. Raise StoreError.
        """
        response = await self._call(
            "GET",
            "/watch",
            params={"prefix": prefix, "position": position, "timeout_s": WATCH_TIMEOUT_S},
            timeout=WATCH_TIMEOUT_S + WATCH_TIMEOUT_MARGIN_S,
        )
        return _decode_response(
            response,
            lambda body: WatchResult(
                require_integer(body["position"]), _decode_objects(body["objects"])
            ),
        )

    async def _call(
        self, method: str, path: str, timeout: float = CALL_TIMEOUT_S, **options: Any
    ) -> httpx.Response:
        self.call_count += 1
        try:
            response = await self.client.request(
                method, self.base_url + path, timeout=timeout, **options
            )
        except _NOT_SENT_ERRORS as error:
            raise StoreError(
                "cannot connect to the Object API",
                step=Step.STORE,
                peer=self.base_url,
                outcome=Outcome.NOT_RUN,
            ) from error
        except httpx.HTTPError as error:
            raise StoreError(
                "the Object API did not respond", step=Step.STORE, peer=self.base_url
            ) from error
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            raise StoreConflictError(
                "another version of the object is stored", step=Step.STORE, peer=self.base_url
            )
        if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
            raise StoreError(
                "the Object API rejected the call because of its rate limit",
                step=Step.STORE,
                peer=self.base_url,
                outcome=Outcome.NOT_RUN,
            )
        if response.is_error and response.status_code != httpx.codes.NOT_FOUND:
            raise StoreError(
                f"the Object API responded with status {response.status_code}",
                step=Step.STORE,
                peer=self.base_url,
            )
        return response


def _decode_response(response: httpx.Response, decode: Callable[[Any], T]) -> T:
    """Return the decoded body of a response; raise StoreError if it is malformed."""
    try:
        return decode(orjson.loads(response.content))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise StoreError(
            f"the Object API sent a malformed response: {error!r}", step=Step.STORE
        ) from error


def _decode_version(response: httpx.Response) -> int:
    version = parse_natural(response.headers.get("etag", ""))
    if version is None:
        raise StoreError("the Object API sent no version of an object", step=Step.STORE)
    return version


def _decode_objects(items: list[dict[str, Any]]) -> list[StoredObject]:
    return [_decode_object(item) for item in items]


def _decode_object(item: dict[str, Any]) -> StoredObject:
    value = item["value"]
    return StoredObject(
        require_string(item["key"]),
        require_integer(item["version"]),
        None if value is None else require_string(value).encode("utf-8"),
    )
