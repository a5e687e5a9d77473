"""Test acaciarill.object_store."""
