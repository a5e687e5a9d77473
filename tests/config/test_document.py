"""Test the schema of the configuration document and the checks across its sections."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from acaciarill.config import check_document, check_sections, section_digest
from tests.fakes.fleet import example_config

SCALARS = st.none() | st.booleans() | st.integers() | st.text(max_size=8) | st.floats()
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)
NAMES = st.sampled_from(["customers", "keys", "models", "routes", "upstreams", "spend", "usage"])


class DocumentTest(unittest.TestCase):
    """Check valid, invalid and random documents."""

    def find_faults(self, text: str) -> list[str]:
        result = check_document(text, "file.toml")
        self.assertIsInstance(result, Failure)
        return [str(fault) for fault in result.failure()]

    def test_examples_are_valid_alone_and_together(self) -> None:
        for text in (
            example_config("almaty"),
            example_config("cwmdu"),
            example_config("almaty") + example_config("cwmdu"),
        ):
            self.assertIsInstance(check_document(text, "examples"), Success)

    def test_all_faults_are_reported_at_once(self) -> None:
        text = example_config("almaty").replace('"127.0.0.1:18020"', '"ledger.example:1"')
        text = text.replace('target = "portal"\naccess = "open"', 'target = "none"\naccess = "x"')
        text += "\n[almaty.colour]\nred = 1\n"
        faults = self.find_faults(text)
        self.assertTrue(any("address" in fault for fault in faults), faults)
        self.assertTrue(any("access" in fault for fault in faults), faults)
        self.assertTrue(any("colour" in fault for fault in faults), faults)

    def test_undefined_reference_is_reported_with_file_section_and_key(self) -> None:
        text = example_config("almaty").replace('target = "portal"', 'target = "none"', 1)
        self.assertEqual(
            self.find_faults(text),
            ["file.toml: [almaty.routes] target: 'none' is not defined in the section of almaty"],
        )

    def test_toml_syntax_error_is_a_fault(self) -> None:
        self.assertIn("file.toml", self.find_faults("[almaty")[0])

    def test_section_digest_ignores_order_of_keys(self) -> None:
        self.assertEqual(section_digest({"a": 1, "b": 2}), section_digest({"b": 2, "a": 1}))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.dictionaries(st.text(max_size=6), st.dictionaries(NAMES, VALUES, max_size=3)))
    def test_random_sections_raise_no_exception(self, raw: dict) -> None:
        result = check_sections(raw, 1, "fuzz")
        self.assertIsInstance(result, Success | Failure)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.text(max_size=200))
    def test_random_text_raises_no_exception(self, text: str) -> None:
        self.assertIsInstance(check_document(text, "fuzz"), Success | Failure)
