"""Provide fakes and helpers for the tests."""
