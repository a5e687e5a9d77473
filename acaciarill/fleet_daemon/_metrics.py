"""Count requests and measure their durations for the metrics endpoint."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from ..batches import TextCache
from ..connection_budget import ConnectionBudget
from ..fleet import StreamVersions
from ..mirrors import MirrorFollower


class Metrics:
    """Hold the counters and histograms of one daemon."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "acaciarill_requests",
            "Requests answered, by kind and status",
            ["kind", "status"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "acaciarill_request_seconds",
            "Time from a request's head to its answer",
            ["kind"],
            registry=self.registry,
        )

        self.store_calls = Counter(
            "acaciarill_store_calls",
            "Calls to the object store, by method and by whether a peer relayed them",
            ["method", "relayed"],
            registry=self.registry,
        )

        self.store_calls_out_of_time = Counter(
            "acaciarill_store_calls_out_of_time",
            "Calls to the object store whose tries had used their time up",
            registry=self.registry,
        )

        self.batch_loads = Counter(
            "acaciarill_batch_loads",
            "Submissions that were not cached and were read from the store, by outcome",
            ["outcome"],
            registry=self.registry,
        )

        self.attempts = Counter(
            "acaciarill_attempts",
            "Requests sent to upstreams, by whether the upstream had named a rate limit",
            ["rate_limited"],
            registry=self.registry,
        )

        self.permits = Counter(
            "acaciarill_permits",
            "Requests for permits to send to upstreams with a rate limit, by outcome",
            ["outcome"],
            registry=self.registry,
        )

        self.crashes = Counter(
            "acaciarill_upstream_crashes",
            "Crashes of upstreams, counted for each request that this daemon had sent there",
            registry=self.registry,
        )

        self.quarantine = Counter(
            "acaciarill_quarantined_requests",
            "Requests during which upstreams had crashed before, by whether they ran as a trial",
            ["outcome"],
            registry=self.registry,
        )

        self.stream_lookups = Counter(
            "acaciarill_streams_taken_up",
            "Streams that clients took up, by whether it was known which version began them",
            ["outcome"],
            registry=self.registry,
        )

        self.stream_records = Gauge(
            "acaciarill_stream_records",
            "Streams whose software version this daemon knows, and those to be told to others",
            ["kind"],
            registry=self.registry,
        )
        self.streams_told = Counter(
            "acaciarill_streams_told",
            "Streams whose software version was told to another daemon, by outcome",
            ["outcome"],
            registry=self.registry,
        )

        self.text_bytes = Gauge(
            "acaciarill_text_bytes",
            "Bytes of unfinished texts of batches, and of results that may be used again",
            ["kind"],
            registry=self.registry,
        )

        self.unreadable = Counter(
            "acaciarill_unreadable_objects",
            "Versions of stored objects that could not be decoded, by kind",
            ["kind"],
            registry=self.registry,
        )

        self.mirror_age = Gauge(
            "acaciarill_mirror_unconfirmed_seconds",
            "Time since the local copy of a kind of objects was last known to be up to date",
            ["kind"],
            registry=self.registry,
        )

        self.relayed = Counter(
            "acaciarill_relayed_exchanges",
            "Exchanges with upstreams through another daemon, or for one, by what became of them",
            ["outcome"],
            registry=self.registry,
        )
        self.cut_off = Gauge(
            "acaciarill_links_lost",
            "1 while this daemon has lost its own links to the upstreams",
            registry=self.registry,
        )

        self.peer_call_failures = Counter(
            "acaciarill_peer_call_failures",
            "Calls to other daemons that got no response, by kind of failure",
            ["kind"],
            registry=self.registry,
        )

        self.pings = Counter(
            "acaciarill_pings",
            "Pings of other daemons, by reason",
            ["reason"],
            registry=self.registry,
        )

        self.drain_steps = Counter(
            "acaciarill_drain_steps",
            "Steps of a planned stop that wait for other daemons or the store, by how they ended",
            ["step", "outcome"],
            registry=self.registry,
        )

        self.client_connections = Gauge(
            "acaciarill_client_connections",
            "Connections that clients, operators and other daemons have open",
            registry=self.registry,
        )
        self.client_bytes = Gauge(
            "acaciarill_client_bytes",
            "Bytes that these connections make this daemon hold, and the limits",
            ["kind"],
            registry=self.registry,
        )
        self.connections_closed = Counter(
            "acaciarill_client_connections_closed",
            "Connections that were closed since others needed what they held, by what was short",
            ["reason"],
            registry=self.registry,
        )
        self.connections_refused = Counter(
            "acaciarill_client_refusals",
            "Connections and bodies that found no room, by what was short",
            ["reason"],
            registry=self.registry,
        )

    def watch_connections(self, budget: ConnectionBudget) -> None:
        """Report what connections hold whenever the metrics are read."""
        self.client_connections.set_function(lambda: len(budget.accounts))
        self.client_bytes.labels("held").set_function(lambda: budget.held_bytes)
        self.client_bytes.labels("large bodies").set_function(lambda: budget.large_body_bytes)
        self.client_bytes.labels("limit").set_function(lambda: budget.content_limit)

    def count_connection_closed(self, reason: str) -> None:
        """Count one connection that gave way."""
        self.connections_closed.labels(reason).inc()

    def count_connection_refused(self, reason: str) -> None:
        """Count one connection or body that found no room."""
        self.connections_refused.labels(reason).inc()

    def count_relayed(self, outcome: str) -> None:
        """Count one exchange through another daemon, or for one."""
        self.relayed.labels(outcome).inc()

    def count_unreadable(self, kind: str) -> None:
        """Count one version of a stored object that could not be decoded."""
        self.unreadable.labels(kind).inc()

    def watch_texts(self, texts: TextCache) -> None:
        """Report the bytes that a cache holds whenever the metrics are read."""
        self.text_bytes.labels("unfinished").set_function(lambda: texts.text_bytes)
        self.text_bytes.labels("result").set_function(lambda: texts.result_bytes)

    def watch_mirrors(self, followers: dict[str, MirrorFollower]) -> None:
        """Report the age of each mirror whenever the metrics are read."""
        for kind, follower in followers.items():
            self.mirror_age.labels(kind).set_function(follower.unconfirmed_for_s)

    def count_crash(self) -> None:
        """Count a request that was running at an upstream when it crashed."""
        self.crashes.inc()

    def count_quarantine_decision(self, outcome: str) -> None:
        """Count one request that may run only as a trial, by what was decided."""
        self.quarantine.labels(outcome).inc()

    def count_stream_lookup(self, outcome: str) -> None:
        """Count one stream that a client took up."""
        self.stream_lookups.labels(outcome).inc()

    def count_streams_told(self, outcome: str, count: int) -> None:
        """Count streams of which another daemon was told."""
        self.streams_told.labels(outcome).inc(count)

    def watch_streams(self, streams: StreamVersions) -> None:
        """Report how many streams are known whenever the metrics are read."""
        self.stream_records.labels("known").set_function(lambda: len(streams.beginnings))
        self.stream_records.labels("untold").set_function(
            lambda: sum(map(len, streams.untold.values()))
        )

    def count_permit(self, outcome: str) -> None:
        """Count one request for a permit."""
        self.permits.labels(outcome).inc()

    def count_attempt(self, rate_limited: bool) -> None:
        """Count one request sent to an upstream."""
        self.attempts.labels(str(rate_limited).lower()).inc()

    def count_peer_call_failure(self, kind: str) -> None:
        """Count one call to another daemon that got no response."""
        self.peer_call_failures.labels(kind).inc()

    def count_store_call_out_of_time(self) -> None:
        """Count one call to the object store that was given up."""
        self.store_calls_out_of_time.inc()

    def count_batch_load(self, outcome: str) -> None:
        """Count one submission that was asked for and not cached."""
        self.batch_loads.labels(outcome).inc()

    def count_ping(self, reason: str) -> None:
        """Count one ping of another daemon."""
        self.pings.labels(reason).inc()

    def count_drain_step(self, step: str, outcome: str) -> None:
        """Count one step of a planned stop."""
        self.drain_steps.labels(step, outcome).inc()

    def count_store_call(self, method: str, relayed: bool) -> None:
        """Count one call to the object store."""
        self.store_calls.labels(method, str(relayed).lower()).inc()

    def observe_request(self, kind: str, status: int, duration_s: float) -> None:
        """Count one answered request."""
        self.requests.labels(kind, str(status)).inc()
        self.request_seconds.labels(kind).observe(duration_s)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
