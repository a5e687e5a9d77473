"""Verify the guarantees of the system on histories of runs with injected failures."""
