"""Bound what the connections of clients make a process hold, one by one and all together."""

from ._budget import (
    KIND_CALLERS,
    KIND_DAEMONS,
    KIND_OPERATORS,
    KIND_READINESS,
    ConnectionAccount,
    ConnectionBudget,
)
from ._decisions import ConnectionLimits
from .const import (
    CLOSE_STALLED_PERIOD_S,
    DEFAULT_MAX_DESCRIPTORS,
    RETRY_AFTER_S,
    SOCKET_BUFFER_BYTES,
)

__all__ = [
    "CLOSE_STALLED_PERIOD_S",
    "ConnectionAccount",
    "ConnectionBudget",
    "ConnectionLimits",
    "DEFAULT_MAX_DESCRIPTORS",
    "KIND_CALLERS",
    "KIND_DAEMONS",
    "KIND_OPERATORS",
    "KIND_READINESS",
    "RETRY_AFTER_S",
    "SOCKET_BUFFER_BYTES",
]
