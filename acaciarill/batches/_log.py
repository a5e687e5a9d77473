"""Keep the results of a batch as a write-once log in the object store.

Each segment is an object that is only ever created, never changed, so a position keeps its result
whoever appends: a second owner that creates the same segment finds the first one's and goes on
after it. A late or repeated create can therefore only add what nobody else has added there.
"""

from dataclasses import dataclass, field
from typing import Protocol

import anyio
import orjson
from eliot import log_message

from ..errors import StoreConflictError, StoreError
from ._model import Result, ResultPage
from .const import APPEND_RETRY_S, KIND_RESULTS, PAGE_BYTES, SEGMENT_BYTES


class ObjectAccess(Protocol):
    """Read, create and delete single objects."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object and its version, or None; raise StoreError."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object of that version (0: it must not exist); raise StoreError."""

    async def delete(self, key: str) -> None:
        """Delete an object if it is there; raise StoreError."""

    async def list_objects_after(self, kind: str, key: str) -> list[tuple[str, bytes]]:
        """Return one page of the objects of a kind after a key, by name; raise StoreError."""


@dataclass(slots=True)
class ResultLog:
    """Hold the results that the store has acknowledged, in their positions.

    It is `complete` once all that was listed before this owner has been read.
    """

    batch: str
    store: ObjectAccess
    results: list[Result] = field(default_factory=list)
    listed: set[str] = field(default_factory=set)
    segments: int = 0
    complete: bool = False
    grown: anyio.Event = field(default_factory=anyio.Event)
    lock: anyio.Lock = field(default_factory=anyio.Lock)

    def _key(self, segment: int) -> str:
        return f"{KIND_RESULTS}/{self.batch}.{segment:06d}"

    async def load(self) -> None:
        """Read the segments that are not known yet; raise StoreError."""
        async with self.lock:  # two readers must not take the same segment twice
            found = await self.store.get(self._key(self.segments))
            if found is not None:
                self._take([Result.from_row(row) for row in orjson.loads(found[0])])
                await self._load_rest()
            self.complete = True

    async def _load_rest(self) -> None:
        """Read what follows a known segment by pages; one call each would cost as many calls."""
        while True:
            page = await self.store.list_objects_after(KIND_RESULTS, self._key(self.segments - 1))
            found = 0
            for key, value in page:
                if key != self._key(self.segments):
                    return
                self._take([Result.from_row(row) for row in orjson.loads(value)])
                found += 1
            if not found:
                return

    async def append(self, results: list[Result]) -> None:
        """Add results that are not listed yet; tries until the store has them."""
        waiting = list({result.id: result for result in results}.values())
        while waiting := [result for result in waiting if result.id not in self.listed]:
            taken = _segment(waiting)
            rows = orjson.dumps([result.row() for result in taken])
            try:
                await self.store.put(self._key(self.segments), rows, 0)
            except StoreConflictError:
                await self._load_patiently()  # an earlier try or another owner was first
                continue
            except StoreError as error:
                log_message(
                    message_type="batch:append_failed",
                    batch=self.batch,
                    segment=self.segments,
                    reason=error.message,
                )
                await anyio.sleep(APPEND_RETRY_S)
                continue
            self._take(taken)

    async def delete(self) -> None:
        """Remove every segment; raise StoreError."""
        for segment in range(self.segments):
            await self.store.delete(self._key(segment))

    def page(self, total: int, after: int) -> ResultPage:
        """Return the results from a position on, as many as one answer may hold."""
        page = ResultPage(total, after)
        size = 0
        for result in self.results[after:]:
            size += len(result.text)
            if page.results and size > PAGE_BYTES:
                break
            page.results.append(result)
            page.next_position += 1
        return page

    async def _load_patiently(self) -> None:
        try:
            await self.load()
        except StoreError:
            await anyio.sleep(APPEND_RETRY_S)

    def _take(self, results: list[Result]) -> None:
        self.results.extend(results)
        self.listed.update(result.id for result in results)
        self.segments += 1
        self.grown.set()
        self.grown = anyio.Event()


def _segment(results: list[Result]) -> list[Result]:
    """Return the first results, as many as one object may hold."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.text.encode())
        if count and size > SEGMENT_BYTES:
            return results[:count]
    return results
