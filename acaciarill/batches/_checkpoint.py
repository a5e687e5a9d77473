"""Checkpoint the unfinished texts of an owned batch in the object store.

A stored text is the beginning of an item's generation, so any stored state can be resumed from. A
lost or late write causes repeated work, never a wrong result.
"""

from collections.abc import Iterable

from eliot import log_message

from ..errors import StoreConflictError, StoreError
from ._log import ObjectAccess
from ._model import Item
from ._texts import BatchTexts
from .const import KIND_TEXTS

EMPTY_TEXTS = b"[]"


class TextCheckpoint:
    """Save the long texts of one batch, and load those that an earlier owner saved."""

    def __init__(self, batch: str, store: ObjectAccess, texts: BatchTexts) -> None:
        self.batch = batch
        self.key = f"{KIND_TEXTS}/{batch}"
        self.store = store
        self.texts = texts
        self.version = 0
        self.saved_hash = 0

    async def load(self, items: Iterable[Item]) -> set[str]:
        """Load the saved texts of some items and return the items' ids; raise StoreError."""
        stored = await self.store.get(self.key)
        if stored is None:
            return set()
        self.version = stored[1]
        item_ids = self.texts.merge_encoded(items, stored[0])
        log_message(message_type="batch:checkpoint_loaded", batch=self.batch, texts=len(item_ids))
        return item_ids

    async def save(self, items: list[Item]) -> None:
        """Save the long texts of some items if they have changed; a failure is only logged."""
        data = self.texts.encode_longest(items)
        if data == EMPTY_TEXTS or hash(data) == self.saved_hash:
            return
        try:
            self.version = await self.store.put(self.key, data, self.version)
        except StoreConflictError:
            # A write with a lost response, or another owner: the next save uses its version.
            await self._refresh_version()
            return
        except StoreError as error:
            self._log_save_failure(error)
            return
        self.saved_hash = hash(data)

    async def _refresh_version(self) -> None:
        try:
            stored = await self.store.get(self.key)
        except StoreError as error:
            self._log_save_failure(error)
            return
        self.version = stored[1] if stored is not None else 0

    def _log_save_failure(self, error: StoreError) -> None:
        log_message(message_type="batch:checkpoint_failed", batch=self.batch, reason=error.message)
