"""Test that only addresses to which a connection can be tried are accepted."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.addresses import check_address, split_address


class CheckAddressTest(unittest.TestCase):
    """Check addresses that come from outside."""

    def test_literal_addresses_with_a_port_are_accepted(self) -> None:
        for address in ("10.0.0.1:80", "127.0.0.1:65535", "[::1]:1"):
            self.assertEqual(check_address(address), address)

    # review/3: the name of a host that could not be encoded failed beyond the errors of a connect.
    def test_address_that_is_no_ip_or_has_no_valid_port_is_rejected(self) -> None:
        for address in (
            "",
            "10.0.0.1",
            ":80",
            "\ufffd7.\ufffd.1.4:8080",
            "a" * 70 + ".example:80",
            "fe80::1%\ufffd:80",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:" + "9" * 5000,
            "10.0.0.1:\u00b2",
            "10.0.0.1:-1",
            "10.0.0.1: 80",
            "10.0.0.1:80\n",
        ):
            with self.subTest(address[:40]), self.assertRaises(ValueError):
                check_address(address)

    @settings(max_examples=300, derandomize=True)
    @given(st.text(max_size=30) | st.from_regex(r"[0-9.:\[\]%]{1,20}:[0-9]{1,7}", fullmatch=True))
    def test_accepted_addresses_can_be_split_and_encoded(self, text: str) -> None:
        try:
            host, port = split_address(check_address(text))
        except ValueError:
            return
        host.encode("idna")
        self.assertIn(port, range(1, 65536))
