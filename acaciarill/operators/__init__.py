"""Serve the HTTP endpoints of a daemon for its operators."""

from ._app import OperatorsApp
from ._daemon import OperatedDaemon

__all__ = ["OperatedDaemon", "OperatorsApp"]
