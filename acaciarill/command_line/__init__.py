"""Provide the command line to run daemons and to call their operator endpoints.

It is the topmost layer: it may import the daemons and operators packages, but not the reverse.
"""

from ._cli import main

__all__ = ["main"]
