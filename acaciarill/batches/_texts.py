"""Hold the texts of each batch, and cache them and results for a resubmitted group.

A text belongs to one batch: two batches may hold the same item, with other weight versions allowed.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import orjson
from eliot import log_message

from ..untrusted_json import require_integer, require_list, require_string
from ._model import Item, Result
from .const import (
    MAX_CHECKPOINT_CHARACTERS,
    MAX_RESULT_BYTES,
    MIN_CHECKPOINT_EVENTS,
    RESULT_OVERHEAD_BYTES,
    TEXT_MEMORY_SHARE,
    UNRESTRICTED_TEXT_BYTES,
)

MAX_CACHED_TEXTS = 2000
"""Limit of cached texts, and of cached results: about ten open batches with items of 10 KB."""

ROW_LENGTH = 4
"""Length of a text's row for another daemon."""

ItemKey = tuple[str, str, bytes]
"""Customer, id and prompt of an item, which are the same if it is submitted again."""


@dataclass(slots=True, frozen=True)
class TextLimits:
    """Limit the size of one text as JSON and that of all texts together, in bytes."""

    text_bytes: int = MAX_RESULT_BYTES
    total_bytes: int = 32 * 1024 * 1024

    @classmethod
    def from_settings(cls, max_object_bytes: int, memory_bytes: int) -> "TextLimits":
        """Return the limits that follow from those of stored objects and of the process."""
        text_bytes = min(MAX_RESULT_BYTES, max_object_bytes) - RESULT_OVERHEAD_BYTES
        return cls(max(0, text_bytes), int(TEXT_MEMORY_SHARE * memory_bytes))


def encoded_size(text: str) -> int:
    """Return the bytes that a text takes as JSON."""
    return len(orjson.dumps(text))


@dataclass(slots=True)
class GeneratedText:
    """Hold the events that have been generated for one item.

    They all come from engines of one software version. `size` is in bytes of JSON. A text with
    users is being generated.
    """

    events: list[str] = field(default_factory=list)
    last_event_id: int | None = None
    versions: list[int] = field(default_factory=list)
    software_version: str = ""
    size: int = field(default=0, compare=False)
    user_count: int = field(default=0, compare=False)

    def __post_init__(self) -> None:
        """Measure the events that a text is created with."""
        self.size = sum(map(encoded_size, self.events))

    def append_event(self, event_id: int, data: str, version: int) -> None:
        """Append an event that an engine generated with a weight version."""
        if version not in self.versions:
            self.versions.append(version)
        self.events.append(data)
        self.last_event_id = event_id
        self.size += encoded_size(data)

    def copy(self) -> "GeneratedText":
        """Return a text of its own with the same events."""
        return GeneratedText(
            list(self.events), self.last_event_id, list(self.versions), self.software_version
        )

    def clear(self) -> None:
        """Drop all events, so that the item is generated from its start."""
        self.events, self.last_event_id, self.versions = [], None, []
        self.software_version = ""
        self.size = 0

    def as_row(self) -> list[Any]:
        """Return the text as a row for another daemon."""
        return [self.events, self.last_event_id, self.versions, self.software_version]

    def has_allowed_versions(self, min_version: int, single_version: bool) -> bool:
        """Return whether a batch with these version limits may use the text."""
        if single_version and len(self.versions) > 1:
            return False
        return all(version >= min_version for version in self.versions)


def find_excess(
    text: GeneratedText, max_output_tokens: int, total_bytes: int, limits: TextLimits
) -> str:
    """Return which limit a text exceeds, or an empty string; `total_bytes` counts all texts."""
    if max_output_tokens and len(text.events) > max_output_tokens:
        return f"text has more events than the {max_output_tokens} tokens that the item allows"
    if text.size > limits.text_bytes:
        return f"text is longer than {limits.text_bytes} bytes, the limit of a result"
    if text.size > UNRESTRICTED_TEXT_BYTES and total_bytes > limits.total_bytes:
        return f"all texts are longer than {limits.total_bytes} bytes"
    return ""


