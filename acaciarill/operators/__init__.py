"""Serve operators: the HTTP endpoints of a daemon."""

from ._app import OperatorsApp
from ._daemon import OperatedDaemon

__all__ = ["OperatedDaemon", "OperatorsApp"]
