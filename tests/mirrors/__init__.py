"""Test acaciarill.mirrors."""
