"""Select upstreams, send them requests, poll their load and send them orders."""

from ._client import UpstreamClient, filter_request_headers
from ._coordinator import UpstreamCoordinator
from ._dispatch import Dispatcher
from ._messages import UpstreamRequest, UpstreamResponse, generation_limit_bytes
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
    "generation_limit_bytes",
]
