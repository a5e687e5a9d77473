"""Accept batches of generations durably, run their items, and list each result once."""

from ._book import BatchBook, BatchPorts
from ._heads import NotFoundError
from ._log import ObjectAccess, ResultLog
from ._model import BatchHead, Item, Page, Result, ScoreCall, StreamEvent, Submission
from ._runner import BatchRunner, RunnerPorts, wanted_groups
from ._scheduler import EngineScheduler, Place, Run

__all__ = [
    "BatchBook",
    "BatchHead",
    "BatchPorts",
    "BatchRunner",
    "EngineScheduler",
    "Item",
    "NotFoundError",
    "ObjectAccess",
    "Page",
    "Place",
    "Result",
    "Run",
    "wanted_groups",
    "ResultLog",
    "RunnerPorts",
    "ScoreCall",
    "StreamEvent",
    "Submission",
]
