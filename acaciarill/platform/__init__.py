"""Run the product on the users' platform: translation of its settings, names and calls."""

from ._main import main

__all__ = ["main"]
