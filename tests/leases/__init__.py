"""Test acaciarill.leases."""
