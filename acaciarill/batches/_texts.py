"""Cache texts and results by item, for a batch with a new owner or a resubmitted group."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from ._model import Item, Result
from .const import MAX_CHECKPOINT_CHARACTERS, MIN_CHECKPOINT_EVENTS

MAX_CACHED_TEXTS = 2000
"""Limit of cached texts, and of cached results: about ten open batches with items of 10 KB."""

ROW_LENGTH = 4
"""Length of a text's row for another daemon."""


@dataclass(slots=True)
class GeneratedText:
    """Hold the events that have been generated for one item.

    They all come from engines of one software version.
    """

    events: list[str] = field(default_factory=list)
    last_event_id: int | None = None
    versions: list[int] = field(default_factory=list)
    software_version: str = ""

    def append_event(self, event_id: int, data: str, version: int) -> None:
        """Append an event that an engine generated with a weight version."""
        if version not in self.versions:
            self.versions.append(version)
        self.events.append(data)
        self.last_event_id = event_id

    def clear(self) -> None:
        """Drop all events, so that the item is generated from its start."""
        self.events, self.last_event_id, self.versions = [], None, []
        self.software_version = ""

    def as_row(self) -> list[Any]:
        """Return the text as a row for another daemon."""
        return [self.events, self.last_event_id, self.versions, self.software_version]

    def has_allowed_versions(self, min_version: int, single_version: bool) -> bool:
        """Return whether a batch with these version limits may use the text."""
        if single_version and len(self.versions) > 1:
            return False
        return all(version >= min_version for version in self.versions)


class TextCache:
    """Hold the texts and results of items, up to MAX_CACHED_TEXTS of each."""

    def __init__(self) -> None:
        self.texts: OrderedDict[str, GeneratedText] = OrderedDict()
        self.results: OrderedDict[tuple[str, str], Result] = OrderedDict()

    def resumable_text(self, item: Item, min_version: int, single_version: bool) -> GeneratedText:
        """Return the text to resume an item from, an empty one if none has allowed versions."""
        text = self.texts.get(item.id)
        if text is None or not text.has_allowed_versions(min_version, single_version):
            text = self.texts[item.id] = GeneratedText()
        while len(self.texts) > MAX_CACHED_TEXTS:
            self.texts.popitem(last=False)
        return text

    def add_result(self, item: Item, result: Result) -> None:
        """Cache the result of a finished item and drop its text, which the result contains."""
        self.texts.pop(item.id, None)
        self.results[_result_key(item)] = result
        while len(self.results) > MAX_CACHED_TEXTS:
            self.results.popitem(last=False)

    def reusable_result(self, item: Item, min_version: int, single_version: bool) -> Result | None:
        """Return the cached result of an item if its versions are allowed, else None."""
        result = self.results.get(_result_key(item))
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
            if (text := self.texts.get(item.id)) is not None and text.events
        ]
        return orjson.dumps(rows)

    def encode_longest(self, items: Iterable[Item]) -> bytes:
        """Encode the long texts of some items, the longest first up to the checkpoint limit."""
        texts = {item.id: text for item in items if (text := self.texts.get(item.id)) is not None}
        rows = []
        remaining = MAX_CHECKPOINT_CHARACTERS
        for item_id, text in sorted(texts.items(), key=lambda pair: -len(pair[1].events)):
            remaining -= sum(map(len, text.events))
            if len(text.events) < MIN_CHECKPOINT_EVENTS or remaining < 0:
                break
            rows.append((item_id, *text.as_row()))
        return orjson.dumps(rows)

    def merge_encoded(self, data: bytes) -> set[str]:
        """Add encoded texts that are longer than the cached ones; return the ids of their items.

        A text whose software version is not known cannot be resumed.
        """
        merged = set()
        for item_id, *row in orjson.loads(data):
            if len(row) < ROW_LENGTH:
                continue  # saved by a daemon that did not know software versions
            text = GeneratedText(*row[:ROW_LENGTH])
            current = self.texts.get(item_id)
            if current is None or len(current.events) < len(text.events):
                self.texts[item_id] = text
                merged.add(item_id)
        return merged


def _result_key(item: Item) -> tuple[str, str]:
    return item.id, item.score.id if item.score is not None else ""
