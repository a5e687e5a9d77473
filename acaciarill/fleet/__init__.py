"""Route and forward requests to a shared fleet of upstreams, and reach the object store."""

from ._attempts import Attempt, AttemptSender, UpstreamCodec
from ._crash_detection import CrashDetector
from ._forward import ForwardedRequest, Forwarder
from ._members import ROLE_FRONT, Member, Members
from ._model import (
    Configuration,
    Engine,
    LoadReport,
    ResponseMetadata,
    Route,
    RouteKind,
    Scaling,
    Service,
    Upstream,
    group_routes_by_host,
)
from ._permits import UPSTREAM_LIMITED, RatePermits
from ._rate_limits import Permit, RateLimit
from ._store_channel import StoreChannel
from ._streaming import StreamForwarder
from ._upstreams import UpstreamState, UpstreamTable

__all__ = [
    "ROLE_FRONT",
    "ResponseMetadata",
    "Attempt",
    "AttemptSender",
    "ForwardedRequest",
    "Configuration",
    "CrashDetector",
    "Engine",
    "Forwarder",
    "LoadReport",
    "Member",
    "Members",
    "Permit",
    "RateLimit",
    "RatePermits",
    "UPSTREAM_LIMITED",
    "Route",
    "RouteKind",
    "Scaling",
    "Service",
    "StoreChannel",
    "StreamForwarder",
    "Upstream",
    "UpstreamCodec",
    "UpstreamState",
    "UpstreamTable",
    "group_routes_by_host",
]
