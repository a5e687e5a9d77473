"""Test the decoding of the limit that a replica names in its responses."""

import unittest

from acaciarill.edge import ResponseHead
from acaciarill.platform._headers import decode_response


class RateLimitHeaderTest(unittest.TestCase):
    """Decode well-formed, missing and malformed limits."""

    def decode(self, *values: bytes) -> float | None:
        headers = [(b"server-limit", value) for value in values]
        return decode_response(ResponseHead(200, headers)).rate_limit

    def test_decimal_number_is_a_limit_in_requests_per_second(self) -> None:
        self.assertEqual(self.decode(b"1.9"), 1.9)
        self.assertEqual(self.decode(b"40"), 40.0)
        self.assertEqual(self.decode(b"0"), 0.0)

    def test_missing_and_malformed_values_are_no_limit(self) -> None:
        self.assertIsNone(self.decode())
        for value in (b"", b"many", b"nan", b"inf", b"-1", b"1,5"):
            self.assertIsNone(self.decode(value), value)
