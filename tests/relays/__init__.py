"""Test acaciarill.relays."""
