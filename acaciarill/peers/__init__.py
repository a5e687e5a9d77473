"""Carry messages between the daemons: codec, frames, connections and rendezvous orders."""

from ._codec import decode, encode
from ._framing import CONNECTION_ERRORS
from ._links import PeerLinks
from ._messages import messages
from ._server import PeerServer
from ._topology import parent_candidates, ranked, rendezvous_order, roots

__all__ = [
    "CONNECTION_ERRORS",
    "PeerLinks",
    "PeerServer",
    "decode",
    "encode",
    "messages",
    "parent_candidates",
    "ranked",
    "rendezvous_order",
    "roots",
]
