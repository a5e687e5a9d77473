"""Test acaciarill.peers."""
