"""Test the configuration snapshot: a corrupt or outdated one must not be applied."""

import tempfile
import unittest
from pathlib import Path

from acaciarill.config import ConfigCoordinator, build_document
from acaciarill.data_folder import SNAPSHOT_NAME, DataFolder

SECTION = {"customers": [{"name": "acme"}]}


class DataFolderTest(unittest.TestCase):
    """Save a snapshot of revision 3, then load it into other coordinators."""

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

    def test_load_restores_revision_and_withdrawn_keys(self) -> None:
        config = self.load_into(ConfigCoordinator())
        self.assertEqual((config.document.revision, config.withdrawn_key_ids), (3, {"k1"}))

    def test_corrupt_snapshot_is_ignored(self) -> None:
        snapshot = self.path.read_bytes()
        for corrupt in (snapshot[:-3], snapshot[:40], b"", snapshot.replace(b"acme", b"evil")):
            self.path.write_bytes(corrupt)
            self.assertEqual(self.load_into(ConfigCoordinator()).document.revision, 0)

    def test_older_snapshot_does_not_replace_newer_revision(self) -> None:
        config = ConfigCoordinator()
        config.update_document(build_document(4, {}))
        self.assertEqual(self.load_into(config).document.revision, 4)

    def test_configuration_applies_without_writable_folder(self) -> None:
        for folder in ("", "/proc/none"):
            config = ConfigCoordinator()
            DataFolder(folder, config).load()
            config.update_document(build_document(1, {}))
            self.assertEqual(config.document.revision, 1)
