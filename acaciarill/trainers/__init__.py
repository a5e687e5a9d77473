"""Serve trainers: steps, groups of samples, delivery exactly once."""

from ._app import StepsApp
from ._cursor import Cursor
from ._producer import SampleProducer
from ._steps import StepService

__all__ = ["Cursor", "SampleProducer", "StepService", "StepsApp"]