class TextCache:
    """Hold the texts of all batches of a daemon, and the results of their items.

    It holds up to MAX_CACHED_TEXTS of each and some bytes. Texts that are being generated are never
    evicted; `find_excess` limits their growth.
    """

    def __init__(self, limits: TextLimits | None = None) -> None:
        self.limits = limits or TextLimits()
        self.texts: OrderedDict[tuple[str, ItemKey], GeneratedText] = OrderedDict()
        self.batch_ids: dict[ItemKey, list[str]] = {}
        self.results: OrderedDict[tuple[ItemKey, str], Result] = OrderedDict()
        self.text_bytes = 0
        self.result_bytes = 0

    def put_text(self, batch_id: str, key: ItemKey, text: GeneratedText) -> None:
        """Add the text of a batch's item in place of its previous one."""
        self.remove_text(batch_id, key)
        self.evict_texts(added=1)
        self.texts[batch_id, key] = text
        self.batch_ids.setdefault(key, []).append(batch_id)
        self.text_bytes += text.size

    def remove_text(self, batch_id: str, key: ItemKey) -> None:
        """Remove the text of a batch's item if there is one."""
        text = self.texts.pop((batch_id, key), None)
        if text is None:
            return
        self.text_bytes -= text.size
        self.batch_ids[key].remove(batch_id)
        if not self.batch_ids[key]:
            del self.batch_ids[key]

    def texts_of_item(self, key: ItemKey) -> list[GeneratedText]:
        """Return the texts of an item in all batches."""
        return [self.texts[batch_id, key] for batch_id in self.batch_ids.get(key, [])]

    def put_result(self, key: ItemKey, score_id: str, result: Result) -> None:
        """Cache the result of a finished item."""
        self._remove_result(key, score_id)
        self.results[key, score_id] = result
        self.result_bytes += len(result.text)
        while len(self.results) > MAX_CACHED_TEXTS or self.result_bytes > self.limits.total_bytes:
            self._remove_result(*next(iter(self.results)))

    def _remove_result(self, key: ItemKey, score_id: str) -> None:
        result = self.results.pop((key, score_id), None)
        if result is not None:
            self.result_bytes -= len(result.text)

    def evict_texts(self, added: int = 0) -> None:
        """Remove the oldest texts that are not being generated, until `added` more fit."""
        if self._has_room(added):
            return
        for batch_id, key in [name for name, text in self.texts.items() if not text.user_count]:
            self.remove_text(batch_id, key)
            if self._has_room(added):
                return

    def _has_room(self, added: int) -> bool:
        is_full = len(self.texts) + added > MAX_CACHED_TEXTS
        return not is_full and self.text_bytes <= self.limits.total_bytes


