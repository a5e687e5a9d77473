"""Run and operate acaciarill from the command line; sits above daemons and operators."""

from ._cli import main

__all__ = ["main"]
