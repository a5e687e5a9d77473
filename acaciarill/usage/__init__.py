"""Count usage, seal its windows and report them."""

from ._counter import UsageCounter, UsageCounts
from ._reporter import SendReport, UsageReporter, report_sender
from ._sealing import SealedWindow, seal_window
from ._shards import ShardStore

__all__ = [
    "UsageCounts",
    "SealedWindow",
    "SendReport",
    "ShardStore",
    "UsageCounter",
    "UsageReporter",
    "report_sender",
    "seal_window",
]
