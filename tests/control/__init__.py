"""Test the singleton duties."""
