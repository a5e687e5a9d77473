"""Accept batches of generations durably, run their items, and list each result once."""

from ._heads import NotFoundError
from ._log import ObjectAccess, ResultLog
from ._manager import BatchManager, BatchPorts
from ._model import BatchHead, Item, Result, ResultPage, ScoreRequest, StreamEvent, Submission
from ._runner import BatchRunner, RunnerPorts, wanted_groups
from ._scheduler import EngineScheduler, Place, Run

__all__ = [
    "BatchManager",
    "BatchHead",
    "BatchPorts",
    "BatchRunner",
    "EngineScheduler",
    "Item",
    "NotFoundError",
    "ObjectAccess",
    "ResultPage",
    "Place",
    "Result",
    "Run",
    "wanted_groups",
    "ResultLog",
    "RunnerPorts",
    "ScoreRequest",
    "StreamEvent",
    "Submission",
]
