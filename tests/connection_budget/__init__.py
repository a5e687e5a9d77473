"""Test how connections share what a process may hold."""
