"""Exchange requests with upstreams through other daemons while this one has lost its own links."""

from ._client import RelayClient
from ._decisions import LinkState, RelayCandidate, are_links_lost, choose_probes, order_relays
from ._links import UpstreamLinks
from ._server import RelayServer

__all__ = [
    "LinkState",
    "RelayCandidate",
    "RelayClient",
    "RelayServer",
    "UpstreamLinks",
    "are_links_lost",
    "choose_probes",
    "order_relays",
]
