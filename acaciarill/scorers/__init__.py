"""Request scores for samples from the scoring services."""

from ._client import ScorerClient

__all__ = ["ScorerClient"]
