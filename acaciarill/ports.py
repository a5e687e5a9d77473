"""Build the clients of all external systems that a daemon uses.

They are built before the daemon and passed to it as ports (as in "ports and adapters"), so that
tests can replace each one.
"""

from dataclasses import dataclass

from .capacity import SendCapacityOrder, capacity_order_sender
from .host_list import HostListClient
from .object_store import ObjectStore
from .scorers import ScorerClient
from .settings import Settings
from .upstreams import UpstreamClient
from .usage import SendReport, report_sender
from .weight_store import WeightStoreClient


@dataclass(slots=True)
class DaemonPorts:
    """Hold one client for each external system; `upstreams` owns the connection pools of all."""

    upstreams: UpstreamClient
    store: ObjectStore
    host_list: HostListClient
    scorer: ScorerClient
    weight_store: WeightStoreClient
    send_capacity_order: SendCapacityOrder
    send_report: SendReport


def build_ports(settings: Settings) -> DaemonPorts:
    """Return clients that use this project's own interface at the configured addresses."""
    upstreams = UpstreamClient()
    control_http = upstreams.control_http
    return DaemonPorts(
        upstreams,
        ObjectStore(settings.object_api, control_http),
        HostListClient(settings.host_list, control_http),
        ScorerClient(control_http),
        WeightStoreClient(settings.weight_store, control_http),
        capacity_order_sender(settings.capacity),
        report_sender(settings.usage),
    )
