"""Test acaciarill.fleet."""
