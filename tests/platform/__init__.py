"""Test acaciarill.platform."""
