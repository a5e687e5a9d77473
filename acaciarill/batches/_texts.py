"""Keep texts by item, for a batch that moves or a group that comes again."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import orjson

from ._model import Item, Result
from .const import CHECKPOINT_BYTES, MIN_CHECKPOINT_EVENTS

MAX_TEXTS = 2000
"""Texts kept a daemon: the items of some ten open batches, 10 KB each."""


@dataclass(slots=True)
class Text:
    """Hold what has been generated of one item."""

    events: list[str] = field(default_factory=list)
    last_id: int | None = None
    versions: list[int] = field(default_factory=list)

    def add(self, number: int, data: str, version: int) -> None:
        """Take the next event."""
        if version not in self.versions:
            self.versions.append(version)
        self.events.append(data)
        self.last_id = number

    def clear(self) -> None:
        """Start the text anew."""
        self.events, self.last_id, self.versions = [], None, []

    def fits(self, min_version: int, single_version: bool) -> bool:
        """Tell whether the text may belong to a batch of these bounds."""
        if single_version and len(self.versions) > 1:
            return False
        return all(version >= min_version for version in self.versions)


class TextStore:
    """Hold texts by item id, the latest ones within a bound."""

    def __init__(self) -> None:
        self.texts: OrderedDict[str, Text] = OrderedDict()
        self.results: OrderedDict[tuple[str, str], Result] = OrderedDict()

    def text(self, item: Item, min_version: int, single_version: bool) -> Text:
        """Return the text of an item to go on with, an empty one if none fits."""
        text = self.texts.get(item.id)
        if text is None or not text.fits(min_version, single_version):
            text = self.texts[item.id] = Text()
        while len(self.texts) > MAX_TEXTS:
            self.texts.popitem(last=False)
        return text

    def keep_result(self, item: Item, result: Result) -> None:
        """Keep a finished item; its text is no longer needed apart."""
        self.texts.pop(item.id, None)
        self.results[_key(item)] = result
        while len(self.results) > MAX_TEXTS:
            self.results.popitem(last=False)

    def result(self, item: Item, min_version: int, single_version: bool) -> Result | None:
        """Return the result that an earlier batch has of an item, if its versions fit."""
        result = self.results.get(_key(item))
        if result is None:
            return None
        fits = Text(versions=list(result.versions)).fits(min_version, single_version)
        return result if fits else None

    def encode(self, items: Iterable[Item]) -> bytes:
        """Return the unfinished texts of some items as bytes for another daemon."""
        rows = [
            (item.id, text.events, text.last_id, text.versions)
            for item in items
            if (text := self.texts.get(item.id)) is not None and text.events
        ]
        return orjson.dumps(rows)

    def encode_longest(self, items: Iterable[Item]) -> bytes:
        """Return the long texts among those of some items as bytes, the longest ones if not all."""
        texts = {item.id: text for item in items if (text := self.texts.get(item.id)) is not None}
        rows = []
        left = CHECKPOINT_BYTES
        for item_id, text in sorted(texts.items(), key=lambda pair: -len(pair[1].events)):
            left -= sum(map(len, text.events))
            if len(text.events) < MIN_CHECKPOINT_EVENTS or left < 0:
                break
            rows.append((item_id, text.events, text.last_id, text.versions))
        return orjson.dumps(rows)

    def decode(self, data: bytes) -> set[str]:
        """Take what was encoded and return the items taken; own texts that are longer stay."""
        taken = set()
        for item_id, events, last_id, versions in orjson.loads(data):
            own = self.texts.get(item_id)
            if own is None or len(own.events) < len(events):
                self.texts[item_id] = Text(events, last_id, versions)
                taken.add(item_id)
        return taken


def _key(item: Item) -> tuple[str, str]:
    return item.id, item.score.id if item.score is not None else ""
