"""Store the results of a batch as a log of write-once segments in the object store.

Each segment is an object that is created once and never changed, so each position keeps its result
whichever daemon appends: a second owner whose create conflicts reads the existing segment and
appends after it. A late or repeated create can therefore only fill a segment that nobody else has
written.
"""

import math
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import orjson
from eliot import log_message

from ..errors import StoreConflictError, StoreError
from ._model import Result, ResultPage
from .const import (
    APPEND_RETRY_DELAY_S,
    KIND_RESULTS,
    LOG_REFRESH_PERIOD_S,
    MAX_PAGE_CHARACTERS,
    MAX_SEGMENT_BYTES,
)


class ObjectAccess(Protocol):
    """Read, write and delete objects, and list them by page."""

    async def get(self, key: str) -> tuple[bytes, int] | None:
        """Return an object and its version, or None; raise StoreError."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object of that version (0: absent) and return the new one; raise StoreError."""

    async def delete(self, key: str) -> None:
        """Delete an object if it exists; raise StoreError."""

    async def list_objects_after(self, kind: str, key: str) -> list[tuple[str, bytes]]:
        """Return one page of keys and objects of a kind after a key, sorted; raise StoreError."""


@dataclass(slots=True)
class ResultLog:
    """Hold the results that the store has acknowledged, by position.

    `loaded` is set once the segments of all earlier owners have been read.
    """

    batch: str
    store: ObjectAccess
    results: list[Result] = field(default_factory=list)
    result_ids: set[str] = field(default_factory=set)
    segment_count: int = 0
    loaded: bool = False
    refreshed_at: float = -math.inf
    results_added: anyio.Event = field(default_factory=anyio.Event)
    lock: anyio.Lock = field(default_factory=anyio.Lock)

    def _key(self, segment: int) -> str:
        return f"{KIND_RESULTS}/{self.batch}.{segment:06d}"

    async def load(self) -> None:
        """Read the segments that are not in memory yet; raise StoreError."""
        async with self.lock:  # concurrent loads must not add a segment twice
            stored = await self.store.get(self._key(self.segment_count))
            if stored is not None:
                self._add_segment([Result.from_row(row) for row in orjson.loads(stored[0])])
                await self._load_remaining_segments()
            self.loaded = True

    async def refresh(self, now: float) -> None:
        """Read what another owner may have appended since, not too often; raise StoreError.

        A former owner that has not learned of its successor yet goes on, and its clients read what
        it appends.
        """
        if now - self.refreshed_at >= LOG_REFRESH_PERIOD_S:
            self.refreshed_at = now
            await self.load()

    async def _load_remaining_segments(self) -> None:
        """Read the remaining segments by page, which takes fewer calls than one by one."""
        while True:
            page = await self.store.list_objects_after(
                KIND_RESULTS, self._key(self.segment_count - 1)
            )
            read_count = 0
            for key, value in page:
                if key != self._key(self.segment_count):
                    return
                self._add_segment([Result.from_row(row) for row in orjson.loads(value)])
                read_count += 1
            if not read_count:
                return

    async def append(self, results: list[Result]) -> None:
        """Append the results that the log lacks; retry until the store has them."""
        unwritten = list({result.id: result for result in results}.values())
        while unwritten := [result for result in unwritten if result.id not in self.result_ids]:
            try:
                await self._append_segment(_first_segment(unwritten))
            except StoreConflictError:
                await self._load_or_wait()  # an earlier try or another owner created it
            except StoreError as error:
                log_message(
                    message_type="batch:append_failed",
                    batch=self.batch,
                    segment=self.segment_count,
                    reason=error.message,
                )
                await anyio.sleep(APPEND_RETRY_DELAY_S)

    async def _append_segment(self, segment: list[Result]) -> None:
        """Write one segment, unless a load has found some of its results; raise StoreError."""
        async with self.lock:  # a load meanwhile would find this segment and add it too
            if any(result.id in self.result_ids for result in segment):
                return
            rows = orjson.dumps([result.row() for result in segment])
            await self.store.put(self._key(self.segment_count), rows, 0)
            self._add_segment(segment)

    async def delete(self) -> None:
        """Delete every loaded segment; raise StoreError."""
        for segment in range(self.segment_count):
            await self.store.delete(self._key(segment))

    def page(self, total: int, after: int) -> ResultPage:
        """Return the results from a position on, as many as one response may hold."""
        page = ResultPage(total, after)
        size = 0
        for result in self.results[after:]:
            size += len(result.text)
            if page.results and size > MAX_PAGE_CHARACTERS:
                break
            page.results.append(result)
            page.next_position += 1
        return page

    async def _load_or_wait(self) -> None:
        try:
            await self.load()
        except StoreError:
            await anyio.sleep(APPEND_RETRY_DELAY_S)

    def _add_segment(self, results: list[Result]) -> None:
        self.results.extend(results)
        self.result_ids.update(result.id for result in results)
        self.segment_count += 1
        self.results_added.set()
        self.results_added = anyio.Event()


def _first_segment(results: list[Result]) -> list[Result]:
    """Return the first results, as many as one segment may hold."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.text.encode())
        if count and size > MAX_SEGMENT_BYTES:
            return results[:count]
    return results