class BatchTexts:
    """Give one batch access to its texts, and to copies of what others hold of its items."""

    def __init__(self, cache: TextCache, batch_id: str, customer: str) -> None:
        self.cache = cache
        self.batch_id = batch_id
        self.customer = customer

    def _key(self, item: Item) -> ItemKey:
        return self.customer, item.id, item.body

    def find(self, item: Item) -> GeneratedText | None:
        """Return the text of an item in this batch, or None."""
        return self.cache.texts.get((self.batch_id, self._key(item)))

    @contextmanager
    def open_text(
        self, item: Item, min_version: int, single_version: bool
    ) -> Iterator[GeneratedText]:
        """Yield the text to resume an item from, which is not evicted inside the block."""
        text = self.resumable_text(item, min_version, single_version)
        text.user_count += 1
        try:
            yield text
        finally:
            text.user_count -= 1

    def resumable_text(self, item: Item, min_version: int, single_version: bool) -> GeneratedText:
        """Return the text to resume an item from, an empty one if none has allowed versions.

        If this batch has none, it is a copy of the longest one that another batch has.
        """
        text = self.find(item)
        if text is not None and text.has_allowed_versions(min_version, single_version):
            return text
        others = [
            other
            for other in self.cache.texts_of_item(self._key(item))
            if other.has_allowed_versions(min_version, single_version)
        ]
        longest = max(others, key=lambda other: len(other.events), default=GeneratedText())
        text = longest.copy()
        self.cache.put_text(self.batch_id, self._key(item), text)
        return text

    def append_event(
        self, item: Item, text: GeneratedText, event_id: int, data: str, version: int
    ) -> str:
        """Append an event to an item's text; return which limit the text exceeds, if any."""
        previous_size = text.size
        text.append_event(event_id, data, version)
        if self.find(item) is text:
            self.cache.text_bytes += text.size - previous_size
        return find_excess(text, item.max_output_tokens, self.cache.text_bytes, self.cache.limits)

    def clear_text(self, item: Item, text: GeneratedText) -> None:
        """Drop all events of an item's text."""
        if self.find(item) is text:
            self.cache.text_bytes -= text.size
        text.clear()

    def add_result(self, item: Item, result: Result) -> None:
        """Cache the result of a finished item and drop its text, which the result contains."""
        self.cache.remove_text(self.batch_id, self._key(item))
        self.cache.put_result(self._key(item), _score_id(item), result)

    def reusable_result(self, item: Item, min_version: int, single_version: bool) -> Result | None:
        """Return the cached result of an item if its versions are allowed, else None."""
        result = self.cache.results.get((self._key(item), _score_id(item)))
        if result is None:
            return None
        allowed = GeneratedText(versions=list(result.versions)).has_allowed_versions(
            min_version, single_version
        )
        return result if allowed else None

    def encode(self, items: Iterable[Item]) -> bytes:
        """Encode the unfinished texts of some items for another daemon."""
        rows = [
            (item.id, *text.as_row())
            for item in items
            if (text := self.find(item)) is not None and text.events
        ]
        return orjson.dumps(rows)

    def encode_longest(self, items: Iterable[Item]) -> bytes:
        """Encode the long texts of some items, the longest first up to the checkpoint limit."""
        texts = {item.id: text for item in items if (text := self.find(item)) is not None}
        rows = []
        remaining = MAX_CHECKPOINT_CHARACTERS
        for item_id, text in sorted(texts.items(), key=lambda pair: -len(pair[1].events)):
            remaining -= sum(map(len, text.events))
            if len(text.events) < MIN_CHECKPOINT_EVENTS or remaining < 0:
                break
            rows.append((item_id, *text.as_row()))
        return orjson.dumps(rows)

    def merge_encoded(self, items: Iterable[Item], data: bytes) -> set[str]:
        """Add encoded texts that are longer than the present ones; return the ids of their items.

        A text whose software version is not known cannot be resumed. One that is being generated is
        not replaced.
        """
        items_by_id = {item.id: item for item in items}
        merged = set()
        for item_id, text in _decode_rows(data):
            item = items_by_id.get(item_id)
            if item is None:
                continue
            current = self.find(item)
            if current is None or (
                len(current.events) < len(text.events) and not current.user_count
            ):
                self.cache.put_text(self.batch_id, self._key(item), text)
                merged.add(item_id)
        return merged


def _decode_rows(data: bytes) -> Iterator[tuple[str, GeneratedText]]:
    """Yield the ids of items and their texts; log and leave out malformed rows.

    Daemons that do not know software versions save shorter rows.
    """
    for row in require_list(orjson.loads(data)):
        try:
            item_id, events, last_event_id, versions, software_version = row[: 1 + ROW_LENGTH]
            text = GeneratedText(
                [require_string(event) for event in require_list(events)],
                None if last_event_id is None else require_integer(last_event_id),
                [require_integer(version) for version in require_list(versions)],
                require_string(software_version),
            )
        except (TypeError, ValueError) as error:
            log_message(message_type="batch:text_unreadable", reason=repr(error)[:200])
            continue
        yield require_string(item_id), text


def _score_id(item: Item) -> str:
    return item.score.id if item.score is not None else ""
