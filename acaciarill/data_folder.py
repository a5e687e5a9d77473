"""Keep a snapshot of the configuration on disk, which only speeds up a restart."""

import hashlib
import os
from pathlib import Path

import orjson
from eliot import log_message

from .config import ConfigCoordinator

SNAPSHOT_NAME = "configuration.json"


class DataFolder:
    """Write a snapshot after each change and read it once at start."""

    def __init__(self, folder: str, config: ConfigCoordinator) -> None:
        self.path = Path(folder) / SNAPSHOT_NAME if folder else None
        self.config = config
        if self.path is not None:
            config.subscribe(self.save)

    def load(self) -> None:
        """Offer what the snapshot holds; a damaged one is ignored with a log line."""
        if self.path is None or not self.path.exists():
            return
        try:
            digest, _, body = self.path.read_bytes().partition(b"\n")
            if hashlib.sha256(body).hexdigest().encode() != digest:
                raise ValueError("the checksum differs")
            snapshot = orjson.loads(body)
            self.config.merge_withdrawn_keys(set(snapshot["withdrawn"]))
            self.config.update_sections(snapshot["revision"], snapshot["sections"])
        except (OSError, ValueError, KeyError, TypeError) as error:
            log_message(message_type="data_folder:ignored", reason=str(error))

    def save(self) -> None:
        """Write the snapshot atomically; a full or missing disk is only logged."""
        if self.path is None:
            return
        body = orjson.dumps(
            {
                "revision": self.config.document.revision,
                "sections": self.config.document.raw_sections,
                "withdrawn": sorted(self.config.withdrawn_key_ids),
            }
        )
        temporary = self.path.with_suffix(".tmp")
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            with temporary.open("wb") as file:
                file.write(hashlib.sha256(body).hexdigest().encode() + b"\n" + body)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self.path)
        except OSError as error:
            log_message(message_type="data_folder:not_written", reason=str(error))
