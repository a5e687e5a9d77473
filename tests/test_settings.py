"""Test the settings of a process."""

import unittest

from acaciarill.errors import ConfigError
from acaciarill.settings import check_settings

GOOD = {
    "process": {"host": "h1", "data_centre": "dc"},
    "listen": {
        "callers": "127.0.0.1:1",
        "operators": "127.0.0.1:2",
        "daemons": "127.0.0.1:3",
    },
    "platform": dict.fromkeys(
        ("object_api", "host_list", "capacity", "usage", "weight_store"), "http://127.0.0.1:4"
    ),
}


class SettingsTest(unittest.TestCase):
    """Check settings."""

    def faults(self, raw: dict) -> str:
        with self.assertRaises(ConfigError) as caught:
            check_settings(raw, "h1.toml")
        return "\n".join(str(fault) for fault in caught.exception.faults)

    def test_good_settings_have_defaults(self) -> None:
        self.assertEqual(check_settings(GOOD, "h1.toml").max_concurrent, 256)

    def test_every_fault_is_named(self) -> None:
        raw = GOOD | {
            "process": {"host": "h1"},
            "listen": GOOD["listen"] | {"callers": "host.example:1"},
            "extra": {},
        }
        found = self.faults(raw)
        for part in ("[process] data_centre", "[listen] callers", "extra"):
            self.assertIn(part, found)

    def test_tls_files_go_together_and_exist(self) -> None:
        found = self.faults(GOOD | {"tls": {"certificate": "/none.pem"}})
        self.assertIn("no such file", found)
        self.assertIn("must be set together", found)
