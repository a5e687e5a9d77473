"""Test acaciarill; the test packages mirror those of `acaciarill`."""
