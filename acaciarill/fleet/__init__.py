"""Route and forward requests to a shared fleet of upstreams, and reach the object store."""

from ._attempts import (
    RELAY_CUT_OFF,
    WRONG_RESPONSE,
    Attempt,
    AttemptSender,
    EncodedRequest,
    UpstreamCodec,
    belongs_to_request,
)
from ._crash_detection import CrashDetector
from ._crash_records import CrashRecord
from ._forward import ForwardedRequest, Forwarder
from ._issuers import Issuers
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
from ._quarantine import REQUEST_QUARANTINED, Quarantine, TrialGrant
from ._rate_limits import Permit, RateLimit
from ._store_channel import StoreChannel
from ._stream_records import StreamRecord, bound_stream_key
from ._stream_versions import StreamVersions
from ._streaming import StreamForwarder, is_event_stream
from ._upstreams import UpstreamState, UpstreamTable

__all__ = [
    "ROLE_FRONT",
    "ResponseMetadata",
    "Attempt",
    "AttemptSender",
    "ForwardedRequest",
    "Configuration",
    "CrashDetector",
    "EncodedRequest",
    "CrashRecord",
    "Engine",
    "Forwarder",
    "Issuers",
    "LoadReport",
    "Member",
    "Members",
    "Permit",
    "RELAY_CUT_OFF",
    "REQUEST_QUARANTINED",
    "Quarantine",
    "RateLimit",
    "RatePermits",
    "TrialGrant",
    "UPSTREAM_LIMITED",
    "Route",
    "RouteKind",
    "Scaling",
    "Service",
    "StoreChannel",
    "StreamForwarder",
    "StreamRecord",
    "StreamVersions",
    "Upstream",
    "UpstreamCodec",
    "UpstreamState",
    "UpstreamTable",
    "WRONG_RESPONSE",
    "belongs_to_request",
    "bound_stream_key",
    "group_routes_by_host",
    "is_event_stream",
]
