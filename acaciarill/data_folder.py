"""Keep a snapshot of the configuration on disk to speed up a restart.

The snapshot is a cache: the object store remains the source of truth.
"""

import hashlib
import os
from pathlib import Path

import orjson
from eliot import log_message

from .config import ConfigCoordinator

SNAPSHOT_NAME = "configuration.json"


class DataFolder:
    """Write a snapshot after each configuration change and load it once at startup."""

    def __init__(self, folder: str, config: ConfigCoordinator) -> None:
        self.path = Path(folder) / SNAPSHOT_NAME if folder else None
        self.config = config
        if self.path is not None:
            config.subscribe(self.save)

    def load(self) -> None:
        """Load the snapshot if it is newer than the configuration; log and ignore a bad one."""
        if self.path is None or not self.path.exists():
            return
        try:
            digest, _, body = self.path.read_bytes().partition(b"\n")
            if hashlib.sha256(body).hexdigest().encode() != digest:
                raise ValueError("checksum mismatch")
            snapshot = orjson.loads(body)
            self.config.merge_withdrawn_keys(set(snapshot["withdrawn"]))
            self.config.update_sections(snapshot["revision"], snapshot["sections"])
        except (OSError, ValueError, KeyError, TypeError) as error:
            log_message(message_type="data_folder:snapshot_ignored", reason=str(error))

    def save(self) -> None:
        """Write the snapshot atomically; log a write error, as of a full or missing disk."""
        if self.path is None:
            return
        body = orjson.dumps(
            {
                "revision": self.config.document.revision,
                "sections": self.config.document.raw_sections,
                "withdrawn": sorted(self.config.withdrawn_key_ids),
            }
        )
        temporary_path = self.path.with_suffix(".tmp")
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            with temporary_path.open("wb") as file:
                file.write(hashlib.sha256(body).hexdigest().encode() + b"\n" + body)
                file.flush()
                os.fsync(file.fileno())
            temporary_path.replace(self.path)
        except OSError as error:
            log_message(message_type="data_folder:write_failed", reason=str(error))
