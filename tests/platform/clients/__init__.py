"""Test real processes beside clients that do not keep to what clients are expected to do."""
