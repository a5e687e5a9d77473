"""Test acaciarill.edge."""
