"""Test the snapshot: written whole, ignored when damaged, never the last word."""

import tempfile
import unittest
from pathlib import Path

from acaciarill.config import ConfigCoordinator, build_document
from acaciarill.data_folder import SNAPSHOT_NAME, DataFolder

SECTION = {"customers": [{"name": "acme"}]}


class DataFolderTest(unittest.TestCase):
    """Save and load snapshots."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.path = Path(folder.name) / SNAPSHOT_NAME
        config = ConfigCoordinator()
        DataFolder(self.folder, config)
        config.update_document(build_document(3, {"almaty": SECTION}))
        config.merge_withdrawn_keys({"k1"})

    def load_into(self, config: ConfigCoordinator) -> ConfigCoordinator:
        DataFolder(self.folder, config).load()
        return config

    def test_a_snapshot_gives_back_revision_and_withdrawn_keys(self) -> None:
        config = self.load_into(ConfigCoordinator())
        self.assertEqual((config.document.revision, config.withdrawn_key_ids), (3, {"k1"}))

    def test_a_damaged_snapshot_is_ignored(self) -> None:
        whole = self.path.read_bytes()
        for damaged in (whole[:-3], whole[:40], b"", whole.replace(b"acme", b"evil")):
            self.path.write_bytes(damaged)
            self.assertEqual(self.load_into(ConfigCoordinator()).document.revision, 0)

    def test_an_older_snapshot_never_replaces_a_newer_revision(self) -> None:
        config = ConfigCoordinator()
        config.update_document(build_document(4, {}))
        self.assertEqual(self.load_into(config).document.revision, 4)

    def test_no_folder_and_a_folder_that_cannot_be_written_do_no_harm(self) -> None:
        for folder in ("", "/proc/none"):
            config = ConfigCoordinator()
            DataFolder(folder, config).load()
            config.update_document(build_document(1, {}))
            self.assertEqual(config.document.revision, 1)
