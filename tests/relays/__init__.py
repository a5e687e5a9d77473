"""Test relays."""
