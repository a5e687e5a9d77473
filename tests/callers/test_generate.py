"""Test the request body sent to an engine."""

import unittest

import orjson

from acaciarill.callers._generate import GenerateRequest, engine_body


class EngineBodyTest(unittest.TestCase):
    """Build engine requests that do not reveal the customer."""

    def body(self, customer: str, borrowed: bool = False) -> dict:
        return orjson.loads(engine_body(GenerateRequest("p", 8, False), customer, borrowed))

    def test_borrowed_request_has_lower_priority(self) -> None:
        self.assertLess(
            self.body("filers", borrowed=True)["priority"], self.body("filers")["priority"]
        )

    def test_cache_salt_differs_by_customer_and_hides_its_name(self) -> None:
        self.assertNotEqual(self.body("filers")["cache_salt"], self.body("archive")["cache_salt"])
        self.assertNotIn("filers", str(self.body("filers")))
