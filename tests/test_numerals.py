"""Test reading numbers from text of outside."""

import unittest

from acaciarill.numerals import parse_natural


class ParseNaturalTest(unittest.TestCase):
    """Accept ASCII digits that fit into 64 bits."""

    def test_digits_are_a_number(self) -> None:
        self.assertEqual([parse_natural("0"), parse_natural(b" 42 ")], [0, 42])
        self.assertLess(parse_natural("9" * 18) or 0, 2**63)

    def test_other_text_is_none(self) -> None:
        for text in ("", "-1", "+1", "1.0", "1_0", "\u00b2", "\u0661", "9" * 19, "9" * 5000, "0x1"):
            self.assertIsNone(parse_natural(text))
        for data in (b"", b"\xb2", b"1\x00"):
            self.assertIsNone(parse_natural(data))
