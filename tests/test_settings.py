"""Test the validation of a process's settings."""

import unittest

from acaciarill.errors import ConfigError
from acaciarill.settings import check_settings

VALID_SETTINGS = {
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
    """Validate complete, incomplete and inconsistent settings."""

    def validation_messages(self, raw_settings: dict) -> str:
        with self.assertRaises(ConfigError) as caught:
            check_settings(raw_settings, "h1.toml")
        return "\n".join(str(fault) for fault in caught.exception.faults)

    def test_valid_settings_get_defaults(self) -> None:
        self.assertEqual(check_settings(VALID_SETTINGS, "h1.toml").max_concurrent, 256)

    def test_error_lists_every_fault(self) -> None:
        raw_settings = VALID_SETTINGS | {
            "process": {"host": "h1"},
            "listen": VALID_SETTINGS["listen"] | {"callers": "host.example:1"},
            "extra": {},
        }
        messages = self.validation_messages(raw_settings)
        for expected in ("[process] data_centre", "[listen] callers", "extra"):
            self.assertIn(expected, messages)

    def test_tls_files_must_exist_and_be_set_together(self) -> None:
        messages = self.validation_messages(VALID_SETTINGS | {"tls": {"certificate": "/none.pem"}})
        self.assertIn("no such file", messages)
        self.assertIn("must be set together", messages)
