"""Keep the unfinished texts of an owned batch in the object store.

A text is what engines have made of it so far, so any stored state may be gone on from; a lost or
late write costs work, never a promise.
"""

from eliot import log_message

from ..errors import StoreConflictError, StoreError
from ._log import ObjectAccess
from ._model import Item
from ._texts import TextStore
from .const import KIND_TEXTS

NOTHING = b"[]"


class TextCheckpoint:
    """Save the long texts of one batch, and take those that an earlier owner saved."""

    def __init__(self, batch: str, store: ObjectAccess, texts: TextStore) -> None:
        self.batch = batch
        self.key = f"{KIND_TEXTS}/{batch}"
        self.store = store
        self.texts = texts
        self.version = 0
        self.saved = 0

    async def load(self) -> set[str]:
        """Take the saved texts and return the items that they belong to; raise StoreError."""
        found = await self.store.get(self.key)
        if found is None:
            return set()
        self.version = found[1]
        taken = self.texts.decode(found[0])
        log_message(message_type="batch:texts_taken", batch=self.batch, texts=len(taken))
        return taken

    async def save(self, items: list[Item]) -> None:
        """Save the texts of some items where they have grown; a failure is only logged."""
        data = self.texts.encode_longest(items)
        if data == NOTHING or hash(data) == self.saved:
            return
        try:
            self.version = await self.store.put(self.key, data, self.version)
        except StoreConflictError:
            # A write whose answer was lost, or another owner: the next save knows the version.
            await self._learn_version()
            return
        except StoreError as error:
            self._log_failed(error)
            return
        self.saved = hash(data)

    async def _learn_version(self) -> None:
        try:
            found = await self.store.get(self.key)
        except StoreError as error:
            self._log_failed(error)
            return
        self.version = found[1] if found is not None else 0

    def _log_failed(self, error: StoreError) -> None:
        log_message(message_type="batch:texts_not_saved", batch=self.batch, reason=error.message)
