"""Test acaciarill.weight_store."""
