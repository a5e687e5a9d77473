"""Build the clients of every outside system that a daemon speaks to, before the daemon itself."""

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
    """Hold one client for each outside system; `upstreams` owns the connections of all."""

    upstreams: UpstreamClient
    store: ObjectStore
    host_list: HostListClient
    scorer: ScorerClient
    weight_store: WeightStoreClient
    order_counts: SendCapacityOrder
    send_report: SendReport


def build_ports(settings: Settings) -> DaemonPorts:
    """Return clients that speak the product's own interfaces to the addresses of the settings."""
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
