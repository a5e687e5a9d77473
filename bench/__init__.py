"""Measure the performance of acaciarill against stand-ins for the external systems."""
