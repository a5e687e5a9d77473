"""Adapt a fleet daemon to the users' platform: its settings, object formats and HTTP calls."""

from ._main import main

__all__ = ["main"]
