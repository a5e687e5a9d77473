"""Generate samples for trainers and deliver each sample of a step exactly once.

A step is a set of groups; a group is one prompt with a number of samples. Rendezvous hashing ranks
the daemons for each group: the first holder generates the samples, the second has a copy of the
prompt and takes over when it is promoted.
"""

from ._app import StepsApp
from ._cursor import Cursor
from ._producer import SampleProducer
from ._steps import StepService

__all__ = ["Cursor", "SampleProducer", "StepService", "StepsApp"]
