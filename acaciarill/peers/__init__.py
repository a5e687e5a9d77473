"""Exchange messages between daemons and order the daemons by rendezvous hashing."""

from ._codec import decode, encode
from ._framing import CONNECTION_ERRORS, FrameStream
from ._links import PeerLinks
from ._messages import messages
from ._server import CallHandler, PeerServer
from ._topology import (
    distribution_tree_order,
    parent_candidates,
    rendezvous_order,
    rendezvous_rank,
    select_relays,
)

__all__ = [
    "CONNECTION_ERRORS",
    "CallHandler",
    "FrameStream",
    "PeerLinks",
    "PeerServer",
    "decode",
    "encode",
    "messages",
    "parent_candidates",
    "distribution_tree_order",
    "rendezvous_order",
    "rendezvous_rank",
    "select_relays",
]
