"""Roll out new weight versions to the engines of a data centre."""

from ._client import WeightStoreClient
from ._rollout import Rollout, select_engines_to_load

__all__ = ["Rollout", "WeightStoreClient", "select_engines_to_load"]
