"""Hold the configuration in force in this process and notify subscribers of changes."""

import zlib
from collections.abc import Callable
from typing import Any

from eliot import log_message

from ..const import DIGEST_MASK
from ..errors import ConfigError
from ._acceptance import build_document
from ._model import EMPTY_DOCUMENT, Document

Listener = Callable[[], None]


class ConfigCoordinator:
    """Hold the document in force and the ids of the withdrawn keys.

    The revision only increases and the set of withdrawn keys only grows, so updates may arrive in
    any order and more than once. `stored_withdrawn_key_ids` holds the ids that the store contained
    when it was last read or written. Daemons exchange `withdrawn_digest`, a checksum of the ids, to
    detect that their sets differ.
    """

    def __init__(self) -> None:
        self.document = EMPTY_DOCUMENT
        self.withdrawn_key_ids: frozenset[str] = frozenset()
        self.withdrawn_digest = 0
        self.stored_withdrawn_key_ids: frozenset[str] = frozenset()
        self.listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call the listener after each change; return a function that unsubscribes it."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def update_document(self, document: Document) -> bool:
        """Put a document in force if its revision is newer; return whether it was put in force."""
        if document.revision <= self.document.revision:
            return False
        self.document = document
        log_message(message_type="config:applied", revision=document.revision)
        self._notify_listeners()
        return True

    def update_sections(self, revision: int, sections: dict[str, dict[str, Any]]) -> bool:
        """Check sections from a peer or the disk and put them in force if they are newer.

        Return whether they were put in force. Invalid sections are only logged.
        """
        if revision <= self.document.revision:
            return False
        try:
            return self.update_document(build_document(revision, sections))
        except ConfigError as error:
            log_message(message_type="config:rejected", revision=revision, reason=error.message)
            return False

    def merge_withdrawn_keys(self, key_ids: set[str]) -> bool:
        """Add the ids of withdrawn keys; return whether any was new."""
        merged = self.withdrawn_key_ids | key_ids
        if merged == self.withdrawn_key_ids:
            return False
        self.withdrawn_key_ids = merged
        self.withdrawn_digest = zlib.crc32("\n".join(sorted(merged)).encode()) & DIGEST_MASK
        log_message(message_type="keys:withdrawn", count=len(merged))
        self._notify_listeners()
        return True

    def _notify_listeners(self) -> None:
        for listener in list(self.listeners):
            listener()
