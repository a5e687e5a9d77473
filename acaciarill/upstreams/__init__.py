"""Talk to upstreams: choose one, send a request, follow its load, and order it."""

from ._answer import UpstreamRequest, UpstreamResponse
from ._client import UpstreamClient, filter_request_headers
from ._coordinator import UpstreamCoordinator
from ._dispatch import Dispatcher
from ._orders import OrderSender
from ._retry_budget import RetryBudget
from ._routing import UpstreamState, choose_upstream

__all__ = [
    "UpstreamResponse",
    "Dispatcher",
    "OrderSender",
    "RetryBudget",
    "UpstreamClient",
    "UpstreamCoordinator",
    "UpstreamRequest",
    "UpstreamState",
    "choose_upstream",
    "filter_request_headers",
]
