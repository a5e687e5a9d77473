"""Accept batches of generations durably, run their items, and store each result once."""

from ._heads import NotFoundError
from ._log import ObjectAccess, ResultLog
from ._manager import BatchManager, BatchPorts
from ._model import (
    BatchHead,
    EventParser,
    Item,
    Result,
    ResultPage,
    ScoreRequest,
    StreamEvent,
    Submission,
)
from ._runner import BatchRunner
from ._runner_ports import RunnerPorts, select_priority_groups
from ._scheduler import ActiveStream, EngineScheduler, SlotRequest
from ._submission_limits import SubmissionLimits
from ._texts import BatchTexts, TextCache, TextLimits

__all__ = [
    "BatchManager",
    "BatchHead",
    "BatchPorts",
    "BatchRunner",
    "BatchTexts",
    "EngineScheduler",
    "EventParser",
    "Item",
    "NotFoundError",
    "ObjectAccess",
    "ResultPage",
    "SlotRequest",
    "Result",
    "ActiveStream",
    "select_priority_groups",
    "ResultLog",
    "RunnerPorts",
    "ScoreRequest",
    "StreamEvent",
    "Submission",
    "SubmissionLimits",
    "TextCache",
    "TextLimits",
]
