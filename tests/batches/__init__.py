"""Test the acaciarill.batches package."""
