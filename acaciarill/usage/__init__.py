"""Count, seal and report usage windows."""

from ._counter import Figures, UsageCounter
from ._reporter import SendReport, UsageReporter, report_sender
from ._sealing import SealedWindow, seal_window
from ._shards import ShardStore

__all__ = [
    "Figures",
    "SealedWindow",
    "SendReport",
    "ShardStore",
    "UsageCounter",
    "UsageReporter",
    "report_sender",
    "seal_window",
]
