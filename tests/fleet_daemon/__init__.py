"""Test the daemon that serves a shared fleet."""
